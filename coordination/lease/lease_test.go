package lease_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/lease"
	"samphirehead/state/id"
	"samphirehead/state/record"
)

// TestMain sets a fixed seed and number of checks. Flags on the command line
// take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// rule is a rule of the protocol that the harness can disable, to prove that
// its checks notice.
type rule string

const (
	none              rule = "none"
	conditionalWrites rule = "writes are conditional"
	confirmedWrites   rule = "only a confirmed write counts"
	holderExpiry      rule = "the holder checks its own expiry"
	fencingCheck      rule = "old fencing numbers are rejected"
)

const duration = 5 * time.Second

var errFault = os.ErrDeadlineExceeded

// candidate is one process, with its own clock rate and offset.
type candidate struct {
	lease       *lease.Lease
	incarnation string
	clockRate   float64
	clockOffset time.Duration
	pending     []lease.Effect
	// pausedAt is the process's clock when it was paused; zero if it runs.
	pausedAt time.Time
}

type harness struct {
	t               *rapid.T
	uniform         *rand.Rand
	disabled        rule
	faultFree       bool
	now             time.Time
	row             record.Row
	lateWrites      []record.Write
	candidates      []*candidate
	incarnations    int
	owners          map[id.FencingNumber]string
	highestAcquired id.FencingNumber
	// inFlight holds the fencing numbers of the work that was sent and has
	// not arrived. highestDelivered is the highest number that has arrived.
	inFlight         []id.FencingNumber
	highestDelivered id.FencingNumber
	delivered        int
}

type violation string

func (h *harness) fail(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// draw returns a number below n; 0, which is no fault, while faultFree is set.
func (h *harness) draw(n int, label string) int {
	if n <= 1 || h.faultFree {
		return 0
	}
	if h.uniform != nil {
		return h.uniform.IntN(n)
	}
	return rapid.IntRange(0, n-1).Draw(h.t, label)
}

// newUniform returns nil or a source of uniform draws. Draws of rapid favor the
// ends of a range, but some faults need a long run of ordinary events.
func newUniform(t *rapid.T) *rand.Rand {
	if rapid.Bool().Draw(t, "biased draws") {
		return nil
	}
	return rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
}

func (h *harness) start(c *candidate) {
	h.incarnations++
	incarnation := fmt.Sprint(h.incarnations)
	*c = candidate{
		incarnation: incarnation,
		clockRate:   0.95 + 0.01*float64(h.draw(11, "rate")),
		clockOffset: time.Duration(h.draw(100000, "offset")) * time.Second,
		lease:       &lease.Lease{Key: "leases/x", Incarnation: id.Attempt(incarnation), Duration: duration},
	}
	h.step(c, lease.Started{})
}

// clock returns the time on c's own clock.
func (h *harness) clock(c *candidate) time.Time {
	elapsed := h.now.Sub(time.Unix(1e9, 0))
	return time.Unix(1e9, 0).Add(c.clockOffset + time.Duration(float64(elapsed)*c.clockRate))
}

func (h *harness) step(c *candidate, ev lease.Event) {
	for _, effect := range c.lease.Step(h.clock(c), ev) {
		switch e := effect.(type) {
		case lease.ReadRow, lease.WriteRow:
			c.pending = append(c.pending, e)
		case lease.Acquired:
			h.checkAcquired(c, e.FencingNumber)
		}
	}
}

func (h *harness) checkAcquired(c *candidate, n id.FencingNumber) {
	if owner, ok := h.owners[n]; ok && owner != c.incarnation {
		h.fail("fencing number %d acquired twice", n)
	}
	if n < h.highestAcquired {
		h.fail("fencing number %d acquired after %d", n, h.highestAcquired)
	}
	h.owners[n] = c.incarnation
	h.highestAcquired = n
}

func (h *harness) pick() *candidate { return h.candidates[h.draw(len(h.candidates), "candidate")] }

// answerMost completes the pending operation of most candidates.
func (h *harness) answerMost() {
	for _, c := range h.candidates {
		if h.draw(4, "slow") != 1 {
			h.answer(c)
		}
	}
}

func (h *harness) answer(c *candidate) {
	if len(c.pending) == 0 || !c.pausedAt.IsZero() {
		return
	}
	effect := c.pending[0]
	c.pending = nil
	switch e := effect.(type) {
	case lease.ReadRow:
		if h.draw(5, "read") == 1 {
			h.step(c, lease.RowRead{Err: errFault})
			return
		}
		h.step(c, lease.RowRead{Row: h.row})
	case lease.WriteRow:
		h.step(c, lease.RowWritten{Result: h.write(e.Write)})
	}
}

func (h *harness) write(w record.Write) record.WriteResult {
	faults := []string{"", "", "", "", "", "", "", "lost answer", "lost", "late", "refused"}
	switch faults[h.draw(len(faults), "write")] {
	case "lost answer":
		h.commit(w)
	case "lost":
	case "late":
		h.lateWrites = append(h.lateWrites, w)
	case "refused":
		return record.Refused{Err: errFault}
	default:
		return h.commit(w)
	}
	if h.disabled == confirmedWrites {
		return record.Written{Versions: []record.Version{w.Expected + 1}}
	}
	return record.Unknown{Err: errFault}
}

func (h *harness) commit(w record.Write) record.WriteResult {
	if h.row.Version != w.Expected && h.disabled != conditionalWrites {
		return record.Conflicted{Rows: []record.Row{h.row}}
	}
	h.row = record.Row{Key: w.Key, Version: h.row.Version + 1, Value: w.Value}
	return record.Written{Versions: []record.Version{h.row.Version}}
}

func (h *harness) applyLateWrite() {
	if len(h.lateWrites) == 0 {
		return
	}
	n := h.draw(len(h.lateWrites), "late")
	w := h.lateWrites[n]
	h.lateWrites = append(h.lateWrites[:n:n], h.lateWrites[n+1:]...)
	h.commit(w)
}

// sendWork lets every candidate that holds the lease send a unit of work.
func (h *harness) sendWork() {
	for _, c := range h.candidates {
		now := h.clock(c)
		if h.disabled == holderExpiry && !c.pausedAt.IsZero() {
			now = c.pausedAt
		}
		if n, holds := c.lease.Holds(now); holds {
			h.inFlight = append(h.inFlight, n)
			h.checkExclusive(c, n)
		}
	}
}

// checkExclusive checks that no other candidate holds the lease at this time.
func (h *harness) checkExclusive(c *candidate, n id.FencingNumber) {
	for _, other := range h.candidates {
		if other == c {
			continue
		}
		if m, holds := other.lease.Holds(h.clock(other)); holds {
			h.fail("fencing numbers %d and %d are held at the same time", n, m)
		}
	}
}

// deliverWork lets a unit of work arrive, after any delay, at a receiver that
// checks fencing numbers.
func (h *harness) deliverWork() {
	if len(h.inFlight) == 0 {
		return
	}
	i := h.draw(len(h.inFlight), "work")
	n := h.inFlight[i]
	h.inFlight = append(h.inFlight[:i:i], h.inFlight[i+1:]...)
	if n < h.highestDelivered && h.disabled != fencingCheck {
		return
	}
	if n < h.highestDelivered {
		h.fail("fencing number %d was accepted after %d", n, h.highestDelivered)
	}
	h.highestDelivered = n
	h.delivered++
}

func (h *harness) advanceTime() {
	seconds := []float64{0.3, 0.2, 0.3, 0.4, 0.5, 0.6, 1, 4}
	h.now = h.now.Add(time.Duration(seconds[h.draw(len(seconds), "seconds")] * float64(time.Second)))
	for _, c := range h.candidates {
		if h.faultFree {
			c.pausedAt = time.Time{}
		}
		if c.pausedAt.IsZero() {
			h.step(c, lease.Ticked{})
		}
	}
}

// togglePause resumes a paused candidate, or pauses one that holds the lease.
func (h *harness) togglePause() {
	if h.draw(5, "skip") != 1 {
		return
	}
	for _, c := range h.candidates {
		if !c.pausedAt.IsZero() {
			c.pausedAt = time.Time{}
			return
		}
	}
	for _, c := range h.candidates {
		if _, holds := c.lease.Holds(h.clock(c)); holds {
			c.pausedAt = h.clock(c)
			return
		}
	}
}

// pauseForTakeover pauses the holder and lets the others run without platform
// faults, so that one of them takes over. Work may arrive during that time.
func (h *harness) pauseForTakeover() {
	h.togglePause()
	for range h.draw(60, "rounds") {
		h.now = h.now.Add(500 * time.Millisecond)
		for _, c := range h.candidates {
			if !c.pausedAt.IsZero() {
				continue
			}
			h.step(c, lease.Ticked{})
			h.answerWithoutFault(c)
		}
		if h.draw(3, "work") == 1 {
			h.sendWork()
			h.deliverWork()
		}
	}
}

// answerWithoutFault completes c's pending operation without a fault.
func (h *harness) answerWithoutFault(c *candidate) {
	previous := h.faultFree
	h.faultFree = true
	h.answer(c)
	h.faultFree = previous
}

func (h *harness) crash() {
	if h.draw(12, "skip") == 1 {
		h.start(h.pick())
	}
}

func (h *harness) resign() {
	if h.draw(12, "skip") != 1 {
		return
	}
	c := h.pick()
	if len(h.inFlight) > 0 || !c.pausedAt.IsZero() {
		return
	}
	h.step(c, lease.Resigned{})
	h.step(c, lease.Started{})
}

// checkRecovery ends the faults and checks that a candidate acquires the lease.
func (h *harness) checkRecovery() {
	h.faultFree = true
	for range 60 {
		h.advanceTime()
		for _, c := range h.candidates {
			for n := 0; len(c.pending) > 0 && n < 10; n++ {
				h.answer(c)
			}
		}
		for _, c := range h.candidates {
			if _, holds := c.lease.Holds(h.clock(c)); holds {
				return
			}
		}
	}
	var row lease.Row
	_ = json.Unmarshal(h.row.Value, &row)
	h.fail("no candidate holds the lease: %+v", row)
}

func runScenario(t *rapid.T, disabled rule, steps, delivered *atomic.Int64) (violated string) {
	h := &harness{t: t, uniform: newUniform(t), disabled: disabled, now: time.Unix(1e9, 0), owners: map[id.FencingNumber]string{}}
	defer func() {
		p := recover()
		if v, ok := p.(violation); ok {
			violated = string(v)
		} else if p != nil {
			panic(p)
		}
	}()
	for range 3 {
		c := &candidate{}
		h.candidates = append(h.candidates, c)
		h.start(c)
	}
	actions := []func(){
		h.answerMost, h.answerMost, h.answerMost, h.answerMost, h.advanceTime, h.advanceTime, h.advanceTime,
		h.sendWork, h.sendWork, h.deliverWork, h.deliverWork, h.applyLateWrite, h.crash, h.resign, h.togglePause, h.pauseForTakeover,
	}
	for range rapid.IntRange(50, 450).Draw(t, "steps") {
		steps.Add(1)
		actions[h.draw(len(actions), "action")]()
	}
	delivered.Add(int64(h.delivered))
	h.checkRecovery()
	return ""
}

func TestInvariantsUnderRandomFaults(t *testing.T) {
	var steps, delivered atomic.Int64
	rapid.Check(t, func(rt *rapid.T) {
		if violated := runScenario(rt, none, &steps, &delivered); violated != "" {
			rt.Fatal(violated)
		}
	})
	t.Logf("%d steps, %d units of work accepted", steps.Load(), delivered.Load())
	if delivered.Load() == 0 {
		t.Error("no work was accepted")
	}
}

func TestChecksDetectEachDisabledRule(t *testing.T) {
	for _, disabled := range []rule{conditionalWrites, confirmedWrites, holderExpiry, fencingCheck} {
		t.Run(string(disabled), func(t *testing.T) {
			var steps, delivered atomic.Int64
			const seeds = 250
			runs := rapid.Custom(func(rt *rapid.T) string { return runScenario(rt, disabled, &steps, &delivered) })
			caught := 0
			example := ""
			for seed := range seeds {
				if violated := runs.Example(seed); violated != "" {
					caught++
					example = violated
				}
			}
			t.Logf("detected in %d of %d seeds, such as: %s", caught, seeds, example)
			if caught == 0 {
				t.Error("no check detected the disabled rule")
			}
		})
	}
}
