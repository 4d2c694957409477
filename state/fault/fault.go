// Package fault defines an error that carries the operation that failed and the
// peer involved.
package fault

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error adds to an error the operation that failed and the peer involved.
type Error struct {
	// Op names the operation, in lower case, such as "read log".
	Op string
	// Peer is the id or address of the other side; empty if there is none.
	Peer string
	// Cause is the underlying error; never nil.
	Cause error
}

func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Op, e.Cause)
	}
	return fmt.Sprintf("%s at %s: %v", e.Op, e.Peer, e.Cause)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// Wrap returns an Error of op, peer and cause, or nil if cause is nil.
func Wrap(op, peer string, cause error) error {
	if cause == nil {
		return nil
	}
	return &Error{Op: op, Peer: peer, Cause: cause}
}

// New returns an Error of op and peer whose cause has the given message.
func New(op, peer, message string) error {
	return &Error{Op: op, Peer: peer, Cause: errors.New(message)}
}
