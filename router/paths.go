package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/balancer"
	"samphirehead/coordination/heartbeat"
	"samphirehead/coordination/paths"
	"samphirehead/state/routing"
)

const (
	// pathsInterval is how often is checked whether upstreams have fallen silent.
	pathsInterval = 100 * time.Millisecond
	// heardInterval is the shortest time between two notes of bytes of a stream.
	heardInterval = 20 * time.Millisecond
)

// errPathsLost is why an attempt is cancelled that waits for an upstream which this instance does
// not reach any more.
var errPathsLost = errors.New("no upstream is reached")

// upstreamPaths tracks whether this instance reaches the upstreams.
type upstreamPaths struct {
	// probes receives a value when upstreams are to be probed.
	probes chan struct{}

	mu      sync.Mutex
	machine paths.Machine
	// attempts holds those that wait for an upstream's answer, or for the rest of it.
	attempts map[*attempt]pendingAttempt
	// decided is closed when the probes end that run; nil if none run.
	decided chan struct{}
	heardAt time.Time
}

// pendingAttempt is one that waits for an upstream.
type pendingAttempt struct {
	cancel context.CancelCauseFunc
	// repeatable is set if the request may be sent again.
	repeatable bool
	// begun is set once the answer has begun.
	begun bool
}

func (p *upstreamPaths) init() {
	p.probes = make(chan struct{}, 1)
	p.attempts = make(map[*attempt]pendingAttempt)
}

// lost reports whether this instance reaches no upstream.
func (p *upstreamPaths) lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Lost()
}

// doubtful reports whether this instance reaches no upstream, or finds out whether it does: what
// fails then says nothing of upstreams.
func (p *upstreamPaths) doubtful() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Doubtful()
}

// begin adds an attempt that is about to be sent. The context that it returns ends when the
// paths are lost and the request may be sent again.
func (p *upstreamPaths) begin(ctx context.Context, a *attempt, route *routing.Route) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[a] = pendingAttempt{cancel: cancel, repeatable: route.Semantics == routing.Idempotent}
	return ctx
}

// answerBegun records the head of an attempt's answer.
func (p *upstreamPaths) answerBegun(a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard(time.Now(), a.response.ConnectedAt.After(a.sentAt))
	if pending, ok := p.attempts[a]; ok {
		pending.begun = true
		p.attempts[a] = pending
	}
}

// eventRead records bytes of a stream.
func (p *upstreamPaths) eventRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.heardAt) >= heardInterval {
		p.heard(now, false)
	}
}

// heard passes on that an upstream was heard. p.mu must be held.
func (p *upstreamPaths) heard(now time.Time, connected bool) {
	p.heardAt = now
	p.machine.Step(now, paths.Heard{Connected: connected})
}

// end removes an attempt.
func (p *upstreamPaths) end(a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pending, ok := p.attempts[a]; ok {
		pending.cancel(nil)
		delete(p.attempts, a)
	}
}

// connectFailed records that an attempt's upstream could not be reached.
func (p *upstreamPaths) connectFailed(a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.order(p.machine.Step(time.Now(), paths.ConnectFailed{Upstream: a.Upstream, Begun: a.sentAt}))
}

// tick lets the machine find silence out.
func (p *upstreamPaths) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ticked paths.Ticked
	for a, pending := range p.attempts {
		if !pending.begun && (ticked.WaitingSince.IsZero() || a.sentAt.Before(ticked.WaitingSince)) {
			ticked.WaitingSince = a.sentAt
		}
	}
	p.order(p.machine.Step(now, ticked))
}

// order has the probes made that the effects ask for. p.mu must be held.
func (p *upstreamPaths) order(effects []paths.Effect) {
	for _, effect := range effects {
		if _, ok := effect.(paths.Probe); ok {
			p.decided = make(chan struct{})
			p.probes <- struct{}{}
		}
	}
}

// probed passes on the result of probes. It returns whether the paths are lost, and whether that
// has changed.
func (p *upstreamPaths) probed(ev paths.Probed) (lost, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	silent := now.Sub(p.heardAt) >= paths.ProbeTimeout
	changed = len(p.machine.Step(now, ev)) > 0
	lost = p.machine.Lost()
	close(p.decided)
	p.decided = nil
	if changed && lost && silent {
		for _, pending := range p.attempts {
			if pending.repeatable {
				pending.cancel(errPathsLost)
			}
		}
	}
	return lost, changed
}

// await waits for the end of the probes that run, if any do.
func (p *upstreamPaths) await(ctx context.Context) {
	p.mu.Lock()
	decided := p.decided
	p.mu.Unlock()
	if decided == nil {
		return
	}
	select {
	case <-decided:
	case <-ctx.Done():
	}
}

// watchPaths probes upstreams, when that is due, until ctx ends.
func (r *Router) watchPaths(ctx context.Context) error {
	ticker := time.NewTicker(pathsInterval)
	defer ticker.Stop()
	ended := make(chan paths.Probed)
	running := 0
	for {
		select {
		case <-ctx.Done():
			for range running {
				<-ended
			}
			return nil
		case now := <-ticker.C:
			r.paths.tick(now)
		case <-r.paths.probes:
			running++
			go func() { ended <- r.probeUpstreams(ctx) }()
		case result := <-ended:
			running--
			r.pathsProbed(result)
		}
	}
}

// probeUpstreams opens connections to some upstreams at the same time.
func (r *Router) probeUpstreams(ctx context.Context) (result paths.Probed) {
	ctx, cancel := context.WithTimeout(ctx, paths.ProbeTimeout)
	defer cancel()
	addresses := r.addressesToProbe()
	errs := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { errs <- r.forward.Probe(ctx, address) }()
	}
	for range addresses {
		if <-errs == nil {
			result.Reached++
			continue
		}
		result.Failed++
	}
	return result
}

// addressesToProbe draws upstreams.
func (r *Router) addressesToProbe() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	for _, e := range r.pools.upstreams {
		addresses = append(addresses, e.Address)
	}
	rand.Shuffle(len(addresses), func(i, k int) { addresses[i], addresses[k] = addresses[k], addresses[i] })
	return addresses[:min(paths.ProbeCount, len(addresses))]
}

// pathsProbed applies the result of probes. When the paths are lost or there again, what was
// found of the health of upstreams by them is dropped.
func (r *Router) pathsProbed(result paths.Probed) {
	lost, changed := r.paths.probed(result)
	if !changed {
		return
	}
	klog.InfoS("paths to upstreams changed", "lost", lost, "reached", result.Reached, "failed", result.Failed)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.membership.Step(now, heartbeat.PathsChanged{Lost: lost})
	for _, c := range r.pools.choosers {
		c.Step(now, balancer.PathsChanged{})
	}
}
