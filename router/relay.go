package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/catchup"
	"samphirehead/coordination/heartbeat"
	"samphirehead/protocol/call"
	"samphirehead/state/id"
	"samphirehead/state/routing"
	"samphirehead/transport/forward"
	"samphirehead/transport/relay"
)

const (
	// maxRelays is to how many other instances a request is sent, one after the other.
	maxRelays = 3
	// Answers of other instances may use 1/relayAnswerDivisor of the memory of the process.
	relayAnswerDivisor = 16
)

// relayTo returns the instance to which the request is to be sent next: this one reaches no
// upstream, and another one does.
func (j *job) relayTo() (heartbeat.Record, bool) {
	r := j.router
	if j.relayed != nil || len(j.relays) >= maxRelays || !r.paths.lost() {
		return heartbeat.Record{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := slices.DeleteFunc(r.membership.Entries(time.Now()), func(p heartbeat.Record) bool {
		return p.PathsLost || p.Instance == r.Settings.Instance || slices.Contains(j.relays, p.Instance)
	})
	return drawByHeadroom(peers)
}

// drawByHeadroom draws an instance in proportion to what it can carry, so that each gets its
// part of the requests of others.
func drawByHeadroom(peers []heartbeat.Record) (heartbeat.Record, bool) {
	total := uint64(0)
	for _, p := range peers {
		total += uint64(max(p.Headroom, 1))
	}
	if total == 0 {
		return heartbeat.Record{}, false
	}
	drawn := rand.Uint64N(total)
	for _, p := range peers {
		weight := uint64(max(p.Headroom, 1))
		if drawn < weight {
			return p, true
		}
		drawn -= weight
	}
	return heartbeat.Record{}, false
}

// awaitRelay is the same as relayTo, but waits until it is known whether this instance has lost
// its paths, if that is being found out.
func (j *job) awaitRelay(ctx context.Context) (heartbeat.Record, bool) {
	if j.relayed != nil {
		return heartbeat.Record{}, false
	}
	j.router.paths.await(ctx)
	return j.relayTo()
}

// relay sends the request to another instance, which serves it as if its caller were there, and
// reads the answer, or only its head if it is a stream. lastEvent is the same as for try.
func (j *job) relay(ctx context.Context, peer heartbeat.Record, lastEvent string) (*attempt, outcome, error) {
	r := j.router
	j.relays = append(j.relays, peer.Instance)
	a := &attempt{relay: peer.Instance, sentAt: time.Now()}
	send := call.SendOptions{
		Address: peer.PeerAddress, Budget: time.Until(j.deadline), LastEventID: lastEvent,
		NewConnection: j.route.Semantics == routing.AtMostOnce, Written: j.retainOnceWritten(),
		Relayed: &call.Relayed{ID: j.ID, APIKey: j.APIKey, Version: j.version, Attempts: j.attemptsLeft()},
	}
	if lastEvent != "" {
		send.Relayed.Resumes = j.streamID()
	}
	r.metrics.Add("relayed_to_peers", 1)
	klog.InfoS("relayed", "request", j.ID, "peer", peer.Instance, "left", send.Budget, "last", lastEvent)
	response, err := r.relays.Send(ctx, j.Request, send)
	if err != nil {
		if errors.Is(err, forward.ErrNotSent) {
			return a, rejected, err
		}
		j.possibleRuns++
		return a, failed, err
	}
	reply := relay.TakeReply(response.Header)
	a.response, a.Software = response, reply.Software
	j.responses = append(j.responses, response)
	r.hearVersion(peer.PeerAddress, reply.Version)
	result, err := j.readAnswer(a)
	j.relayDelay = reply.RetryAfter
	if result != rejected {
		j.possibleRuns += max(reply.Runs, 1)
	}
	return a, result, err
}

// attemptsLeft returns to how many upstreams the request may still be sent.
func (j *job) attemptsLeft() int { return max(j.maxAttempts()-j.possibleRuns, 1) }

// hearVersion has the routes fetched from an instance that follows newer ones: what it does for
// callers of this one shows them that these are in force.
func (r *Router) hearVersion(address string, version id.ManifestVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := catchup.State{Content: r.routes.Revision(), Version: r.versionOf(&r.routes)}
	now := time.Now()
	r.bringUpToDate(now, &r.routes, catchup.PeerHeard{Address: address, Own: own, Peer: catchup.State{Version: version}})
}
