// Package baseline implements the dispatchers that samphirehead is compared
// with. Each instance decides without its peers and keeps a bounded FIFO queue
// per pool.
package baseline

import (
	"context"
	"slices"
	"sync"
	"time"

	"samphirehead/coordination/admission"
	"samphirehead/instance/dispatch"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// Policy is how a dispatcher picks an upstream.
type Policy string

// The policies.
const (
	// RoundRobin takes the next upstream in turn.
	RoundRobin Policy = "round_robin"
	// LeastOutstanding takes the upstream with the fewest requests of this
	// instance in progress.
	LeastOutstanding Policy = "least_outstanding"
)

const (
	// DefaultQueueBound is how many requests wait for one pool at most.
	DefaultQueueBound = 256
	retryAfter        = time.Second
)

// Dispatcher grants slots as if its instance were the only one.
type Dispatcher struct {
	Policy Policy
	// Index returns the active manifest.
	Index func() *manifest.Index
	// QueueBound limits the queue of each pool; 0 means DefaultQueueBound.
	QueueBound int

	mu       sync.Mutex
	inFlight map[id.Upstream]int
	// next is where the rotation of each pool continues.
	next map[id.Pool]int
	// waiting is the queue of each pool, oldest request first.
	waiting map[id.Pool][]*waiter
}

var _ dispatch.Dispatcher = (*Dispatcher)(nil)

// waiter is a request in a queue.
type waiter struct {
	request admission.Request
	// granted is buffered for the one upstream that is granted, so that
	// sending to it never blocks.
	granted chan manifest.Upstream
}

// Reserve waits in the pool's queue for a slot. It returns a *dispatch.Refusal
// when the queue is full, or the cause of ctx when ctx ends first.
func (d *Dispatcher) Reserve(ctx context.Context, request admission.Request) (*dispatch.Grant, error) {
	start := time.Now()
	w, err := d.enqueue(request)
	if err != nil {
		return nil, err
	}
	select {
	case u := <-w.granted:
		return dispatch.NewGrant(request, u, time.Since(start)), nil
	case <-ctx.Done():
		d.withdraw(w)
		return nil, context.Cause(ctx)
	}
}

func (d *Dispatcher) enqueue(request admission.Request) (*waiter, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight == nil {
		d.inFlight = map[id.Upstream]int{}
		d.next = map[id.Pool]int{}
		d.waiting = map[id.Pool][]*waiter{}
	}
	bound := d.QueueBound
	if bound == 0 {
		bound = DefaultQueueBound
	}
	if len(d.waiting[request.Pool]) >= bound {
		return nil, &dispatch.Refusal{Reason: admission.QueueFull, RetryAfter: retryAfter}
	}
	w := &waiter{request: request, granted: make(chan manifest.Upstream, 1)}
	d.waiting[request.Pool] = append(d.waiting[request.Pool], w)
	d.grantWaiting(request.Pool)
	return w, nil
}

// withdraw removes a request from its queue, or releases the slot that was
// granted to it meanwhile.
func (d *Dispatcher) withdraw(w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting[w.request.Pool] = slices.DeleteFunc(d.waiting[w.request.Pool], func(o *waiter) bool { return o == w })
	select {
	case u := <-w.granted:
		d.releaseSlot(u)
	default:
	}
}

// Started does nothing: the baseline policies ignore the first token.
func (*Dispatcher) Started(*dispatch.Grant) {}

// Release frees the slot of a grant for waiting requests.
func (d *Dispatcher) Release(g *dispatch.Grant, _ dispatch.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.releaseSlot(g.Upstream)
}

func (d *Dispatcher) releaseSlot(u manifest.Upstream) {
	d.inFlight[u.Name]--
	for _, pool := range u.Pools() {
		d.grantWaiting(pool)
	}
}

// grantWaiting grants free slots to the queue of a pool in order. It stops when
// no upstream has a free slot for the oldest request.
func (d *Dispatcher) grantWaiting(pool id.Pool) {
	for len(d.waiting[pool]) > 0 {
		w := d.waiting[pool][0]
		u, ok := d.pick(pool, w.request.Excluded)
		if !ok {
			return
		}
		d.waiting[pool] = d.waiting[pool][1:]
		d.inFlight[u.Name]++
		w.granted <- u
	}
}

// pick chooses among the upstreams with a free slot. It counts only the requests
// of this instance, so another instance may already use the slot.
func (d *Dispatcher) pick(pool id.Pool, excluded []id.Upstream) (manifest.Upstream, bool) {
	upstreams := d.Index().Upstreams(pool)
	best, found := 0, false
	for n := range upstreams {
		i := (d.next[pool] + n) % len(upstreams)
		u := upstreams[i]
		if d.inFlight[u.Name] >= u.Capacity.Slots || slices.Contains(excluded, u.Name) {
			continue
		}
		better := d.Policy == LeastOutstanding && d.inFlight[u.Name] < d.inFlight[upstreams[best].Name]
		if !found || better {
			best, found = i, true
		}
	}
	if !found {
		return manifest.Upstream{}, false
	}
	d.next[pool] = best + 1
	return upstreams[best], true
}
