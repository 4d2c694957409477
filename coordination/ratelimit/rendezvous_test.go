package ratelimit_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"samphirehead/coordination/membership"
	"samphirehead/coordination/ratelimit"
	"samphirehead/state/id"
)

func newMembers(n int) []membership.Record {
	all := make([]membership.Record, n)
	for i := range all {
		all[i] = membership.Record{
			Instance: id.Instance(fmt.Sprintf("instance-%d", i)), Incarnation: 1, State: membership.Alive, Manifest: 1,
		}
	}
	return all
}

// TestMemberLossMovesOnlyItsWorkspaces checks that the loss of a member changes
// the home of its own workspaces only, whatever the order of the members.
func TestMemberLossMovesOnlyItsWorkspaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newMembers(rapid.IntRange(2, 12).Draw(t, "members"))
		before := ratelimit.NewRendezvous(all)
		lost := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		remaining := slices.Delete(slices.Clone(all), lost, lost+1)
		slices.Reverse(remaining)
		after := ratelimit.NewRendezvous(remaining)
		for i := range rapid.IntRange(1, 60).Draw(t, "workspaces") {
			workspace := id.Workspace(fmt.Sprint("workspace-", i))
			oldHome, newHome := ratelimit.HomeOf(workspace, before), ratelimit.HomeOf(workspace, after)
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
		change func(*membership.Record)
		owns   bool
	}{
		{"alive", func(*membership.Record) {}, true},
		{"suspect", func(r *membership.Record) { r.State = membership.Suspect }, true},
		{"leaving", func(r *membership.Record) { r.State = membership.Leaving }, false},
		{"dead", func(r *membership.Record) { r.State = membership.Dead }, false},
		{"starting", func(r *membership.Record) { r.Manifest = 0 }, false},
		{"only listed", func(r *membership.Record) { r.Incarnation = 0 }, false},
	} {
		members := newMembers(1)
		c.change(&members[0])
		if owns := ratelimit.HomeOf("w", ratelimit.NewRendezvous(members)) != ""; owns != c.owns {
			t.Errorf("%s: owns = %v", c.name, owns)
		}
	}
}
