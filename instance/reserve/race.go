package reserve

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/home"
	"samphirehead/coordination/queue"
	"samphirehead/instance/dispatch"
	"samphirehead/instance/homes"
	"samphirehead/state/id"
)

const (
	// leastPatience is how long a home with free slots may take to answer.
	leastPatience = 150 * time.Millisecond
	// maxAsked bounds the homes that a reservation waits at together.
	maxAsked = 2
	// noMoreHomes is the patience when no home is left to ask.
	noMoreHomes = time.Hour
)

// candidate is a home to ask.
type candidate struct {
	home home.PoolHome
	// patience is how long the home may take before another is asked too.
	patience time.Duration
}

// patience allows a home twice the wait that it foresees.
func patience(l home.Load) time.Duration {
	if !l.Known {
		return leastPatience
	}
	return leastPatience + 2*l.Wait
}

// race is one reservation at several homes. It belongs to one goroutine.
type race struct {
	client     *Client
	need       queue.Arrived
	began      time.Time
	candidates []candidate
	// asked counts the candidates that were asked, waiting those without an
	// answer.
	asked   int
	waiting int
	refusal dispatch.Refusal
	// answers has room for all candidates.
	answers chan decided

	mu sync.Mutex
	// over is set once nobody reads answers.
	over bool
}

// decided is the answer of one home.
type decided struct {
	reservation id.Reservation
	home        id.Instance
	decision    homes.Decision
	err         error
}

func (r *race) run(ctx context.Context) (*dispatch.Grant, error) {
	asking, cancel := context.WithCancel(ctx)
	r.answers = make(chan decided, len(r.candidates))
	r.refusal = dispatch.Refusal{Reason: queue.RefusedNoUpstream}
	grant, err := r.wait(ctx, asking)
	cancel()
	r.end()
	return grant, err
}

// wait asks and hears homes until one grants, all have refused, or ctx ends.
func (r *race) wait(ctx, asking context.Context) (*dispatch.Grant, error) {
	slow := time.NewTimer(r.ask(asking))
	defer slow.Stop()
	for r.waiting > 0 {
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-slow.C:
			if r.waiting < maxAsked {
				slow.Reset(r.ask(asking))
			}
			continue
		case d := <-r.answers:
			r.waiting--
			grant, over := r.hear(d)
			if grant != nil {
				return grant, nil
			}
			if over {
				return nil, &r.refusal
			}
		}
		if r.waiting == 0 {
			slow.Reset(r.ask(asking))
		}
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return nil, &r.refusal
}

// ask sends the reservation to the next home and returns the patience with it.
func (r *race) ask(ctx context.Context) time.Duration {
	if r.asked == len(r.candidates) {
		return noMoreHomes
	}
	c := r.candidates[r.asked]
	need := r.need
	if r.asked > 0 {
		// Each home gets a reservation of its own, so that one that is
		// granted late can be given back by itself.
		need.Reservation += id.Reservation("/" + string(c.home.Instance))
	}
	r.asked++
	r.waiting++
	go func() {
		decision, err := r.client.ask(ctx, c.home, need)
		d := decided{need.Reservation, c.home.Instance, decision, err}
		if !r.deliver(d) {
			r.client.giveBack(d)
		}
	}()
	return c.patience
}

// hear takes in an answer. It returns the grant, or whether the reservation is
// refused for good.
func (r *race) hear(d decided) (*dispatch.Grant, bool) {
	if d.err != nil {
		r.client.Failed(d.home)
		klog.V(2).InfoS("home did not answer", "request", r.need.Request, "home", d.home, "err", d.err)
		return nil, false
	}
	switch answer := d.decision.(type) {
	case homes.Granted:
		need := r.need
		need.Reservation = d.reservation
		grant, err := r.client.hold(need, d.home, answer.Upstream, time.Since(r.began))
		if err != nil {
			klog.V(1).InfoS("grant not usable", "request", r.need.Request, "err", err)
			return nil, false
		}
		return grant, false
	case homes.Refused:
		r.refusal = worse(r.refusal, answer)
		return nil, final(answer.Reason)
	}
	return nil, false
}

// deliver hands an answer to the race. It reports false when the race is over.
func (r *race) deliver(d decided) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return false
	}
	r.answers <- d
	return true
}

// end gives back the grants that nobody will use; later ones are given back by
// whoever gets them.
func (r *race) end() {
	r.mu.Lock()
	r.over = true
	r.mu.Unlock()
	for len(r.answers) > 0 {
		r.client.giveBack(<-r.answers)
	}
}

// giveBack frees the slot of a grant that is not used.
func (c *Client) giveBack(d decided) {
	if _, granted := d.decision.(homes.Granted); granted {
		c.releaseAt(d.home, queue.Released{Reservation: d.reservation, Outcome: queue.Cancelled})
	}
}

// worse keeps the refusal that tells most: one for capacity rather than one
// for the lack of upstreams at a single home, and of two for such a lack the
// one that ends first.
func worse(old dispatch.Refusal, d homes.Refused) dispatch.Refusal {
	if d.Reason != queue.RefusedNoUpstream {
		return dispatch.Refusal{Reason: d.Reason, RetryAfter: d.RetryAfter}
	}
	sooner := d.RetryAfter > 0 && (old.RetryAfter == 0 || d.RetryAfter < old.RetryAfter)
	if old.Reason == queue.RefusedNoUpstream && sooner {
		old.RetryAfter = d.RetryAfter
	}
	return old
}
