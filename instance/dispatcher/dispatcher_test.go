package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"samphirehead/coordination/admission"
	"samphirehead/coordination/quarantine"
	"samphirehead/instance/dispatch"
	"samphirehead/instance/dispatcher"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

const (
	model   = id.Model("m")
	timeout = 10 * time.Second
)

// newDispatcher returns a dispatcher over engines of one slot each, of which only
// the first can resume answers.
func newDispatcher(t testing.TB, engines int) *dispatcher.Dispatcher {
	t.Helper()
	m := &manifest.Manifest{
		Models: []manifest.Model{{Name: model}},
		Classes: []manifest.Class{
			{Name: "quick", Tier: 1, FirstToken: time.Minute, BetweenTokens: time.Second, TotalDeadline: time.Hour, QueueBound: 100},
			{Name: "slow", Tier: 2, FirstToken: time.Minute, BetweenTokens: time.Second, TotalDeadline: time.Hour, QueueBound: 100},
		},
	}
	for i := range engines {
		m.Upstreams = append(m.Upstreams, manifest.Upstream{
			Name: id.Upstream(fmt.Sprint("e", i)), Kind: manifest.KindEngine, Models: []id.Model{model}, Resumes: i == 0,
			Capacity: manifest.Capacity{Slots: 1, PrefillTokensPerSecond: 8000, KVTokens: 1 << 20},
		})
	}
	d := &dispatcher.Dispatcher{Quarantine: &quarantine.Tracker{}, BroadcastCrashes: func([]quarantine.Record) {}}
	d.Init()
	d.Configure(manifest.NewIndex(m))
	return d
}

func newRequest(class id.Class) admission.Request {
	now := time.Now()
	return admission.Request{
		Pool: id.ModelPool(model), Class: class, Workspace: "w", PromptTokens: 100,
		FirstTokenBy: now.Add(time.Minute), Deadline: now.Add(time.Hour),
	}
}

func reserve(t *testing.T, d *dispatcher.Dispatcher, r admission.Request) *dispatch.Grant {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	g, err := d.Reserve(ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// reserveAsync starts a reservation and returns once it is queued. The result is
// nil if the reservation failed.
func reserveAsync(ctx context.Context, t *testing.T, d *dispatcher.Dispatcher, r admission.Request) <-chan *dispatch.Grant {
	t.Helper()
	queued := d.Queued()[r.Class]
	granted := make(chan *dispatch.Grant, 1)
	go func() {
		g, err := d.Reserve(ctx, r)
		if err != nil {
			g = nil
		}
		granted <- g
	}()
	for d.Queued()[r.Class] == queued {
		time.Sleep(time.Millisecond)
	}
	return granted
}

// checkIdle checks that no request is waiting or running.
func checkIdle(t *testing.T, d *dispatcher.Dispatcher) {
	t.Helper()
	s := d.Load()
	if len(s.Waiting) > 0 {
		t.Errorf("%v waiting or running at the end", s.Waiting)
	}
	for _, l := range s.Loads {
		if l.Running != 0 {
			t.Errorf("%s has %d running requests at the end", l.Upstream, l.Running)
		}
	}
}

func TestReleaseGrantsTheNextRequest(t *testing.T) {
	d := newDispatcher(t, 1)
	first := reserve(t, d, newRequest("quick"))
	next := reserveAsync(t.Context(), t, d, newRequest("quick"))
	if got := d.Queued()["quick"]; got != 1 {
		t.Errorf("%d requests waiting, want 1", got)
	}
	d.Started(first)
	d.Release(first, dispatch.Result{Outcome: admission.Completed, Tokens: 5, FirstToken: time.Millisecond})
	g := <-next
	d.Release(g, dispatch.Result{Outcome: admission.Completed})
	checkIdle(t, d)
}

func TestCancelledReservationIsRemoved(t *testing.T) {
	d := newDispatcher(t, 1)
	first := reserve(t, d, newRequest("quick"))
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := reserveAsync(ctx, t, d, newRequest("quick"))
	cancel()
	if g := <-cancelled; g != nil {
		t.Fatal("a cancelled reservation was granted")
	}
	d.Release(first, dispatch.Result{Outcome: admission.Completed})
	d.Release(reserve(t, d, newRequest("quick")), dispatch.Result{Outcome: admission.Completed})
	checkIdle(t, d)
}

// The requests that another instance runs occupy slots here until it reports
// that they have ended, or sends no reports for a while.
func TestLoadsOfOtherInstancesOccupySlots(t *testing.T) {
	d, other := newDispatcher(t, 2), newDispatcher(t, 2)
	first := reserve(t, other, newRequest("quick"))
	d.ReceiveLoad("other", other.Load())
	if g := reserve(t, d, newRequest("quick")); g.Upstream.Name == first.Upstream.Name {
		t.Errorf("%s got a second request, though its only slot is in use", g.Upstream.Name)
	}
	next := reserveAsync(t.Context(), t, d, newRequest("quick"))
	other.Release(first, dispatch.Result{Outcome: admission.Completed})
	d.ReceiveLoad("other", other.Load())
	if g := <-next; g.Upstream.Name != first.Upstream.Name {
		t.Errorf("the slot of %s was not reused", first.Upstream.Name)
	}
}

// Guards against urgent requests that wait while another instance runs requests
// of a lower tier: that instance must preempt some that can resume elsewhere.
func TestOtherInstancePreemptsForUrgentRequest(t *testing.T) {
	d, other := newDispatcher(t, 1), newDispatcher(t, 1)
	low := reserve(t, other, newRequest("slow"))
	d.ReceiveLoad("other", other.Load())
	urgent := newRequest("quick")
	urgent.FirstTokenBy = time.Now().Add(50 * time.Millisecond)
	next := reserveAsync(t.Context(), t, d, urgent)
	for low.Preempted().Err() == nil {
		d.ReceiveLoad("other", other.Load())
		other.ReceiveLoad("this", d.Load())
		time.Sleep(time.Millisecond)
	}
	other.Release(low, dispatch.Result{Outcome: admission.Preempted, Tokens: 3})
	d.ReceiveLoad("other", other.Load())
	if g := <-next; g == nil {
		t.Error("the urgent request was not granted")
	}
}

// A grant keeps the upstream as it was at the reservation, even when the next
// manifest no longer has it, and can still be preempted and released.
func TestGrantOutlivesItsManifest(t *testing.T) {
	d := newDispatcher(t, 1)
	low := reserve(t, d, newRequest("slow"))
	d.Configure(manifest.NewIndex(&manifest.Manifest{}))
	if low.Upstream.Name != "e0" || low.Upstream.Capacity.Slots != 1 {
		t.Errorf("granted %+v", low.Upstream)
	}
	d.Release(low, dispatch.Result{Outcome: admission.Completed, Tokens: 1, FirstToken: time.Millisecond})
	checkIdle(t, d)
}

// A request with a resume offset goes only to an engine that can resume answers.
func TestResumedAnswerNeedsAResumingEngine(t *testing.T) {
	for range 3 {
		d := newDispatcher(t, 3)
		r := newRequest("quick")
		r.ResumeOffset = 4
		if g := reserve(t, d, r); g.Upstream.Name != "e0" {
			t.Errorf("the request went to %s, which can't resume", g.Upstream.Name)
		}
	}
}

// Requests that share a long prompt and differ only at its end go to the engine
// that has already prefilled the shared part, so that it is not prefilled again.
func TestSharedPromptsGoToOneEngine(t *testing.T) {
	d := newDispatcher(t, 6)
	send := func(last uint64) id.Upstream {
		r := newRequest("quick")
		r.PromptTokens = 4000
		r.Fingerprint = id.Fingerprint(last)
		r.Prefix = []uint64{1, 2, 3, 4, last}
		g := reserve(t, d, r)
		d.Started(g)
		d.Release(g, dispatch.Result{Outcome: admission.Completed, Tokens: 1, FirstToken: time.Millisecond})
		return g.Upstream.Name
	}
	send(100)
	want := send(101)
	for last := uint64(102); last < 110; last++ {
		if got := send(last); got != want {
			t.Errorf("request %d went to %s, its prompt was prefilled at %s", last, got, want)
		}
	}
}

// The calls of a plain service are balanced over its workers whatever its name.
// Guards against a service named "engines" that is taken for the model engines,
// whose requests are kept together by prompt.
func TestServiceMayHaveAnyName(t *testing.T) {
	for _, name := range []id.Service{"desk", "engines"} {
		m := &manifest.Manifest{
			Services: []manifest.Service{{Name: name}},
			Classes:  []manifest.Class{{Name: "quick", Tier: 1, FirstToken: time.Minute, TotalDeadline: time.Hour, QueueBound: 100}},
		}
		for _, worker := range []id.Upstream{"w0", "w1"} {
			m.Upstreams = append(m.Upstreams, manifest.Upstream{
				Name: worker, Kind: manifest.KindService, Service: name, Capacity: manifest.Capacity{Slots: 8},
			})
		}
		d := &dispatcher.Dispatcher{Quarantine: &quarantine.Tracker{}, BroadcastCrashes: func([]quarantine.Record) {}}
		d.Init()
		d.Configure(manifest.NewIndex(m))
		count := map[id.Upstream]int{}
		for range 4 {
			r := newRequest("quick")
			r.Pool, r.PromptTokens = id.ServicePool(name), 0
			count[reserve(t, d, r).Upstream.Name]++
		}
		if count["w0"] != 2 || count["w1"] != 2 {
			t.Errorf("%s: four calls were placed as %v, want 2 on each worker", name, count)
		}
	}
}

func TestUnknownPoolIsRefused(t *testing.T) {
	d := newDispatcher(t, 1)
	r := newRequest("quick")
	r.Pool = "model:none"
	var refusal *dispatch.Refusal
	if _, err := d.Reserve(t.Context(), r); !errors.As(err, &refusal) || refusal.Reason != admission.NoUpstream {
		t.Errorf("got %v", err)
	}
}
