// Package call defines the router's requests to upstreams and their replies,
// independent of the HTTP headers that encode them.
package call

import (
	"net/http"
	"net/url"
	"time"

	"samphirehead/coordination/balancer"
	"samphirehead/state/id"
)

// Request is a request as received from a caller. Each of the caller's attempts
// is a Request of its own.
type Request struct {
	ID     id.Request
	Method string
	Host   string
	URL    *url.URL
	// Header is forwarded to the upstream. It has neither hop-by-hop headers
	// nor those that only the router sets.
	Header http.Header
	Body   []byte
	// Budget is how long the caller waits for an answer; 0 if unknown.
	Budget time.Duration
	APIKey string
	// Parts are the parts of the prompt in order; empty for plain services.
	Parts []balancer.Part
	// PromptTokens and OutputTokens are 0 if the caller did not state them.
	// OutputTokens is an upper bound.
	PromptTokens id.Tokens
	OutputTokens id.Tokens
	// Resumes is the id of the request that brought the caller the first event of the
	// stream that this one goes on with; empty for a new request.
	Resumes id.Request
	// LastEventID is the id of the last event that the caller has; empty for a new request.
	LastEventID string
}

// SendOptions are the parameters of sending a request to one upstream.
type SendOptions struct {
	Upstream id.Upstream
	Address  string
	// Budget is the time until the caller stops waiting.
	Budget    time.Duration
	Workspace id.Workspace
	// Urgency ranks requests at the upstream; 0 is the most urgent. A negative
	// one is not sent, because the upstream does not order requests.
	Urgency int
	// LastEventID is the id of the last event that the caller received if a
	// stream is resumed, otherwise empty.
	LastEventID string
	// CopyFrom is the address of an upstream from which this one may copy the
	// KV cache of the parts of the prompt that it lacks; empty for none.
	CopyFrom string
	// NewConnection is set for requests that may run at most once. They are not sent
	// over reused connections, which the upstream may be closing.
	NewConnection bool
	// ConnectedBefore, unless zero, allows only connections that were opened before: the
	// upstream may have started again since, as another one.
	ConnectedBefore time.Time
	// Relayed is set for a request to another instance, which is then at Address.
	Relayed *Relayed
	// Written, unless nil, is called once the whole request has been written, possibly
	// more than once. The body is not read any more then.
	Written func()
}

// Relayed says how another instance is to serve a request.
type Relayed struct {
	ID     id.Request
	APIKey string
	// Version is the version of the routes, and Attempts how many upstreams the request may
	// still be sent to.
	Version  id.ManifestVersion
	Attempts int
	// Resumes is the id of the request that the stream began with, if it is to go on.
	Resumes id.Request
}

// Reply is the metadata of an upstream's answer.
type Reply struct {
	// ID is the id of the request that the upstream answered.
	ID id.Request
	// Sealed is set if the answer has the upstream's seal, which shows that the
	// upstream produced it and no intermediary did.
	Sealed bool
	// NotRun is set if the request was not run and will not be.
	NotRun bool
	// Running and Waiting count the requests at the upstream. Running is
	// negative if the upstream did not report them.
	Running, Waiting int
	// Slowdown is how long work takes at the upstream at this moment, 1 as usual. It is 0
	// if the upstream does not report it.
	Slowdown float64
	// RateLimit is how many requests a second the upstream takes from all instances
	// together. It is negative if the upstream states no limit.
	RateLimit float64
	// Leaving is set if the upstream says that it is about to end.
	Leaving bool
	// MaxRejections is how many requests the upstream can reject in a second for want of room
	// without falling over; 0 if it says nothing of that.
	MaxRejections float64
	// Pause is for how long the upstream, which rejected the request, asks this
	// instance to send it none; 0 if it does not ask.
	Pause time.Duration
}

// Dialect encodes and decodes requests and answers as HTTP headers.
type Dialect interface {
	// ParseRequest decodes a caller's request except for its body.
	ParseRequest(r *http.Request) (*Request, error)
	// SetHeaders sets the headers that the router adds to a request to an
	// upstream.
	SetHeaders(h http.Header, options SendOptions)
	// SetCallerHeaders sets the headers of a caller that ParseRequest removes: the key, and how
	// long the caller waits.
	SetCallerHeaders(h http.Header, apiKey string, budget time.Duration)
	// SetLastEvent sets the id of the last event that the caller has, unless it is empty.
	SetLastEvent(h http.Header, lastEventID string)
	// ParseReply decodes the headers of an upstream's answer.
	ParseReply(r *http.Response) Reply
	// Digest returns a hash of the caller's key and the content of a request.
	Digest(r *Request) id.Fingerprint
	// CleanHeaders removes the headers of an upstream's answer that must not be
	// forwarded to the caller.
	CleanHeaders(h http.Header)
}
