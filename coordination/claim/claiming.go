package claim

import (
	"time"

	"samphirehead/state/record"
)

// written handles the result of the open write.
func (c *Call) written(now time.Time, result record.WriteResult) []Effect {
	switch c.phase {
	case claiming, marking:
		return c.claimWritten(now, result)
	case releasing:
		return c.releaseWritten(now, result)
	case recording:
		return c.recordWritten(now, result)
	}
	return nil
}

// claimWritten settles the claim or the mark as sent. A write whose answer was
// lost is repeated as it was: whichever copy takes effect first changes the
// version, so that the other never can, and the conflict shows the row.
func (c *Call) claimWritten(now time.Time, result record.WriteResult) []Effect {
	switch r := result.(type) {
	case record.Written:
		return c.advance(now, r.Versions[0])
	case record.Conflicted:
		return c.examine(now, r.Rows[0])
	case record.Refused:
		return c.unclaimed(now, r.RetryAfter, r.Err)
	case record.Unknown:
		c.held = true
		if c.repeats < maxRepeats && now.Before(c.claimBy) {
			c.repeats++
			return c.rewrite()
		}
		return c.unclaimed(now, askAgain, r.Err)
	}
	return nil
}

// advance goes on after the open claim or mark is known to be in the table.
func (c *Call) advance(now time.Time, version record.Version) []Effect {
	c.held = true
	c.seen = true
	if c.phase == marking {
		return c.send(now, version)
	}
	return c.mark(now, version)
}

// unclaimed handles a store that does not answer before anything was sent.
func (c *Call) unclaimed(now time.Time, retryAfter time.Duration, cause error) []Effect {
	if c.rival {
		return c.wait(now, c.rivalRow)
	}
	return c.giveUp(now, StoreUnavailable, max(retryAfter, askAgain), cause)
}

// examine decides by the row that was found in place of the expected one.
func (c *Call) examine(now time.Time, found record.Row) []Effect {
	c.seen = true
	if found.Version == 0 {
		c.held = false
		c.rival = false
		return c.claim(now, 0)
	}
	row, err := DecodeRow(found)
	if err != nil {
		return c.conclude(Unknown{RetryAfter: askAgain})
	}
	if row.Attempt == c.Attempt {
		return c.own(now, found.Version, row)
	}
	c.held = false
	if row.Digest != c.Digest {
		return c.conclude(c.unsent.NotRun(KeyReused, 0, nil))
	}
	switch row.State {
	case Done:
		return c.conclude(row.replay())
	case Void:
		c.rival = false
		return c.claim(now, found.Version)
	case Claimed, Sent:
		return c.wait(now, found)
	}
	return c.conclude(Unknown{RetryAfter: askAgain})
}

// own goes on from a row that this attempt wrote.
func (c *Call) own(now time.Time, version record.Version, row Row) []Effect {
	if row.State == Sent && c.phase == marking {
		return c.send(now, version)
	}
	if row.State != Claimed {
		return c.conclude(Unknown{RetryAfter: askAgain})
	}
	if c.phase == waiting {
		c.claimBy = earlier(c.Deadline, now.Add(claimBudget))
	}
	return c.mark(now, version)
}

// wait polls the claim of another attempt.
func (c *Call) wait(now time.Time, found record.Row) []Effect {
	c.phase = waiting
	if !c.rival || found.Version != c.rivalRow.Version {
		c.rival = true
		c.rivalRow = found
		c.rivalSeen = now
		c.pollDelay = pollFirst
		c.rivalUntil = c.Deadline
	}
	row, err := DecodeRow(found)
	if err == nil && row.State == Sent {
		answerBy := time.UnixMilli(row.AnswerByUnixMS).Add(lateMargin)
		c.rivalUntil = earlier(c.Deadline, answerBy)
	}
	if !now.Before(c.rivalUntil) {
		return c.conclude(Unknown{RetryAfter: askAgain})
	}
	c.next = earlier(now.Add(c.pollDelay), c.rivalUntil)
	c.pollDelay = min(2*c.pollDelay, pollMost)
	return []Effect{WakeAt{c.next}}
}

// read handles a poll of another attempt's claim, or of the own one before its
// release.
func (c *Call) read(now time.Time, ev RowRead) []Effect {
	if c.phase == releasing {
		return c.releaseRead(now, ev)
	}
	if c.phase != waiting {
		return nil
	}
	if ev.Err != nil {
		return c.wait(now, c.rivalRow)
	}
	if c.overdue(now, ev.Row) {
		return c.claim(now, ev.Row.Version)
	}
	return c.examine(now, ev.Row)
}

// overdue reports whether found is another attempt's claim that was not marked
// as sent in time. Its holder learns of the take-over when it tries to.
func (c *Call) overdue(now time.Time, found record.Row) bool {
	if found.Version != c.rivalRow.Version || now.Before(c.rivalSeen.Add(takeOverAfter)) {
		return false
	}
	row, err := DecodeRow(found)
	return err == nil && row.State == Claimed && row.Digest == c.Digest
}

// ticked does what is due.
func (c *Call) ticked(now time.Time) []Effect {
	switch c.phase {
	case claiming, marking:
		// The driver bounds each write; its end decides.
		return nil
	case waiting:
		if c.opened || now.Before(c.next) {
			return nil
		}
		if !now.Before(c.rivalUntil) {
			return c.conclude(Unknown{RetryAfter: askAgain})
		}
		c.opened = true
		return []Effect{ReadRow{Key: c.Key, By: c.rivalUntil}}
	case sending:
		if now.Before(c.Deadline) {
			return nil
		}
		return c.tell(Unknown{RetryAfter: askAgain})
	case releasing, recording:
		if c.opened || now.Before(c.next) {
			return nil
		}
		return c.retry()
	}
	return nil
}

// left gives up what was not sent; what was sent goes on to its record.
func (c *Call) left(now time.Time) []Effect {
	switch c.phase {
	case waiting:
		return c.conclude(Unknown{RetryAfter: askAgain})
	case claiming, marking:
		c.Deadline = earlier(c.Deadline, now)
		c.claimBy = c.Deadline
	}
	return nil
}
