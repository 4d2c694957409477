package score

import (
	"math"
	"slices"
	"strings"
	"time"

	"samphirehead/bench/load"
	"samphirehead/protocol/answer"
	"samphirehead/state/id"
)

const (
	// drainGrace is how long a draining instance may still accept requests.
	drainGrace = 3 * time.Second
	// shedGrace is how long a request of a lower tier must have held its
	// slot already when one of a higher tier is refused. Requests that have
	// just started or are being ended do not count.
	shedGrace = 100 * time.Millisecond
	// keyPrefix marks the idempotency keys that package load generates.
	keyPrefix = "key-"
)

func (r *Run) violations() Violations {
	v := Violations{
		DuplicateRuns:  r.duplicateRuns(),
		FalseNotRun:    r.falseNotRun(),
		ShedAboveLower: r.shedAboveLower(),
		CutByDrain:     r.cutByDrain(),
		ConfigReverts:  r.configReverts(),
		WorkAfterDrain: r.workAfterDrain(),
	}
	for _, record := range r.Records {
		if record.Truncated {
			v.TruncatedAnswers++
		}
		if record.Crossed {
			v.CrossedAnswers++
		}
	}
	return v
}

type callKey struct{ key, path string }

// runCounts sums, over all workers of the services, how often the call of each
// key and path ran.
func (r *Run) runCounts() map[callKey]int {
	counts := map[callKey]int{}
	for _, s := range r.Services {
		for _, run := range s.Runs {
			counts[callKey{run.Key, run.Path}] += run.Count
		}
	}
	return counts
}

func (r *Run) duplicateRuns() int {
	n := 0
	for k, count := range r.runCounts() {
		if strings.HasPrefix(k.key, keyPrefix) {
			n += count - 1
		}
	}
	return n
}

// receivedRequests returns the ids of all requests that an upstream received.
func (r *Run) receivedRequests() map[string]bool {
	received := map[string]bool{}
	for _, e := range r.Engines {
		for _, a := range e.Truth.Requests {
			received[a.Request] = true
		}
	}
	for _, s := range r.Services {
		for _, run := range s.Runs {
			for _, request := range run.Requests {
				received[request] = true
			}
		}
	}
	delete(received, "")
	return received
}

// falseNotRun counts attempts that were answered not_run although an upstream
// received them, and keys that ran although every attempt was answered
// not_run or not sent.
func (r *Run) falseNotRun() int {
	received := r.receivedRequests()
	n := 0
	// mayHaveRun holds the keys with an attempt that does not rule a run
	// out, and those that are counted already.
	mayHaveRun := map[callKey]bool{}
	for _, record := range r.Records {
		k := callKey{record.Job.Key, record.Job.Path}
		for _, a := range record.Attempts {
			notRun := a.Outcome == answer.OutcomeNotRun
			if notRun && received[a.RequestID] {
				n++
				mayHaveRun[k] = true
			}
			if !notRun && !a.Unsent {
				mayHaveRun[k] = true
			}
		}
	}
	for k, count := range r.runCounts() {
		if strings.HasPrefix(k.key, keyPrefix) && count > 0 && !mayHaveRun[k] {
			n++
		}
	}
	return n
}

// slotUse is the time during which a request held a slot of an engine. A zero
// end means that it still holds the slot.
type slotUse struct {
	tier       id.Tier
	start, end time.Time
}

// shedAboveLower counts requests that were refused for lack of capacity while
// lower tiers held more slots of the model's engines than their minimum shares
// add up to.
func (r *Run) shedAboveLower() int {
	uses := map[id.Model][]slotUse{}
	n := 0
	for _, record := range r.Records {
		s := record.Job.Stream
		if s.Model == "" {
			continue
		}
		for _, a := range record.Attempts {
			if !refusedForCapacity(a) {
				continue
			}
			if _, ok := uses[s.Model]; !ok {
				uses[s.Model] = r.slotUses(s.Model)
			}
			if lowerTierSlotsAt(uses[s.Model], s.Tier, a.EndedAt) > r.minimumShareSlots(s.Model, s.Tier) {
				n++
			}
		}
	}
	return n
}

func refusedForCapacity(a load.Attempt) bool {
	capacityReason := a.Reason == answer.ReasonOverloaded || a.Reason == answer.ReasonDeadline
	return a.Outcome == answer.OutcomeNotRun && capacityReason
}

// slotUses lists all slot uses of the engines that serve a model, including
// those by requests for other models.
func (r *Run) slotUses(m id.Model) []slotUse {
	var uses []slotUse
	for _, e := range r.Engines {
		if !slices.Contains(e.Models, m) {
			continue
		}
		for _, a := range e.Truth.Requests {
			if a.StartedUnixUS == 0 {
				continue
			}
			use := slotUse{tier: id.Tier(a.Tier), start: time.UnixMicro(a.StartedUnixUS)}
			if a.EndedUnixUS != 0 {
				use.end = time.UnixMicro(a.EndedUnixUS)
			}
			uses = append(uses, use)
		}
	}
	return uses
}

// lowerTierSlotsAt counts the slots that lower tiers than the given one held at
// a time and for shedGrace before it. A lower tier has a higher number.
func lowerTierSlotsAt(uses []slotUse, tier id.Tier, at time.Time) int {
	n := 0
	for _, use := range uses {
		running := use.start.Before(at.Add(-shedGrace)) && (use.end.IsZero() || use.end.After(at))
		if use.tier > tier && running {
			n++
		}
	}
	return n
}

// minimumShareSlots is the number of slots that the minimum shares of all
// classes below a tier add up to. Each share is rounded up.
func (r *Run) minimumShareSlots(m id.Model, tier id.Tier) int {
	slots := 0
	for _, e := range r.Engines {
		if slices.Contains(e.Models, m) {
			slots += e.Slots
		}
	}
	n := 0
	for _, c := range r.Classes {
		if c.Tier > tier {
			n += int(math.Ceil(c.MinimumShare * float64(slots)))
		}
	}
	return n
}

func (r *Run) drainsOf(entry string) []Drain {
	var drains []Drain
	for _, d := range r.Drains {
		if d.Entry == entry {
			drains = append(drains, d)
		}
	}
	return drains
}

// cutByDrain counts attempts that were in progress at an instance while it was
// draining and were cut off.
func (r *Run) cutByDrain() int {
	n := 0
	for _, record := range r.Records {
		for _, a := range record.Attempts {
			if cutOff(a) && slices.ContainsFunc(r.drainsOf(a.Entry), func(d Drain) bool { return overlapsDrain(a, d) }) {
				n++
			}
		}
	}
	return n
}

// cutOff reports whether an attempt ended early for a reason that is neither
// its upstream's nor its caller's.
func cutOff(a load.Attempt) bool {
	if a.Unsent || a.GaveUp {
		return false
	}
	endedByInstance := a.Reason == answer.ReasonDraining || a.Reason == answer.ReasonCancelled
	definite := a.Outcome == answer.OutcomeCompleted || a.Outcome == answer.OutcomeNotRun
	return a.Broken || (endedByInstance && !definite)
}

func overlapsDrain(a load.Attempt, d Drain) bool {
	return a.EndedAt.After(d.Started) && (d.Ended.IsZero() || a.SentAt.Before(d.Ended))
}

// workAfterDrain counts attempts that an instance accepted although they were
// sent more than drainGrace after it had started to drain.
func (r *Run) workAfterDrain() int {
	n := 0
	for _, record := range r.Records {
		for _, a := range record.Attempts {
			accepted := a.Status != 0 && a.Outcome != answer.OutcomeNotRun
			afterGrace := func(d Drain) bool {
				return a.SentAt.After(d.Started.Add(drainGrace)) && (d.Ended.IsZero() || a.SentAt.Before(d.Ended))
			}
			if accepted && slices.ContainsFunc(r.drainsOf(a.Entry), afterGrace) {
				n++
			}
		}
	}
	return n
}

// configReverts counts responses whose manifest version is older than one that
// the same entry had returned before the request was sent.
func (r *Run) configReverts() int {
	byEntry := map[string][]load.Attempt{}
	for _, record := range r.Records {
		for _, a := range record.Attempts {
			if a.ManifestVersion != 0 {
				byEntry[a.Entry] = append(byEntry[a.Entry], a)
			}
		}
	}
	n := 0
	for _, attempts := range byEntry {
		n += countReverts(attempts)
	}
	return n
}

func countReverts(attempts []load.Attempt) int {
	bySentAt := slices.Clone(attempts)
	slices.SortFunc(bySentAt, func(a, b load.Attempt) int { return a.SentAt.Compare(b.SentAt) })
	slices.SortFunc(attempts, func(a, b load.Attempt) int { return a.EndedAt.Compare(b.EndedAt) })
	n, next, highest := 0, 0, uint64(0)
	for _, a := range bySentAt {
		for ; next < len(attempts) && attempts[next].EndedAt.Before(a.SentAt); next++ {
			highest = max(highest, attempts[next].ManifestVersion)
		}
		if a.ManifestVersion < highest {
			n++
		}
	}
	return n
}
