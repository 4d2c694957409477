package member

import (
	"math/bits"
	"time"

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

// Crash reports that an upstream crashed under a request.
type Crash struct {
	Fingerprint id.Fingerprint
	Upstream    id.Upstream
	Request     id.Request
	At          time.Time
}

// Crashes spreads crash reports with gossip. The zero value is ready. It is
// not safe for concurrent use.
type Crashes struct {
	// held is ordered by arrival; no two have the same key.
	held []heldCrash
}

type heldCrash struct {
	Crash
	// left counts the messages that are still to carry the report.
	left int
}

type crashKey struct {
	fingerprint id.Fingerprint
	upstream    id.Upstream
	request     id.Request
}

func (c Crash) key() crashKey { return crashKey{c.Fingerprint, c.Upstream, c.Request} }

// Add takes in a report and returns whether it is new. members is the number
// of instances that it has to reach.
func (c *Crashes) Add(now time.Time, report Crash, members int) bool {
	c.expire(now)
	for _, h := range c.held {
		if h.key() == report.key() {
			return false
		}
	}
	if now.Sub(report.At) >= crashLifetime {
		return false
	}
	if len(c.held) == maxHeldCrashes {
		c.held = c.held[1:]
	}
	c.held = append(c.held, heldCrash{Crash: report, left: spreadFactor * bits.Len(uint(members))})
	return true
}

// Take returns the reports for one message, at most MaxCrashes, the latest
// first.
func (c *Crashes) Take(now time.Time) []Crash {
	c.expire(now)
	var taken []Crash
	for i := len(c.held) - 1; i >= 0 && len(taken) < MaxCrashes; i-- {
		if c.held[i].left > 0 {
			c.held[i].left--
			taken = append(taken, c.held[i].Crash)
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
