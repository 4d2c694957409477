package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"samphirehead/coordination/balancer"
	"samphirehead/coordination/registry"
	"samphirehead/state/id"
	"samphirehead/state/routing"
)

var start = time.Unix(1000, 0)

const (
	tightestObjective = 250 * time.Millisecond
	bulkObjective     = 1500 * time.Millisecond
	tightestPause     = 120 * time.Millisecond
)

func upstreams(n, slots int) []registry.Entry {
	var all []registry.Entry
	for i := range n {
		all = append(all, registry.Entry{
			Upstream:      id.Upstream(fmt.Sprintf("u%02d", i)),
			Address:       fmt.Sprintf("10.0.0.%d:1", i),
			FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", i%3)),
			Slots:         slots,
		})
	}
	return all
}

// chooser returns a Chooser for n engines with KV caches of so many tokens, or for
// n upstreams of a plain service if tokens is 0.
func chooser(n int, tokens id.Tokens) *balancer.Chooser {
	c := &balancer.Chooser{FailureDomain: "d0"}
	service := routing.Service{Name: "s"}
	if tokens > 0 {
		service.Engine = &routing.Engine{Slots: 64, KVTokens: tokens, EventTokens: 4}
	}
	c.Step(start, balancer.Configured{Service: service, Upstreams: upstreams(n, 6), TightestObjective: tightestObjective, TightestPause: tightestPause})
	return c
}

func prompt(session int) []balancer.Part {
	return []balancer.Part{
		{Name: "system", Tokens: 2500},
		{Name: fmt.Sprintf("session%d", session), Tokens: 3800},
		{Name: fmt.Sprintf("own%d", session), Tokens: 2900},
	}
}

// tickets hands out the ticket numbers of one test.
type tickets struct{ last balancer.Ticket }

func (t *tickets) next() balancer.Ticket {
	t.last++
	return t.last
}

func TestPlainRequestsGoToTheLeastLoaded(t *testing.T) {
	c := chooser(3, 0)
	var n tickets
	count := map[id.Upstream]int{}
	for range 6 {
		got, refusal := c.Choose(start, balancer.Request{Ticket: n.next()})
		if refusal != balancer.Chosen {
			t.Fatal("no upstream was chosen")
		}
		count[got.Upstream]++
	}
	for u, n := range count {
		if n != 2 {
			t.Errorf("%s got %d of 6 requests, want 2", u, n)
		}
	}
}

func TestPeerLoadExpires(t *testing.T) {
	c := chooser(3, 0)
	c.Step(start, balancer.LoadReceived{Instance: "other", Loads: map[id.Upstream]balancer.Load{"u00": {Running: 5}, "u01": {Running: 5}}})
	if got, _ := c.Choose(start, balancer.Request{Ticket: 1}); got.Upstream != "u02" {
		t.Errorf("chose %s, want u02, where the other instance has no load", got.Upstream)
	}
	c.Step(start, balancer.Ended{Ticket: 1})
	if got, _ := c.Choose(start.Add(time.Minute), balancer.Request{Ticket: 2}); got.Upstream != "u00" {
		t.Errorf("chose %s, want u00: a load report of a minute ago still counts", got.Upstream)
	}
}

func TestExcludedUpstreamsAreNotChosen(t *testing.T) {
	c := chooser(2, 0)
	if got, _ := c.Choose(start, balancer.Request{Ticket: 1, Excluded: []id.Upstream{"u00"}}); got.Upstream != "u01" {
		t.Errorf("chose %s, want u01", got.Upstream)
	}
	if _, refusal := c.Choose(start, balancer.Request{Ticket: 2, Excluded: []id.Upstream{"u00", "u01"}}); refusal != balancer.NoUpstream {
		t.Error("chose an excluded upstream")
	}
}

func TestFailingUpstreamIsEjectedTemporarily(t *testing.T) {
	for name, c := range map[string]struct {
		failures int
		ended    balancer.Ended
		want     bool
	}{
		"unreachable":     {1, balancer.Ended{Unreachable: true}, true},
		"failed once":     {1, balancer.Ended{Failed: true}, false},
		"failed in a row": {3, balancer.Ended{Failed: true}, true},
	} {
		chooser := chooser(2, 0)
		var n tickets
		for range c.failures {
			ended := c.ended
			ended.Ticket = n.next()
			chooser.Choose(start, balancer.Request{Ticket: ended.Ticket, Excluded: allBut("u00")})
			chooser.Step(start, ended)
		}
		if got := chooser.Ejected(start)["u00"] > 0; got != c.want {
			t.Errorf("%s: ejected %t, want %t", name, got, c.want)
		}
		if got := chooser.Ejected(start.Add(time.Minute))["u00"] > 0; got {
			t.Errorf("%s: still ejected after a minute", name)
		}
	}
}

// If all upstreams are ejected, requests go to one of them all the same.
func TestOnlyUpstreamIsUsedWhileEjected(t *testing.T) {
	c := chooser(1, 0)
	c.Choose(start, balancer.Request{Ticket: 1})
	c.Step(start, balancer.Ended{Ticket: 1, Unreachable: true})
	if _, refusal := c.Choose(start, balancer.Request{Ticket: 2}); refusal != balancer.Chosen {
		t.Error("the only upstream was not chosen")
	}
}

func TestPeerEjectionIsNotReportedAgain(t *testing.T) {
	c := chooser(2, 0)
	c.Step(start, balancer.EjectionReceived{Upstream: "u00", For: time.Second})
	if got, _ := c.Choose(start, balancer.Request{Ticket: 1}); got.Upstream != "u01" {
		t.Errorf("chose %s, want u01", got.Upstream)
	}
	if len(c.Ejected(start)) != 0 {
		t.Error("a peer's ejection is reported as one of this instance")
	}
}

// Requests that share a prompt go to the same engine from every instance.
func TestPromptAffinityIsDeterministic(t *testing.T) {
	for session := range 20 {
		var chosen []id.Upstream
		for range 3 {
			c := chooser(18, 240_000)
			got, _ := c.Choose(start, balancer.Request{Ticket: 1, Parts: prompt(session), Objective: bulkObjective})
			chosen = append(chosen, got.Upstream)
		}
		if chosen[0] != chosen[1] || chosen[1] != chosen[2] {
			t.Errorf("session %d went to different engines: %v", session, chosen)
		}
	}
}

// A session with much of the traffic must not overload its preferred engine.
func TestBusySessionUsesSeveralEngines(t *testing.T) {
	c := chooser(18, 240_000)
	var n tickets
	used := map[id.Upstream]bool{}
	for i := range 40 {
		parts := prompt(1)
		parts[2].Name = fmt.Sprint(i)
		got, _ := c.Choose(start, balancer.Request{Ticket: n.next(), Parts: parts, Objective: bulkObjective})
		used[got.Upstream] = true
	}
	if len(used) < 4 {
		t.Errorf("40 concurrent requests used %d engines, want 4 or more", len(used))
	}
}

// Guards against bulk prefill that breaks the pause objective of streams on the
// same engine. A few overlaps are allowed: streams finish on an engine that is no
// longer reserved for them.
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
		var streamTickets []balancer.Ticket
		overlapping := 0
		now := start
		for i := range rounds {
			now = now.Add(10 * time.Millisecond)
			got, _ := c.Choose(now, balancer.Request{Ticket: n.next(), Parts: prompt(i), Objective: bulkObjective, PauseObjective: 600 * time.Millisecond})
			if streams[got.Upstream] > 0 {
				overlapping++
			}
			c.Step(now, balancer.Started{Ticket: n.last})
			c.Step(now, balancer.Ended{Ticket: n.last})
			got, _ = c.Choose(now, balancer.Request{
				Ticket: n.next(), Parts: []balancer.Part{{Name: fmt.Sprint(i), Tokens: 500}}, Objective: tightestObjective, PauseObjective: 120 * time.Millisecond,
			})
			c.Step(now, balancer.Started{Ticket: n.last})
			streams[got.Upstream]++
			running, streamTickets = append(running, got.Upstream), append(streamTickets, n.last)
			if len(running) > maxStreams {
				c.Step(now, balancer.Ended{Ticket: streamTickets[0]})
				streams[running[0]]--
				running, streamTickets = running[1:], streamTickets[1:]
			}
		}
		if overlapping > rounds/50 {
			t.Errorf("%d engines: %d of %d bulk requests went to an engine with sensitive streams", engines, overlapping, rounds)
		}
	}
}

// Guards against a burst of sensitive streams that fills one engine while others
// have room: a full engine preempts running requests.
func TestStreamBurstFillsNoEngine(t *testing.T) {
	c := chooser(9, 362_000)
	var n tickets
	count := map[id.Upstream]int{}
	for i := range 270 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		got, _ := c.Choose(now, balancer.Request{
			Ticket: n.next(), Objective: tightestObjective, PauseObjective: 120 * time.Millisecond, OutputTokens: 300,
			Parts: []balancer.Part{{Name: "hot", Tokens: 100}, {Name: fmt.Sprint(i), Tokens: 500}},
		})
		c.Step(now, balancer.Started{Ticket: n.last})
		count[got.Upstream]++
	}
	for u, running := range count {
		if running > 60 {
			t.Errorf("%s runs %d of 270 streams on 64 slots; %d engines are used", u, running, len(count))
		}
	}
}

// A single engine can't be reserved for one kind of request; it runs all kinds.
func TestSingleEngineRunsAllKinds(t *testing.T) {
	c := chooser(1, 240_000)
	for ticket, objective := range map[balancer.Ticket]time.Duration{1: bulkObjective, 2: tightestObjective} {
		if _, refusal := c.Choose(start, balancer.Request{Ticket: ticket, Parts: prompt(1), Objective: objective}); refusal != balancer.Chosen {
			t.Errorf("no engine was chosen for an objective of %s", objective)
		}
	}
}

// allBut returns the names of the other two upstreams of a chooser with three.
func allBut(name id.Upstream) []id.Upstream {
	return slices.DeleteFunc([]id.Upstream{"u00", "u01", "u02"}, func(u id.Upstream) bool { return u == name })
}

// run sends one request to the named upstream and ends it.
func run(c *balancer.Chooser, now time.Time, n *tickets, name id.Upstream, failed bool) {
	c.Choose(now, balancer.Request{Ticket: n.next(), Excluded: allBut(name)})
	if !failed {
		c.Step(now, balancer.Started{Ticket: n.last})
	}
	c.Step(now, balancer.Ended{Ticket: n.last, Failed: failed})
}

// An upstream that quickly fails every second request passes its health check and
// never reaches three consecutive failures. Its failure rate must eject it.
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
		t.Errorf("ejected %v, want only u00", ejected)
	}
}

// One instance alone may see too few failures of an upstream to eject it. Those
// that other instances report must be counted too.
func TestPeerFailuresCountTowardsEjection(t *testing.T) {
	c := chooser(3, 0)
	var n tickets
	c.Step(start, balancer.LoadReceived{Instance: "other", Loads: map[id.Upstream]balancer.Load{
		"u00": {Ended: 6, Failed: 3}, "u01": {Ended: 6}, "u02": {Ended: 6},
	}})
	run(c, start, &n, "u00", true)
	if _, ok := c.Ejected(start)["u00"]; !ok {
		t.Error("u00 is not ejected")
	}
}

// If all upstreams fail at the same rate, the requests are at fault or no upstream
// is better, so that an ejection gains nothing.
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
		t.Errorf("ejected %v, want none", ejected)
	}
}

// An upstream that becomes five times slower without failing must get less work
// after a few requests, and its full share once it is as fast as the others.
func TestSlowUpstreamGetsFewerRequests(t *testing.T) {
	c := chooser(3, 0)
	var n tickets
	now := start
	share := func(u00Delay time.Duration) float64 {
		sentToU00 := 0
		for range 60 {
			now = now.Add(100 * time.Millisecond)
			got, _ := c.Choose(now, balancer.Request{Ticket: n.next()})
			delay := 20 * time.Millisecond
			if got.Upstream == "u00" {
				sentToU00++
				delay = u00Delay
			}
			c.Step(now.Add(delay), balancer.Started{Ticket: n.last})
			c.Step(now.Add(delay), balancer.Ended{Ticket: n.last})
		}
		return float64(sentToU00) / 60
	}
	share(20 * time.Millisecond)
	if got := share(100 * time.Millisecond); got > 0.2 {
		t.Errorf("the slow upstream got %.2f of the requests", got)
	}
	if changes := c.HealthChanges(); len(changes) != 1 || changes[0].Health != balancer.Slow || changes[0].Slowness < 3 {
		t.Errorf("health changes are %+v, want one to slow", changes)
	}
	now = now.Add(10 * time.Second)
	share(20 * time.Millisecond)
	if got := share(20 * time.Millisecond); got < 0.2 {
		t.Errorf("the upstream got %.2f of the requests after it recovered", got)
	}
}

// A change of health state is reported once, with its cause.
func TestHealthChangesAreReportedOnce(t *testing.T) {
	c := chooser(3, 0)
	var n tickets
	now := start
	var reported []string
	run := func(times int, delay time.Duration, failed bool) {
		for range times {
			now = now.Add(50 * time.Millisecond)
			_, _ = c.Choose(now, balancer.Request{Ticket: n.next(), Excluded: allBut("u00")})
			if !failed {
				c.Step(now.Add(delay), balancer.Started{Ticket: n.last})
			}
			c.Step(now.Add(delay), balancer.Ended{Ticket: n.last, Failed: failed})
			for _, change := range c.HealthChanges() {
				reported = append(reported, fmt.Sprint(change.Upstream, " ", change.Health, " ", change.Cause))
			}
		}
	}
	for _, other := range []id.Upstream{"u01", "u02"} {
		for range 10 {
			_, _ = c.Choose(now, balancer.Request{Ticket: n.next(), Excluded: allBut(other)})
			c.Step(now.Add(20*time.Millisecond), balancer.Started{Ticket: n.last})
			c.Step(now.Add(20*time.Millisecond), balancer.Ended{Ticket: n.last})
		}
	}
	run(5, 20*time.Millisecond, false)
	run(5, 20*time.Millisecond, true)
	now = now.Add(5 * time.Second)
	run(2, 20*time.Millisecond, false)
	c.Step(now, balancer.EjectionReceived{Upstream: "u00", For: time.Second})
	c.Step(now, balancer.EjectionReceived{Upstream: "u00", For: time.Second})
	run(1, 20*time.Millisecond, true)
	want := []string{"u00 ejected fails_more", "u00 good ", "u00 ejected peer_warned"}
	if !slices.Equal(reported, want) {
		t.Errorf("health changes are %q, want %q", reported, want)
	}
}

// If bulk requests arrive faster than the engines can prefill them, those that
// would start after their objective are refused at once. The others start in time,
// resubmitted ones are accepted, and urgent requests are never refused.
func TestOverloadRefusesBulkOnly(t *testing.T) {
	c := chooser(4, 240_000)
	var n tickets
	refused := 0
	for i := range 200 {
		got, refusal := c.Choose(start, balancer.Request{Ticket: n.next(), Parts: prompt(i), Objective: bulkObjective, PauseObjective: time.Second, Urgency: 2})
		if refusal == balancer.Chosen && got.Expected > bulkObjective {
			t.Fatalf("request %d was accepted with an expected delay of %s", i, got.Expected)
		}
		if refusal == balancer.Overloaded {
			refused++
		}
	}
	if refused == 0 || refused == 200 {
		t.Fatalf("%d of 200 requests were refused, want some but not all", refused)
	}
	if _, refusal := c.Choose(start, balancer.Request{Ticket: n.next(), Parts: prompt(1), Objective: bulkObjective, Urgency: 2, Resubmitted: true}); refusal != balancer.Chosen {
		t.Errorf("a resubmitted request was refused: %s", refusal)
	}
	for range 50 {
		_, refusal := c.Choose(start, balancer.Request{
			Ticket: n.next(), Parts: []balancer.Part{{Name: "a", Tokens: 500}}, Objective: tightestObjective, PauseObjective: 120 * time.Millisecond,
		})
		if refusal != balancer.Chosen {
			t.Errorf("an urgent stream was refused: %s", refusal)
		}
	}
}

// With more requests than slots, a bounded chooser must count the requests of all
// instances and stay within the slots and the memory of each engine.
func TestBoundedChooserRespectsSlotsAndMemory(t *testing.T) {
	c := &balancer.Chooser{Bounded: true}
	engines := upstreams(2, 3)
	for i := range engines {
		engines[i].KVTokens = 10_000
	}
	c.Step(start, balancer.Configured{Service: routing.Service{Engine: &routing.Engine{}}, Upstreams: engines})
	c.Step(start, balancer.LoadReceived{Instance: "other", Loads: map[id.Upstream]balancer.Load{"u00": {Running: 2}}})
	var n tickets
	send := func(tokens id.Tokens) balancer.Refusal {
		_, refusal := c.Choose(start, balancer.Request{Ticket: n.next(), Parts: []balancer.Part{{Name: fmt.Sprint(n.last), Tokens: tokens}}})
		return refusal
	}
	for range 4 {
		if got := send(10); got != balancer.Chosen {
			t.Fatalf("a request was refused with a free slot: %s", got)
		}
	}
	if got := send(10); got != balancer.Full {
		t.Errorf("refusal is %q with no free slot, want full", got)
	}
	c.Step(start, balancer.Ended{Ticket: n.last - 1})
	if got := send(20_000); got != balancer.Full {
		t.Errorf("refusal is %q with too little memory, want full", got)
	}
	if got := send(10); got != balancer.Chosen {
		t.Errorf("a request was refused after a slot was freed: %s", got)
	}
}

// Ejected upstreams are used only if the request may use no other, even if all
// others are full.
func TestBoundedChooserUsesEjectedUpstreamsLast(t *testing.T) {
	c := &balancer.Chooser{Bounded: true}
	c.Step(start, balancer.Configured{Service: routing.Service{}, Upstreams: upstreams(2, 1)})
	c.Step(start, balancer.EjectionReceived{Upstream: "u00", For: time.Second})
	if got, refusal := c.Choose(start, balancer.Request{Ticket: 1}); got.Upstream != "u01" {
		t.Errorf("chose %q with refusal %q, want u01", got.Upstream, refusal)
	}
	if _, refusal := c.Choose(start, balancer.Request{Ticket: 2}); refusal != balancer.Full {
		t.Errorf("refusal is %q with one upstream full and one ejected, want full", refusal)
	}
	onlyFirst := func(u id.Upstream) bool { return u == "u00" }
	if got, _ := c.Choose(start, balancer.Request{Ticket: 3, Admits: onlyFirst}); got.Upstream != "u00" {
		t.Errorf("chose %q, want u00: no other upstream may take the request", got.Upstream)
	}
}
