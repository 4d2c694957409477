package balancer

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"samphirehead/state/id"
)

// maxParts limits the number of prompt parts tracked for one engine.
const maxParts = 4096

// cache is an estimate of the prompt parts in an engine's prefix cache, based on
// the requests that this instance sent there. The zero value is empty.
type cache struct {
	parts *simplelru.LRU[string, *cachedPart]
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
		cached := c.contains(p.Name) || preferred && shared
		atSource := source != nil && source.cache.isReady(p.Name)
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
		if !c.isReady(p.Name) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

func (c *cache) contains(name string) bool { return c.parts != nil && c.parts.Contains(name) }

func (c *cache) isReady(name string) bool {
	if c.parts == nil {
		return false
	}
	part, ok := c.parts.Peek(name)
	return ok && part.ready
}

// markReady records that the parts of a prompt have been prefilled.
func (c *cache) markReady(parts []Part) {
	if c.parts == nil {
		return
	}
	for _, p := range parts {
		if part, ok := c.parts.Peek(p.Name); ok {
			part.ready = true
		}
	}
}

// add records the parts of a prompt that is sent to the engine and evicts the
// least recently used ones above its capacity, in tokens.
func (c *cache) add(parts []Part, capacity id.Tokens) {
	if c.parts == nil {
		// NewLRU fails only for a size below 1.
		c.parts, _ = simplelru.NewLRU(maxParts, func(_ string, part *cachedPart) { c.total -= part.tokens })
	}
	for _, p := range parts {
		if _, cached := c.parts.Get(p.Name); cached {
			continue
		}
		c.parts.Add(p.Name, &cachedPart{tokens: p.Tokens})
		c.total += p.Tokens
	}
	for c.total > capacity && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}
