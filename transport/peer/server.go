package peer

import (
	"net/http"
	"time"

	"samphirehead/protocol/peer"
	shared "samphirehead/transport/secret"
)

const (
	readHeaderTimeout = 5 * time.Second
	// maxStreams bounds the concurrent calls on one connection of a peer.
	maxStreams = 16384
)

// Services holds the services that an instance offers to others. A nil service
// is not served.
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

// Handler returns a handler that serves s to callers that send secret. With an
// empty secret it rejects every call.
func Handler(secret string, s Services) http.Handler {
	mux := http.NewServeMux()
	for _, server := range s.servers() {
		mux.Handle(server.PathPrefix(), server)
	}
	return shared.Handler(secret, mux)
}

// NewServer returns a server for handler that accepts HTTP/1 and HTTP/2 without
// TLS. The caller calls Serve and Shutdown.
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
