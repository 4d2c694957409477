package capacity

import (
	"cmp"
	"slices"
	"strings"

	"samphirehead/state/id"
)

// firmShare is the share of the upstreams for grown demand that are not to be reclaimed. They
// carry the usual demand, if at a higher use.
const firmShare = 0.35

// market is what a plan goes by.
type market struct {
	// kept is how many upstreams the demand needs, and grown how many it may soon need.
	kept, grown float64
	bounds      Bounds
	prices      map[id.FailureDomain]float64
	// domains are all, and withSpot those in which spot upstreams can be had.
	domains, withSpot []id.FailureDomain
}

// plan returns the cheapest targets by failure domain that carry the demand, also after one
// failure domain or all spot upstreams of one have been lost.
func (m market) plan() map[id.FailureDomain]Counts {
	domains, withSpot := m.byPrice(m.domains), m.byPrice(m.withSpot)
	targets := make(map[id.FailureDomain]Counts, len(domains))
	firm := m.firm()
	firmShares := spread(firm, domains)
	spotShares := spread(m.spot(firm), withSpot)
	for _, domain := range domains {
		targets[domain] = m.bounded(Counts{Spot: spotShares[domain], Others: firmShares[domain]})
	}
	return targets
}

// firm returns how many upstreams are needed that can't be reclaimed.
func (m market) firm() float64 {
	switch len(m.withSpot) {
	case 0:
		return max(m.grown, withoutOne(m.kept, len(m.domains)))
	case 1:
		return max(m.kept, m.grown*firmShare)
	}
	return m.grown * firmShare
}

// spot returns how many spot upstreams are needed beside the firm ones: one failure domain
// may lose its own. While one has lost them, that reserve is in use; it is not ordered again
// elsewhere, as new upstreams have read no prompts.
func (m market) spot(firm float64) float64 {
	rest := max(m.grown-firm, 0)
	if len(m.withSpot) < len(m.domains) {
		return rest
	}
	return withoutOne(rest, len(m.withSpot))
}

// withoutOne returns how many upstreams over some failure domains leave a number of them
// when one domain is lost.
func withoutOne(upstreams float64, domains int) float64 {
	if domains <= 1 {
		return upstreams
	}
	return upstreams * float64(domains) / float64(domains-1)
}

// spread divides upstreams over failure domains; the first ones get what remains.
func spread(upstreams float64, domains []id.FailureDomain) map[id.FailureDomain]int {
	shares := make(map[id.FailureDomain]int, len(domains))
	if len(domains) == 0 {
		return shares
	}
	total := ceil(upstreams)
	for i, domain := range domains {
		shares[domain] = total / len(domains)
		if i < total%len(domains) {
			shares[domain]++
		}
	}
	return shares
}

// bounded keeps a target within the bounds of its failure domain. Where there have to be
// upstreams, one at least is not to be reclaimed.
func (m market) bounded(t Counts) Counts {
	t.Others = min(max(t.Others, min(m.bounds.Min, 1)), m.bounds.Max)
	t.Spot = min(t.Spot, m.bounds.Max-t.Others)
	missing := max(m.bounds.Min-t.Spot-t.Others, 0)
	if len(m.withSpot) > 0 {
		t.Spot += missing
	} else {
		t.Others += missing
	}
	return t
}

// byPrice returns the failure domains, the cheapest one first.
func (m market) byPrice(domains []id.FailureDomain) []id.FailureDomain {
	return slices.SortedFunc(slices.Values(domains), func(a, b id.FailureDomain) int {
		return cmp.Or(cmp.Compare(m.prices[a], m.prices[b]), strings.Compare(string(a), string(b)))
	})
}
