package placement

import (
	"cmp"
	"slices"
	"time"

	"samphirehead/state/id"
)

// decide starts the orders that are due: at most one for a model and an
// engine, and at most one load at a time.
func (m *Machine) decide(now time.Time) []Effect {
	if m.superseded {
		return nil
	}
	var out []Effect
	for _, model := range m.wanted(now) {
		if o, ok := m.serve(now, model); ok {
			out = append(out, m.start(now, o))
		}
	}
	return append(out, m.fill(now)...)
}

// fill loads a model at an engine that holds none, as after a holder that ended
// between unloading one model and loading another.
func (m *Machine) fill(now time.Time) []Effect {
	if now.Before(m.nextLoad) {
		return nil
	}
	for _, e := range m.engines {
		if len(e.Models) == 0 || len(e.models) > 0 || !m.orderable(now, e) {
			continue
		}
		neediest := slices.MaxFunc(e.Models, func(a, b id.Model) int {
			return cmp.Compare(m.need(now, a), m.need(now, b))
		})
		if !m.busy(now, neediest) {
			return []Effect{m.start(now, Order{e.Name, Load, neediest})}
		}
	}
	return nil
}

func (m *Machine) start(now time.Time, o Order) Order {
	e := m.find(o.Upstream)
	e.order = &o
	e.sending = true
	e.asOf = time.Time{}
	if o.Kind == Load {
		m.nextLoad = now.Add(m.LoadInterval)
	}
	return o
}

// wanted lists the models that need another engine, the neediest first.
func (m *Machine) wanted(now time.Time) []id.Model {
	var out []id.Model
	for _, model := range m.models {
		since, lacks := m.lacking[model]
		if lacks && !now.Before(since.Add(m.Patience)) {
			out = append(out, model)
		}
	}
	slices.SortStableFunc(out, func(a, b id.Model) int {
		return cmp.Compare(m.need(now, b), m.need(now, a))
	})
	return out
}

// need is how many times its capacity a model's demand is.
func (m *Machine) need(now time.Time, model id.Model) float64 {
	slots := m.capacity(now, model)
	if slots == 0 {
		return float64(len(m.engines)) + m.demand[model]
	}
	return m.demand[model] / float64(slots)
}

// noteLacks keeps since when each model has lacked engines.
func (m *Machine) noteLacks(now time.Time) {
	for _, model := range m.models {
		lacks := m.need(now, model) > DefaultLackThreshold
		if !lacks {
			delete(m.lacking, model)
			continue
		}
		if _, ok := m.lacking[model]; !ok {
			m.lacking[model] = now
		}
	}
}

// serve returns the next order towards another engine for a model.
func (m *Machine) serve(now time.Time, model id.Model) (Order, bool) {
	if m.busy(now, model) {
		return Order{}, false
	}
	for _, e := range m.candidates(now, model) {
		if len(e.models) < e.Places {
			return Order{e.Name, Load, model}, !now.Before(m.nextLoad)
		}
	}
	for _, e := range m.candidates(now, model) {
		for _, other := range e.models {
			if o, ok := m.free(now, e, other); ok {
				return o, true
			}
		}
	}
	return Order{}, false
}

// candidates are the known engines that may load a model and have not, by
// their name.
func (m *Machine) candidates(now time.Time, model id.Model) []*engine {
	var out []*engine
	for _, e := range m.engines {
		allowed := slices.Contains(e.Models, model)
		if allowed && m.orderable(now, e) && !slices.Contains(e.models, model) {
			out = append(out, e)
		}
	}
	return out
}

// free returns the next order towards unloading a model at e: the unload
// itself, or a load at an engine that keeps the model, which makes that refuse
// orders of earlier holders.
func (m *Machine) free(now time.Time, e *engine, model id.Model) (Order, bool) {
	if m.busy(now, model) || !m.spare(now, e, model) || m.waitedOut.IsZero() {
		return Order{}, false
	}
	var unfenced *engine
	for _, k := range m.engines {
		if k == e || !m.holds(now, k, model) {
			continue
		}
		if m.keeps(k) {
			return Order{e.Name, Unload, model}, true
		}
		if unfenced == nil && k.ChecksFencing && !k.fenced {
			unfenced = k
		}
	}
	if unfenced == nil || now.Before(m.nextLoad) {
		return Order{}, false
	}
	return Order{unfenced.Name, Load, model}, true
}

// keeps reports whether no order of an earlier holder can change what was
// observed at k.
func (m *Machine) keeps(k *engine) bool {
	if k.ChecksFencing {
		return k.fenced
	}
	return !m.waitedOut.IsZero() && k.asOf.After(m.waitedOut)
}

// spare reports whether a model's demand is met without e, with a margin.
func (m *Machine) spare(now time.Time, e *engine, model id.Model) bool {
	rest := m.capacity(now, model)
	if m.holds(now, e, model) {
		rest -= e.Slots
	}
	return rest > 0 && m.demand[model] <= DefaultSpareFactor*float64(rest)
}

// busy reports whether an order of a model may still take effect, or has not
// been read back although its engine may still answer.
func (m *Machine) busy(now time.Time, model id.Model) bool {
	return slices.ContainsFunc(m.engines, func(e *engine) bool {
		if e.order == nil || e.order.Model != model {
			return false
		}
		return e.sending || !now.After(e.settled.Add(m.Freshness))
	})
}

// orderable reports whether e may be sent an order.
func (m *Machine) orderable(now time.Time, e *engine) bool {
	settled := e.ChecksFencing || !m.waitedOut.IsZero()
	return settled && m.known(now, e) && !now.Before(e.avoidUntil)
}

// known reports whether what e has loaded is certain but for orders of earlier
// holders.
func (m *Machine) known(now time.Time, e *engine) bool {
	return e.order == nil && !e.asOf.IsZero() && now.Sub(e.asOf) <= m.Freshness
}

// holds reports whether requests for a model can surely go to e.
func (m *Machine) holds(now time.Time, e *engine, model id.Model) bool {
	return m.known(now, e) && slices.Contains(e.Models, model) && slices.Contains(e.models, model)
}

// capacity sums the slots of the engines that requests for a model can go to.
func (m *Machine) capacity(now time.Time, model id.Model) int {
	n := 0
	for _, e := range m.engines {
		if m.holds(now, e, model) {
			n += e.Slots
		}
	}
	return n
}

// modelsOf lists all that engines may load, each once and in order of engines.
func modelsOf(engines []*engine) []id.Model {
	var out []id.Model
	for _, e := range engines {
		for _, model := range e.Models {
			if !slices.Contains(out, model) {
				out = append(out, model)
			}
		}
	}
	return out
}
