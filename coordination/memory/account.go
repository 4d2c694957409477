// Package memory accounts for the memory and the connections that callers use. It decides
// which connection gives way when either is used up: one that holds much before one that
// holds little, and among like ones the less urgent.
package memory

import (
	"time"

	"samphirehead/state/id"
)

const (
	// smallBytes is what a holder may hold to draw on the reserve, which is
	// 1/reserveDivisor of the account. Thus large holders leave room for small ones.
	smallBytes     = 64 << 10
	reserveDivisor = 8
	// Up to 1/leavingDivisor of the connections, and at least minLeaving, may be on their way
	// out and not count against the limit.
	leavingDivisor = 8
	minLeaving     = 8
)

// Holder identifies a connection.
type Holder uint64

// State is what a connection is doing.
type State string

// The states of a connection.
const (
	// Idle connections have no request in progress.
	Idle State = "idle"
	// Receiving connections have a request that has not arrived whole.
	Receiving State = "receiving"
	// Serving connections have a request that arrived whole. They never give way.
	Serving State = "serving"
	// Blocked connections have an answer that the caller does not read.
	Blocked State = "blocked"
)

// Verdict is the answer to a request for memory or for a connection.
type Verdict string

// The verdicts.
const (
	Granted Verdict = "granted"
	Refused Verdict = "refused"
	// Waiting means that others are giving way: the request is to be made again after the
	// next release.
	Waiting Verdict = "waiting"
)

// Victim is a connection that is to give way.
type Victim struct {
	Holder Holder
	// KeepOnly is set if the connection goes on and only the bytes that it retains are to
	// be released. Otherwise its request is refused, or it is closed if it has none.
	KeepOnly bool
}

// Account is the state machine. Its exported fields are set before the first use. It is
// not safe for concurrent use.
type Account struct {
	// Bytes bounds the sum of what is held; 0 sets no bound.
	Bytes int64
	// Connections bounds the connections; 0 sets no bound.
	Connections int
	// StallAfter is after how long without progress an idle or receiving connection counts
	// as holding many times its bytes.
	StallAfter time.Duration

	held, peak int64
	// leaving is the part of held that victims are about to release.
	leaving int64
	// leavingConnections is how many connections were told to give way.
	leavingConnections int
	holders            map[Holder]*holder
	addresses          map[string]int64
	workspaces         map[id.Workspace]int64
}

// Open adds an idle connection that holds n bytes. A connection that is not granted is not
// added. Any other that may give way and is no smaller does so, the one first that made no
// progress for longest.
func (a *Account) Open(now time.Time, h Holder, address string, n int64) (Verdict, []Victim) {
	a.init()
	added := &holder{id: h, address: address, state: Idle, progressAt: now}
	var victims []Victim
	if a.Connections > 0 && len(a.holders)-a.leavingConnections >= a.Connections {
		victim := a.largest(now, (*holder).mayEnd)
		if victim == nil || a.leavingConnections >= max(a.Connections/leavingDivisor, minLeaving) {
			return Waiting, nil
		}
		victims = append(victims, a.end(victim))
	}
	asked := added.rank(now, a, n)
	verdict, more := a.draw(now, added, n, func(other rank) bool { return asked.size <= other.size })
	victims = append(victims, more...)
	switch {
	case verdict == Granted:
		a.holders[h] = added
		a.add(added, n)
	case verdict == Refused && n <= a.Bytes:
		// A request may end any moment.
		verdict = Waiting
	}
	return verdict, victims
}

// Draw asks for n further bytes for a connection. The bytes are counted if they are
// granted. A connection that was told to give way is refused.
func (a *Account) Draw(now time.Time, h Holder, n int64) (Verdict, []Victim) {
	v, known := a.holders[h]
	if !known || v.leaving {
		return Refused, nil
	}
	asked := v.rank(now, a, n)
	verdict, victims := a.draw(now, v, n, asked.below)
	if verdict == Granted {
		a.add(v, n)
		v.progressAt = now
	}
	return verdict, victims
}

// Release gives back bytes of a connection.
func (a *Account) Release(h Holder, n int64) {
	if v, known := a.holders[h]; known {
		a.add(v, -min(n, v.bytes))
	}
}

// Retain marks n of the bytes of a serving connection as ones that it can do without: the
// body of a request that will hardly be sent again.
func (a *Account) Retain(h Holder, n int64) {
	if v, known := a.holders[h]; known && v.state == Serving {
		v.retained = min(n, v.bytes)
	}
}

// Change reports the state of a connection. It reports whether the connection may go on;
// one that was told to give way may not.
func (a *Account) Change(now time.Time, h Holder, s State) bool {
	v, known := a.holders[h]
	if !known {
		return false
	}
	if s == Serving && v.leaving {
		return false
	}
	v.state, v.progressAt, v.retained = s, now, 0
	return true
}

// Identify reports whose request a connection has, and how urgent that is, 0 first.
func (a *Account) Identify(h Holder, workspace id.Workspace, urgency int) {
	v, known := a.holders[h]
	if !known {
		return
	}
	bytes := v.bytes
	a.add(v, -bytes)
	v.workspace, v.urgency = workspace, urgency
	a.add(v, bytes)
}

// Close removes a connection with all that it holds.
func (a *Account) Close(h Holder) {
	v, known := a.holders[h]
	if !known {
		return
	}
	a.add(v, -v.bytes)
	if v.leaving {
		a.leavingConnections--
	}
	delete(a.holders, h)
}

// Held returns the bytes that are held now, and the most that were.
func (a *Account) Held() (now, peak int64) { return a.held, a.peak }

// Count returns how many connections there are.
func (a *Account) Count() int { return len(a.holders) }

// draw decides on n bytes for v without counting them. Connections of the ranks that
// yields admits may be told to give way.
func (a *Account) draw(now time.Time, v *holder, n int64, yields func(rank) bool) (Verdict, []Victim) {
	if a.Bytes <= 0 {
		return Granted, nil
	}
	limit := a.Bytes
	if v.bytes+n > smallBytes {
		limit -= a.Bytes / reserveDivisor
	}
	if v.bytes+n > limit {
		return Refused, nil
	}
	if a.held+n <= limit {
		return Granted, nil
	}
	if a.held-a.leaving+n <= limit {
		return Waiting, nil
	}
	victims, enough := a.makeRoom(now, a.held-a.leaving+n-limit, func(other *holder) bool {
		return other.id != v.id && other.mayEnd() && yields(other.rank(now, a, 0))
	})
	if !enough {
		return Refused, nil
	}
	return Waiting, victims
}

// makeRoom names connections that give way for the wanted bytes, among those that eligible
// admits. If all of them would not be enough, it names none and returns false.
func (a *Account) makeRoom(now time.Time, wanted int64, eligible func(*holder) bool) (victims []Victim, enough bool) {
	retaining, ending := a.candidates(now, eligible)
	available := int64(0)
	for _, c := range retaining {
		available += c.retained
	}
	for _, c := range ending {
		available += c.bytes
	}
	if available < wanted {
		return nil, false
	}
	leavingAfter := a.leaving + wanted
	for _, c := range retaining {
		if a.leaving < leavingAfter {
			victims = append(victims, a.drop(c.holder))
		}
	}
	for _, c := range ending {
		if a.leaving < leavingAfter {
			victims = append(victims, a.end(c.holder))
		}
	}
	return victims, true
}

// end tells a connection to give way.
func (a *Account) end(v *holder) Victim {
	v.leaving = true
	a.leaving += v.bytes
	a.leavingConnections++
	return Victim{Holder: v.id}
}

// drop tells a connection to release what it retains.
func (a *Account) drop(v *holder) Victim {
	a.leaving += v.retained
	v.dropping += v.retained
	v.retained = 0
	return Victim{Holder: v.id, KeepOnly: true}
}

// add changes what a connection holds by n bytes.
func (a *Account) add(v *holder, n int64) {
	v.bytes += n
	a.held += n
	a.peak = max(a.peak, a.held)
	a.release(v, n)
	addTo(a.addresses, v.address, n)
	addTo(a.workspaces, v.workspace, n)
}

// release corrects leaving after v has changed by n bytes.
func (a *Account) release(v *holder, n int64) {
	switch {
	case v.leaving:
		a.leaving += n
	case n < 0:
		released := min(v.dropping, -n)
		v.dropping -= released
		a.leaving -= released
	}
}

func addTo[K comparable](sums map[K]int64, key K, n int64) {
	if sums[key] += n; sums[key] == 0 {
		delete(sums, key)
	}
}

func (a *Account) init() {
	if a.holders == nil {
		a.holders = make(map[Holder]*holder)
		a.addresses = make(map[string]int64)
		a.workspaces = make(map[id.Workspace]int64)
	}
}
