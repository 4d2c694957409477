package cluster

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"samphirehead/state/fault"
)

// gate forwards TCP connections to one address, and cuts them all while it is
// closed.
type gate struct {
	// target is set before serve.
	target string

	socket net.Listener
	mu     sync.Mutex
	// closedUntil is when the gate opens again.
	closedUntil time.Time
	connections map[net.Conn]bool
	forwarders  sync.WaitGroup
}

func (g *gate) listen() error {
	config := net.ListenConfig{}
	socket, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return fault.At("listen", "gate", err)
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
		_, _ = io.Copy(in, out)
		_ = in.Close()
		close(back)
	}()
	_, _ = io.Copy(out, in)
	_ = out.Close()
	<-back
}
