package router

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"samphirehead/state/fault"
	"samphirehead/state/id"
)

const (
	// maxRefused bounds the refused requests that are remembered, and
	// maxRefusedPerMessage the number of them in one message to a peer.
	maxRefused           = 8192
	maxRefusedPerMessage = 64
	// maxRefusalAge is how long a refused request is included in messages to
	// peers.
	maxRefusalAge = 2 * time.Second
)

// refusedRequests remembers the requests that this or another instance refused
// because of overload, with a Retry-After. When the caller retries one, it takes
// precedence over new requests. It is guarded by Router.mu.
type refusedRequests struct {
	digests *simplelru.LRU[id.Fingerprint, struct{}]
	// local holds the refusals of this instance that are sent to peers, the
	// newest last.
	local []refusal
}

type refusal struct {
	digest id.Fingerprint
	at     time.Time
}

func (r *refusedRequests) init() error {
	var err error
	r.digests, err = simplelru.NewLRU[id.Fingerprint, struct{}](maxRefused, nil)
	return fault.Wrap("create the cache of refused requests", "", err)
}

// add records a request that this instance refused.
func (r *refusedRequests) add(now time.Time, digest id.Fingerprint) {
	r.digests.Add(digest, struct{}{})
	r.local = append(r.local, refusal{digest, now})
}

// addRemote records the requests that another instance refused.
func (r *refusedRequests) addRemote(digests []uint64) {
	for _, d := range digests {
		r.digests.Add(id.Fingerprint(d), struct{}{})
	}
}

// recent drops the expired refusals of this instance and returns the digests of
// the others for a message to a peer.
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

// contains reports whether a request with this digest was refused lately.
func (r *refusedRequests) contains(digest id.Fingerprint) bool { return r.digests.Contains(digest) }
