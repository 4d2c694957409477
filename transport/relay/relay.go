// Package relay carries requests of callers from one instance to another over HTTP, with the same
// method, host, path and body, beside headers of its own that the instances' secret protects.
package relay

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"samphirehead/protocol/call"
	"samphirehead/state/id"
	"samphirehead/transport/secret"
)

// Headers of a relayed request and of its answer. They are never passed on.
const (
	headerPrefix   = "Samphire-Relay-"
	headerRequest  = headerPrefix + "Request"
	headerVersion  = headerPrefix + "Routes-Version"
	headerAttempts = headerPrefix + "Attempts"
	headerResumes  = headerPrefix + "Resumes"
	headerOutcome  = headerPrefix + "Outcome"
	headerRuns     = headerPrefix + "Runs"
	headerSoftware = headerPrefix + "Software"
	headerAfter    = headerPrefix + "Retry-After-Ms"
)

// Outcome is what an answer of the other instance means.
type Outcome string

// The outcomes of relayed requests.
const (
	// Answered requests have the answer of an upstream.
	Answered Outcome = "answered"
	// NotRun requests were not run and will not be.
	NotRun Outcome = "not_run"
	// Unknown is the outcome of requests that may have run.
	Unknown Outcome = "unknown"
)

// Request is what one instance tells another of a relayed request.
type Request struct {
	// Version is the version of the routes by which it was routed. One with an older version
	// does not serve it.
	Version id.ManifestVersion
	// Attempts is to how many upstreams it may be sent.
	Attempts int
	// Resumes is the id of the request whose stream goes on; empty for others.
	Resumes id.Request
}

// Reply is what the other instance tells of its answer.
type Reply struct {
	Outcome Outcome
	// Version is that of its routes.
	Version id.ManifestVersion
	// Runs is how many upstreams may have run the request.
	Runs int
	// Software is the version of the upstream that answers.
	Software id.SoftwareVersion
	// RetryAfter is when a request that was not run may be sent again; 0 if unknown.
	RetryAfter time.Duration
}

// IsRelayed reports whether another instance sent the request.
func IsRelayed(r *http.Request, peerSecret string) bool {
	return r.Header.Get(headerRequest) != "" && secret.Matches(r, peerSecret)
}

// ParseRequest decodes and removes the headers of a relayed request.
func ParseRequest(h http.Header) Request {
	out := Request{
		Version:  id.ManifestVersion(number(h.Get(headerVersion))),
		Attempts: int(number(h.Get(headerAttempts))),
		Resumes:  id.Request(h.Get(headerResumes)),
	}
	clean(h)
	secret.Remove(h)
	return out
}

// SetReply sets the headers of an answer to a relayed request.
func SetReply(h http.Header, request id.Request, r Reply) {
	h.Set(headerRequest, string(request))
	h.Set(headerOutcome, string(r.Outcome))
	h.Set(headerVersion, strconv.FormatUint(uint64(r.Version), 10))
	h.Set(headerRuns, strconv.Itoa(r.Runs))
	h.Set(headerSoftware, string(r.Software))
	if r.RetryAfter > 0 {
		h.Set(headerAfter, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
}

// TakeReply decodes and removes the headers of an answer.
func TakeReply(h http.Header) Reply {
	out := Reply{
		Outcome:    Outcome(h.Get(headerOutcome)),
		Version:    id.ManifestVersion(number(h.Get(headerVersion))),
		Runs:       int(number(h.Get(headerRuns))),
		Software:   id.SoftwareVersion(h.Get(headerSoftware)),
		RetryAfter: time.Duration(number(h.Get(headerAfter))) * time.Millisecond,
	}
	clean(h)
	return out
}

// maxNumber bounds the numbers in headers.
const maxNumber = 1 << 53

func number(value string) uint64 {
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0
	}
	return min(n, maxNumber)
}

func clean(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// Dialect encodes requests to other instances, and decodes their answers. An answer of an
// upstream is as the embedded Dialect decodes it, but says nothing of the other instance.
type Dialect struct {
	call.Dialect
	Secret string
}

// SetHeaders sets the headers of a request to another instance.
func (d Dialect) SetHeaders(h http.Header, options call.SendOptions) {
	clean(h)
	relayed := options.Relayed
	d.SetCallerHeaders(h, relayed.APIKey, options.Budget)
	d.SetLastEvent(h, options.LastEventID)
	secret.Set(h, d.Secret)
	h.Set(headerRequest, string(relayed.ID))
	h.Set(headerVersion, strconv.FormatUint(uint64(relayed.Version), 10))
	h.Set(headerAttempts, strconv.Itoa(relayed.Attempts))
	if relayed.Resumes != "" {
		h.Set(headerResumes, string(relayed.Resumes))
	}
}

// ParseReply decodes the headers of an answer.
func (d Dialect) ParseReply(r *http.Response) call.Reply {
	reply := call.Reply{
		ID: id.Request(r.Header.Get(headerRequest)), Running: -1, RateLimit: -1,
		NotRun: Outcome(r.Header.Get(headerOutcome)) == NotRun,
	}
	if Outcome(r.Header.Get(headerOutcome)) == Answered {
		reply.Sealed = d.Dialect.ParseReply(r).Sealed
	}
	return reply
}
