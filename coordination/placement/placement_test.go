package placement_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"samphirehead/coordination/placement"
	"samphirehead/state/id"
)

// TestMain fixes the seed and the amount of work; flags of rapid on the
// command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	second  = time.Second
	notes   = id.Model("notes")
	dossier = id.Model("dossier")
)

// site answers a machine's effects at once.
type site struct {
	machine *placement.Machine
	now     time.Time
	loaded  map[id.Upstream][]id.Model
	silent  map[id.Upstream]bool
	results map[placement.OrderKind]placement.Outcome
	orders  []placement.Order
	at      []time.Time
}

func newSite(checks bool, loaded ...id.Model) *site {
	s := &site{
		machine: &placement.Machine{Patience: 5 * second, LoadInterval: 3 * second},
		now:     time.Unix(1e9, 0),
		loaded:  map[id.Upstream][]id.Model{},
		silent:  map[id.Upstream]bool{},
		results: map[placement.OrderKind]placement.Outcome{},
	}
	var upstreams []placement.Upstream
	for n, model := range loaded {
		name := id.Upstream(rune('a' + n))
		s.loaded[name] = []id.Model{model}
		upstreams = append(upstreams, placement.Upstream{
			Name: name, Models: []id.Model{notes, dossier}, Places: 1, Slots: 10, ChecksFencing: checks,
		})
	}
	s.step(placement.Configured{Upstreams: upstreams})
	return s
}

func (s *site) step(ev placement.Event) {
	for _, effect := range s.machine.Step(s.now, ev) {
		switch e := effect.(type) {
		case placement.ReadBack:
			s.step(placement.Observed{Upstream: e.Upstream, Reached: !s.silent[e.Upstream], Models: s.loaded[e.Upstream], AsOf: s.now})
		case placement.Order:
			s.orders = append(s.orders, e)
			s.at = append(s.at, s.now)
			s.step(placement.Ordered{Order: e, Outcome: s.carryOut(e)})
		}
	}
}

func (s *site) carryOut(o placement.Order) placement.Outcome {
	if result, ok := s.results[o.Kind]; ok {
		return result
	}
	s.loaded[o.Upstream] = nil
	if o.Kind == placement.Load {
		s.loaded[o.Upstream] = []id.Model{o.Model}
	}
	return placement.Accepted
}

// run lets time pass under a demand.
func (s *site) run(d time.Duration, waitedOut bool, demand map[id.Model]float64) {
	s.step(placement.Demanded{Slots: demand})
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(second / 2)
		s.step(placement.Ticked{WaitedOut: waitedOut})
	}
}

func (s *site) count(model id.Model) int {
	n := 0
	for _, models := range s.loaded {
		if len(models) > 0 && models[0] == model {
			n++
		}
	}
	return n
}

var morning = map[id.Model]float64{notes: 28, dossier: 2}
var evening = map[id.Model]float64{notes: 4, dossier: 28}

func TestPlacementFollowsDemand(t *testing.T) {
	for _, checks := range []bool{true, false} {
		s := newSite(checks, notes, notes, dossier, dossier)
		s.run(60*second, true, morning)
		if n, d := s.count(notes), s.count(dossier); n != 3 || d != 1 {
			t.Errorf("checks %v: morning has %d for notes, %d for dossiers", checks, n, d)
		}
		s.run(120*second, true, evening)
		if n, d := s.count(notes), s.count(dossier); n != 1 || d != 3 {
			t.Errorf("checks %v: evening has %d for notes, %d for dossiers", checks, n, d)
		}
	}
}

func TestNothingMovesWithoutCause(t *testing.T) {
	cases := []struct {
		name      string
		waitedOut bool
		demand    map[id.Model]float64
		d         time.Duration
		silent    id.Upstream
		results   map[placement.OrderKind]placement.Outcome
		// orders is the most that may be sent.
		orders int
	}{
		{"met demand", true, map[id.Model]float64{notes: 17, dossier: 17}, time.Minute, "", nil, 0},
		{"both lack", true, map[id.Model]float64{notes: 50, dossier: 50}, time.Minute, "", nil, 0},
		{"short lack", true, morning, 4 * second, "", nil, 0},
		{"earlier holder's orders in flight", false, morning, time.Minute, "", nil, 0},
		{"other engine of the model unreachable", true, morning, time.Minute, "c", nil, 0},
		{"newer holder", true, morning, time.Minute, "", map[placement.OrderKind]placement.Outcome{placement.Load: placement.Outdated, placement.Unload: placement.Outdated}, 1},
		{"unknown results are waited out", true, morning, 20 * second, "", map[placement.OrderKind]placement.Outcome{placement.Load: placement.Unknown, placement.Unload: placement.Unknown}, 4},
	}
	for _, tc := range cases {
		for _, checks := range []bool{true, false} {
			s := newSite(checks, notes, notes, dossier, dossier)
			s.results = tc.results
			if tc.silent != "" {
				s.silent[tc.silent] = true
			}
			s.run(tc.d, tc.waitedOut, tc.demand)
			if len(s.orders) > tc.orders {
				t.Errorf("%s, checks %v: orders %v", tc.name, checks, s.orders)
			}
		}
	}
}

func TestLoadsKeepToTheRateOfTheWeightStore(t *testing.T) {
	s := newSite(false, notes, notes, notes, notes, notes, dossier)
	s.run(120*second, true, map[id.Model]float64{notes: 1, dossier: 60})
	last, loads := time.Time{}, 0
	for n, o := range s.orders {
		if o.Kind != placement.Load {
			continue
		}
		if s.at[n].Sub(last) < 3*second {
			t.Errorf("loads %v apart", s.at[n].Sub(last))
		}
		last = s.at[n]
		loads++
	}
	if loads != 4 || s.count(notes) != 1 {
		t.Errorf("%d loads, %d engines left for notes", loads, s.count(notes))
	}
}

func TestAnEmptyEngineIsFilled(t *testing.T) {
	s := newSite(true, notes, dossier)
	s.loaded["a"] = nil
	s.run(20*second, true, nil)
	if s.count(notes) != 1 || s.count(dossier) != 1 {
		t.Errorf("loaded %v", s.loaded)
	}
}

func TestEnginesThatCheckAreFencedBeforeTheyKeepAModel(t *testing.T) {
	s := newSite(true, notes, notes, dossier, dossier)
	s.run(60*second, true, morning)
	fenced := map[id.Model]bool{}
	unloads := 0
	for _, o := range s.orders {
		fenced[o.Model] = fenced[o.Model] || o.Kind == placement.Load
		if o.Kind != placement.Unload {
			continue
		}
		unloads++
		if !fenced[o.Model] {
			t.Errorf("orders %v: no engine that keeps %s was ordered before", s.orders, o.Model)
		}
	}
	if unloads == 0 {
		t.Error("nothing was unloaded")
	}
}

func TestAnEngineKeepsOnlyWhatTheManifestAllowsIt(t *testing.T) {
	s := newSite(false, notes, dossier, dossier)
	s.step(placement.Configured{Upstreams: []placement.Upstream{
		{Name: "a", Models: []id.Model{notes}, Places: 1, Slots: 10},
		{Name: "c", Models: []id.Model{notes, dossier}, Places: 1, Slots: 10},
		{Name: "b", Models: []id.Model{notes}, Places: 1, Slots: 10},
	}})
	s.run(60*second, true, map[id.Model]float64{notes: 60})
	if fmt.Sprint(s.orders) != "[{b unload dossier} {b load notes}]" {
		t.Errorf("orders %v", s.orders)
	}
}
