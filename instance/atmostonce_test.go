package instance_test

import (
	"net/http"
	"testing"

	"samphirehead/standin/fault"
)

func booking(key, body string) request {
	return request{
		method: http.MethodPost, path: "/v1/services/desk/bookings", key: testKey, body: body,
		header: map[string]string{"Idempotency-Key": key},
	}
}

func (f *fixture) runCount(key string) int {
	for _, r := range f.service.Truth().Runs {
		if r.Key == key {
			return r.Count
		}
	}
	return 0
}

func TestRepeatedKeyRunsOnceAndIsReplayed(t *testing.T) {
	f := newFixture(t, 8)
	first := f.do(t, booking("k1", "roof"))
	checkHeaders(t, first, "completed")
	again := f.do(t, booking("k1", "roof"))
	checkHeaders(t, again, "completed")
	if again.body != first.body || again.status != first.status {
		t.Errorf("replay %d %q, want %d %q", again.status, again.body, first.status, first.body)
	}
	other := f.do(t, booking("k1", "shed"))
	if other.status != http.StatusUnprocessableEntity {
		t.Errorf("the same key with another body: %d", other.status)
	}
	outcome := f.do(t, request{method: http.MethodGet, key: testKey, path: "/v1/outcomes/k1?service=desk&method=POST&path=/bookings"})
	checkHeaders(t, outcome, "completed")
	if outcome.body != first.body {
		t.Errorf("outcome %q, want %q", outcome.body, first.body)
	}
	if n := f.runCount("k1"); n != 1 {
		t.Errorf("k1 ran %d times", n)
	}
}

// TestPlatformDown checks that a call that can't be claimed is truthfully not
// run, and that other traffic goes on.
func TestPlatformDown(t *testing.T) {
	f := newFixture(t, 8)
	f.platform.Faults.Add(fault.Fault{Kind: fault.Down})
	got := f.do(t, booking("k2", "roof"))
	checkHeaders(t, got, "not_run")
	if got.header.Get("Retry-After") == "" {
		t.Error("the caller is not told when to come back")
	}
	chat := f.do(t, request{method: http.MethodPost, path: "/v1/chat/completions", key: testKey, body: chatBody(false, "a", 3)})
	if chat.status != http.StatusOK {
		t.Errorf("a chat completion: %d", chat.status)
	}
	if n := f.runCount("k2"); n != 0 {
		t.Errorf("k2 ran %d times", n)
	}
}

// TestRepeatWhileThePlatformIsDown checks that nothing is claimed about a key
// that may have run before.
func TestRepeatedKeyWhilePlatformIsDown(t *testing.T) {
	f := newFixture(t, 8)
	checkHeaders(t, f.do(t, booking("k3", "roof")), "completed")
	f.platform.Faults.Add(fault.Fault{Kind: fault.Down})
	repeat := booking("k3", "roof")
	repeat.header["X-Samphirehead-Repeat"] = "true"
	checkHeaders(t, f.do(t, repeat), "unknown")
	if n := f.runCount("k3"); n != 1 {
		t.Errorf("k3 ran %d times", n)
	}
}
