package queue

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

func (q *Queue) configure(now time.Time, ev Configured) {
	q.configureClasses(ev.Classes)
	q.configureWorkers(now, ev.Upstreams)
	q.configurePools()
	q.refuseStranded(now)
	q.dispatch(now, q.poolOrder)
	q.rest(now, q.poolOrder)
}

func (q *Queue) configureClasses(classes []manifest.Class) {
	listed := map[id.Class]bool{}
	for _, c := range classes {
		listed[c.Name] = true
		if q.classes[c.Name] == nil {
			q.classes[c.Name] = &class{}
		}
		q.classes[c.Name].Class = c
	}
	maps.DeleteFunc(q.classes, func(name id.Class, _ *class) bool { return !listed[name] })
}

func (q *Queue) configureWorkers(now time.Time, upstreams []Upstream) {
	listed := map[id.Upstream]bool{}
	for _, u := range upstreams {
		listed[u.Name] = true
		w := q.workers[u.Name]
		if w == nil {
			w = newWorker()
			w.UnknownUntil = now.Add(q.Conservative)
			q.workers[u.Name] = w
		}
		w.Upstream = u
		w.Worker.Capacity = u.Capacity
		w.draining = false
	}
	for name, w := range q.workers {
		w.draining = !listed[name]
		if w.draining && len(w.running) == 0 {
			delete(q.workers, name)
		}
	}
	q.workerOrder = slices.SortedFunc(maps.Values(q.workers), func(a, b *worker) int {
		return cmp.Compare(a.Name, b.Name)
	})
	for _, w := range q.workerOrder {
		w.sortPreemptible()
	}
}

func newWorker() *worker {
	w := &worker{running: map[id.Reservation]*running{}, fingerprints: map[id.Fingerprint]int{}}
	w.preemptible.less = losesLess
	w.preemptible.place = func(r *running, i int) { r.preemptIndex = i }
	return w
}

// sortPreemptible restores the order after tiers have changed.
func (u *worker) sortPreemptible() {
	items := u.preemptible.items
	u.preemptible.items = nil
	for _, r := range items {
		u.preemptible.push(r)
	}
}

// configurePools rebuilds the pools from the workers and keeps their queues.
func (q *Queue) configurePools() {
	for _, p := range q.pools {
		p.workers = nil
	}
	for _, w := range q.workerOrder {
		w.pools = nil
		if w.draining {
			continue
		}
		for _, name := range w.Pools {
			if q.pools[name] == nil {
				q.pools[name] = &pool{name: name}
			}
			p := q.pools[name]
			p.workers = append(p.workers, w)
			w.pools = append(w.pools, p)
		}
	}
	q.poolOrder = slices.SortedFunc(maps.Values(q.pools), func(a, b *pool) int {
		return cmp.Compare(a.name, b.name)
	})
	for _, p := range q.poolOrder {
		p.sortLines()
		p.near = q.poolsNear(p)
	}
}

func (q *Queue) poolsNear(p *pool) []*pool {
	near := []*pool{p}
	for _, w := range p.workers {
		for _, other := range w.pools {
			if !slices.Contains(near, other) {
				near = append(near, other)
			}
		}
	}
	return near
}

// refuseStranded refuses the waiters whose class or upstreams are gone, and
// drops pools without upstreams.
func (q *Queue) refuseStranded(now time.Time) {
	for _, w := range q.sortedWaiters() {
		p := q.pools[w.Pool]
		switch {
		case q.classes[w.Class] == nil:
			q.refuse(now, w, RefusedUnknownClass, 0)
		case !p.admits(w):
			q.refuse(now, w, RefusedNoUpstream, 0)
		}
	}
	q.poolOrder = slices.DeleteFunc(q.poolOrder, func(p *pool) bool { return len(p.workers) == 0 })
	maps.DeleteFunc(q.pools, func(_ id.Pool, p *pool) bool { return len(p.workers) == 0 })
}

func (q *Queue) sortedWaiters() []*waiter {
	return slices.SortedFunc(maps.Values(q.waiters), func(a, b *waiter) int {
		return cmp.Compare(a.sequence, b.sequence)
	})
}

// line returns the queue of a class in a pool.
func (p *pool) line(c *class) *line {
	for _, l := range p.lines {
		if l.class == c {
			return l
		}
	}
	l := newLine(c, p)
	p.lines = append(p.lines, l)
	p.sortLines()
	return l
}

func (p *pool) sortLines() {
	slices.SortFunc(p.lines, func(a, b *line) int {
		return cmp.Or(cmp.Compare(a.class.Tier, b.class.Tier), cmp.Compare(a.class.Name, b.class.Name))
	})
}

// admits reports whether some upstream of the pool may take w.
func (p *pool) admits(w *waiter) bool {
	return p != nil && slices.ContainsFunc(p.workers, func(u *worker) bool { return u.admits(w) })
}

func (u *worker) admits(w *waiter) bool {
	if u.draining || w.excludes(u.Name) {
		return false
	}
	return u.Resumes || w.ResumeOffset == 0
}
