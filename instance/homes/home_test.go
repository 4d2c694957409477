package homes_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"samphirehead/coordination/queue"
	"samphirehead/coordination/suspect"
	"samphirehead/instance/homes"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

const pool = id.Pool("model:m")

// newHome returns a running home with one slot.
func newHome(t *testing.T) *homes.Home {
	t.Helper()
	h := &homes.Home{
		Queue:   &queue.Queue{Suspects: &suspect.Tracker{}},
		Preempt: func(id.Instance, []id.Reservation) {},
		Spread:  func([]suspect.Record) {},
	}
	h.Configure(
		[]manifest.Class{{Name: "c", Tier: 1, FirstToken: time.Minute, TotalDeadline: time.Hour, QueueBound: 10}},
		[]queue.Upstream{{Name: "u", Pools: []id.Pool{pool}, Capacity: manifest.Capacity{Slots: 1}}},
	)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return h
}

func need(r id.Reservation) queue.Arrived {
	now := time.Now()
	return queue.Arrived{
		Reservation: r, Pool: pool, Class: "c", Workspace: "w", Holder: "e",
		FirstTokenBy: now.Add(time.Minute), Deadline: now.Add(time.Hour),
	}
}

func reserve(ctx context.Context, t *testing.T, h *homes.Home, r id.Reservation) homes.Decision {
	t.Helper()
	d, err := h.Reserve(ctx, need(r))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestReleaseLetsTheNextIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHome(t)
		reserve(t.Context(), t, h, "first")
		release := time.AfterFunc(time.Second, func() {
			h.Release([]queue.Released{{Reservation: "first", Outcome: queue.Completed}})
		})
		defer release.Stop()
		if _, ok := reserve(t.Context(), t, h, "second").(homes.Granted); !ok {
			t.Error("the freed slot was not granted")
		}
	})
}

// TestGoneCallerLeavesNothing checks that a wait whose caller goes away takes
// no slot.
func TestGoneCallerLeavesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHome(t)
		reserve(t.Context(), t, h, "first")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := h.Reserve(ctx, need("gone")); err == nil {
			t.Fatal("a wait without a caller ended without an error")
		}
		h.Release([]queue.Released{{Reservation: "first", Outcome: queue.Completed}})
		if n := h.Held(); n != 0 {
			t.Errorf("%d reservations held", n)
		}
		if _, ok := reserve(t.Context(), t, h, "next").(homes.Granted); !ok {
			t.Error("the slot is not free")
		}
	})
}

// TestLapsedLeaseIsUnknown checks that a holder which was silent for too long
// learns that its slot is gone.
func TestLapsedLeaseIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHome(t)
		reserve(t.Context(), t, h, "r")
		if got := h.Progress([]queue.Progressed{{Reservation: "r", Tokens: 1}}); len(got) != 0 {
			t.Fatalf("%v unknown right after the grant", got)
		}
		time.Sleep(time.Minute)
		if got := h.Progress([]queue.Progressed{{Reservation: "r", Tokens: 2}}); !slices.Equal(got, []id.Reservation{"r"}) {
			t.Errorf("unknown %v, want r", got)
		}
	})
}

func TestRegisteredWorkHoldsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHome(t)
		h.Register(queue.Registered{Arrived: need("r"), Upstream: "u"})
		if free := h.Summary()[0].FreeSlots; free != 0 {
			t.Errorf("%d free slots, want none", free)
		}
		h.LoseHolder("e")
		time.Sleep(time.Minute)
		if free := h.Summary()[0].FreeSlots; free != 1 {
			t.Errorf("%d free slots after the holder's death, want 1", free)
		}
	})
}
