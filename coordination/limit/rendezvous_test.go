package limit_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"samphirehead/coordination/limit"
	"samphirehead/coordination/member"
	"samphirehead/state/id"
)

func newMembers(n int) []member.Record {
	all := make([]member.Record, n)
	for i := range all {
		all[i] = member.Record{
			Instance: id.Instance(fmt.Sprintf("instance-%d", i)), Incarnation: 1, State: member.Alive, Manifest: 1,
		}
	}
	return all
}

// A member that goes moves its own workspaces and no other; the order of
// members does not matter.
func TestMemberLossMovesOnlyItsWorkspaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newMembers(rapid.IntRange(2, 12).Draw(t, "members"))
		before := limit.NewRendezvous(all)
		lost := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		remaining := slices.Delete(slices.Clone(all), lost, lost+1)
		slices.Reverse(remaining)
		after := limit.NewRendezvous(remaining)
		for i := range rapid.IntRange(1, 60).Draw(t, "workspaces") {
			workspace := id.Workspace(fmt.Sprint("workspace-", i))
			oldHome, newHome := limit.HomeOf(workspace, before), limit.HomeOf(workspace, after)
			if newHome == "" || newHome == all[lost].Instance {
				t.Fatalf("%s has home %q", workspace, newHome)
			}
			if oldHome != all[lost].Instance && oldHome != newHome {
				t.Fatalf("%s moved from %s to %s when %s left", workspace, oldHome, newHome, all[lost].Instance)
			}
		}
	})
}

func TestOwnerEligibility(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*member.Record)
		owns   bool
	}{
		{"alive", func(*member.Record) {}, true},
		{"suspect", func(r *member.Record) { r.State = member.Suspect }, true},
		{"leaving", func(r *member.Record) { r.State = member.Leaving }, false},
		{"dead", func(r *member.Record) { r.State = member.Dead }, false},
		{"starting", func(r *member.Record) { r.Manifest = 0 }, false},
		{"only listed", func(r *member.Record) { r.Incarnation = 0 }, false},
	} {
		members := newMembers(1)
		c.change(&members[0])
		if owns := limit.HomeOf("w", limit.NewRendezvous(members)) != ""; owns != c.owns {
			t.Errorf("%s: owns = %v", c.name, owns)
		}
	}
}
