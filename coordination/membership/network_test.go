package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"samphirehead/coordination/membership"
	"samphirehead/state/id"
)

// link is one direction between two instances.
type link struct{ from, to id.Instance }

// network passes messages between state machines in virtual time. Tests cut links
// in it, and pause, kill and restart instances.
type network struct {
	now    time.Time
	random *rand.Rand
	nodes  map[id.Instance]*node
	order  []id.Instance
	cut    map[link]bool
	// clockOffset is added to the time from which incarnations are made.
	clockOffset time.Duration
	queue       taskQueue
	serial      int
	// onStep runs after each step of a machine.
	onStep func(n *node, effects []membership.Effect)
}

type node struct {
	machine *membership.Machine
	id      id.Instance
	running bool
	paused  bool
	// generation rises at each start, so that tasks of earlier ones are
	// dropped.
	generation int
	changes    []membership.Record
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

func (net *network) platformList() []membership.Record {
	var all []membership.Record
	for _, name := range net.order {
		all = append(all, membership.Record{Instance: name, PeerAddress: string(name), CallerAddress: "caller " + string(name)})
	}
	return all
}

// start starts an instance with a new incarnation.
func (net *network) start(name id.Instance) {
	n := net.nodes[name]
	n.running, n.paused = true, false
	n.generation++
	n.machine = &membership.Machine{
		Self: membership.Record{
			Instance: name, Incarnation: id.Incarnation(net.now.Add(net.clockOffset).UnixNano()), State: membership.Alive,
			PeerAddress: string(name), CallerAddress: "caller " + string(name), Manifest: 1,
		},
		Random: rand.New(rand.NewPCG(net.random.Uint64(), 2)),
	}
	net.step(n, membership.InstancesListed{Members: net.platformList()})
	net.tick(n, n.generation)
}

func (net *network) tick(n *node, generation int) {
	net.schedule(membership.TickInterval, func() {
		if n.generation != generation || !n.running {
			return
		}
		if !n.paused {
			net.step(n, membership.Ticked{})
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

func (net *network) step(n *node, ev membership.Event) membership.SendReply {
	effects := n.machine.Step(net.now, ev)
	if net.onStep != nil {
		net.onStep(n, effects)
	}
	var reply membership.SendReply
	for _, effect := range effects {
		switch effect := effect.(type) {
		case membership.SendProbe:
			net.probe(n, effect)
		case membership.SendReply:
			reply = effect
		case membership.RecordChanged:
			n.changes = append(n.changes, effect.Record)
		case membership.InstanceForgotten:
		}
	}
	return reply
}

// probe calls the instance that p names, for n. The call is refused, lost or
// answered.
func (net *network) probe(n *node, p membership.SendProbe) {
	generation := n.generation
	finish := func(d time.Duration, ev membership.Event) {
		net.schedule(d, func() { net.deliver(n, generation, ev) })
	}
	started := net.now
	net.call(n.id, p.To, func(to *node) {
		reply := net.step(to, membership.ProbeReceived{From: n.id, Records: p.Records, Sync: p.Sync, SyncAfter: p.SyncAfter})
		answer := func(reached bool) {
			if net.now.Sub(started) < p.Timeout && !net.cut[link{to.id, n.id}] {
				finish(net.latency(), membership.ProbeAnswered{Number: p.Number, From: to.id, Reached: reached, Records: reply.Records, Page: reply.Page})
				return
			}
			finish(p.Timeout, membership.ProbeFailed{Number: p.Number, Evidence: membership.TimedOut})
		}
		if p.Target == "" {
			answer(true)
			return
		}
		net.relay(to, p.Target, answer)
	}, func(evidence membership.Evidence) {
		d := p.Timeout
		if evidence == membership.Refused {
			d = net.latency()
		}
		finish(d, membership.ProbeFailed{Number: p.Number, Evidence: evidence})
	})
}

// deliver passes ev to n. If n is paused, an answer becomes a timeout, because the
// timer of the call expires during the pause.
func (net *network) deliver(n *node, generation int, ev membership.Event) {
	switch {
	case n.generation != generation || !n.running:
	case n.paused:
		if answer, ok := ev.(membership.ProbeAnswered); ok {
			ev = membership.ProbeFailed{Number: answer.Number, Evidence: membership.TimedOut}
		}
		net.schedule(membership.TickInterval/2, func() { net.deliver(n, generation, ev) })
	default:
		net.step(n, ev)
	}
}

func (net *network) relay(via *node, target id.Instance, answer func(bool)) {
	net.call(via.id, target, func(to *node) {
		net.step(to, membership.ProbeReceived{From: via.id})
		answer(!net.cut[link{to.id, via.id}])
	}, func(membership.Evidence) { answer(false) })
}

func (net *network) call(from, to id.Instance, serve func(*node), fail func(membership.Evidence)) {
	net.schedule(net.latency(), func() {
		n := net.nodes[to]
		switch {
		case net.cut[link{from, to}] || (n.running && n.paused):
			fail(membership.TimedOut)
		case !n.running:
			fail(membership.Refused)
		default:
			serve(n)
		}
	})
}

func (net *network) latency() time.Duration {
	return time.Millisecond + time.Duration(net.random.IntN(2000))*time.Microsecond
}

// recordAt returns the record that n has of another instance.
func (net *network) recordAt(observer, other id.Instance) membership.Record {
	r, _ := net.nodes[observer].machine.Lookup(other)
	return r
}
