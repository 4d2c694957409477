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
	// keepAliveIdle is how long a connection is idle before the first probe, and
	// keepAliveInterval the time between further ones. The kernel counts both in seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// tcpUserTimeoutOption is TCP_USER_TIMEOUT of Linux. It bounds how long sent bytes may stay
	// unacknowledged. It also decides when probes give up, at the first one that is due after
	// that time without a byte; the count of probes then means nothing.
	tcpUserTimeoutOption = 0x12
)

// NewDialer returns a dialer that gives up connecting after timeout. Its connections outlive a
// silence of the other side, beginning at any moment, and fail not much later: keep-alives show
// it on idle connections, TCP_USER_TIMEOUT when bytes were sent.
func NewDialer(timeout, silence time.Duration) *net.Dialer {
	userTimeout := keepAliveIdle + silence
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval,
			Count: int(userTimeout/keepAliveInterval) + 1,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(userTimeout.Milliseconds()))
			})
			return errors.CombineErrors(err, optionErr)
		},
	}
}
