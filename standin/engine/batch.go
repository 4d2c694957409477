package engine

import (
	"math"
	"slices"
	"time"

	"samphirehead/standin/fault"
)

// stream is the state of one request in the engine. The engine's mutex guards
// the fields below notify.
type stream struct {
	requestID string
	tier      int
	// promptTokens is the length of the prompt.
	promptTokens int
	// answerTokens is the length of the whole answer, including the tokens
	// before resumeOffset.
	answerTokens int
	resumeOffset int
	// notify signals that available or endReason has changed; its buffer of
	// one merges signals.
	notify chan struct{}

	// prefillRemaining is the number of tokens that have yet to be prefilled.
	prefillRemaining float64
	// generated counts tokens from the start of the answer, with fractions,
	// and starts at resumeOffset.
	generated float64
	// available is the number of whole tokens generated, counted from the
	// start of the answer.
	available int
	// started is set when the stream first gets a slot, and stays set when it
	// is preempted.
	started bool
	// endReason is empty while the stream waits or runs.
	endReason EndReason
	attempt   *Attempt
}

func (s *stream) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// batch holds the streams of one engine that have not ended.
type batch struct {
	// running holds the streams with a slot, in the order of admission.
	running []*stream
	// waiting holds the streams without a slot, by rising tier and within a
	// tier in the order in which they were enqueued.
	waiting []*stream
	// byRequestID holds the running and the waiting streams, for cancel calls.
	// A newer stream replaces an older one with the same ID.
	byRequestID map[string]*stream
	// lastStep is when the running streams were last advanced.
	lastStep time.Time
	// tickScheduled says that a call of tick is pending.
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
	isSame := func(other *stream) bool { return other == s }
	b.running = slices.DeleteFunc(b.running, isSame)
	b.waiting = slices.DeleteFunc(b.waiting, isSame)
	if b.byRequestID[s.requestID] == s {
		delete(b.byRequestID, s.requestID)
	}
}

// kvUsed returns the number of tokens in the KV cache of the running streams.
func (b *batch) kvUsed() int {
	used := 0
	for _, s := range b.running {
		used += s.promptTokens + s.available
	}
	return used
}

// add enqueues a new stream, which gets a slot at once if one is free.
func (e *Engine) add(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.batch.byRequestID[s.requestID] = s
	e.batch.enqueue(s)
	e.step(now)
	e.schedule()
}

// cancel ends a stream if it has not ended already, and gives its slot to a
// waiting stream.
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

// schedule arranges the next call of tick if there are streams.
func (e *Engine) schedule() {
	if e.batch.tickScheduled || len(e.batch.running)+len(e.batch.waiting) == 0 {
		return
	}
	e.batch.tickScheduled = true
	time.AfterFunc(e.Tick, e.tick)
}

// step advances the running streams to now, ends those that are complete and
// gives free slots to waiting streams. In fast mode it runs all streams to their
// end.
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

// effectiveElapsed returns the time since the last step, divided by the factor of
// a Slow fault; it is 0 during a Stall.
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

// prefill divides the prefill rate evenly among the streams in prefill.
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

// decode divides the decode rate evenly among the streams that generate. No
// stream gets more than maxShareFactor times the rate of one slot.
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

// preemptOverKVLimit moves running streams back to the waiting list until the
// others fit into the KV limit. It takes the highest tier number first and within
// a tier the last admitted. A preempted stream loses its KV cache, so its prompt
// and the tokens generated so far are prefilled again.
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

// admit gives the free slots to waiting streams in their order. A stream that
// does not fit into the KV limit blocks those behind it; if nothing is running it
// is admitted all the same, since waiting would not help.
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

// endStream removes a stream from the batch and records the reason. It does
// nothing if the stream has ended already.
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
