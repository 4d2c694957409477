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
const stallPollInterval = 20 * time.Millisecond

// gate forwards TCP connections to one address. While it is closed it cuts them
// all; while it is stalled it holds back what goes through.
type faultProxy struct {
	// target is set before serve.
	target string

	listener net.Listener
	mu       sync.Mutex
	// closedUntil is when the gate opens again.
	blockedUntil time.Time
	// stalledUntil is when bytes flow again.
	stalledUntil time.Time
	connections  map[net.Conn]bool
	forwarders   sync.WaitGroup
}

func (p *faultProxy) listen() error {
	config := net.ListenConfig{}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return fault.At("listen", "gate", err)
	}
	p.listener = listener
	p.connections = map[net.Conn]bool{}
	return nil
}

func (p *faultProxy) addr() string { return p.listener.Addr().String() }

// serve forwards until ctx ends.
func (p *faultProxy) serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		_ = p.listener.Close()
		p.stallFor(0)
		p.blockFor(time.Hour)
	})
	defer stop()
	defer p.forwarders.Wait()
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.forwarders.Go(func() { p.forward(connection) })
	}
}

// closeFor cuts all connections and refuses new ones for d.
func (p *faultProxy) blockFor(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blockedUntil = time.Now().Add(d)
	for connection := range p.connections {
		_ = connection.Close()
	}
}

// stallFor holds everything back for d.
func (p *faultProxy) stallFor(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalledUntil = time.Now().Add(d)
}

// stall returns how long bytes are still held back.
func (p *faultProxy) stallRemaining() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Until(p.stalledUntil)
}

// stallWriter holds writes back while its gate is stalled.
type stallWriter struct {
	proxy *faultProxy
	next  io.Writer
}

func (w stallWriter) Write(p []byte) (int, error) {
	for wait := w.proxy.stallRemaining(); wait > 0; wait = w.proxy.stallRemaining() {
		time.Sleep(min(wait, stallPollInterval))
	}
	return w.next.Write(p)
}

// add notes a connection; it reports false while the gate is closed.
func (p *faultProxy) add(connection net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.blockedUntil) {
		return false
	}
	p.connections[connection] = true
	return true
}

func (p *faultProxy) remove(connection net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, connection)
	_ = connection.Close()
}

func (p *faultProxy) forward(client net.Conn) {
	defer p.remove(client)
	if !p.add(client) {
		return
	}
	dialer := net.Dialer{Timeout: time.Second}
	server, err := dialer.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		return
	}
	defer p.remove(server)
	if !p.add(server) {
		return
	}
	responseDone := make(chan struct{})
	go func() {
		_, _ = io.Copy(stallWriter{p, client}, server)
		_ = client.Close()
		close(responseDone)
	}()
	_, _ = io.Copy(stallWriter{p, server}, client)
	_ = server.Close()
	<-responseDone
}

// link is what an instance sends to its peers through.
type peerTransport struct {
	next http.RoundTripper
	// gate is the instance's own; it says when nothing passes.
	proxy *faultProxy
}

// RoundTrip sends a message to a peer unless the gate keeps it back.
func (t *peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.proxy.blocked() {
		return nil, fault.New("send to peer", r.URL.Host, "isolated")
	}
	standinfault.Sleep(r.Context(), t.proxy.stallRemaining())
	return t.next.RoundTrip(r)
}

func (p *faultProxy) blocked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.blockedUntil)
}
