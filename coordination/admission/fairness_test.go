package admission_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/admission"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

const (
	mostPrompt = 300
	mostAnswer = 512
	// shortAnswer bounds the answers of the first workspace.
	shortAnswer = 8
	// estimate bounds the error of what an answer is expected to be long.
	estimate = mostAnswer
)

// backlog keeps workspaces waiting and counts what each is served.
type backlog struct {
	*entry
	now     time.Time
	granted []admission.Ticket
	of      map[admission.Ticket]admission.Request
	served  map[id.Workspace]id.Tokens
	next    int
}

func (b *backlog) add(t *rapid.T, w id.Workspace) {
	b.next++
	r := request(b.next, "quick", w)
	r.PromptTokens = id.Tokens(rapid.IntRange(1, mostPrompt).Draw(t, "prompt"))
	b.of[r.Ticket] = r
	b.take(b.arrive(b.now, r))
}

func (b *backlog) take(effects []admission.Effect) {
	for _, g := range granted(effects) {
		b.granted = append(b.granted, g.Ticket)
	}
}

func (b *backlog) release(t *rapid.T) id.Workspace {
	i := rapid.IntRange(0, len(b.granted)-1).Draw(t, "running")
	ticket := b.granted[i]
	b.granted = append(b.granted[:i], b.granted[i+1:]...)
	r := b.of[ticket]
	tokens := id.Tokens(rapid.IntRange(1, mostAnswer).Draw(t, "answer"))
	if r.Workspace == "w0" {
		tokens = min(tokens, shortAnswer)
	}
	b.served[r.Workspace] += r.PromptTokens + tokens
	b.take(b.step(b.now, released(ticket, tokens)))
	return r.Workspace
}

// Workspaces that wait all the time are served tokens that differ by no more
// than two requests and the wrong estimates of what is running: whatever the
// sizes of their requests.
func TestFairOverWorkspaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		workspaces := rapid.IntRange(2, 5).Draw(t, "workspaces")
		b := &backlog{
			entry: newEntry(newEngines(slots), class("quick", 1, 0)),
			now:   start, of: map[admission.Ticket]admission.Request{}, served: map[id.Workspace]id.Tokens{},
		}
		names := make([]id.Workspace, workspaces)
		for i := range names {
			names[i] = id.Workspace(fmt.Sprintf("w%d", i))
		}
		for range slots + 3 {
			for _, w := range names {
				b.add(t, w)
			}
		}
		before := map[id.Workspace]id.Tokens{}
		for i := range 100 * workspaces {
			b.now = b.now.Add(time.Millisecond)
			b.add(t, b.release(t))
			if i == 5*workspaces {
				for _, w := range names {
					before[w] = b.served[w]
				}
			}
		}
		const largest = mostPrompt + mostAnswer
		bound := id.Tokens(2*largest + 2*slots*(largest+estimate))
		for _, w := range names[1:] {
			gap := (b.served[w] - before[w]) - (b.served[names[0]] - before[names[0]])
			if gap > bound || gap < -bound {
				t.Fatalf("%s was served %d tokens more than %s; the bound is %d", w, gap, names[0], bound)
			}
		}
	})
}

// A workspace that floods a class neither delays nor displaces the others.
func TestFloodStaysOutside(t *testing.T) {
	c := class("quick", 1, 0)
	c.QueueBound = 20
	e := newEntry(newEngines(1), c)
	var refused []admission.Refused
	for i := range 100 {
		refused = append(refused, pick[admission.Refused](e.arrive(start, request(i, "quick", "flood")))...)
	}
	if len(refused) != 79 {
		t.Fatalf("refused %d of the flood, want 79", len(refused))
	}
	effects := e.arrive(start, request(1000, "quick", "other"))
	for _, r := range pick[admission.Refused](effects) {
		if r.Ticket == 1000 {
			t.Fatalf("the flood keeps the other workspace out: %+v", r)
		}
	}
	got := granted(e.step(start, released(0, 100)))
	if len(got) != 1 || got[0].Ticket != 1000 {
		t.Fatalf("granted %+v, want 1000 at once", got)
	}
}

// A workspace that has not asked for long leads by a short burst, and no more.
func TestIdleWorkspaceGainsOneBurst(t *testing.T) {
	e := newEntry(newEngines(1), class("quick", 1, 0))
	next, running := 0, admission.Ticket(0)
	turn := map[id.Workspace]int{}
	of := map[admission.Ticket]id.Workspace{}
	add := func(w id.Workspace) {
		next++
		r := request(next, "quick", w)
		of[r.Ticket] = w
		for _, g := range granted(e.arrive(start, r)) {
			running = g.Ticket
		}
	}
	serve := func() {
		running = granted(e.step(start, released(running, 256)))[0].Ticket
		turn[of[running]]++
	}
	add("late")
	for range 3 {
		add("busy")
	}
	for range 100 {
		serve()
		add("busy")
	}
	for range 60 {
		add("late")
		add("busy")
	}
	clear(turn)
	for range 60 {
		serve()
	}
	const burst = 16
	if lead := turn["late"] - turn["busy"]; lead > burst+1 {
		t.Errorf("the late workspace is %d turns ahead, want at most %d", lead, burst+1)
	}
}

// Pattern: another instance has urgent requests waiting and no slot. What is
// freed here stays free for it, as many slots as requests, and for a while only.
func TestSlotsAreLeftToHigherTiersElsewhere(t *testing.T) {
	e := newEntry(newEngines(2), class("quick", 1, 0), class("dossier", 2, 0))
	for i := range 6 {
		e.arrive(start, request(i, "dossier", "w"))
	}
	elsewhere := admission.Told{Instance: "other", Waiting: admission.Waiting{poolName: map[id.Tier]int{1: 1}}}
	e.step(start, elsewhere)
	if got := granted(e.step(start, released(0, 10))); len(got) != 0 {
		t.Errorf("granted %+v beside a higher tier that waits elsewhere", got)
	}
	if got := granted(e.step(start, released(1, 10))); len(got) != 1 {
		t.Errorf("granted %+v, want one of two free slots", got)
	}
	if got := granted(e.step(start.Add(time.Second), admission.Ticked{})); len(got) != 1 {
		t.Errorf("granted %+v once the other has not told for long", got)
	}
}

// Pattern: urgent requests wait at one instance, and lower work of another model
// runs at others only. Each ends its part of it, though it has no urgent requests
// itself.
func TestInstancesYieldTheirPart(t *testing.T) {
	engines := newEngines(10)
	engines.pools = map[id.Pool][]id.Upstream{poolName: {"e0"}, "model:long": {"e0"}}
	e := newEntry(engines, class("quick", 1, 0), class("dossier", 2, 0))
	for i := range 6 {
		r := request(i, "dossier", "w")
		r.Pool = "model:long"
		e.arrive(start, r)
	}
	third := admission.Waiting{"model:long": map[id.Tier]int{2: 12}}
	e.step(start, admission.Told{Instance: "third", Running: third})
	pressed := admission.Waiting{poolName: map[id.Tier]int{1: 9}}
	got := pick[admission.Preempted](e.step(start, admission.Told{Instance: "other", Waiting: pressed, Pressed: pressed}))
	if len(got) != 3 {
		t.Errorf("ends %d runs, want 3 of 9: it runs 6 of 18", len(got))
	}
	again := pick[admission.Preempted](e.step(start, admission.Told{Instance: "other", Waiting: pressed, Pressed: pressed}))
	if len(again) != 0 {
		t.Errorf("ends %d more while those are on their way", len(again))
	}
}

// Pattern: long work of a low tier runs on engines that urgent work of another
// model shares. The share that is kept for higher tiers holds across pools.
func TestHeadroomHoldsAcrossPools(t *testing.T) {
	engines := newEngines(10, 10)
	engines.pools = map[id.Pool][]id.Upstream{poolName: {"e0", "e1"}, "model:long": {"e1"}}
	e := newEntry(engines, class("quick", 1, 0), class("dossier", 2, 0))
	e.Headroom = 0.2
	e.arrive(start, request(1, "quick", "w"))
	for i := range 10 {
		r := request(10+i, "dossier", "w")
		r.Pool = "model:long"
		e.arrive(start, r)
	}
	if n := engines.inUse("e1"); n != 8 {
		t.Errorf("%d of 10 slots are used by the lower tier, want 8", n)
	}
}

// A request that needs more memory than is free is not starved by smaller ones
// of lower tiers.
func TestLowerTiersDoNotPassARequestThatWaitsForRoom(t *testing.T) {
	engines := &crowded{engines: newEngines(4)}
	e := &entry{engines: engines.engines}
	e.Queue = admission.Queue{Upstreams: engines}
	e.Step(start, admission.Configured{Classes: []manifest.Class{class("quick", 1, 0), class("dossier", 2, 0)}})
	large := request(1, "quick", "w")
	large.PromptTokens = 1000
	e.arrive(start, large)
	if got := granted(e.arrive(start, request(2, "dossier", "w"))); len(got) != 0 {
		t.Errorf("granted %+v before a larger request of a higher tier", got)
	}
}

// crowded engines have no memory for large prompts.
type crowded struct{ *engines }

func (c *crowded) Place(now time.Time, r admission.Request, n id.Tokens, avoid func(id.Upstream) bool) (id.Upstream, admission.Placement) {
	if r.PromptTokens >= 1000 {
		return "", admission.Busy
	}
	return c.engines.Place(now, r, n, avoid)
}
