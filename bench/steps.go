package bench

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/bench/cluster"
	"samphirehead/standin/fault"
)

// rolloutTimeout bounds the wait until a manifest is active on all instances.
const rolloutTimeout = 10 * time.Second

// stepRunner carries out the steps of a scenario on a cluster.
type stepRunner struct {
	cluster  *cluster.Cluster
	duration time.Duration

	// background tracks the actions that run on while later steps start.
	background sync.WaitGroup
	mu         sync.Mutex
	report     Report
}

// run carries out all steps at their times, and then waits for the actions that
// run in the background. It stops early when ctx ends.
func (r *stepRunner) run(ctx context.Context, start time.Time, steps []Step) {
	defer r.background.Wait()
	for _, s := range steps {
		if !sleepUntil(ctx, start.Add(scale(r.duration, s.At))) {
			return
		}
		if err := r.perform(ctx, s.Action); err != nil {
			r.countFailure(err)
		}
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	fault.Sleep(ctx, time.Until(at))
	return ctx.Err() == nil
}

func (r *stepRunner) countFailure(err error) {
	klog.ErrorS(err, "step failed")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.StepErrors++
}

func (r *stepRunner) perform(ctx context.Context, a Action) error {
	switch a := a.(type) {
	case EngineFault:
		r.engineFault(a)
	case PlatformFault:
		r.cluster.Platform.Faults.Add(r.withDuration(a.Fault, a.For))
	case ServiceFault:
		for _, s := range r.cluster.Services {
			s.Faults.Add(r.withDuration(a.Fault, a.For))
		}
	case Kill:
		return r.withNode(a.Index, func(n *cluster.Node) error {
			n.Kill()
			r.setLastKill(time.Now())
			return nil
		})
	case Drain:
		return r.withNode(a.Index, func(n *cluster.Node) error {
			r.background.Go(func() { r.drain(ctx, n) })
			return nil
		})
	case Replace:
		return r.withNode(a.Index, r.cluster.Replace)
	case Isolate:
		return r.withNode(a.Index, func(n *cluster.Node) error {
			n.Isolate(scale(r.duration, a.For), a.PeersOnly)
			return nil
		})
	case Pause:
		return r.withNode(a.Index, func(n *cluster.Node) error {
			n.Stall(scale(r.duration, a.For))
			return nil
		})
	case Reapply:
		r.background.Go(func() { r.reapply(ctx) })
	case Race:
		r.background.Go(func() { r.race(ctx) })
	}
	return nil
}

func (r *stepRunner) engineFault(a EngineFault) {
	f := r.withDuration(a.Fault, a.For)
	for i, e := range r.cluster.Engines {
		if len(a.Engines) == 0 || contains(a.Engines, i) {
			e.Faults.Add(f)
		}
	}
}

func contains(indices []int, index int) bool {
	for _, i := range indices {
		if i == index {
			return true
		}
	}
	return false
}

func (r *stepRunner) withDuration(f fault.Fault, fraction float64) fault.Fault {
	if fraction > 0 {
		f.DurationMS = scale(r.duration, fraction).Milliseconds()
	}
	return f
}

// withNode calls f with the latest node of an index; it fails if there is none.
func (r *stepRunner) withNode(index int, f func(*cluster.Node) error) error {
	nodes := r.cluster.Nodes()
	for i := len(nodes) - 1; i >= 0; i-- {
		if nodes[i].Index == index {
			return f(nodes[i])
		}
	}
	return errors.Newf("no instance with index %d", index)
}

func (r *stepRunner) setLastKill(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.lastKill = at
}

func (r *stepRunner) drain(ctx context.Context, n *cluster.Node) {
	if err := n.Drain(ctx); err != nil && ctx.Err() == nil {
		r.countFailure(err)
	}
}

func (r *stepRunner) reapply(ctx context.Context) {
	r.applyManifests(ctx, 1)
}

// race applies as many manifests at once as nodes were started.
func (r *stepRunner) race(ctx context.Context) {
	r.applyManifests(ctx, len(r.cluster.URLs()))
}

func (r *stepRunner) applyManifests(ctx context.Context, count int) {
	accepted, err := r.cluster.Reapply(ctx, count)
	if err != nil {
		r.countFailure(err)
	}
	rolloutTime := time.Duration(0)
	if accepted > 0 {
		ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
		rolloutTime = r.cluster.WaitForRollout(ctx)
		cancel()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.SlowestRollout = max(r.report.SlowestRollout, rolloutTime)
	r.report.ManifestsSubmitted += count
	r.report.ManifestsAccepted += accepted
	if accepted > 1 {
		r.report.RacesWithTwoWinners++
	}
}
