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
	// leaveGrace is how long a leaving instance may still take new work.
	leaveGrace = 3 * time.Second
	// shedGrace is how long lower work must have been running already when
	// higher work is refused, so that work which has just begun or is being
	// ended does not count.
	shedGrace = 100 * time.Millisecond
	// keyPrefix marks the idempotency keys of the load's callers.
	keyPrefix = "key-"
)

func (r *Run) violations() Violations {
	v := Violations{
		DuplicateRuns:  r.duplicateRuns(),
		FalseNotRun:    r.falseNotRun(),
		ShedAboveLower: r.shedAboveLower(),
		CutByDrain:     r.cutByDrain(),
		ConfigReverts:  r.configReverts(),
		WorkAfterLeave: r.workAfterLeave(),
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

type runKey struct{ key, path string }

// runs counts the runs of each key over all workers of the services.
func (r *Run) runs() map[runKey]int {
	counts := map[runKey]int{}
	for _, s := range r.Services {
		for _, run := range s.Runs {
			counts[runKey{run.Key, run.Path}] += run.Count
		}
	}
	return counts
}

func (r *Run) duplicateRuns() int {
	n := 0
	for k, count := range r.runs() {
		if strings.HasPrefix(k.key, keyPrefix) {
			n += count - 1
		}
	}
	return n
}

// received returns the ids of all requests that reached an upstream.
func (r *Run) received() map[string]bool {
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

// falseNotRun counts answers "not run" to requests that an upstream received,
// and keys that ran although every answer to them was "not run".
func (r *Run) falseNotRun() int {
	received := r.received()
	n := 0
	// mayHaveRun holds the keys with an answer that does not rule a run out.
	mayHaveRun := map[runKey]bool{}
	for _, record := range r.Records {
		k := runKey{record.Job.Key, record.Job.Path}
		for _, t := range record.Told {
			notRun := t.Outcome == answer.OutcomeNotRun
			if notRun && received[t.Request] {
				n++
				mayHaveRun[k] = true
			}
			if !notRun && !t.Unsent {
				mayHaveRun[k] = true
			}
		}
	}
	for k, count := range r.runs() {
		if strings.HasPrefix(k.key, keyPrefix) && count > 0 && !mayHaveRun[k] {
			n++
		}
	}
	return n
}

// interval is a time in which an attempt held a slot.
type interval struct {
	tier       id.Tier
	start, end time.Time
}

// shedAboveLower counts refusals for want of capacity while lower tiers held
// more slots of the model's engines than their minimum shares.
func (r *Run) shedAboveLower() int {
	held := map[id.Model][]interval{}
	n := 0
	for _, record := range r.Records {
		s := record.Job.Stream
		if s.Model == "" {
			continue
		}
		for _, t := range record.Told {
			if !shed(t) {
				continue
			}
			if _, ok := held[s.Model]; !ok {
				held[s.Model] = r.heldSlots(s.Model)
			}
			if lowerAt(held[s.Model], s.Tier, t.EndedAt) > r.entitled(s.Model, s.Tier) {
				n++
			}
		}
	}
	return n
}

func shed(t load.Told) bool {
	forCapacity := t.Reason == answer.ReasonOverloaded || t.Reason == answer.ReasonDeadline
	return t.Outcome == answer.OutcomeNotRun && forCapacity
}

// heldSlots lists who held slots of the engines that serve a model, whatever
// model the holder wanted.
func (r *Run) heldSlots(m id.Model) []interval {
	var held []interval
	for _, e := range r.Engines {
		if !slices.Contains(e.Models, m) {
			continue
		}
		for _, a := range e.Truth.Requests {
			if a.StartedUnixUS == 0 {
				continue
			}
			i := interval{tier: id.Tier(a.Tier), start: time.UnixMicro(a.StartedUnixUS)}
			if a.EndedUnixUS != 0 {
				i.end = time.UnixMicro(a.EndedUnixUS)
			}
			held = append(held, i)
		}
	}
	return held
}

// lowerAt counts the slots that tiers below one held at a time, and for
// shedGrace before.
func lowerAt(held []interval, tier id.Tier, at time.Time) int {
	n := 0
	for _, i := range held {
		running := i.start.Before(at.Add(-shedGrace)) && (i.end.IsZero() || i.end.After(at))
		if i.tier > tier && running {
			n++
		}
	}
	return n
}

// entitled is how many slots the minimum shares of the classes below a tier
// come to, rounded up for each class.
func (r *Run) entitled(m id.Model, tier id.Tier) int {
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

func (r *Run) leaveOf(entry string) []Leave {
	var leaves []Leave
	for _, l := range r.Leaves {
		if l.Entry == entry {
			leaves = append(leaves, l)
		}
	}
	return leaves
}

// cutByDrain counts requests that were under way at an instance while it left
// and did not get a proper end.
func (r *Run) cutByDrain() int {
	n := 0
	for _, record := range r.Records {
		for _, t := range record.Told {
			if cut(t) && slices.ContainsFunc(r.leaveOf(t.Entry), func(l Leave) bool { return underWay(t, l) }) {
				n++
			}
		}
	}
	return n
}

// cut reports whether a request was broken off for no reason of its upstream's
// or its caller's.
func cut(t load.Told) bool {
	if t.Unsent || t.GaveUp {
		return false
	}
	brokenOff := t.Reason == answer.ReasonDraining || t.Reason == answer.ReasonCancelled
	told := t.Outcome == answer.OutcomeCompleted || t.Outcome == answer.OutcomeNotRun
	return t.Broken || (brokenOff && !told)
}

func underWay(t load.Told, l Leave) bool {
	return t.EndedAt.After(l.Began) && (l.Ended.IsZero() || t.SentAt.Before(l.Ended))
}

// workAfterLeave counts requests that an instance took leaveGrace after it
// began to leave.
func (r *Run) workAfterLeave() int {
	n := 0
	for _, record := range r.Records {
		for _, t := range record.Told {
			taken := t.Status != 0 && t.Outcome != answer.OutcomeNotRun
			late := func(l Leave) bool {
				return t.SentAt.After(l.Began.Add(leaveGrace)) && (l.Ended.IsZero() || t.SentAt.Before(l.Ended))
			}
			if taken && slices.ContainsFunc(r.leaveOf(t.Entry), late) {
				n++
			}
		}
	}
	return n
}

// configReverts counts answers with an older manifest version than one that
// the same entry had answered with before the request was sent.
func (r *Run) configReverts() int {
	byEntry := map[string][]load.Told{}
	for _, record := range r.Records {
		for _, t := range record.Told {
			if t.Version != 0 {
				byEntry[t.Entry] = append(byEntry[t.Entry], t)
			}
		}
	}
	n := 0
	for _, told := range byEntry {
		n += reverts(told)
	}
	return n
}

func reverts(told []load.Told) int {
	bySent := slices.Clone(told)
	slices.SortFunc(bySent, func(a, b load.Told) int { return a.SentAt.Compare(b.SentAt) })
	slices.SortFunc(told, func(a, b load.Told) int { return a.EndedAt.Compare(b.EndedAt) })
	n, ended, highest := 0, 0, uint64(0)
	for _, t := range bySent {
		for ; ended < len(told) && told[ended].EndedAt.Before(t.SentAt); ended++ {
			highest = max(highest, told[ended].Version)
		}
		if t.Version < highest {
			n++
		}
	}
	return n
}
