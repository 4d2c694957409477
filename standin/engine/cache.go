package engine

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// prefixBlockBytes is the size of the blocks by which prompts are cached.
const prefixBlockBytes = 1024

// cache holds the hashes of prompt blocks; the hash of a block covers all
// blocks before it.
type cache struct {
	blocks *simplelru.LRU[uint64, struct{}]
	// size is the most blocks, at least 1.
	maxBlocks int
}

func (c *cache) prepare(blocks int) {
	c.maxBlocks = max(blocks, 1)
	c.clear()
}

// clear forgets everything.
func (c *cache) clear() {
	// NewLRU fails only for a size below 1.
	c.blocks, _ = simplelru.NewLRU[uint64, struct{}](c.maxBlocks, nil)
}

// read stores the blocks of a prompt and returns the share of it that was
// there.
func (c *cache) lookUpAndStore(model string, messages []json.RawMessage) float64 {
	hits := 0
	for _, hash := range prefixHashes(model, messages) {
		if _, ok := c.blocks.Get(hash); ok {
			hits++
			continue
		}
		c.blocks.Add(hash, struct{}{})
	}
	if hits == 0 {
		return 0
	}
	promptBytes := 0
	for _, m := range messages {
		promptBytes += len(m)
	}
	return float64(hits*prefixBlockBytes) / float64(promptBytes)
}

// prefixHashes returns a hash for each whole block of the messages, which
// covers the model and all that comes before the block's end.
func prefixHashes(model string, messages []json.RawMessage) []uint64 {
	var hashes []uint64
	h := xxhash.New()
	_, _ = h.WriteString(model)
	filled := 0
	for _, m := range messages {
		for len(m) > 0 {
			n := min(prefixBlockBytes-filled, len(m))
			_, _ = h.Write(m[:n])
			m = m[n:]
			filled += n
			if filled == prefixBlockBytes {
				hashes = append(hashes, h.Sum64())
				filled = 0
			}
		}
	}
	return hashes
}
