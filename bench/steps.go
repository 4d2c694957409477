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

// longestSpread bounds the wait for a manifest to be in force everywhere.
const longestSpread = 10 * time.Second

// conductor carries out the steps of a scenario.
type conductor struct {
	cluster  *cluster.Cluster
	duration time.Duration

	// background gets the end of each action that later steps do not wait
	// for.
	background sync.WaitGroup
	mu         sync.Mutex
	report     Report
}

// run carries out all steps and waits for what they began.
func (c *conductor) run(ctx context.Context, start time.Time, steps []Step) {
	defer c.background.Wait()
	for _, s := range steps {
		if !sleepUntil(ctx, start.Add(share(c.duration, s.At))) {
			return
		}
		if err := c.act(ctx, s.Action); err != nil {
			c.failed(err)
		}
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	fault.Sleep(ctx, time.Until(at))
	return ctx.Err() == nil
}

func (c *conductor) failed(err error) {
	klog.ErrorS(err, "step failed")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.StepErrors++
}

func (c *conductor) act(ctx context.Context, a Action) error {
	switch a := a.(type) {
	case EngineFault:
		c.engineFault(a)
	case PlatformFault:
		c.cluster.Platform.Faults.Add(c.lasting(a.Fault, a.For))
	case ServiceFault:
		for _, s := range c.cluster.Services {
			s.Faults.Add(c.lasting(a.Fault, a.For))
		}
	case Kill:
		return c.withNode(a.Place, func(n *cluster.Node) error {
			n.Kill()
			c.killed(time.Now())
			return nil
		})
	case Leave:
		return c.withNode(a.Place, func(n *cluster.Node) error {
			c.background.Go(func() { c.leave(ctx, n) })
			return nil
		})
	case Replace:
		return c.withNode(a.Place, c.cluster.Replace)
	case Isolate:
		return c.withNode(a.Place, func(n *cluster.Node) error {
			n.Isolate(share(c.duration, a.For), a.PeersOnly)
			return nil
		})
	case Pause:
		return c.withNode(a.Place, func(n *cluster.Node) error {
			n.Stall(share(c.duration, a.For))
			return nil
		})
	case Reapply:
		c.background.Go(func() { c.reapply(ctx) })
	case Race:
		c.background.Go(func() { c.race(ctx) })
	}
	return nil
}

func (c *conductor) engineFault(a EngineFault) {
	f := c.lasting(a.Fault, a.For)
	for i, e := range c.cluster.Engines {
		if len(a.Engines) == 0 || contains(a.Engines, i) {
			e.Faults.Add(f)
		}
	}
}

func contains(places []int, place int) bool {
	for _, p := range places {
		if p == place {
			return true
		}
	}
	return false
}

func (c *conductor) lasting(f fault.Fault, part float64) fault.Fault {
	if part > 0 {
		f.DurationMS = share(c.duration, part).Milliseconds()
	}
	return f
}

// withNode calls f for the latest run of the instance at a place.
func (c *conductor) withNode(place int, f func(*cluster.Node) error) error {
	nodes := c.cluster.Nodes()
	for i := len(nodes) - 1; i >= 0; i-- {
		if nodes[i].Index == place {
			return f(nodes[i])
		}
	}
	return errors.Newf("no instance at place %d", place)
}

func (c *conductor) killed(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.lastKill = at
}

func (c *conductor) leave(ctx context.Context, n *cluster.Node) {
	if err := n.Leave(ctx); err != nil && ctx.Err() == nil {
		c.failed(err)
	}
}

func (c *conductor) reapply(ctx context.Context) {
	c.submit(ctx, 1)
}

// race applies as many manifests as there are instances.
func (c *conductor) race(ctx context.Context) {
	c.submit(ctx, len(c.cluster.URLs()))
}

func (c *conductor) submit(ctx context.Context, tried int) {
	accepted, err := c.cluster.Reapply(ctx, tried)
	if err != nil {
		c.failed(err)
	}
	spread := time.Duration(0)
	if accepted > 0 {
		ctx, cancel := context.WithTimeout(ctx, longestSpread)
		spread = c.cluster.Spread(ctx)
		cancel()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.SlowestSpread = max(c.report.SlowestSpread, spread)
	c.report.AppliesTried += tried
	c.report.AppliesAccepted += accepted
	if accepted > 1 {
		c.report.RacesWithTwoWinners++
	}
}
