package reserve_test

import (
	"testing"
	"testing/synctest"
	"time"

	"samphirehead/protocol/peer"
)

func TestDemandCountsUsedSlotsAndWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, &fakeHome{}, &fakeHome{})
		hear := func(instance string, free int32, wait time.Duration) {
			w.client.Hear(&peer.Summary{Instance: instance, Pools: []*peer.PoolSummary{{
				Pool: string(pool), FreeSlots: free, Slots: 10, WaitUs: []int64{0, wait.Microseconds()},
			}}})
		}
		hear("a", 4, 0)
		hear("b", 0, 500*time.Millisecond)
		if got := w.client.Demand()[pool]; got != 6+10+5 {
			t.Errorf("demand %v, want 21", got)
		}
		time.Sleep(1500 * time.Millisecond)
		hear("a", 4, time.Hour)
		time.Sleep(time.Second)
		if got := w.client.Demand()[pool]; got != 6+10 {
			t.Errorf("demand %v, want 16 of the home that was heard of lately", got)
		}
	})
}
