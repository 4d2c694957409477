package admission_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/admission"
	"samphirehead/coordination/quarantine"
	"samphirehead/state/id"
)

const poison = id.Fingerprint(13)

// crashSimulation simulates callers that repeat a request that crashes upstreams,
// among harmless ones, at one instance.
type crashSimulation struct {
	*testQueue
	now       time.Time
	next      int
	waiting   map[admission.Ticket]admission.Request
	granted   map[admission.Ticket]admission.Request
	upstreams map[admission.Ticket]id.Upstream
	// unanswered contains the requests that have neither completed nor been
	// refused.
	unanswered map[id.Request]bool
	crashCount int
	// quarantined contains the fingerprints that were refused.
	quarantined map[id.Fingerprint]bool
}

func newCrashSimulation(tracker *quarantine.Tracker) *crashSimulation {
	s := &crashSimulation{
		now: start, waiting: map[admission.Ticket]admission.Request{}, granted: map[admission.Ticket]admission.Request{},
		upstreams: map[admission.Ticket]id.Upstream{}, unanswered: map[id.Request]bool{},
		quarantined: map[id.Fingerprint]bool{},
	}
	s.testQueue = newTestQueue(newEngines(3, 3, 3, 3), class("quick", 1, 0))
	s.Quarantine = tracker
	return s
}

func (s *crashSimulation) apply(effects []admission.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case admission.Granted:
			s.granted[e.Ticket] = s.waiting[e.Ticket]
			s.upstreams[e.Ticket] = e.Upstream
			delete(s.waiting, e.Ticket)
		case admission.Refused:
			r := s.waiting[e.Ticket]
			if e.Reason == admission.Quarantined {
				s.quarantined[r.Fingerprint] = true
			}
			delete(s.waiting, e.Ticket)
			delete(s.unanswered, r.Request)
		}
	}
}

func (s *crashSimulation) add(r admission.Request) {
	s.next++
	r.Ticket = admission.Ticket(s.next)
	s.waiting[r.Ticket] = r
	s.apply(s.arrive(s.now, r))
}

func (s *crashSimulation) send(f id.Fingerprint) {
	r := request(s.next, "quick", "w")
	r.Request = id.Request(fmt.Sprintf("q%d", s.next))
	r.Fingerprint = f
	r.FirstTokenBy = s.now.Add(time.Hour)
	s.unanswered[r.Request] = true
	s.add(r)
}

// end releases one request. A poison request crashes its upstream, and all requests
// that ran there arrive again.
func (s *crashSimulation) end(t *rapid.T, ticket admission.Ticket) {
	r := s.granted[ticket]
	if r.Fingerprint != poison {
		delete(s.granted, ticket)
		delete(s.unanswered, r.Request)
		s.apply(s.step(s.now, released(ticket, 10)))
		return
	}
	s.crashCount++
	var lost []admission.Ticket
	for _, other := range slices.Sorted(maps.Keys(s.granted)) {
		if s.upstreams[other] == s.upstreams[ticket] {
			lost = append(lost, other)
		}
	}
	for _, lostTicket := range rapid.Permutation(lost).Draw(t, "lost") {
		retried := s.granted[lostTicket]
		delete(s.granted, lostTicket)
		s.apply(s.step(s.now, admission.Released{Ticket: lostTicket, Outcome: admission.Crashed}))
		retried.Attempt++
		retried.Excluded = []id.Upstream{s.upstreams[lostTicket]}
		s.add(retried)
	}
}

func (s *crashSimulation) tick() { s.apply(s.step(s.now, admission.Ticked{})) }

func (s *crashSimulation) run(t *rapid.T) {
	harmless := id.Fingerprint(100)
	for range 120 {
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
		s.tick()
		switch rapid.IntRange(0, 3).Draw(t, "do") {
		case 0:
			s.send(poison)
		case 1:
			harmless++
			s.send(harmless)
		default:
			if len(s.granted) > 0 {
				s.end(t, rapid.SampledFrom(slices.Sorted(maps.Keys(s.granted))).Draw(t, "ends"))
			}
		}
	}
}

// drain steps the queue until all requests have completed or were refused.
func (s *crashSimulation) drain(t *rapid.T) {
	for range 2000 {
		if len(s.unanswered) == 0 {
			return
		}
		s.now = s.now.Add(200 * time.Millisecond)
		s.tick()
		if tickets := slices.Sorted(maps.Keys(s.granted)); len(tickets) > 0 {
			s.end(t, tickets[0])
		}
	}
	t.Fatalf("no answer to %v", slices.Sorted(maps.Keys(s.unanswered)))
}

func TestPoisonCrashesAtMostTwoUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newCrashSimulation(&quarantine.Tracker{})
		s.run(t)
		s.drain(t)
		if s.crashCount > quarantine.DefaultCrashLimit {
			t.Fatalf("%d crashes", s.crashCount)
		}
		delete(s.quarantined, poison)
		if len(s.quarantined) > 0 {
			t.Fatalf("harmless requests quarantined: %v", s.quarantined)
		}
	})
}

// Without the tracker, the same simulation crashes more upstreams than the limit,
// which shows that the test above can fail.
func TestPoisonWithoutTracker(t *testing.T) {
	worst := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newCrashSimulation(nil)
		s.run(t)
		worst = max(worst, s.crashCount)
	})
	if worst <= quarantine.DefaultCrashLimit {
		t.Fatalf("at most %d crashes without the tracker", worst)
	}
}
