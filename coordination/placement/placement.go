// Package placement decides which engine loads which model. The holder of the
// placement lease runs one machine for each time that it holds the lease, so
// that nothing is carried over from an earlier holder but what engines report.
//
// An order moves one model at one engine. A model is unloaded only while
// another reachable engine is known to hold it, no other order of the model can
// be in flight, and no order of an earlier holder can still take it away there.
package placement

import (
	"slices"
	"time"

	"samphirehead/state/id"
)

// Defaults of the settings.
const (
	DefaultOrderBound    = 5 * time.Second
	DefaultReadInterval  = time.Second
	DefaultFreshness     = 5 * time.Second
	DefaultPatience      = 15 * time.Second
	DefaultLoadInterval  = 10 * time.Second
	DefaultLackThreshold = 0.9
	DefaultSpareFactor   = 0.75
)

// Upstream is one engine of the manifest.
type Upstream struct {
	// Name is unique.
	Name id.Upstream
	// Models lists what the engine may load, without duplicates.
	Models []id.Model
	// Places is how many models it holds at a time, at least 1.
	Places int
	// Slots is the most requests in progress, at least 1.
	Slots int
	// ChecksFencing says that it refuses orders with an old number.
	ChecksFencing bool
}

// OrderKind names what an order changes.
type OrderKind string

// The kinds of order.
const (
	Load   OrderKind = "load"
	Unload OrderKind = "unload"
)

// Order tells an engine to hold a model or not; a repeated one changes nothing.
type Order struct {
	Upstream id.Upstream
	Kind     OrderKind
	Model    id.Model
}

// Outcome says what became of an order.
type Outcome string

// The outcomes of an order.
const (
	// Accepted orders took effect.
	Accepted Outcome = "accepted"
	// Outdated orders were refused because of a newer holder's.
	Outdated Outcome = "outdated"
	// Rejected orders have and will have no effect.
	Rejected Outcome = "rejected"
	// Unknown orders may have an effect until the order bound has passed.
	Unknown Outcome = "unknown"
)

// Event is one input of a Machine.
type Event interface{ event() }

// Configured replaces the engines.
type Configured struct{ Upstreams []Upstream }

// Demanded replaces what is asked for: the slots that each model's running and
// waiting requests would fill.
type Demanded struct{ Slots map[id.Model]float64 }

// Observed answers a ReadBack.
type Observed struct {
	Upstream id.Upstream
	// Reached is false where the engine did not answer; the rest is unset
	// then.
	Reached bool
	// Models lists what was loaded at AsOf, which is no later than it was
	// in truth.
	Models []id.Model
	AsOf   time.Time
}

// Ordered answers an Order.
type Ordered struct {
	Order   Order
	Outcome Outcome
}

// Ticked reports that time has passed. All effects come from it.
type Ticked struct {
	// WaitedOut says that no order of an earlier holder is in flight to an
	// engine that does not check fencing numbers.
	WaitedOut bool
}

func (Configured) event() {}
func (Demanded) event()   {}
func (Observed) event()   {}
func (Ordered) event()    {}
func (Ticked) event()     {}

// Effect is one output of a Machine.
type Effect interface{ effect() }

// ReadBack asks for what an engine has loaded, to be answered by Observed. At
// most one is open for each engine.
type ReadBack struct{ Upstream id.Upstream }

func (Order) effect()    {}
func (ReadBack) effect() {}

// Machine decides the orders of one holding of the lease; each carries that
// holding's fencing number and leaves only while the lease allows it. Set the
// exported fields before the first Step. It is not safe for use by several
// goroutines.
type Machine struct {
	// OrderBound is the longest that an order may be in flight.
	OrderBound time.Duration
	// ReadInterval is the time between two reads of an engine.
	ReadInterval time.Duration
	// Freshness is how old what an engine reported may be to be relied on.
	Freshness time.Duration
	// Patience is how long a model must lack engines before it gets one, and
	// how long an engine that rejected an order is left alone.
	Patience time.Duration
	// LoadInterval is the least time between two loads, which bounds the
	// reads of the weight store.
	LoadInterval time.Duration

	engines []*engine
	// models lists what engines may load.
	models []id.Model
	demand map[id.Model]float64
	// lacking holds since when each model has lacked engines.
	lacking map[id.Model]time.Time
	// waitedOut is when all orders of earlier holders to engines that check
	// nothing had ended; zero before.
	waitedOut time.Time
	nextLoad  time.Time
	// superseded is set once an engine has named a newer holder.
	superseded bool
}

// engine is what is known of one engine.
type engine struct {
	Upstream
	// models and asOf are the last observation that counts; asOf is zero
	// before the first.
	models []id.Model
	asOf   time.Time
	// settled is when all orders of this holding have ended, unless one is
	// being sent; only later observations count.
	settled  time.Time
	reading  bool
	nextRead time.Time
	// order is the one that is open or whose end has not been read back;
	// nil if there is none.
	order *Order
	// sending says that the order's end has not been reported.
	sending bool
	// avoidUntil is when an engine that rejected an order is tried again.
	avoidUntil time.Time
	// fenced says that the engine has accepted an order of this holding,
	// and so refuses all older ones if it checks.
	fenced bool
}

// Superseded reports whether an engine has named a newer holder. No order
// follows.
func (m *Machine) Superseded() bool { return m.superseded }

// Step applies ev at now and returns the effects to carry out, in order.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	m.init()
	switch ev := ev.(type) {
	case Configured:
		m.configure(ev.Upstreams)
	case Demanded:
		m.demand = ev.Slots
	case Observed:
		m.observe(now, ev)
	case Ordered:
		m.ordered(now, ev)
	case Ticked:
		if ev.WaitedOut && m.waitedOut.IsZero() {
			m.waitedOut = now
		}
		m.noteLacks(now)
		return append(m.decide(now), m.reads(now)...)
	}
	return nil
}

func (m *Machine) init() {
	setDefault(&m.OrderBound, DefaultOrderBound)
	setDefault(&m.ReadInterval, DefaultReadInterval)
	setDefault(&m.Freshness, DefaultFreshness)
	setDefault(&m.Patience, DefaultPatience)
	setDefault(&m.LoadInterval, DefaultLoadInterval)
	if m.lacking == nil {
		m.lacking = make(map[id.Model]time.Time)
	}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// configure keeps what is known of the engines that stay. One with an open
// order stays until that has been read back, allowed to load nothing.
func (m *Machine) configure(upstreams []Upstream) {
	var next []*engine
	for _, u := range upstreams {
		e := m.find(u.Name)
		if e == nil {
			e = &engine{}
		}
		e.Upstream = u
		next = append(next, e)
	}
	for _, e := range m.engines {
		if e.order != nil && !slices.Contains(next, e) {
			e.Models = nil
			next = append(next, e)
		}
	}
	m.engines = next
	m.models = modelsOf(next)
}

func (m *Machine) find(name id.Upstream) *engine {
	for _, e := range m.engines {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// observe takes in a report unless it is from before the end of an order.
func (m *Machine) observe(now time.Time, ev Observed) {
	e := m.find(ev.Upstream)
	if e == nil {
		return
	}
	e.reading = false
	e.nextRead = now.Add(m.ReadInterval)
	if !ev.Reached {
		e.asOf = time.Time{}
		// It may come back without the numbers it has seen.
		e.fenced = false
		return
	}
	if e.sending || !ev.AsOf.After(e.settled) || ev.AsOf.Before(e.asOf) {
		return
	}
	e.models = ev.Models
	e.asOf = ev.AsOf
	e.order = nil
}

// ordered notes from when on a report shows the order's effect.
func (m *Machine) ordered(now time.Time, ev Ordered) {
	e := m.find(ev.Order.Upstream)
	if e == nil || !e.sending || *e.order != ev.Order {
		return
	}
	e.sending = false
	e.nextRead = now
	e.settled = now
	switch ev.Outcome {
	case Accepted:
		e.fenced = true
	case Outdated:
		m.superseded = true
	case Rejected:
		e.avoidUntil = now.Add(m.Patience)
	case Unknown:
		e.settled = now.Add(m.OrderBound)
	}
}

// reads asks engines whose time has come.
func (m *Machine) reads(now time.Time) []Effect {
	var out []Effect
	for _, e := range m.engines {
		if e.reading || now.Before(e.nextRead) {
			continue
		}
		e.reading = true
		out = append(out, ReadBack{e.Name})
	}
	return out
}
