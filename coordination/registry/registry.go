// Package registry decides which upstreams may get new work, based on the list
// that the platform publishes. It is a state machine without I/O: callers pass
// it events together with the current time.
package registry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"samphirehead/state/id"
)

// ReregistrationGrace is how long after a platform outage an upstream that is
// missing from the list remains usable. Its registration may have expired
// during the outage, and it may not have registered again yet.
const ReregistrationGrace = 2200 * time.Millisecond

// StaleEntryTime is how long after the platform was restored from a copy an upstream that
// had left may be listed again. It ends when the platform has missed its renewals.
const StaleEntryTime = 5 * time.Second

// leavingTTL is how long an upstream that said that it leaves counts as leaving if the
// list lacks it.
const leavingTTL = time.Minute

// Entry is one upstream in the platform's list.
type Entry struct {
	Upstream      id.Upstream
	Service       id.Service
	Address       string
	FailureDomain id.FailureDomain
	Software      id.SoftwareVersion
	// Slots, KVTokens and PrefillTokensPerSecond are 0 if the list does not
	// contain them.
	Slots                  int
	KVTokens               id.Tokens
	PrefillTokensPerSecond float64
	// Draining upstreams get no new work.
	Draining bool
	// Spot upstreams may be reclaimed by the platform.
	Spot bool
	// StartedUnixMS is when this incarnation of the upstream started, in Unix
	// milliseconds. It is 0 if the list does not contain it.
	StartedUnixMS int64
}

// Incarnation identifies one start of an upstream, as far as the list tells.
type Incarnation struct {
	Upstream id.Upstream
	// StartedUnixMS is that of its Entry.
	StartedUnixMS int64
}

// Incarnation returns the incarnation that the entry describes.
func (e Entry) Incarnation() Incarnation { return Incarnation{e.Upstream, e.StartedUnixMS} }

// Event is an input of the registry.
type Event interface{ event() }

// ListRead reports the platform's complete list.
type ListRead struct {
	Entries []Entry
	// Era counts how often the platform was restored from a copy. The list of a later
	// era may be older than that of the one before.
	Era uint64
}

// PlatformUnreachable reports that this instance can't read the platform.
// ReachedByPeers is set if other instances still read it. Upstreams then keep
// renewing their registrations, so an entry that disappears was removed.
type PlatformUnreachable struct{ ReachedByPeers bool }

// LeavingStated reports that an upstream said in an answer, to this instance or another
// one, that it leaves.
type LeavingStated struct{ Incarnation }

// PlatformReachable reports that the platform can be read again.
type PlatformReachable struct{}

// ListConfirmed reports that the last ListRead is the platform's list of Since or later.
type ListConfirmed struct {
	Since time.Time
	// ByPeer is set if another instance says so, which also knows of outages.
	ByPeer bool
}

// AnswerReceived reports an answer to a request that was sent at SentAt to an upstream, over a
// connection that was opened at ConnectedAt. Incarnation is the one that was listed then.
type AnswerReceived struct {
	Incarnation
	ConnectedAt, SentAt time.Time
}

// Ticked reports that time has passed.
type Ticked struct{}

func (ListRead) event()            {}
func (PlatformUnreachable) event() {}
func (LeavingStated) event()       {}
func (PlatformReachable) event()   {}
func (ListConfirmed) event()       {}
func (AnswerReceived) event()      {}
func (Ticked) event()              {}

// Registry holds the known upstreams. The zero value is ready. It is not safe
// for concurrent use.
type Registry struct {
	entries map[id.Upstream]knownEntry
	// leaving holds when upstreams first said that they leave, in an answer or the list.
	leaving map[Incarnation]time.Time
	// left holds when upstreams left the list.
	left map[Incarnation]time.Time
	// era is that of the last list. If it rose, upstreams that had left may be listed
	// again until staleUntil, which is zero at other times.
	era        uint64
	staleUntil time.Time
	// inOutage is set from the time at which neither this instance nor its
	// peers can read the platform until this instance reads it again.
	inOutage bool
	// outageEnd is when the last outage ended; zero if there was none.
	outageEnd time.Time
	// confirmedAt is the last time of which it is known which upstreams served.
	confirmedAt time.Time
	// answeredAt holds times at which incarnations still served, as they answered over a
	// connection from before.
	answeredAt map[Incarnation]time.Time
}

type knownEntry struct {
	Entry
	// missing is set while the entry is kept although the list lacks it.
	missing bool
}

// Step applies ev at the time now and reports whether the result of Usable may
// have changed.
func (r *Registry) Step(now time.Time, ev Event) bool {
	switch ev := ev.(type) {
	case ListRead:
		return r.applyList(now, ev)
	case PlatformUnreachable:
		r.inOutage = r.inOutage || !ev.ReachedByPeers
	case PlatformReachable:
		if r.inOutage {
			r.inOutage, r.outageEnd = false, now
		}
	case ListConfirmed:
		r.confirm(ev)
	case AnswerReceived:
		r.answered(ev)
	case LeavingStated:
		return r.leavingStated(now, ev.Incarnation)
	case Ticked:
		r.forget(now)
		return r.endStale(now) || r.expireMissing(now)
	}
	return false
}

// confirm records that the list was confirmed, unless upstreams may have started again, under
// the same id, that could not register then.
func (r *Registry) confirm(ev ListConfirmed) {
	settled := !r.inOutage && (r.outageEnd.IsZero() || ev.Since.Sub(r.outageEnd) >= ReregistrationGrace)
	if (settled || ev.ByPeer) && ev.Since.After(r.confirmedAt) {
		r.confirmedAt = ev.Since
	}
}

// answered records that an incarnation served when a request was sent that it answered over
// a connection of a time at which it certainly served: it has run ever since.
func (r *Registry) answered(ev AnswerReceived) {
	at := r.ServedAt(ev.Incarnation)
	if ev.ConnectedAt.After(at) || !ev.SentAt.After(at) {
		return
	}
	if r.answeredAt == nil {
		r.answeredAt = make(map[Incarnation]time.Time)
	}
	r.answeredAt[ev.Incarnation] = ev.SentAt
}

// ServedAt returns the last time at which an incarnation certainly served, if it was listed
// then; zero if there is none. A confirmed list tells nothing of an incarnation in whose
// place it has another one.
func (r *Registry) ServedAt(i Incarnation) time.Time {
	at := r.answeredAt[i]
	k, known := r.entries[i.Upstream]
	replaced := known && !k.missing && k.Incarnation() != i
	if !replaced && r.confirmedAt.After(at) {
		return r.confirmedAt
	}
	return at
}

// ConfirmedAt returns the last time of which it is known that the incarnations in the list
// were those that served; zero if there is none. Since then, an upstream may have started
// again under its id.
func (r *Registry) ConfirmedAt() time.Time { return r.confirmedAt }

func (r *Registry) leavingStated(now time.Time, l Incarnation) (changed bool) {
	if r.leaving == nil {
		r.leaving = make(map[Incarnation]time.Time)
	}
	if _, known := r.leaving[l]; known {
		return false
	}
	r.leaving[l] = now
	return true
}

// forget forgets what is known of incarnations that have left, unless they are listed.
func (r *Registry) forget(now time.Time) {
	for _, known := range []map[Incarnation]time.Time{r.leaving, r.left, r.answeredAt} {
		maps.DeleteFunc(known, func(l Incarnation, at time.Time) bool { return !r.lists(l) && now.Sub(at) > leavingTTL })
	}
}

// endStale lets upstreams be used that are still listed long after the platform was
// restored, though they had left.
func (r *Registry) endStale(now time.Time) (changed bool) {
	if r.staleUntil.IsZero() || now.Before(r.staleUntil) {
		return false
	}
	r.staleUntil = time.Time{}
	maps.DeleteFunc(r.left, func(l Incarnation, _ time.Time) bool { return r.lists(l) })
	return true
}

// lists reports whether the list contains this incarnation of an upstream.
func (r *Registry) lists(l Incarnation) bool {
	k, ok := r.entries[l.Upstream]
	return ok && k.Incarnation() == l
}

// Leaving returns the upstreams that said that they leave but are listed as if they did
// not, in any order.
func (r *Registry) Leaving() []Incarnation {
	var leaving []Incarnation
	for l := range r.leaving {
		if r.lists(l) && !r.entries[l.Upstream].Draining {
			leaving = append(leaving, l)
		}
	}
	return leaving
}

func (r *Registry) applyList(now time.Time, ev ListRead) bool {
	if ev.Era > r.era && r.entries != nil {
		r.outageEnd = now
		r.staleUntil = now.Add(StaleEntryTime)
	}
	r.era = max(r.era, ev.Era)
	old := r.entries
	r.entries = make(map[id.Upstream]knownEntry, len(ev.Entries))
	for _, e := range ev.Entries {
		r.entries[e.Upstream] = knownEntry{Entry: e}
		if e.Draining {
			r.leavingStated(now, e.Incarnation())
		}
	}
	for upstream, k := range old {
		if _, listed := r.entries[upstream]; listed {
			continue
		}
		if k.Draining || !r.mayHaveLapsed(now) {
			r.recordLeft(now, k.Incarnation())
			continue
		}
		k.missing = true
		r.entries[upstream] = k
	}
	if r.staleUntil.IsZero() {
		maps.DeleteFunc(r.left, func(l Incarnation, _ time.Time) bool { return r.lists(l) })
	}
	return true
}

// recordLeft records that an upstream left the list. One that does not say when it
// started may start again under the same id.
func (r *Registry) recordLeft(now time.Time, l Incarnation) {
	if r.left == nil {
		r.left = make(map[Incarnation]time.Time)
	}
	r.left[l] = now
	if l.StartedUnixMS == 0 {
		delete(r.leaving, l)
	}
}

// mayHaveLapsed reports whether an entry may be missing from the list only
// because its registration expired during an outage.
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
			r.recordLeft(now, k.Incarnation())
			changed = true
		}
	}
	return changed
}

// stale reports whether an entry may be listed only because the platform was restored from
// a copy of before the upstream left.
func (r *Registry) stale(k knownEntry) bool {
	_, left := r.left[k.Incarnation()]
	return left && !r.staleUntil.IsZero()
}

// Usable returns the upstreams that may get new work, ordered by ID.
func (r *Registry) Usable() []Entry {
	var usable []Entry
	for _, k := range r.entries {
		if _, leaving := r.leaving[k.Incarnation()]; !k.Draining && !leaving && !r.stale(k) {
			usable = append(usable, k.Entry)
		}
	}
	slices.SortFunc(usable, func(a, b Entry) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return usable
}
