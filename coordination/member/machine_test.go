package member_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/member"
	"samphirehead/state/id"
)

// TestMain fixes the seed of rapid, and the number of its checks so that more
// than 100,000 steps are checked, unless the command line gives them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]struct{ preset, ours string }{
		"rapid.seed":   {"0", "20261"},
		"rapid.checks": {"100", "200"},
	} {
		if f := flag.Lookup(name); f.Value.String() == value.preset {
			_ = f.Value.Set(value.ours)
		}
	}
	os.Exit(m.Run())
}

// watcher checks after each step what must always hold.
type watcher struct {
	t    interface{ Fatalf(string, ...any) }
	last map[string]member.Record
	left map[string]bool
	// steps counts checked steps.
	steps int
}

func (c *watcher) check(n *node, effects []member.Effect) {
	c.steps++
	for _, effect := range effects {
		switch effect := effect.(type) {
		case member.Probe:
			c.bounded(effect.Records, member.MaxRecords)
		case member.Reply:
			c.bounded(effect.Records, member.MaxRecords)
			c.bounded(effect.Page, member.MaxSyncRecords)
		}
	}
	for _, r := range n.machine.Records() {
		c.rises(n, r)
		c.stays(n, r)
	}
}

func (c *watcher) bounded(records []member.Record, bound int) {
	if len(records) > bound {
		c.t.Fatalf("message of %d records, bound %d", len(records), bound)
	}
}

func (c *watcher) rises(n *node, r member.Record) {
	key := fmt.Sprint(n.id, "/", n.life, "/", r.Instance)
	if old, seen := c.last[key]; seen && old.Newer(r) {
		c.t.Fatalf("%s: %s went from %+v back to %+v", n.id, r.Instance, old, r)
	}
	c.last[key] = r
}

func (c *watcher) stays(n *node, r member.Record) {
	key := fmt.Sprint(n.id, "/", n.life, "/", r.Instance, "/", r.Incarnation)
	if c.left[key] && (r.State == member.Alive || r.State == member.Suspect) {
		c.t.Fatalf("%s: leaving of %s was undone: %+v", n.id, r.Instance, r)
	}
	c.left[key] = c.left[key] || r.State == member.Leaving
}

// TestFailuresHeal drives machines through losses, pauses, crashes and
// restarts, and then checks that none that runs stays dead for the others.
func TestFailuresHeal(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 7).Draw(t, "size")
		w := newNetwork(size, rapid.Uint64().Draw(t, "network"))
		c := &watcher{t: t, last: map[string]member.Record{}, left: map[string]bool{}}
		w.check = c.check
		any := rapid.SampledFrom(w.order)
		t.Repeat(map[string]func(*rapid.T){
			"cut": func(t *rapid.T) {
				w.cut[link{any.Draw(t, "from"), any.Draw(t, "to")}] = true
			},
			"isolate": func(t *rapid.T) {
				alone := any.Draw(t, "alone")
				for _, other := range w.order {
					w.cut[link{alone, other}], w.cut[link{other, alone}] = true, true
				}
			},
			"heal":    func(*rapid.T) { w.cut = map[link]bool{} },
			"pause":   func(t *rapid.T) { w.nodes[any.Draw(t, "paused")].paused = true },
			"resume":  func(t *rapid.T) { w.nodes[any.Draw(t, "resumed")].paused = false },
			"kill":    func(t *rapid.T) { w.nodes[any.Draw(t, "killed")].running = false },
			"restart": func(t *rapid.T) { w.start(any.Draw(t, "restarted")) },
			"leave": func(t *rapid.T) {
				if n := w.nodes[any.Draw(t, "leaving")]; n.running && !n.paused {
					w.step(n, member.Left{})
				}
			},
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(50, 4000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		w.cut = map[link]bool{}
		for _, name := range w.order {
			w.nodes[name].paused = false
			if !w.nodes[name].running {
				w.start(name)
			}
		}
		w.advance(member.HealBound(size))
		checkAllLive(t, w)
		steps += c.steps
	})
	t.Logf("%d steps", steps)
}

func checkAllLive(t interface{ Fatalf(string, ...any) }, w *network) {
	for _, n := range w.order {
		for _, other := range w.order {
			r := w.believes(n, other)
			self := w.nodes[other].machine.Self
			if r.State != self.State || r.Incarnation != self.Incarnation {
				t.Fatalf("%s believes %+v of %s, which is %+v", n, r, other, self)
			}
		}
	}
}

func settled(t *testing.T, size int) *network {
	t.Helper()
	w := newNetwork(size, 7)
	w.advance(member.HealBound(4))
	checkAllLive(t, w)
	return w
}

// within returns how long it took until all others believed state of target.
func within(w *network, target id.Instance, state member.State, bound time.Duration) (time.Duration, bool) {
	started := w.now
	for w.now.Sub(started) <= bound {
		all := true
		for _, name := range w.order {
			if name != target && w.nodes[name].running && w.believes(name, target).State != state {
				all = false
			}
		}
		if all {
			return w.now.Sub(started), true
		}
		w.advance(10 * time.Millisecond)
	}
	return bound, false
}

// TestDetection bounds the time until all four instances agree on a failure.
func TestDetection(t *testing.T) {
	for _, c := range []struct {
		name  string
		fail  func(*network, id.Instance)
		state member.State
		bound time.Duration
	}{
		{"process killed", func(w *network, i id.Instance) { w.nodes[i].running = false }, member.Dead, 1500 * time.Millisecond},
		{"machine gone", func(w *network, i id.Instance) { w.nodes[i].paused = true }, member.Dead, 4 * time.Second},
		{"leaves", func(w *network, i id.Instance) { w.step(w.nodes[i], member.Left{}) }, member.Leaving, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := settled(t, 4)
			c.fail(w, "i0002")
			took, ok := within(w, "i0002", c.state, c.bound)
			if !ok {
				t.Fatalf("not %s everywhere within %s", c.state, c.bound)
			}
			t.Logf("%s everywhere after %s", c.state, took)
		})
	}
}

func TestOneWayLossKillsNobody(t *testing.T) {
	w := settled(t, 4)
	w.cut[link{"i0000", "i0001"}] = true
	for _, n := range w.nodes {
		n.changes = nil
	}
	w.advance(30 * time.Second)
	for _, n := range w.nodes {
		for _, r := range n.changes {
			if r.State != member.Alive {
				t.Errorf("%s: %+v", n.id, r)
			}
		}
	}
	if !w.believes("i0000", "i0001").Unreachable {
		t.Error("i0000 does not know that it cannot reach i0001")
	}
	if w.believes("i0002", "i0001").Unreachable {
		t.Error("i0002 thinks that it cannot reach i0001")
	}
}

func TestPausedInstanceBlamesNobody(t *testing.T) {
	// With two there is nobody to ask for an indirect probe.
	w := settled(t, 2)
	paused := w.nodes["i0001"]
	w.check = func(n *node, effects []member.Effect) {
		// The pause begins while a probe is in flight.
		if n == paused && len(effects) > 0 {
			n.paused = true
		}
	}
	w.advance(20 * time.Second)
	w.check = nil
	paused.paused, paused.changes = false, nil
	w.advance(member.HealBound(4))
	for _, r := range paused.changes {
		if r.State == member.Dead || r.State == member.Suspect {
			t.Errorf("after its pause: %+v", r)
		}
	}
	checkAllLive(t, w)
}

func TestRestart(t *testing.T) {
	for _, c := range []struct {
		name  string
		clock time.Duration
	}{{"clock runs on", 0}, {"clock set back", -time.Minute}} {
		t.Run(c.name, func(t *testing.T) {
			w := settled(t, 4)
			w.nodes["i0003"].running = false
			w.advance(50 * time.Millisecond)
			w.clock = c.clock
			w.start("i0003")
			w.advance(3 * time.Second)
			checkAllLive(t, w)
		})
	}
}

// TestLeavingIsNotUndone checks that later records of the same incarnation
// cannot bring a leaving instance back, but those of a new one do.
func TestLeavingIsNotUndone(t *testing.T) {
	r := func(incarnation id.Incarnation, sequence uint64, state member.State) member.Record {
		return member.Record{Instance: "b", Incarnation: incarnation, Sequence: sequence, State: state}
	}
	for _, c := range []struct {
		name    string
		records []member.Record
		want    member.State
	}{
		{"alive after leaving", []member.Record{r(1, 1, member.Leaving), r(1, 2, member.Alive)}, member.Leaving},
		{"suspect after leaving", []member.Record{r(1, 1, member.Leaving), r(1, 2, member.Suspect)}, member.Leaving},
		{"alive after leaving and dead", []member.Record{r(1, 1, member.Leaving), r(1, 1, member.Dead), r(1, 2, member.Alive)}, member.Dead},
		{"new incarnation", []member.Record{r(1, 1, member.Leaving), r(2, 0, member.Alive)}, member.Alive},
		{"old incarnation", []member.Record{r(2, 0, member.Leaving), r(1, 9, member.Alive)}, member.Leaving},
	} {
		m := &member.Machine{Self: member.Record{Instance: "a", Incarnation: 1}, Random: rand.New(rand.NewPCG(1, 1))}
		for _, record := range c.records {
			m.Step(time.Unix(1000, 0), member.Heard{From: "c", Records: []member.Record{record}})
		}
		if got, _ := m.Lookup("b"); got.State != c.want {
			t.Errorf("%s: %s", c.name, got.State)
		}
	}
}

// TestTakenAddress checks that an answer by another instance at the address
// is no sign of life.
func TestTakenAddress(t *testing.T) {
	m := &member.Machine{
		Self:   member.Record{Instance: "a", Incarnation: 1, State: member.Alive},
		Random: rand.New(rand.NewPCG(1, 1)),
	}
	now := time.Unix(1000, 0)
	m.Step(now, member.Heard{From: "b", Records: []member.Record{{Instance: "b", Incarnation: 1, State: member.Alive, PeerAddress: "x"}}})
	for now.Before(time.Unix(1003, 0)) {
		for _, effect := range m.Step(now, member.Ticked{}) {
			if p, ok := effect.(member.Probe); ok {
				m.Step(now, member.ProbeAnswered{Number: p.Number, From: "c"})
			}
		}
		now = now.Add(member.TickInterval)
	}
	if r, _ := m.Lookup("b"); r.State != member.Dead {
		t.Errorf("b is %s", r.State)
	}
}

// TestFlappingIsHeld checks that an instance that keeps coming back from dead
// may not lend until it has been steady.
func TestFlappingIsHeld(t *testing.T) {
	w := settled(t, 4)
	flap := func() {
		w.nodes["i0001"].running = false
		if _, ok := within(w, "i0001", member.Dead, 3*time.Second); !ok {
			t.Fatal("not dead")
		}
		w.start("i0001")
		if _, ok := within(w, "i0001", member.Alive, 6*time.Second); !ok {
			t.Fatal("not back")
		}
	}
	flap()
	if !w.believes("i0000", "i0001").CanOwn() {
		t.Error("held after the first restart")
	}
	flap()
	if w.believes("i0000", "i0001").CanOwn() {
		t.Error("not held after the second")
	}
	w.advance(time.Minute)
	if !w.believes("i0000", "i0001").CanOwn() {
		t.Error("still held after a steady minute")
	}
}

// TestStartLearnsAll checks that instances learn nearly all others when all
// start together, and that one does that joins later.
func TestStartLearnsAll(t *testing.T) {
	w := newNetwork(300, 3)
	w.advance(5 * time.Second)
	for _, name := range w.order {
		if got := len(w.nodes[name].machine.Records()); got < 300*19/20 {
			t.Fatalf("%s learned %d of 300 in 5 s after all started", name, got)
		}
	}
	w.start("i0299")
	w.advance(2 * time.Second)
	if got := len(w.nodes["i0299"].machine.Records()); got < 300*19/20 {
		t.Errorf("learned %d of 300 in 2 s", got)
	}
}
