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
const ReregistrationGrace = 2200 * time.Millisecond

// Entry is one upstream as the platform lists it.
type Entry struct {
	Upstream      id.Upstream
	Service       id.Service
	Address       string
	FailureDomain id.FailureDomain
	// Slots, KVTokens and ReadingRate, in prompt tokens a second, are 0 where
	// the list does not tell.
	Slots                  int
	KVTokens               id.Tokens
	PrefillTokensPerSecond float64
	// Draining upstreams get no new work.
	Draining bool
	// Born is the start of this life in Unix milliseconds; 0 if not told.
	StartedUnixMS int64
}

// Event is one input of the registry.
type Event interface{ event() }

// Listed brings the whole list.
type ListRead struct{ Entries []Entry }

// Lost reports that the platform can't be read. Alone is set where other
// instances still read it: then no entry lapses, since upstreams register as
// before.
type PlatformUnreachable struct{ ReachedByPeers bool }

// Regained reports that the platform can be read again.
type PlatformReachable struct{}

// Ticked passes time.
type Ticked struct{}

func (ListRead) event()            {}
func (PlatformUnreachable) event() {}
func (PlatformReachable) event()   {}
func (Ticked) event()              {}

// Registry holds the known upstreams. The zero value is ready. It is not safe
// for concurrent use.
type Registry struct {
	entries  map[id.Upstream]knownEntry
	inOutage bool
	// regained is when the last outage ended; zero if there was none.
	outageEnd time.Time
}

type knownEntry struct {
	Entry
	// missing is set while the list lacks the entry.
	missing bool
}

// Step applies ev at now and reports whether the usable upstreams may have
// changed.
func (r *Registry) Step(now time.Time, ev Event) bool {
	switch ev := ev.(type) {
	case ListRead:
		return r.applyList(now, ev.Entries)
	case PlatformUnreachable:
		r.inOutage = r.inOutage || !ev.ReachedByPeers
	case PlatformReachable:
		if r.inOutage {
			r.inOutage, r.outageEnd = false, now
		}
	case Ticked:
		return r.expireMissing(now)
	}
	return false
}

func (r *Registry) applyList(now time.Time, entries []Entry) bool {
	old := r.entries
	r.entries = make(map[id.Upstream]knownEntry, len(entries))
	for _, e := range entries {
		r.entries[e.Upstream] = knownEntry{Entry: e}
	}
	for upstream, k := range old {
		if _, listed := r.entries[upstream]; listed || k.Draining || !r.mayHaveLapsed(now) {
			continue
		}
		k.missing = true
		r.entries[upstream] = k
	}
	return true
}

// believes reports whether an entry that the list lacks may have lapsed during
// an outage only.
func (r *Registry) mayHaveLapsed(now time.Time) bool {
	if r.inOutage {
		return true
	}
	return !r.outageEnd.IsZero() && now.Sub(r.outageEnd) < ReregistrationGrace
}

func (r *Registry) expireMissing(now time.Time) bool {
	if r.mayHaveLapsed(now) {
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
