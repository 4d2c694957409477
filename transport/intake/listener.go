package intake

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/memory"
)

// listener accepts connections that draw on an account.
type listener struct {
	net.Listener
	intake *Intake
}

// Listen listens at a TCP address. The connections draw on the account; one for which there
// is no room is closed at once.
func (i *Intake) Listen(ctx context.Context, address string) (net.Listener, error) {
	// Connections inherit the size, also those that are not accepted yet.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if i.ReceiveBuffer <= 0 {
			return nil
		}
		var err error
		controlErr := raw.Control(func(descriptor uintptr) {
			err = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, i.ReceiveBuffer)
		})
		if err = errors.CombineErrors(controlErr, err); err != nil {
			klog.ErrorS(err, "receive buffer not set", "address", address)
		}
		return nil
	}}
	inner, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: inner, intake: i}, nil
}

// Accept returns the next connection that there is room for.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		if c := l.intake.open(tcp); c != nil {
			return c, nil
		}
		l.intake.countClosed(TooMany, tcp.RemoteAddr())
		_ = tcp.Close()
	}
}

// open adds a connection to the account. It returns nil if there is no room.
func (i *Intake) open(tcp *net.TCPConn) *Conn {
	address, _, err := net.SplitHostPort(tcp.RemoteAddr().String())
	if err != nil {
		address = tcp.RemoteAddr().String()
	}
	c := &Conn{TCPConn: tcp, intake: i}
	granted := i.ask(i.openTimeout(), func(now time.Time) (memory.Verdict, []memory.Victim) {
		i.last++
		verdict, victims := i.Account.Open(now, i.last, address, connectionBytes)
		if verdict == memory.Granted {
			c.holder = i.last
			if i.connections == nil {
				i.connections = make(map[memory.Holder]*Conn)
			}
			i.connections[c.holder] = c
		}
		return verdict, victims
	})
	i.mu.Lock()
	defer i.mu.Unlock()
	if !granted {
		i.fullAt = time.Now()
		return nil
	}
	i.fullAt = time.Time{}
	return c
}

// openTimeout returns how long a new connection may wait for others to give way. While there
// is no room, connections are closed without a wait, so that no others wait behind them.
func (i *Intake) openTimeout() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if time.Since(i.fullAt) < fullInterval {
		return 0
	}
	return maxOpenTimeout
}
