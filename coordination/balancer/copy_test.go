package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"samphirehead/coordination/balancer"
	"samphirehead/state/id"
	"samphirehead/state/routing"
)

// copyingChooser returns a Chooser for n engines that copy KV cache at the given
// rate; 0 if they can't.
func copyingChooser(n int, linkBytesPerSecond float64) *balancer.Chooser {
	c := &balancer.Chooser{FailureDomain: "d0"}
	c.Step(start, balancer.Configured{
		Service: routing.Service{Name: "s", Engine: &routing.Engine{
			Slots: 64, KVTokens: 500_000, EventTokens: 3, KVBytesPerToken: 160_000, LinkBytesPerSecond: linkBytesPerSecond,
		}},
		Upstreams: upstreams(n, 64), TightestObjective: tightestObjective, TightestPause: tightestPause,
	})
	return c
}

const fastLink = 35e9

// Pattern: a session whose long shared parts one engine has, and that engine can't
// take the next request. Another engine may copy them from there, once they have been
// read.
func TestSharedPartsAreCopied(t *testing.T) {
	for name, c := range map[string]struct {
		link          float64
		started, want bool
	}{
		"read":            {fastLink, true, true},
		"not read yet":    {fastLink, false, false},
		"can't be copied": {0, true, false},
	} {
		chooser := copyingChooser(6, c.link)
		request := balancer.Request{Ticket: 1, Parts: prompt(1), Objective: bulkObjective}
		first, _ := chooser.Choose(start, request)
		if c.started {
			chooser.Step(start, balancer.Started{Ticket: 1})
		}
		request.Ticket, request.Excluded = 2, []id.Upstream{first.Upstream}
		got, _ := chooser.Choose(start, request)
		if copied := got.CopyFrom == first.Address; copied != c.want {
			t.Errorf("%s: copies from %q, the parts are at %s", name, got.CopyFrom, first.Address)
		}
		if got.CopyFrom == got.Address {
			t.Errorf("%s: copies from itself", name)
		}
	}
}

// Pattern: a session with much of the traffic, on engines that copy fast. Its
// requests spread over the engines, and few of them read the shared parts again.
func TestBusySessionIsCopied(t *testing.T) {
	const requests = 60
	read := func(link float64) (engines int, tokens id.Tokens) {
		c := copyingChooser(9, link)
		used := map[id.Upstream]bool{}
		now := start
		for i := range requests {
			now = now.Add(30 * time.Millisecond)
			parts := prompt(1)
			parts[2].Name += string(rune('a' + i))
			got, _ := c.Choose(now, balancer.Request{Ticket: balancer.Ticket(i + 1), Parts: parts, Objective: bulkObjective})
			c.Step(now, balancer.Started{Ticket: balancer.Ticket(i + 1)})
			used[got.Upstream] = true
			tokens += got.Prefill
		}
		return len(used), tokens
	}
	enginesAlone, tokensAlone := read(0)
	engines, tokens := read(fastLink)
	if engines < enginesAlone || tokens >= tokensAlone {
		t.Errorf("with copies %d engines read %d tokens, without %d read %d", engines, tokens, enginesAlone, tokensAlone)
	}
	if own := id.Tokens(requests * 2900); tokens > own+6300 {
		t.Errorf("%d tokens were read, want the shared parts once and %d", tokens, own)
	}
}

// A failing engine is no source of copies.
func TestEjectedEngineIsNoCopySource(t *testing.T) {
	c := copyingChooser(3, fastLink)
	first, _ := c.Choose(start, balancer.Request{Ticket: 1, Parts: prompt(1), Objective: bulkObjective})
	c.Step(start, balancer.Started{Ticket: 1})
	c.Step(start, balancer.EjectionReceived{Upstream: first.Upstream, For: time.Second})
	got, _ := c.Choose(start, balancer.Request{Ticket: 2, Parts: prompt(1), Objective: bulkObjective})
	if got.Copied > 0 || got.CopyFrom == first.Address {
		t.Errorf("copies %d tokens from %q", got.Copied, got.CopyFrom)
	}
}

// Pattern: two busy engines with the shared parts, and a third one that copies them
// over a slow link for each session. The time of the copies is expected, so the third
// one does not count as slow.
func TestCopyingEngineIsNotSlow(t *testing.T) {
	const copyTime, slowLink = time.Second, 6300 * 160_000
	c := copyingChooser(3, slowLink)
	busy := map[id.Upstream]balancer.Load{"u00": {Running: 60}, "u01": {Running: 60}}
	var n tickets
	now := start
	run := func(session int, expected time.Duration) balancer.Choice {
		parts := prompt(session)
		parts[2].Name = fmt.Sprint("own", n.last)
		got, _ := c.Choose(now, balancer.Request{Ticket: n.next(), Parts: parts, Objective: 400 * time.Millisecond})
		c.Step(now.Add(expected), balancer.Started{Ticket: n.last})
		c.Step(now.Add(expected), balancer.Ended{Ticket: n.last})
		return got
	}
	copies := 0
	for session := range 60 {
		now = now.Add(50 * time.Millisecond)
		c.Step(now, balancer.LoadReceived{Instance: "other"})
		if got := run(session, 100*time.Millisecond); got.Upstream == "u02" {
			continue
		}
		c.Step(now, balancer.LoadReceived{Instance: "other", Loads: busy})
		if got := run(session, 100*time.Millisecond+copyTime); got.Copied > 0 {
			copies++
		}
	}
	if copies < 10 {
		t.Fatalf("%d runs with copies", copies)
	}
	for _, change := range c.HealthChanges() {
		if change.Health == balancer.Slow {
			t.Errorf("%s counts as slow: %v", change.Upstream, change.Slowness)
		}
	}
}
