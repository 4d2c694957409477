// Package mirror holds this process's copy of one table of the platform. A
// copy only moves forward, whether its rows come from the platform or from
// another instance.
package mirror

import (
	"maps"
	"sync"
)

// Revision numbers the states of a table.
type Revision uint64

// Row is one row; its value is not decoded here.
type Row struct {
	Key      string
	Revision Revision
	Value    []byte
	// Removed is set in changes only.
	Removed bool
}

// Mirror is a copy of one table. The zero value is empty, at revision 0. It is
// safe for concurrent use.
type Mirror struct {
	mu       sync.Mutex
	rows     map[string]Row
	revision Revision
	// content is the revision of the last change of a row.
	contentRevision Revision
	changed         chan struct{}
}

// Replace takes over the whole table as of a revision, with the revision of
// the last change of its rows where that is known. It reports whether the copy
// moved: an older state than the copy's is ignored.
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

// Change applies changes that lead to a revision. Rows that the copy has in a
// newer state are left as they are.
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

// advance moves the copy on and tells those who wait if a row changed.
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

// Content returns the revision of the last change of a row.
func (m *Mirror) ContentRevision() Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contentRevision
}

// Revision returns the state that the copy has reached; 0 means none.
func (m *Mirror) Revision() Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Rows returns the copy and its revision.
func (m *Mirror) Rows() (map[string]Row, Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.rows), m.revision
}

// Changed returns a channel that is closed when a row changes.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}
