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
	maxReturns = 8192
	maxTold    = 64
	// toldFor is how long a refused request is told to others.
	toldFor = 2 * time.Second
)

// returns knows the requests that were told to come back, here or by another
// instance. The router's lock guards it.
type returns struct {
	known *simplelru.LRU[id.Fingerprint, struct{}]
	// own holds those that this instance refused, the newest last.
	own []refusal
}

type refusal struct {
	digest id.Fingerprint
	at     time.Time
}

func (r *returns) init() error {
	var err error
	r.known, err = simplelru.NewLRU[id.Fingerprint, struct{}](maxReturns, nil)
	return fault.Wrap("make table of refused requests", "", err)
}

// refuse notes a request that this instance tells to come back.
func (r *returns) refuse(now time.Time, digest id.Fingerprint) {
	r.known.Add(digest, struct{}{})
	r.own = append(r.own, refusal{digest, now})
}

// hear notes what another instance refused.
func (r *returns) hear(digests []uint64) {
	for _, d := range digests {
		r.known.Add(id.Fingerprint(d), struct{}{})
	}
}

// tell returns what others are to know.
func (r *returns) tell(now time.Time) []uint64 {
	for len(r.own) > 0 && (now.Sub(r.own[0].at) > toldFor || len(r.own) > maxTold) {
		r.own = r.own[1:]
	}
	var digests []uint64
	for _, o := range r.own {
		digests = append(digests, uint64(o.digest))
	}
	return digests
}

// returned reports whether a request was told to come back.
func (r *returns) returned(digest id.Fingerprint) bool { return r.known.Contains(digest) }
