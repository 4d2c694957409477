package membership_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"samphirehead/coordination/membership"
	"samphirehead/state/id"
)

var sizes = []int{4, 64, 2800}

// newMachine returns a machine that knows n instances, none of whose records is
// queued for gossip but its own.
func newMachine(n int) *membership.Machine {
	m := &membership.Machine{
		Self:   membership.Record{Instance: "self", Incarnation: 1, State: membership.Alive, Manifest: 1},
		Random: rand.New(rand.NewPCG(1, 1)),
	}
	now := time.Unix(1000, 0)
	for i := range n - 1 {
		name := fmt.Sprintf("entry-%05d", i)
		r := membership.Record{
			Instance: id.Instance(name), Incarnation: 1, State: membership.Alive, Manifest: 1,
			FailureDomain: "doto-a", Region: "doto", CallerAddress: name + ":1", PeerAddress: name + ":2",
		}
		m.Step(now, membership.ProbeAnswered{Page: []membership.Record{r}})
	}
	return m
}

func BenchmarkTick(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			m := newMachine(n)
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(membership.TickInterval)
				for _, effect := range m.Step(now, membership.Ticked{}) {
					if p, ok := effect.(membership.SendProbe); ok {
						m.Step(now, membership.ProbeAnswered{Number: p.Number, From: p.To, Reached: true})
					}
				}
			}
		})
	}
}

func BenchmarkProbeReceived(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			m := newMachine(n)
			now := time.Unix(1000, 0)
			records := m.Records()[:min(n, membership.MaxRecords)]
			b.ReportAllocs()
			for b.Loop() {
				m.Step(now, membership.ProbeReceived{From: records[0].Instance, Records: records})
			}
		})
	}
}

func BenchmarkRecords(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			m := newMachine(n)
			b.ReportAllocs()
			for b.Loop() {
				m.Records()
			}
		})
	}
}

func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				m := newMachine(n)
				b.ReportMetric(float64(heapBytes()-before)/1024, "heap-KB")
				runtime.KeepAlive(m)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
