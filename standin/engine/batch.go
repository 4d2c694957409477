package engine

import (
	"math"
	"slices"
	"time"

	"samphirehead/standin/fault"
)

// stream is one request in the engine. The engine's mutex guards the fields
// below notify.
type stream struct {
	requestID string
	tier      int
	// prompt counts the tokens of the prompt.
	promptTokens int
	// length is the number of tokens of the whole answer.
	answerTokens int
	resumeOffset int
	// notify has room for one signal that available or ended has changed.
	notify chan struct{}

	// prefillLeft counts prompt tokens that have yet to be read.
	prefillRemaining float64
	// generated counts tokens from the start of the whole answer.
	generated float64
	// available is the number of whole tokens, at least offset.
	available int
	// started says that the stream has a slot.
	started bool
	// ended is empty while the stream waits or runs.
	endReason EndReason
	attempt   *Attempt
}

func (s *stream) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// batch holds the streams of one engine.
type batch struct {
	// running holds those with a slot, in the order of admission.
	running []*stream
	// waiting is ordered by tier and then arrival.
	waiting []*stream
	// live finds a stream by its request.
	byRequestID map[string]*stream
	// last is when the running streams were last advanced.
	lastStep time.Time
	// ticking says that a step is scheduled.
	tickScheduled bool
}

func (b *batch) all() []*stream {
	return append(slices.Clone(b.running), b.waiting...)
}

func (b *batch) enqueue(s *stream) {
	position := len(b.waiting)
	for position > 0 && b.waiting[position-1].tier > s.tier {
		position--
	}
	b.waiting = slices.Insert(b.waiting, position, s)
}

func (b *batch) remove(s *stream) {
	isStream := func(other *stream) bool { return other == s }
	b.running = slices.DeleteFunc(b.running, isStream)
	b.waiting = slices.DeleteFunc(b.waiting, isStream)
	if b.byRequestID[s.requestID] == s {
		delete(b.byRequestID, s.requestID)
	}
}

// kvUsed counts the tokens that the running streams hold.
func (b *batch) kvUsed() int {
	used := 0
	for _, s := range b.running {
		used += s.promptTokens + s.available
	}
	return used
}

// add puts a new stream into the batch.
func (e *Engine) add(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.batch.byRequestID[s.requestID] = s
	e.batch.enqueue(s)
	e.step(now)
	e.schedule()
}

// cancel ends a stream unless it has ended already.
func (e *Engine) cancel(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.endStream(now, s, EndCancelled)
	e.step(now)
}

func (e *Engine) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.tickScheduled = false
	e.step(time.Now())
	e.schedule()
}

// schedule arranges the next step while there are streams.
func (e *Engine) schedule() {
	if e.batch.tickScheduled || len(e.batch.running)+len(e.batch.waiting) == 0 {
		return
	}
	e.batch.tickScheduled = true
	time.AfterFunc(e.Tick, e.tick)
}

// step advances the running streams to now, ends those that are complete and
// fills the free slots.
func (e *Engine) step(now time.Time) {
	elapsed := e.effectiveElapsed(now)
	e.batch.lastStep = now
	e.prefill(elapsed)
	e.decode(elapsed)
	e.finish(now)
	e.preemptOverKVLimit()
	e.admit(now)
	for e.Fast && len(e.batch.running) > 0 {
		e.prefill(elapsed)
		e.decode(elapsed)
		e.finish(now)
		e.admit(now)
	}
}

// workingTime is the time since the last step, less what faults take of it.
func (e *Engine) effectiveElapsed(now time.Time) time.Duration {
	elapsed := now.Sub(e.batch.lastStep)
	if _, ok := e.Faults.Active(fault.Stall); ok {
		return 0
	}
	if f, ok := e.Faults.Active(fault.Slow); ok && f.Factor > 1 {
		return time.Duration(float64(elapsed) / f.Factor)
	}
	return elapsed
}

func (e *Engine) tokenBudget(rate float64, elapsed time.Duration) float64 {
	if e.Fast {
		return math.Inf(1)
	}
	return rate * elapsed.Seconds()
}

// prefill shares the prefill rate among the prompts being read.
func (e *Engine) prefill(elapsed time.Duration) {
	budget := e.tokenBudget(e.PrefillTokensPerSecond, elapsed)
	remaining := count(e.batch.running, (*stream).prefilling)
	for _, s := range e.batch.running {
		if !s.prefilling() {
			continue
		}
		used := min(budget/float64(remaining), s.prefillRemaining)
		s.prefillRemaining -= used
		budget -= used
		remaining--
	}
}

// decode shares the decode rate among the streams that generate; no stream
// gets more than loneShare times its even share.
func (e *Engine) decode(elapsed time.Duration) {
	budget := e.tokenBudget(e.DecodeTokensPerSecond, elapsed)
	maxPerStream := maxShareFactor * budget / float64(e.Slots)
	remaining := count(e.batch.running, (*stream).generating)
	for _, s := range e.batch.running {
		if !s.generating() {
			continue
		}
		used := min(budget/float64(remaining), maxPerStream, float64(s.answerTokens)-s.generated)
		s.generate(used)
		budget -= used
		remaining--
	}
}

func (s *stream) prefilling() bool { return s.prefillRemaining > 0 }
func (s *stream) generating() bool { return s.prefillRemaining <= 0 && s.available < s.answerTokens }

func (s *stream) generate(tokens float64) {
	const rounding = 1e-6
	s.generated += tokens
	available := int(s.generated + rounding)
	if available == s.available {
		return
	}
	s.available = available
	s.signal()
}

func count(streams []*stream, predicate func(*stream) bool) int {
	n := 0
	for _, s := range streams {
		if predicate(s) {
			n++
		}
	}
	return n
}

func (e *Engine) finish(now time.Time) {
	for i := len(e.batch.running) - 1; i >= 0; i-- {
		s := e.batch.running[i]
		if !s.prefilling() && s.available >= s.answerTokens {
			e.endStream(now, s, EndCompleted)
		}
	}
}

// evictOverKV puts running streams back until the others fit into the KV
// limit; they read their prompt and answer so far again.
func (e *Engine) preemptOverKVLimit() {
	for len(e.batch.running) > 1 && e.batch.kvUsed() > e.KVTokens {
		victim := e.batch.running[0]
		for _, s := range e.batch.running {
			if s.tier >= victim.tier {
				victim = s
			}
		}
		e.batch.running = slices.DeleteFunc(e.batch.running, func(s *stream) bool { return s == victim })
		victim.prefillRemaining = float64(victim.promptTokens + victim.available)
		e.batch.enqueue(victim)
	}
}

// admit fills the free slots in the order of the waiting list. A stream that
// does not fit into the KV limit holds back those behind it, unless it is
// alone.
func (e *Engine) admit(now time.Time) {
	for len(e.batch.waiting) > 0 && len(e.batch.running) < e.Slots {
		s := e.batch.waiting[0]
		fits := e.batch.kvUsed()+s.promptTokens+s.available <= e.KVTokens
		if !fits && len(e.batch.running) > 0 {
			return
		}
		e.batch.waiting = e.batch.waiting[1:]
		e.batch.running = append(e.batch.running, s)
		if !s.started {
			s.started = true
			s.attempt.StartedUnixUS = now.UnixMicro()
		}
	}
}

// end takes a stream out of the batch; only the first end counts.
func (e *Engine) endStream(now time.Time, s *stream, reason EndReason) {
	if s.endReason != "" {
		return
	}
	s.endReason = reason
	s.attempt.End = reason
	s.attempt.EndedUnixUS = now.UnixMicro()
	s.attempt.TokensGenerated = s.available - s.resumeOffset
	e.batch.remove(s)
	s.signal()
}
