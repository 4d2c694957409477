package choice_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"samphirehead/coordination/choice"
	"samphirehead/coordination/registry"
	"samphirehead/state/id"
	"samphirehead/state/routing"
)

var start = time.Unix(1000, 0)

const (
	tightestObjective = 250 * time.Millisecond
	bulkObjective     = 1500 * time.Millisecond
)

func upstreams(n, slots int) []registry.Entry {
	var all []registry.Entry
	for i := range n {
		all = append(all, registry.Entry{
			Upstream:      id.Upstream(fmt.Sprintf("u%02d", i)),
			Address:       fmt.Sprintf("10.0.0.%d:1", i),
			FailureDomain: id.FailureDomain(fmt.Sprintf("z%d", i%3)),
			Slots:         slots,
		})
	}
	return all
}

// chooser has engines, or plain workers where tokens is 0.
func chooser(n int, tokens id.Tokens) *choice.Chooser {
	c := &choice.Chooser{FailureDomain: "z0"}
	service := routing.Service{Name: "s"}
	if tokens > 0 {
		service.Engine = &routing.Engine{Slots: 64, KVTokens: tokens, EventTokens: 4}
	}
	c.Step(start, choice.Configured{Service: service, Upstreams: upstreams(n, 6), TightestObjective: tightestObjective})
	return c
}

func prompt(session int) []choice.Part {
	return []choice.Part{
		{Name: "system", Tokens: 2500},
		{Name: fmt.Sprintf("session%d", session), Tokens: 3800},
		{Name: fmt.Sprintf("own%d", session), Tokens: 2900},
	}
}

// tickets numbers the requests of one test.
type tickets struct{ last choice.Ticket }

func (t *tickets) next() choice.Ticket {
	t.last++
	return t.last
}

func TestPlainRequestsGoToTheLeastLoaded(t *testing.T) {
	c := chooser(3, 0)
	var n tickets
	count := map[id.Upstream]int{}
	for range 6 {
		got, refusal := c.Choose(start, choice.Request{Ticket: n.next()})
		if refusal != choice.Chosen {
			t.Fatal("no upstream")
		}
		count[got.Upstream]++
	}
	for u, n := range count {
		if n != 2 {
			t.Errorf("%s has %d of 6 requests", u, n)
		}
	}
}

func TestPeerLoadExpires(t *testing.T) {
	c := chooser(3, 0)
	c.Step(start, choice.LoadReceived{Instance: "other", Loads: map[id.Upstream]choice.Load{"u00": {Running: 5}, "u01": {Running: 5}}})
	if got, _ := c.Choose(start, choice.Request{Ticket: 1}); got.Upstream != "u02" {
		t.Errorf("chose %s beside another instance's load", got.Upstream)
	}
	c.Step(start, choice.Ended{Ticket: 1})
	if got, _ := c.Choose(start.Add(time.Minute), choice.Request{Ticket: 2}); got.Upstream != "u00" {
		t.Errorf("chose %s by a load that is a minute old", got.Upstream)
	}
}

func TestExcludedUpstreamsAreNotChosen(t *testing.T) {
	c := chooser(2, 0)
	if got, _ := c.Choose(start, choice.Request{Ticket: 1, Excluded: []id.Upstream{"u00"}}); got.Upstream != "u01" {
		t.Errorf("chose %s", got.Upstream)
	}
	if _, refusal := c.Choose(start, choice.Request{Ticket: 2, Excluded: []id.Upstream{"u00", "u01"}}); refusal != choice.NoUpstream {
		t.Error("chose an excluded upstream")
	}
}

func TestFailingUpstreamIsEjectedTemporarily(t *testing.T) {
	for name, c := range map[string]struct {
		failures int
		ended    choice.Ended
		want     bool
	}{
		"unreached":       {1, choice.Ended{Unreachable: true}, true},
		"failed once":     {1, choice.Ended{Failed: true}, false},
		"failed in a row": {3, choice.Ended{Failed: true}, true},
	} {
		chooser := chooser(2, 0)
		var n tickets
		for range c.failures {
			ended := c.ended
			ended.Ticket = n.next()
			chooser.Choose(start, choice.Request{Ticket: ended.Ticket, Excluded: allBut("u00")})
			chooser.Step(start, ended)
		}
		if got := chooser.Ejected(start)["u00"] > 0; got != c.want {
			t.Errorf("%s: ejected %t, want %t", name, got, c.want)
		}
		if got := chooser.Ejected(start.Add(time.Minute))["u00"] > 0; got {
			t.Errorf("%s: ejected for a minute", name)
		}
	}
}

// Where all are failing, requests go to one of them rather than nowhere.
func TestOnlyUpstreamIsUsedWhileEjected(t *testing.T) {
	c := chooser(1, 0)
	c.Choose(start, choice.Request{Ticket: 1})
	c.Step(start, choice.Ended{Ticket: 1, Unreachable: true})
	if _, refusal := c.Choose(start, choice.Request{Ticket: 2}); refusal != choice.Chosen {
		t.Error("no upstream, though one is known")
	}
}

func TestPeerEjectionIsNotReportedAgain(t *testing.T) {
	c := chooser(2, 0)
	c.Step(start, choice.EjectionReceived{Upstream: "u00", For: time.Second})
	if got, _ := c.Choose(start, choice.Request{Ticket: 1}); got.Upstream != "u01" {
		t.Errorf("chose %s", got.Upstream)
	}
	if len(c.Ejected(start)) != 0 {
		t.Error("a warning is passed on as an experience of one's own")
	}
}

// Requests that share a prompt keep together, at all instances alike.
func TestPromptAffinityIsDeterministic(t *testing.T) {
	for session := range 20 {
		var chosen []id.Upstream
		for range 3 {
			c := chooser(18, 240_000)
			got, _ := c.Choose(start, choice.Request{Ticket: 1, Parts: prompt(session), Objective: bulkObjective})
			chosen = append(chosen, got.Upstream)
		}
		if chosen[0] != chosen[1] || chosen[1] != chosen[2] {
			t.Errorf("session %d goes to %v", session, chosen)
		}
	}
}

// A session that gets much of the traffic spreads over several engines.
func TestBusySessionUsesSeveralEngines(t *testing.T) {
	c := chooser(18, 240_000)
	var n tickets
	used := map[id.Upstream]bool{}
	for i := range 40 {
		parts := prompt(1)
		parts[2].Name = fmt.Sprint(i)
		got, _ := c.Choose(start, choice.Request{Ticket: n.next(), Parts: parts, Objective: bulkObjective})
		used[got.Upstream] = true
	}
	if len(used) < 4 {
		t.Errorf("40 requests at once use %d engines", len(used))
	}
}

// Pattern: bulk prompts and streams with an objective for pauses at once. Bulk
// requests stay away from engines on which such streams run, but for those
// streams that run on when their engine leaves the lane.
func TestBulkAvoidsEnginesWithSensitiveStreams(t *testing.T) {
	const (
		rounds     = 400
		maxStreams = 30
	)
	for _, engines := range []int{3, 8, 12, 18} {
		c := chooser(engines, 240_000)
		var n tickets
		streams := map[id.Upstream]int{}
		var running []id.Upstream
		var streamTickets []choice.Ticket
		overlapping := 0
		now := start
		for i := range rounds {
			now = now.Add(10 * time.Millisecond)
			got, _ := c.Choose(now, choice.Request{Ticket: n.next(), Parts: prompt(i), Objective: bulkObjective, PauseObjective: 600 * time.Millisecond})
			if streams[got.Upstream] > 0 {
				overlapping++
			}
			c.Step(now, choice.Started{Ticket: n.last})
			c.Step(now, choice.Ended{Ticket: n.last})
			got, _ = c.Choose(now, choice.Request{
				Ticket: n.next(), Parts: []choice.Part{{Name: fmt.Sprint(i), Tokens: 500}}, Objective: tightestObjective, PauseObjective: 120 * time.Millisecond,
			})
			c.Step(now, choice.Started{Ticket: n.last})
			streams[got.Upstream]++
			running, streamTickets = append(running, got.Upstream), append(streamTickets, n.last)
			if len(running) > maxStreams {
				c.Step(now, choice.Ended{Ticket: streamTickets[0]})
				streams[running[0]]--
				running, streamTickets = running[1:], streamTickets[1:]
			}
		}
		if overlapping > rounds/50 {
			t.Errorf("%d engines: %d of %d bulk requests ran beside sensitive streams", engines, overlapping, rounds)
		}
	}
}

// Pattern: a burst of sensitive streams. No engine is filled while others have
// room, since a full engine preempts.
func TestStreamBurstFillsNoEngine(t *testing.T) {
	c := chooser(9, 362_000)
	var n tickets
	count := map[id.Upstream]int{}
	for i := range 270 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		got, _ := c.Choose(now, choice.Request{
			Ticket: n.next(), Objective: tightestObjective, PauseObjective: 120 * time.Millisecond, OutputTokens: 300,
			Parts: []choice.Part{{Name: "hot", Tokens: 100}, {Name: fmt.Sprint(i), Tokens: 500}},
		})
		c.Step(now, choice.Started{Ticket: n.last})
		count[got.Upstream]++
	}
	for u, running := range count {
		if running > 60 {
			t.Errorf("%s runs %d of 270 streams on 64 slots, over %d engines", u, running, len(count))
		}
	}
}

// Pattern: a single engine left. It runs everything.
func TestSingleEngineRunsAllKinds(t *testing.T) {
	c := chooser(1, 240_000)
	for ticket, objective := range map[choice.Ticket]time.Duration{1: bulkObjective, 2: tightestObjective} {
		if _, refusal := c.Choose(start, choice.Request{Ticket: ticket, Parts: prompt(1), Objective: objective}); refusal != choice.Chosen {
			t.Errorf("no engine for an objective of %s", objective)
		}
	}
}

// allBut names the upstreams of a chooser of three but one.
func allBut(name id.Upstream) []id.Upstream {
	return slices.DeleteFunc([]id.Upstream{"u00", "u01", "u02"}, func(u id.Upstream) bool { return u == name })
}

// run sends a request to one upstream and ends it.
func run(c *choice.Chooser, now time.Time, n *tickets, name id.Upstream, failed bool) {
	c.Choose(now, choice.Request{Ticket: n.next(), Excluded: allBut(name)})
	if !failed {
		c.Step(now, choice.Started{Ticket: n.last})
	}
	c.Step(now, choice.Ended{Ticket: n.last, Failed: failed})
}

// Pattern: an upstream fails every second request, and quickly, while its
// health check is good. It is found though it never fails three in a row.
func TestPartlyFailingUpstreamIsEjected(t *testing.T) {
	c := chooser(3, 0)
	var n tickets
	now := start
	for i := range 8 {
		now = now.Add(100 * time.Millisecond)
		run(c, now, &n, "u00", i%2 == 1)
		run(c, now, &n, "u01", false)
		run(c, now, &n, "u02", i == 3)
	}
	ejected := c.Ejected(now)
	if _, ok := ejected["u00"]; !ok || len(ejected) != 1 {
		t.Errorf("ejected %v, want u00", ejected)
	}
}

// Pattern: the same, seen only by all instances together.
func TestPeerFailuresCountTowardsEjection(t *testing.T) {
	c := chooser(3, 0)
	var n tickets
	c.Step(start, choice.LoadReceived{Instance: "other", Loads: map[id.Upstream]choice.Load{
		"u00": {Ended: 6, Failed: 3}, "u01": {Ended: 6}, "u02": {Ended: 6},
	}})
	run(c, start, &n, "u00", true)
	if _, ok := c.Ejected(start)["u00"]; !ok {
		t.Error("u00 is not ejected")
	}
}

// Where all fail alike, the requests are at fault, or nothing can be won.
func TestEqualFailureRatesEjectNothing(t *testing.T) {
	c := chooser(3, 0)
	var n tickets
	now := start
	for i := range 12 {
		now = now.Add(100 * time.Millisecond)
		for _, name := range []id.Upstream{"u00", "u01", "u02"} {
			run(c, now, &n, name, i%2 == 1)
		}
	}
	if ejected := c.Ejected(now); len(ejected) != 0 {
		t.Errorf("ejected %v", ejected)
	}
}

// Pattern: an upstream turns five times slower and fails nothing. It gets less
// work within some requests, and its share again once it is as fast as others.
func TestSlowUpstreamGetsFewerRequests(t *testing.T) {
	c := chooser(3, 0)
	var n tickets
	now := start
	share := func(u00Delay time.Duration) float64 {
		sentToU00 := 0
		for range 60 {
			now = now.Add(100 * time.Millisecond)
			got, _ := c.Choose(now, choice.Request{Ticket: n.next()})
			delay := 20 * time.Millisecond
			if got.Upstream == "u00" {
				sentToU00++
				delay = u00Delay
			}
			c.Step(now.Add(delay), choice.Started{Ticket: n.last})
			c.Step(now.Add(delay), choice.Ended{Ticket: n.last})
		}
		return float64(sentToU00) / 60
	}
	share(20 * time.Millisecond)
	if got := share(100 * time.Millisecond); got > 0.2 {
		t.Errorf("a slow upstream got %.2f of the requests", got)
	}
	if changes := c.HealthChanges(); len(changes) != 1 || changes[0].Health != choice.Slow || changes[0].Slowness < 3 {
		t.Errorf("told %+v of the slow upstream", changes)
	}
	now = now.Add(10 * time.Second)
	share(20 * time.Millisecond)
	if got := share(20 * time.Millisecond); got < 0.2 {
		t.Errorf("an upstream that is fast again got %.2f of the requests", got)
	}
}

// What an entry comes to hold of an upstream is told once, with its grounds.
func TestHealthChangesAreReportedOnce(t *testing.T) {
	c := chooser(3, 0)
	var n tickets
	now := start
	var reported []string
	run := func(times int, delay time.Duration, failed bool) {
		for range times {
			now = now.Add(50 * time.Millisecond)
			_, _ = c.Choose(now, choice.Request{Ticket: n.next(), Excluded: allBut("u00")})
			if !failed {
				c.Step(now.Add(delay), choice.Started{Ticket: n.last})
			}
			c.Step(now.Add(delay), choice.Ended{Ticket: n.last, Failed: failed})
			for _, change := range c.HealthChanges() {
				reported = append(reported, fmt.Sprint(change.Upstream, " ", change.Health, " ", change.Cause))
			}
		}
	}
	for _, other := range []id.Upstream{"u01", "u02"} {
		for range 10 {
			_, _ = c.Choose(now, choice.Request{Ticket: n.next(), Excluded: allBut(other)})
			c.Step(now.Add(20*time.Millisecond), choice.Started{Ticket: n.last})
			c.Step(now.Add(20*time.Millisecond), choice.Ended{Ticket: n.last})
		}
	}
	run(5, 20*time.Millisecond, false)
	run(5, 20*time.Millisecond, true)
	now = now.Add(5 * time.Second)
	run(2, 20*time.Millisecond, false)
	c.Step(now, choice.EjectionReceived{Upstream: "u00", For: time.Second})
	c.Step(now, choice.EjectionReceived{Upstream: "u00", For: time.Second})
	run(1, 20*time.Millisecond, true)
	want := []string{"u00 ejected fails_more", "u00 good ", "u00 ejected peer_warned"}
	if !slices.Equal(reported, want) {
		t.Errorf("told %q, want %q", reported, want)
	}
}

// Pattern: bulk requests come faster than the engines read. Those that would
// begin after their objective are refused at once; the others begin in time,
// those that come back are taken, and urgent requests are never refused.
func TestOverloadRefusesBulkOnly(t *testing.T) {
	c := chooser(4, 240_000)
	var n tickets
	refused := 0
	for i := range 200 {
		got, refusal := c.Choose(start, choice.Request{Ticket: n.next(), Parts: prompt(i), Objective: bulkObjective, PauseObjective: time.Second, Urgency: 2})
		if refusal == choice.Chosen && got.Expected > bulkObjective {
			t.Fatalf("request %d was taken though it is expected to begin after %s", i, got.Expected)
		}
		if refusal == choice.Overloaded {
			refused++
		}
	}
	if refused == 0 || refused == 200 {
		t.Fatalf("%d of 200 refused", refused)
	}
	if _, refusal := c.Choose(start, choice.Request{Ticket: n.next(), Parts: prompt(1), Objective: bulkObjective, Urgency: 2, Resubmitted: true}); refusal != choice.Chosen {
		t.Errorf("a request that came back: %s", refusal)
	}
	for range 50 {
		_, refusal := c.Choose(start, choice.Request{
			Ticket: n.next(), Parts: []choice.Part{{Name: "a", Tokens: 500}}, Objective: tightestObjective, PauseObjective: 120 * time.Millisecond,
		})
		if refusal != choice.Chosen {
			t.Errorf("an urgent stream: %s", refusal)
		}
	}
}

// Pattern: more requests than slots. A bounded chooser counts what all entries
// run, and gives no engine more than its slots or its memory.
func TestBoundedChooserRespectsSlotsAndMemory(t *testing.T) {
	c := &choice.Chooser{Bounded: true}
	engines := upstreams(2, 3)
	for i := range engines {
		engines[i].KVTokens = 10_000
	}
	c.Step(start, choice.Configured{Service: routing.Service{Engine: &routing.Engine{}}, Upstreams: engines})
	c.Step(start, choice.LoadReceived{Instance: "other", Loads: map[id.Upstream]choice.Load{"u00": {Running: 2}}})
	var n tickets
	send := func(tokens id.Tokens) choice.Refusal {
		_, refusal := c.Choose(start, choice.Request{Ticket: n.next(), Parts: []choice.Part{{Name: fmt.Sprint(n.last), Tokens: tokens}}})
		return refusal
	}
	for range 4 {
		if got := send(10); got != choice.Chosen {
			t.Fatalf("a free slot was not given out: %s", got)
		}
	}
	if got := send(10); got != choice.Full {
		t.Errorf("one more than the slots: %q", got)
	}
	c.Step(start, choice.Ended{Ticket: n.last - 1})
	if got := send(20_000); got != choice.Full {
		t.Errorf("more than the memory: %q", got)
	}
	if got := send(10); got != choice.Chosen {
		t.Errorf("a slot that was freed was not given out: %s", got)
	}
}

// An upstream that runs nothing takes a request of any size, and ejected ones
// are used only where no other may take a request, whether or not those are full.
func TestBoundedChooserUsesEjectedUpstreamsLast(t *testing.T) {
	c := &choice.Chooser{Bounded: true}
	c.Step(start, choice.Configured{Service: routing.Service{}, Upstreams: upstreams(2, 1)})
	c.Step(start, choice.EjectionReceived{Upstream: "u00", For: time.Second})
	if got, refusal := c.Choose(start, choice.Request{Ticket: 1}); got.Upstream != "u01" {
		t.Errorf("chose %q, %q", got.Upstream, refusal)
	}
	if _, refusal := c.Choose(start, choice.Request{Ticket: 2}); refusal != choice.Full {
		t.Errorf("beside an ejected one: %q", refusal)
	}
	onlyFirst := func(u id.Upstream) bool { return u == "u00" }
	if got, _ := c.Choose(start, choice.Request{Ticket: 3, Admits: onlyFirst}); got.Upstream != "u00" {
		t.Errorf("chose %q, want the ejected one that alone may take it", got.Upstream)
	}
}
