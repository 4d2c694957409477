package queue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/queue"
	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// chaos sends any events in any order.
type chaos struct {
	q    queue.Queue
	now  time.Time
	next int
	// answers counts the answers to each reservation.
	answers map[id.Reservation]int
	// open has the arrivals that are owed an answer, with their holders.
	open map[id.Reservation]id.Instance
}

var chaosClasses = []manifest.Class{class("quick", 1, 0), class("note", 1, 0.1), class("dossier", 2, 0.2)}

func (c *chaos) step(t *rapid.T, ev queue.Event) {
	for _, e := range c.q.Step(c.now, ev) {
		switch e := e.(type) {
		case queue.Granted:
			c.answers[e.Reservation]++
		case queue.Refused:
			c.answers[e.Reservation]++
		}
	}
	for r, n := range c.answers {
		if n > 1 {
			t.Fatalf("%s has %d answers", r, n)
		}
	}
}

func (c *chaos) upstreams(t *rapid.T) []queue.Upstream {
	var list []queue.Upstream
	for i := range 4 {
		if !rapid.Bool().Draw(t, "homed") {
			continue
		}
		u := engine(id.Upstream(fmt.Sprintf("e%d", i)), 1+i)
		u.Resumes = i > 0
		u.Capacity.KVTokens = 4000
		u.Capacity.PrefillTokensPerSecond = 1000
		if i == 3 {
			u.Pools = append(u.Pools, "model:z")
		}
		list = append(list, u)
	}
	return list
}

func (c *chaos) arrive(t *rapid.T) {
	c.next++
	a := request(c.next, rapid.SampledFrom([]id.Class{"quick", "note", "dossier", "unknown"}).Draw(t, "class"), "w")
	a.Pool = rapid.SampledFrom([]id.Pool{poolName, "model:z"}).Draw(t, "pool")
	a.Holder = rapid.SampledFrom([]id.Instance{"i0", "i1"}).Draw(t, "holder")
	a.Fingerprint = id.Fingerprint(rapid.IntRange(0, 3).Draw(t, "fingerprint"))
	a.PromptTokens = id.Tokens(rapid.IntRange(1, 3000).Draw(t, "prompt"))
	a.FirstTokenBy = c.now.Add(time.Second)
	a.Deadline = c.now.Add(time.Minute)
	a.Attempt = rapid.IntRange(0, 1).Draw(t, "attempt")
	a.ResumeOffset = id.Tokens(a.Attempt * rapid.IntRange(0, 5).Draw(t, "offset"))
	c.open[a.Reservation] = a.Holder
	c.step(t, a)
}

func (c *chaos) loseHolder(t *rapid.T) {
	lost := rapid.SampledFrom([]id.Instance{"i0", "i1"}).Draw(t, "lost")
	for r, holder := range c.open {
		if holder == lost {
			delete(c.open, r)
		}
	}
	c.step(t, queue.HolderLost{Instance: lost})
}

func (c *chaos) play(t *rapid.T) {
	any := func() id.Reservation {
		return id.Reservation(fmt.Sprintf("r%d", rapid.IntRange(0, c.next).Draw(t, "which")))
	}
	switch rapid.IntRange(0, 12).Draw(t, "event") {
	case 0:
		c.step(t, configured(chaosClasses[rapid.IntRange(0, 1).Draw(t, "from"):], c.upstreams(t)...))
	case 1:
		c.step(t, queue.Progressed{Reservation: any(), Tokens: id.Tokens(rapid.IntRange(0, 900).Draw(t, "tokens"))})
	case 2, 3:
		outcome := rapid.SampledFrom([]queue.Outcome{queue.Completed, queue.Cancelled, queue.Failed, queue.Crashed,
			queue.Unreachable, queue.OutcomePreempted}).Draw(t, "outcome")
		c.step(t, queue.Released{Reservation: any(), Outcome: outcome, Tokens: 20, FirstToken: time.Millisecond})
	case 4:
		r := any()
		delete(c.open, r)
		c.step(t, queue.Withdrawn{Reservation: r})
	case 5:
		c.loseHolder(t)
	case 6:
		running := rapid.IntRange(0, 4).Draw(t, "running")
		c.step(t, queue.Reported{Upstream: "e1", AsOf: c.now.Add(-time.Second), Running: running})
	case 7:
		f := id.Fingerprint(rapid.IntRange(0, 3).Draw(t, "fingerprint"))
		c.step(t, queue.Heard{Records: []suspect.Record{{Fingerprint: f, Upstream: "e9", Request: "q", At: c.now}}})
	default:
		c.arrive(t)
	}
}

// Whatever happens in whatever order, each arrival gets exactly one answer, or
// none if it was withdrawn or its holder died.
func TestEveryArrivalIsAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &chaos{now: start, answers: map[id.Reservation]int{}, open: map[id.Reservation]id.Instance{}}
		c.q = queue.Queue{
			Suspects: &suspect.Tracker{}, Headroom: 0.1, Conservative: time.Second, LargePrefill: time.Second,
		}
		c.step(t, configured(chaosClasses, c.upstreams(t)...))
		for range 80 {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			c.play(t)
		}
		c.now = c.now.Add(2 * time.Minute)
		c.step(t, queue.Ticked{})
		for r := range c.open {
			if c.answers[r] != 1 {
				t.Fatalf("%s has %d answers", r, c.answers[r])
			}
		}
	})
}
