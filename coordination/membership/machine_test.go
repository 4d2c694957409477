package membership_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/membership"
	"samphirehead/state/id"
)

// TestMain sets the seed of rapid, and the number of its checks such that more
// than 100,000 steps are checked, unless the command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, setting := range map[string]struct{ rapidDefault, value string }{
		"rapid.seed":   {"0", "20261"},
		"rapid.checks": {"100", "200"},
	} {
		if f := flag.Lookup(name); f.Value.String() == setting.rapidDefault {
			_ = f.Value.Set(setting.value)
		}
	}
	os.Exit(m.Run())
}

// invariants checks after each step what must hold at all times.
type invariants struct {
	t          interface{ Fatalf(string, ...any) }
	last       map[string]membership.Record
	wasLeaving map[string]bool
	// steps counts checked steps.
	steps int
}

func (c *invariants) check(n *node, effects []membership.Effect) {
	c.steps++
	for _, effect := range effects {
		switch effect := effect.(type) {
		case membership.SendProbe:
			c.checkBound(effect.Records, membership.MaxRecords)
		case membership.SendReply:
			c.checkBound(effect.Records, membership.MaxRecords)
			c.checkBound(effect.Page, membership.MaxSyncRecords)
		}
	}
	for _, r := range n.machine.Records() {
		c.checkNewer(n, r)
		c.checkLeaving(n, r)
	}
}

func (c *invariants) checkBound(records []membership.Record, bound int) {
	if len(records) > bound {
		c.t.Fatalf("message of %d records, bound %d", len(records), bound)
	}
}

func (c *invariants) checkNewer(n *node, r membership.Record) {
	key := fmt.Sprint(n.id, "/", n.generation, "/", r.Instance)
	if old, seen := c.last[key]; seen && old.Newer(r) {
		c.t.Fatalf("%s: %s went from %+v back to %+v", n.id, r.Instance, old, r)
	}
	c.last[key] = r
}

func (c *invariants) checkLeaving(n *node, r membership.Record) {
	key := fmt.Sprint(n.id, "/", n.generation, "/", r.Instance, "/", r.Incarnation)
	if c.wasLeaving[key] && (r.State == membership.Alive || r.State == membership.Suspect) {
		c.t.Fatalf("%s: leaving of %s was revoked: %+v", n.id, r.Instance, r)
	}
	c.wasLeaving[key] = c.wasLeaving[key] || r.State == membership.Leaving
}

// TestRecoveryFromFailures takes instances through random losses, pauses, crashes
// and restarts. Afterwards all of them run, and none may still count as dead.
func TestRecoveryFromFailures(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 7).Draw(t, "size")
		net := newNetwork(size, rapid.Uint64().Draw(t, "network"))
		c := &invariants{t: t, last: map[string]membership.Record{}, wasLeaving: map[string]bool{}}
		net.onStep = c.check
		anyInstance := rapid.SampledFrom(net.order)
		t.Repeat(map[string]func(*rapid.T){
			"cut": func(t *rapid.T) {
				net.cut[link{anyInstance.Draw(t, "from"), anyInstance.Draw(t, "to")}] = true
			},
			"isolate": func(t *rapid.T) {
				isolated := anyInstance.Draw(t, "alone")
				for _, other := range net.order {
					net.cut[link{isolated, other}], net.cut[link{other, isolated}] = true, true
				}
			},
			"heal":    func(*rapid.T) { net.cut = map[link]bool{} },
			"pause":   func(t *rapid.T) { net.nodes[anyInstance.Draw(t, "paused")].paused = true },
			"resume":  func(t *rapid.T) { net.nodes[anyInstance.Draw(t, "resumed")].paused = false },
			"kill":    func(t *rapid.T) { net.nodes[anyInstance.Draw(t, "killed")].running = false },
			"restart": func(t *rapid.T) { net.start(anyInstance.Draw(t, "restarted")) },
			"leave": func(t *rapid.T) {
				if n := net.nodes[anyInstance.Draw(t, "leaving")]; n.running && !n.paused {
					net.step(n, membership.LeaveRequested{})
				}
			},
			"advance": func(t *rapid.T) {
				net.advance(time.Duration(rapid.IntRange(50, 4000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		net.cut = map[link]bool{}
		for _, name := range net.order {
			net.nodes[name].paused = false
			if !net.nodes[name].running {
				net.start(name)
			}
		}
		net.advance(membership.RecoveryBound(size))
		checkAllLive(t, net)
		steps += c.steps
	})
	t.Logf("%d steps", steps)
}

func checkAllLive(t interface{ Fatalf(string, ...any) }, net *network) {
	for _, observer := range net.order {
		for _, other := range net.order {
			r := net.recordAt(observer, other)
			self := net.nodes[other].machine.Self
			if r.State != self.State || r.Incarnation != self.Incarnation {
				t.Fatalf("%s has the record %+v of %s, which is %+v", observer, r, other, self)
			}
		}
	}
}

func newSettledNetwork(t *testing.T, size int) *network {
	t.Helper()
	net := newNetwork(size, 7)
	net.advance(membership.RecoveryBound(4))
	checkAllLive(t, net)
	return net
}

// timeUntil advances net until all other running instances have target in state,
// and returns how long that took. It reports false after bound.
func timeUntil(net *network, target id.Instance, state membership.State, bound time.Duration) (time.Duration, bool) {
	started := net.now
	for net.now.Sub(started) <= bound {
		all := true
		for _, name := range net.order {
			if name != target && net.nodes[name].running && net.recordAt(name, target).State != state {
				all = false
			}
		}
		if all {
			return net.now.Sub(started), true
		}
		net.advance(10 * time.Millisecond)
	}
	return bound, false
}

// TestFailureDetection bounds the time until all other instances have detected
// that one is gone.
func TestFailureDetection(t *testing.T) {
	for _, c := range []struct {
		name  string
		fail  func(*network, id.Instance)
		state membership.State
		bound time.Duration
	}{
		{"process killed", func(net *network, i id.Instance) { net.nodes[i].running = false }, membership.Dead, 1500 * time.Millisecond},
		{"host gone", func(net *network, i id.Instance) { net.nodes[i].paused = true }, membership.Dead, 4 * time.Second},
		{"leaves", func(net *network, i id.Instance) { net.step(net.nodes[i], membership.LeaveRequested{}) }, membership.Leaving, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			net := newSettledNetwork(t, 4)
			c.fail(net, "i0002")
			took, ok := timeUntil(net, "i0002", c.state, c.bound)
			if !ok {
				t.Fatalf("not %s everywhere within %s", c.state, c.bound)
			}
			t.Logf("%s everywhere after %s", c.state, took)
		})
	}
}

func TestOneWayLossSuspectsNobody(t *testing.T) {
	net := newSettledNetwork(t, 4)
	net.cut[link{"i0000", "i0001"}] = true
	for _, n := range net.nodes {
		n.changes = nil
	}
	net.advance(30 * time.Second)
	for _, n := range net.nodes {
		for _, r := range n.changes {
			if r.State != membership.Alive {
				t.Errorf("%s: %+v", n.id, r)
			}
		}
	}
	if !net.recordAt("i0000", "i0001").Unreachable {
		t.Error("i0001 is not unreachable from i0000")
	}
	if net.recordAt("i0002", "i0001").Unreachable {
		t.Error("i0001 is unreachable from i0002")
	}
}

func TestOwnPauseSuspectsNobody(t *testing.T) {
	// With two instances there is no relay for an indirect probe.
	net := newSettledNetwork(t, 2)
	paused := net.nodes["i0001"]
	net.onStep = func(n *node, effects []membership.Effect) {
		// The pause begins while a probe is in flight.
		if n == paused && len(effects) > 0 {
			n.paused = true
		}
	}
	net.advance(20 * time.Second)
	net.onStep = nil
	paused.paused, paused.changes = false, nil
	net.advance(membership.RecoveryBound(4))
	for _, r := range paused.changes {
		if r.State == membership.Dead || r.State == membership.Suspect {
			t.Errorf("after its pause: %+v", r)
		}
	}
	checkAllLive(t, net)
}

func TestRestart(t *testing.T) {
	for _, c := range []struct {
		name  string
		clock time.Duration
	}{{"clock runs on", 0}, {"clock set back", -time.Minute}} {
		t.Run(c.name, func(t *testing.T) {
			net := newSettledNetwork(t, 4)
			net.nodes["i0003"].running = false
			net.advance(50 * time.Millisecond)
			net.clockOffset = c.clock
			net.start("i0003")
			net.advance(3 * time.Second)
			checkAllLive(t, net)
		})
	}
}

// TestLeavingIsNotUndone checks that a later record of the same incarnation does
// not make a leaving instance alive again, and that one of a new incarnation does.
func TestLeavingIsNotUndone(t *testing.T) {
	r := func(incarnation id.Incarnation, sequence uint64, state membership.State) membership.Record {
		return membership.Record{Instance: "b", Incarnation: incarnation, Sequence: sequence, State: state}
	}
	for _, c := range []struct {
		name    string
		records []membership.Record
		want    membership.State
	}{
		{"alive after leaving", []membership.Record{r(1, 1, membership.Leaving), r(1, 2, membership.Alive)}, membership.Leaving},
		{"suspect after leaving", []membership.Record{r(1, 1, membership.Leaving), r(1, 2, membership.Suspect)}, membership.Leaving},
		{"alive after leaving and dead", []membership.Record{r(1, 1, membership.Leaving), r(1, 1, membership.Dead), r(1, 2, membership.Alive)}, membership.Dead},
		{"new incarnation", []membership.Record{r(1, 1, membership.Leaving), r(2, 0, membership.Alive)}, membership.Alive},
		{"old incarnation", []membership.Record{r(2, 0, membership.Leaving), r(1, 9, membership.Alive)}, membership.Leaving},
	} {
		m := &membership.Machine{Self: membership.Record{Instance: "a", Incarnation: 1}, Random: rand.New(rand.NewPCG(1, 1))}
		for _, record := range c.records {
			m.Step(time.Unix(1000, 0), membership.ProbeReceived{From: "c", Records: []membership.Record{record}})
		}
		if got, _ := m.Lookup("b"); got.State != c.want {
			t.Errorf("%s: %s", c.name, got.State)
		}
	}
}

// TestReusedAddress checks that an instance is marked dead although another one
// answers its probes, at the address that it used to have.
func TestReusedAddress(t *testing.T) {
	m := &membership.Machine{
		Self:   membership.Record{Instance: "a", Incarnation: 1, State: membership.Alive},
		Random: rand.New(rand.NewPCG(1, 1)),
	}
	now := time.Unix(1000, 0)
	m.Step(now, membership.ProbeReceived{From: "b", Records: []membership.Record{{Instance: "b", Incarnation: 1, State: membership.Alive, PeerAddress: "x"}}})
	for now.Before(time.Unix(1003, 0)) {
		for _, effect := range m.Step(now, membership.Ticked{}) {
			if p, ok := effect.(membership.SendProbe); ok {
				m.Step(now, membership.ProbeAnswered{Number: p.Number, From: "c"})
			}
		}
		now = now.Add(membership.TickInterval)
	}
	if r, _ := m.Lookup("b"); r.State != membership.Dead {
		t.Errorf("b is %s", r.State)
	}
}

// TestFlappingInstanceCannotOwn checks that an instance that repeatedly came back
// from dead may not own rate limits until it has stayed alive for a while.
func TestFlappingInstanceCannotOwn(t *testing.T) {
	net := newSettledNetwork(t, 4)
	flap := func() {
		net.nodes["i0001"].running = false
		if _, ok := timeUntil(net, "i0001", membership.Dead, 3*time.Second); !ok {
			t.Fatal("not dead")
		}
		net.start("i0001")
		if _, ok := timeUntil(net, "i0001", membership.Alive, 6*time.Second); !ok {
			t.Fatal("not back")
		}
	}
	flap()
	if !net.recordAt("i0000", "i0001").CanOwn() {
		t.Error("flapping after the first restart")
	}
	flap()
	if net.recordAt("i0000", "i0001").CanOwn() {
		t.Error("not flapping after the second restart")
	}
	net.advance(time.Minute)
	if !net.recordAt("i0000", "i0001").CanOwn() {
		t.Error("still flapping after a minute without a failure")
	}
}

// TestAllInstancesAreFoundAtStart checks that instances find nearly all others
// when all start together, and that an instance which starts later does too.
func TestAllInstancesAreFoundAtStart(t *testing.T) {
	net := newNetwork(300, 3)
	net.advance(5 * time.Second)
	for _, name := range net.order {
		if got := len(net.nodes[name].machine.Records()); got < 300*19/20 {
			t.Fatalf("%s knows %d of 300 instances 5 s after all started", name, got)
		}
	}
	net.start("i0299")
	net.advance(2 * time.Second)
	if got := len(net.nodes["i0299"].machine.Records()); got < 300*19/20 {
		t.Errorf("knows %d of 300 instances 2 s after its start", got)
	}
}
