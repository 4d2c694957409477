package instance_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/tmaxmax/go-sse"

	"samphirehead/protocol/openai"
)

func TestStreamingAndNonStreamingAnswers(t *testing.T) {
	f := newFixture(t, 8)
	want := wantAnswer("hello", 12)

	nonStreaming := f.do(t, request{method: http.MethodPost, path: "/v1/chat/completions", key: testKey, body: chatBody(false, "hello", 12)})
	var completion openai.Completion
	if err := json.Unmarshal([]byte(nonStreaming.body), &completion); err != nil {
		t.Fatalf("%v in %s", err, nonStreaming.body)
	}
	if nonStreaming.status != http.StatusOK || len(completion.Choices) == 0 {
		t.Fatalf("status %d, body %s, header %v", nonStreaming.status, nonStreaming.body, nonStreaming.header)
	}
	if got := completion.Choices[0].Message.Content; got != want {
		t.Errorf("whole answer %q, want %q", got, want)
	}
	checkHeaders(t, nonStreaming, "completed")

	streaming := f.do(t, request{method: http.MethodPost, path: "/v1/chat/completions", key: testKey, body: chatBody(true, "hello", 12)})
	var text strings.Builder
	var last string
	for ev, err := range sse.Read(strings.NewReader(streaming.body), nil) {
		if err != nil {
			t.Fatal(err)
		}
		last = ev.Data
		var chunk openai.Chunk
		if json.Unmarshal([]byte(ev.Data), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	if text.String() != want {
		t.Errorf("streamed answer %q, want %q", text.String(), want)
	}
	if last != "[DONE]" {
		t.Errorf("the stream ends with %q", last)
	}
	if !strings.Contains(streaming.body, `"outcome":"completed"`) {
		t.Error("the stream has no outcome")
	}
}

func checkHeaders(t *testing.T, r response, outcome string) {
	t.Helper()
	if got := r.header.Get("X-Samphirehead-Outcome"); got != outcome {
		t.Errorf("outcome %q, want %q", got, outcome)
	}
	if got := r.header.Get("X-Samphirehead-Manifest-Version"); got != "1" {
		t.Errorf("manifest version %q, want 1", got)
	}
}

// TestBadRequestsAreRefused checks that each invalid request gets its error code,
// that none of them reaches an upstream, and that the instance keeps serving.
func TestBadRequestsAreRefused(t *testing.T) {
	f := newFixture(t, 8)
	chat := "/v1/chat/completions"
	long := strings.Repeat("word ", 1200)
	for _, c := range []struct {
		name    string
		request request
		status  int
		code    string
	}{
		{"missing key", request{method: "POST", path: chat, body: chatBody(false, "a", 1)}, 401, "unauthorized"},
		{"wrong key", request{method: "POST", path: chat, key: "guess", body: chatBody(false, "a", 1)}, 401, "unauthorized"},
		{"body not JSON", request{method: "POST", path: chat, key: testKey, body: "{"}, 400, "bad_request"},
		{"missing messages", request{method: "POST", path: chat, key: testKey, body: `{"model":"notes"}`}, 400, "bad_request"},
		{"missing model", request{method: "POST", path: chat, key: testKey, body: `{"messages":[{}]}`}, 400, "bad_request"},
		{"unknown model", request{method: "POST", path: chat, key: testKey, body: `{"model":"x","messages":[{}]}`}, 404, "not_found"},
		{"stream not a boolean", request{method: "POST", path: chat, key: testKey, body: `{"model":"notes","stream":"yes","messages":[{}]}`}, 400, "bad_request"},
		{"prompt too large", request{method: "POST", path: chat, key: testKey, body: chatBody(false, long, 1)}, 413, "too_large"},
		{"body too large", request{method: "POST", path: chat, key: testKey, body: strings.Repeat("x", 5<<20)}, 413, "too_large"},
		{"class not allowed", request{method: "POST", path: chat, key: otherKey, body: chatBody(false, "a", 1), header: map[string]string{"X-Samphirehead-Class": "booking"}}, 403, "forbidden"},
		{"unknown path", request{method: "GET", path: "/v2", key: testKey}, 404, "not_found"},
		{"unknown service", request{method: "GET", path: "/v1/services/x/status/1", key: testKey}, 404, "not_found"},
		{"unknown route", request{method: "DELETE", path: "/v1/services/desk/bookings", key: testKey}, 404, "not_found"},
		{"missing idempotency key", request{method: "POST", path: "/v1/services/desk/bookings", key: testKey}, 400, "idempotency_key_missing"},
		{"idempotency key too long", request{method: "POST", path: "/v1/services/desk/bookings", key: testKey, header: map[string]string{"Idempotency-Key": strings.Repeat("k", 256)}}, 400, "bad_request"},
		{"workspace without the class", request{method: "GET", path: "/v1/services/desk/status/1", key: otherKey}, 403, "forbidden"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := f.do(t, c.request)
			var body struct {
				Error openai.Error `json:"error"`
			}
			if err := json.Unmarshal([]byte(got.body), &body); err != nil {
				t.Fatalf("%v in %s", err, got.body)
			}
			if got.status != c.status || body.Error.Code != c.code {
				t.Errorf("%d %q, want %d %q", got.status, body.Error.Code, c.status, c.code)
			}
			checkHeaders(t, got, "not_run")
		})
	}
	if runs := len(f.engine.Truth().Requests) + len(f.service.Truth().Runs); runs != 0 {
		t.Errorf("%d refused requests ran", runs)
	}
	good := f.do(t, request{method: "POST", path: chat, key: testKey, body: chatBody(false, "a", 1)})
	if good.status != http.StatusOK {
		t.Errorf("a valid request afterwards: status %d", good.status)
	}
}

func TestIdempotentCall(t *testing.T) {
	f := newFixture(t, 8)
	got := f.do(t, request{method: "GET", path: "/v1/services/desk/status/7", key: testKey})
	if got.status != http.StatusOK {
		t.Fatalf("%d %s", got.status, got.body)
	}
	checkHeaders(t, got, "completed")
}
