package reserve

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/queue"
	"samphirehead/instance/dispatch"
	"samphirehead/protocol/peer"
	"samphirehead/state/fault"
	"samphirehead/state/id"
)

// Run renews the leases of all grants until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.renewAll(ctx)
		}
	}
}

// renewAll moves grants whose upstream has a new home, then renews the rest,
// all homes at the same time.
func (c *Client) renewAll(ctx context.Context) {
	moved, byHome := c.sortHoldings()
	done := make(chan error)
	for _, m := range moved {
		go func() { done <- c.register(ctx, m) }()
	}
	for instance, holdings := range byHome {
		go func() { done <- c.renew(ctx, instance, holdings) }()
	}
	for range len(moved) + len(byHome) {
		if err := <-done; err != nil && ctx.Err() == nil {
			klog.V(2).InfoS("renewal failed", "err", err)
		}
	}
}

// sortHoldings takes the homes of moved grants from the placement, and groups
// the others by home.
func (c *Client) sortHoldings() (moved []holding, byHome map[id.Instance][]holding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byHome = make(map[id.Instance][]holding)
	if c.view == nil {
		return nil, byHome
	}
	c.loads.keep(c.view.Addresses)
	for _, h := range c.held {
		owner := c.view.Placement.Owners[h.grant.Upstream.Name]
		if owner != "" && owner != h.home {
			h.home = owner
			moved = append(moved, *h)
			continue
		}
		byHome[h.home] = append(byHome[h.home], *h)
	}
	return moved, byHome
}

func (c *Client) renew(ctx context.Context, at id.Instance, holdings []holding) error {
	unknown, err := c.renewAt(ctx, at, holdings)
	if err != nil {
		return err
	}
	for _, r := range unknown {
		for _, h := range holdings {
			if h.grant.Need.Reservation != r || !c.holds(r) {
				continue
			}
			if err := c.register(ctx, h); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Client) holds(r id.Reservation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.held[r]
	return ok
}

func (c *Client) renewAt(ctx context.Context, at id.Instance, holdings []holding) ([]id.Reservation, error) {
	if at == c.Self {
		progress := make([]queue.Progressed, len(holdings))
		for i, h := range holdings {
			progress[i] = queue.Progressed{Reservation: h.grant.Need.Reservation, Tokens: h.grant.Delivered()}
		}
		return c.Local.Progress(progress), nil
	}
	remote, ok := c.remote(at)
	if !ok {
		return nil, nil
	}
	request := &peer.RenewRequest{Stamp: c.Stamp(), Progress: make([]*peer.Progress, len(holdings))}
	for i, h := range holdings {
		request.Progress[i] = &peer.Progress{Reservation: string(h.grant.Need.Reservation), Tokens: int64(h.grant.Delivered())}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := remote.Renew(ctx, request)
	if err != nil {
		return nil, fault.At("renew", string(at), err)
	}
	c.Seen(resp.Stamp)
	c.heard(at, resp.Summary)
	unknown := make([]id.Reservation, len(resp.Unknown))
	for i, r := range resp.Unknown {
		unknown[i] = id.Reservation(r)
	}
	return unknown, nil
}

func (c *Client) remote(at id.Instance) (peer.Home, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view == nil {
		return nil, false
	}
	address, ok := c.view.Addresses[at]
	if !ok {
		return nil, false
	}
	return c.Remote(address), true
}

// register tells a home of work that runs at one of its upstreams.
func (c *Client) register(ctx context.Context, h holding) error {
	need := h.grant.Need
	need.ResumeOffset = h.grant.Delivered()
	if h.home == c.Self {
		c.Local.Register(queue.Registered{Arrived: need, Upstream: h.grant.Upstream.Name, Tokens: need.ResumeOffset})
		return nil
	}
	remote, ok := c.remote(h.home)
	if !ok {
		return nil
	}
	request := peer.ReserveFrom(need, time.Now())
	request.Stamp = c.Stamp()
	request.RunningAt = string(h.grant.Upstream.Name)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := remote.Reserve(ctx, request)
	return fault.At("register", string(h.home), err)
}

// Release ends the use of a grant.
func (c *Client) Release(g *dispatch.Grant, e dispatch.Ending) {
	at, ok := c.drop(g.Need.Reservation)
	if !ok {
		return
	}
	released := queue.Released{
		Reservation: g.Need.Reservation,
		Tokens:      e.Tokens,
		Outcome:     e.Outcome,
		FirstToken:  e.FirstToken,
	}
	if at == c.Self {
		c.Local.Release([]queue.Released{released})
		return
	}
	if remote, ok := c.remote(at); ok {
		c.releaseAt(at, remote, released)
	}
}

func (c *Client) drop(r id.Reservation) (id.Instance, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.held[r]
	if !ok {
		return "", false
	}
	delete(c.held, r)
	return h.home, true
}

// releaseAt tells a remote home. When that fails, the lease lapses there.
func (c *Client) releaseAt(at id.Instance, remote peer.Home, r queue.Released) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := remote.Release(ctx, &peer.ReleaseRequest{Stamp: c.Stamp(), Releases: []*peer.Release{{
		Reservation:  string(r.Reservation),
		Tokens:       int64(r.Tokens),
		Outcome:      string(r.Outcome),
		FirstTokenUs: r.FirstToken.Microseconds(),
	}}})
	if err != nil {
		klog.V(2).InfoS("release failed", "reservation", r.Reservation, "home", at, "err", err)
		return
	}
	c.Seen(resp.Stamp)
	c.heard(at, resp.Summary)
}
