package upstream

import "time"

const (
	firstEjection = 500 * time.Millisecond
	lastEjection  = 15 * time.Second
	// failureLimit is how many error answers in a row eject.
	failureLimit = 5
	// probeGoal is how many probes in progress end the probation.
	probeGoal = 16
)

// Health ejects an upstream that crashes, can't be reached or only fails, for
// a time that doubles, and lets it back in by few requests at first. The zero
// value is healthy.
type Health struct {
	// ejectedUntil is zero for an upstream that was never ejected.
	ejectedUntil time.Time
	ejection     time.Duration
	failures     int
	// probes bounds the reservations in progress; 0 when not on probation.
	probes int
}

// Succeeded notes a sign that the upstream works.
func (h *Health) Succeeded() {
	h.failures = 0
	if h.probes == 0 {
		return
	}
	h.probes *= 2
	if h.probes < probeGoal {
		return
	}
	h.probes = 0
	h.ejection = 0
}

// Failed notes an error answer.
func (h *Health) Failed(now time.Time) {
	h.failures++
	if h.failures >= failureLimit {
		h.Crashed(now)
	}
}

// Crashed notes a lost or refused connection. Further ones during the same
// ejection change nothing.
func (h *Health) Crashed(now time.Time) {
	if now.Before(h.ejectedUntil) {
		return
	}
	h.ejection = min(max(firstEjection, 2*h.ejection), lastEjection)
	h.ejectedUntil = now.Add(h.ejection)
	h.failures = 0
	h.probes = 1
}

// Limit returns the bound on reservations in progress, and whether there is
// one.
func (h *Health) Limit(now time.Time) (int, bool) {
	if now.Before(h.ejectedUntil) {
		return 0, true
	}
	return h.probes, h.probes > 0
}

// Ejected reports whether no request may start at now.
func (h *Health) Ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// EjectedUntil returns when the last ejection ends or ended.
func (h *Health) EjectedUntil() time.Time { return h.ejectedUntil }

// EndBy lets an ejection end at t if it would end later.
func (h *Health) EndBy(t time.Time) {
	if t.Before(h.ejectedUntil) {
		h.ejectedUntil = t
	}
}
