// Package dial opens TCP connections that fail soon if the other side stops
// responding without a reset.
package dial

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged
	// before the connection fails.
	unacknowledgedTimeout = 1500 * time.Millisecond
	keepAliveInterval     = time.Second
	maxKeepAliveProbes    = 2
	tcpUserTimeoutOption  = 0x12
)

// NewDialer returns a dialer that gives up connecting after timeout. Keep-alives
// detect a peer that stops responding on idle connections, TCP_USER_TIMEOUT when
// bytes were sent.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: maxKeepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(unacknowledgedTimeout.Milliseconds()))
			})
			return errors.CombineErrors(err, optionErr)
		},
	}
}
