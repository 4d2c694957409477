package claim

import (
	"time"

	"samphirehead/state/id"
	"samphirehead/state/record"
)

const (
	// claimTimeout bounds the time from the start of a claim until it is
	// marked as sent, so that a caller learns within a second that the store
	// is unavailable.
	claimTimeout = 900 * time.Millisecond
	// maxWriteRetries bounds the retries of one write with unknown result.
	maxWriteRetries = 4
	// takeoverDelay is how long another attempt's claim must remain unchanged
	// before it is taken over.
	takeoverDelay = 500 * time.Millisecond
	// clockSkewMargin is added to the time at which another attempt's caller
	// stops waiting, because that time is from another instance's wall clock.
	clockSkewMargin = 2 * time.Second
	// minPollDelay and maxPollDelay bound the delay between reads of another
	// attempt's claim. It doubles after each read.
	minPollDelay = 10 * time.Millisecond
	maxPollDelay = time.Second
	// recordTimeout bounds how long the write of an outcome or the release of
	// a claim is retried while the store is unavailable.
	recordTimeout = 10 * time.Minute
	// minRetryDelay and maxRetryDelay bound the delay between those retries.
	// It doubles after each retry.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// defaultRetryAfter is how long callers are asked to wait before a retry.
	defaultRetryAfter = time.Second
)

// Event is an input of a Call.
type Event interface{ event() }

// Started starts the call. It is the first event.
type Started struct{}

// RowWritten reports the result of the last WriteRow.
type RowWritten struct{ Result record.WriteResult }

// RowRead reports the result of the last ReadRow. An absent row has version 0.
type RowRead struct {
	Row record.Row
	Err error
}

// CallEnded reports the result of SendCall.
type CallEnded struct{ Evidence Evidence }

// Ticked reports that the time of a WakeAt has been reached. It is harmless at
// other times.
type Ticked struct{}

// CallerDisconnected reports that the caller no longer waits for the outcome.
type CallerDisconnected struct{}

func (Started) event()            {}
func (RowWritten) event()         {}
func (RowRead) event()            {}
func (CallEnded) event()          {}
func (Ticked) event()             {}
func (CallerDisconnected) event() {}

// Effect is an output of a Call.
type Effect interface{ effect() }

// WriteRow requests a conditional write, to be answered by RowWritten no later
// than Deadline, unless that is zero. At most one WriteRow or ReadRow is in
// flight at a time.
type WriteRow struct {
	Write    record.Write
	Deadline time.Time
}

// ReadRow requests a read, to be answered by RowRead no later than Deadline,
// unless that is zero.
type ReadRow struct {
	Key      record.Key
	Deadline time.Time
}

// SendCall requests that the call is sent once, to be answered by CallEnded. It
// occurs at most once.
type SendCall struct{ Permit *Permit }

// ReportOutcome requests that the caller receives Outcome. It occurs exactly
// once. The claim's row may still be read and written after it.
type ReportOutcome struct{ Outcome Outcome }

// WakeAt requests a Ticked at Time or soon after. It does not replace earlier
// ones.
type WakeAt struct{ Time time.Time }

// Finished reports that the Call needs no further events. It is the last effect.
type Finished struct{}

func (WriteRow) effect()      {}
func (ReadRow) effect()       {}
func (SendCall) effect()      {}
func (ReportOutcome) effect() {}
func (WakeAt) effect()        {}
func (Finished) effect()      {}

// phase is what a Call is doing.
type phase string

const (
	idle      phase = ""
	claiming  phase = "claiming"
	marking   phase = "marking"
	waiting   phase = "waiting"
	sending   phase = "sending"
	releasing phase = "releasing"
	recording phase = "recording"
	finished  phase = "finished"
)

// Call is the state machine of one attempt at an at-most-once call. Set the
// exported fields before the first Step. It is not safe for concurrent use.
type Call struct {
	Key record.Key
	// Attempt is unique to this Call, even among those with the same key.
	Attempt  id.Attempt
	Instance id.Instance
	// Digest is a digest of everything that identifies the call, except for
	// its key.
	Digest string
	// Deadline is the time by which the caller must receive the outcome.
	Deadline time.Time
	// Repeat is set if an earlier call with the key may have been sent. The
	// outcome is then Unknown instead of NotRun if the record of the earlier
	// call can't be read.
	Repeat bool

	phase phase
	// unsent is nil while the call may have been sent: from SendCall on,
	// unless the permit is returned.
	unsent          *Unsent
	permit          *Permit
	outcomeReported bool
	// rowVersion is the version of the row that this attempt last wrote, as
	// far as known.
	rowVersion record.Version
	// pendingWrite is the write that is in flight or to be retried.
	pendingWrite *record.Write
	// inFlight is set while a read or write is in flight.
	inFlight     bool
	writeRetries int
	// mayHoldRow is set while the table may contain a row of this attempt.
	mayHoldRow bool
	// rowKnown is set once this attempt has read or written the row.
	rowKnown bool
	// contended is set while another attempt may send the call or may have
	// sent it.
	// competingRow is its row, unchanged since competingSince.
	contended      bool
	competingRow   record.Row
	competingSince time.Time
	// waitUntil bounds the wait for the competing attempt's answer.
	waitUntil     time.Time
	claimDeadline time.Time
	// delay is the next delay between polls or retries.
	delay time.Duration
	// nextDue is when the next poll or retry is due.
	nextDue    time.Time
	retryUntil time.Time
}

// Step applies ev at the time now and returns the effects to carry out, in
// order.
func (c *Call) Step(now time.Time, ev Event) []Effect {
	if c.phase == finished {
		return nil
	}
	switch ev := ev.(type) {
	case Started:
		return c.start(now)
	case RowWritten:
		c.inFlight = false
		return c.rowWritten(now, ev.Result)
	case RowRead:
		c.inFlight = false
		return c.rowRead(now, ev)
	case CallEnded:
		return c.callEnded(now, ev.Evidence)
	case CallerDisconnected:
		return c.callerDisconnected(now)
	case Ticked:
		return c.tick(now)
	}
	return nil
}

func (c *Call) start(now time.Time) []Effect {
	if c.phase != idle {
		return nil
	}
	c.unsent = NewUnsent()
	out := []Effect{WakeAt{c.Deadline}}
	return append(out, c.claim(now, 0)...)
}

// claim writes this attempt into the row if that has the expected version.
func (c *Call) claim(now time.Time, expected record.Version) []Effect {
	if !now.Before(c.Deadline) && c.contended {
		return c.reportAndFinish(Unknown{RetryAfter: defaultRetryAfter})
	}
	if !now.Before(c.Deadline) {
		return c.giveUp(now, DeadlinePassed, 0, nil)
	}
	c.phase = claiming
	c.claimDeadline = earlier(c.Deadline, now.Add(claimTimeout))
	return c.writeRow(expected, c.newRow(now, Claimed))
}

// markSent writes state Sent into the row. The call may be sent only once this
// write is confirmed, because another attempt may have taken over the claim.
func (c *Call) markSent(now time.Time, version record.Version) []Effect {
	c.mayHoldRow = true
	c.contended = false
	c.rowVersion = version
	if !now.Before(c.claimDeadline) {
		return c.giveUp(now, StoreUnavailable, defaultRetryAfter, nil)
	}
	c.phase = marking
	return c.writeRow(version, c.newRow(now, Sent))
}

// send issues the only permit. The row is in state Sent with this attempt.
func (c *Call) send(now time.Time, version record.Version) []Effect {
	c.rowVersion = version
	if !now.Before(c.Deadline) {
		return c.giveUp(now, DeadlinePassed, 0, nil)
	}
	c.permit = c.unsent.Send()
	if c.permit == nil {
		return c.report(Unknown{RetryAfter: defaultRetryAfter})
	}
	c.unsent = nil
	c.phase = sending
	return []Effect{SendCall{c.permit}}
}

func (c *Call) newRow(now time.Time, s State) Row {
	return Row{
		State:          s,
		Attempt:        c.Attempt,
		Instance:       c.Instance,
		Digest:         c.Digest,
		ChangedUnixMS:  now.UnixMilli(),
		AnswerByUnixMS: c.Deadline.UnixMilli(),
	}
}

func (c *Call) writeRow(expected record.Version, row Row) []Effect {
	c.pendingWrite = &record.Write{Key: c.Key, Expected: expected, Value: row.Encode()}
	c.writeRetries = 0
	return c.issueWrite()
}

func (c *Call) issueWrite() []Effect {
	c.inFlight = true
	effect := WriteRow{Write: *c.pendingWrite}
	if c.phase == claiming || c.phase == marking {
		effect.Deadline = c.claimDeadline
	}
	return []Effect{effect}
}

// report reports the outcome to the caller, unless that was done before.
func (c *Call) report(o Outcome) []Effect {
	if c.outcomeReported {
		return nil
	}
	c.outcomeReported = true
	return []Effect{ReportOutcome{o}}
}

// finish ends the Call.
func (c *Call) finish() []Effect {
	c.phase = finished
	return []Effect{Finished{}}
}

// reportAndFinish reports the outcome and ends the Call.
func (c *Call) reportAndFinish(o Outcome) []Effect {
	return append(c.report(o), c.finish()...)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
