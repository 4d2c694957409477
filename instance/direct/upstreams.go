package direct

import (
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"k8s.io/klog/v2"

	"samphirehead/coordination/admission"
	"samphirehead/coordination/choice"
	"samphirehead/coordination/registry"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/routing"
)

// maxBlocks bounds the prompt blocks that are remembered.
const maxRecentBlocks = 1 << 16

// group is the upstreams of one chooser: the workers of a plain service, or all
// model engines. Engines with several models serve several pools, so that one
// chooser has to count what they run.
type group struct {
	engines bool
	// service is empty for the engines.
	service id.Service
}

func groupOf(m manifest.Upstream) group {
	if m.Kind == manifest.KindService {
		return group{service: m.Service}
	}
	return group{engines: true}
}

func (g group) config() routing.Service {
	if g.engines {
		return routing.Service{Name: "engines", Engine: &routing.Engine{}}
	}
	return routing.Service{Name: g.service}
}

// upstreams chooses upstreams. It is not safe for concurrent use.
type upstreams struct {
	domain   id.FailureDomain
	choosers map[group]*choice.Chooser
	// known has all upstreams of the manifest, pools their names.
	byName      map[id.Upstream]manifest.Upstream
	pools       map[id.Pool]map[id.Upstream]bool
	groups      map[id.Pool]group
	overlapping map[id.Pool][]id.Pool
	classes     map[id.Class]manifest.Class
	// fastest is the highest reading rate in each pool, in tokens a second.
	fastestPrefill map[id.Pool]float64
	// running has the group of each run.
	groupOfRun map[admission.Ticket]group
	// blocks holds the prompt blocks that were seen of late.
	recentBlocks *simplelru.LRU[uint64, struct{}]
}

var _ admission.Upstreams = (*upstreams)(nil)

func (u *upstreams) init(domain id.FailureDomain) {
	u.domain = domain
	u.choosers = make(map[group]*choice.Chooser)
	u.groupOfRun = make(map[admission.Ticket]group)
	// NewLRU fails only for a size below 1.
	u.recentBlocks, _ = simplelru.NewLRU[uint64, struct{}](maxRecentBlocks, nil)
}

// configure takes the upstreams of a manifest.
func (u *upstreams) configure(now time.Time, x *manifest.Index) {
	u.byName = make(map[id.Upstream]manifest.Upstream)
	u.pools = make(map[id.Pool]map[id.Upstream]bool)
	u.groups = make(map[id.Pool]group)
	u.fastestPrefill = make(map[id.Pool]float64)
	u.classes = make(map[id.Class]manifest.Class)
	for _, c := range x.Manifest.Classes {
		u.classes[c.Name] = c
	}
	entries := make(map[group][]registry.Entry)
	for g := range u.choosers {
		entries[g] = nil
	}
	for _, m := range x.Manifest.Upstreams {
		g := groupOf(m)
		u.byName[m.Name] = m
		for _, p := range m.Pools() {
			u.groups[p] = g
			u.fastestPrefill[p] = max(u.fastestPrefill[p], m.Capacity.PrefillTokensPerSecond)
			if u.pools[p] == nil {
				u.pools[p] = make(map[id.Upstream]bool)
			}
			u.pools[p][m.Name] = true
		}
		entries[g] = append(entries[g], entryOf(m))
	}
	u.overlapping = overlappingPools(u.pools)
	shortest := u.shortestFirstToken()
	for g, list := range entries {
		u.chooser(g).Step(now, choice.Configured{Service: g.config(), Upstreams: list, TightestObjective: shortest})
	}
}

func (u *upstreams) chooser(g group) *choice.Chooser {
	c := u.choosers[g]
	if c == nil {
		c = &choice.Chooser{FailureDomain: u.domain, Bounded: true}
		u.choosers[g] = c
	}
	return c
}

// tightest is the shortest target of the first token of a streaming class.
func (u *upstreams) shortestFirstToken() time.Duration {
	shortest := time.Duration(0)
	for _, c := range u.classes {
		if c.BetweenTokens > 0 && (shortest == 0 || c.FirstToken < shortest) {
			shortest = c.FirstToken
		}
	}
	return shortest
}

func entryOf(m manifest.Upstream) registry.Entry {
	return registry.Entry{
		Upstream: m.Name, Service: m.Service, Address: m.Address, FailureDomain: m.FailureDomain,
		Slots: m.Capacity.Slots, KVTokens: m.Capacity.KVTokens, PrefillTokensPerSecond: m.Capacity.PrefillTokensPerSecond,
	}
}

// Place chooses an upstream for a request.
func (u *upstreams) Place(now time.Time, r admission.Request, remaining id.Tokens, avoid func(id.Upstream) bool) (id.Upstream, admission.Placement) {
	g, ok := u.groups[r.Pool]
	if !ok {
		return "", admission.NoneEligible
	}
	class := u.classes[r.Class]
	noCandidate := true
	request := choice.Request{
		Ticket:         choice.Ticket(r.Ticket),
		Objective:      class.FirstToken,
		PauseObjective: class.BetweenTokens,
		Urgency:        min(max(int(class.Tier)-1, 0), choice.Urgencies-1),
		OutputTokens:   remaining,
		Excluded:       r.Excluded,
		Admits: func(name id.Upstream) bool {
			if !u.pools[r.Pool][name] || r.ResumeOffset > 0 && !u.byName[name].Resumes {
				return false
			}
			noCandidate = false
			return !avoid(name)
		},
	}
	if g.engines {
		request.Parts = u.parts(r)
	}
	chosen, refusal := u.choosers[g].Choose(now, request)
	switch {
	case refusal == choice.Chosen:
		u.groupOfRun[r.Ticket] = g
		u.rememberPrefix(r)
		return chosen.Upstream, admission.Placed
	case refusal == choice.NoUpstream && noCandidate:
		return "", admission.NoneEligible
	}
	return "", admission.Busy
}

// parts splits a prompt into what other requests share, as far as its blocks
// were seen before, and the rest.
func (u *upstreams) parts(r admission.Request) []choice.Part {
	shared := 0
	for shared < len(r.Prefix) && u.recentBlocks.Contains(r.Prefix[shared]) {
		shared++
	}
	rest := choice.Part{Name: fmt.Sprintf("%x", uint64(r.Fingerprint)), Tokens: r.PromptTokens + r.ResumeOffset}
	if shared == 0 {
		return []choice.Part{rest}
	}
	sharedTokens := r.PromptTokens * id.Tokens(shared) / id.Tokens(len(r.Prefix))
	rest.Tokens -= sharedTokens
	return []choice.Part{{Name: fmt.Sprintf("%x", r.Prefix[shared-1]), Tokens: sharedTokens}, rest}
}

func (u *upstreams) rememberPrefix(r admission.Request) {
	for _, b := range r.Prefix {
		u.recentBlocks.Add(b, struct{}{})
	}
}

// Room returns the free slots and all slots of a pool.
func (u *upstreams) Room(now time.Time, p id.Pool) (free, slots int) {
	c := u.choosers[u.groups[p]]
	if c == nil {
		return 0, 0
	}
	return c.FreeSlots(now, func(name id.Upstream) bool { return u.pools[p][name] })
}

// Yields reports whether the end of a run at an upstream makes room for a pool,
// and the run can go on elsewhere.
func (u *upstreams) Preemptible(p id.Pool, name id.Upstream) bool {
	return u.pools[p][name] && u.byName[name].Kind == manifest.KindEngine && u.byName[name].Resumes
}

// Near returns the pools that share upstreams with a pool, itself included.
func (u *upstreams) Overlapping(p id.Pool) []id.Pool { return u.overlapping[p] }

func overlappingPools(pools map[id.Pool]map[id.Upstream]bool) map[id.Pool][]id.Pool {
	overlapping := make(map[id.Pool][]id.Pool, len(pools))
	for p, upstreams := range pools {
		for other, otherUpstreams := range pools {
			if intersect(upstreams, otherUpstreams) {
				overlapping[p] = append(overlapping[p], other)
			}
		}
		slices.Sort(overlapping[p])
	}
	return overlapping
}

func intersect(a, b map[id.Upstream]bool) bool {
	for name := range a {
		if b[name] {
			return true
		}
	}
	return false
}

// PrefillTime is how long the fastest upstream of a pool takes to read a prompt.
func (u *upstreams) PrefillTime(p id.Pool, prompt id.Tokens) time.Duration {
	rate := u.fastestPrefill[p]
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(prompt) / rate * float64(time.Second))
}

func (u *upstreams) started(now time.Time, t admission.Ticket) {
	if g, ok := u.groupOfRun[t]; ok {
		u.choosers[g].Step(now, choice.Started{Ticket: choice.Ticket(t)})
	}
}

func (u *upstreams) ended(now time.Time, t admission.Ticket, ev choice.Ended) {
	if g, ok := u.groupOfRun[t]; ok {
		delete(u.groupOfRun, t)
		u.choosers[g].Step(now, ev)
	}
}

// logBeliefs logs which upstreams are held to be good or not from now on.
func (u *upstreams) logHealthChanges() {
	for _, c := range u.choosers {
		for _, change := range c.HealthChanges() {
			klog.InfoS("upstream judged", change.Fields()...)
		}
	}
}
