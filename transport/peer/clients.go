// Package peer is the RPC transport between instances: Twirp over HTTP/2 without
// TLS, authenticated by the shared peer secret. Calls to one address share a
// connection, which can carry many waiting calls.
package peer

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/coordination/membership"
	"samphirehead/protocol/peer"
	"samphirehead/transport/bound"
	"samphirehead/transport/secret"
)

const (
	dialTimeout = time.Second
	// callTimeout bounds each call.
	callTimeout = 2 * time.Second
	// A connection without a frame from the peer for readIdleTimeout is
	// pinged, and closed if no reply arrives within pingTimeout. This ends
	// waiting calls to an instance whose host has failed.
	readIdleTimeout = 1500 * time.Millisecond
	pingTimeout     = time.Second
	// idleTimeout closes the connections that probes leave idle where there
	// are many members. It is longer than one round of probes where there are
	// few, so that their connections are reused.
	idleTimeout = 10 * time.Second
	// maxConnections bounds the connections to one address when many calls
	// start before the first connection is established.
	maxConnections = 4
	// maxResponseBytes bounds a response. Manifests are the largest ones.
	maxResponseBytes = 64 << 20
)

// Clients holds the clients that call other instances. Exported fields must be
// set before the first call. The methods may be called concurrently.
type Clients struct {
	// Secret is shared by all instances of the system.
	Secret string
	// Wrap returns the round tripper to use instead of its argument. Tests set
	// it to lose or delay messages. Nil means no replacement.
	Wrap func(http.RoundTripper) http.RoundTripper

	once       sync.Once
	transport  *http.Transport
	httpClient *http.Client

	mu    sync.Mutex
	peers map[string]*clientSet
}

// clientSet holds the service clients of one address.
type clientSet struct {
	load   peer.Load
	member peer.Member

	control peer.Control
}

// Load returns the client of the load service at a peer address.
func (c *Clients) Load(address string) peer.Load { return c.clientsOf(address).load }

// Member returns the client of the membership service at a peer address.
func (c *Clients) Member(address string) peer.Member { return c.clientsOf(address).member }

// Control returns the client of the control service at a peer address.
func (c *Clients) Control(address string) peer.Control { return c.clientsOf(address).control }

// CloseIdle closes the connections that carry no call.
func (c *Clients) CloseIdle() {
	c.once.Do(c.init)
	c.transport.CloseIdleConnections()
}

// Retain drops the cached clients of all other addresses, so that the size of the
// cache is bounded by the number of members.
func (c *Clients) Retain(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.peers {
		if !addresses[address] {
			delete(c.peers, address)
		}
	}
}

func (c *Clients) clientsOf(address string) *clientSet {
	c.once.Do(c.init)
	c.mu.Lock()
	defer c.mu.Unlock()
	if set, ok := c.peers[address]; ok {
		return set
	}
	url := "http://" + address
	set := &clientSet{
		load:   peer.NewLoadProtobufClient(url, c.httpClient),
		member: peer.NewMemberProtobufClient(url, c.httpClient),

		control: peer.NewControlProtobufClient(url, c.httpClient),
	}
	c.peers[address] = set
	return set
}

func (c *Clients) init() {
	c.peers = map[string]*clientSet{}
	c.transport = newTransport()
	var roundTripper http.RoundTripper = c.transport
	if c.Wrap != nil {
		roundTripper = c.Wrap(roundTripper)
	}
	roundTripper = &bound.Transport{Next: roundTripper, MaxBytes: maxResponseBytes, FramedOnly: true}
	roundTripper = &secret.Transport{Secret: c.Secret, Next: roundTripper}
	c.httpClient = &http.Client{Transport: roundTripper, Timeout: callTimeout}
}

func newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:       protocols,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: idleTimeout,
		MaxConnsPerHost: maxConnections,

		MaxResponseHeaderBytes: bound.MaxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			StrictMaxConcurrentRequests: true,
			SendPingTimeout:             readIdleTimeout,
			PingTimeout:                 pingTimeout,
		},
	}
}

// ClassifyError returns what the error of a call indicates about the state of its
// peer: membership.Refused if the peer's host refused the connection, otherwise
// membership.TimedOut.
func ClassifyError(err error) membership.Evidence {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return membership.Refused
	}
	return membership.TimedOut
}
