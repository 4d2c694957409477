package exchange_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"samphirehead/protocol/exchange"
)

// state is a message with some upstreams in use and as many other members as a
// message holds at most.
func newState(upstreams int) *exchange.State {
	member := func(i int) *exchange.Member {
		return &exchange.Member{
			Instance: fmt.Sprintf("front-doto-a-%d", i), Incarnation: 1764816000000000000, Sequence: 40_000,
			FailureDomain: "doto-a", CallerAddress: "10.100.100.100:8227", PeerAddress: "10.100.100.100:8229", Ready: true,
		}
	}
	s := &exchange.State{Self: member(0), Demand: map[string]float32{"pool": 1.5}}
	for i := range 16 {
		s.Members = append(s.Members, member(i+1))
	}
	for i := range upstreams {
		s.Loads = append(s.Loads, &exchange.Load{
			Upstream: fmt.Sprintf("i-%010x", i), Running: 9, Sensitive: 4, Memory: 40_000, Ended: 12.5, Failed: 0.5, Begun: 12.5, Pace: 14.5,
			Prefill: []*exchange.Prefill{{Urgency: 0, Tokens: 500}, {Urgency: 2, Tokens: 9000}},
		})
	}
	return s
}

// BenchmarkState encodes and decodes one message, and tells its bytes.
func BenchmarkState(b *testing.B) {
	for _, upstreams := range []int{0, 21, 64, 210, 2100} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			s := newState(upstreams)
			size := 0
			for b.Loop() {
				data, err := proto.Marshal(s)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				if err := proto.Unmarshal(data, &exchange.State{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes/message")
		})
	}
}
