// Package mirror holds this process's copy of one table of the platform. The
// revision of a copy never decreases, whether its rows come from the platform or
// from another instance.
package mirror

import (
	"maps"
	"sync"
	"time"
)

// Revision numbers the successive states of a table.
type Revision uint64

// Row is one row of a table; its value is not decoded here.
type Row struct {
	Key      string
	Revision Revision
	Value    []byte
	// Removed marks a deleted row; it is set only in changes.
	Removed bool
}

// WatchOptions say how often the watch of a table may call the platform.
type WatchOptions struct {
	// Wait is how long the platform may hold a call while nothing changes.
	Wait time.Duration
	// MaxPause is the longest pause between two calls that both find changes;
	// 0 means none.
	MaxPause time.Duration
}

// Mirror is a copy of one table. The zero value is empty, at revision 0. It is
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
// the revision of the last change of a row; 0 if it is unknown. Replace reports
// whether it replaced the copy: a state that is not newer is ignored.
func (m *Mirror) Replace(rows []Row, revision, contentRevision Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.revision {
		return false
	}
	replaced := make(map[string]Row, len(rows))
	for _, r := range rows {
		replaced[r.Key] = r
	}
	if contentRevision == 0 && !maps.EqualFunc(m.rows, replaced, sameRevision) {
		contentRevision = revision
	}
	m.rows = replaced
	m.advance(revision, contentRevision)
	return true
}

func sameRevision(a, b Row) bool { return a.Revision == b.Revision }

// ApplyChanges applies the changes that lead to revision, unless the copy has
// reached it already. Rows whose copy is newer stay as they are. ApplyChanges
// returns false if it ignored the changes or if there were none.
func (m *Mirror) ApplyChanges(rows []Row, revision Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.revision {
		return false
	}
	contentRevision := Revision(0)
	for _, r := range rows {
		m.apply(r)
		contentRevision = max(contentRevision, r.Revision)
	}
	m.advance(revision, contentRevision)
	return len(rows) > 0
}

func (m *Mirror) apply(r Row) {
	if m.rows == nil {
		m.rows = make(map[string]Row)
	}
	switch known, ok := m.rows[r.Key]; {
	case ok && known.Revision >= r.Revision:
	case r.Removed:
		delete(m.rows, r.Key)
	default:
		m.rows[r.Key] = r
	}
}

// advance sets the revision of the copy, and closes the channel of Changed if a
// row changed or this is the first state.
func (m *Mirror) advance(revision, contentRevision Revision) {
	first := m.revision == 0
	m.revision = revision
	if contentRevision <= m.contentRevision && !first {
		return
	}
	m.contentRevision = max(m.contentRevision, contentRevision)
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

// Revision returns the revision of the copy; 0 means that it has no state yet.
func (m *Mirror) Revision() Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
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
