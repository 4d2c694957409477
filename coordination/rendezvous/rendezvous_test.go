package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"samphirehead/coordination/rendezvous"
	"samphirehead/state/id"
)

// Guards against homes that differ between instances, or move without need: the order of
// the instances does not matter, and the end of another instance moves no home.
func TestHomesAreStable(t *testing.T) {
	instances := []id.Instance{"a", "b", "c", "d", "e"}
	reversed := slices.Clone(instances)
	slices.Reverse(reversed)
	used := make(map[id.Instance]bool)
	for i := range 100 {
		key := fmt.Sprint("key", i)
		homes := rendezvous.Homes(key, instances, 3)
		used[homes[0]] = true
		if got := rendezvous.Homes(key, reversed, 3); !slices.Equal(got, homes) || rendezvous.Home(key, reversed) != homes[0] {
			t.Errorf("%s: homes %v and %v", key, homes, got)
		}
		last := rendezvous.Homes(key, instances, len(instances)+1)[len(instances)-1]
		remaining := slices.DeleteFunc(slices.Clone(instances), func(i id.Instance) bool { return i == last })
		if got := rendezvous.Homes(key, remaining, 3); !slices.Equal(got, homes) {
			t.Errorf("%s: homes %v after the end of %s, %v before", key, got, last, homes)
		}
	}
	if len(used) != len(instances) {
		t.Errorf("only %d of %d instances are homes", len(used), len(instances))
	}
	if got := rendezvous.Home("key", nil); got != "" {
		t.Errorf("home %q without instances", got)
	}
}
