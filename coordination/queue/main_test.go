package queue_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"samphirehead/coordination/queue"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "200", "rapid.steps": "100", "rapid.nofailfile": "true",
	} {
		_ = flag.Set(name, value)
	}
	flag.Parse()
	os.Exit(m.Run())
}

const poolName = id.Pool("model:m")

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func class(name id.Class, tier id.Tier, share float64) manifest.Class {
	return manifest.Class{
		Name: name, Tier: tier, FirstToken: time.Second, TotalDeadline: time.Hour,
		MinimumShare: share, QueueBound: 10000,
	}
}

func engine(name id.Upstream, slots int) queue.Upstream {
	return queue.Upstream{
		Name: name, Pools: []id.Pool{poolName}, FailureDomain: "a", Resumes: true,
		Capacity: manifest.Capacity{Slots: slots},
	}
}

// request returns an arrival with a target far away.
func request(n int, c id.Class, w id.Workspace) queue.Arrived {
	return queue.Arrived{
		Reservation: id.Reservation(fmt.Sprintf("r%d", n)), Request: id.Request(fmt.Sprintf("q%d", n)),
		Pool: poolName, Class: c, Workspace: w, Holder: "entry-1", PromptTokens: 100,
		FirstTokenBy: start.Add(time.Hour), Deadline: start.Add(2 * time.Hour),
	}
}

func configured(classes []manifest.Class, upstreams ...queue.Upstream) queue.Configured {
	return queue.Configured{Classes: classes, Upstreams: upstreams}
}

func granted(effects []queue.Effect) []queue.Granted { return pick[queue.Granted](effects) }

func pick[E queue.Effect](effects []queue.Effect) []E {
	var found []E
	for _, e := range effects {
		if x, ok := e.(E); ok {
			found = append(found, x)
		}
	}
	return found
}

func released(r id.Reservation, tokens id.Tokens) queue.Released {
	return queue.Released{Reservation: r, Tokens: tokens, Outcome: queue.Completed, FirstToken: 10 * time.Millisecond}
}
