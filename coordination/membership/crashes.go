package membership

import (
	"math/bits"
	"time"

	"samphirehead/coordination/quarantine"
	"samphirehead/state/id"
)

const (
	// MaxCrashReports bounds the crash reports of one message.
	MaxCrashReports = 8
	// maxStoredReports bounds the stored crash reports.
	maxStoredReports = 256
	// crashReportTTL is how long a report is sent, and recognised if it is
	// received again.
	crashReportTTL = 30 * time.Second
)

// CrashReports distributes crash reports by gossip. The zero value is ready for
// use. It is not safe for concurrent use.
type CrashReports struct {
	// reports is ordered by arrival. No two have the same key.
	reports []storedReport
}

type storedReport struct {
	quarantine.Record
	// transmitsLeft counts the messages that are still to carry the report.
	transmitsLeft int
}

type crashKey struct {
	fingerprint id.Fingerprint
	upstream    id.Upstream
	request     id.Request
}

func keyOf(r quarantine.Record) crashKey { return crashKey{r.Fingerprint, r.Upstream, r.Request} }

// Add stores a report for sending and returns whether it is new. instances is the
// number of known instances, on which the number of messages depends that carry
// the report.
func (c *CrashReports) Add(now time.Time, report quarantine.Record, instances int) bool {
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

// NextBatch returns at most MaxCrashReports reports for one message, the latest
// first, and counts them as sent.
func (c *CrashReports) NextBatch(now time.Time) []quarantine.Record {
	c.expire(now)
	var batch []quarantine.Record
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
