// Package upstream judges how much work one upstream should get and how soon
// it would start on it.
package upstream

import (
	"math"
	"time"

	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

const (
	// occupancyDelay is added to the expected delay of a full upstream, so
	// that equal prefill queues are told apart by their load.
	occupancyDelay = 50 * time.Millisecond
	// reportLifetime is how long a load report counts.
	reportLifetime = 5 * time.Second
	// unknownShare of the slots are used while the load is still unknown.
	unknownShare = 4
)

// Worker is what a home knows of one upstream: its own exact counts, late load
// reports, health and speed. The zero value with Capacity set is ready.
type Worker struct {
	// Capacity has at least one slot.
	Capacity manifest.Capacity
	// UnknownUntil is when reservations of an earlier home have had time
	// to be registered; before it only a part of the slots is used.
	UnknownUntil time.Time

	// Health ejects the upstream after crashes.
	Health Health
	// Speed compares the upstream with its peers.
	Speed Speed

	inFlight   int
	registered int
	prefill    id.Tokens
	kv         id.Tokens
	history    history
	foreign    int
	foreignKV  id.Tokens
	reportedAt time.Time
}

// Start counts one reservation with its prompt and the KV tokens it needs.
func (w *Worker) Start(now time.Time, prompt, need id.Tokens) {
	w.inFlight++
	w.prefill += prompt
	w.kv += need
	w.history.record(now, w.inFlight)
}

// Register counts a reservation that was started through an earlier home.
func (w *Worker) Register(now time.Time, prompt, need id.Tokens, prefilled bool) {
	w.registered++
	w.Start(now, prompt, need)
	if prefilled {
		w.Prefilled(prompt)
	}
}

// Prefilled notes the first token of a started reservation.
func (w *Worker) Prefilled(prompt id.Tokens) {
	w.prefill -= prompt
}

// Grow notes that a reservation needs more KV tokens than was thought.
func (w *Worker) Grow(more id.Tokens) { w.kv += more }

// End forgets a reservation; prefilled says whether Prefilled was called.
func (w *Worker) End(now time.Time, prompt, need id.Tokens, prefilled bool) {
	if !prefilled {
		w.Prefilled(prompt)
	}
	w.inFlight--
	w.kv -= need
	w.history.record(now, w.inFlight)
}

// Report takes a late load report in. Work beyond what was in flight from here
// at that time is foreign: it counts until the next report.
func (w *Worker) Report(asOf time.Time, running, waiting int, kvUsed id.Tokens) {
	if asOf.Before(w.reportedAt) {
		return
	}
	own, ok := w.history.at(asOf)
	if !ok {
		return
	}
	w.reportedAt = asOf
	w.foreign = max(0, running+waiting-own)
	w.foreignKV = 0
	if w.foreign > 0 {
		w.foreignKV = max(0, kvUsed-w.kv)
	}
}

// InFlight returns the number of reservations in progress.
func (w *Worker) InFlight() int { return w.inFlight }

// Limit returns how many reservations may be in progress at now; never more
// than the slots.
func (w *Worker) Limit(now time.Time) int {
	limit := w.Capacity.Slots - w.foreignAt(now)
	if factor := w.Speed.Factor(now); factor > 1 {
		limit = min(limit, int(math.Ceil(float64(w.Capacity.Slots)/factor)))
	}
	if now.Before(w.UnknownUntil) {
		part := max(1, w.Capacity.Slots/unknownShare)
		limit = min(limit, w.registered+part)
	}
	if bound, ok := w.Health.Limit(now); ok {
		limit = min(limit, bound)
	}
	return max(0, limit)
}

// Free returns how many more reservations may start at now.
func (w *Worker) Free(now time.Time) int { return max(0, w.Limit(now)-w.inFlight) }

// Fits reports whether need KV tokens more may be held at now. An empty
// upstream takes a request of any size.
func (w *Worker) Fits(now time.Time, need id.Tokens) bool {
	if w.Capacity.KVTokens <= 0 || w.inFlight == 0 {
		return true
	}
	return need <= w.KVFree(now)
}

// KVFree returns the KV tokens not in use at now; it may be below 0.
func (w *Worker) KVFree(now time.Time) id.Tokens {
	free := w.Capacity.KVTokens - w.kv
	if w.reportFresh(now) {
		free -= w.foreignKV
	}
	return free
}

// PrefillTime returns how long the upstream needs for prompt alone.
func (w *Worker) PrefillTime(prompt id.Tokens) time.Duration {
	rate := w.Capacity.PrefillTokensPerSecond
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(prompt) / rate * float64(time.Second))
}

// Backlog returns the time that prompts in progress still need.
func (w *Worker) Backlog() time.Duration { return w.PrefillTime(w.prefill) }

// Delay returns the expected time to the first token of a prompt of which
// cached tokens need no prefill.
func (w *Worker) Delay(now time.Time, prompt, cached id.Tokens) time.Duration {
	work := w.PrefillTime(w.prefill + max(0, prompt-cached))
	load := float64(w.inFlight+w.foreignAt(now)) / float64(max(1, w.Capacity.Slots))
	delay := float64(work) + load*float64(occupancyDelay)
	return time.Duration(delay * w.Speed.Factor(now))
}

func (w *Worker) foreignAt(now time.Time) int {
	if !w.reportFresh(now) {
		return 0
	}
	return w.foreign
}

func (w *Worker) reportFresh(now time.Time) bool {
	return now.Sub(w.reportedAt) < reportLifetime
}
