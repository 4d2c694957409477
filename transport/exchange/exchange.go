// Package exchange carries what routers tell each other: Twirp over HTTP,
// authenticated by a secret that all share.
package exchange

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"samphirehead/protocol/exchange"
	"samphirehead/state/fault"
	shared "samphirehead/transport/secret"
)

const (
	dialTimeout = 300 * time.Millisecond
	// swapTimeout bounds an exchange of states, fetchTimeout that of a copy.
	swapTimeout    = 600 * time.Millisecond
	fetchTimeout   = 2 * time.Second
	idleTimeout    = 10 * time.Second
	maxIdlePerPeer = 2
)

// Handler serves other instances that know the secret. An empty secret admits
// nobody.
func Handler(secret string, service exchange.Exchange) http.Handler {
	return shared.Handler(secret, exchange.NewExchangeServer(service))
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
	response, err := c.clientOf(address).Swap(ctx, s)
	return response, fault.Wrap("exchange states", address, err)
}

// Fetch asks the instance at address for its copy of a table.
func (c *Client) Fetch(ctx context.Context, address string, r *exchange.FetchRequest) (*exchange.FetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	response, err := c.clientOf(address).Fetch(ctx, r)
	return response, fault.Wrap("fetch table", address, err)
}

func (c *Client) clientOf(address string) exchange.Exchange {
	c.once.Do(func() {
		transport := &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: maxIdlePerPeer,
		}
		c.http = &http.Client{Transport: &shared.Transport{Secret: c.Secret, Next: transport}}
	})
	return exchange.NewExchangeProtobufClient("http://"+address, c.http)
}
