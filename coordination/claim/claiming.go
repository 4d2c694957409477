package claim

import (
	"time"

	"samphirehead/state/record"
)

// written handles the result of the open write.
func (c *Call) rowWritten(now time.Time, result record.WriteResult) []Effect {
	switch c.phase {
	case claiming, marking:
		return c.claimWritten(now, result)
	case releasing:
		return c.releaseWritten(now, result)
	case recording:
		return c.outcomeWritten(now, result)
	}
	return nil
}

// claimWritten settles the claim or the mark as sent. A write whose answer was
// lost is repeated as it was: whichever copy takes effect first changes the
// version, so that the other never can, and the conflict shows the row.
func (c *Call) claimWritten(now time.Time, result record.WriteResult) []Effect {
	switch r := result.(type) {
	case record.Written:
		return c.claimCommitted(now, r.Versions[0])
	case record.Conflicted:
		return c.inspectRow(now, r.Rows[0])
	case record.Refused:
		return c.claimFailed(now, r.RetryAfter, r.Err)
	case record.Unknown:
		c.mayHoldRow = true
		if c.writeRetries < maxWriteRetries && now.Before(c.claimDeadline) {
			c.writeRetries++
			return c.issueWrite()
		}
		return c.claimFailed(now, defaultRetryAfter, r.Err)
	}
	return nil
}

// advance goes on after the open claim or mark is known to be in the table.
func (c *Call) claimCommitted(now time.Time, version record.Version) []Effect {
	c.mayHoldRow = true
	c.rowKnown = true
	if c.phase == marking {
		return c.send(now, version)
	}
	return c.markSent(now, version)
}

// unclaimed handles a store that does not answer before anything was sent.
func (c *Call) claimFailed(now time.Time, retryAfter time.Duration, cause error) []Effect {
	if c.contended {
		return c.awaitCompeting(now, c.competingRow)
	}
	return c.giveUp(now, StoreUnavailable, max(retryAfter, defaultRetryAfter), cause)
}

// examine decides by the row that was found in place of the expected one.
func (c *Call) inspectRow(now time.Time, found record.Row) []Effect {
	c.rowKnown = true
	if found.Version == 0 {
		c.mayHoldRow = false
		c.contended = false
		return c.claim(now, 0)
	}
	row, err := DecodeRow(found)
	if err != nil {
		return c.reportAndFinish(Unknown{RetryAfter: defaultRetryAfter})
	}
	if row.Attempt == c.Attempt {
		return c.resumeOwnClaim(now, found.Version, row)
	}
	c.mayHoldRow = false
	if row.Digest != c.Digest {
		return c.reportAndFinish(c.unsent.NotRun(KeyReused, 0, nil))
	}
	switch row.State {
	case Done:
		return c.reportAndFinish(row.replay())
	case Void:
		c.contended = false
		return c.claim(now, found.Version)
	case Claimed, Sent:
		return c.awaitCompeting(now, found)
	}
	return c.reportAndFinish(Unknown{RetryAfter: defaultRetryAfter})
}

// own goes on from a row that this attempt wrote.
func (c *Call) resumeOwnClaim(now time.Time, version record.Version, row Row) []Effect {
	if row.State == Sent && c.phase == marking {
		return c.send(now, version)
	}
	if row.State != Claimed {
		return c.reportAndFinish(Unknown{RetryAfter: defaultRetryAfter})
	}
	if c.phase == waiting {
		c.claimDeadline = earlier(c.Deadline, now.Add(claimTimeout))
	}
	return c.markSent(now, version)
}

// wait polls the claim of another attempt.
func (c *Call) awaitCompeting(now time.Time, found record.Row) []Effect {
	c.phase = waiting
	if !c.contended || found.Version != c.competingRow.Version {
		c.contended = true
		c.competingRow = found
		c.competingSince = now
		c.delay = minPollDelay
		c.waitUntil = c.Deadline
	}
	row, err := DecodeRow(found)
	if err == nil && row.State == Sent {
		answerBy := time.UnixMilli(row.AnswerByUnixMS).Add(clockSkewMargin)
		c.waitUntil = earlier(c.Deadline, answerBy)
	}
	if !now.Before(c.waitUntil) {
		return c.reportAndFinish(Unknown{RetryAfter: defaultRetryAfter})
	}
	c.nextDue = earlier(now.Add(c.delay), c.waitUntil)
	c.delay = min(2*c.delay, maxPollDelay)
	return []Effect{WakeAt{c.nextDue}}
}

// read handles a poll of another attempt's claim, or of the own one before its
// release.
func (c *Call) rowRead(now time.Time, ev RowRead) []Effect {
	if c.phase == releasing {
		return c.releaseRead(now, ev)
	}
	if c.phase != waiting {
		return nil
	}
	if ev.Err != nil {
		return c.awaitCompeting(now, c.competingRow)
	}
	if c.mayTakeOver(now, ev.Row) {
		return c.claim(now, ev.Row.Version)
	}
	return c.inspectRow(now, ev.Row)
}

// overdue reports whether found is another attempt's claim that was not marked
// as sent in time. Its holder learns of the take-over when it tries to.
func (c *Call) mayTakeOver(now time.Time, found record.Row) bool {
	if found.Version != c.competingRow.Version || now.Before(c.competingSince.Add(takeoverDelay)) {
		return false
	}
	row, err := DecodeRow(found)
	return err == nil && row.State == Claimed && row.Digest == c.Digest
}

// ticked does what is due.
func (c *Call) tick(now time.Time) []Effect {
	switch c.phase {
	case claiming, marking:
		// The driver bounds each write; its end decides.
		return nil
	case waiting:
		if c.inFlight || now.Before(c.nextDue) {
			return nil
		}
		if !now.Before(c.waitUntil) {
			return c.reportAndFinish(Unknown{RetryAfter: defaultRetryAfter})
		}
		c.inFlight = true
		return []Effect{ReadRow{Key: c.Key, Deadline: c.waitUntil}}
	case sending:
		if now.Before(c.Deadline) {
			return nil
		}
		return c.report(Unknown{RetryAfter: defaultRetryAfter})
	case releasing, recording:
		if c.inFlight || now.Before(c.nextDue) {
			return nil
		}
		return c.retry()
	}
	return nil
}

// left gives up what was not sent; what was sent goes on to its record.
func (c *Call) callerDisconnected(now time.Time) []Effect {
	switch c.phase {
	case waiting:
		return c.reportAndFinish(Unknown{RetryAfter: defaultRetryAfter})
	case claiming, marking:
		c.Deadline = earlier(c.Deadline, now)
		c.claimDeadline = c.Deadline
	}
	return nil
}
