package member

import (
	"math/bits"
	"time"

	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
)

const (
	// MaxCrashes bounds the crash reports of one message.
	MaxCrashes = 8
	// maxHeldCrashes bounds the crash reports held for spreading.
	maxHeldCrashes = 256
	// crashLifetime is how long a report is spread and recognised.
	crashLifetime = 30 * time.Second
)

// Crashes spreads crash reports with gossip. The zero value is ready. It is
// not safe for concurrent use.
type Crashes struct {
	// held is ordered by arrival; no two have the same key.
	held []heldCrash
}

type heldCrash struct {
	suspect.Record
	// left counts the messages that are still to carry the report.
	left int
}

type crashKey struct {
	fingerprint id.Fingerprint
	upstream    id.Upstream
	request     id.Request
}

func keyOf(r suspect.Record) crashKey { return crashKey{r.Fingerprint, r.Upstream, r.Request} }

// Add takes in a report and returns whether it is new. members is the number
// of instances that it has to reach.
func (c *Crashes) Add(now time.Time, report suspect.Record, members int) bool {
	c.expire(now)
	for _, h := range c.held {
		if keyOf(h.Record) == keyOf(report) {
			return false
		}
	}
	if now.Sub(report.At) >= crashLifetime {
		return false
	}
	if len(c.held) == maxHeldCrashes {
		c.held = c.held[1:]
	}
	c.held = append(c.held, heldCrash{Record: report, left: spreadFactor * bits.Len(uint(members))})
	return true
}

// Take returns the reports for one message, at most MaxCrashes, the latest
// first.
func (c *Crashes) Take(now time.Time) []suspect.Record {
	c.expire(now)
	var taken []suspect.Record
	for i := len(c.held) - 1; i >= 0 && len(taken) < MaxCrashes; i-- {
		if c.held[i].left > 0 {
			c.held[i].left--
			taken = append(taken, c.held[i].Record)
		}
	}
	return taken
}

func (c *Crashes) expire(now time.Time) {
	kept := c.held[:0]
	for _, h := range c.held {
		if now.Sub(h.At) < crashLifetime {
			kept = append(kept, h)
		}
	}
	c.held = kept
}
