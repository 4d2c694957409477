package claim

import (
	"time"

	"samphirehead/state/id"
	"samphirehead/state/record"
)

const (
	// claimBudget bounds the time from the start of a claim to its mark as
	// sent, so that a caller learns within a second that the store is down.
	claimTimeout = 900 * time.Millisecond
	// maxRepeats bounds how often one write is repeated whose answer was
	// lost.
	maxWriteRetries = 4
	// takeOverAfter is how long another attempt's claim must stay unchanged
	// before it is taken over.
	takeoverDelay = 500 * time.Millisecond
	// lateMargin is added to the time at which another holder's caller
	// stops waiting, for the difference of wall clocks.
	clockSkewMargin = 2 * time.Second
	// pollFirst and pollMost bound the delay between reads of another
	// attempt's claim; it doubles from one to the next.
	minPollDelay = 10 * time.Millisecond
	maxPollDelay = time.Second
	// persistFor bounds the time for which an outcome, or the release of a
	// claim, is tried again while the store is down.
	recordTimeout = 10 * time.Minute
	// retryFirst and retryMost bound the delay between those tries.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// askAgain is what callers are told to wait before they ask again.
	defaultRetryAfter = time.Second
)

// Event is one input of a Call.
type Event interface{ event() }

// Started begins the call. It is the first event.
type Started struct{}

// WriteAnswered reports the result of the last WriteRow.
type RowWritten struct{ Result record.WriteResult }

// RowRead reports the result of the last ReadRow; the row has version 0 where
// it is absent.
type RowRead struct {
	Row record.Row
	Err error
}

// CallEnded reports what became of SendCall.
type CallEnded struct{ Evidence Evidence }

// Ticked reports that the time of a WakeAt has come. Ticks at other times do
// no harm.
type Ticked struct{}

// CallerLeft reports that the caller no longer waits.
type CallerDisconnected struct{}

func (Started) event()            {}
func (RowWritten) event()         {}
func (RowRead) event()            {}
func (CallEnded) event()          {}
func (Ticked) event()             {}
func (CallerDisconnected) event() {}

// Effect is one output of a Call.
type Effect interface{ effect() }

// WriteRow asks for one conditional write, to be answered by WriteAnswered at
// the latest at By, where that is set. At most one WriteRow or ReadRow is open
// at a time.
type WriteRow struct {
	Write    record.Write
	Deadline time.Time
}

// ReadRow asks for one read, to be answered by RowRead at the latest at By,
// where that is set.
type ReadRow struct {
	Key      record.Key
	Deadline time.Time
}

// SendCall asks to send the call, once, to be answered by CallEnded. It
// occurs at most once.
type SendCall struct{ Permit *Permit }

// Tell gives the caller its outcome. It occurs exactly once, and work on the
// record may go on after it.
type ReportOutcome struct{ Outcome Outcome }

// WakeAt asks for a Ticked at the time or soon after. A later WakeAt does not
// replace an earlier one.
type WakeAt struct{ Time time.Time }

// Finished says that no event is needed any more. It is the last effect.
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

// Call is the state machine of one attempt at one at-most-once call. Set the
// exported fields before the first Step. It is not safe for use by several
// goroutines.
type Call struct {
	Key record.Key
	// Attempt is unique to this call, also among calls with the same key.
	Attempt  id.Attempt
	Instance id.Instance
	// Digest is of all that makes up the call apart from its key.
	Digest string
	// Deadline is when the caller must have its outcome.
	Deadline time.Time
	// Repeat says that an earlier call with the key may have been sent.
	// Such a call is Unknown, and not NotRun, where the record of the
	// earlier one cannot be read.
	Repeat bool

	phase phase
	// unsent is nil from the moment that a permit is given out.
	unsent          *Unsent
	permit          *Permit
	outcomeReported bool
	// version is of the row that this attempt wrote last, as far as known.
	rowVersion record.Version
	// open is the write in flight or to be repeated.
	pendingWrite *record.Write
	// opened is set while a read or write is in flight.
	inFlight     bool
	writeRetries int
	// held is set while a row with this attempt may be in the table.
	mayHoldRow bool
	// seen is set once the row was read or written by this attempt.
	rowKnown bool
	// rival is set while another attempt may send or have sent the call.
	contended      bool
	competingRow   record.Row
	competingSince time.Time
	// rivalUntil bounds the wait for the rival's answer.
	waitUntil     time.Time
	claimDeadline time.Time
	delay         time.Duration
	// next is when the next poll or retry is due.
	nextDue    time.Time
	retryUntil time.Time
}

// Step applies ev at now and returns the effects to carry out, in order.
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

// claim writes this attempt into the row of the expected version.
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

// mark writes that the call is sent from now on. Only the confirmed mark
// allows it: another attempt may have taken the claim over.
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

// send gives out the only permit. The row says Sent by this attempt.
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

// tell gives the caller its outcome, once.
func (c *Call) report(o Outcome) []Effect {
	if c.outcomeReported {
		return nil
	}
	c.outcomeReported = true
	return []Effect{ReportOutcome{o}}
}

// finish ends the machine.
func (c *Call) finish() []Effect {
	c.phase = finished
	return []Effect{Finished{}}
}

// conclude tells the outcome and ends the machine.
func (c *Call) reportAndFinish(o Outcome) []Effect {
	return append(c.report(o), c.finish()...)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
