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
	maxPromptTokens = 300
	maxOutputTokens = 512
	// maxShortOutput bounds the output of the requests of the first workspace.
	maxShortOutput = 8
	// maxEstimateError bounds the error of the estimated output length.
	maxEstimateError = maxOutputTokens
)

// backlog keeps requests of each workspace waiting and counts the tokens that each
// workspace is served.
type backlog struct {
	*testQueue
	now      time.Time
	granted  []admission.Ticket
	requests map[admission.Ticket]admission.Request
	served   map[id.Workspace]id.Tokens
	next     int
}

func (b *backlog) add(t *rapid.T, w id.Workspace) {
	b.next++
	r := request(b.next, "quick", w)
	r.PromptTokens = id.Tokens(rapid.IntRange(1, maxPromptTokens).Draw(t, "prompt"))
	b.requests[r.Ticket] = r
	b.recordGrants(b.arrive(b.now, r))
}

func (b *backlog) recordGrants(effects []admission.Effect) {
	for _, g := range granted(effects) {
		b.granted = append(b.granted, g.Ticket)
	}
}

func (b *backlog) release(t *rapid.T) id.Workspace {
	i := rapid.IntRange(0, len(b.granted)-1).Draw(t, "running")
	ticket := b.granted[i]
	b.granted = append(b.granted[:i], b.granted[i+1:]...)
	r := b.requests[ticket]
	tokens := id.Tokens(rapid.IntRange(1, maxOutputTokens).Draw(t, "answer"))
	if r.Workspace == "w0" {
		tokens = min(tokens, maxShortOutput)
	}
	b.served[r.Workspace] += r.PromptTokens + tokens
	b.recordGrants(b.step(b.now, released(ticket, tokens)))
	return r.Workspace
}

// The tokens served to workspaces that always have waiters differ by no more than
// two of the largest requests and the errors of the estimates of what runs,
// whatever the sizes of their requests.
func TestWorkspacesAreServedFairly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		workspaces := rapid.IntRange(2, 5).Draw(t, "workspaces")
		b := &backlog{
			testQueue: newTestQueue(newEngines(slots), class("quick", 1, 0)),
			now:       start, requests: map[admission.Ticket]admission.Request{}, served: map[id.Workspace]id.Tokens{},
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
		servedBefore := map[id.Workspace]id.Tokens{}
		for i := range 100 * workspaces {
			b.now = b.now.Add(time.Millisecond)
			b.add(t, b.release(t))
			if i == 5*workspaces {
				for _, w := range names {
					servedBefore[w] = b.served[w]
				}
			}
		}
		const largest = maxPromptTokens + maxOutputTokens
		bound := id.Tokens(2*largest + 2*slots*(largest+maxEstimateError))
		for _, w := range names[1:] {
			gap := (b.served[w] - servedBefore[w]) - (b.served[names[0]] - servedBefore[names[0]])
			if gap > bound || gap < -bound {
				t.Fatalf("%s was served %d tokens more than %s; the bound is %d", w, gap, names[0], bound)
			}
		}
	})
}

// A workspace that floods a class neither delays the requests of another one nor
// causes their refusal.
func TestFloodingWorkspaceDoesNotDelayOthers(t *testing.T) {
	c := class("quick", 1, 0)
	c.QueueBound = 20
	q := newTestQueue(newEngines(1), c)
	var refused []admission.Refused
	for i := range 100 {
		refused = append(refused, effectsOf[admission.Refused](q.arrive(start, request(i, "quick", "flood")))...)
	}
	if len(refused) != 79 {
		t.Fatalf("refused %d of the flood, want 79", len(refused))
	}
	effects := q.arrive(start, request(1000, "quick", "other"))
	for _, r := range effectsOf[admission.Refused](effects) {
		if r.Ticket == 1000 {
			t.Fatalf("request of the other workspace refused because of the flood: %+v", r)
		}
	}
	got := granted(q.step(start, released(0, 100)))
	if len(got) != 1 || got[0].Ticket != 1000 {
		t.Fatalf("granted %+v, want 1000 first", got)
	}
}

// A workspace that was idle for long gets at most a short burst of grants ahead of
// the others.
func TestIdleWorkspaceGetsOneBurst(t *testing.T) {
	q := newTestQueue(newEngines(1), class("quick", 1, 0))
	next, running := 0, admission.Ticket(0)
	grants := map[id.Workspace]int{}
	workspaces := map[admission.Ticket]id.Workspace{}
	add := func(w id.Workspace) {
		next++
		r := request(next, "quick", w)
		workspaces[r.Ticket] = w
		for _, g := range granted(q.arrive(start, r)) {
			running = g.Ticket
		}
	}
	serve := func() {
		running = granted(q.step(start, released(running, 256)))[0].Ticket
		grants[workspaces[running]]++
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
	clear(grants)
	for range 60 {
		serve()
	}
	const burstRequests = 16
	if lead := grants["late"] - grants["busy"]; lead > burstRequests+1 {
		t.Errorf("the idle workspace is %d grants ahead, want at most %d", lead, burstRequests+1)
	}
}

// Requests of a higher tier wait at another instance, which has no free slot. As
// many slots as there are such requests are kept free here, until the load report
// expires.
func TestSlotsReservedForHigherTiersElsewhere(t *testing.T) {
	q := newTestQueue(newEngines(2), class("quick", 1, 0), class("dossier", 2, 0))
	for i := range 6 {
		q.arrive(start, request(i, "dossier", "w"))
	}
	load := admission.LoadReceived{Instance: "other", Waiting: admission.RequestCounts{poolName: map[id.Tier]int{1: 1}}}
	q.step(start, load)
	if got := granted(q.step(start, released(0, 10))); len(got) != 0 {
		t.Errorf("granted %+v while a higher tier waits at another instance", got)
	}
	if got := granted(q.step(start, released(1, 10))); len(got) != 1 {
		t.Errorf("granted %+v, want one of two free slots", got)
	}
	if got := granted(q.step(start.Add(time.Second), admission.Ticked{})); len(got) != 1 {
		t.Errorf("granted %+v after the load report expired, want one", got)
	}
}

// Requests of a higher tier wait at one instance, while runs of a lower tier, which
// could make room for them, are only at others. Each of those preempts its share of
// the runs, although no request of the higher tier waits there.
func TestInstancePreemptsItsShareForPeer(t *testing.T) {
	engines := newEngines(10)
	engines.pools = map[id.Pool][]id.Upstream{poolName: {"e0"}, "model:long": {"e0"}}
	q := newTestQueue(engines, class("quick", 1, 0), class("dossier", 2, 0))
	for i := range 6 {
		r := request(i, "dossier", "w")
		r.Pool = "model:long"
		q.arrive(start, r)
	}
	thirdRunning := admission.RequestCounts{"model:long": map[id.Tier]int{2: 12}}
	q.step(start, admission.LoadReceived{Instance: "third", Running: thirdRunning})
	atRisk := admission.RequestCounts{poolName: map[id.Tier]int{1: 9}}
	got := effectsOf[admission.Preempt](q.step(start, admission.LoadReceived{Instance: "other", Waiting: atRisk, AtRisk: atRisk}))
	if len(got) != 3 {
		t.Errorf("preempted %d runs, want 3 of the 9 needed: this instance has 6 of 18 runs", len(got))
	}
	again := effectsOf[admission.Preempt](q.step(start, admission.LoadReceived{Instance: "other", Waiting: atRisk, AtRisk: atRisk}))
	if len(again) != 0 {
		t.Errorf("preempted %d more while the first ones are about to end", len(again))
	}
}

// Requests of a low tier run at an engine that requests of a higher tier for another
// model share. The headroom for higher tiers applies across pools.
func TestHeadroomAppliesAcrossPools(t *testing.T) {
	engines := newEngines(10, 10)
	engines.pools = map[id.Pool][]id.Upstream{poolName: {"e0", "e1"}, "model:long": {"e1"}}
	q := newTestQueue(engines, class("quick", 1, 0), class("dossier", 2, 0))
	q.Headroom = 0.2
	q.arrive(start, request(1, "quick", "w"))
	for i := range 10 {
		r := request(10+i, "dossier", "w")
		r.Pool = "model:long"
		q.arrive(start, r)
	}
	if n := engines.inUse("e1"); n != 8 {
		t.Errorf("%d of 10 slots are used by the lower tier, want 8", n)
	}
}

// Smaller requests of lower tiers do not starve a request that needs more memory
// than is free.
func TestLowerTiersDoNotOvertakeBlockedRequest(t *testing.T) {
	engines := &limitedMemory{engines: newEngines(4)}
	q := &testQueue{engines: engines.engines}
	q.Queue = admission.Queue{Upstreams: engines}
	q.Step(start, admission.Configured{Classes: []manifest.Class{class("quick", 1, 0), class("dossier", 2, 0)}})
	large := request(1, "quick", "w")
	large.PromptTokens = 1000
	q.arrive(start, large)
	if got := granted(q.arrive(start, request(2, "dossier", "w"))); len(got) != 0 {
		t.Errorf("granted %+v before a larger request of a higher tier", got)
	}
}

// limitedMemory has engines without memory for large prompts.
type limitedMemory struct{ *engines }

func (e *limitedMemory) Place(now time.Time, r admission.Request, n id.Tokens, avoid func(id.Upstream) bool) (id.Upstream, admission.Placement) {
	if r.PromptTokens >= 1000 {
		return "", admission.Busy
	}
	return e.engines.Place(now, r, n, avoid)
}
