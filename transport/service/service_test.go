package service_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"samphirehead/coordination/claim"
	"samphirehead/transport/service"
)

// peer is a service that handles each connection by a function.
type peer struct {
	address string
	// requests counts those that were read whole.
	requests atomic.Int64
}

func newPeer(t *testing.T, handle func(p *peer, c net.Conn, in *bufio.Reader)) *peer {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{address: listener.Addr().String()}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			handle(p, c, bufio.NewReader(c))
			_ = c.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return p
}

// read reads one request and reports whether there was one.
func (p *peer) read(in *bufio.Reader) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	p.requests.Add(1)
	return true
}

func answer(c io.Writer, text string) { _, _ = io.WriteString(c, text) }

const small = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func callOf(address string) service.Call {
	return service.Call{
		Address: address, Method: http.MethodPost, Target: "/bookings?a=b", Body: []byte("roof"),
		Header: http.Header{"Idempotency-Key": {"k1"}},
	}
}

// ways are both ways to send a call.
func ways(client *service.Client) map[string]func(context.Context, service.Call) claim.Evidence {
	return map[string]func(context.Context, service.Call) claim.Evidence{
		"once": func(ctx context.Context, c service.Call) claim.Evidence {
			return client.Once(ctx, (&claim.Unsent{}).Send(), c)
		},
		"repeatable": client.Repeatable,
	}
}

// TestEvidence checks what is claimed of a call by how it ended.
func TestEvidence(t *testing.T) {
	const redirect = "HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"
	closed := func(*peer, net.Conn, *bufio.Reader) {}
	answers := func(text string) func(p *peer, c net.Conn, in *bufio.Reader) {
		return func(p *peer, c net.Conn, in *bufio.Reader) {
			if p.read(in) {
				answer(c, text)
			}
		}
	}
	large := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 4<<20+1)
	for _, c := range []struct {
		name   string
		handle func(p *peer, c net.Conn, in *bufio.Reader)
		// status is 0 where the call may have been sent.
		status int
	}{
		{"answered", answers(small), http.StatusOK},
		{"an error status", answers("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), http.StatusInternalServerError},
		{"redirected", answers(redirect), http.StatusTemporaryRedirect},
		{"largest answer", answers(strings.TrimSuffix(large, "x")), http.StatusOK},
		{"too large an answer", answers(large), 0},
		{"closed after the connection", closed, 0},
		{"closed after the request", answers(""), 0},
		{"closed inside the answer", answers("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), 0},
		{"not HTTP", answers("hello\r\n\r\n"), 0},
	} {
		for way, send := range ways(&service.Client{}) {
			t.Run(c.name+" "+way, func(t *testing.T) {
				p := newPeer(t, c.handle)
				switch e := send(t.Context(), callOf(p.address)).(type) {
				case claim.Answered:
					if e.Answer.Status != c.status {
						t.Errorf("status %d, want %d", e.Answer.Status, c.status)
					}
					if location := e.Answer.Header.Get("Location"); (location != "") != (c.name == "redirected") {
						t.Errorf("location %q", location)
					}
				case claim.MayHaveSent:
					if c.status != 0 {
						t.Error(e.Err)
					}
				default:
					t.Errorf("%T", e)
				}
				if n := p.requests.Load(); n > 1 {
					t.Errorf("sent %d times", n)
				}
			})
		}
	}
}

// TestNothingSent checks the calls of which certainly no byte was sent.
func TestNothingSent(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := listener.Addr().String()
	_ = listener.Close()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	p := newPeer(t, func(*peer, net.Conn, *bufio.Reader) {})
	wrong := callOf(p.address)
	wrong.Method = "NO METHOD"
	for way, send := range ways(&service.Client{}) {
		for name, e := range map[string]claim.Evidence{
			"refused":       send(t.Context(), callOf(refusing)),
			"caller gone":   send(ended, callOf(p.address)),
			"not a request": send(t.Context(), wrong),
		} {
			if _, ok := e.(claim.NothingSent); !ok {
				t.Errorf("%s, %s: %T", name, way, e)
			}
		}
	}
}

// TestOnceIsNeverRepeated lets a service close each connection on reading a
// request after the first. net/http by itself repeats a call with an
// Idempotency-Key when a kept connection breaks.
func TestOnceIsNeverRepeated(t *testing.T) {
	const calls = 5
	p := newPeer(t, func(p *peer, c net.Conn, in *bufio.Reader) {
		if p.read(in) && p.requests.Load() == 1 {
			answer(c, small)
			p.read(in)
		}
	})
	send := ways(&service.Client{})["once"]
	if e, ok := send(t.Context(), callOf(p.address)).(claim.Answered); !ok {
		t.Fatalf("%T", e)
	}
	for i := range calls {
		e := send(t.Context(), callOf(p.address))
		if _, ok := e.(claim.MayHaveSent); !ok {
			t.Errorf("call %d: %T", i, e)
		}
	}
	if n := p.requests.Load(); n != calls+1 {
		t.Errorf("%d calls were sent %d times", calls+1, n)
	}
}

// TestCancelledAfterSending checks that a caller who goes while the service
// works can't be told that nothing was sent.
func TestCancelledAfterSending(t *testing.T) {
	for way, send := range ways(&service.Client{}) {
		t.Run(way, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			p := newPeer(t, func(p *peer, _ net.Conn, in *bufio.Reader) {
				p.read(in)
				cancel()
				_, _ = in.ReadByte()
			})
			if e, ok := send(ctx, callOf(p.address)).(claim.MayHaveSent); !ok {
				t.Errorf("%T", e)
			}
		})
	}
}
