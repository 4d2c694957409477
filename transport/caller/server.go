// Package caller serves the protocol that callers speak: entries, chat
// completions, calls to plain services and their outcomes.
package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"samphirehead/protocol/answer"
	"samphirehead/protocol/openai"
	"samphirehead/state/id"
)

// The headers of the caller protocol.
const (
	HeaderClass           = "X-Samphirehead-Class"
	HeaderOutcome         = "X-Samphirehead-Outcome"
	HeaderManifestVersion = "X-Samphirehead-Manifest-Version"
	HeaderRequestID       = "X-Request-Id"
	HeaderIdempotencyKey  = "Idempotency-Key"
	// HeaderRepeat is "true" on a call whose key may have been sent before
	// without a known outcome.
	HeaderRepeat = "X-Samphirehead-Repeat"
)

// Generation is a checked request for a chat completion.
type Generation struct {
	Request   id.Request
	Workspace id.Workspace
	// Class is empty when the caller named none.
	Class   id.Class
	Chat    *openai.ChatRequest
	Arrived time.Time
}

// Sink takes the events of an answer, in order.
type Sink interface {
	// Deliver hands on one event; an error means that the caller is gone.
	Deliver(ev openai.Event) error
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Request        id.Request
	Workspace      id.Workspace
	Service        id.Service
	Method         string
	Path           string
	Query          string
	IdempotencyKey string
	// Repeat says that the caller may have sent the key before.
	Repeat  bool
	Header  http.Header
	Body    []byte
	Arrived time.Time
}

// ServiceAnswer is the answer of a plain service; it holds when the result is
// answer.Completed.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Entries is the answer to where a workspace should connect.
type Entries struct {
	// Addresses are IP numbers with ports, the best first.
	Addresses []string
	Lifetime  time.Duration
}

// Backend is what the server asks; an instance implements it.
type Backend interface {
	// Authenticate returns the workspace that owns a bearer key.
	Authenticate(key string) (id.Workspace, bool)
	// Ready returns nil when the instance may take requests. It may wait a
	// little for that.
	Ready(ctx context.Context) *answer.Failure
	// ManifestVersion is the version in force.
	ManifestVersion() id.ManifestVersion
	Entries(workspace id.Workspace) Entries
	Generate(ctx context.Context, g Generation, sink Sink) answer.Result
	Call(ctx context.Context, c ServiceCall) (answer.Result, ServiceAnswer)
	// Outcome tells again how an at-most-once call ended.
	Outcome(ctx context.Context, c ServiceCall) (answer.Result, ServiceAnswer)
}

// Server serves callers.
type Server struct {
	Backend Backend
	// MaxBodyBytes bounds request bodies.
	MaxBodyBytes int64
	// MaxConcurrent bounds requests in progress.
	MaxConcurrent int
	// BodyTimeout bounds the reading of a request's body.
	BodyTimeout time.Duration
	// WriteTimeout bounds one write to a caller that reads slowly.
	WriteTimeout time.Duration

	slots chan struct{}
}

// Handler returns the server's HTTP handler. The fields must be set before.
// Limits on headers and connections belong to the http.Server around it.
func (s *Server) Handler() http.Handler {
	s.slots = make(chan struct{}, s.MaxConcurrent)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", s.authenticate(s.entries, true))
	mux.HandleFunc("POST /v1/chat/completions", s.authenticate(s.limitConcurrency(s.chat), false))
	mux.HandleFunc("GET /v1/outcomes/{key}", s.authenticate(s.limitConcurrency(s.outcome), false))
	mux.HandleFunc("/v1/services/{service}/{path...}", s.authenticate(s.limitConcurrency(s.call), false))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, answer.Failure{Reason: answer.ReasonNotFound, Message: "no such path: " + r.URL.Path})
	})
	return s.protect(mux)
}

type handler func(w http.ResponseWriter, r *http.Request, ws id.Workspace)

// authenticated admits callers with a known key while the instance is ready.
// A leaving instance still lists entries, so that callers find others.
func (s *Server) authenticate(next handler, allowUnready bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		manifestLoaded := s.Backend.ManifestVersion() > 0
		if f := s.Backend.Ready(r.Context()); f != nil && (!allowUnready || !manifestLoaded) {
			s.refuse(w, *f)
			return
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			s.refuse(w, answer.Failure{Reason: answer.ReasonUnauthorized, Message: "a bearer key is needed"})
			return
		}
		ws, ok := s.Backend.Authenticate(key)
		if !ok {
			s.refuse(w, answer.Failure{Reason: answer.ReasonUnauthorized, Message: "the bearer key is not known"})
			return
		}
		setWorkspace(w, ws)
		next(w, r, ws)
	}
}

func (s *Server) limitConcurrency(next handler) handler {
	return func(w http.ResponseWriter, r *http.Request, ws id.Workspace) {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
			next(w, r, ws)
		default:
			s.refuse(w, answer.Failure{
				Reason:     answer.ReasonOverloaded,
				Message:    "the instance has too many requests in progress",
				RetryAfter: time.Second,
			})
		}
	}
}
