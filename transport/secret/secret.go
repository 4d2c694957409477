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
	header = "X-Samphirehead-Peer"
	// maxMessage bounds a request body; tables travel in responses.
	maxMessage = 1 << 20
)

// Guard admits requests to next that show the secret. An empty secret admits
// nobody.
func Guard(secret string, next http.Handler) http.Handler {
	return &guard{secret: sha256.Sum256([]byte(secret)), empty: secret == "", next: next}
}

// guard compares digests, so that the time taken tells nothing of the secret
// or its length.
type guard struct {
	secret [sha256.Size]byte
	empty  bool
	next   http.Handler
}

func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	given := sha256.Sum256([]byte(r.Header.Get(header)))
	if g.empty || subtle.ConstantTimeCompare(given[:], g.secret[:]) != 1 {
		// Nothing is read from whoever can't show the secret.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "peer secret missing or wrong"))
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxMessage)
	g.next.ServeHTTP(w, r)
}

// Shown sends requests on with the secret.
type Shown struct {
	Secret string
	Next   http.RoundTripper
}

// RoundTrip sends one request.
func (s *Shown) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(header, s.Secret)
	return s.Next.RoundTrip(r)
}
