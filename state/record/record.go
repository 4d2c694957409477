// Package record defines the rows of the platform's table service and the
// results of reading and writing them.
package record

import (
	"net/url"
	"strings"
	"time"
)

// Key names a row. Rows are ordered by the bytes of their keys.
type Key string

// NewKey joins parts with "/", after escaping each, so that no two lists of
// parts give the same key.
func NewKey(parts ...string) Key {
	escaped := make([]string, len(parts))
	for i, p := range parts {
		escaped[i] = url.PathEscape(p)
	}
	return Key(strings.Join(escaped, "/"))
}

// Version is the number of a row's last change. It rises with each change of
// a row; 0 stands for an absent row.
type Version uint64

// Row is one row as read.
type Row struct {
	Key Key
	// Version is 0 where the row is absent; Value is then empty.
	Version Version
	Value   []byte
}

// Write changes one row if it still has the expected version.
type Write struct {
	Key Key
	// Expected is the version that the row must have; 0 means that it must
	// be absent.
	Expected Version
	// Value replaces the row's value. It is ignored when Delete is set.
	Value  []byte
	Delete bool
}

// WriteResult is what is known of a conditional write: Written, Conflicted,
// Refused or Unknown.
type WriteResult interface{ writeResult() }

// Written reports that all writes took effect.
type Written struct {
	// Versions holds the new version of each row, in the order of the
	// writes.
	Versions []Version
}

// Conflicted reports that no write took effect, and none will, because a row
// had another version than expected.
type Conflicted struct {
	// Rows holds the rows in conflict as they are now.
	Rows []Row
}

// Refused reports that no write took effect, and none will: the request was
// never sent or the service rejected it.
type Refused struct {
	// Err is never nil.
	Err error
	// RetryAfter is 0 where the service named no delay.
	RetryAfter time.Duration
}

// Unknown reports that the writes may have taken effect, or may yet do so.
type Unknown struct {
	// Err is never nil.
	Err error
}

func (Written) writeResult()    {}
func (Conflicted) writeResult() {}
func (Refused) writeResult()    {}
func (Unknown) writeResult()    {}
