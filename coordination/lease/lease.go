// Package lease decides who holds a lease in the platform's table, so that
// work that must have one owner has at most one.
//
// No clocks are compared. A holder counts its lease from the moment before it
// sent the write that was confirmed. A candidate counts from the moment after
// it read the row, and takes over when the row did not change for the lease's
// duration and a margin. The candidate's moment is the later one, so the lease
// has ended for its holder before another can take it, as long as their clocks
// run at rates that differ by less than the margin.
package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/state/id"
	"samphirehead/state/record"
)

// Prefix starts the key of every lease.
const Prefix record.Key = "leases/"

// NewKey returns the key of the lease with a name.
func NewKey(name string) record.Key { return Prefix + record.NewKey(name) }

// Defaults and fixed shares of a lease's duration.
const (
	DefaultDuration = 10 * time.Second

	// renewals is how often a holder renews within the duration.
	renewalsPerDuration = 4
	// retries is how often a failed write is repeated within the duration.
	retriesPerDuration = 16
	// marginShare of the duration allows for clocks of unlike rates: the
	// holder stops earlier and the candidate waits longer by it.
	marginDivisor = 8
)

// Row is the value of a lease in the table.
type Row struct {
	Holder id.Instance `json:"holder"`
	// Life is unique to a process; a restarted holder is another one.
	Incarnation id.Attempt `json:"life"`
	// Number rises by one with each new holder and never falls.
	FencingNumber id.FencingNumber `json:"fencing"`
	// Write counts the writes of the process, so that no two are alike.
	Write uint64 `json:"write"`
	// Released is set when the holder has given the lease up.
	Released bool `json:"released"`
}

// Event is one input of a Lease.
type Event interface{ event() }

// Started begins to compete for the lease.
type Started struct{}

// Resigned gives the lease up. The holder has no order in flight any more.
type Resigned struct{}

// RowRead reports the result of ReadRow; the row has version 0 where it is
// absent.
type RowRead struct {
	Row record.Row
	Err error
}

// RowWritten reports the result of WriteRow.
type RowWritten struct{ Result record.WriteResult }

// Ticked reports that the time of a WakeAt has come.
type Ticked struct{}

func (Started) event()    {}
func (Resigned) event()   {}
func (RowRead) event()    {}
func (RowWritten) event() {}
func (Ticked) event()     {}

// Effect is one output of a Lease.
type Effect interface{ effect() }

// ReadRow asks for a read, to be answered by RowRead. At most one ReadRow or
// WriteRow is open.
type ReadRow struct{ Key record.Key }

// WriteRow asks for a write, to be answered by RowWritten.
type WriteRow struct{ Write record.Write }

// WakeAt asks for a Ticked at the time or soon after. A later WakeAt does not
// replace an earlier one.
type WakeAt struct{ Time time.Time }

// Acquired reports that the lease is held from now on.
type Acquired struct{ FencingNumber id.FencingNumber }

// Lost reports that the lease is no longer held. A paused holder learns it
// late: its work ends with the time of the lease, not with this.
type Lost struct{ FencingNumber id.FencingNumber }

func (ReadRow) effect()  {}
func (WriteRow) effect() {}
func (WakeAt) effect()   {}
func (Acquired) effect() {}
func (Lost) effect()     {}

// Lease is the state machine of one instance's part in one lease. Set the
// exported fields before the first Step; they are equal at all instances but
// for Holder and Life. It is not safe for use by several goroutines.
type Lease struct {
	Key    record.Key
	Holder id.Instance
	// Life is unique to this process.
	Incarnation id.Attempt
	// Duration is how long a lease lasts from its last renewal; 0 means
	// DefaultDuration.
	Duration time.Duration

	started  bool
	resigned bool
	// number is of the lease that is held or was held last; 0 for none.
	fencingNumber id.FencingNumber
	held          bool
	// until is when the lease ends for this holder, with the margin taken
	// off.
	expiresAt time.Time
	// version is of the row as this process wrote it last.
	rowVersion record.Version
	// writes counts the writes that were proposed.
	writes uint64
	// open is the write in flight; sentAt is when its first copy left.
	pendingWrite *record.Write
	inFlight     bool
	sentAt       time.Time
	// observed is the version of another's row, unchanged since
	// observedAt.
	observedVersion record.Version
	observedAt      time.Time
	nextDue         time.Time
}

// Holds reports whether the lease is held at now, and its number.
func (l *Lease) Holds(now time.Time) (id.FencingNumber, bool) {
	if !l.held || !now.Before(l.expiresAt) {
		return 0, false
	}
	return l.fencingNumber, true
}

// Idle reports whether the machine neither holds nor seeks the lease.
func (l *Lease) Idle() bool { return !l.started }

// Step applies ev at now and returns the effects to carry out, in order.
func (l *Lease) Step(now time.Time, ev Event) []Effect {
	out := l.expire(now)
	switch ev := ev.(type) {
	case Started:
		l.started = true
		l.resigned = false
		l.nextDue = now
	case Resigned:
		l.resigned = true
		out = append(out, l.lose()...)
		l.nextDue = now
	case RowRead:
		l.inFlight = false
		l.rowRead(now, ev)
	case RowWritten:
		l.inFlight = false
		out = append(out, l.rowWritten(now, ev.Result)...)
	}
	return append(out, l.startDue(now)...)
}

func (l *Lease) duration() time.Duration {
	if l.Duration == 0 {
		return DefaultDuration
	}
	return l.Duration
}

func (l *Lease) margin() time.Duration { return l.duration() / marginDivisor }

// expire ends a lease whose time has passed.
func (l *Lease) expire(now time.Time) []Effect {
	if now.Before(l.expiresAt) {
		return nil
	}
	return l.lose()
}

func (l *Lease) lose() []Effect {
	if !l.held {
		return nil
	}
	l.held = false
	return []Effect{Lost{l.fencingNumber}}
}

// proceed starts the next operation when it is due.
func (l *Lease) startDue(now time.Time) []Effect {
	if !l.started || l.inFlight {
		return nil
	}
	if now.Before(l.nextDue) {
		return []Effect{WakeAt{l.nextDue}}
	}
	l.inFlight = true
	if l.pendingWrite == nil && l.held {
		l.propose(now, l.rowVersion, l.fencingNumber, false)
	}
	l.nextDue = now.Add(l.duration() / renewalsPerDuration)
	if l.pendingWrite != nil {
		return []Effect{WriteRow{*l.pendingWrite}}
	}
	if l.resigned && l.fencingNumber == 0 {
		l.started = false
		l.inFlight = false
		return nil
	}
	return []Effect{ReadRow{l.Key}}
}

// propose opens a write of this process's row.
func (l *Lease) propose(now time.Time, expected record.Version, number id.FencingNumber, released bool) {
	l.writes++
	value, err := json.Marshal(Row{
		Holder: l.Holder, Incarnation: l.Incarnation, FencingNumber: number, Write: l.writes, Released: released,
	})
	if err != nil {
		panic(errors.Wrap(err, "encode lease")) // all fields can be encoded
	}
	l.pendingWrite = &record.Write{Key: l.Key, Expected: expected, Value: value}
	l.sentAt = now
	l.nextDue = now
}

// read decides by the row whether to write.
func (l *Lease) rowRead(now time.Time, ev RowRead) {
	if ev.Err != nil {
		return
	}
	var row Row
	if ev.Row.Version != 0 && json.Unmarshal(ev.Row.Value, &row) != nil {
		return
	}
	if ev.Row.Version != l.observedVersion {
		l.observedVersion = ev.Row.Version
		l.observedAt = now
	}
	ownRow := row.Incarnation == l.Incarnation
	if l.resigned {
		if ownRow && !row.Released {
			l.propose(now, ev.Row.Version, row.FencingNumber, true)
			return
		}
		l.started = false
		return
	}
	available := ev.Row.Version == 0 || row.Released
	if available || !now.Before(l.observedAt.Add(l.duration()+l.margin())) {
		l.propose(now, ev.Row.Version, row.FencingNumber+1, false)
	}
}

// written settles the open write. One whose answer was lost is repeated as it
// was, and its time counts from the first copy.
func (l *Lease) rowWritten(now time.Time, result record.WriteResult) []Effect {
	if l.pendingWrite == nil {
		return nil
	}
	switch r := result.(type) {
	case record.Written:
		return l.resolveWrite(now, r.Versions[0], l.pendingWrite.Value)
	case record.Conflicted:
		current := r.Rows[0]
		return l.resolveWrite(now, current.Version, current.Value)
	case record.Refused:
		if !l.held {
			l.pendingWrite = nil
		}
	}
	l.nextDue = earlier(l.nextDue, now.Add(l.duration()/retriesPerDuration))
	return nil
}

// settled goes on from the row that is now in the table.
func (l *Lease) resolveWrite(now time.Time, version record.Version, value []byte) []Effect {
	proposed := l.pendingWrite.Value
	l.pendingWrite = nil
	var row Row
	if version != 0 && json.Unmarshal(value, &row) != nil {
		return l.lose()
	}
	if string(value) != string(proposed) {
		l.nextDue = now
		return l.lose()
	}
	if row.Released {
		l.fencingNumber = 0
		l.started = false
		return nil
	}
	return l.hold(now, version, row.FencingNumber)
}

// hold counts the lease from the moment before its write was first sent.
func (l *Lease) hold(now time.Time, version record.Version, number id.FencingNumber) []Effect {
	l.rowVersion = version
	l.fencingNumber = number
	if l.resigned {
		l.nextDue = now
		return nil
	}
	l.expiresAt = l.sentAt.Add(l.duration() - l.margin())
	if !now.Before(l.expiresAt) {
		return l.lose()
	}
	if l.held {
		return nil
	}
	l.held = true
	return []Effect{Acquired{number}, WakeAt{l.expiresAt}}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
