package router

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"samphirehead/state/fault"
	"samphirehead/state/id"
)

const (
	// maxReturns bounds the refused requests that are known when they return,
	// maxTold those that one message tells of.
	maxRefused           = 8192
	maxRefusedPerMessage = 64
	// toldFor is how long a refused request is told to others.
	maxRefusalAge = 2 * time.Second
)

// returns knows the requests that were told to come back, here or by another
// instance. The router's lock guards it.
type refusedRequests struct {
	digests *simplelru.LRU[id.Fingerprint, struct{}]
	// own holds those that this instance refused, the newest last.
	local []refusal
}

type refusal struct {
	digest id.Fingerprint
	at     time.Time
}

func (r *refusedRequests) init() error {
	var err error
	r.digests, err = simplelru.NewLRU[id.Fingerprint, struct{}](maxRefused, nil)
	return fault.Wrap("make table of refused requests", "", err)
}

// refuse notes a request that this instance tells to come back.
func (r *refusedRequests) add(now time.Time, digest id.Fingerprint) {
	r.digests.Add(digest, struct{}{})
	r.local = append(r.local, refusal{digest, now})
}

// hear notes what another instance refused.
func (r *refusedRequests) addRemote(digests []uint64) {
	for _, d := range digests {
		r.digests.Add(id.Fingerprint(d), struct{}{})
	}
}

// tell returns what others are to know.
func (r *refusedRequests) recent(now time.Time) []uint64 {
	for len(r.local) > 0 && (now.Sub(r.local[0].at) > maxRefusalAge || len(r.local) > maxRefusedPerMessage) {
		r.local = r.local[1:]
	}
	var digests []uint64
	for _, refused := range r.local {
		digests = append(digests, uint64(refused.digest))
	}
	return digests
}

// returned reports whether a request was told to come back.
func (r *refusedRequests) contains(digest id.Fingerprint) bool { return r.digests.Contains(digest) }
