// Package record defines the rows of the platform's table service and the
// results of conditional writes.
package record

import (
	"net/url"
	"strings"
	"time"
)

// Key identifies a row. Rows are sorted by the bytes of their keys.
type Key string

// NewKey escapes each part and joins them with "/", so that different lists of
// parts never give the same key.
func NewKey(parts ...string) Key {
	escaped := make([]string, len(parts))
	for i, p := range parts {
		escaped[i] = url.PathEscape(p)
	}
	return Key(strings.Join(escaped, "/"))
}

// Version is the version number of a row, which rises with each change of the
// row; 0 stands for an absent row.
type Version uint64

// Row is one row as it was read.
type Row struct {
	Key Key
	// Version is 0 if the row is absent; Value is then empty.
	Version Version
	Value   []byte
}

// Write is a conditional write: it changes a row that has the expected version.
type Write struct {
	Key Key
	// Expected is the version that the row must have; 0 means that it must
	// be absent.
	Expected Version
	// Value replaces the row's value. It is ignored if Delete is set.
	Value  []byte
	Delete bool
}

// WriteResult is the outcome of a list of conditional writes: Written,
// Conflicted, Refused or Unknown.
type WriteResult interface{ writeResult() }

// Written means that all writes were applied.
type Written struct {
	// Versions holds the new version of each row, in the order of the
	// writes.
	Versions []Version
}

// Conflicted means that no write was or will be applied, because a row did not
// have the expected version.
type Conflicted struct {
	// Rows holds the current state of the rows in conflict.
	Rows []Row
}

// Refused means that no write was or will be applied: the request was never sent,
// or the service rejected it.
type Refused struct {
	// Err is never nil.
	Err error
	// RetryAfter is the delay that the service asked for; 0 if it gave none.
	RetryAfter time.Duration
}

// Unknown means that the writes may have been applied, or may still be.
type Unknown struct {
	// Err is never nil.
	Err error
}

func (Written) writeResult()    {}
func (Conflicted) writeResult() {}
func (Refused) writeResult()    {}
func (Unknown) writeResult()    {}
