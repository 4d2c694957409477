package router

import (
	"net/http"
	"time"

	"samphirehead/protocol/call"
	"samphirehead/state/metrics"
	"samphirehead/transport/relay"
)

const (
	// Requests of other instances may hold 1/relayedMemoryDivisor of the memory of the process,
	// each its body and relayedRequestBytes.
	relayedMemoryDivisor = 16
	relayedRequestBytes  = 32 << 10
	// defaultRelayedMemory applies if the memory of the process is not known.
	defaultRelayedMemory = 64 << 20
)

// serveRelayed serves a request of a caller of another instance, which reaches no upstream.
func (r *Router) serveRelayed(w http.ResponseWriter, request *http.Request) {
	info := relay.ParseRequest(request.Header)
	r.metrics.Add("relayed_for_peers", 1)
	j := &job{router: r, w: w, chunkedAllowed: true, arrived: time.Now(), Request: &call.Request{}, relayed: &info}
	size := relayedRequestBytes + max(request.ContentLength, 0)
	if !r.relayedMemory.Reserve(size) {
		j.refuse(memoryFull)
		return
	}
	defer r.relayedMemory.Release(size)
	r.serve(j, request)
}

// admitRelayed returns a reason to refuse a request that another instance has routed by a
// version of the routes, or "".
func (j *job) admitRelayed() reason {
	switch {
	case j.relayed == nil:
		return ""
	case j.version < j.relayed.Version:
		return routesOutdated
	case j.router.paths.lost():
		return pathsLost
	}
	if j.relayed.Resumes != "" {
		j.Resumes = j.relayed.Resumes
	}
	// The rest of the request may take as long as its answer.
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Time{})
	return ""
}

// maxAttempts returns to how many upstreams the request may be sent.
func (j *job) maxAttempts() int {
	if j.relayed != nil {
		return min(j.route.MaxAttempts, max(j.relayed.Attempts, 1))
	}
	return j.route.MaxAttempts
}

// setRelayReply tells the instance that relayed the request, if one did, what the answer means.
func (j *job) setRelayReply(reply relay.Reply) {
	if j.relayed == nil {
		return
	}
	reply.Version, reply.Runs = j.version, j.possibleRuns
	relay.SetReply(j.w.Header(), j.ID, reply)
}

// relayOutcome returns what an answer of this instance itself means.
func relayOutcome(o metrics.Outcome) relay.Outcome {
	if o == metrics.NotRun {
		return relay.NotRun
	}
	return relay.Unknown
}
