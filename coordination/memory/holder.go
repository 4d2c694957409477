package memory

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"samphirehead/state/id"
)

const (
	// stalledFactor is how many times its bytes a stalled connection counts as holding.
	stalledFactor = 16
	// Holders of fewer than 1<<sizeClassShift bytes, and sums of fewer than
	// 1<<sumClassShift, are not told apart by size.
	sizeClassShift = 15
	sumClassShift  = 20
)

// holder is a connection.
type holder struct {
	id        Holder
	address   string
	workspace id.Workspace
	urgency   int
	state     State
	bytes     int64
	// retained is how many of the bytes the connection can do without, and dropping how
	// many of them it was told to release.
	retained, dropping int64
	// leaving is set once the connection was told to give way.
	leaving    bool
	progressAt time.Time
}

// rank orders connections: those of a higher rank give way first.
type rank struct {
	// size and sum are the logarithms of what the connection holds, and of what its
	// address or workspace does, whichever is more.
	size, sum int
	urgency   int
}

// rank returns the rank of a connection with n bytes more.
func (v *holder) rank(now time.Time, a *Account, n int64) rank {
	bytes := v.bytes + n
	if n == 0 && now.Sub(v.progressAt) >= a.StallAfter {
		bytes *= stalledFactor
	}
	sum := max(a.addresses[v.address], a.workspaces[v.workspace]) + n
	if v.workspace == "" {
		sum = a.addresses[v.address] + n
	}
	return rank{
		size: bits.Len64(uint64(bytes >> sizeClassShift)), sum: bits.Len64(uint64(sum >> sumClassShift)),
		urgency: v.urgency,
	}
}

// below reports whether r is a lower rank than other.
func (r rank) below(other rank) bool {
	switch {
	case r.size != other.size:
		return r.size < other.size
	case r.sum != other.sum:
		return r.sum < other.sum
	}
	return r.urgency < other.urgency
}

// mayEnd reports whether a connection may be told to give way.
func (v *holder) mayEnd() bool { return v.state != Serving && !v.leaving }

// largest returns the connection of the highest rank among those that eligible admits, of
// several the one that made no progress for longest; nil if there is none.
func (a *Account) largest(now time.Time, eligible func(*holder) bool) *holder {
	var found *holder
	var highest rank
	for _, v := range a.holders {
		if !eligible(v) {
			continue
		}
		r := v.rank(now, a, 0)
		if found == nil || highest.below(r) || highest == r && v.olderThan(found) {
			found, highest = v, r
		}
	}
	return found
}

// olderThan reports whether v made no progress for longer than other.
func (v *holder) olderThan(other *holder) bool {
	if v.progressAt.Equal(other.progressAt) {
		return v.id < other.id
	}
	return v.progressAt.Before(other.progressAt)
}

// candidate is a connection with its rank.
type candidate struct {
	*holder
	rank
}

// candidates returns the connections that retain bytes and those that eligible admits, each
// in the order in which they give way.
func (a *Account) candidates(now time.Time, eligible func(*holder) bool) (retaining, ending []candidate) {
	for _, v := range a.holders {
		if v.retained > 0 {
			retaining = append(retaining, candidate{holder: v})
		}
		if eligible(v) {
			ending = append(ending, candidate{holder: v, rank: v.rank(now, a, 0)})
		}
	}
	slices.SortFunc(retaining, func(v, w candidate) int {
		return cmp.Or(cmp.Compare(w.retained, v.retained), cmp.Compare(v.id, w.id))
	})
	slices.SortFunc(ending, func(v, w candidate) int {
		switch {
		case w.below(v.rank), v.rank == w.rank && v.olderThan(w.holder):
			return -1
		}
		return 1
	})
	return retaining, ending
}
