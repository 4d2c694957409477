package choice_test

import (
	"fmt"
	"testing"
	"time"

	"samphirehead/coordination/choice"
	"samphirehead/state/id"
)

// BenchmarkChoose chooses among some engines beside some other instances that
// use all of them.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ engines, instances int }{{18, 3}, {90, 28}, {1000, 28}} {
		b.Run(fmt.Sprintf("%d_engines_%d_instances", size.engines, size.instances), func(b *testing.B) {
			c := chooser(size.engines, 240_000)
			loads := map[id.Upstream]choice.Load{}
			for _, e := range upstreams(size.engines, 64) {
				loads[e.Upstream] = choice.Load{Running: 2}
			}
			now := start
			var n tickets
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if n.last%20 == 0 {
					for i := range size.instances {
						c.Step(now, choice.LoadReceived{Instance: id.Instance(fmt.Sprint(i)), Loads: loads})
					}
				}
				c.Choose(now, choice.Request{Ticket: n.next(), Parts: prompt(int(n.last % 100)), Objective: bulkObjective})
				c.Step(now, choice.Ended{Ticket: n.last})
			}
		})
	}
}
