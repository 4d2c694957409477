package registry_test

import (
	"testing"
	"time"

	"samphirehead/coordination/registry"
	"samphirehead/state/id"
)

var start = time.Unix(1000, 0)

func entry(name string) registry.Entry {
	return registry.Entry{Upstream: id.Upstream(name), Service: "s", Address: "10.0.0.1:1", Slots: 1}
}

// step is an event at a time after start.
type step struct {
	at time.Duration
	ev registry.Event
}

func TestUsable(t *testing.T) {
	both := registry.ListRead{Entries: []registry.Entry{entry("a"), entry("b")}}
	onlyA := registry.ListRead{Entries: []registry.Entry{entry("a")}}
	draining := entry("b")
	draining.Draining = true
	cases := []struct {
		name  string
		steps []step
		want  string
	}{
		{"listed", []step{{0, both}}, "ab"},
		{"removed", []step{{0, both}, {time.Second, onlyA}}, "a"},
		{"draining", []step{{0, registry.ListRead{Entries: []registry.Entry{entry("a"), draining}}}}, "a"},
		{"lapsed in an outage", []step{{0, both}, {1, registry.PlatformUnreachable{}}, {2, onlyA}}, "ab"},
		{
			"lapsed in an outage, just after its end",
			[]step{{0, both}, {1, registry.PlatformUnreachable{}}, {2, registry.PlatformReachable{}}, {3, onlyA}},
			"ab",
		},
		{
			"still missing when it must be back",
			[]step{
				{0, both},
				{1, registry.PlatformUnreachable{}},
				{2, registry.PlatformReachable{}},
				{3, onlyA},
				{2 + registry.ReregistrationGrace, registry.Ticked{}},
			},
			"a",
		},
		{
			// The store turned only this instance away: what is gone has left.
			"removed while others read the platform",
			[]step{{0, both}, {1, registry.PlatformUnreachable{ReachedByPeers: true}}, {2, registry.PlatformReachable{}}, {3, onlyA}},
			"a",
		},
		{
			"was draining before the outage",
			[]step{
				{0, registry.ListRead{Entries: []registry.Entry{entry("a"), draining}}},
				{1, registry.PlatformUnreachable{}},
				{2, onlyA},
			},
			"a",
		},
		{
			"back after the outage",
			[]step{{0, both}, {1, registry.PlatformUnreachable{}}, {2, registry.PlatformReachable{}}, {3, onlyA}, {4, both}, {time.Minute, registry.Ticked{}}},
			"ab",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r registry.Registry
			for _, s := range c.steps {
				r.Step(start.Add(s.at), s.ev)
			}
			got := ""
			for _, e := range r.Usable() {
				got += string(e.Upstream)
			}
			if got != c.want {
				t.Errorf("usable %q, want %q", got, c.want)
			}
		})
	}
}
