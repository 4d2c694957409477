package exchange_test

import (
	"math"
	"testing"

	"samphirehead/coordination/balancer"
	"samphirehead/protocol/exchange"
	"samphirehead/state/id"
)

func TestLoadRoundTrip(t *testing.T) {
	want := balancer.Load{Running: 3, Prefill: [balancer.Urgencies]id.Tokens{1: 800, 9: 2}, Sensitive: 1, Memory: 2000, Ended: 12.5, Failed: 0.5, Started: 13, DelayRatioSum: 20}
	if got := exchange.LoadToProto("u", want).AsLoad(); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Invalid counts of one peer must not corrupt the sums over all peers.
func TestInvalidCountsBecomeZero(t *testing.T) {
	for _, n := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		faulty := &exchange.Load{
			Upstream: "u", Running: 1, Ended: float32(n), Failed: float32(n), Begun: float32(n), Pace: float32(n),
			Prefill: []*exchange.Prefill{{Urgency: math.MaxUint32, Tokens: 5}},
		}
		if got, want := faulty.AsLoad(), (balancer.Load{Running: 1}); got != want {
			t.Errorf("%v: got %+v, want %+v", n, got, want)
		}
	}
}
