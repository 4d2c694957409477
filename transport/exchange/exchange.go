// Package exchange carries what routers tell each other: Twirp over HTTP,
// authenticated by a secret that all share.
package exchange

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"samphirehead/protocol/exchange"
	"samphirehead/state/fault"
)

const (
	secretHeader = "X-Samphirehead-Peer"
	maxMessage   = 1 << 20
	dialTimeout  = 300 * time.Millisecond
	// swapTimeout bounds an exchange of states, fetchTimeout that of a copy.
	swapTimeout  = 600 * time.Millisecond
	fetchTimeout = 2 * time.Second
	idleTimeout  = 10 * time.Second
	idlePerPeer  = 2
)

// Handler serves other instances that know the secret. An empty secret admits
// nobody.
func Handler(secret string, service exchange.Exchange) http.Handler {
	want := sha256.Sum256([]byte(secret))
	server := exchange.NewExchangeServer(service)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := sha256.Sum256([]byte(r.Header.Get(secretHeader)))
		if secret == "" || subtle.ConstantTimeCompare(given[:], want[:]) != 1 {
			// Nothing is read from whoever can't show the secret.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "peer secret missing or wrong"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxMessage)
		server.ServeHTTP(w, r)
	})
}

// Client calls other instances. Its exported fields are set before first use.
type Client struct {
	Secret string

	once sync.Once
	http *http.Client
}

// Swap exchanges states with the instance at address.
func (c *Client) Swap(ctx context.Context, address string, s *exchange.State) (*exchange.State, error) {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	answer, err := c.at(address).Swap(ctx, s)
	return answer, fault.At("exchange states", address, err)
}

// Fetch asks the instance at address for its copy of a table.
func (c *Client) Fetch(ctx context.Context, address string, r *exchange.FetchRequest) (*exchange.FetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := c.at(address).Fetch(ctx, r)
	return answer, fault.At("fetch table", address, err)
}

func (c *Client) at(address string) exchange.Exchange {
	c.once.Do(func() {
		transport := &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: idlePerPeer,
		}
		c.http = &http.Client{Transport: &authenticated{secret: c.Secret, next: transport}}
	})
	return exchange.NewExchangeProtobufClient("http://"+address, c.http)
}

type authenticated struct {
	secret string
	next   http.RoundTripper
}

func (a *authenticated) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(secretHeader, a.secret)
	return a.next.RoundTrip(r)
}
