package queue_test

import (
	"testing"
	"time"

	"samphirehead/coordination/queue"
	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// step is one event with the effects that it must have; nil means none.
type step struct {
	after time.Duration
	event queue.Event
	want  []queue.Effect
}

const lease = 2 * time.Second

func grant(r id.Reservation, u id.Upstream) queue.Granted {
	return queue.Granted{Reservation: r, Holder: "entry-1", Upstream: u, Lease: lease}
}

func one(u ...queue.Upstream) queue.Configured {
	return configured([]manifest.Class{class("quick", 1, 0), class("dossier", 2, 0.1)}, u...)
}

func with(a queue.Arrived, change func(*queue.Arrived)) queue.Arrived {
	change(&a)
	return a
}

func rigid(name id.Upstream, slots int) queue.Upstream {
	u := engine(name, slots)
	u.Resumes = false
	return u
}

func TestFaults(t *testing.T) {
	ends := func(r id.Reservation, o queue.Outcome) queue.Released {
		return queue.Released{Reservation: r, Outcome: o}
	}
	soon := func(a queue.Arrived) queue.Arrived {
		a.FirstTokenBy = start.Add(100 * time.Millisecond)
		return a
	}
	both := engine("e0", 1)
	both.Pools = append(both.Pools, "model:z")
	tests := map[string][]step{
		"a repeated arrival is answered again": {
			{0, one(engine("e0", 1)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, request(2, "quick", "w"), nil},
			{0, request(2, "quick", "w"), nil},
			{0, released("r1", 5), []queue.Effect{grant("r2", "e0")}},
		},
		"a repeated or unknown release frees nothing": {
			{0, one(engine("e0", 1)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, released("r1", 5), nil},
			{0, request(2, "quick", "w"), []queue.Effect{grant("r2", "e0")}},
			{0, released("r1", 5), nil},
			{0, request(3, "quick", "w"), nil},
		},
		"a lapsed lease is freed only after its holder has stopped": {
			{0, one(engine("e0", 1)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, request(2, "quick", "w"), nil},
			{lease + time.Millisecond, queue.Ticked{}, nil},
			{lease, queue.Ticked{}, []queue.Effect{queue.Expired{Reservation: "r1"}, grant("r2", "e0")}},
		},
		"progress renews a lease": {
			{0, one(engine("e0", 1)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{lease, queue.Progressed{Reservation: "r1", Tokens: 1}, nil},
			{lease, queue.Progressed{Reservation: "r1", Tokens: 1}, nil},
			{lease, queue.Ticked{}, nil},
		},
		"a lost holder's slots are freed after a grace, its waiters at once": {
			{0, one(engine("e0", 1)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, request(2, "quick", "w"), nil},
			{0, with(request(3, "quick", "w"), func(a *queue.Arrived) { a.Holder = "entry-2" }), nil},
			{0, queue.HolderLost{Instance: "entry-1"}, nil},
			{time.Second, queue.Ticked{}, []queue.Effect{
				queue.Expired{Reservation: "r1"},
				queue.Granted{Reservation: "r3", Holder: "entry-2", Upstream: "e0", Lease: lease},
			}},
		},
		"a withdrawn grant is free": {
			{0, one(engine("e0", 1)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, request(2, "quick", "w"), nil},
			{0, queue.Withdrawn{Reservation: "r1"}, []queue.Effect{grant("r2", "e0")}},
		},
		"registered work takes its slot": {
			{0, one(engine("e0", 1)), nil},
			{0, queue.Registered{Arrived: request(1, "quick", "w"), Upstream: "e0", Tokens: 7}, nil},
			{0, request(2, "quick", "w"), nil},
			{0, released("r1", 9), []queue.Effect{grant("r2", "e0")}},
		},
		"a crashed upstream gets nothing, then one probe": {
			{0, one(engine("e0", 4)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{time.Millisecond, ends("r1", queue.Crashed), nil},
			{0, request(2, "quick", "w"), nil},
			{0, request(3, "quick", "w"), nil},
			{time.Second, queue.Ticked{}, []queue.Effect{grant("r2", "e0")}},
			{0, released("r2", 3), []queue.Effect{grant("r3", "e0")}},
		},
		"an excluded upstream is not chosen": {
			{0, one(engine("e0", 1), engine("e1", 1)), nil},
			{0, with(request(1, "quick", "w"), func(a *queue.Arrived) { a.Excluded = []id.Upstream{"e0"} }),
				[]queue.Effect{grant("r1", "e1")}},
			{0, with(request(2, "quick", "w"), func(a *queue.Arrived) { a.Excluded = []id.Upstream{"e0", "e1"} }),
				[]queue.Effect{queue.Refused{Reservation: "r2", Reason: queue.RefusedNoUpstream}}},
		},
		"a resumed answer goes only where it can be resumed": {
			{0, one(rigid("e0", 1), engine("e1", 1)), nil},
			{0, with(request(1, "quick", "w"), func(a *queue.Arrived) { a.ResumeOffset = 4 }),
				[]queue.Effect{grant("r1", "e1")}},
		},
		"a removed upstream drains": {
			{0, one(engine("e0", 1), engine("e1", 1)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, one(engine("e1", 1)), nil},
			{0, released("r1", 5), nil},
			{0, request(2, "quick", "w"), []queue.Effect{grant("r2", "e1")}},
			{0, request(3, "quick", "w"), nil},
			{0, one(), []queue.Effect{queue.Refused{Reservation: "r3", Reason: queue.RefusedNoUpstream}}},
		},
		"a deadline in the queue is answered when it passes": {
			{0, one(engine("e0", 1)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, with(request(2, "quick", "w"), func(a *queue.Arrived) { a.Deadline = start.Add(time.Second) }), nil},
			{time.Second, queue.Ticked{}, []queue.Effect{
				queue.Refused{Reservation: "r2", Reason: queue.RefusedDeadline}}},
		},
		"work of a lower tier is preempted and comes back at its offset": {
			{0, one(engine("e0", 1)), nil},
			{0, request(1, "dossier", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, soon(request(2, "quick", "w")), nil},
			{60 * time.Millisecond, queue.Ticked{}, []queue.Effect{
				queue.Preempted{Reservation: "r1", Holder: "entry-1", Upstream: "e0"}}},
			{0, queue.Ticked{}, nil},
			{0, ends("r1", queue.OutcomePreempted), []queue.Effect{grant("r2", "e0")}},
			{0, with(request(3, "dossier", "w"), func(a *queue.Arrived) { a.ResumeOffset, a.Attempt = 3, 1 }), nil},
			{0, released("r2", 5), []queue.Effect{grant("r3", "e0")}},
		},
		"work that can't be resumed or is of the same tier is not preempted": {
			{0, one(rigid("e0", 1), engine("e1", 2)), nil},
			{0, request(1, "dossier", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, with(request(2, "dossier", "w"), func(a *queue.Arrived) { a.MustNotPreempt = true }),
				[]queue.Effect{grant("r2", "e1")}},
			{0, request(3, "quick", "w"), []queue.Effect{grant("r3", "e1")}},
			{0, soon(request(4, "quick", "w")), nil},
			{60 * time.Millisecond, queue.Ticked{}, nil},
		},
		"pools that share an upstream keep the order of tiers": {
			{0, one(both), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, request(2, "dossier", "w"), nil},
			{0, with(request(3, "quick", "w"), func(a *queue.Arrived) { a.Pool = "model:z" }), nil},
			{0, released("r1", 9), []queue.Effect{grant("r3", "e0")}},
		},
		"foreign work in a report takes slots until it is gone": {
			{0, one(engine("e0", 2)), nil},
			{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{time.Second, queue.Reported{Upstream: "e0", AsOf: start.Add(500 * time.Millisecond), Running: 2}, nil},
			{0, request(2, "quick", "w"), nil},
			{0, queue.Reported{Upstream: "e0", AsOf: start.Add(700 * time.Millisecond), Running: 1},
				[]queue.Effect{grant("r2", "e0")}},
		},
		"a report from before a grant says nothing of it": {
			{0, one(engine("e0", 2)), nil},
			{time.Second, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
			{0, queue.Reported{Upstream: "e0", AsOf: start.Add(500 * time.Millisecond), Running: 0}, nil},
			{0, request(2, "quick", "w"), []queue.Effect{grant("r2", "e0")}},
			{0, request(3, "quick", "w"), nil},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) { runSteps(t, &queue.Queue{}, steps) })
	}
}

func runSteps(t *testing.T, q *queue.Queue, steps []step) {
	t.Helper()
	now := start
	for i, s := range steps {
		now = now.Add(s.after)
		got := q.Step(now, s.event)
		if len(got) != len(s.want) {
			t.Fatalf("step %d (%T): got %+v, want %+v", i, s.event, got, s.want)
		}
		for j := range got {
			if got[j] != s.want[j] {
				t.Fatalf("step %d (%T): got %+v, want %+v", i, s.event, got, s.want)
			}
		}
	}
}

func TestNewHomeIsConservative(t *testing.T) {
	q := &queue.Queue{Conservative: time.Second}
	runSteps(t, q, []step{
		{0, one(engine("e0", 4)), nil},
		{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
		{0, request(2, "quick", "w"), nil},
		{0, queue.Registered{Arrived: request(3, "quick", "w"), Upstream: "e0"}, nil},
		{time.Second, queue.Ticked{}, []queue.Effect{grant("r2", "e0")}},
		{0, request(4, "quick", "w"), []queue.Effect{grant("r4", "e0")}},
		{0, request(5, "quick", "w"), nil},
	})
}

func TestLargePromptsShareTheUpstreams(t *testing.T) {
	q := &queue.Queue{LargePrefill: time.Second}
	u := engine("e0", 8)
	u.Capacity.PrefillTokensPerSecond = 1000
	large := func(n int) queue.Arrived {
		return with(request(n, "dossier", "w"), func(a *queue.Arrived) { a.PromptTokens = 5000 })
	}
	runSteps(t, q, []step{
		{0, one(u), nil},
		{0, large(1), []queue.Effect{grant("r1", "e0")}},
		{0, large(2), nil},
		{0, request(3, "quick", "w"), []queue.Effect{grant("r3", "e0")}},
		{0, request(4, "dossier", "v"), []queue.Effect{grant("r4", "e0")}},
		{0, queue.Progressed{Reservation: "r1", Tokens: 1}, nil},
		{0, queue.Ticked{}, []queue.Effect{grant("r2", "e0")}},
	})
}

func TestKVMemoryIsHeldForTheHead(t *testing.T) {
	q := &queue.Queue{WithoutEstimates: true}
	u := engine("e0", 8)
	u.Capacity.KVTokens = 2000
	size := func(n int, c id.Class, tokens id.Tokens) queue.Arrived {
		return with(request(n, c, "w"), func(a *queue.Arrived) { a.PromptTokens = tokens })
	}
	runSteps(t, q, []step{
		{0, one(u), nil},
		{0, size(1, "dossier", 1000), []queue.Effect{grant("r1", "e0")}},
		{0, size(2, "quick", 1500), nil},
		{0, size(3, "dossier", 100), nil},
		{0, released("r1", 256), []queue.Effect{grant("r2", "e0")}},
		{0, released("r2", 256), []queue.Effect{grant("r3", "e0")}},
	})
}

func TestKVMemoryGrowsWithAnAnswer(t *testing.T) {
	q := &queue.Queue{WithoutEstimates: true}
	u := engine("e0", 8)
	u.Capacity.KVTokens = 2000
	runSteps(t, q, []step{
		{0, one(u), nil},
		{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
		{0, queue.Progressed{Reservation: "r1", Tokens: 800}, nil},
		{0, request(2, "quick", "w"), nil},
		{0, released("r1", 900), []queue.Effect{grant("r2", "e0")}},
	})
}

func TestQuarantineHeardOfAnswersWaiters(t *testing.T) {
	tracker := &suspect.Tracker{}
	q := &queue.Queue{Suspects: tracker}
	poisonous := func(n int) queue.Arrived {
		return with(request(n, "quick", "w"), func(a *queue.Arrived) { a.Fingerprint = poison })
	}
	runSteps(t, q, []step{
		{0, one(engine("e0", 1)), nil},
		{0, request(1, "quick", "w"), []queue.Effect{grant("r1", "e0")}},
		{0, poisonous(2), nil},
		{0, poisonous(3), nil},
		{0, poisonous(4), nil},
	})
	for _, u := range []id.Upstream{"e8", "e9"} {
		record := suspect.Record{Fingerprint: poison, Upstream: u, Request: "q", At: start}
		tracker.Step(start, suspect.Heard{Records: []suspect.Record{record}})
	}
	refused := pick[queue.Refused](q.Step(start, queue.Ticked{}))
	if len(refused) != 3 {
		t.Errorf("refused %+v, want the three that wait", refused)
	}
	got := granted(q.Step(start, released("r1", 5)))
	if len(got) != 0 {
		t.Errorf("granted %+v after the quarantine began", got)
	}
}
