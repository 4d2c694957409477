package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"samphirehead/coordination/rendezvous"
	"samphirehead/state/id"
)

const (
	// trialTimeout is how long after the start of a trial without a result the next one
	// may start.
	trialTimeout = 2 * time.Second
	// trialInstances is how many instances make trials of a quarantined part at least, and one
	// in trialShare does. maxFailedTrials is how many may end in a crash at each.
	trialInstances  = 3
	trialShare      = 8
	maxFailedTrials = 1
	// trialTurn is how long each of the instances has its turn to start trials, so that the
	// trials of two parts don't meet at one upstream.
	trialTurn = time.Second
	// trialPause is how long after the last crash a part is tried that no other part can be
	// mistaken for, and trialPauseFactor how many times longer after each further crash.
	trialPause       = 5 * time.Second
	trialPauseFactor = 6
	// maxFurtherCrashes is how many crashes after the quarantine of a part end its trials at
	// all instances.
	maxFurtherCrashes = 2
	// maxHeld bounds the sets of quarantined parts of refused requests.
	maxHeld = 64
)

// trial is the last request with a quarantined part that was sent all the same.
type trial struct {
	request id.Request
	failed  int
}

// Trial reports whether a request with these parts may be sent, though some are quarantined, to
// learn whether it is they that crash upstreams: an answer that begins ends their quarantine.
// It may if other parts explain the same crashes, or if it is the only way to learn that the
// one quarantined part has stopped. Trials follow one another, and end after maxFailedTrials
// crashes of each part. They are made in turn by a few instances that rendezvous hashing picks
// of the live ones, the same for all parts that may be mistaken for one another.
func (d *Diagnosis) Trial(now time.Time, request id.Request, parts []id.Fingerprint, self id.Instance, live []id.Instance) bool {
	d.init()
	var tried, suspects []id.Fingerprint
	for _, f := range parts {
		switch d.Verdict(now, f) {
		case Quarantined:
			tried = append(tried, f)
		case Suspected:
			suspects = append(suspects, f)
		}
	}
	slices.Sort(tried)
	tells := d.refusedMore(tried) || len(tried) == 1 &&
		(d.isTied(tried) || d.hasRival(tried, suspects) || len(suspects) == 0 && d.mayHaveStopped(now, tried[0]))
	if !tells || !d.mayTry(now, tried) || !d.hasTurn(now, tried, self, live) {
		d.refused.Add(fmt.Sprint(tried), tried)
		return false
	}
	for _, f := range tried {
		last, _ := d.trials.Peek(f)
		d.trials.Add(f, trial{request, last.failed})
	}
	d.trialStarted = now
	d.trialRequest = request
	return true
}

// hasTurn reports whether this instance may start a trial of these parts now. Clocks that differ
// let two instances have a turn at once, which maxFurtherCrashes bounds.
func (d *Diagnosis) hasTurn(now time.Time, tried []id.Fingerprint, self id.Instance, live []id.Instance) bool {
	key := tried[0]
	for _, c := range d.crashes {
		if slices.ContainsFunc(tried, func(f id.Fingerprint) bool { return d.maySuspect(c, f) }) {
			key = min(key, slices.Min(d.suspectsOf(c)))
		}
	}
	homes := rendezvous.Homes(strconv.FormatUint(uint64(key), 16), live, max(trialInstances, len(live)/trialShare))
	place := slices.Index(homes, self)
	turn := int(now.UnixMilli() / trialTurn.Milliseconds())
	return place >= 0 && place%trialInstances == turn%min(trialInstances, len(homes))
}

// mayTry reports whether no trial runs here, and not too many of one of the parts have failed.
func (d *Diagnosis) mayTry(now time.Time, parts []id.Fingerprint) bool {
	if !d.trialStarted.IsZero() && now.Sub(d.trialStarted) < trialTimeout {
		return false
	}
	untried := false
	for _, f := range parts {
		last, _ := d.trials.Peek(f)
		_, further := d.furtherCrashes(f)
		untried = untried || last.failed < maxFailedTrials && further < maxFurtherCrashes
	}
	return untried
}

// isTied reports whether a part that these don't hold was quarantined for the same crashes as
// one of them.
func (d *Diagnosis) isTied(parts []id.Fingerprint) bool {
	for _, f := range parts {
		held, _ := d.quarantined.Peek(f)
		for _, other := range d.quarantined.Keys() {
			o, _ := d.quarantined.Peek(other)
			if !slices.Contains(parts, other) && o.First.Equal(held.First) && o.Last.Equal(held.Last) {
				return true
			}
		}
	}
	return false
}

// hasRival reports whether a part of other requests may have caused several of the crashes of
// one of these quarantined parts, so that an answer tells them apart. The other suspects of the
// request must be in those requests, too: else they might be the cause of
// a crash.
func (d *Diagnosis) hasRival(tried, suspects []id.Fingerprint) bool {
	crashes := make(map[id.Fingerprint]int)
	for _, c := range d.crashes {
		if !slices.ContainsFunc(tried, func(f id.Fingerprint) bool { return d.maySuspect(c, f) }) {
			continue
		}
		for _, rival := range d.suspectsOf(c) {
			if !slices.Contains(tried, rival) && !slices.Contains(suspects, rival) && c.comesWith(rival, suspects) {
				crashes[rival]++
			}
		}
	}
	return slices.ContainsFunc(slices.Collect(maps.Values(crashes)), func(n int) bool { return n > 1 })
}

// mayHaveStopped reports whether so much time has passed since the last crash of a quarantined
// part that it may be tried alone. An instance that has just heard of it does not know of all
// crashes.
func (d *Diagnosis) mayHaveStopped(now time.Time, f id.Fingerprint) bool {
	last, further := d.furtherCrashes(f)
	pause := trialPause
	for range min(further, maxFurtherCrashes) {
		pause *= trialPauseFactor
	}
	held, _ := d.quarantined.Peek(f)
	return now.Sub(last) >= pause && now.Sub(held.since) >= pause
}

// furtherCrashes returns the time of the last crash that a quarantined part may have caused, and
// how many it did after its quarantine, with no other part of the same request to blame.
func (d *Diagnosis) furtherCrashes(f id.Fingerprint) (last time.Time, n int) {
	held, _ := d.quarantined.Peek(f)
	last = held.Last
	for _, c := range d.crashes {
		if !c.at.After(held.Last) || !d.maySuspect(c, f) {
			continue
		}
		last = c.at
		blamed := func(r Record) bool { return r.Fingerprint == f && !d.hasOtherCause(c, r) }
		if slices.ContainsFunc(c.records, blamed) {
			n++
		}
	}
	return last, n
}

// hasOtherCause reports whether the request of a record had another part that is quarantined or
// may have caused several crashes.
func (d *Diagnosis) hasOtherCause(c crash, r Record) bool {
	return slices.ContainsFunc(c.records, func(other Record) bool {
		if other.Request != r.Request || other.Fingerprint == r.Fingerprint || !d.suspects(other) {
			return false
		}
		crashes, _ := d.crashesOf(other.Fingerprint)
		return d.quarantined.Contains(other.Fingerprint) || crashes > 1
	})
}

// refusedMore reports whether a refused request had all of these quarantined parts and others.
func (d *Diagnosis) refusedMore(parts []id.Fingerprint) bool {
	for _, key := range d.refused.Keys() {
		refused, _ := d.refused.Peek(key)
		missing := func(f id.Fingerprint) bool { return !slices.Contains(refused, f) }
		if len(refused) > len(parts) && !slices.ContainsFunc(parts, missing) {
			return true
		}
	}
	return false
}

// trialsCrashed records the trials among the requests that a crash lost. If another part of such
// a request may have caused earlier crashes, it is quarantined with the parts that were tried,
// and these may be tried again: in other requests.
func (d *Diagnosis) trialsCrashed(now time.Time, records []Record) []Effect {
	var effects []Effect
	for _, r := range records {
		if r.Request != d.trialRequest {
			continue
		}
		d.trialStarted = time.Time{}
		if n, first := d.crashesOf(r.Fingerprint); n > 1 && !d.quarantined.Contains(r.Fingerprint) {
			q := Quarantine{Fingerprint: r.Fingerprint, First: first, Last: r.At}
			effects = append(effects, d.quarantine(heldPart{q, now, true}))
		}
	}
	for _, r := range records {
		last, ok := d.trials.Peek(r.Fingerprint)
		if ok && last.request == r.Request && len(effects) == 0 {
			d.trials.Add(r.Fingerprint, trial{failed: last.failed + 1})
		}
	}
	return effects
}
