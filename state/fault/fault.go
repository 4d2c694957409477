// Package fault defines the error that carries the step and the peer at which
// it arose.
package fault

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error says at which step, and towards which peer, something failed.
type Error struct {
	// Step names what was being done, in lower case.
	Op string
	// Peer names the other side: an id or an address; empty when none.
	Peer string
	// Cause is never nil.
	Cause error
}

func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Op, e.Cause)
	}
	return fmt.Sprintf("%s at %s: %v", e.Op, e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// At adds step and peer to cause; it returns nil for a nil cause.
func Wrap(op, peer string, cause error) error {
	if cause == nil {
		return nil
	}
	return &Error{Op: op, Peer: peer, Cause: cause}
}

// New makes an error with step and peer from a message.
func New(op, peer, message string) error {
	return &Error{Op: op, Peer: peer, Cause: errors.New(message)}
}
