package usage

import (
	"maps"
	"slices"
	"time"

	"samphirehead/state/id"
)

// maxNumbers bounds the fencing numbers that a process remembers, and those that it is told.
const maxNumbers = 16

// History is what a process knows of the reports. Unlike a row, it is not lost when the platform
// is restored from a copy.
type History struct {
	// Reported is the last fencing number under which the process itself decided reports; 0 if
	// there is none. It knows of all reports up to then: those that are settled, and Decided.
	Reported id.FencingNumber
	// Decided is the report that may have been sent under Reported and is not settled; nil if
	// there is none.
	Decided *Report
	// Settled is the last window that is settled, as far as the process knows.
	Settled Window
	// Since is the era of the platform in which the process started; 0 if it has heard of none.
	Since uint64
	// Unused holds the fencing numbers under which the process held the duty and decided
	// nothing, and Heard those of which it has heard, of any holder.
	Unused, Heard []id.FencingNumber
	// Vouched holds the numbers of Heard whose holders held the duty at a time since which the
	// process has been in touch with others: it has heard of all later ones.
	Vouched []id.FencingNumber
}

// valid reports whether a history may be of a process whose clock is right. current is the
// window of now.
func (h History) valid(current Window) bool {
	return h.Settled <= current && (h.Decided == nil || h.Decided.Window <= current) &&
		len(h.Unused) <= maxNumbers && len(h.Heard) <= maxNumbers && len(h.Vouched) <= maxNumbers
}

// confirmations holds when fencing numbers were last confirmed, as far as known: the zero time if
// that is not known. If there are too many, the lowest ones are dropped.
type confirmations map[id.FencingNumber]time.Time

func (c confirmations) add(number id.FencingNumber, at time.Time) {
	if before, known := c[number]; number == 0 || known && !at.After(before) {
		return
	}
	c[number] = at
	if len(c) > maxNumbers {
		delete(c, slices.Min(slices.Collect(maps.Keys(c))))
	}
}

// since returns the numbers that were confirmed at a time or later.
func (c confirmations) since(at time.Time) (out []id.FencingNumber) {
	for number, confirmed := range c {
		if !confirmed.Before(at) {
			out = append(out, number)
		}
	}
	return out
}

// reportedNumbers returns the fencing numbers below a limit under which reports may have been
// decided, as far as histories tell.
func reportedNumbers(histories []History, limit id.FencingNumber) (out []id.FencingNumber) {
	unused := make(map[id.FencingNumber]bool)
	for _, h := range histories {
		for _, number := range h.Unused {
			unused[number] = true
		}
	}
	for _, h := range histories {
		for _, number := range append(slices.Clone(h.Heard), h.Reported) {
			if number != 0 && number < limit && !unused[number] {
				out = append(out, number)
			}
		}
	}
	return out
}

// lastReporter returns the history of the process that decided reports last, below a limit of
// fencing numbers, if it is among the histories and one of them vouches that there was none later.
func lastReporter(histories []History, limit id.FencingNumber) (found History, ok bool) {
	numbers := reportedNumbers(histories, limit)
	if len(numbers) == 0 {
		return History{}, false
	}
	last := slices.Max(numbers)
	at := slices.IndexFunc(histories, func(h History) bool { return h.Reported == last })
	vouched := slices.ContainsFunc(histories, func(h History) bool { return slices.Contains(h.Vouched, last) })
	if at < 0 || !vouched {
		return History{}, false
	}
	return histories[at], true
}
