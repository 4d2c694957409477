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

// stallPollInterval is how often a stalled proxy checks whether the stall has
// ended, as a later call of stallFor may shorten it.
const stallPollInterval = 20 * time.Millisecond

// faultProxy forwards TCP connections to one address. While it is blocked it
// closes all of them, new ones included; while it is stalled it keeps them open
// and forwards nothing.
type faultProxy struct {
	// target is the address to forward to; it is set before serve.
	target string

	listener net.Listener
	mu       sync.Mutex
	// blockedUntil is when connections are accepted again.
	blockedUntil time.Time
	// stalledUntil is when bytes are forwarded again.
	stalledUntil time.Time
	connections  map[net.Conn]bool
	forwarders   sync.WaitGroup
}

func (p *faultProxy) listen() error {
	config := net.ListenConfig{}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return fault.Wrap("listen", "gate", err)
	}
	p.listener = listener
	p.connections = map[net.Conn]bool{}
	return nil
}

func (p *faultProxy) addr() string { return p.listener.Addr().String() }

// serve accepts and forwards connections until ctx ends.
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

// blockFor closes all connections, and for d also new ones.
func (p *faultProxy) blockFor(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blockedUntil = time.Now().Add(d)
	for connection := range p.connections {
		_ = connection.Close()
	}
}

// stallFor forwards nothing for d.
func (p *faultProxy) stallFor(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalledUntil = time.Now().Add(d)
}

// stallRemaining returns how long the stall still lasts; 0 or less if it has
// ended.
func (p *faultProxy) stallRemaining() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Until(p.stalledUntil)
}

// stallWriter delays writes while its proxy is stalled.
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

// add tracks a connection, so that blockFor can close it. It returns false
// while the proxy is blocked.
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

// peerTransport carries the messages that an instance sends to its peers. They
// do not pass the instance's own proxy, which forwards only messages from peers.
type peerTransport struct {
	next http.RoundTripper
	// proxy is that of the sending instance; while it is blocked or stalled
	// the instance sends nothing either.
	proxy *faultProxy
}

// RoundTrip sends a message to a peer. It fails while the proxy is blocked, and
// first waits while the proxy is stalled.
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
