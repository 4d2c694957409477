package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"samphirehead/coordination/balancer"
	"samphirehead/state/id"
	"samphirehead/state/routing"
)

const (
	quickPause  = 250 * time.Millisecond
	middlePause = 400 * time.Millisecond
	longPause   = time.Second
	// tokensInPause is what such an engine prefills in quickPause.
	tokensInPause = 12_400
)

// mixedChooser returns a Chooser for engines with events of 3 tokens, for quick
// streams with short pauses beside streams with long prompts.
func mixedChooser(engines int) *balancer.Chooser {
	c := &balancer.Chooser{FailureDomain: "d0"}
	c.Step(start, balancer.Configured{
		Service:   routing.Service{Name: "s", Engine: &routing.Engine{Slots: 64, KVTokens: 569_000, EventTokens: 3}},
		Upstreams: upstreams(engines, 64), TightestObjective: 500 * time.Millisecond, TightestPause: quickPause,
	})
	return c
}

func quick(ticket balancer.Ticket, pause time.Duration) balancer.Request {
	return balancer.Request{
		Ticket: ticket, Objective: 500 * time.Millisecond, PauseObjective: pause,
		Parts: []balancer.Part{{Name: fmt.Sprint("quick", ticket), Tokens: 1400}},
	}
}

func longPrompt(ticket balancer.Ticket) balancer.Request {
	return balancer.Request{
		Ticket: ticket, Objective: 2500 * time.Millisecond, PauseObjective: longPause, Urgency: 2,
		Parts: []balancer.Part{{Name: fmt.Sprint("shared", ticket), Tokens: 13_300}, {Name: fmt.Sprint("own", ticket), Tokens: 3700}},
	}
}

// Pattern: quick streams with pauses of 250 ms beside prompts of 17,000
// tokens, from the first request on. Nothing has been learned yet, and no long prompt may
// go where a quick stream runs.
func TestTightestStreamsAreKeptFromLongPrompts(t *testing.T) {
	c := mixedChooser(9)
	var n tickets
	streams := map[id.Upstream]bool{}
	for i := range 40 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		got, _ := c.Choose(now, quick(n.next(), quickPause))
		c.Step(now, balancer.Started{Ticket: n.last})
		streams[got.Upstream] = true
		got, _ = c.Choose(now, longPrompt(n.next()))
		c.Step(now, balancer.Started{Ticket: n.last})
		if streams[got.Upstream] {
			t.Fatalf("long prompt %d goes to %s, where a quick stream runs", i, got.Upstream)
		}
	}
}

// Pattern: streams with a longer objective for pauses. They share engines with long
// prompts until many of the streams there have paused for longer, and again when
// few do.
func TestRiskOfPausesIsLearned(t *testing.T) {
	c := mixedChooser(9)
	var n tickets
	observe := func(streams int, longest time.Duration) {
		for range streams {
			c.Choose(start, longPrompt(n.next()))
			c.Step(start, balancer.Started{Ticket: n.last})
			c.Step(start, balancer.Paused{Ticket: n.last, Longest: longest})
			c.Step(start, balancer.Ended{Ticket: n.last})
		}
	}
	quickStream, _ := c.Choose(start, quick(n.next(), quickPause))
	c.Step(start, balancer.Started{Ticket: n.last})
	keptApart := func() bool {
		for range 12 {
			got, _ := c.Choose(start, quick(n.next(), middlePause))
			c.Step(start, balancer.Started{Ticket: n.last})
			c.Step(start, balancer.Ended{Ticket: n.last})
			if got.Upstream != quickStream.Upstream {
				return false
			}
		}
		return true
	}
	for _, step := range []struct {
		streams int
		longest time.Duration
		want    bool
	}{
		{0, 0, false}, {20, 100 * time.Millisecond, false}, {20, 500 * time.Millisecond, true}, {400, 100 * time.Millisecond, false},
	} {
		observe(step.streams, step.longest)
		if got := keptApart(); got != step.want {
			t.Errorf("after %d more streams with pauses of %s: kept apart %t", step.streams, step.longest, got)
		}
	}
}

// Pattern: prompts of a middle length arrive together. One after the other on the
// engine of the quick streams, they would pause these for longer than 250 ms, so
// the later ones go elsewhere.
func TestBacklogDoesNotPauseQuickStreams(t *testing.T) {
	c := mixedChooser(4)
	var n tickets
	streams := map[id.Upstream]int{}
	for range 40 {
		got, _ := c.Choose(start, quick(n.next(), quickPause))
		c.Step(start, balancer.Started{Ticket: n.last})
		streams[got.Upstream]++
	}
	waiting := map[id.Upstream]id.Tokens{}
	for i := range 24 {
		r := quick(n.next(), middlePause)
		r.Objective, r.Urgency = 800*time.Millisecond, 1
		r.Parts = []balancer.Part{{Name: fmt.Sprint("middle", i), Tokens: 4000}}
		got, _ := c.Choose(start, r)
		waiting[got.Upstream] += got.Prefill
	}
	for u, tokens := range waiting {
		if streams[u] > 0 && tokens > tokensInPause {
			t.Errorf("%d tokens wait on %s beside %d quick streams", tokens, u, streams[u])
		}
	}
}

// Pattern: a long prompt, an idle engine and a busy one. The busy one comes first by
// affinity, but its running streams would all wait for the prefill.
func TestLongPromptGoesToIdleEngine(t *testing.T) {
	c := chooser(3, 500_000)
	first, _ := c.Choose(start, balancer.Request{Ticket: 1, Parts: prompt(1), Objective: bulkObjective})
	c.Step(start, balancer.Ended{Ticket: 1})
	c.Step(start, balancer.LoadReceived{Instance: "other", Loads: map[id.Upstream]balancer.Load{first.Upstream: {Running: 40}}})
	parts := prompt(1)
	parts[2] = balancer.Part{Name: "long", Tokens: 20_000}
	got, _ := c.Choose(start, balancer.Request{Ticket: 2, Parts: parts, Objective: bulkObjective})
	if got.Upstream == first.Upstream {
		t.Errorf("a prefill of %d tokens delays 40 streams on %s", got.Prefill, got.Upstream)
	}
}

// Pattern: long prompts fill the engines for bulk requests while few streams run on
// the others. Prompts that would start after their objective go to these.
func TestWaitingBulkUsesAllEngines(t *testing.T) {
	c := mixedChooser(3)
	var n tickets
	used := map[id.Upstream]bool{}
	c.Choose(start, quick(n.next(), quickPause))
	c.Step(start, balancer.Started{Ticket: n.last})
	for range 60 {
		got, refusal := c.Choose(start, longPrompt(n.next()))
		if refusal == balancer.Chosen {
			used[got.Upstream] = true
		}
	}
	if len(used) != 3 {
		t.Errorf("60 long prompts use %d of 3 engines", len(used))
	}
}

// Pattern: as many long prompts as the engines can read, and engines on which no
// stream pauses for long. Streams with the tightest objective share the engines with
// the prompts while these wait, and are kept apart when they don't.
func TestStreamsNotAtRiskShareEnginesWithWaitingBulk(t *testing.T) {
	c := mixedChooser(9)
	var n tickets
	for range 200 {
		c.Choose(start, longPrompt(n.next()))
		c.Step(start, balancer.Started{Ticket: n.last})
		c.Step(start, balancer.Paused{Ticket: n.last, Longest: 50 * time.Millisecond})
		c.Step(start, balancer.Ended{Ticket: n.last})
	}
	enginesOfStreams := func() int {
		used := map[id.Upstream]bool{}
		for range 40 {
			got, _ := c.Choose(start, quick(n.next(), quickPause))
			c.Step(start, balancer.Started{Ticket: n.last})
			c.Step(start, balancer.Ended{Ticket: n.last})
			used[got.Upstream] = true
		}
		return len(used)
	}
	idle := enginesOfStreams()
	for range 60 {
		c.Choose(start, longPrompt(n.next()))
	}
	if waiting := enginesOfStreams(); waiting <= idle {
		t.Errorf("the streams use %d engines while long prompts wait, %d otherwise", waiting, idle)
	}
}

// Pattern: the first streams of a fleet of 90 engines, of which this instance sees
// few. They must not all go to one engine, since those of other instances, which are
// not known yet, go there too.
func TestFirstStreamsUseSeveralEngines(t *testing.T) {
	c := mixedChooser(90)
	var n tickets
	used := map[id.Upstream]bool{}
	for range 12 {
		got, _ := c.Choose(start, quick(n.next(), quickPause))
		c.Step(start, balancer.Started{Ticket: n.last})
		used[got.Upstream] = true
	}
	if len(used) < 5 {
		t.Errorf("12 streams use %d of 90 engines", len(used))
	}
}
