package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"samphirehead/protocol/peer"
)

const (
	secretHeader = "X-Samphirehead-Peer"
	// maxMessage bounds a request body; a manifest travels in responses.
	maxMessage        = 1 << 20
	readHeaderTimeout = 5 * time.Second
	// maxStreams bounds the waiting calls of one peer.
	maxStreams = 16384
)

// Services are what an instance offers to others. A nil one is not served.
type Services struct {
	Home    peer.Home
	Entry   peer.Entry
	Member  peer.Member
	Control peer.Control
	Limit   peer.Limit
}

func (s Services) servers() []peer.TwirpServer {
	var servers []peer.TwirpServer
	if s.Home != nil {
		servers = append(servers, peer.NewHomeServer(s.Home))
	}
	if s.Entry != nil {
		servers = append(servers, peer.NewEntryServer(s.Entry))
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
	for _, one := range s.servers() {
		mux.Handle(one.PathPrefix(), one)
	}
	return &guard{secret: sha256.Sum256([]byte(secret)), empty: secret == "", next: mux}
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

// guard compares digests, so that the time taken tells nothing of the secret
// or its length.
type guard struct {
	secret [sha256.Size]byte
	empty  bool
	next   http.Handler
}

func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	given := sha256.Sum256([]byte(r.Header.Get(secretHeader)))
	if g.empty || subtle.ConstantTimeCompare(given[:], g.secret[:]) != 1 {
		// Nothing is read from whoever can't show the secret.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "peer secret missing or wrong"))
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxMessage)
	g.next.ServeHTTP(w, r)
}
