package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"samphirehead/standin/engine"
	"samphirehead/standin/fault"
)

// run serves e until the test ends and returns its base URL.
func startEngine(t *testing.T, e *engine.Engine) string {
	t.Helper()
	e.Address = "127.0.0.1:0"
	if err := e.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return "http://" + e.Addr()
}

// send posts body to path with header pairs.
func send(ctx context.Context, t *testing.T, url, body string, headers ...string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultClient.Do(r)
}

func chat(content string) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":%q}]}`, content)
}

func mustSend(t *testing.T, url, body string, headers ...string) (int, string) {
	t.Helper()
	response, err := send(t.Context(), t, url, body, headers...)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	all, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(all)
}

func TestStreamIsDeterministic(t *testing.T) {
	cases := map[string]struct {
		offset     string
		body       func(string) string
		firstToken int
		tokens     int
		reason     string
	}{
		"whole":   {"", chat, 0, 5, "stop"},
		"resumed": {"3", chat, 3, 5, "stop"},
		"cut": {"", func(c string) string {
			return strings.Replace(chat(c), `"stream"`, `"max_tokens":2,"stream"`, 1)
		}, 0, 2, "length"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := &engine.Engine{}
			url := startEngine(t, e)
			content := "answer_tokens=5 prompt_tokens=10"
			status, got := mustSend(t, url+"/v1/chat/completions", c.body(content), "X-Request-Id", "r1", "X-Resume-Offset", c.offset)
			if status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
			for i := c.firstToken; i < c.tokens; i++ {
				token := engine.Token(i, engine.Digest(content))
				if !strings.Contains(got, fmt.Sprintf("id: %d\ndata: {\"id\":\"r1\"", i)) || !strings.Contains(got, token) {
					t.Errorf("token %d is missing in %s", i, got)
				}
			}
			if n := strings.Count(got, "id: "); n != c.tokens-c.firstToken+1 {
				t.Errorf("%d events", n)
			}
			if !strings.Contains(got, `"finish_reason":"`+c.reason+`"`) || !strings.HasSuffix(got, "data: [DONE]\n\n") {
				t.Errorf("bad end: %s", got)
			}
			truth := e.Truth().Requests[0]
			if truth.End != engine.EndCompleted || truth.TokensGenerated != c.tokens-c.firstToken {
				t.Errorf("truth %+v", truth)
			}
		})
	}
}

func TestSlotsAreGrantedByTier(t *testing.T) {
	e := &engine.Engine{Slots: 1}
	url := startEngine(t, e)
	done := make(chan error, 3)
	start := func(tier string) {
		response, err := send(context.Background(), t, url+"/v1/chat/completions", chat("answer_tokens=60 "+tier), "X-Request-Id", tier, "X-Priority", tier)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		done <- err
	}
	for i, tier := range []string{"2", "3", "1"} {
		go start(tier)
		waitFor(t, func() bool { return len(e.Truth().Requests) == i+1 })
	}
	for range 3 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	started := map[int]int64{}
	for _, a := range e.Truth().Requests {
		started[a.Tier] = a.StartedUnixUS
	}
	if started[1] < started[2] || started[3] < started[1] {
		t.Errorf("starts by tier: %v", started)
	}
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatal("the test ended first")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestInterruptedStreams(t *testing.T) {
	cases := map[string]struct {
		interrupt func(e *engine.Engine, url string, cancel func())
		end       engine.EndReason
	}{
		"closed connection": {func(_ *engine.Engine, _ string, cancel func()) { cancel() }, engine.EndCancelled},
		"cancel call": {func(_ *engine.Engine, url string, _ func()) {
			_, _ = mustSend(t, url+"/v1/cancel/r1", "")
		}, engine.EndCancelled},
		"crash": {func(e *engine.Engine, _ string, _ func()) {
			e.Faults.Add(fault.Fault{Kind: fault.Crash, DurationMS: 50})
		}, engine.EndCrashed},
		"crash by another request": {func(e *engine.Engine, url string, _ func()) {
			e.Faults.Add(fault.Fault{Kind: fault.Crash, Match: "poison", DurationMS: 50})
			response, err := send(context.Background(), t, url+"/v1/chat/completions", chat("poison"))
			if err == nil {
				_ = response.Body.Close()
				t.Error("the crashing request was answered")
			}
		}, engine.EndCrashed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := &engine.Engine{}
			url := startEngine(t, e)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			response, err := send(ctx, t, url+"/v1/chat/completions", chat("answer_tokens=100000"), "X-Request-Id", "r1")
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if _, err := bufio.NewReader(response.Body).ReadString('\n'); err != nil {
				t.Fatal(err)
			}
			c.interrupt(e, url, cancel)
			rest, err := io.ReadAll(response.Body)
			if err == nil || strings.Contains(string(rest), "[DONE]") {
				t.Error("the stream looks complete")
			}
			waitFor(t, func() bool { return e.Truth().Requests[0].End != "" })
			if got := e.Truth().Requests[0].End; got != c.end {
				t.Errorf("end %q", got)
			}
		})
	}
}

func TestCrashedEngineRefusesConnectionsUntilItRecovers(t *testing.T) {
	e := &engine.Engine{}
	startEngine(t, e)
	e.Faults.Add(fault.Fault{Kind: fault.Crash, DurationMS: 300})
	dial := func() error {
		connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", e.Addr())
		if err == nil {
			_ = connection.Close()
		}
		return err
	}
	if dial() == nil {
		t.Error("the connection was accepted")
	}
	waitFor(t, func() bool { return dial() == nil })
}
