package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"samphirehead/coordination/member"
	"samphirehead/state/id"
)

// link is one direction between two instances.
type link struct{ from, to id.Instance }

// network passes messages between machines in virtual time. It breaks links
// and pauses, kills and restarts instances.
type network struct {
	now    time.Time
	random *rand.Rand
	nodes  map[id.Instance]*node
	order  []id.Instance
	cut    map[link]bool
	// clock is added to the clock that gives incarnations.
	clock  time.Duration
	queue  pending
	serial int
	// check runs after each step of a machine.
	check func(n *node, effects []member.Effect)
}

type node struct {
	machine *member.Machine
	id      id.Instance
	running bool
	paused  bool
	// life changes at each restart, so that old work is dropped.
	life    int
	changes []member.Record
}

type task struct {
	at     time.Time
	serial int
	run    func()
}

type pending []task

func (p pending) Len() int { return len(p) }
func (p pending) Less(i, j int) bool {
	if p[i].at.Equal(p[j].at) {
		return p[i].serial < p[j].serial
	}
	return p[i].at.Before(p[j].at)
}
func (p pending) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *pending) Push(x any)   { *p = append(*p, x.(task)) }
func (p *pending) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

func newNetwork(size int, seed uint64) *network {
	w := &network{
		now:    time.Unix(1000, 0),
		random: rand.New(rand.NewPCG(seed, 1)),
		nodes:  map[id.Instance]*node{},
		cut:    map[link]bool{},
	}
	for i := range size {
		name := id.Instance(fmt.Sprintf("i%04d", i))
		w.nodes[name] = &node{id: name}
		w.order = append(w.order, name)
	}
	for _, name := range w.order {
		w.start(name)
	}
	return w
}

func (w *network) listing() []member.Record {
	var all []member.Record
	for _, name := range w.order {
		all = append(all, member.Record{Instance: name, PeerAddress: string(name), CallerAddress: "caller " + string(name)})
	}
	return all
}

// start begins a new life of an instance.
func (w *network) start(name id.Instance) {
	n := w.nodes[name]
	n.running, n.paused = true, false
	n.life++
	n.machine = &member.Machine{
		Self: member.Record{
			Instance: name, Incarnation: id.Incarnation(w.now.Add(w.clock).UnixNano()), State: member.Alive,
			PeerAddress: string(name), CallerAddress: "caller " + string(name), Manifest: 1,
		},
		Random: rand.New(rand.NewPCG(w.random.Uint64(), 2)),
	}
	w.step(n, member.Listed{Members: w.listing()})
	w.tick(n, n.life)
}

func (w *network) tick(n *node, life int) {
	w.after(member.TickInterval, func() {
		if n.life != life || !n.running {
			return
		}
		if !n.paused {
			w.step(n, member.Ticked{})
		}
		w.tick(n, life)
	})
}

func (w *network) after(d time.Duration, run func()) {
	w.serial++
	heap.Push(&w.queue, task{at: w.now.Add(d), serial: w.serial, run: run})
}

// advance runs the network for d.
func (w *network) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(task)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *network) step(n *node, ev member.Event) member.Reply {
	effects := n.machine.Step(w.now, ev)
	if w.check != nil {
		w.check(n, effects)
	}
	var reply member.Reply
	for _, effect := range effects {
		switch effect := effect.(type) {
		case member.Probe:
			w.probe(n, effect)
		case member.Reply:
			reply = effect
		case member.Changed:
			n.changes = append(n.changes, effect.Record)
		case member.Forgotten:
		}
	}
	return reply
}

// probe carries out p for n: a call that is refused, lost or answered.
func (w *network) probe(n *node, p member.Probe) {
	life := n.life
	finish := func(d time.Duration, ev member.Event) {
		w.after(d, func() { w.deliver(n, life, ev) })
	}
	started := w.now
	w.call(n.id, p.To, func(to *node) {
		reply := w.step(to, member.Heard{From: n.id, Records: p.Records, Sync: p.Sync, SyncAfter: p.SyncAfter})
		answer := func(reached bool) {
			if w.now.Sub(started) < p.Timeout && !w.cut[link{to.id, n.id}] {
				finish(w.latency(), member.ProbeAnswered{Number: p.Number, From: to.id, Reached: reached, Records: reply.Records, Page: reply.Page})
				return
			}
			finish(p.Timeout, member.ProbeFailed{Number: p.Number, Evidence: member.TimedOut})
		}
		if p.Target == "" {
			answer(true)
			return
		}
		w.relay(to, p.Target, answer)
	}, func(evidence member.Evidence) {
		d := p.Timeout
		if evidence == member.Refused {
			d = w.latency()
		}
		finish(d, member.ProbeFailed{Number: p.Number, Evidence: evidence})
	})
}

// deliver gives ev to n. After a pause it is a timeout, as the timer of the call
// has run out by then.
func (w *network) deliver(n *node, life int, ev member.Event) {
	switch {
	case n.life != life || !n.running:
	case n.paused:
		if answer, ok := ev.(member.ProbeAnswered); ok {
			ev = member.ProbeFailed{Number: answer.Number, Evidence: member.TimedOut}
		}
		w.after(member.TickInterval/2, func() { w.deliver(n, life, ev) })
	default:
		w.step(n, ev)
	}
}

func (w *network) relay(via *node, target id.Instance, answer func(bool)) {
	w.call(via.id, target, func(to *node) {
		w.step(to, member.Heard{From: via.id})
		answer(!w.cut[link{to.id, via.id}])
	}, func(member.Evidence) { answer(false) })
}

func (w *network) call(from, to id.Instance, serve func(*node), fail func(member.Evidence)) {
	w.after(w.latency(), func() {
		n := w.nodes[to]
		switch {
		case w.cut[link{from, to}] || (n.running && n.paused):
			fail(member.TimedOut)
		case !n.running:
			fail(member.Refused)
		default:
			serve(n)
		}
	})
}

func (w *network) latency() time.Duration {
	return time.Millisecond + time.Duration(w.random.IntN(2000))*time.Microsecond
}

// believes returns what n believes of another instance.
func (w *network) believes(n, other id.Instance) member.Record {
	r, _ := w.nodes[n].machine.Lookup(other)
	return r
}
