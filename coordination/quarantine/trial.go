package quarantine

import (
	"fmt"
	"slices"
	"time"

	"samphirehead/state/id"
)

const (
	// trialTimeout is how long after the start of a trial without a result the next one
	// may start.
	trialTimeout = 5 * time.Second
	// TrialInstances is how many instances make trials of a quarantined fingerprint, and
	// maxFailedTrials how many may end in a crash at each: one may do so for another
	// reason.
	TrialInstances  = 3
	maxFailedTrials = 1
	// maxHeld bounds the sets of quarantined fingerprints of refused requests.
	maxHeld = 64
)

// trial is the last request with a quarantined fingerprint that was sent all the same.
type trial struct {
	startedAt time.Time
	failed    int
}

// Trial reports whether a request with these fingerprints may be sent, though some are
// quarantined, to learn whether it is they that crash upstreams: under a crash, all that
// the request has are suspects. It may if the quarantined ones among them are fewer than
// those of another request, which explain its crashes as well, or if there is only one and
// no suspect beside it. A completion then ends the quarantine. Trials of a fingerprint
// follow one another, and end after maxFailedTrials crashes. home is set if this instance is
// one of the TrialInstances.
func (t *Tracker) Trial(now time.Time, fingerprints []id.Fingerprint, home bool) bool {
	t.init()
	var tried, suspects []id.Fingerprint
	for _, f := range fingerprints {
		switch t.Verdict(now, f) {
		case Quarantined:
			tried = append(tried, f)
		case Suspected:
			suspects = append(suspects, f)
		}
	}
	slices.Sort(tried)
	allowed := home && !slices.ContainsFunc(tried, func(f id.Fingerprint) bool { return !t.mayTry(now, f) }) &&
		(t.holdsMore(tried) || len(tried) == 1 && len(suspects) == 0)
	if !allowed {
		t.held.Add(fmt.Sprint(tried), tried)
		return false
	}
	for _, f := range tried {
		last, _ := t.trials.Peek(f)
		t.trials.Add(f, trial{startedAt: now, failed: last.failed})
	}
	return true
}

// mayTry reports whether no trial of a fingerprint runs, and not too many have failed.
func (t *Tracker) mayTry(now time.Time, f id.Fingerprint) bool {
	last, _ := t.trials.Peek(f)
	running := !last.startedAt.IsZero() && now.Sub(last.startedAt) < trialTimeout
	return !running && last.failed < maxFailedTrials
}

// holdsMore reports whether a refused request had all of these quarantined fingerprints and
// others.
func (t *Tracker) holdsMore(fingerprints []id.Fingerprint) bool {
	for _, key := range t.held.Keys() {
		held, _ := t.held.Peek(key)
		missing := func(f id.Fingerprint) bool { return !slices.Contains(held, f) }
		if len(held) > len(fingerprints) && !slices.ContainsFunc(fingerprints, missing) {
			return true
		}
	}
	return false
}

// trialCrashed records that a trial may have ended in a crash.
func (t *Tracker) trialCrashed(now time.Time, r Record) {
	last, ok := t.trials.Peek(r.Fingerprint)
	if !ok || !r.Local || last.startedAt.IsZero() || now.Sub(last.startedAt) >= trialTimeout {
		return
	}
	t.trials.Add(r.Fingerprint, trial{failed: last.failed + 1})
}
