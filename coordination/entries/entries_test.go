package entries_test

import (
	"fmt"
	"testing"

	"samphirehead/coordination/entries"
	"samphirehead/coordination/member"
	"samphirehead/state/id"
)

func members(n, domains, regions int) []member.Record {
	all := make([]member.Record, n)
	for i := range all {
		all[i] = member.Record{
			Instance: id.Instance(fmt.Sprint("i", i)), Incarnation: 1, State: member.Alive,
			FailureDomain: id.FailureDomain(fmt.Sprint("d", i%domains)),
			Region:        id.Region(fmt.Sprint("r", i%domains%regions)),
			CallerAddress: fmt.Sprint("127.0.0.1:", 1000+i), Manifest: 1, Headroom: 1,
		}
	}
	return all
}

func TestIneligibleInstancesAreExcluded(t *testing.T) {
	for name, change := range map[string]func(*member.Record){
		"leaving":     func(r *member.Record) { r.State = member.Leaving },
		"suspect":     func(r *member.Record) { r.State = member.Suspect },
		"dead":        func(r *member.Record) { r.State = member.Dead },
		"starting":    func(r *member.Record) { r.Manifest = 0 },
		"only listed": func(r *member.Record) { r.Incarnation = 0 },
		"unreachable": func(r *member.Record) { r.Unreachable = true },
		"no address":  func(r *member.Record) { r.CallerAddress = "" },
	} {
		all := members(4, 3, 1)
		change(&all[0])
		for seed := range uint64(100) {
			q := entries.Query{Workspace: "w", FailureDomain: "d0", Region: "r0", Members: all, Seed: seed}
			got := entries.Rank(q)
			if len(got) != 3 {
				t.Fatalf("%s: %d entries", name, len(got))
			}
			for _, r := range got {
				if r.Instance == "i0" {
					t.Fatalf("%s: named", name)
				}
			}
		}
	}
}

// firsts counts how often each instance is named first.
func countFirst(all []member.Record, queries int) map[id.Instance]int {
	count := map[id.Instance]int{}
	for seed := range uint64(queries) {
		q := entries.Query{Workspace: "w", FailureDomain: "d0", Region: "r0", Members: all, Seed: seed}
		count[entries.Rank(q)[0].Instance]++
	}
	return count
}

func TestOrder(t *testing.T) {
	all := members(6, 3, 1)
	count := countFirst(all, 1000)
	if count["i0"]+count["i3"] != 1000 {
		t.Errorf("another failure domain goes first: %v", count)
	}
	if count["i0"] < 400 || count["i0"] > 600 {
		t.Errorf("equal headroom is not drawn equally: %v", count)
	}

	all[0].Headroom = 0.25
	if count := countFirst(all, 4000); count["i0"] < 700 || count["i0"] > 900 {
		t.Errorf("i0 has a fifth of the headroom of its failure domain: %v of 4000", count)
	}

	all[0].Headroom, all[3].Headroom = 0, 0.05
	count = countFirst(all, 1000)
	if count["i0"]+count["i3"] > 100 {
		t.Errorf("full instances go first for being near: %v", count)
	}
}

func TestWorkspaceShards(t *testing.T) {
	all := members(700, 16, 4)
	used := map[id.Instance]bool{}
	for seed := range uint64(2000) {
		q := entries.Query{Workspace: "w", FailureDomain: "d1", Region: "r1", Members: all, Seed: seed}
		for _, r := range entries.Rank(q) {
			used[r.Instance] = true
			if r.Region != "r1" {
				t.Fatalf("%s of %s is named in r1", r.Instance, r.Region)
			}
		}
	}
	if len(used) != 8 {
		t.Errorf("one workspace is sent to %d instances", len(used))
	}
	other := entries.Query{Workspace: "another", FailureDomain: "d1", Region: "r1", Members: all}
	shared := 0
	for _, r := range entries.Rank(other) {
		if used[r.Instance] {
			shared++
		}
	}
	if shared > 1 {
		t.Errorf("two workspaces share %d of %d entries", shared, entries.MaxEntries)
	}
}

func TestOneEntryPerAddress(t *testing.T) {
	all := members(2, 1, 1)
	all[1].CallerAddress = all[0].CallerAddress
	if got := entries.Rank(entries.Query{Workspace: "w", Members: all}); len(got) != 1 {
		t.Errorf("%d entries at one address", len(got))
	}
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{4, 64, 2800} {
		all := members(n, 16, 4)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for seed := uint64(0); b.Loop(); seed++ {
				entries.Rank(entries.Query{Workspace: "w", FailureDomain: "d1", Region: "r1", Members: all, Seed: seed})
			}
		})
	}
}
