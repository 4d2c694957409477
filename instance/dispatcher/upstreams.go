package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"k8s.io/klog/v2"

	"samphirehead/coordination/admission"
	"samphirehead/coordination/balancer"
	"samphirehead/coordination/registry"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/routing"
)

// maxRecentBlocks bounds the hashes of prompt blocks that are remembered.
const maxRecentBlocks = 1 << 16

// group identifies the upstreams of one chooser: the workers of a plain service,
// or all model engines. An engine with several models serves several pools, so
// one chooser must count what all engines run.
type group struct {
	engines bool
	// service is empty for the engines.
	service id.Service
}

func groupOf(upstream manifest.Upstream) group {
	if upstream.Kind == manifest.KindService {
		return group{service: upstream.Service}
	}
	return group{engines: true}
}

func (g group) config() routing.Service {
	if g.engines {
		return routing.Service{Name: "engines", Engine: &routing.Engine{}}
	}
	return routing.Service{Name: g.service}
}

// upstreams places requests on upstreams. It is not safe for concurrent use.
type upstreams struct {
	domain   id.FailureDomain
	choosers map[group]*balancer.Chooser
	// byName contains all upstreams of the manifest, pools the names of those
	// that serve each pool.
	byName      map[id.Upstream]manifest.Upstream
	pools       map[id.Pool]map[id.Upstream]bool
	groups      map[id.Pool]group
	overlapping map[id.Pool][]id.Pool
	classes     map[id.Class]manifest.Class
	// fastestPrefill is the highest prefill rate in each pool, in tokens per
	// second.
	fastestPrefill map[id.Pool]float64
	// groupOfRun contains the group of each request in progress.
	groupOfRun map[admission.Ticket]group
	// recentBlocks contains the hashes of the prompt blocks of the most recent
	// requests.
	recentBlocks *simplelru.LRU[uint64, struct{}]
}

var _ admission.Upstreams = (*upstreams)(nil)

func (u *upstreams) init(domain id.FailureDomain) {
	u.domain = domain
	u.choosers = make(map[group]*balancer.Chooser)
	u.groupOfRun = make(map[admission.Ticket]group)
	// NewLRU fails only for a size below 1.
	u.recentBlocks, _ = simplelru.NewLRU[uint64, struct{}](maxRecentBlocks, nil)
}

// configure replaces the upstreams by those of a manifest.
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
	for _, upstream := range x.Manifest.Upstreams {
		g := groupOf(upstream)
		u.byName[upstream.Name] = upstream
		for _, p := range upstream.Pools() {
			u.groups[p] = g
			u.fastestPrefill[p] = max(u.fastestPrefill[p], upstream.Capacity.PrefillTokensPerSecond)
			if u.pools[p] == nil {
				u.pools[p] = make(map[id.Upstream]bool)
			}
			u.pools[p][upstream.Name] = true
		}
		entries[g] = append(entries[g], entryOf(upstream))
	}
	u.overlapping = overlappingPools(u.pools)
	shortest := u.shortestFirstToken()
	for g, list := range entries {
		u.chooser(g).Step(now, balancer.Configured{Service: g.config(), Upstreams: list, TightestObjective: shortest})
	}
}

func (u *upstreams) chooser(g group) *balancer.Chooser {
	c := u.choosers[g]
	if c == nil {
		c = &balancer.Chooser{FailureDomain: u.domain, Bounded: true, Seed: rand.Uint64()}
		u.choosers[g] = c
	}
	return c
}

// shortestFirstToken returns the shortest first-token target of the streaming
// classes, or 0 without such a class.
func (u *upstreams) shortestFirstToken() time.Duration {
	shortest := time.Duration(0)
	for _, c := range u.classes {
		if c.BetweenTokens > 0 && (shortest == 0 || c.FirstToken < shortest) {
			shortest = c.FirstToken
		}
	}
	return shortest
}

func entryOf(upstream manifest.Upstream) registry.Entry {
	return registry.Entry{
		Upstream: upstream.Name, Service: upstream.Service, Address: upstream.Address, FailureDomain: upstream.FailureDomain,
		Slots: upstream.Capacity.Slots, KVTokens: upstream.Capacity.KVTokens, PrefillTokensPerSecond: upstream.Capacity.PrefillTokensPerSecond,
	}
}

// Place chooses an upstream and counts the request as running there.
func (u *upstreams) Place(now time.Time, r admission.Request, remaining id.Tokens, avoid func(id.Upstream) bool) (id.Upstream, admission.Placement) {
	g, ok := u.groups[r.Pool]
	if !ok {
		return "", admission.NoneEligible
	}
	class := u.classes[r.Class]
	noCandidate := true
	request := balancer.Request{
		Ticket:         balancer.Ticket(r.Ticket),
		Objective:      class.FirstToken,
		PauseObjective: class.BetweenTokens,
		Urgency:        min(max(int(class.Tier)-1, 0), balancer.Urgencies-1),
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
	case refusal == balancer.Chosen:
		u.groupOfRun[r.Ticket] = g
		u.rememberPrefix(r)
		return chosen.Upstream, admission.Placed
	case refusal == balancer.NoUpstream && noCandidate:
		return "", admission.NoneEligible
	}
	return "", admission.Busy
}

// parts splits a prompt into the prefix that it shares with earlier requests, as
// far as recentBlocks still contains it, and the rest.
func (u *upstreams) parts(r admission.Request) []balancer.Part {
	shared := 0
	for shared < len(r.Prefix) && u.recentBlocks.Contains(r.Prefix[shared]) {
		shared++
	}
	rest := balancer.Part{Name: fmt.Sprintf("%x", uint64(r.Fingerprint)), Tokens: r.PromptTokens + r.ResumeOffset}
	if shared == 0 {
		return []balancer.Part{rest}
	}
	sharedTokens := r.PromptTokens * id.Tokens(shared) / id.Tokens(len(r.Prefix))
	rest.Tokens -= sharedTokens
	return []balancer.Part{{Name: fmt.Sprintf("%x", r.Prefix[shared-1]), Tokens: sharedTokens}, rest}
}

func (u *upstreams) rememberPrefix(r admission.Request) {
	for _, b := range r.Prefix {
		u.recentBlocks.Add(b, struct{}{})
	}
}

// FreeSlots counts the free slots and all slots of a pool, without those of ejected
// upstreams.
func (u *upstreams) FreeSlots(now time.Time, p id.Pool) (free, total int) {
	c := u.choosers[u.groups[p]]
	if c == nil {
		return 0, 0
	}
	return c.FreeSlots(now, func(name id.Upstream) bool { return u.pools[p][name] })
}

// Preemptible reports whether preempting a run at an upstream frees a slot for a pool
// and the run can resume elsewhere.
func (u *upstreams) Preemptible(p id.Pool, name id.Upstream) bool {
	return u.pools[p][name] && u.byName[name].Kind == manifest.KindEngine && u.byName[name].Resumes
}

// Overlapping returns the pools that share upstreams with a pool, itself included.
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

// PrefillTime returns how long the fastest upstream of a pool takes to prefill a
// prompt, or 0 if no rate is known.
func (u *upstreams) PrefillTime(p id.Pool, prompt id.Tokens) time.Duration {
	rate := u.fastestPrefill[p]
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(prompt) / rate * float64(time.Second))
}

func (u *upstreams) started(now time.Time, t admission.Ticket) {
	if g, ok := u.groupOfRun[t]; ok {
		u.choosers[g].Step(now, balancer.Started{Ticket: balancer.Ticket(t)})
	}
}

func (u *upstreams) ended(now time.Time, t admission.Ticket, ev balancer.Ended) {
	if g, ok := u.groupOfRun[t]; ok {
		delete(u.groupOfRun, t)
		u.choosers[g].Step(now, ev)
	}
}

// logHealthChanges logs the upstreams whose health state changed.
func (u *upstreams) logHealthChanges() {
	for _, c := range u.choosers {
		for _, change := range c.HealthChanges() {
			klog.InfoS("upstream judged", change.Fields()...)
		}
	}
}
