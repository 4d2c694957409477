// Package peer carries calls between instances: Twirp over HTTP/2 without
// TLS, authenticated by the shared peer secret. One connection to each address
// carries many waiting calls.
package peer

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/coordination/member"
	"samphirehead/protocol/peer"
	"samphirehead/transport/secret"
)

const (
	dialTimeout = time.Second
	// callTimeout bounds every call.
	callTimeout = 2 * time.Second
	// pingAfter and pingTimeout end waiting calls to a machine that is gone.
	readIdleTimeout = 1500 * time.Millisecond
	pingTimeout     = time.Second
	// idleTimeout bounds the connections that probes leave behind where
	// there are many members. It is longer than a round of probes at a few.
	idleTimeout = 10 * time.Second
	// maxConnections bounds the connections to one address when many calls
	// start before the first connection stands.
	maxConnections = 4
)

// Clients calls other instances. Fields are set before the first call.
type Clients struct {
	// Secret is shared by all instances of the system.
	Secret string
	// Wrap replaces the round tripper in tests, to lose or delay messages;
	// nil means none.
	Wrap func(http.RoundTripper) http.RoundTripper

	once       sync.Once
	transport  *http.Transport
	httpClient *http.Client

	mu    sync.Mutex
	peers map[string]*clientSet
}

// clientSet holds the clients of one address.
type clientSet struct {
	load   peer.Load
	member peer.Member

	control peer.Control
}

// Load returns the client to which loads are told at a peer address.
func (c *Clients) Load(address string) peer.Load { return c.clientsOf(address).load }

// Member returns the client of the member at a peer address.
func (c *Clients) Member(address string) peer.Member { return c.clientsOf(address).member }

// Control returns the client of the controls at a peer address.
func (c *Clients) Control(address string) peer.Control { return c.clientsOf(address).control }

// CloseIdle closes connections that carry no call.
func (c *Clients) CloseIdle() {
	c.once.Do(c.init)
	c.transport.CloseIdleConnections()
}

// Forget drops the clients of addresses that keep does not hold, so that the
// cache stays bounded by the members.
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
		HTTP2: &http.HTTP2Config{
			StrictMaxConcurrentRequests: true,
			SendPingTimeout:             readIdleTimeout,
			PingTimeout:                 pingTimeout,
		},
	}
}

// EvidenceOf says what a failed call tells about its peer.
func ClassifyError(err error) member.Evidence {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return member.Refused
	}
	return member.TimedOut
}
