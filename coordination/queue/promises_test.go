package queue_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/queue"
	"samphirehead/state/id"
)

func (m *model) drawRunning(t *rapid.T) (id.Reservation, bool) {
	if len(m.running) == 0 {
		return "", false
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(m.running))).Draw(t, "running"), true
}

func (m *model) arriveNew(t *rapid.T) {
	m.next++
	a := request(m.next, rapid.SampledFrom([]id.Class{"quick", "quote", "note", "dossier"}).Draw(t, "class"),
		rapid.SampledFrom([]id.Workspace{"a", "b", "c"}).Draw(t, "workspace"))
	a.FirstTokenBy = m.now.Add(time.Duration(rapid.IntRange(10, 3000).Draw(t, "target")) * time.Millisecond)
	a.MustNotPreempt = rapid.IntRange(0, 4).Draw(t, "must") == 0
	m.arrive(t, a)
}

func (m *model) release(t *rapid.T) {
	name, ok := m.drawRunning(t)
	if !ok {
		t.Skip("nothing runs")
	}
	r := m.running[name]
	delete(m.running, name)
	m.ended[name] = true
	tokens := r.tokens + id.Tokens(rapid.IntRange(0, 600).Draw(t, "tokens"))
	ev := released(name, tokens)
	if r.preempting {
		ev.Outcome = queue.OutcomePreempted
		again := r.Arrived
		m.next++
		again.Reservation = id.Reservation(fmt.Sprintf("r%d", m.next))
		again.ResumeOffset = tokens
		again.Attempt++
		m.back = append(m.back, again)
	}
	m.step(t, ev)
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive": m.arriveNew,
		"burst": func(t *rapid.T) {
			for range 6 {
				m.arriveNew(t)
			}
		},
		"return": func(t *rapid.T) {
			if len(m.back) == 0 {
				t.Skip("nothing preempted")
			}
			a := m.back[0]
			m.back = m.back[1:]
			m.arrive(t, a)
		},
		"release": m.release,
		"drain": func(t *rapid.T) {
			for range 6 {
				m.arriveNew(t)
				m.release(t)
			}
		},
		"progress": func(t *rapid.T) {
			name, ok := m.drawRunning(t)
			if !ok {
				t.Skip("nothing runs")
			}
			r := m.running[name]
			r.tokens += id.Tokens(rapid.IntRange(1, 400).Draw(t, "tokens"))
			m.running[name] = r
			m.step(t, queue.Progressed{Reservation: name, Tokens: r.tokens})
		},
		"withdraw": func(t *rapid.T) {
			if len(m.waiting) == 0 {
				t.Skip("nothing waits")
			}
			name := rapid.SampledFrom(slices.Sorted(maps.Keys(m.waiting))).Draw(t, "waiting")
			c := m.waiting[name].Class
			delete(m.waiting, name)
			m.ended[name] = true
			if m.waits(c) == 0 {
				delete(m.passed, c)
			}
			m.step(t, queue.Withdrawn{Reservation: name})
		},
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			m.forgetPreemptions()
			for _, name := range slices.Sorted(maps.Keys(m.running)) {
				m.step(t, queue.Progressed{Reservation: name, Tokens: m.running[name].tokens})
			}
			m.step(t, queue.Ticked{})
		},
	}
}

func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions())
	})
}
