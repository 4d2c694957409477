// Package secret authenticates instances to each other by a secret that all of
// them share.
package secret

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
)

const (
	headerName = "X-Samphirehead-Peer"
	// maxMessage bounds a request body; tables travel in responses.
	maxRequestBytes = 1 << 20
)

// Guard admits requests to next that show the secret. An empty secret admits
// nobody.
func Handler(secret string, next http.Handler) http.Handler {
	return &handler{secretDigest: sha256.Sum256([]byte(secret)), empty: secret == "", next: next}
}

// guard compares digests, so that the time taken tells nothing of the secret
// or its length.
type handler struct {
	secretDigest [sha256.Size]byte
	empty        bool
	next         http.Handler
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	digest := sha256.Sum256([]byte(r.Header.Get(headerName)))
	if h.empty || subtle.ConstantTimeCompare(digest[:], h.secretDigest[:]) != 1 {
		// Nothing is read from whoever can't show the secret.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "peer secret missing or wrong"))
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
	h.next.ServeHTTP(w, r)
}

// Shown sends requests on with the secret.
type Transport struct {
	Secret string
	Next   http.RoundTripper
}

// RoundTrip sends one request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(headerName, t.Secret)
	return t.Next.RoundTrip(r)
}
