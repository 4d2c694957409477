package usage_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/usage"
	"samphirehead/state/id"
	"samphirehead/state/record"
)

// fleet is the model: instances of which each may hold the duty, be killed and start again, be out
// of touch, or lose the answers to its calls, at a platform that is restored from copies.
type fleet struct {
	*platform
	random  *rapid.T
	now     time.Time
	holders []*holder
	// holding is the one that holds the duty, freeAt when another may acquire it, and pending the
	// effect that it is about to carry out.
	holding *holder
	freeAt  time.Time
	// away holds the instances that are out of touch.
	away   map[*holder]bool
	copies []map[record.Key]record.Row
	// reporting is set once a holder has begun to report, and calm at the end, when nothing fails.
	reporting, calm bool
	// incomplete is set if windows may be left out: a process has ended or was out of touch, or
	// the platform was restored before any holder began to report.
	incomplete bool
}

const (
	fleetSize = 3
	leaseTime = 3 * time.Second
	step      = 500 * time.Millisecond
)

func (f *fleet) start(i int) *holder {
	h := newHolder(f.platform, id.Instance(rune('a'+i)))
	h.Self.Incarnation = id.Incarnation(f.now.UnixNano())
	return h
}

// exchange passes counts, receipts and the number of the holder between instances in touch.
func (f *fleet) exchange() {
	for _, h := range f.holders {
		if f.away[h] {
			continue
		}
		h.SeeEra(f.era)
		for _, peer := range f.holders {
			if !f.away[peer] {
				h.Hear(peer.LastHeard(), time.Time{})
			}
		}
		if f.holding != nil && !f.away[f.holding] {
			h.Hear(f.number, f.now)
			for _, counts := range h.Counts(func(usage.Process) bool { return true }) {
				f.holding.Merge(counts, usage.Window(f.now.UnixNano()/int64(length)))
			}
			h.Settle(f.holding.Settled())
		}
	}
}

func (f *fleet) tick() {
	f.now = f.now.Add(step)
	w := usage.Window(f.now.UnixNano() / int64(length))
	for _, h := range f.holders {
		// Without the routes, which it reads from the platform, it serves nothing.
		if h.History().Since != 0 {
			h.Enter(w)
			h.Count(w, "w1")
		}
	}
	for _, h := range f.holders {
		if h != f.holding {
			h.Step(f.now, usage.Ticked{Live: f.live(h)})
		}
	}
	f.exchange()
	f.copies = append(f.copies, maps.Clone(f.rows))
	switch {
	case f.holding == nil && !f.now.Before(f.freeAt):
		next := f.holders[rapid.IntRange(0, fleetSize-1).Draw(f.random, "next")]
		if !f.away[next] {
			f.holding = next
			next.acquire(f.now)
		}
	case f.holding != nil:
		f.act(f.holding)
	}
}

// live returns the instances that one of them counts as live.
func (f *fleet) live(h *holder) []id.Instance {
	live := []id.Instance{h.Self.Instance}
	for _, peer := range f.holders {
		if peer != h && !f.away[h] && !f.away[peer] {
			live = append(live, peer.Self.Instance)
		}
	}
	return live
}

// act lets the holder carry out its effects, until it is stopped or has none. The answer to the
// last one may be lost.
func (f *fleet) act(h *holder) {
	h.peers, h.silent = nil, false
	for _, p := range f.holders {
		if p != h && !f.away[p] {
			h.peers = append(h.peers, p)
		}
	}
	h.silent = len(h.peers) < fleetSize-1
	effects := 10
	if !f.calm {
		effects = rapid.IntRange(0, 6).Draw(f.random, "effects")
	}
	for range effects {
		effect := h.Step(f.now, usage.Ticked{Live: f.live(h)})
		if effect == nil {
			return
		}
		lost := !f.calm && rapid.IntRange(0, 9).Draw(f.random, "lost") == 9
		h.lostWrites, h.lostReports = lost, lost
		h.Step(f.now, h.do(effect))
		h.lostWrites, h.lostReports = false, false
		f.reporting = f.reporting || h.Certain()
		if lost {
			return
		}
	}
}

// lose ends the holding; another may acquire the duty after the lease.
func (f *fleet) lose() {
	if f.holding != nil {
		f.holding.Step(f.now, usage.Lost{})
	}
	f.holding, f.freeAt = nil, f.now.Add(leaseTime)
}

func (f *fleet) kill() {
	i := rapid.IntRange(0, fleetSize-1).Draw(f.random, "killed")
	if f.holders[i] == f.holding {
		f.holding, f.freeAt = nil, f.now.Add(leaseTime)
	}
	f.incomplete = true
	f.holders[i] = f.start(i)
}

func (f *fleet) leave() {
	h := f.holders[rapid.IntRange(0, fleetSize-1).Draw(f.random, "away")]
	f.incomplete = true
	f.away[h] = !f.away[h]
	if h == f.holding && f.away[h] {
		f.lose()
	}
}

func (f *fleet) restoreCopy() {
	age := rapid.IntRange(0, len(f.copies)).Draw(f.random, "age")
	copied := map[record.Key]record.Row{}
	if age > 0 {
		copied = f.copies[len(f.copies)-age]
	}
	f.restore(copied)
	f.incomplete = f.incomplete || !f.reporting
	f.copies = f.copies[:len(f.copies)-max(age, 1)+1]
	f.lose()
}

// Guards against windows that are billed twice, whatever the order of kills, hand-overs, lost answers
// and restorations, and against windows that are not billed though no process ended.
func TestFleetReportsEachWindowOnce(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		f := &fleet{platform: newPlatform(random), random: random, now: end(first-1, 0), away: make(map[*holder]bool)}
		f.copies = []map[record.Key]record.Row{{}}
		for i := range fleetSize {
			f.holders = append(f.holders, f.start(i))
		}
		for range rapid.IntRange(10, 150).Draw(random, "steps") {
			switch rapid.IntRange(0, 39).Draw(random, "event") {
			case 36:
				f.kill()
			case 37:
				f.restoreCopy()
			case 38:
				f.lose()
			case 39:
				f.leave()
			default:
				f.tick()
			}
		}
		if f.incomplete {
			return
		}
		f.calm = true
		for range 100 {
			f.tick()
		}
		ended := usage.Window(f.now.UnixNano()/int64(length)) - 3
		for w := first; w < ended; w++ {
			if f.taken[w] == nil {
				random.Fatalf("window %d is not reported; %v are", w-first, slices.Sorted(maps.Keys(f.taken)))
			}
		}
	})
}
