// Package listener runs the HTTP server of a stand-in on one address that
// stays reserved while the stand-in is down.
package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	samphirefault "samphirehead/state/fault"
)

const headerTimeout = 10 * time.Second

// Listener serves HTTP on one TCP address.
type Listener struct {
	// Address is an IP number and port; port 0 lets the kernel choose.
	Address string
	// Handler answers the requests.
	Handler http.Handler

	mu sync.Mutex
	// reserved is bound to the port and never listens: connections are
	// refused while nothing else listens, and nobody else gets the port.
	reserved *os.File
	address  string
	socket   net.Listener
	server   *http.Server
	// wake has room for one signal that the server was replaced or stopped.
	wake      chan struct{}
	downUntil time.Time
}

// Listen chooses the port and starts to queue connections.
func (l *Listener) Listen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket != nil {
		return nil
	}
	reserved, address, err := reserve(l.Address)
	if err != nil {
		return samphirefault.Wrap("reserve a port", l.Address, err)
	}
	l.reserved, l.address = reserved, address
	l.wake = make(chan struct{}, 1)
	return l.open()
}

// open starts to listen on the reserved address; the caller holds mu.
func (l *Listener) open() error {
	config := net.ListenConfig{}
	socket, err := config.Listen(context.Background(), "tcp", l.address)
	if err != nil {
		return samphirefault.Wrap("listen", l.address, err)
	}
	l.socket = socket
	l.server = &http.Server{Handler: l.Handler, ReadHeaderTimeout: headerTimeout}
	return nil
}

// Addr returns the address with its port; it is empty before Listen.
func (l *Listener) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Serve answers requests until ctx ends; Listen comes first if it was not
// called.
func (l *Listener) Serve(ctx context.Context) error {
	if err := l.Listen(); err != nil {
		return err
	}
	defer l.close()
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	for ctx.Err() == nil {
		l.mu.Lock()
		server, socket := l.server, l.socket
		l.mu.Unlock()
		err := server.Serve(socket)
		if !errors.Is(err, http.ErrServerClosed) {
			return samphirefault.Wrap("serve", l.Addr(), err)
		}
		if err := l.reopen(ctx); err != nil {
			return err
		}
	}
	return nil
}

// reopen waits for the end of the time for which the listener is down.
func (l *Listener) reopen(ctx context.Context) error {
	for ctx.Err() == nil {
		l.mu.Lock()
		wait := time.Until(l.downUntil)
		if wait <= 0 {
			err := l.open()
			l.mu.Unlock()
			return err
		}
		l.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-l.wake:
		}
	}
	return nil
}

// Down drops every connection and refuses new ones for d. It does nothing
// before Serve.
func (l *Listener) Down(d time.Duration) {
	l.mu.Lock()
	server, socket := l.server, l.socket
	l.downUntil = time.Now().Add(d)
	l.mu.Unlock()
	closeBoth(server, socket)
}

// Up ends Down early.
func (l *Listener) Up() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downUntil = time.Time{}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Listener) close() {
	l.mu.Lock()
	server, socket, reserved := l.server, l.socket, l.reserved
	l.reserved = nil
	l.mu.Unlock()
	closeBoth(server, socket)
	if reserved != nil {
		_ = reserved.Close()
	}
}

// closeBoth closes the socket too, because the server does not know it before
// its Serve has begun.
func closeBoth(server *http.Server, socket net.Listener) {
	if server != nil {
		_ = server.Close()
	}
	if socket != nil {
		_ = socket.Close()
	}
}

// reserve binds a socket to address without listening.
func reserve(address string) (*os.File, string, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, "", err
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, "", err
	}
	file := os.NewFile(uintptr(socket), "reserved port")
	if err := bind(socket, tcp); err != nil {
		_ = file.Close()
		return nil, "", err
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		_ = file.Close()
		return nil, "", err
	}
	in4, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		_ = file.Close()
		return nil, "", syscall.EAFNOSUPPORT
	}
	chosen := net.TCPAddr{IP: in4.Addr[:], Port: in4.Port}
	return file, chosen.String(), nil
}

func bind(socket int, tcp *net.TCPAddr) error {
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	in4 := &syscall.SockaddrInet4{Port: tcp.Port}
	if ip := tcp.IP.To4(); ip != nil {
		copy(in4.Addr[:], ip)
	}
	return syscall.Bind(socket, in4)
}
