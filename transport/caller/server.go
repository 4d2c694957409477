// Package caller implements the HTTP server for callers: the list of entries,
// chat completions, calls of plain services and the outcomes of such calls.
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
	// HeaderRepeat is "true" on a call whose idempotency key the caller may
	// have sent before without learning the outcome.
	HeaderRepeat = "X-Samphirehead-Repeat"
)

// Generation is a parsed and authenticated request for a chat completion.
type ChatCall struct {
	Request   id.Request
	Workspace id.Workspace
	// Class is the value of HeaderClass; empty if the caller sent none.
	Class   id.Class
	Chat    *openai.ChatRequest
	Arrived time.Time
}

// Sink receives the events of an answer, in order.
type Sink interface {
	// Deliver sends one event to the caller; an error means that the caller
	// has disconnected or stopped reading.
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
	// Repeat reports whether the caller may have sent IdempotencyKey
	// before; see HeaderRepeat.
	Repeat  bool
	Header  http.Header
	Body    []byte
	Arrived time.Time
}

// ServiceAnswer is the response of a plain service. It is valid only with the
// result answer.Completed.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Entries lists the instances that the callers of a workspace should connect
// to.
type Entries struct {
	// Addresses are IP addresses with ports, in order of preference.
	Addresses []string
	// Lifetime is how long a caller should use the list before it asks
	// again.
	Lifetime time.Duration
}

// Backend handles the requests that the server accepts. An instance implements
// it.
type RequestHandler interface {
	// Authenticate returns the workspace that owns a bearer key.
	Authenticate(key string) (id.Workspace, bool)
	// Ready returns nil if the instance accepts requests, else why it does
	// not. It may wait briefly for the instance to become ready.
	Ready(ctx context.Context) *answer.Failure
	// ManifestVersion returns the active manifest version; 0 means none.
	ManifestVersion() id.ManifestVersion
	Entries(workspace id.Workspace) Entries
	Generate(ctx context.Context, c ChatCall, sink Sink) answer.Result
	Call(ctx context.Context, c ServiceCall) (answer.Result, ServiceAnswer)
	// Outcome returns how an earlier at-most-once call ended, without
	// running it.
	Outcome(ctx context.Context, c ServiceCall) (answer.Result, ServiceAnswer)
}

// Server serves callers over HTTP.
type Server struct {
	RequestHandler RequestHandler
	// MaxBodyBytes bounds the size of a request body.
	MaxBodyBytes int64
	// MaxConcurrent bounds the requests in progress; requests for entries
	// are not counted.
	MaxConcurrent int
	// BodyTimeout bounds the time for reading a request body.
	BodyTimeout time.Duration
	// WriteTimeout bounds each write of a response.
	WriteTimeout time.Duration

	slots chan struct{}
}

// Handler returns the server's HTTP handler. The exported fields must be set
// before. Limits on headers and connections are set on the http.Server that runs
// the handler.
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

type workspaceHandler func(w http.ResponseWriter, r *http.Request, ws id.Workspace)

// authenticate passes on requests with a known bearer key while the instance is
// ready. With allowUnready it needs only a manifest: a draining instance still
// lists entries, so that callers find other instances.
func (s *Server) authenticate(next workspaceHandler, allowUnready bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		manifestLoaded := s.RequestHandler.ManifestVersion() > 0
		if f := s.RequestHandler.Ready(r.Context()); f != nil && (!allowUnready || !manifestLoaded) {
			s.refuse(w, *f)
			return
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			s.refuse(w, answer.Failure{Reason: answer.ReasonUnauthorized, Message: "the Authorization header has no bearer key"})
			return
		}
		ws, ok := s.RequestHandler.Authenticate(key)
		if !ok {
			s.refuse(w, answer.Failure{Reason: answer.ReasonUnauthorized, Message: "the bearer key is unknown"})
			return
		}
		setWorkspace(w, ws)
		next(w, r, ws)
	}
}

func (s *Server) limitConcurrency(next workspaceHandler) workspaceHandler {
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
