package entries_test

import (
	"fmt"
	"testing"

	"samphirehead/coordination/entries"
	"samphirehead/coordination/membership"
	"samphirehead/state/id"
)

func members(n, domains, regions int) []membership.Record {
	all := make([]membership.Record, n)
	for i := range all {
		all[i] = membership.Record{
			Instance: id.Instance(fmt.Sprint("i", i)), Incarnation: 1, State: membership.Alive,
			FailureDomain: id.FailureDomain(fmt.Sprint("d", i%domains)),
			Region:        id.Region(fmt.Sprint("r", i%domains%regions)),
			CallerAddress: fmt.Sprint("127.0.0.1:", 1000+i), Manifest: 1, Headroom: 1,
		}
	}
	return all
}

func TestIneligibleInstancesAreExcluded(t *testing.T) {
	for name, change := range map[string]func(*membership.Record){
		"leaving":     func(r *membership.Record) { r.State = membership.Leaving },
		"suspect":     func(r *membership.Record) { r.State = membership.Suspect },
		"dead":        func(r *membership.Record) { r.State = membership.Dead },
		"starting":    func(r *membership.Record) { r.Manifest = 0 },
		"only listed": func(r *membership.Record) { r.Incarnation = 0 },
		"unreachable": func(r *membership.Record) { r.Unreachable = true },
		"no address":  func(r *membership.Record) { r.CallerAddress = "" },
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
					t.Fatalf("%s: i0 is an entry", name)
				}
			}
		}
	}
}

// countFirst counts for each instance how often it is the first entry.
func countFirst(all []membership.Record, queries int) map[id.Instance]int {
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
		t.Errorf("an instance of another failure domain comes first: %v", count)
	}
	if count["i0"] < 400 || count["i0"] > 600 {
		t.Errorf("instances with equal headroom do not come first equally often: %v", count)
	}

	all[0].Headroom = 0.25
	if count := countFirst(all, 4000); count["i0"] < 700 || count["i0"] > 900 {
		t.Errorf("i0, with a fifth of the headroom of its failure domain, does not come first in a fifth of 4000: %v", count)
	}

	all[0].Headroom, all[3].Headroom = 0, 0.05
	count = countFirst(all, 1000)
	if count["i0"]+count["i3"] > 100 {
		t.Errorf("full instances come first because of their failure domain: %v", count)
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
				t.Fatalf("%s of %s is an entry in r1", r.Instance, r.Region)
			}
		}
	}
	if len(used) != 8 {
		t.Errorf("the requests of one workspace go to %d instances", len(used))
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
