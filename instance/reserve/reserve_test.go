package reserve_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"samphirehead/coordination/home"
	"samphirehead/coordination/queue"
	"samphirehead/instance/dispatch"
	"samphirehead/instance/reserve"
	"samphirehead/protocol/peer"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// fakeHome grants its upstream after a delay, or never.
type fakeHome struct {
	upstream string
	// silent homes answer nothing.
	silent atomic.Bool
	delay  time.Duration
	// deaf homes do not notice that a caller is gone.
	deaf bool
	// refusal is answered instead of a grant.
	refusal string

	mu         sync.Mutex
	reserved   int
	renewed    int
	released   []string
	registered []string
	unknown    []string
}

func (h *fakeHome) wait(ctx context.Context) error {
	if h.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	if h.deaf {
		time.Sleep(h.delay)
		return nil
	}
	select {
	case <-time.After(h.delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *fakeHome) Reserve(ctx context.Context, r *peer.ReserveRequest) (*peer.ReserveResponse, error) {
	h.mu.Lock()
	h.reserved++
	if r.RunningAt != "" {
		h.registered = append(h.registered, r.Reservation)
		h.unknown = nil
	}
	h.mu.Unlock()
	if err := h.wait(ctx); err != nil {
		return nil, err
	}
	if h.refusal != "" {
		return &peer.ReserveResponse{Refusal: h.refusal}, nil
	}
	return &peer.ReserveResponse{Upstream: h.upstream}, nil
}

func (h *fakeHome) Renew(ctx context.Context, _ *peer.RenewRequest) (*peer.RenewResponse, error) {
	if h.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewed++
	return &peer.RenewResponse{Unknown: h.unknown}, nil
}

func (h *fakeHome) Release(_ context.Context, r *peer.ReleaseRequest) (*peer.ReleaseResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, one := range r.Releases {
		h.released = append(h.released, one.Reservation)
	}
	return &peer.ReleaseResponse{}, nil
}

// counts is what a home has seen.
type counts struct {
	reserved, renewed    int
	released, registered []string
}

func (h *fakeHome) counts() counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return counts{h.reserved, h.renewed, slices.Clone(h.released), slices.Clone(h.registered)}
}

func silent() *fakeHome {
	h := &fakeHome{}
	h.silent.Store(true)
	return h
}

// world is two homes, each with one upstream of the same pool.
type world struct {
	a, b   *fakeHome
	client *reserve.Client
}

const pool = id.Pool("model:m")

func newWorld(t *testing.T, a, b *fakeHome) *world {
	t.Helper()
	a.upstream, b.upstream = "ua", "ub"
	w := &world{a: a, b: b}
	w.client = &reserve.Client{
		Self:          "self",
		FailureDomain: "east",
		Remote: func(address string) peer.Home {
			if address == "a" {
				return a
			}
			return b
		},
		Stamp:  func() *peer.Stamp { return &peer.Stamp{} },
		Seen:   func(*peer.Stamp) {},
		Failed: func(id.Instance) {},
	}
	w.client.Init()
	w.update("a", "b")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.client.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return w
}

// update makes the given homes the live ones; the first one owns what others
// did.
func (w *world) update(live ...id.Instance) {
	m := &manifest.Manifest{
		Classes: []manifest.Class{{Name: "c", Tier: 1}},
		Models:  []manifest.Model{{Name: "m"}},
	}
	view := &reserve.View{
		Placement: home.Placement{Owners: map[id.Upstream]id.Instance{}, Pools: map[id.Pool][]home.PoolHome{}},
		Addresses: map[id.Instance]string{},
	}
	for _, name := range []id.Instance{"a", "b"} {
		upstream := "u" + id.Upstream(name)
		m.Upstreams = append(m.Upstreams, manifest.Upstream{Name: upstream, Kind: manifest.KindEngine, Models: []id.Model{"m"}})
		view.Placement.Owners[upstream] = live[0]
	}
	for _, name := range live {
		view.Placement.Owners["u"+id.Upstream(name)] = name
		view.Addresses[name] = string(name)
		view.Placement.Pools[pool] = append(view.Placement.Pools[pool], home.PoolHome{Instance: name, PeerAddress: string(name), FailureDomain: "east", Slots: 1})
	}
	view.Index = manifest.NewIndex(m)
	w.client.Update(view)
}

// reserveAt makes a reservation that asks the given home first.
func (w *world) reserveAt(ctx context.Context, first id.Instance, r id.Reservation) (*dispatch.Grant, error) {
	other := id.Instance("a")
	if first == "a" {
		other = "b"
	}
	// A long wait at the other home makes the first one the better choice.
	w.client.Hear(&peer.Summary{Instance: string(first), Pools: []*peer.PoolSummary{{Pool: string(pool), FreeSlots: 1, Slots: 1}}})
	w.client.Hear(&peer.Summary{Instance: string(other), Pools: []*peer.PoolSummary{{Pool: string(pool), Slots: 1, WaitUs: []int64{1e6}}}})
	return w.client.Reserve(ctx, queue.Arrived{Reservation: r, Request: "q", Pool: pool, Class: "c"})
}

func TestSilentHomeIsOvertaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, silent(), &fakeHome{})
		began := time.Now()
		grant, err := w.reserveAt(t.Context(), "a", "r")
		if err != nil || grant.Upstream.Name != "ub" {
			t.Fatalf("grant %v, %v", grant, err)
		}
		if waited := time.Since(began); waited > 450*time.Millisecond {
			t.Errorf("waited %v, which misses the tightest target", waited)
		}
	})
}

// TestLateGrantIsGivenBack checks that the slot of a home that was overtaken
// is free again at once.
func TestLateGrantIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, &fakeHome{delay: 400 * time.Millisecond, deaf: true}, &fakeHome{})
		if _, err := w.reserveAt(t.Context(), "a", "r"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if got := w.a.counts().released; !slices.Equal(got, []string{"r"}) {
			t.Errorf("released at the late home: %v, want r", got)
		}
		if got := w.b.counts().released; len(got) != 0 {
			t.Errorf("released at the home in use: %v, want nothing", got)
		}
	})
}

func TestRefusalGoesToTheNextHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, &fakeHome{refusal: string(queue.RefusedQueueFull)}, &fakeHome{})
		grant, err := w.reserveAt(t.Context(), "a", "r")
		if err != nil || grant.Upstream.Name != "ub" {
			t.Fatalf("grant %v, %v", grant, err)
		}
	})
}

func TestRefusalByAllHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, &fakeHome{refusal: string(queue.RefusedQueueFull)}, &fakeHome{refusal: string(queue.RefusedNoUpstream)})
		_, err := w.reserveAt(t.Context(), "a", "r")
		var refusal *dispatch.Refusal
		if !errors.As(err, &refusal) || refusal.Reason != queue.RefusedQueueFull {
			t.Fatalf("error %v, want a full queue", err)
		}
	})
}

// TestLostHomeEndsItsWaits checks that a reservation that waits at both homes
// gets what remains when one is lost.
func TestLostHomeEndsItsWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, silent(), &fakeHome{refusal: string(queue.RefusedQueueFull)})
		lost := time.AfterFunc(time.Second, func() { w.update("b") })
		defer lost.Stop()
		_, err := w.reserveAt(t.Context(), "a", "r")
		var refusal *dispatch.Refusal
		if !errors.As(err, &refusal) {
			t.Fatalf("error %v, want a refusal", err)
		}
	})
}

// TestSilentHomeHoldsUpNoOther checks that renewals at one home go on while
// another one answers nothing.
func TestSilentHomeHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, &fakeHome{}, &fakeHome{})
		if _, err := w.reserveAt(t.Context(), "a", "r"); err != nil {
			t.Fatal(err)
		}
		if _, err := w.reserveAt(t.Context(), "b", "r2"); err != nil {
			t.Fatal(err)
		}
		w.a.silent.Store(true)
		before := w.b.counts().renewed
		time.Sleep(2 * time.Second)
		if got := w.b.counts().renewed - before; got < 4 {
			t.Errorf("%d renewals in the time of a lease", got)
		}
	})
}

func TestForgottenReservationIsRegisteredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, &fakeHome{}, &fakeHome{})
		grant, err := w.reserveAt(t.Context(), "a", "r")
		if err != nil {
			t.Fatal(err)
		}
		w.a.mu.Lock()
		w.a.unknown = []string{string(grant.Need.Reservation)}
		w.a.mu.Unlock()
		time.Sleep(time.Second)
		if len(w.a.counts().registered) != 1 {
			t.Errorf("registered %d times, want once", len(w.a.counts().registered))
		}
	})
}

func TestGrantMovesToTheNewHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, &fakeHome{}, &fakeHome{})
		grant, err := w.reserveAt(t.Context(), "a", "r")
		if err != nil {
			t.Fatal(err)
		}
		w.update("b")
		time.Sleep(time.Second)
		if len(w.b.counts().registered) != 1 {
			t.Fatalf("registered %d times at the new home, want once", len(w.b.counts().registered))
		}
		w.client.Release(grant, dispatch.Ending{Outcome: queue.Completed})
		time.Sleep(time.Second)
		if len(w.b.counts().released) != 1 {
			t.Errorf("%d releases at the new home, want one", len(w.b.counts().released))
		}
	})
}

func TestPreemptReachesTheGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, &fakeHome{}, &fakeHome{})
		grant, err := w.reserveAt(t.Context(), "a", "r")
		if err != nil {
			t.Fatal(err)
		}
		w.client.Preempt([]id.Reservation{grant.Need.Reservation})
		if grant.Preempted().Err() == nil {
			t.Error("the grant is not preempted")
		}
	})
}
