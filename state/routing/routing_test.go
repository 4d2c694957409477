package routing_test

import (
	"testing"

	"samphirehead/state/routing"
)

func table() *routing.Table {
	one := []routing.Target{{Service: "s", Weight: 1}}
	urgent := 0
	return routing.New(routing.Rules{
		Version: 3,
		Routes: []routing.Route{
			{Name: "root", Host: "a", Prefix: "/", Targets: one, Priority: 2},
			{Name: "deep", Host: "a", Prefix: "/x/y/", Targets: one},
			{Name: "mid", Host: "a", Prefix: "/x/", Targets: one},
			{Name: "other", Host: "b", Prefix: "/x/", Targets: one},
			{Name: "nowhere", Host: "b", Prefix: "/x/z/"},
		},
		Keyed:      true,
		Workspaces: map[string]routing.Workspace{"k": {Name: "w", Priority: &urgent}},
	})
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
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
		if route := table().Match(c.host, c.path); route != nil {
			got = route.Name
		}
		if got != c.want {
			t.Errorf("%s%s goes to %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestKeys(t *testing.T) {
	w, known := table().Workspace("k")
	if !known || w.Name != "w" {
		t.Errorf("workspace %v, %t", w, known)
	}
	if _, known := table().Workspace("other"); known {
		t.Error("an unknown key is known")
	}
	if _, known := routing.New(routing.Rules{}).Workspace("any"); !known {
		t.Error("a table without keys asks for one")
	}
	route := table().Match("a", "/q")
	if got := route.PriorityFor(w); got != 0 {
		t.Errorf("priority %d, want that of the workspace", got)
	}
	if got := route.PriorityFor(nil); got != 2 {
		t.Errorf("priority %d, want that of the route", got)
	}
}

func TestTargetFollowsWeights(t *testing.T) {
	route := routing.Route{Targets: []routing.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for draw, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999999: "b"} {
		if got := route.Target(draw); string(got) != want {
			t.Errorf("draw %v goes to %s, want %s", draw, got, want)
		}
	}
}
