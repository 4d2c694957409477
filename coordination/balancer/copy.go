package balancer

import (
	"time"

	"samphirehead/state/id"
)

const (
	// copySetup is the time before a copy of KV cache begins. copyWeight
	// multiplies the time of a copy, since later ones on the link wait.
	copySetup  = 5 * time.Millisecond
	copyWeight = 2
)

// canCopy reports whether the engines copy KV cache from each other.
func (c *Chooser) canCopy() bool {
	return c.service.Engine.LinkBytesPerSecond > 0
}

// copySource returns the engine, other than except, that has the most tokens at the
// start of a prompt ready, as far as this instance knows. It is nil if engines can't
// copy, or if none has any.
func (c *Chooser) copySource(now time.Time, r Request, except *upstream) *upstream {
	if !c.canCopy() {
		return nil
	}
	var source *upstream
	most := id.Tokens(0)
	for _, u := range c.upstreams {
		if u == except || u.ejected(now) {
			continue
		}
		if ready := u.cache.readyTokens(r.Parts); ready > most {
			source, most = u, ready
		}
	}
	return source
}

// copyAddress returns the address of the engine from which u may copy what it lacks
// of a prompt. That is source, or the next best one if u is source itself. Without
// one it is the first other engine by affinity, where requests of other instances
// are likely to have left the shared parts. A wrong address does no harm, as an
// engine copies only what it lacks and the other one has.
func (c *Chooser) copyAddress(now time.Time, r Request, u, source *upstream, ranked []*upstream) string {
	if !c.canCopy() {
		return ""
	}
	if source == u {
		source = c.copySource(now, r, u)
	}
	if source != nil {
		return source.Address
	}
	for _, other := range ranked {
		if other != u && !other.ejected(now) {
			return other.Address
		}
	}
	return ""
}

// copyTime returns how long an engine takes to copy the KV cache of some tokens.
func (c *Chooser) copyTime(tokens id.Tokens) time.Duration {
	if tokens == 0 {
		return 0
	}
	engine := c.service.Engine
	seconds := float64(tokens) * engine.KVBytesPerToken / engine.LinkBytesPerSecond
	return copySetup + time.Duration(seconds*float64(time.Second))
}
