package routing_test

import (
	"testing"

	"samphirehead/state/routing"
)

func newTable() *routing.Table {
	targets := []routing.Target{{Service: "s", Weight: 1}}
	priority := 0
	return routing.New(routing.Rules{
		Version: 3,
		Routes: []routing.Route{
			{Name: "root", Host: "a", Prefix: "/", Targets: targets, Priority: 2},
			{Name: "deep", Host: "a", Prefix: "/x/y/", Targets: targets},
			{Name: "mid", Host: "a", Prefix: "/x/", Targets: targets},
			{Name: "other", Host: "b", Prefix: "/x/", Targets: targets},
			{Name: "nowhere", Host: "b", Prefix: "/x/z/"},
		},
		RequireKeys: true,
		Workspaces:  map[string]routing.Workspace{"k": {Name: "w", Priority: &priority}},
	})
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a", "/x/y/z", "deep"},
		{"a", "/x/y", "mid"},
		{"a", "/x/", "mid"},
		{"a", "/q", "root"},
		{"b", "/x/z/1", "other"},
		{"b", "/q", ""},
		{"c", "/x/", ""},
	} {
		got := ""
		if route := newTable().Match(c.host, c.path); route != nil {
			got = route.Name
		}
		if got != c.want {
			t.Errorf("%s%s goes to %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestKeys(t *testing.T) {
	w, known := newTable().Workspace("k")
	if !known || w.Name != "w" || *w.Priority != 0 {
		t.Errorf("workspace %v, %t", w, known)
	}
	if _, known := newTable().Workspace("other"); known {
		t.Error("an unknown key is known")
	}
	if _, known := routing.New(routing.Rules{}).Workspace("any"); !known {
		t.Error("a table without keys asks for one")
	}
}

// Pattern: one workspace sends long prompts and chat at once. The priority of
// the workspace goes first; within it the routes keep their order, so that an
// engine does not read the long prompts first.
func TestUrgencyOrdersByWorkspaceThenRoute(t *testing.T) {
	targets := []routing.Target{{Service: "s", Weight: 1}}
	first, second := 0, 1
	rules := routing.Rules{
		Routes: []routing.Route{
			{Name: "brief", Host: "a", Prefix: "/b", Targets: targets, Priority: 0},
			{Name: "chat", Host: "a", Prefix: "/c", Targets: targets, Priority: 1},
			{Name: "survey", Host: "a", Prefix: "/s", Targets: targets, Priority: 2},
		},
		RequireKeys: true,
		Workspaces: map[string]routing.Workspace{
			"k0": {Name: "w0", Priority: &first}, "k1": {Name: "w1", Priority: &second}, "k2": {Name: "w2"},
		},
	}
	table := routing.New(rules)
	const levels = 10
	last := -1
	for _, c := range []struct{ key, path string }{
		{"k0", "/b"}, {"k0", "/c"}, {"k0", "/s"}, {"k1", "/b"}, {"k1", "/c"}, {"k1", "/s"}, {"k2", "/s"},
	} {
		w, _ := table.Workspace(c.key)
		got := table.Urgency(table.Match("a", c.path), w, levels)
		if got <= last || got >= levels {
			t.Errorf("%s of %s has urgency %d, the one before it %d", c.path, c.key, got, last)
		}
		last = got
	}
	// A workspace without a priority has that of the route.
	w, _ := table.Workspace("k2")
	if got, want := table.Urgency(table.Match("a", "/b"), w, levels), table.Urgency(table.Match("a", "/b"), nil, levels); got != want {
		t.Errorf("urgency %d without a workspace's priority, want %d", got, want)
	}
}

func TestUrgencyWithMoreRanksThanLevels(t *testing.T) {
	targets := []routing.Target{{Service: "s", Weight: 1}}
	var rules routing.Rules
	for i := range 37 {
		rules.Routes = append(rules.Routes, routing.Route{Host: "a", Prefix: "/" + string(rune('A'+i)), Targets: targets, Priority: i})
	}
	table := routing.New(rules)
	last := 0
	for i := range 37 {
		got := table.Urgency(table.Match("a", "/"+string(rune('A'+i))), nil, 10)
		if got < last || got > last+1 {
			t.Errorf("priority %d has urgency %d, the one before it %d", i, got, last)
		}
		last = got
	}
	if last != 9 {
		t.Errorf("the last of 37 has urgency %d", last)
	}
}

func TestPickServiceByWeight(t *testing.T) {
	route := routing.Route{Targets: []routing.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for draw, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999999: "b"} {
		if got := route.PickService(draw); string(got) != want {
			t.Errorf("draw %v goes to %s, want %s", draw, got, want)
		}
	}
}
