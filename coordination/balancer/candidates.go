package balancer

import (
	"slices"
	"time"

	"samphirehead/coordination/registry"
	"samphirehead/state/id"
)

// candidates returns the upstreams that the request may use and that are not
// full. Ejected ones are returned only if the request may use no other.
func (c *Chooser) candidates(now time.Time, r Request) ([]*upstream, Refusal) {
	var available, ejected []*upstream
	for _, u := range c.upstreams {
		switch {
		case !r.allows(u.Entry):
		case u.ejected(now):
			ejected = append(ejected, u)
		default:
			available = append(available, u)
		}
	}
	usable := available
	if len(usable) == 0 {
		usable = ejected
	}
	if len(usable) == 0 {
		return nil, NoUpstream
	}
	usable = slices.DeleteFunc(usable, func(u *upstream) bool { return c.full(now, u, r) })
	if len(usable) == 0 {
		return nil, Full
	}
	return usable, Chosen
}

func (r Request) allows(e registry.Entry) bool {
	if r.Software != nil && e.Software != *r.Software {
		return false
	}
	return !slices.Contains(r.Excluded, e.Upstream) && (r.Admits == nil || r.Admits(e.Upstream))
}

// full reports whether an upstream lacks a slot or the memory for a request. An
// upstream that runs nothing takes a request of any size.
func (c *Chooser) full(now time.Time, u *upstream, r Request) bool {
	if !c.Bounded && !r.FreeSlotOnly {
		return false
	}
	load := c.load(now, u)
	noFreeSlot := u.Slots > 0 && load.Running >= u.Slots
	return noFreeSlot || c.Bounded && u.KVTokens > 0 && load.Running > 0 && load.Memory+r.memory() > u.KVTokens
}

// FreeSlots counts the free slots and all slots of admitted, not ejected upstreams.
func (c *Chooser) FreeSlots(now time.Time, admits func(id.Upstream) bool) (free, slots int) {
	for _, u := range c.upstreams {
		if u.ejected(now) || !admits(u.Upstream) {
			continue
		}
		slots += u.Slots
		free += max(u.Slots-c.load(now, u).Running, 0)
	}
	return free, slots
}
