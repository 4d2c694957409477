package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/resumption"
	"samphirehead/protocol/exchange"
	"samphirehead/state/id"
)

// maxAskedPeers is how many instances at most are asked where a stream began.
const maxAskedPeers = 8

// maxPresumedWait bounds the wait for those that may contradict what is presumed.
const maxPresumedWait = 300 * time.Millisecond

// isResumption reports whether the caller resumes a stream that it has events of.
func (j *job) isResumption() bool {
	return j.route.Resumable && (j.Resumes != "" || j.LastEventID != "")
}

// findOrigin binds a request that resumes a stream to the service and the software version
// that began it. It returns false if these are not known, or the route no longer leads
// there.
func (j *job) findOrigin(ctx context.Context) bool {
	services := j.route.Services()
	var stream id.Request
	if j.Resumes != "" {
		stream = j.streamID()
	}
	found, known, err := j.router.locate(ctx, stream, services)
	askedPeers := !known && stream != "" || found.Presumed
	if askedPeers {
		found, known = j.router.askPeers(ctx, stream, services, found)
	}
	klog.InfoS("stream origin sought", "request", j.ID, "resumes", j.Resumes, "found", known, "presumed", found.Presumed,
		"service", found.Service, "software", found.Software, "asked_peers", askedPeers, "err", err)
	if !known || !slices.Contains(services, found.Service) {
		return false
	}
	j.service, j.software, j.resumedAt = found.Service, &found.Software, j.arrived
	return true
}

// remembered returns where a stream began that this instance has sent.
func (r *Router) remembered(request id.Request) (resumption.Found, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	origin, known := r.ownOrigin(request)
	return resumption.Found{Origin: origin}, known
}

// locate returns where a stream began, if this instance has sent it or the platform can be
// read and tells.
func (r *Router) locate(ctx context.Context, request id.Request, services []id.Service) (found resumption.Found, known bool, err error) {
	if found, known = r.remembered(request); known {
		return found, true, nil
	}
	published, err := r.readOrigins(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	found, known = r.origins.tracker.Find(time.Now(), request, services, published)
	return found, known, err
}

// Locate tells another instance where a stream began.
func (r *Router) Locate(ctx context.Context, request *exchange.LocateRequest) (*exchange.LocateResponse, error) {
	services := make([]id.Service, len(request.Services))
	for i, service := range request.Services {
		services[i] = id.Service(service)
	}
	found, known := r.remembered(id.Request(request.Request))
	if !known && !request.FromMemory {
		var err error
		found, known, err = r.locate(ctx, id.Request(request.Request), services)
		if err != nil {
			klog.V(1).InfoS("stream not located for a peer", "resumes", request.Request, "err", err)
		}
	}
	answer := &exchange.LocateResponse{Known: known, Presumed: found.Presumed, Versions: r.versionsOf(services)}
	if known {
		answer.Service, answer.Software = string(found.Service), string(found.Software)
	}
	return answer, nil
}

// versionsOf returns how many versions a stream of the services may have begun at, as far as this
// instance knows; 1 if it knows of none.
func (r *Router) versionsOf(services []id.Service) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return uint32(max(1, r.origins.tracker.Versions(time.Now(), services)))
}

// askPeers asks other instances where a stream began: one of them may have sent it, or
// reach the platform when this one does not. The first that knows it ends the search. What this
// instance or another only presumes holds unless one knows of several versions.
func (r *Router) askPeers(ctx context.Context, request id.Request, services []id.Service, presumed resumption.Found) (resumption.Found, bool) {
	message := &exchange.LocateRequest{Request: string(request), FromMemory: presumed.Presumed}
	for _, service := range services {
		message.Services = append(message.Services, string(service))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if presumed.Presumed {
		defer time.AfterFunc(maxPresumedWait, cancel).Stop()
	}
	contradicted := false
	addresses := r.peersToAsk(maxAskedPeers)
	answers := r.locateAt(ctx, addresses, message)
	for range addresses {
		answer := <-answers
		switch {
		case answer == nil:
		case answer.Known && !answer.Presumed:
			return foundBy(answer), true
		case answer.Versions > 1, answer.Versions == 0 && !answer.Known:
			contradicted = true
		case answer.Known:
			presumed = foundBy(answer)
		}
	}
	return presumed, presumed.Presumed && !contradicted
}

func foundBy(answer *exchange.LocateResponse) resumption.Found {
	origin := resumption.Origin{Service: id.Service(answer.Service), Software: id.SoftwareVersion(answer.Software)}
	return resumption.Found{Origin: origin, Presumed: answer.Presumed}
}

// locateAt asks the instances at some addresses. The channel receives an answer from each, nil if
// there was none.
func (r *Router) locateAt(ctx context.Context, addresses []string, message *exchange.LocateRequest) <-chan *exchange.LocateResponse {
	answers := make(chan *exchange.LocateResponse, len(addresses))
	for _, address := range addresses {
		go func() {
			answer, err := r.peers.Locate(ctx, address, message)
			if err != nil {
				klog.V(1).InfoS("peer did not locate a stream", "peer", address, "err", err)
				answer = nil
			}
			answers <- answer
		}()
	}
	return answers
}

// peersToAsk returns the addresses of up to limit live peers, drawn at random.
func (r *Router) peersToAsk(limit int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	for _, peer := range r.membership.Live(time.Now()) {
		if peer.Instance != r.Settings.Instance {
			addresses = append(addresses, peer.PeerAddress)
		}
	}
	rand.Shuffle(len(addresses), func(i, k int) { addresses[i], addresses[k] = addresses[k], addresses[i] })
	return addresses[:min(limit, len(addresses))]
}
