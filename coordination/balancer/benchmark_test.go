package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"samphirehead/coordination/balancer"
	"samphirehead/state/id"
)

// BenchmarkChoose measures a choice among many engines, with load reports of other
// instances for each of them.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ engines, instances int }{{18, 3}, {90, 28}, {1000, 28}} {
		b.Run(fmt.Sprintf("%d_engines_%d_instances", size.engines, size.instances), func(b *testing.B) {
			c := chooser(size.engines, 240_000)
			loads := map[id.Upstream]balancer.Load{}
			for _, e := range upstreams(size.engines, 64) {
				loads[e.Upstream] = balancer.Load{Running: 2}
			}
			now := start
			var n tickets
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if n.last%20 == 0 {
					for i := range size.instances {
						c.Step(now, balancer.LoadReceived{Instance: id.Instance(fmt.Sprint(i)), Loads: loads})
					}
				}
				c.Choose(now, balancer.Request{Ticket: n.next(), Parts: prompt(int(n.last % 100)), Objective: bulkObjective})
				c.Step(now, balancer.Ended{Ticket: n.last})
			}
		})
	}
}
