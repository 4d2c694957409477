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
	clockOffset time.Duration
	queue       taskQueue
	serial      int
	// check runs after each step of a machine.
	onStep func(n *node, effects []member.Effect)
}

type node struct {
	machine *member.Machine
	id      id.Instance
	running bool
	paused  bool
	// life changes at each restart, so that old work is dropped.
	generation int
	changes    []member.Record
}

type task struct {
	at     time.Time
	serial int
	run    func()
}

type taskQueue []task

func (q taskQueue) Len() int { return len(q) }
func (q taskQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].serial < q[j].serial
	}
	return q[i].at.Before(q[j].at)
}
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *taskQueue) Push(x any)   { *q = append(*q, x.(task)) }
func (q *taskQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newNetwork(size int, seed uint64) *network {
	net := &network{
		now:    time.Unix(1000, 0),
		random: rand.New(rand.NewPCG(seed, 1)),
		nodes:  map[id.Instance]*node{},
		cut:    map[link]bool{},
	}
	for i := range size {
		name := id.Instance(fmt.Sprintf("i%04d", i))
		net.nodes[name] = &node{id: name}
		net.order = append(net.order, name)
	}
	for _, name := range net.order {
		net.start(name)
	}
	return net
}

func (net *network) platformList() []member.Record {
	var all []member.Record
	for _, name := range net.order {
		all = append(all, member.Record{Instance: name, PeerAddress: string(name), CallerAddress: "caller " + string(name)})
	}
	return all
}

// start begins a new life of an instance.
func (net *network) start(name id.Instance) {
	n := net.nodes[name]
	n.running, n.paused = true, false
	n.generation++
	n.machine = &member.Machine{
		Self: member.Record{
			Instance: name, Incarnation: id.Incarnation(net.now.Add(net.clockOffset).UnixNano()), State: member.Alive,
			PeerAddress: string(name), CallerAddress: "caller " + string(name), Manifest: 1,
		},
		Random: rand.New(rand.NewPCG(net.random.Uint64(), 2)),
	}
	net.step(n, member.InstancesListed{Members: net.platformList()})
	net.tick(n, n.generation)
}

func (net *network) tick(n *node, generation int) {
	net.schedule(member.TickInterval, func() {
		if n.generation != generation || !n.running {
			return
		}
		if !n.paused {
			net.step(n, member.Ticked{})
		}
		net.tick(n, generation)
	})
}

func (net *network) schedule(d time.Duration, run func()) {
	net.serial++
	heap.Push(&net.queue, task{at: net.now.Add(d), serial: net.serial, run: run})
}

// advance runs the network for d.
func (net *network) advance(d time.Duration) {
	end := net.now.Add(d)
	for len(net.queue) > 0 && !net.queue[0].at.After(end) {
		next := heap.Pop(&net.queue).(task)
		net.now = next.at
		next.run()
	}
	net.now = end
}

func (net *network) step(n *node, ev member.Event) member.SendReply {
	effects := n.machine.Step(net.now, ev)
	if net.onStep != nil {
		net.onStep(n, effects)
	}
	var reply member.SendReply
	for _, effect := range effects {
		switch effect := effect.(type) {
		case member.SendProbe:
			net.probe(n, effect)
		case member.SendReply:
			reply = effect
		case member.RecordChanged:
			n.changes = append(n.changes, effect.Record)
		case member.InstanceForgotten:
		}
	}
	return reply
}

// probe carries out p for n: a call that is refused, lost or answered.
func (net *network) probe(n *node, p member.SendProbe) {
	generation := n.generation
	finish := func(d time.Duration, ev member.Event) {
		net.schedule(d, func() { net.deliver(n, generation, ev) })
	}
	started := net.now
	net.call(n.id, p.To, func(to *node) {
		reply := net.step(to, member.ProbeReceived{From: n.id, Records: p.Records, Sync: p.Sync, SyncAfter: p.SyncAfter})
		answer := func(reached bool) {
			if net.now.Sub(started) < p.Timeout && !net.cut[link{to.id, n.id}] {
				finish(net.latency(), member.ProbeAnswered{Number: p.Number, From: to.id, Reached: reached, Records: reply.Records, Page: reply.Page})
				return
			}
			finish(p.Timeout, member.ProbeFailed{Number: p.Number, Evidence: member.TimedOut})
		}
		if p.Target == "" {
			answer(true)
			return
		}
		net.relay(to, p.Target, answer)
	}, func(evidence member.Evidence) {
		d := p.Timeout
		if evidence == member.Refused {
			d = net.latency()
		}
		finish(d, member.ProbeFailed{Number: p.Number, Evidence: evidence})
	})
}

// deliver gives ev to n. After a pause it is a timeout, as the timer of the call
// has run out by then.
func (net *network) deliver(n *node, generation int, ev member.Event) {
	switch {
	case n.generation != generation || !n.running:
	case n.paused:
		if answer, ok := ev.(member.ProbeAnswered); ok {
			ev = member.ProbeFailed{Number: answer.Number, Evidence: member.TimedOut}
		}
		net.schedule(member.TickInterval/2, func() { net.deliver(n, generation, ev) })
	default:
		net.step(n, ev)
	}
}

func (net *network) relay(via *node, target id.Instance, answer func(bool)) {
	net.call(via.id, target, func(to *node) {
		net.step(to, member.ProbeReceived{From: via.id})
		answer(!net.cut[link{to.id, via.id}])
	}, func(member.Evidence) { answer(false) })
}

func (net *network) call(from, to id.Instance, serve func(*node), fail func(member.Evidence)) {
	net.schedule(net.latency(), func() {
		n := net.nodes[to]
		switch {
		case net.cut[link{from, to}] || (n.running && n.paused):
			fail(member.TimedOut)
		case !n.running:
			fail(member.Refused)
		default:
			serve(n)
		}
	})
}

func (net *network) latency() time.Duration {
	return time.Millisecond + time.Duration(net.random.IntN(2000))*time.Microsecond
}

// believes returns what n believes of another instance.
func (net *network) recordAt(n, other id.Instance) member.Record {
	r, _ := net.nodes[n].machine.Lookup(other)
	return r
}
