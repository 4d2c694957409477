package balancer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"samphirehead/state/id"
)

// maxParts limits the number of prompt parts tracked for one engine.
const maxParts = 1024

// partKey is the hash of a part's name. Names are the callers' words, of any length, and are not
// kept.
type partKey uint64

func (p Part) key() partKey { return partKey(xxhash.Sum64String(p.Name)) }

// cache is an estimate of the prompt parts in an engine's prefix cache, based on
// the requests that this instance sent there. The zero value is empty.
type cache struct {
	parts *simplelru.LRU[partKey, *cachedPart]
	total id.Tokens
}

// cachedPart is a part that an engine has cached, or is going to cache.
type cachedPart struct {
	tokens id.Tokens
	// ready is set once a request with the part has started, so that the part
	// has been prefilled.
	ready bool
}

// missingTokens returns how many tokens of a prompt need prefill, and how many are
// copied from the engine source, which may be nil. preferred is set for the engine
// that is first in the order of affinity, which is the same at all instances: it is
// assumed to have cached the shared parts, since the other instances send them there
// too.
func (c *cache) missingTokens(parts []Part, preferred bool, source *upstream) (prefill, copied id.Tokens) {
	available := true
	for i, p := range parts {
		shared := i < len(parts)-1
		cached := c.contains(p.key()) || preferred && shared
		atSource := source != nil && source.cache.isReady(p.key())
		available = available && (cached || atSource)
		switch {
		case !available:
			prefill += p.Tokens
		case !cached:
			copied += p.Tokens
		}
	}
	return prefill, copied
}

// readyTokens returns how many tokens at the start of a prompt are ready to be
// copied.
func (c *cache) readyTokens(parts []Part) id.Tokens {
	tokens := id.Tokens(0)
	for _, p := range parts {
		if !c.isReady(p.key()) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

func (c *cache) contains(key partKey) bool { return c.parts != nil && c.parts.Contains(key) }

func (c *cache) isReady(key partKey) bool {
	if c.parts == nil {
		return false
	}
	part, ok := c.parts.Peek(key)
	return ok && part.ready
}

// markReady records that the parts of a prompt have been prefilled.
func (c *cache) markReady(parts []Part) {
	if c.parts == nil {
		return
	}
	for _, p := range parts {
		if part, ok := c.parts.Peek(p.key()); ok {
			part.ready = true
		}
	}
}

// add records the parts of a prompt that is sent to the engine and evicts the
// least recently used ones above its capacity, in tokens.
func (c *cache) add(parts []Part, capacity id.Tokens) {
	if c.parts == nil {
		// NewLRU fails only for a size below 1.
		c.parts, _ = simplelru.NewLRU(maxParts, func(_ partKey, part *cachedPart) { c.total -= part.tokens })
	}
	for _, p := range parts {
		if _, cached := c.parts.Get(p.key()); cached {
			continue
		}
		c.parts.Add(p.key(), &cachedPart{tokens: p.Tokens})
		c.total += p.Tokens
	}
	for c.total > capacity && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}
