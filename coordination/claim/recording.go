package claim

import (
	"time"

	"samphirehead/state/record"
)

// ended handles the evidence of the transport. The caller learns its outcome
// before the record is written, so that the store does not delay it.
func (c *Call) callEnded(now time.Time, evidence Evidence) []Effect {
	if c.phase != sending {
		return nil
	}
	switch e := evidence.(type) {
	case NothingSent:
		return c.nothingSent(now, e)
	case Answered:
		out := c.report(Completed{Answer: e.Answer})
		row := c.newRow(now, Done)
		row.Answer = newRowAnswer(e.Answer)
		return append(out, c.recordOutcome(now, row)...)
	}
	out := c.report(Unknown{RetryAfter: defaultRetryAfter})
	return append(out, c.recordOutcome(now, c.newRow(now, AnswerLost))...)
}

func (c *Call) nothingSent(now time.Time, e NothingSent) []Effect {
	c.unsent = c.permit.Return(e)
	reason := e.Reason
	if reason == "" {
		reason = UpstreamUnavailable
	}
	return c.giveUp(now, reason, e.RetryAfter, e.Err)
}

// giveUp tells that the call was not run, and releases the claim if one may be
// held, so that a later call with the key can run.
func (c *Call) giveUp(now time.Time, reason Reason, retryAfter time.Duration, cause error) []Effect {
	outcome := c.unsent.NotRun(reason, retryAfter, cause)
	if c.Repeat && !c.rowKnown {
		outcome = Unknown{RetryAfter: retryAfter}
	}
	out := c.report(outcome)
	if !c.mayHoldRow {
		return append(out, c.finish()...)
	}
	c.phase = releasing
	c.retryUntil = now.Add(recordTimeout)
	c.delay = minRetryDelay
	return append(out, c.retry()...)
}

// retry repeats the open work on the record.
func (c *Call) retry() []Effect {
	if c.phase == recording {
		return c.issueWrite()
	}
	c.inFlight = true
	return []Effect{ReadRow{Key: c.Key}}
}

// later schedules another try, until persistFor has passed.
func (c *Call) scheduleRetry(now time.Time) []Effect {
	if !now.Before(c.retryUntil) {
		return c.finish()
	}
	c.nextDue = now.Add(c.delay)
	c.delay = min(2*c.delay, maxRetryDelay)
	return []Effect{WakeAt{c.nextDue}}
}

func (c *Call) releaseRead(now time.Time, ev RowRead) []Effect {
	if ev.Err != nil {
		return c.scheduleRetry(now)
	}
	if ev.Row.Version == 0 {
		return c.finish()
	}
	row, err := DecodeRow(ev.Row)
	if err != nil || row.Attempt != c.Attempt {
		return c.finish()
	}
	if row.State != Claimed && row.State != Sent {
		return c.finish()
	}
	return c.writeRow(ev.Row.Version, c.newRow(now, Void))
}

func (c *Call) releaseWritten(now time.Time, result record.WriteResult) []Effect {
	if _, ok := result.(record.Written); ok {
		return c.finish()
	}
	return c.scheduleRetry(now)
}

// record writes the outcome into the row that this attempt marked as sent.
func (c *Call) recordOutcome(now time.Time, row Row) []Effect {
	c.phase = recording
	c.retryUntil = now.Add(recordTimeout)
	c.delay = minRetryDelay
	return c.writeRow(c.rowVersion, row)
}

func (c *Call) outcomeWritten(now time.Time, result record.WriteResult) []Effect {
	switch result.(type) {
	case record.Written, record.Conflicted:
		// Only this attempt changes a row that it marked as sent: a
		// conflict is with an earlier copy of the same write.
		return c.finish()
	}
	return c.scheduleRetry(now)
}
