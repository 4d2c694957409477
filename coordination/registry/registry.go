// Package registry decides which upstreams may get new work, from what the
// platform lists. It is a pure machine: events and times go in.
package registry

import (
	"slices"
	"strings"
	"time"

	"samphirehead/state/id"
)

// ReturnTime is how long after an outage of the platform an upstream that the
// list lacks is still believed to run: it may not have registered again yet.
const ReturnTime = 2200 * time.Millisecond

// Entry is one upstream as the platform lists it.
type Entry struct {
	Upstream      id.Upstream
	Service       id.Service
	Address       string
	FailureDomain id.FailureDomain
	// Slots, KVTokens and ReadingRate, in prompt tokens a second, are 0 where
	// the list does not tell.
	Slots       int
	KVTokens    id.Tokens
	ReadingRate float64
	// Draining upstreams get no new work.
	Draining bool
	// Born is the start of this life in Unix milliseconds; 0 if not told.
	Born int64
}

// Event is one input of the registry.
type Event interface{ event() }

// Listed brings the whole list.
type Listed struct{ Entries []Entry }

// Lost reports that the platform can't be read. Alone is set where other
// instances still read it: then no entry lapses, since upstreams register as
// before.
type Lost struct{ Alone bool }

// Regained reports that the platform can be read again.
type Regained struct{}

// Ticked passes time.
type Ticked struct{}

func (Listed) event()   {}
func (Lost) event()     {}
func (Regained) event() {}
func (Ticked) event()   {}

// Registry holds the known upstreams. The zero value is ready. It is not safe
// for concurrent use.
type Registry struct {
	entries map[id.Upstream]known
	lost    bool
	// regained is when the last outage ended; zero if there was none.
	regained time.Time
}

type known struct {
	Entry
	// missing is set while the list lacks the entry.
	missing bool
}

// Step applies ev at now and reports whether the usable upstreams may have
// changed.
func (r *Registry) Step(now time.Time, ev Event) bool {
	switch ev := ev.(type) {
	case Listed:
		return r.list(now, ev.Entries)
	case Lost:
		r.lost = r.lost || !ev.Alone
	case Regained:
		if r.lost {
			r.lost, r.regained = false, now
		}
	case Ticked:
		return r.expire(now)
	}
	return false
}

func (r *Registry) list(now time.Time, entries []Entry) bool {
	old := r.entries
	r.entries = make(map[id.Upstream]known, len(entries))
	for _, e := range entries {
		r.entries[e.Upstream] = known{Entry: e}
	}
	for upstream, k := range old {
		if _, listed := r.entries[upstream]; listed || k.Draining || !r.believes(now) {
			continue
		}
		k.missing = true
		r.entries[upstream] = k
	}
	return true
}

// believes reports whether an entry that the list lacks may have lapsed during
// an outage only.
func (r *Registry) believes(now time.Time) bool {
	if r.lost {
		return true
	}
	return !r.regained.IsZero() && now.Sub(r.regained) < ReturnTime
}

func (r *Registry) expire(now time.Time) bool {
	if r.believes(now) {
		return false
	}
	changed := false
	for upstream, k := range r.entries {
		if k.missing {
			delete(r.entries, upstream)
			changed = true
		}
	}
	return changed
}

// Usable returns the upstreams that may get new work, ordered by id.
func (r *Registry) Usable() []Entry {
	var usable []Entry
	for _, k := range r.entries {
		if !k.Draining {
			usable = append(usable, k.Entry)
		}
	}
	slices.SortFunc(usable, func(a, b Entry) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return usable
}
