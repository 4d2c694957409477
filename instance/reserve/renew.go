package reserve

import (
	"context"
	"maps"
	"slices"
	"time"

	"samphirehead/coordination/queue"
	"samphirehead/instance/dispatch"
	"samphirehead/protocol/peer"
	"samphirehead/state/fault"
	"samphirehead/state/id"
)

// Run renews the leases of all grants and sends releases until ctx ends. Each
// home is spoken to by itself, so that a slow one holds up no other.
func (c *Client) Run(ctx context.Context) error {
	s := &sender{client: c, done: make(chan finished), busy: make(map[task]bool)}
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.wait()
			return nil
		case <-ticker.C:
			s.renewAll(ctx)
		case <-c.updated:
			s.moveAll(ctx)
		case <-c.released:
			s.releaseAll(ctx)
		case f := <-s.done:
			s.end(ctx, f)
		}
	}
}

// sortHoldings groups the grants in use by home: those whose upstream has got a
// new home, by that, and the others.
func (c *Client) sortHoldings() (moved, byHome map[id.Instance][]holding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	moved, byHome = make(map[id.Instance][]holding), make(map[id.Instance][]holding)
	if c.view == nil {
		return moved, byHome
	}
	c.loads.keep(c.view.Addresses)
	for _, h := range c.held {
		owner := c.view.Placement.Owners[h.grant.Upstream.Name]
		if owner != "" && owner != h.home {
			moved[owner] = append(moved[owner], holding{h.grant, owner})
			continue
		}
		byHome[h.home] = append(byHome[h.home], *h)
	}
	return moved, byHome
}

// releasing lists the homes for which releases wait.
func (c *Client) releasing() []id.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.releases))
}

// registerAll tells a new home of the work that runs at its upstreams.
func (c *Client) registerAll(ctx context.Context, holdings []holding) error {
	for _, h := range holdings {
		if err := c.register(ctx, h); err != nil {
			return err
		}
		c.move(h)
	}
	return nil
}

// move notes the new home of a grant. If the grant has ended in the meantime,
// the new home has to be told.
func (c *Client) move(to holding) {
	c.mu.Lock()
	h, held := c.held[to.grant.Need.Reservation]
	if held {
		h.home = to.home
	}
	c.mu.Unlock()
	if !held {
		c.releaseAt(to.home, queue.Released{Reservation: to.grant.Need.Reservation, Outcome: queue.Cancelled})
	}
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
	c.releaseAt(at, released)
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

// releaseAt tells a home, without waiting for it. When that fails, the lease
// lapses there.
func (c *Client) releaseAt(at id.Instance, r queue.Released) {
	if at == c.Self {
		c.Local.Release([]queue.Released{r})
		return
	}
	c.mu.Lock()
	if c.releases == nil {
		c.releases = make(map[id.Instance][]queue.Released)
	}
	c.releases[at] = append(c.releases[at], r)
	c.mu.Unlock()
	select {
	case c.released <- struct{}{}:
	default:
	}
}

// sendReleases tells a home of all releases that wait for it.
func (c *Client) sendReleases(ctx context.Context, at id.Instance) error {
	c.mu.Lock()
	releases := c.releases[at]
	delete(c.releases, at)
	c.mu.Unlock()
	remote, ok := c.remote(at)
	if !ok || len(releases) == 0 {
		return nil
	}
	request := &peer.ReleaseRequest{Stamp: c.Stamp(), Releases: make([]*peer.Release, len(releases))}
	for n, r := range releases {
		request.Releases[n] = &peer.Release{
			Reservation:  string(r.Reservation),
			Tokens:       int64(r.Tokens),
			Outcome:      string(r.Outcome),
			FirstTokenUs: r.FirstToken.Microseconds(),
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := remote.Release(ctx, request)
	if err != nil {
		return fault.At("release", string(at), err)
	}
	c.Seen(resp.Stamp)
	c.heard(at, resp.Summary)
	return nil
}
