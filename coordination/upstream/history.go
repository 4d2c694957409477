package upstream

import "time"

const historyLength = 256

// history remembers recent in-flight counts, to compare late reports with.
type history struct {
	marks [historyLength]mark
	next  int
	full  bool
}

type mark struct {
	at    time.Time
	count int
}

func (h *history) record(now time.Time, count int) {
	h.marks[h.next] = mark{now, count}
	h.next++
	if h.next == historyLength {
		h.next = 0
		h.full = true
	}
}

// at returns the count in force at t; false when t is before what is
// remembered.
func (h *history) at(t time.Time) (int, bool) {
	for i := 1; i <= historyLength; i++ {
		m := h.marks[(h.next-i+historyLength)%historyLength]
		if m.at.IsZero() {
			return 0, true
		}
		if !m.at.After(t) {
			return m.count, true
		}
	}
	return 0, !h.full
}
