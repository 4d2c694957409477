package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/placement"
	"samphirehead/state/id"
)

// protection names a rule that the harness breaks on purpose.
type protection string

const (
	none        protection = "none"
	leaseCheck  protection = "only the holder sends"
	waitOut     protection = "a new holder waits out orders in flight"
	numbers     protection = "an engine that checks refuses old numbers"
	unknowns    protection = "a lost answer counts as unknown"
	reportTimes protection = "a report carries its age"
)

const (
	bound = 2 * second
	// step is the time between two events.
	step = 250 * time.Millisecond
	// longStuck is how long an order of an earlier holder may still be in
	// flight to an engine that checks numbers.
	longStuck = 20 * bound
)

// worker is one engine in truth.
type worker struct {
	placement.Upstream
	models  []id.Model
	highest int
	down    bool
	// report is what reads show, true at reportedAt.
	report     []id.Model
	reportedAt time.Time
}

// holder is one holding of the lease; it may not know that it has ended.
type holder struct {
	number  int
	machine *placement.Machine
	since   time.Time
	reads   []id.Upstream
	unsent  []placement.Order
}

// sent is an order in flight.
type sent struct {
	placement.Order
	holder *holder
	lands  time.Time
	// lost orders have no effect, or no answer has arrived by silent.
	lost, silent bool
}

type harness struct {
	t       *rapid.T
	even    *rand.Rand
	broken  protection
	now     time.Time
	workers []*worker
	// unlisted is not in the manifest; nil if all are.
	unlisted *worker
	holders  []*holder
	flying   []*sent
	demand   map[id.Model]float64
	unloads  int
	// outdated counts orders refused by engines that check.
	outdated int
}

type violation string

func (h *harness) draw(n int, label string) int {
	if h.even != nil {
		return h.even.IntN(n)
	}
	return rapid.IntRange(0, n-1).Draw(h.t, label)
}

func newHarness(t *rapid.T, broken protection) *harness {
	h := &harness{t: t, broken: broken, now: time.Unix(1e9, 0)}
	// The draws of rapid favour the ends of a range.
	if !rapid.Bool().Draw(t, "favour the ends") {
		h.even = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	}
	models := []id.Model{notes, dossier, "speech"}
	all := h.draw(2, "all check") == 1
	for n := range 5 {
		h.workers = append(h.workers, &worker{
			Upstream: placement.Upstream{
				Name: id.Upstream(rune('a' + n)), Models: models, Places: 1, Slots: 10, ChecksFencing: all || h.draw(2, "checks") == 1,
			},
			models: []id.Model{models[n%len(models)]},
		})
	}
	h.handOver()
	return h
}

func (h *harness) current() *holder { return h.holders[len(h.holders)-1] }

// handOver begins a new holding. What is in flight to engines that check may
// now take long.
func (h *harness) handOver() {
	for _, f := range h.flying {
		if h.worker(f.Upstream).ChecksFencing && h.draw(4, "stuck") != 1 {
			f.lands = h.now.Add(time.Duration(h.draw(int(longStuck/step), "stuck for")) * step)
		}
	}
	next := &holder{number: len(h.holders) + 1, since: h.now, machine: &placement.Machine{
		OrderBound: bound, ReadInterval: second / 2, Freshness: 3 * second, Patience: second, LoadInterval: second / 2,
	}}
	h.holders = append(h.holders, next)
	h.feed(next, placement.Configured{Upstreams: h.upstreams()})
	h.feed(next, placement.Demanded{Slots: h.demand})
}

// upstreams is what the manifest lists.
func (h *harness) upstreams() []placement.Upstream {
	var out []placement.Upstream
	for _, w := range h.workers {
		if w != h.unlisted {
			out = append(out, w.Upstream)
		}
	}
	return out
}

func (h *harness) worker(name id.Upstream) *worker {
	return h.workers[slices.IndexFunc(h.workers, func(w *worker) bool { return w.Name == name })]
}

func (h *harness) feed(o *holder, ev placement.Event) {
	for _, effect := range o.machine.Step(h.now, ev) {
		switch e := effect.(type) {
		case placement.ReadBack:
			o.reads = append(o.reads, e.Upstream)
		case placement.Order:
			o.unsent = append(o.unsent, e)
		}
	}
}

// act makes one event happen at a holder.
func (h *harness) act(o *holder) {
	if len(o.unsent) > 0 && h.draw(3, "held up") != 1 {
		order := o.unsent[0]
		o.unsent = o.unsent[1:]
		h.send(o, order)
		return
	}
	if len(o.reads) > 0 {
		name := o.reads[0]
		o.reads = o.reads[1:]
		h.read(o, name)
		return
	}
	waited := h.now.Sub(o.since) >= bound || h.broken == waitOut
	h.feed(o, placement.Ticked{WaitedOut: waited})
}

func (h *harness) read(o *holder, name id.Upstream) {
	w := h.worker(name)
	if w.down || h.draw(20, "read lost") == 1 {
		h.feed(o, placement.Observed{Upstream: name})
		return
	}
	if h.draw(3, "new report") == 1 {
		w.report, w.reportedAt = slices.Clone(w.models), h.now
	}
	asOf := w.reportedAt
	if h.broken == reportTimes {
		asOf = h.now
	}
	h.feed(o, placement.Observed{Upstream: name, Reached: true, Models: w.report, AsOf: asOf})
}

// send puts an order in flight if the lease allows it.
func (h *harness) send(o *holder, order placement.Order) {
	w := h.worker(order.Upstream)
	may := o == h.current() && (w.ChecksFencing || h.now.Sub(o.since) >= bound)
	if w.down || !may && h.broken != leaseCheck && h.broken != waitOut {
		h.feed(o, placement.Ordered{Order: order, Outcome: placement.Rejected})
		return
	}
	f := &sent{Order: order, holder: o, lands: h.now.Add(time.Duration(h.draw(int(bound/step), "delay")) * step)}
	f.lost = h.draw(10, "order lost") == 1
	f.silent = f.lost || h.draw(4, "answer lost") == 1
	h.flying = append(h.flying, f)
	if f.silent {
		h.feed(o, placement.Ordered{Order: order, Outcome: h.unanswered()})
	}
}

func (h *harness) unanswered() placement.Outcome {
	if h.broken == unknowns {
		return placement.Rejected
	}
	return placement.Unknown
}

// land lets orders take effect whose time has come.
func (h *harness) land() {
	var left []*sent
	for _, f := range h.flying {
		if f.lands.After(h.now) {
			left = append(left, f)
			continue
		}
		outcome := h.obey(f)
		if !f.silent {
			h.feed(f.holder, placement.Ordered{Order: f.Order, Outcome: outcome})
		}
	}
	h.flying = left
}

func (h *harness) obey(f *sent) placement.Outcome {
	w := h.worker(f.Upstream)
	if f.lost || w.down {
		return placement.Rejected
	}
	if w.ChecksFencing && f.holder.number < w.highest && h.broken != numbers {
		h.outdated++
		return placement.Outdated
	}
	if w.ChecksFencing && f.holder.number < w.highest {
		panic(violation(fmt.Sprintf("order %v of holder %d undoes one of holder %d", f.Order, f.holder.number, w.highest)))
	}
	w.highest = max(w.highest, f.holder.number)
	held := slices.Contains(w.models, f.Model)
	switch {
	case f.Kind == placement.Load && !held:
		w.models = append(w.models, f.Model)
	case f.Kind == placement.Unload && held:
		w.models = slices.DeleteFunc(slices.Clone(w.models), func(m id.Model) bool { return m == f.Model })
		h.unloads++
		h.checkHeld(f)
	}
	return placement.Accepted
}

// checkHeld fails when no engine holds a model that was just unloaded.
func (h *harness) checkHeld(f *sent) {
	for _, w := range h.workers {
		if slices.Contains(w.models, f.Model) {
			return
		}
	}
	panic(violation(fmt.Sprintf("order %v of holder %d of %d leaves no engine for the model", f.Order, f.holder.number, len(h.holders))))
}

func (h *harness) event() {
	h.now = h.now.Add(time.Duration(h.draw(3, "elapsed")) * step / 2)
	h.land()
	switch h.draw(120, "event") {
	case 0:
		h.handOver()
	case 1:
		// An order in flight makes a change of holder interesting.
		if len(h.flying) > 0 {
			h.handOver()
		}
	case 2:
		w := h.workers[h.draw(len(h.workers), "engine")]
		w.down = true
	case 3, 4, 5, 6, 7, 8:
		for _, w := range h.workers {
			w.down = false
		}
	case 9, 10:
		h.unlisted = h.workers[h.draw(len(h.workers), "unlisted")]
		h.feed(h.current(), placement.Configured{Upstreams: h.upstreams()})
	case 11, 12, 13:
		h.unlisted = nil
		h.feed(h.current(), placement.Configured{Upstreams: h.upstreams()})
	case 14, 15, 16:
		models := h.workers[0].Models
		h.demand = map[id.Model]float64{models[h.draw(len(models), "demand")]: 45}
		for _, o := range h.holders {
			h.feed(o, placement.Demanded{Slots: h.demand})
		}
	}
	for range 3 {
		h.act(h.current())
		h.act(h.holders[max(0, len(h.holders)-1-h.draw(3, "holder"))])
	}
}

const eventsPerRun = 400

func TestPromises(t *testing.T) {
	steps, unloads, outdated := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, none)
		for range eventsPerRun {
			h.event()
		}
		steps += eventsPerRun
		unloads += h.unloads
		outdated += h.outdated
	})
	t.Logf("%d steps, %d unloads took effect, %d outdated orders refused", steps, unloads, outdated)
	if unloads == 0 || outdated == 0 {
		t.Error("the runs tried nothing")
	}
}

// caught reports whether a run with a protection broken violates a promise.
func caught(t *rapid.T, broken protection) (found bool) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(violation); !ok {
				panic(r)
			}
			found = true
		}
	}()
	h := newHarness(t, broken)
	for range eventsPerRun {
		h.event()
	}
	return false
}

func TestBrokenProtectionsAreCaught(t *testing.T) {
	for _, broken := range []protection{leaseCheck, waitOut, numbers, unknowns, reportTimes} {
		t.Run(string(broken), func(t *testing.T) {
			runs, found := 0, false
			rapid.Check(t, func(t *rapid.T) {
				if found {
					return
				}
				runs++
				found = caught(t, broken)
			})
			t.Logf("caught in run %d", runs)
			if !found {
				t.Error("the check misses a broken protection")
			}
		})
	}
}
