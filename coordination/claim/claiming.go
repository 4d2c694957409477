package claim

import (
	"time"

	"samphirehead/state/record"
)

// rowWritten handles the result of the write in flight.
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

// claimWritten handles the result of writing state Claimed or Sent. A write with
// unknown result is retried unchanged. The copy that is applied first changes
// the row's version, so that no other copy can be applied, and the conflict
// reported for the other one contains the row.
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

// claimCommitted continues after the table has confirmed state Claimed or Sent.
func (c *Call) claimCommitted(now time.Time, version record.Version) []Effect {
	c.mayHoldRow = true
	c.rowKnown = true
	if c.phase == marking {
		return c.send(now, version)
	}
	return c.markSent(now, version)
}

// claimFailed handles a store that refuses the claim or does not answer. Nothing
// was sent yet.
func (c *Call) claimFailed(now time.Time, retryAfter time.Duration, cause error) []Effect {
	if c.contended {
		return c.awaitCompeting(now, c.competingRow)
	}
	return c.giveUp(now, StoreUnavailable, max(retryAfter, defaultRetryAfter), cause)
}

// inspectRow decides how to continue, based on a row that was read or that was
// in conflict with a write.
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

// resumeOwnClaim continues from a row that this attempt wrote.
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

// awaitCompeting waits for the next poll of another attempt's claim.
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

// rowRead handles the read of another attempt's claim, or of this attempt's own
// claim before its release.
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

// mayTakeOver reports whether found is a claim that another attempt did not mark
// as sent in time. That attempt detects the takeover when its write of state
// Sent conflicts.
func (c *Call) mayTakeOver(now time.Time, found record.Row) bool {
	if found.Version != c.competingRow.Version || now.Before(c.competingSince.Add(takeoverDelay)) {
		return false
	}
	row, err := DecodeRow(found)
	return err == nil && row.State == Claimed && row.Digest == c.Digest
}

// tick starts the read or write that is due, and enforces the Deadline.
func (c *Call) tick(now time.Time) []Effect {
	switch c.phase {
	case claiming, marking:
		// The driver ends each write by its Deadline, and the result then
		// decides.
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

// callerDisconnected gives up the call if it was not sent. A call that was sent
// continues until its outcome is recorded.
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
