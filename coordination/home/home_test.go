package home_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/home"
	"samphirehead/coordination/member"
	"samphirehead/state/id"
)

func members(n, domains int) []member.Record {
	all := make([]member.Record, n)
	for i := range all {
		all[i] = member.Record{
			Instance:      id.Instance(fmt.Sprintf("instance-%d", i)),
			Incarnation:   1,
			State:         member.Alive,
			FailureDomain: id.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
			Manifest:      1,
		}
	}
	return all
}

func upstreams(n, domains int) []home.Upstream {
	all := make([]home.Upstream, n)
	for i := range all {
		all[i] = home.Upstream{
			Name:          id.Upstream(fmt.Sprintf("upstream-%d", i)),
			FailureDomain: id.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
			Pools:         []id.Pool{"model:m"},
			Slots:         8,
		}
	}
	return all
}

// TestLossMovesOnlyTheOrphans checks that a member that goes moves its own
// upstreams and no other, and that order of members does not matter.
func TestLossMovesOnlyTheOrphans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "members")
		domains := rapid.IntRange(1, 3).Draw(t, "domains")
		ups := upstreams(rapid.IntRange(1, 60).Draw(t, "upstreams"), domains)
		all := members(n, domains)
		before := home.Place(ups, all)
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		left := slices.Delete(slices.Clone(all), gone, gone+1)
		slices.Reverse(left)
		after := home.Place(ups, left)
		for _, u := range ups {
			old, now := before.Owners[u.Name], after.Owners[u.Name]
			if now == "" || now == all[gone].Instance {
				t.Fatalf("%s has home %q", u.Name, now)
			}
			if old != all[gone].Instance && old != now {
				t.Fatalf("%s moved from %s to %s when %s left", u.Name, old, now, all[gone].Instance)
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
		one := members(1, 1)
		c.change(&one[0])
		if owns := home.Owner("u", "domain-0", one) != ""; owns != c.owns {
			t.Errorf("%s: owns = %v", c.name, owns)
		}
	}
}

func TestOwnerPrefersItsFailureDomain(t *testing.T) {
	all := members(12, 3)
	domain := map[id.Instance]id.FailureDomain{}
	for _, m := range all {
		domain[m.Instance] = m.FailureDomain
	}
	owned := 0
	for _, u := range upstreams(60, 3) {
		owner := home.Owner(u.Name, u.FailureDomain, all)
		if domain[owner] != u.FailureDomain {
			t.Errorf("%s of %s has its home in %s", u.Name, u.FailureDomain, domain[owner])
		}
	}
	for _, m := range all {
		owned += len(home.Owned(m.Instance, upstreams(60, 3), all))
	}
	if owned != 60 {
		t.Errorf("%d of 60 upstreams are owned once", owned)
	}
	if home.Owner("u", "domain-without-members", all) == "" {
		t.Error("an upstream in a failure domain without members has no home")
	}
}

func choice(reservation int, homes []home.PoolHome, loads map[id.Instance]home.Load) home.Choice {
	return home.Choice{
		FailureDomain: "domain-0",
		Reservation:   id.Reservation(fmt.Sprint(reservation)),
		Homes:         homes, Loads: loads,
	}
}

func TestOrderTakesTheLowerWaitOfTwo(t *testing.T) {
	homes := home.Place(upstreams(2, 2), members(2, 2)).Pools["model:m"]
	near, far := homes[0].Instance, homes[1].Instance
	for _, c := range []struct {
		name      string
		near, far home.Load
		want      id.Instance
	}{
		{"lower wait", home.Load{Known: true, Slots: 8, Wait: time.Second}, home.Load{Known: true, Slots: 8, Wait: time.Millisecond}, far},
		{"tie: own failure domain", home.Load{Known: true, Slots: 8, Free: 4}, home.Load{Known: true, Slots: 8, Free: 8}, near},
		{"own failure domain nearly full", home.Load{Known: true, Slots: 8, Free: 1}, home.Load{Known: true, Slots: 8, Free: 8}, far},
		{"own sends count", home.Load{Known: true, Slots: 8, Free: 8, Sent: 9}, home.Load{Known: true, Slots: 8, Free: 4}, far},
		{"unheard before a waiting one", home.Load{Known: true, Slots: 8, Wait: time.Second}, home.Load{}, far},
	} {
		loads := map[id.Instance]home.Load{near: c.near, far: c.far}
		if got := choice(1, homes, loads).Order()[0].Instance; got != c.want {
			t.Errorf("%s: %s first", c.name, got)
		}
	}
}

func TestOrderLeavesDoubtfulHomesForLast(t *testing.T) {
	all := members(4, 1)
	all[2].Unreachable = true
	homes := home.Place(upstreams(40, 1), all).Pools["model:m"]
	for r := range 50 {
		order := choice(r, homes, nil).Order()
		if len(order) != 4 || order[3].Instance != "instance-2" {
			t.Fatalf("order %v", order)
		}
	}
}

// TestOrderSpreadsBySlots checks that draws follow capacity when nothing is
// known of load.
func TestOrderSpreadsBySlots(t *testing.T) {
	homes := []home.PoolHome{{Instance: "a", Slots: 30}, {Instance: "b", Slots: 10}, {Instance: "c", Slots: 10}, {Instance: "d", Slots: 10}}
	inTwo := map[id.Instance]int{}
	const draws = 6000
	for r := range draws {
		for _, h := range choice(r, homes, nil).Order()[:2] {
			inTwo[h.Instance]++
		}
	}
	// With weights 3:1:1:1 "a" is among two draws in 4/5 of cases (1/2 first;
	// 1/2 * 3/5 second) and each of the others in 2/5.
	if got := float64(inTwo["a"]) / draws; got < 0.77 || got > 0.83 {
		t.Errorf("a is drawn in %.3f of cases", got)
	}
	if got := float64(inTwo["c"]) / draws; got < 0.37 || got > 0.43 {
		t.Errorf("c is drawn in %.3f of cases", got)
	}
}

func TestSubsetIsBoundedAndStable(t *testing.T) {
	all := members(400, 4)
	narrow := func(members []member.Record) map[id.Instance]bool {
		placement := home.Place(upstreams(1200, 4), members)
		return homesOf(placement.Narrow("instance-0", "domain-0", home.DefaultSubset).Pools["model:m"])
	}
	before := narrow(all)
	if len(before) != home.DefaultSubset {
		t.Fatalf("%d homes in the subset", len(before))
	}
	after := narrow(all[1:])
	kept := 0
	for h := range before {
		if after[h] {
			kept++
		}
	}
	if kept < home.DefaultSubset-1 {
		t.Errorf("one lost member replaced %d of %d homes", home.DefaultSubset-kept, home.DefaultSubset)
	}
}

// TestSubsetsOfPoolsOverlap checks that an entry that uses many pools keeps to
// few homes.
func TestSubsetsOfPoolsOverlap(t *testing.T) {
	const pools = 6
	ups := upstreams(10000, 16)
	for i := range ups {
		ups[i].Pools = []id.Pool{id.Pool(fmt.Sprint("model:", i%pools))}
	}
	narrowed := home.Place(ups, members(2800, 16)).Narrow("instance-0", "domain-0", home.DefaultSubset)
	used := map[id.Instance]bool{}
	for _, homes := range narrowed.Pools {
		for h := range homesOf(homes) {
			used[h] = true
		}
	}
	if len(used) > pools*home.DefaultSubset*2/3 {
		t.Errorf("%d homes for %d pools", len(used), pools)
	}
}

func homesOf(homes []home.PoolHome) map[id.Instance]bool {
	set := map[id.Instance]bool{}
	for _, h := range homes {
		set[h.Instance] = true
	}
	return set
}

func BenchmarkPlace(b *testing.B) {
	for _, size := range []struct{ members, upstreams, domains int }{{4, 20, 3}, {64, 240, 4}, {2800, 10000, 16}} {
		all, ups := members(size.members, size.domains), upstreams(size.upstreams, size.domains)
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				home.Place(ups, all)
			}
		})
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{4, home.DefaultSubset} {
		homes := home.Place(upstreams(n*4, 4), members(n, 4)).Pools["model:m"]
		b.Run(fmt.Sprintf("homes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for r := 0; b.Loop(); r++ {
				choice(r, homes, nil).Order()
			}
		})
	}
}

func BenchmarkNarrow(b *testing.B) {
	placement := home.Place(upstreams(10000, 16), members(2800, 16))
	b.ReportAllocs()
	for b.Loop() {
		placement.Narrow("instance-0", "domain-0", home.DefaultSubset)
	}
}
