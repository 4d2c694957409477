package member

import (
	"math/bits"
	"time"

	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
)

const (
	// MaxCrashes bounds the crash reports of one message.
	MaxCrashReports = 8
	// maxHeldCrashes bounds the crash reports held for spreading.
	maxStoredReports = 256
	// crashLifetime is how long a report is spread and recognised.
	crashReportTTL = 30 * time.Second
)

// Crashes spreads crash reports with gossip. The zero value is ready. It is
// not safe for concurrent use.
type CrashReports struct {
	// held is ordered by arrival; no two have the same key.
	reports []storedReport
}

type storedReport struct {
	suspect.Record
	// left counts the messages that are still to carry the report.
	transmitsLeft int
}

type crashKey struct {
	fingerprint id.Fingerprint
	upstream    id.Upstream
	request     id.Request
}

func keyOf(r suspect.Record) crashKey { return crashKey{r.Fingerprint, r.Upstream, r.Request} }

// Add takes in a report and returns whether it is new. members is the number
// of instances that it has to reach.
func (c *CrashReports) Add(now time.Time, report suspect.Record, instances int) bool {
	c.expire(now)
	for _, stored := range c.reports {
		if keyOf(stored.Record) == keyOf(report) {
			return false
		}
	}
	if now.Sub(report.At) >= crashReportTTL {
		return false
	}
	if len(c.reports) == maxStoredReports {
		c.reports = c.reports[1:]
	}
	c.reports = append(c.reports, storedReport{Record: report, transmitsLeft: retransmitFactor * bits.Len(uint(instances))})
	return true
}

// Take returns the reports for one message, at most MaxCrashes, the latest
// first.
func (c *CrashReports) NextBatch(now time.Time) []suspect.Record {
	c.expire(now)
	var batch []suspect.Record
	for i := len(c.reports) - 1; i >= 0 && len(batch) < MaxCrashReports; i-- {
		if c.reports[i].transmitsLeft > 0 {
			c.reports[i].transmitsLeft--
			batch = append(batch, c.reports[i].Record)
		}
	}
	return batch
}

func (c *CrashReports) expire(now time.Time) {
	current := c.reports[:0]
	for _, stored := range c.reports {
		if now.Sub(stored.At) < crashReportTTL {
			current = append(current, stored)
		}
	}
	c.reports = current
}
