package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirehead/state/id"
)

// SeeEra notes an era that the platform has stated.
func (r *Reporter) SeeEra(era uint64) { r.since = cmp.Or(r.since, era) }

// Hear notes that the duty was held under a fencing number until a time or later; the zero time if
// that is not known.
func (r *Reporter) Hear(number id.FencingNumber, confirmedAt time.Time) {
	if r.heard == nil {
		r.heard = make(confirmations)
	}
	r.heard.add(number, confirmedAt)
}

// LastHeard returns the highest fencing number of which this process has heard; 0 if there is none.
// It goes with the counts: who counts a window anew has to know that there was a holder.
func (r *Reporter) LastHeard() (last id.FencingNumber) {
	for number := range r.heard {
		last = max(last, number)
	}
	return last
}

// History returns what this process knows of the reports.
func (r *Reporter) History() History {
	h := History{
		Reported: r.reported, Decided: r.carried, Settled: r.Ledger.Settled(), Since: r.since,
		Heard: slices.Collect(maps.Keys(r.heard)), Vouched: r.heard.since(r.inTouchSince),
		Unused: slices.Clone(r.unused),
	}
	if r.certain && r.pending != nil && r.pending.written {
		h.Decided = &r.pending.Report
	}
	if h.Decided != nil && h.Decided.Window <= h.Settled {
		h.Decided = nil
	}
	return h
}

// Hold notes that this process has acquired the duty under a fencing number, also if it loses it
// before Acquired. The number is unused until reports are decided under it.
func (r *Reporter) Hold(number id.FencingNumber) {
	if number == r.number || slices.Contains(r.unused, number) {
		return
	}
	r.unused = append(r.unused, number)
	r.unused = r.unused[max(len(r.unused)-maxNumbers, 0):]
}

// Certain reports whether it is known which windows were reported before the duty was acquired.
func (r *Reporter) Certain() bool { return r.certain }

// LeftOut returns how many windows with requests were not reported because it was not known
// whether they had been.
func (r *Reporter) LeftOut() uint64 { return r.leftOut }

// stayInTouch notes whether this process may miss which others hold the duty: it was paused for
// as long as another needs to acquire it, or sees none of the instances that it has seen before.
func (r *Reporter) stayInTouch(now time.Time, live []id.Instance) {
	alone := len(live) < 2 && r.sawOthers
	if alone || now.Sub(r.lastTick) >= r.Lease {
		r.inTouchSince = now
	}
	r.lastTick, r.sawOthers = now, r.sawOthers || len(live) > 1
	if r.held {
		r.Hear(r.number, now)
	}
}

// acquired begins to hold the duty under a number. Nobody else held it since if this process had
// it under the same number before.
func (r *Reporter) acquired(now time.Time, number id.FencingNumber) {
	r.held = true
	if number == r.number {
		return
	}
	r.carried = r.History().Decided
	r.Hold(number)
	r.number, r.heldSince = number, now
	r.Hear(number, now)
	r.loaded, r.certain, r.pending = false, false, nil
}

// recalled ends the doubt if histories tell what was reported before, or if there is none. Windows
// of which nobody knows in time are left out: a missing report is better than a second one.
func (r *Reporter) recalled(now time.Time, ev Recalled) {
	if !r.loaded || r.certain {
		return
	}
	current := r.Windows.At(now)
	histories := []History{r.History()}
	for _, h := range ev.Histories {
		if !h.valid(current) {
			ev.All = false
			continue
		}
		histories = append(histories, h)
		r.Ledger.Settle(h.Settled)
	}
	last, known := lastReporter(histories, r.number)
	switch {
	case r.doubtful == 0:
		if len(ev.Histories) > 0 || ev.All || now.Sub(r.heldSince) >= recallTime {
			r.becomeCertain(nil)
		}
	case ev.All && r.neverReported(histories):
		r.becomeCertain(nil)
	case ev.All && known:
		r.becomeCertain(last.Decided)
	default:
		r.leaveOut(now)
	}
}

// neverReported reports whether there are no rows because there were no reports: all processes
// and all holders are of this era, whose rows are all there.
func (r *Reporter) neverReported(histories []History) bool {
	earlier := slices.ContainsFunc(histories, func(h History) bool { return h.Since != 0 && h.Since < r.era })
	return r.noRows && !earlier && !slices.ContainsFunc(reportedNumbers(histories, r.number), func(n id.FencingNumber) bool {
		return n.Era() < r.era
	})
}

// becomeCertain begins to report. decided is the report that the holder before may have sent;
// nil if there is none.
func (r *Reporter) becomeCertain(decided *Report) {
	r.certain, r.reported, r.carried = true, r.number, nil
	r.unused = slices.DeleteFunc(r.unused, func(n id.FencingNumber) bool { return n == r.number })
	if decided != nil && decided.Window > r.Ledger.Settled() {
		r.Ledger.Settle(decided.Window - 1)
		r.pending = &decision{Report: *decided}
	}
}

// leaveOut settles the doubtful windows whose reports can't wait any longer.
func (r *Reporter) leaveOut(now time.Time) {
	patience := time.Duration(doubtShare * float64(r.Lateness))
	for w := max(r.Ledger.Settled(), r.doubtful-MaxWindows) + 1; w <= r.doubtful; w++ {
		if now.Before(r.Windows.End(w).Add(patience)) {
			return
		}
		if len(r.Ledger.Total(w)) > 0 {
			r.leftOut++
		}
		r.Ledger.Settle(w)
	}
	r.becomeCertain(nil)
}
