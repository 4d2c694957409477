package peer

import (
	"net/http"
	"time"

	"samphirehead/protocol/peer"
	shared "samphirehead/transport/secret"
)

const (
	readHeaderTimeout = 5 * time.Second
	// maxStreams bounds the waiting calls of one peer.
	maxStreams = 16384
)

// Services are what an instance offers to others. A nil one is not served.
type Services struct {
	Load    peer.Load
	Member  peer.Member
	Control peer.Control
	Limit   peer.Limit
}

func (s Services) servers() []peer.TwirpServer {
	var servers []peer.TwirpServer
	if s.Load != nil {
		servers = append(servers, peer.NewLoadServer(s.Load))
	}
	if s.Member != nil {
		servers = append(servers, peer.NewMemberServer(s.Member))
	}
	if s.Control != nil {
		servers = append(servers, peer.NewControlServer(s.Control))
	}
	if s.Limit != nil {
		servers = append(servers, peer.NewLimitServer(s.Limit))
	}
	return servers
}

// Handler serves the peer services to callers that know secret. An empty
// secret admits nobody.
func Handler(secret string, s Services) http.Handler {
	mux := http.NewServeMux()
	for _, server := range s.servers() {
		mux.Handle(server.PathPrefix(), server)
	}
	return shared.Handler(secret, mux)
}

// NewServer returns a server for handler that speaks HTTP/2 without TLS. The
// caller runs Serve on a listener and Shutdown.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       2 * idleTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
}
