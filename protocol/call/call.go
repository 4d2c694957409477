// Package call holds what instances, callers and upstreams say to each other
// about one request, apart from how it is spelled on the wire.
package call

import (
	"net/http"
	"net/url"
	"time"

	"samphirehead/coordination/choice"
	"samphirehead/state/id"
)

// Request is one attempt of a caller.
type Request struct {
	ID     id.Request
	Method string
	Host   string
	URL    *url.URL
	// Header is passed on; it holds nothing that concerns one connection, and
	// nothing that is the router's to set.
	Header http.Header
	Body   []byte
	// Budget is how long the caller waits; 0 if it does not say.
	Budget time.Duration
	APIKey string
	// Parts of the prompt, in order; empty for plain services.
	Parts []choice.Part
	// PromptTokens and OutputTokens are 0 where the caller does not say.
	// OutputTokens is an upper bound.
	PromptTokens id.Tokens
	OutputTokens id.Tokens
}

// Send is what the router tells an upstream with a request.
type SendOptions struct {
	Upstream id.Upstream
	Address  string
	// Budget is how long the caller still waits.
	Budget    time.Duration
	Workspace id.Workspace
	// Urgency is 0 for the first; negative where the upstream has no order.
	Urgency int
	// LastEvent is the last event that the caller has, where a stream goes on.
	LastEventID string
	// Once is set for requests that may run at most once and do not stream.
	NewConnection bool
}

// Reply is what an upstream says of its answer.
type Reply struct {
	// ID is the request that the answer belongs to.
	ID id.Request
	// Sealed answers come from the upstream's own work.
	Sealed bool
	// NotRun states that the request was not run and will not be.
	NotRun bool
	// Running and Waiting are the upstream's load; Running is negative where
	// it does not tell.
	Running, Waiting int
}

// Dialect spells requests and answers on the wire.
type Dialect interface {
	// Request reads what a caller sends, without the body.
	Request(r *http.Request) (*Request, error)
	// Send writes the router's words into the header to an upstream.
	Send(h http.Header, s SendOptions)
	// Reply reads an upstream's answer.
	Reply(r *http.Response) Reply
	// Digest identifies the content of a request of one caller.
	Digest(r *Request) id.Fingerprint
	// Answer removes from an answer what is not for the caller.
	Answer(h http.Header)
}
