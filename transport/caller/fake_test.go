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

// backend is a caller.Backend with one key, whose generations are a function.
type backend struct {
	generate func(ctx context.Context, sink caller.Sink) answer.Result
}

func (*backend) Authenticate(key string) (id.Workspace, bool) { return "jury", key == "key" }
func (*backend) Ready(context.Context) *answer.Failure        { return nil }
func (*backend) ManifestVersion() id.ManifestVersion          { return 7 }
func (*backend) Entries(id.Workspace) caller.Entries          { return caller.Entries{} }
func (*backend) Call(context.Context, caller.ServiceCall) (answer.Result, caller.ServiceAnswer) {
	return answer.Completed{}, caller.ServiceAnswer{Status: http.StatusOK}
}

func (b *backend) Outcome(ctx context.Context, _ caller.ServiceCall) (answer.Result, caller.ServiceAnswer) {
	return b.generate(ctx, nil), caller.ServiceAnswer{Status: http.StatusOK, Body: []byte("{}")}
}

func (b *backend) Generate(ctx context.Context, _ caller.Generation, sink caller.Sink) answer.Result {
	return b.generate(ctx, sink)
}

// pipes is a listener whose connections are in memory, so that a bubble's clock
// runs their deadlines.
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

// serve runs a server with two slots in a bubble and hands test a way to
// connect.
func serve(t *testing.T, b *backend, test func(dial func() net.Conn)) {
	synctest.Test(t, func(*testing.T) {
		s := &caller.Server{Backend: b, MaxBodyBytes: maxBody, MaxConcurrent: 2, BodyTimeout: bodyTimeout, WriteTimeout: writeTimeout}
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

// request is the head and body of a chat request; length is what it announces.
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

// heard is what a caller hears of a request.
type reply struct {
	status        int
	code, outcome string
	header        http.Header
}

// read reads one answer.
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
		t.Error("no request id")
	}
	outcome := resp.Header.Get(caller.HeaderOutcome)
	if body.Outcome != "" && body.Outcome != outcome {
		t.Errorf("header says %q, body says %q", outcome, body.Outcome)
	}
	return reply{status: resp.StatusCode, code: body.Error.Code, outcome: outcome, header: resp.Header}
}

func (r reply) check(t *testing.T, status int, code, outcome string) {
	t.Helper()
	if r.status != status || r.code != code || r.outcome != outcome {
		t.Errorf("%d %q %q, want %d %q %q", r.status, r.code, r.outcome, status, code, outcome)
	}
}

// event is a token of an answer.
func contentEvent(size int) openai.Event {
	return openai.Event{Content: "a", Data: strings.Repeat("a", size)}
}
