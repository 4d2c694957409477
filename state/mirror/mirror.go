// Package mirror holds this process's copy of one table of the platform. The
// revision of a copy never decreases, whether its rows come from the platform or
// from another instance.
package mirror

import (
	"cmp"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Revision orders the successive states of a table. The zero value is before all others.
type Revision struct {
	// Era counts how often the platform was restored from a copy. Numbers of an
	// earlier era may be given out again.
	Era uint64 `json:"era"`
	// Number orders the states of one era.
	Number uint64 `json:"number"`
}

// Compare returns a negative number if r is before other, 0 if they are equal, and
// otherwise a positive number.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether r is after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsZero reports whether r is the revision of a copy without a state.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the era and the number.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }

// Row is one row of a table; its value is not decoded here.
type Row struct {
	Key      string
	Revision Revision
	Value    []byte
	// Removed marks a deleted row; it is set only in changes.
	Removed bool
}

// Call is the end of one call of a watch.
type Call struct {
	// Begun is when the call began.
	Begun time.Time
	// Read is set if the copy is as of Begun or later.
	Read bool
	// Err is nil if the platform answered.
	Err error
}

// WatchOptions say how often the watch of a table may call the platform.
type WatchOptions struct {
	// Wait is how long the platform may hold a call while nothing changes.
	Wait time.Duration
	// MinPause and MaxPause are the shortest and the longest pause between two calls that
	// both find changes; MaxPause 0 means none.
	MinPause, MaxPause time.Duration
}

// Mirror is a copy of one table. The zero value is empty, at revision zero. It is
// safe for concurrent use.
type Mirror struct {
	mu       sync.Mutex
	rows     map[string]Row
	revision Revision
	// contentRevision is the revision of the last change of a row.
	contentRevision Revision
	changed         chan struct{}
}

// Replace replaces the copy by the whole table as of revision. contentRevision is
// the revision of the last change of a row; zero if it is unknown. Replace reports
// whether it replaced the copy: a state that is not newer is ignored. One of a later
// era is newer, also if it has fewer changes.
func (m *Mirror) Replace(rows []Row, revision, contentRevision Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !revision.After(m.revision) {
		return false
	}
	replaced := make(map[string]Row, len(rows))
	for _, r := range rows {
		replaced[r.Key] = r
	}
	switch {
	case !contentRevision.IsZero():
	case m.revision.IsZero() && len(rows) > 0:
		// Others that have the same rows are to see that they are the same.
		contentRevision = newest(rows)
	case revision.Era != m.revision.Era || !maps.EqualFunc(m.rows, replaced, sameRevision):
		contentRevision = revision
	}
	m.rows = replaced
	m.advance(revision, contentRevision)
	return true
}

func newest(rows []Row) (revision Revision) {
	for _, r := range rows {
		revision = later(revision, r.Revision)
	}
	return revision
}

func later(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

func sameRevision(a, b Row) bool { return a.Revision == b.Revision }

// ApplyChanges applies the changes that lead to revision, unless the copy has
// reached it already or is of another era. Rows whose copy is newer stay as they are.
// ApplyChanges returns false if it ignored the changes or if there were none.
func (m *Mirror) ApplyChanges(rows []Row, revision Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision.Era != m.revision.Era || !revision.After(m.revision) {
		return false
	}
	var contentRevision Revision
	for _, r := range rows {
		m.apply(r)
		contentRevision = later(contentRevision, r.Revision)
	}
	m.advance(revision, contentRevision)
	return len(rows) > 0
}

func (m *Mirror) apply(r Row) {
	if m.rows == nil {
		m.rows = make(map[string]Row)
	}
	switch known, ok := m.rows[r.Key]; {
	case ok && !r.Revision.After(known.Revision):
	case r.Removed:
		delete(m.rows, r.Key)
	default:
		m.rows[r.Key] = r
	}
}

// advance sets the revision of the copy, and closes the channel of Changed if a
// row changed or this is the first state.
func (m *Mirror) advance(revision, contentRevision Revision) {
	first := m.revision.IsZero()
	m.revision = revision
	if !contentRevision.After(m.contentRevision) && !first {
		return
	}
	m.contentRevision = later(m.contentRevision, contentRevision)
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// ContentRevision returns the revision of the last change of a row. Unlike
// Revision, it stays the same while no row changes.
func (m *Mirror) ContentRevision() Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contentRevision
}

// Revision returns the revision of the copy; zero means that it has no state yet.
func (m *Mirror) Revision() Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Digest returns a hash of the keys and revisions of all rows, the same for copies that have
// the same rows.
func (m *Mirror) Digest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	digest := uint64(0)
	for key, r := range m.rows {
		digest += xxhash.Sum64String(fmt.Sprint(r.Revision, " ", key))
	}
	return digest
}

// Rows returns the rows by key and the revision of the copy.
func (m *Mirror) Rows() (map[string]Row, Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.rows), m.revision
}

// Changed returns a channel that is closed at the next change of a row.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}
