package upstream_test

import (
	"testing"
	"time"

	"samphirehead/coordination/upstream"
	"samphirehead/state/manifest"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func worker(slots int) *upstream.Worker {
	return &upstream.Worker{Capacity: manifest.Capacity{Slots: slots, PrefillTokensPerSecond: 1000}}
}

func TestReportsAreReadAsOfTheirTime(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := map[string]struct {
		asOf    time.Time
		running int
		now     time.Time
		free    int
	}{
		"before our starts":              {at(50), 0, at(300), 6},
		"between our starts":             {at(150), 1, at(300), 6},
		"with foreign work between them": {at(150), 4, at(300), 3},
		"after our starts":               {at(250), 2, at(300), 6},
		"a lapsed report":                {at(250), 8, at(10000), 6},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := worker(8)
			w.Start(at(100), 10, 10)
			w.Start(at(200), 10, 10)
			w.Report(tt.asOf, tt.running, 0, 0)
			if got := w.Free(tt.now); got != tt.free {
				t.Errorf("%d slots are free, want %d", got, tt.free)
			}
		})
	}
}

func TestEjectionEndsByFewRequests(t *testing.T) {
	w := worker(32)
	limits := func(now time.Time) int { return w.Limit(now) }
	w.Health.Crashed(start)
	w.Health.Crashed(start.Add(time.Millisecond))
	if limits(start.Add(400*time.Millisecond)) != 0 || limits(start.Add(600*time.Millisecond)) != 1 {
		t.Fatal("want an ejection of 500 ms, then one probe")
	}
	now := start.Add(600 * time.Millisecond)
	w.Health.Crashed(now)
	if limits(now.Add(900*time.Millisecond)) != 0 || limits(now.Add(1100*time.Millisecond)) != 1 {
		t.Fatal("want an ejection of 1 s after a second crash")
	}
	now = now.Add(1100 * time.Millisecond)
	for _, want := range []int{2, 4, 8, 32} {
		w.Health.Succeeded()
		if got := limits(now); got != want {
			t.Fatalf("limit %d after a success, want %d", got, want)
		}
	}
}

func TestSlowUpstreamIsSlowedAndRecovers(t *testing.T) {
	speeds := make([]*upstream.Speed, 4)
	for i := range speeds {
		speeds[i] = &upstream.Speed{}
	}
	play := func(slow time.Duration) {
		for range 30 {
			for _, s := range speeds[1:] {
				s.FirstToken(100*time.Millisecond, 80*time.Millisecond)
			}
			speeds[0].FirstToken(slow, 80*time.Millisecond)
		}
		upstream.Compare(start, speeds)
	}
	play(500 * time.Millisecond)
	if f := speeds[0].Factor(start); f < 3 {
		t.Errorf("factor %.1f at about four times the median", f)
	}
	if f := speeds[1].Factor(start); f != 1 {
		t.Errorf("factor %.1f at the median", f)
	}
	if f := speeds[0].Factor(start.Add(time.Minute)); f > 1.1 {
		t.Errorf("factor %.1f after a minute without samples", f)
	}
	play(100 * time.Millisecond)
	if f := speeds[0].Factor(start); f != 1 {
		t.Errorf("factor %.1f after recovery", f)
	}
}

func TestAffinityTable(t *testing.T) {
	a := &upstream.Affinity{BlockLimit: 4}
	a.Store("e0", []uint64{1, 2, 3})
	a.Store("e1", []uint64{1})
	if a.Cached("e0", []uint64{1, 2, 9}) != 2 || a.Cached("e1", []uint64{1, 2}) != 1 {
		t.Error("wrong count of leading blocks")
	}
	a.Evict("e0", []uint64{2})
	if got := a.Cached("e0", []uint64{1, 2, 3}); got != 1 {
		t.Errorf("%d blocks after the second was evicted, want 1", got)
	}
	a.Forget("e0")
	if got := a.Cached("e0", []uint64{1}); got != 0 {
		t.Errorf("%d blocks after a gap, want 0", got)
	}
	a.Store("e2", []uint64{5, 6, 7, 8})
	if got := a.Cached("e1", []uint64{1}); got != 0 {
		t.Errorf("%d blocks beyond the bound, want 0", got)
	}
}
