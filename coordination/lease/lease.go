// Package lease decides who holds a lease in the platform's table, so that
// work that must have one owner has at most one.
//
// Clocks of different instances are never compared. A holder measures the
// lease's duration from just before it first sent the write that was then
// confirmed. A candidate measures from just after it read the row, and takes
// over once the row has not changed for the duration plus a margin. The
// candidate starts to measure later than the holder, so the lease has expired
// at its holder before another instance can acquire it, as long as the rates of
// their clocks differ by less than the margin.
package lease

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/state/id"
	"samphirehead/state/record"
)

// Prefix is the prefix of the keys of all leases.
const Prefix record.Key = "leases/"

// NewKey returns the key of the lease with the given name.
func NewKey(name string) record.Key { return Prefix + record.NewKey(name) }

// The default duration of a lease, and intervals as fractions of the duration.
const (
	DefaultDuration = 10 * time.Second

	// renewalsPerDuration is how often a holder renews within the duration.
	renewalsPerDuration = 4
	// retriesPerDuration is how often a failed write is retried within the
	// duration.
	retriesPerDuration = 16
	// The margin is the duration divided by marginDivisor. It allows for
	// clocks that run at different rates: the holder's lease expires earlier
	// by the margin, and a candidate waits longer by it.
	marginDivisor = 8
)

// Row is the value of a lease in the table.
type Row struct {
	Holder id.Instance `json:"holder"`
	// Incarnation is unique to a process, so that a restarted holder counts
	// as a different one.
	Incarnation id.Attempt `json:"life"`
	// FencingNumber is incremented with each new holder and never decreases.
	FencingNumber id.FencingNumber `json:"fencing"`
	// Write counts the writes of the process, so that no two of them have the
	// same value.
	Write uint64 `json:"write"`
	// Released is set when the holder has given up the lease.
	Released bool `json:"released"`
	// Brief is set in a released row if the lease was held for less than its duration.
	Brief bool `json:"brief,omitempty"`
}

// Lease is the state machine with which one instance competes for one lease.
// Set the exported fields before the first Step. All instances use the same
// values, except for Holder and Incarnation. It is not safe for concurrent use.
type Lease struct {
	Key    record.Key
	Holder id.Instance
	// Incarnation is unique to this process.
	Incarnation id.Attempt
	// Duration is how long a lease lasts from its last renewal; 0 means
	// DefaultDuration.
	Duration time.Duration
	// NoReturn makes candidates wait for the duration unless the lease was released after it
	// was held as long, so that no holder holds it again within the duration of another's.
	NoReturn bool

	started  bool
	resigned bool
	// fencingNumber is that of the lease that is held or was held last; 0 if
	// there is none.
	fencingNumber id.FencingNumber
	held          bool
	// expiresAt is when the lease expires at this holder: the margin before
	// the end of its duration.
	expiresAt time.Time
	// heldSince is when the write that acquired the lease was first sent.
	heldSince time.Time
	// era is the era of the rows that were read and written last.
	era uint64
	// rowVersion is the version of the row as this process last wrote it.
	rowVersion record.Version
	// writes counts the proposed writes.
	writes uint64
	// pendingWrite is the write that is to be sent, in flight, or to be sent
	// again after a failure.
	pendingWrite *record.Write
	// inFlight is set while a read or write is in flight.
	inFlight bool
	// sentAt is when pendingWrite was first sent.
	sentAt time.Time
	// observedVersion is the version of the row when it was last read. It
	// was first seen at observedAt.
	observedVersion record.Version
	observedAt      time.Time
	nextDue         time.Time
}

// Holds reports whether the lease is held at the time now, and its fencing
// number.
func (l *Lease) Holds(now time.Time) (id.FencingNumber, bool) {
	if !l.held || !now.Before(l.expiresAt) {
		return 0, false
	}
	return l.fencingNumber, true
}

// Expiry returns when the lease that is held, or was held last, expires at this holder.
func (l *Lease) Expiry() time.Time { return l.expiresAt }

// ConfirmedAt returns when the write was first sent that confirmed the lease last.
func (l *Lease) ConfirmedAt() time.Time { return l.expiresAt.Add(l.margin() - l.duration()) }

// Idle reports whether the machine neither holds nor competes for the lease.
func (l *Lease) Idle() bool { return !l.started }

// Step applies ev at the time now and returns the effects to carry out, in
// order.
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
		if ev.Err == nil && ev.Era > l.era {
			out = append(out, l.enterEra(now, ev.Era)...)
			break
		}
		l.rowRead(now, ev)
	case RowWritten:
		l.inFlight = false
		out = append(out, l.eraOfWrite(now, ev)...)
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

// expire ends a lease that has expired.
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

// enterEra ends a lease that was acquired before the table was restored from a copy, as
// what others have read since doesn't tell of it. The row of the new era is read next.
func (l *Lease) enterEra(now time.Time, era uint64) []Effect {
	l.era = era
	l.observedAt = time.Time{}
	l.nextDue = now
	return l.lose()
}

// key returns the key of the row. Each era has a row of its own, so that a late write of an
// earlier era, whose versions are given out again, can't replace it.
func (l *Lease) key() record.Key {
	if l.era == 0 {
		return l.Key
	}
	return l.Key + record.Key("/"+strconv.FormatUint(l.era, 10))
}

// eraOfWrite enters the era of the answer to a write. A proposal of an earlier era counts as
// not written, as versions are given out again.
func (l *Lease) eraOfWrite(now time.Time, ev RowWritten) []Effect {
	if ev.Era <= l.era {
		return nil
	}
	l.pendingWrite = nil
	return l.enterEra(now, ev.Era)
}

// startDue starts the next read or write if it is due.
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
	return []Effect{ReadRow{l.key()}}
}

// propose prepares a write of this process's row.
func (l *Lease) propose(now time.Time, expected record.Version, number id.FencingNumber, released bool) {
	l.writes++
	value, err := json.Marshal(Row{
		Holder: l.Holder, Incarnation: l.Incarnation, FencingNumber: number, Write: l.writes,
		Released: released, Brief: released && now.Sub(l.heldSince) < l.duration()+l.margin(),
	})
	if err != nil {
		panic(errors.Wrap(err, "encode lease")) // all fields can be encoded
	}
	l.pendingWrite = &record.Write{Key: l.key(), Expected: expected, Value: value}
	l.sentAt = now
	l.nextDue = now
}

// rowRead decides whether to write, based on the row that was read.
func (l *Lease) rowRead(now time.Time, ev RowRead) {
	if ev.Err != nil {
		return
	}
	var row Row
	if ev.Row.Version != 0 && json.Unmarshal(ev.Row.Value, &row) != nil {
		return
	}
	if ev.Row.Version != l.observedVersion || l.observedAt.IsZero() {
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
	if l.available(ev.Row, row) || !now.Before(l.observedAt.Add(l.duration()+l.margin())) {
		l.propose(now, ev.Row.Version, l.nextNumber(row.FencingNumber), false)
	}
}

// available reports whether a lease can be acquired without waiting for its expiry.
func (l *Lease) available(current record.Row, row Row) bool {
	if !l.NoReturn {
		return current.Version == 0 || row.Released
	}
	return row.Released && !row.Brief
}

// nextNumber returns a number that is higher than that of the row and than all of earlier
// eras.
func (l *Lease) nextNumber(inRow id.FencingNumber) id.FencingNumber {
	return max(inRow, id.FirstFencingNumber(l.era)) + 1
}

// rowWritten handles the result of the pending write. A write whose result is
// unknown, or that was refused while the lease is held, is sent again
// unchanged. sentAt remains the time of the first copy.
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

// resolveWrite ends the pending write, given the row that is now in the table.
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

// hold acquires or renews the lease. Its duration is measured from just before
// the write was first sent.
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
	l.heldSince = l.sentAt
	return []Effect{Acquired{number}, WakeAt{l.expiresAt}}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
