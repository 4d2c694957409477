package upstream

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"samphirehead/state/id"
)

const (
	defaultBlockLimit = 1 << 16
	// copiesLimit is how many upstreams are remembered for one block.
	copiesLimit = 3
)

// Affinity remembers which upstreams hold which prompt prefixes, from what was
// sent there and from cache events. The zero value is ready for use.
type Affinity struct {
	// BlockLimit bounds the table; 0 means 65,536 blocks.
	BlockLimit int

	blocks *simplelru.LRU[uint64, *holders]
	// generations rise when all knowledge of an upstream is dropped.
	generations map[id.Upstream]uint64
}

type holders struct {
	count int
	at    [copiesLimit]holding
}

type holding struct {
	upstream   id.Upstream
	generation uint64
}

// Store notes that an upstream holds the blocks.
func (a *Affinity) Store(u id.Upstream, blocks []uint64) {
	a.init()
	held := holding{u, a.generations[u]}
	for _, b := range blocks {
		h, ok := a.blocks.Get(b)
		if !ok {
			h = &holders{}
			a.blocks.Add(b, h)
		}
		h.add(held)
	}
}

// Evict notes that an upstream no longer holds the blocks.
func (a *Affinity) Evict(u id.Upstream, blocks []uint64) {
	a.init()
	for _, b := range blocks {
		if h, ok := a.blocks.Peek(b); ok {
			h.drop(u)
		}
	}
}

// Forget drops all that is known of an upstream, after a gap in its events or a
// crash.
func (a *Affinity) Forget(u id.Upstream) {
	a.init()
	a.generations[u]++
}

// Cached returns how many of the leading blocks an upstream holds.
func (a *Affinity) Cached(u id.Upstream, blocks []uint64) int {
	a.init()
	held := holding{u, a.generations[u]}
	for i, b := range blocks {
		h, ok := a.blocks.Peek(b)
		if !ok || !h.has(held) {
			return i
		}
	}
	return len(blocks)
}

func (a *Affinity) init() {
	if a.blocks != nil {
		return
	}
	limit := a.BlockLimit
	if limit < 1 {
		limit = defaultBlockLimit
	}
	a.generations = map[id.Upstream]uint64{}
	// NewLRU fails only for a size below 1.
	a.blocks, _ = simplelru.NewLRU[uint64, *holders](limit, nil)
}

func (h *holders) has(held holding) bool {
	for _, x := range h.at[:h.count] {
		if x == held {
			return true
		}
	}
	return false
}

func (h *holders) add(held holding) {
	h.drop(held.upstream)
	if h.count < copiesLimit {
		h.count++
	}
	copy(h.at[1:h.count], h.at[:h.count-1])
	h.at[0] = held
}

func (h *holders) drop(u id.Upstream) {
	for i, x := range h.at[:h.count] {
		if x.upstream != u {
			continue
		}
		copy(h.at[i:], h.at[i+1:h.count])
		h.count--
		return
	}
}
