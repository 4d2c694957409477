package queue_test

import (
	"testing"
	"time"

	"samphirehead/coordination/queue"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

const restMargin = 50 * time.Millisecond

// wanting returns an arrival with its target and deadline after start.
func wanting(n int, c id.Class, target, deadline time.Duration) queue.Arrived {
	return with(request(n, c, "w"), func(a *queue.Arrived) {
		a.FirstTokenBy, a.Deadline = start.Add(target), start.Add(deadline)
	})
}

func resting(r id.Reservation, after time.Duration) queue.Refused {
	return queue.Refused{Reservation: r, Reason: queue.RefusedNoUpstream, RetryAfter: after + restMargin}
}

func TestPoolWhoseUpstreamsAreAllEjected(t *testing.T) {
	const ms = time.Millisecond
	ends := func(r id.Reservation, o queue.Outcome) queue.Released {
		return queue.Released{Reservation: r, Outcome: o}
	}
	tests := map[string][]step{
		"refuses at once what can't wait, and says when to come back": {
			{0, one(engine("e0", 4)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, ends("r1", queue.Unreachable), nil},
			{100 * ms, wanting(2, "quick", 500*ms, time.Minute), []queue.Effect{resting("r2", 400*ms)}},
			{0, wanting(3, "quick", 501*ms, time.Minute), nil},
			{400 * ms, queue.Ticked{}, []queue.Effect{grant("r3", "e0")}},
		},
		"judges late work by its deadline": {
			{0, one(engine("e0", 4)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, ends("r1", queue.Unreachable), nil},
			{100 * ms, wanting(2, "quick", 0, 400*ms), []queue.Effect{resting("r2", 400*ms)}},
			{0, wanting(3, "quick", 0, time.Minute), nil},
		},
		"refuses what already waits when the last upstream goes": {
			{0, one(engine("e0", 1), engine("e1", 1)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, request(2, "quick", "w"), []queue.Effect{grant("r2", "e1")}},
			{0, wanting(3, "quick", 400*ms, time.Minute), nil},
			{0, wanting(4, "quick", time.Minute, time.Minute), nil},
			{100 * ms, ends("r1", queue.Crashed), nil},
			{100 * ms, ends("r2", queue.Crashed), []queue.Effect{resting("r3", 400*ms)}},
			{400 * ms, queue.Ticked{}, []queue.Effect{grant("r4", "e0")}},
		},
		"refuses what waits when a failed probe ejects again": {
			{0, one(engine("e0", 1)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, ends("r1", queue.Unreachable), nil},
			{0, wanting(2, "quick", time.Second, time.Minute), nil},
			{0, wanting(3, "quick", time.Second, time.Minute), nil},
			{500 * ms, queue.Ticked{}, []queue.Effect{grant("r2", "e0")}},
			{0, ends("r2", queue.Unreachable), []queue.Effect{resting("r3", time.Second)}},
		},
		"refuses what waits when the last other upstream is taken away": {
			{0, one(engine("e0", 1), engine("e1", 1)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, request(2, "quick", "w"), []queue.Effect{grant("r2", "e1")}},
			{0, wanting(3, "quick", 400*ms, time.Minute), nil},
			{0, ends("r1", queue.Unreachable), nil},
			{0, one(engine("e0", 1)), []queue.Effect{resting("r3", 500*ms)}},
		},
		"lets lower work with a later target wait": {
			{0, one(engine("e0", 1)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, ends("r1", queue.Unreachable), nil},
			{0, wanting(2, "dossier", time.Minute, time.Hour), nil},
			{0, wanting(3, "quick", 100*ms, time.Minute), []queue.Effect{resting("r3", 500*ms)}},
			{500 * ms, queue.Ticked{}, []queue.Effect{grant("r2", "e0")}},
		},
		"is not asked to make room by preemption": {
			{0, one(engine("e0", 2)), nil},
			{0, request(1, "dossier", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, request(2, "quick", "w"), []queue.Effect{grant("r2", "e0")}},
			{0, ends("r2", queue.Unreachable), nil},
			{0, wanting(3, "quick", 100*ms, time.Minute), []queue.Effect{resting("r3", 500*ms)}},
		},
		"keeps an answer in progress that can still be resumed": {
			{0, one(engine("e0", 1), rigid("e1", 1)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, ends("r1", queue.Unreachable), nil},
			{0, with(wanting(2, "quick", 100*ms, time.Minute), func(a *queue.Arrived) { a.ResumeOffset, a.Attempt = 3, 1 }), nil},
			{0, with(wanting(3, "quick", 100*ms, 200*ms), func(a *queue.Arrived) { a.ResumeOffset, a.Attempt = 3, 1 }),
				[]queue.Effect{resting("r3", 500*ms)}},
		},
		"tells a request that has tried it when to come back": {
			{0, one(engine("e0", 1)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, ends("r1", queue.Unreachable), nil},
			{0, with(request(2, "quick", "w"), func(a *queue.Arrived) { a.Excluded = []id.Upstream{"e0"} }),
				[]queue.Effect{resting("r2", 500*ms)}},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) { runSteps(t, &queue.Queue{}, steps) })
	}
}

// TestEjectedPoolIsProbedEachSecond checks that one upstream at a time is let
// back in early, and only where no other is left.
func TestEjectedPoolIsProbedEachSecond(t *testing.T) {
	tests := map[string]struct {
		upstreams []queue.Upstream
		least     int
		most      int
	}{
		"one upstream":    {[]queue.Upstream{engine("e0", 1)}, 20, 21},
		"three upstreams": {[]queue.Upstream{engine("e0", 1), engine("e1", 1), engine("e2", 1)}, 20, 30},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := &queue.Queue{}
			q.Step(start, configured([]manifest.Class{class("quick", 1, 0)}, tt.upstreams...))
			probes, last := 0, start
			for i := range 200 {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				a := with(request(i, "quick", "w"), func(a *queue.Arrived) {
					a.FirstTokenBy, a.Deadline = now.Add(time.Millisecond), now.Add(time.Second)
				})
				if len(granted(q.Step(now, a))) == 0 {
					continue
				}
				probes, last = probes+1, now
				q.Step(now, queue.Released{Reservation: a.Reservation, Outcome: queue.Unreachable})
			}
			if probes < tt.least || probes > tt.most {
				t.Errorf("%d probes in 20 s, want %d to %d", probes, tt.least, tt.most)
			}
			if end := start.Add(20 * time.Second); end.Sub(last) > 1100*time.Millisecond {
				t.Errorf("the last probe was %v before the end", end.Sub(last))
			}
		})
	}
}
