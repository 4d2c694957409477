// Package secret authenticates instances to each other with a secret that all
// of them share.
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
	// maxRequestBytes bounds a request body. It does not bound tables, which
	// are sent in responses.
	maxRequestBytes = 1 << 20
)

// Handler forwards requests that carry the secret to next, and rejects all
// others. If secret is empty, all requests are rejected.
func Handler(secret string, next http.Handler) http.Handler {
	return &handler{secret: secret, next: next}
}

type handler struct {
	secret string
	next   http.Handler
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !Matches(r, h.secret) {
		// Read no body from clients without the secret.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "peer secret missing or wrong"))
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
	h.next.ServeHTTP(w, r)
}

// Matches reports whether a request carries the secret. It does not if secret is empty. It
// compares digests, so that the duration reveals neither the secret nor its length.
func Matches(r *http.Request, secret string) bool {
	digest, want := sha256.Sum256([]byte(r.Header.Get(headerName))), sha256.Sum256([]byte(secret))
	return secret != "" && subtle.ConstantTimeCompare(digest[:], want[:]) == 1
}

// Set sets the header with the secret.
func Set(h http.Header, secret string) { h.Set(headerName, secret) }

// Remove removes the header with the secret.
func Remove(h http.Header) { h.Del(headerName) }

// Transport is an http.RoundTripper that adds the secret to each request and
// sends it over Next.
type Transport struct {
	Secret string
	Next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper. It does not modify r.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(headerName, t.Secret)
	return t.Next.RoundTrip(r)
}
