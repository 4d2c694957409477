package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// prefixBlockBytes is the size of the blocks by which prompts are cached.
const prefixBlockBytes = 1024

// keptEvents bounds the cache events that can still be asked for.
const keptEvents = 1024

type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Hash is the hex of a block's hash.
	Hash      string `json:"hash"`
	visibleAt time.Time
}

// cache holds the hashes of prompt blocks; the hash of a block covers all
// blocks before it.
type cache struct {
	blocks *simplelru.LRU[uint64, struct{}]
	// size is the most blocks, at least 1.
	size int
	// gap loses each event whose sequence number it divides.
	gap    int
	last   uint64
	events []cacheEvent
	// visibleAt is when events of the running call become visible.
	visibleAt time.Time
}

func (c *cache) prepare(blocks, gap int) {
	c.gap = gap
	c.size = max(blocks, 1)
	c.blocks = c.empty()
}

func (c *cache) empty() *simplelru.LRU[uint64, struct{}] {
	onEvict := func(hash uint64, _ struct{}) { c.publish("evicted", hash) }
	blocks, _ := simplelru.NewLRU(c.size, onEvict)
	return blocks
}

// clear forgets everything without publishing it.
func (c *cache) clear() {
	c.events = nil
	c.blocks = c.empty()
}

// read stores the blocks of a prompt and returns the share of it that was
// there.
func (c *cache) read(visibleAt time.Time, model string, messages []json.RawMessage) float64 {
	c.visibleAt = visibleAt
	hits := 0
	for _, hash := range prefixHashes(model, messages) {
		if _, ok := c.blocks.Get(hash); ok {
			hits++
			continue
		}
		c.blocks.Add(hash, struct{}{})
		c.publish("stored", hash)
	}
	if hits == 0 {
		return 0
	}
	size := 0
	for _, m := range messages {
		size += len(m)
	}
	return float64(hits*prefixBlockBytes) / float64(size)
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

func (c *cache) publish(kind string, hash uint64) {
	c.last++
	if c.gap > 0 && c.last%uint64(c.gap) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{c.last, kind, fmt.Sprintf("%016x", hash), c.visibleAt})
	if len(c.events) > keptEvents {
		c.events = c.events[1:]
	}
}

// after returns the visible events after a sequence number.
func (c *cache) after(now time.Time, sequence uint64) (events []cacheEvent, firstAvailable uint64) {
	events = []cacheEvent{}
	for _, event := range c.events {
		if event.Sequence > sequence && !event.visibleAt.After(now) {
			events = append(events, event)
		}
	}
	if len(c.events) == 0 {
		return events, c.last + 1
	}
	return events, c.events[0].Sequence
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint("0"+r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad sequence number")
		return
	}
	e.mu.Lock()
	events, first := e.cache.after(time.Now(), after)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Events         []cacheEvent `json:"events"`
		FirstAvailable uint64       `json:"first_available"`
	}{events, first})
}
