package cluster

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	standinfault "samphirehead/standin/fault"
	"samphirehead/state/fault"
)

// stallPoll is how often a stalled gate looks whether it may go on.
const stallPoll = 20 * time.Millisecond

// gate forwards TCP connections to one address. While it is closed it cuts them
// all; while it is stalled it holds back what goes through.
type gate struct {
	// target is set before serve.
	target string

	socket net.Listener
	mu     sync.Mutex
	// closedUntil is when the gate opens again.
	closedUntil time.Time
	// stalledUntil is when bytes flow again.
	stalledUntil time.Time
	connections  map[net.Conn]bool
	forwarders   sync.WaitGroup
}

func (g *gate) listen() error {
	config := net.ListenConfig{}
	socket, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return fault.Wrap("listen", "gate", err)
	}
	g.socket = socket
	g.connections = map[net.Conn]bool{}
	return nil
}

func (g *gate) addr() string { return g.socket.Addr().String() }

// serve forwards until ctx ends.
func (g *gate) serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		_ = g.socket.Close()
		g.stallFor(0)
		g.closeFor(time.Hour)
	})
	defer stop()
	defer g.forwarders.Wait()
	for {
		connection, err := g.socket.Accept()
		if err != nil {
			return
		}
		g.forwarders.Go(func() { g.forward(connection) })
	}
}

// closeFor cuts all connections and refuses new ones for d.
func (g *gate) closeFor(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closedUntil = time.Now().Add(d)
	for connection := range g.connections {
		_ = connection.Close()
	}
}

// stallFor holds everything back for d.
func (g *gate) stallFor(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalledUntil = time.Now().Add(d)
}

// stall returns how long bytes are still held back.
func (g *gate) stall() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Until(g.stalledUntil)
}

// stallWriter holds writes back while its gate is stalled.
type stallWriter struct {
	gate *gate
	to   io.Writer
}

func (w stallWriter) Write(p []byte) (int, error) {
	for wait := w.gate.stall(); wait > 0; wait = w.gate.stall() {
		time.Sleep(min(wait, stallPoll))
	}
	return w.to.Write(p)
}

// add notes a connection; it reports false while the gate is closed.
func (g *gate) add(connection net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Now().Before(g.closedUntil) {
		return false
	}
	g.connections[connection] = true
	return true
}

func (g *gate) remove(connection net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.connections, connection)
	_ = connection.Close()
}

func (g *gate) forward(in net.Conn) {
	defer g.remove(in)
	if !g.add(in) {
		return
	}
	dialer := net.Dialer{Timeout: time.Second}
	out, err := dialer.DialContext(context.Background(), "tcp", g.target)
	if err != nil {
		return
	}
	defer g.remove(out)
	if !g.add(out) {
		return
	}
	back := make(chan struct{})
	go func() {
		_, _ = io.Copy(stallWriter{g, in}, out)
		_ = in.Close()
		close(back)
	}()
	_, _ = io.Copy(stallWriter{g, out}, in)
	_ = out.Close()
	<-back
}

// link is what an instance sends to its peers through.
type link struct {
	next http.RoundTripper
	// gate is the instance's own; it says when nothing passes.
	gate *gate
}

// RoundTrip sends a message to a peer unless the gate keeps it back.
func (l *link) RoundTrip(r *http.Request) (*http.Response, error) {
	if l.gate.closed() {
		return nil, fault.New("send to peer", r.URL.Host, "isolated")
	}
	standinfault.Sleep(r.Context(), l.gate.stall())
	return l.next.RoundTrip(r)
}

func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().Before(g.closedUntil)
}
