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
	parts *simplelru.LRU[string, id.Tokens]
	total id.Tokens
}

// uncachedTokens returns how many tokens of a prompt need prefill. preferred is
// set for the engine that is first in the order of affinity, which is the same at
// all instances: it is assumed to have cached the shared parts, since the other
// instances send them there too.
func (c *cache) uncachedTokens(parts []Part, preferred bool) id.Tokens {
	missing := id.Tokens(0)
	cached := true
	for i, p := range parts {
		shared := i < len(parts)-1
		cached = cached && (c.contains(p.Name) || preferred && shared)
		if !cached {
			missing += p.Tokens
		}
	}
	return missing
}

func (c *cache) contains(name string) bool { return c.parts != nil && c.parts.Contains(name) }

// add records the parts of a prompt that is sent to the engine and evicts the
// least recently used ones above its capacity, in tokens.
func (c *cache) add(parts []Part, capacity id.Tokens) {
	if c.parts == nil {
		// NewLRU fails only for a size below 1.
		c.parts, _ = simplelru.NewLRU(maxParts, func(_ string, tokens id.Tokens) { c.total -= tokens })
	}
	for _, p := range parts {
		if _, cached := c.parts.Get(p.Name); cached {
			continue
		}
		c.parts.Add(p.Name, p.Tokens)
		c.total += p.Tokens
	}
	for c.total > capacity && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}
