// Package reserve gets slots of upstreams from homes, keeps them while answers
// stream, and moves them when a home is lost.
package reserve

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/coordination/home"
	"samphirehead/coordination/queue"
	"samphirehead/instance/dispatch"
	"samphirehead/instance/homes"
	"samphirehead/protocol/peer"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

const (
	// maxHomes bounds the homes that one reservation asks in turn.
	maxHomes      = 4
	renewInterval = 250 * time.Millisecond
	callTimeout   = 2 * time.Second
	noHomePause   = 100 * time.Millisecond
)

// errHomeLost ends waits at a home that is no longer a live member.
var errHomeLost = errors.New("the home is lost")

// View is what the members and the manifest say now. It is immutable.
type View struct {
	Placement home.Placement
	Index     *manifest.Index
	// Addresses holds the peer address of each member that is not dead.
	Addresses map[id.Instance]string
}

// Client is the dispatcher of an instance. Exported fields are set before Run.
type Client struct {
	Self          id.Instance
	FailureDomain id.FailureDomain
	// Local is the home of this very instance.
	Local *homes.Home
	// Remote returns the client of another home.
	Remote func(address string) peer.Home
	Stamp  func() *peer.Stamp
	Seen   func(s *peer.Stamp)
	// Failed hears of each home that did not answer.
	Failed func(home id.Instance)

	mu    sync.Mutex
	view  *View
	loads loadTable
	// held holds all grants in use, with the home of each.
	held map[id.Reservation]*holding
	// releases holds what each remote home is still to be told.
	releases map[id.Instance][]queue.Released
	// released has room for one signal that releases wait.
	released chan struct{}
	// updated has room for one signal that the view has changed.
	updated chan struct{}
	// lost holds, for each home, what to cancel when it is lost.
	lost map[id.Instance]*homeWaits
}

type holding struct {
	grant *dispatch.Grant
	home  id.Instance
}

type homeWaits struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

var _ dispatch.Dispatcher = (*Client)(nil)

// Init makes all methods usable before Run.
func (c *Client) Init() {
	c.released = make(chan struct{}, 1)
	c.updated = make(chan struct{}, 1)
}

// Update replaces the view; waits at homes that it lacks end, and their
// reservations go to other homes.
func (c *Client) Update(v *View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = v
	select {
	case c.updated <- struct{}{}:
	default:
	}
	for instance, waits := range c.lost {
		if _, live := v.Addresses[instance]; !live {
			waits.cancel(errHomeLost)
			delete(c.lost, instance)
		}
	}
}

// View returns the view in use, nil before the first Update.
func (c *Client) View() *View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Reserve asks homes in turn until one grants a slot. A home that should have
// answered by now is left waiting while the next one is asked; the first grant
// counts.
func (c *Client) Reserve(ctx context.Context, need queue.Arrived) (*dispatch.Grant, error) {
	need.Holder = c.Self
	need.FailureDomain = c.FailureDomain
	r := &race{client: c, need: need, began: time.Now(), candidates: c.order(need)}
	return r.run(ctx)
}

// final reports whether no other home would decide otherwise.
func final(r queue.RefusalReason) bool {
	switch r {
	case queue.RefusedUnknownClass, queue.RefusedDeadline, queue.RefusedQuarantined:
		return true
	default:
		return false
	}
}

// drawnBy makes equal requests ask the same homes, which can then keep copies
// of a request that may crash upstreams apart.
func drawnBy(need queue.Arrived) id.Reservation {
	if need.Fingerprint == 0 {
		return need.Reservation
	}
	return id.Reservation(strconv.FormatUint(uint64(need.Fingerprint), 16))
}

// order lists the homes to ask, best first.
func (c *Client) order(need queue.Arrived) []candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view == nil {
		return nil
	}
	class, _ := c.view.Index.Class(need.Class)
	choice := home.Choice{
		FailureDomain: c.FailureDomain,
		Reservation:   drawnBy(need),
		Homes:         c.view.Placement.Pools[need.Pool],
		Loads:         c.loads.of(need.Pool, class.Tier, time.Now()),
	}
	ordered := choice.Order()
	ordered = ordered[:min(len(ordered), maxHomes)]
	candidates := make([]candidate, len(ordered))
	for n, h := range ordered {
		candidates[n] = candidate{home: h, patience: patience(choice.Loads[h.Instance])}
	}
	return candidates
}

func (c *Client) ask(ctx context.Context, h home.PoolHome, need queue.Arrived) (homes.Decision, error) {
	if h.Instance == c.Self {
		return c.Local.Reserve(ctx, need)
	}
	c.noteSent(h.Instance, need.Pool)
	ctx, stop := c.untilLost(ctx, h.Instance)
	defer stop()
	message := peer.ReserveFrom(need, time.Now())
	message.Stamp = c.Stamp()
	resp, err := c.Remote(h.PeerAddress).Reserve(ctx, message)
	if err != nil {
		return nil, fault.At("reserve", string(h.Instance), err)
	}
	c.Seen(resp.Stamp)
	c.heard(h.Instance, resp.Summary)
	if resp.Upstream != "" {
		return homes.Granted{Upstream: id.Upstream(resp.Upstream), Lease: microseconds(resp.LeaseUs)}, nil
	}
	return homes.Refused{Reason: queue.RefusalReason(resp.Refusal), RetryAfter: microseconds(resp.RetryAfterUs)}, nil
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// untilLost returns a context that ends too when the home is lost.
func (c *Client) untilLost(ctx context.Context, instance id.Instance) (context.Context, func()) {
	c.mu.Lock()
	if c.lost == nil {
		c.lost = make(map[id.Instance]*homeWaits)
	}
	waits, ok := c.lost[instance]
	if !ok {
		waits = &homeWaits{}
		waits.ctx, waits.cancel = context.WithCancelCause(context.Background())
		c.lost[instance] = waits
	}
	c.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(waits.ctx, func() { cancel(errHomeLost) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// hold records a new grant. It fails when the manifest has lost the upstream
// in the meantime.
func (c *Client) hold(need queue.Arrived, at id.Instance, u id.Upstream, wait time.Duration) (*dispatch.Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	upstream, ok := c.view.Index.Upstream(u)
	if !ok {
		return nil, fault.New("look up upstream", string(u), "not in the manifest")
	}
	if c.held == nil {
		c.held = make(map[id.Reservation]*holding)
	}
	grant := dispatch.NewGrant(need, upstream, wait)
	c.held[need.Reservation] = &holding{grant: grant, home: at}
	return grant, nil
}

// Preempt asks the holders of reservations to end them early.
func (c *Client) Preempt(reservations []id.Reservation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reservations {
		if h, ok := c.held[r]; ok {
			h.grant.Preempt()
		}
	}
}
