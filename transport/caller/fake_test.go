package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"samphirehead/protocol/answer"
	"samphirehead/protocol/openai"
	"samphirehead/state/id"
	"samphirehead/transport/caller"
)

// backend is a caller.Backend that knows one key and answers with generate.
type fakeHandler struct {
	generate func(ctx context.Context, sink caller.Sink) answer.Result
}

func (*fakeHandler) Authenticate(key string) (id.Workspace, bool) { return "jury", key == "key" }
func (*fakeHandler) Ready(context.Context) *answer.Failure        { return nil }
func (*fakeHandler) ManifestVersion() id.ManifestVersion          { return 7 }
func (*fakeHandler) Entries(id.Workspace) caller.Entries          { return caller.Entries{} }
func (*fakeHandler) Call(context.Context, caller.ServiceCall) (answer.Result, caller.ServiceAnswer) {
	return answer.Completed{}, caller.ServiceAnswer{Status: http.StatusOK}
}

func (h *fakeHandler) Outcome(ctx context.Context, _ caller.ServiceCall) (answer.Result, caller.ServiceAnswer) {
	return h.generate(ctx, nil), caller.ServiceAnswer{Status: http.StatusOK, Body: []byte("{}")}
}

func (h *fakeHandler) Generate(ctx context.Context, _ caller.ChatCall, sink caller.Sink) answer.Result {
	return h.generate(ctx, sink)
}

// pipeListener is a listener for in-memory connections, whose deadlines follow
// the fake clock of a synctest bubble.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.connections:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { close(p.closed); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

const (
	bodyTimeout  = 30 * time.Second
	writeTimeout = 20 * time.Second
	maxBody      = 1000
)

// serve runs a server that allows two requests in progress in a synctest bubble.
// test gets a function that opens a connection to it.
func serve(t *testing.T, h *fakeHandler, test func(dial func() net.Conn)) {
	synctest.Test(t, func(*testing.T) {
		s := &caller.Server{RequestHandler: h, MaxBodyBytes: maxBody, MaxConcurrent: 2, BodyTimeout: bodyTimeout, WriteTimeout: writeTimeout}
		httpServer := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Second}
		listener := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
		serveErr := make(chan error, 1)
		go func() { serveErr <- httpServer.Serve(listener) }()
		var clients []net.Conn
		test(func() net.Conn {
			client, server := net.Pipe()
			listener.connections <- server
			clients = append(clients, client)
			return client
		})
		for _, c := range clients {
			_ = c.Close()
		}
		_ = httpServer.Close()
		if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
}

// request returns a chat request in HTTP/1.1 format. contentLength may differ
// from the length of body.
func request(key, body string, contentLength int) string {
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + key
	return head + "\r\nContent-Length: " + itoa(contentLength) + "\r\n\r\n" + body
}

func itoa(n int) string {
	b, _ := json.Marshal(n)
	return string(b)
}

const (
	nonStreamingChat = `{"model":"notes","messages":[{"role":"user","content":"a"}]}`
	streamChat       = `{"model":"notes","stream":true,"messages":[{"role":"user","content":"a"}]}`
)

func send(t *testing.T, c io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}

// reply is what a caller receives in answer to a request.
type reply struct {
	status        int
	code, outcome string
	header        http.Header
}

// readReply reads one response and checks what all responses have in common.
func readReply(t *testing.T, c io.Reader) reply {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Error(err)
		return reply{}
	}
	defer resp.Body.Close()
	var body struct {
		Error   openai.Error `json:"error"`
		Outcome string       `json:"outcome"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		t.Error(err)
	}
	if resp.Header.Get(caller.HeaderRequestID) == "" {
		t.Error("the response has no request id")
	}
	outcome := resp.Header.Get(caller.HeaderOutcome)
	if body.Outcome != "" && body.Outcome != outcome {
		t.Errorf("outcome %q in the header, %q in the body", outcome, body.Outcome)
	}
	return reply{status: resp.StatusCode, code: body.Error.Code, outcome: outcome, header: resp.Header}
}

func (r reply) check(t *testing.T, status int, code, outcome string) {
	t.Helper()
	if r.status != status || r.code != code || r.outcome != outcome {
		t.Errorf("%d %q %q, want %d %q %q", r.status, r.code, r.outcome, status, code, outcome)
	}
}

// contentEvent returns an event with one token of content and size bytes of data.
func contentEvent(size int) openai.Event {
	return openai.Event{Content: "a", Data: strings.Repeat("a", size)}
}
