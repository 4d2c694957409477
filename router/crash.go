package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/quarantine"
	"samphirehead/state/id"
	"samphirehead/transport/forward"
)

// sharedPartNames returns the names of the parts of the prompt that other requests may
// have, too. The last part belongs to the request.
func (j *job) sharedPartNames() []string {
	var names []string
	for i := range len(j.Parts) - 1 {
		names = append(names, j.Parts[i].Name)
	}
	return names
}

// quarantined reports whether the request must not be sent to an upstream.
func (j *job) quarantined() bool {
	j.router.mu.Lock()
	defer j.router.mu.Unlock()
	return j.router.quarantines.contains(time.Now(), j.digest, j.sharedParts)
}

// trial reports whether the request is sent though parts of its prompt are quarantined.
func (j *job) trial() bool {
	r := j.router
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	trial := r.quarantines.trial(now, keptID(j.ID), j.digest, j.sharedParts, r.Settings.Instance, r.liveInstances(now))
	if trial {
		klog.InfoS("quarantined part tried", "request", j.ID, "route", j.route.Name, "parts", j.sharedPartNames())
	}
	return trial
}

// retryCrashes reports whether a retry after a possible crash would probably crash a
// further upstream.
func (j *job) retryCrashes() bool {
	j.router.mu.Lock()
	defer j.router.mu.Unlock()
	return j.router.quarantines.parts.SuspectsChiefly(j.sharedParts)
}

// recordCrash records that the upstream gave no complete answer, for the reason err. It may
// have crashed, and the request may be the cause. If the connection was lost before the first
// event, a part of the prompt may be.
func (j *job) recordCrash(ctx context.Context, a *attempt, err error) {
	r := j.router
	r.paths.await(ctx)
	if a.relay != "" || r.paths.lost() {
		// Another instance records it, or the upstream was only out of reach.
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	effects := r.quarantines.requests.Step(now, quarantine.Crashed{
		Upstream: a.Upstream,
		InFlight: []quarantine.InFlight{{Request: keptID(j.ID), Fingerprint: j.digest}},
	})
	j.handleStarted(now, quarantine.Request, a, effects)
	if a.started || !forward.LostConnection(err) {
		return
	}
	crashed := quarantine.Crashed{Upstream: a.Upstream}
	for _, part := range j.sharedParts {
		crashed.InFlight = append(crashed.InFlight, quarantine.InFlight{Request: keptID(j.ID), Fingerprint: part})
	}
	j.handleStarted(now, quarantine.Part, a, r.quarantines.parts.Step(now, crashed))
}

// handleStarted logs the quarantines that start with a crash under the request, and
// has them stored.
func (j *job) handleStarted(now time.Time, kind quarantine.Kind, a *attempt, effects []quarantine.Effect) {
	for _, effect := range effects {
		if started, ok := effect.(quarantine.Started); ok {
			klog.InfoS("quarantined", "request", j.ID, "route", j.route.Name, "upstream", a.Upstream, "kind", kind,
				"fingerprint", started.Fingerprint, "part", j.partName(started.Fingerprint))
		}
	}
	j.router.quarantines.handle(now, kind, effects)
}

// partName returns the name of the part with a fingerprint, or "" if the prompt has
// none.
func (j *job) partName(f id.Fingerprint) string {
	for i, part := range j.sharedParts {
		if part == f {
			return j.Parts[i].Name
		}
	}
	return ""
}

// clearRequest records that the request was answered completely.
func (j *job) clearRequest() {
	j.router.mu.Lock()
	defer j.router.mu.Unlock()
	j.router.quarantines.requests.Step(time.Now(), quarantine.Completed{Fingerprint: j.digest})
}

// clearParts records that an upstream wrote the first part of the answer, and was not
// crashed by a part of the prompt.
func (j *job) clearParts() {
	j.router.mu.Lock()
	defer j.router.mu.Unlock()
	now := time.Now()
	for _, part := range j.sharedParts {
		effects := j.router.quarantines.parts.Step(now, quarantine.Completed{Fingerprint: part})
		j.router.quarantines.handle(now, quarantine.Part, effects)
	}
}
