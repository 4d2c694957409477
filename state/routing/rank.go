package routing

import (
	"cmp"
	"slices"
)

// rank orders requests: by the priority of the workspace, where it has one, and
// among equal ones by that of the route. 0 is the highest.
type rank struct{ priority, route int }

func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(r.priority, other.priority), cmp.Compare(r.route, other.route))
}

func rankOf(r *Route, w *Workspace) rank {
	if w != nil && w.Priority != nil {
		return rank{*w.Priority, r.Priority}
	}
	return rank{r.Priority, r.Priority}
}

// allRanks returns the ranks that requests may have, in order.
func (t *Table) allRanks() []rank {
	workspaceByPriority := map[int]*Workspace{}
	for _, w := range t.keys {
		if w.Priority != nil {
			workspaceByPriority[*w.Priority] = w
		}
	}
	routeByPriority := map[int]*Route{}
	for r := range t.Routes() {
		routeByPriority[r.Priority] = r
	}
	var ranks []rank
	for _, r := range routeByPriority {
		ranks = append(ranks, rankOf(r, nil))
		for _, w := range workspaceByPriority {
			ranks = append(ranks, rankOf(r, w))
		}
	}
	slices.SortFunc(ranks, rank.compare)
	return slices.Compact(ranks)
}

// Urgency returns the place of a request of a workspace, which may be nil, on a
// route of the table: 0 is the first, levels-1 the last. Requests of different
// ranks share a level only where there are more ranks than levels.
func (t *Table) Urgency(r *Route, w *Workspace, levels int) int {
	position, _ := slices.BinarySearchFunc(t.ranks, rankOf(r, w), rank.compare)
	if len(t.ranks) > levels {
		return position * levels / len(t.ranks)
	}
	return position
}
