// Package exchange is the RPC transport between routers: Twirp over HTTP,
// authenticated by a shared secret.
package exchange

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"samphirehead/protocol/exchange"
	"samphirehead/state/fault"
	"samphirehead/transport/bound"
	shared "samphirehead/transport/secret"
)

const (
	dialTimeout = 300 * time.Millisecond
	// swapTimeout bounds an exchange of states, fetchTimeout the fetch of a
	// table.
	swapTimeout  = 600 * time.Millisecond
	fetchTimeout = 2 * time.Second
	// permitTimeout bounds the wait for a permit: the caller of the request waits, too.
	permitTimeout = 150 * time.Millisecond
	// originsTimeout bounds a call of the service Origins, which may include a read of the
	// platform.
	originsTimeout = time.Second
	// collectTimeout bounds a call of the service Usage, which is made again soon.
	collectTimeout = 400 * time.Millisecond
	idleTimeout    = 10 * time.Second
	maxIdlePerPeer = 2
	// maxResponseBytes bounds a response. Tables are the largest ones.
	maxResponseBytes = 16 << 20
)

// Handler returns a handler that serves service to callers that send secret.
// With an empty secret it rejects every call.
func Handler(secret string, service exchange.Exchange) http.Handler {
	return shared.Handler(secret, exchange.NewExchangeServer(service))
}

// OriginsHandler is the same for the service that tells where streams began.
func OriginsHandler(secret string, service exchange.Origins) http.Handler {
	return shared.Handler(secret, exchange.NewOriginsServer(service))
}

// UsageHandler is the same for the service that gathers counts of requests.
func UsageHandler(secret string, service exchange.Usage) http.Handler {
	return shared.Handler(secret, exchange.NewUsageServer(service))
}

// Client calls other instances. Exported fields must be set before the first
// call.
type Client struct {
	Secret string

	once sync.Once
	http *http.Client
}

// Swap sends s to the instance at address and returns the state of that
// instance.
func (c *Client) Swap(ctx context.Context, address string, s *exchange.State) (*exchange.State, error) {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	response, err := c.clientOf(address).Swap(ctx, s)
	return response, fault.Wrap("exchange states", address, err)
}

// Fetch returns the copy of a table that the instance at address has.
func (c *Client) Fetch(ctx context.Context, address string, r *exchange.FetchRequest) (*exchange.FetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	response, err := c.clientOf(address).Fetch(ctx, r)
	return response, fault.Wrap("fetch table", address, err)
}

// Permit asks the instance at address for a permit.
func (c *Client) Permit(ctx context.Context, address string, r *exchange.PermitRequest) (*exchange.PermitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	response, err := c.clientOf(address).Permit(ctx, r)
	return response, fault.Wrap("ask for a permit", address, err)
}

// Locate asks the instance at address where a stream began.
func (c *Client) Locate(ctx context.Context, address string, r *exchange.LocateRequest) (*exchange.LocateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, originsTimeout)
	defer cancel()
	response, err := exchange.NewOriginsProtobufClient("http://"+address, c.httpClient()).Locate(ctx, r)
	return response, fault.Wrap("locate stream", address, err)
}

// Confirm asks the instance at address for the state of its list of upstreams.
func (c *Client) Confirm(ctx context.Context, address string) (*exchange.ConfirmResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, originsTimeout)
	defer cancel()
	response, err := exchange.NewOriginsProtobufClient("http://"+address, c.httpClient()).Confirm(ctx, &exchange.ConfirmRequest{})
	return response, fault.Wrap("confirm upstreams", address, err)
}

// Collect passes counts of requests to the instance at address.
func (c *Client) Collect(ctx context.Context, address string, counts *exchange.UsageCounts) (*exchange.UsageReceipt, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	response, err := exchange.NewUsageProtobufClient("http://"+address, c.httpClient()).Collect(ctx, counts)
	return response, fault.Wrap("pass usage on", address, err)
}

// Recall asks the instance at address what it knows of the reports of usage.
func (c *Client) Recall(ctx context.Context, address string, r *exchange.RecallRequest) (*exchange.RecallResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	response, err := exchange.NewUsageProtobufClient("http://"+address, c.httpClient()).Recall(ctx, r)
	return response, fault.Wrap("recall usage", address, err)
}

func (c *Client) clientOf(address string) exchange.Exchange {
	return exchange.NewExchangeProtobufClient("http://"+address, c.httpClient())
}

func (c *Client) httpClient() *http.Client {
	c.once.Do(func() {
		transport := &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: maxIdlePerPeer,

			MaxResponseHeaderBytes: bound.MaxHeaderBytes,
		}
		bounded := &bound.Transport{Next: transport, MaxBytes: maxResponseBytes, FramedOnly: true}
		c.http = &http.Client{Transport: &shared.Transport{Secret: c.Secret, Next: bounded}}
	})
	return c.http
}
