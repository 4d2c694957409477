// Package listener runs the HTTP server of a stand-in. Its port stays reserved
// while the stand-in simulates an outage.
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
	// Address is an IP address and port; port 0 lets the kernel choose one.
	Address string
	// Handler serves the requests.
	Handler http.Handler

	mu sync.Mutex
	// reserved is a socket that is bound to the port and never listens. While
	// ln is closed the kernel refuses connections, and no other process can
	// take the port.
	reserved     *os.File
	boundAddress string
	ln           net.Listener
	server       *http.Server
	// wake interrupts the wait of reopen; its buffer of one keeps a signal
	// that is sent before the wait.
	wake      chan struct{}
	downUntil time.Time
}

// Listen binds the port and starts to listen; connections queue until Serve.
func (l *Listener) Listen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		return nil
	}
	reserved, boundAddress, err := reserve(l.Address)
	if err != nil {
		return samphirefault.Wrap("reserve a port", l.Address, err)
	}
	l.reserved, l.boundAddress = reserved, boundAddress
	l.wake = make(chan struct{}, 1)
	return l.open()
}

// open starts to listen on the reserved address. The caller holds mu.
func (l *Listener) open() error {
	config := net.ListenConfig{}
	ln, err := config.Listen(context.Background(), "tcp", l.boundAddress)
	if err != nil {
		return samphirefault.Wrap("listen", l.boundAddress, err)
	}
	l.ln = ln
	l.server = &http.Server{Handler: l.Handler, ReadHeaderTimeout: headerTimeout}
	return nil
}

// Addr returns the bound IP address and port. It is empty before Listen.
func (l *Listener) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.boundAddress
}

// Serve serves requests until ctx is done. It calls Listen if that was not
// done before.
func (l *Listener) Serve(ctx context.Context) error {
	if err := l.Listen(); err != nil {
		return err
	}
	defer l.close()
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	for ctx.Err() == nil {
		l.mu.Lock()
		server, ln := l.server, l.ln
		l.mu.Unlock()
		err := server.Serve(ln)
		if !errors.Is(err, http.ErrServerClosed) {
			return samphirefault.Wrap("serve", l.Addr(), err)
		}
		if err := l.reopen(ctx); err != nil {
			return err
		}
	}
	return nil
}

// reopen listens again when the outage that TakeDown began is over.
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

// TakeDown drops every connection and refuses new ones for d. It has no effect
// before Listen.
func (l *Listener) TakeDown(d time.Duration) {
	l.mu.Lock()
	server, ln := l.server, l.ln
	l.downUntil = time.Now().Add(d)
	l.mu.Unlock()
	closeServer(server, ln)
}

// BringUp ends an outage that TakeDown began, even if its duration is not over.
func (l *Listener) BringUp() {
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
	server, ln, reserved := l.server, l.ln, l.reserved
	l.reserved = nil
	l.mu.Unlock()
	closeServer(server, ln)
	if reserved != nil {
		_ = reserved.Close()
	}
}

// closeServer closes ln as well, because the server closes only listeners that
// were passed to its Serve, which may not have been called yet.
func closeServer(server *http.Server, ln net.Listener) {
	if server != nil {
		_ = server.Close()
	}
	if ln != nil {
		_ = ln.Close()
	}
}

// reserve binds a socket to address without listening on it. It returns the
// socket and its address with the actual port.
func reserve(address string) (*os.File, string, error) {
	tcpAddr, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, "", err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, "", err
	}
	file := os.NewFile(uintptr(fd), "reserved port")
	if err := bind(fd, tcpAddr); err != nil {
		_ = file.Close()
		return nil, "", err
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		_ = file.Close()
		return nil, "", err
	}
	sockaddr, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		_ = file.Close()
		return nil, "", syscall.EAFNOSUPPORT
	}
	boundAddr := net.TCPAddr{IP: sockaddr.Addr[:], Port: sockaddr.Port}
	return file, boundAddr.String(), nil
}

func bind(fd int, tcpAddr *net.TCPAddr) error {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	sockaddr := &syscall.SockaddrInet4{Port: tcpAddr.Port}
	if ip := tcpAddr.IP.To4(); ip != nil {
		copy(sockaddr.Addr[:], ip)
	}
	return syscall.Bind(fd, sockaddr)
}
