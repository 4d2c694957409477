package choice

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"samphirehead/state/id"
)

// maxParts bounds the parts that are remembered for one engine.
const maxParts = 4096

// cache estimates which parts an engine holds, from what this entry sent
// there. The zero value is empty.
type cache struct {
	parts *simplelru.LRU[string, id.Tokens]
	total id.Tokens
}

// missing returns how many tokens of a prompt the engine has to read. home is
// set for the engine to which all entries send the prompt first: its shared
// parts are believed to be there.
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

// add remembers the parts of a prompt that is sent to the engine, within its
// capacity.
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
