package claim

import (
	"time"

	"samphirehead/state/record"
)

// ended handles the evidence of the transport. The caller learns its outcome
// before the record is written, so that the store does not delay it.
func (c *Call) ended(now time.Time, evidence Evidence) []Effect {
	if c.phase != sending {
		return nil
	}
	switch e := evidence.(type) {
	case NothingSent:
		return c.unsentAfterAll(now, e)
	case Answered:
		out := c.tell(Completed{Answer: e.Answer})
		row := c.row(now, Done)
		row.Answer = recorded(e.Answer)
		return append(out, c.record(now, row)...)
	}
	out := c.tell(Unknown{RetryAfter: askAgain})
	return append(out, c.record(now, c.row(now, Lost))...)
}

func (c *Call) unsentAfterAll(now time.Time, e NothingSent) []Effect {
	c.unsent = c.permit.Return(e)
	reason := e.Reason
	if reason == "" {
		reason = NothingReached
	}
	return c.giveUp(now, reason, e.RetryAfter, e.Err)
}

// giveUp tells that the call was not run, and releases the claim if one may be
// held, so that a later call with the key can run.
func (c *Call) giveUp(now time.Time, reason Reason, retryAfter time.Duration, cause error) []Effect {
	outcome := c.unsent.NotRun(reason, retryAfter, cause)
	if c.Repeat && !c.seen {
		outcome = Unknown{RetryAfter: retryAfter}
	}
	out := c.tell(outcome)
	if !c.held {
		return append(out, c.finish()...)
	}
	c.phase = releasing
	c.persistUntil = now.Add(persistFor)
	c.pollDelay = retryFirst
	return append(out, c.retry()...)
}

// retry repeats the open work on the record.
func (c *Call) retry() []Effect {
	if c.phase == recording {
		return c.rewrite()
	}
	c.opened = true
	return []Effect{ReadRow{Key: c.Key}}
}

// later schedules another try, until persistFor has passed.
func (c *Call) later(now time.Time) []Effect {
	if !now.Before(c.persistUntil) {
		return c.finish()
	}
	c.next = now.Add(c.pollDelay)
	c.pollDelay = min(2*c.pollDelay, retryMost)
	return []Effect{WakeAt{c.next}}
}

func (c *Call) releaseRead(now time.Time, ev RowRead) []Effect {
	if ev.Err != nil {
		return c.later(now)
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
	return c.write(ev.Row.Version, c.row(now, Void))
}

func (c *Call) releaseWritten(now time.Time, result record.WriteResult) []Effect {
	if _, ok := result.(record.Written); ok {
		return c.finish()
	}
	return c.later(now)
}

// record writes the outcome into the row that this attempt marked as sent.
func (c *Call) record(now time.Time, row Row) []Effect {
	c.phase = recording
	c.persistUntil = now.Add(persistFor)
	c.pollDelay = retryFirst
	return c.write(c.version, row)
}

func (c *Call) recordWritten(now time.Time, result record.WriteResult) []Effect {
	switch result.(type) {
	case record.Written, record.Conflicted:
		// Only this attempt changes a row that it marked as sent: a
		// conflict is with an earlier copy of the same write.
		return c.finish()
	}
	return c.later(now)
}
