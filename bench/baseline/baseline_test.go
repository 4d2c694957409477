package baseline_test

import (
	"context"
	"errors"
	"testing"

	"samphirehead/bench/baseline"
	"samphirehead/coordination/admission"
	"samphirehead/instance/dispatch"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

func newDispatcher(policy baseline.Policy, slots int) *baseline.Dispatcher {
	m := &manifest.Manifest{Models: []manifest.Model{{Name: "m"}}}
	for _, name := range []id.Upstream{"a", "b", "c"} {
		m.Upstreams = append(m.Upstreams, manifest.Upstream{
			Name: name, Kind: manifest.KindEngine, Models: []id.Model{"m"}, Capacity: manifest.Capacity{Slots: slots},
		})
	}
	index := manifest.NewIndex(m)
	return &baseline.Dispatcher{Policy: policy, Index: func() *manifest.Index { return index }, QueueBound: 1}
}

func newRequest(excluded ...id.Upstream) admission.Request {
	return admission.Request{Pool: id.ModelPool("m"), Excluded: excluded}
}

func reserve(t *testing.T, d *baseline.Dispatcher, excluded ...id.Upstream) *dispatch.Grant {
	t.Helper()
	g, err := d.Reserve(t.Context(), newRequest(excluded...))
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func TestPolicies(t *testing.T) {
	cases := map[baseline.Policy][]id.Upstream{
		// The first grant of each is released before the fourth.
		baseline.RoundRobin:       {"a", "b", "c", "a"},
		baseline.LeastOutstanding: {"a", "b", "c", "b"},
	}
	for policy, want := range cases {
		d := newDispatcher(policy, 9)
		var grants []*dispatch.Grant
		for i, name := range want {
			if i == 3 {
				d.Release(grants[1], dispatch.Result{})
			}
			g := reserve(t, d)
			if g.Upstream.Name != name {
				t.Errorf("%s: grant %d went to %s", policy, i, g.Upstream.Name)
			}
			grants = append(grants, g)
		}
	}
}

func TestExcludedUpstreamsAreNotChosen(t *testing.T) {
	d := newDispatcher(baseline.LeastOutstanding, 9)
	for range 4 {
		if g := reserve(t, d, "a", "b"); g.Upstream.Name != "c" {
			t.Errorf("got %s", g.Upstream.Name)
		}
	}
}

func TestQueueIsBoundedAndServedInOrder(t *testing.T) {
	d := newDispatcher(baseline.RoundRobin, 1)
	first := reserve(t, d)
	reserve(t, d)
	reserve(t, d)
	granted := make(chan *dispatch.Grant, 1)
	go func() {
		g, err := d.Reserve(context.Background(), newRequest())
		// The one below may be in the queue at that moment.
		for errors.As(err, new(*dispatch.Refusal)) {
			g, err = d.Reserve(context.Background(), newRequest())
		}
		if err != nil {
			t.Error(err)
		}
		granted <- g
	}()
	// The waiting one fills the queue; until it does, this one waits too.
	var refusal *dispatch.Refusal
	for refusal == nil {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := d.Reserve(ctx, newRequest())
		errors.As(err, &refusal)
	}
	if refusal.Reason != admission.QueueFull {
		t.Errorf("refused: %s", refusal.Reason)
	}
	d.Release(first, dispatch.Result{})
	if g := <-granted; g.Upstream.Name != first.Upstream.Name {
		t.Errorf("got %s", g.Upstream.Name)
	}
}

func TestCancelledReserveReleasesItsSlot(t *testing.T) {
	d := newDispatcher(baseline.RoundRobin, 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		if g, err := d.Reserve(ctx, newRequest()); err == nil {
			d.Release(g, dispatch.Result{})
		}
	}
	for range 3 {
		reserve(t, d)
	}
}
