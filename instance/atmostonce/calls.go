// Package atmostonce runs calls that an upstream must execute at most once. It
// performs the reads, writes and sends that the state machine of package claim
// asks for.
package atmostonce

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"samphirehead/coordination/claim"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/state/record"
)

const (
	// retryableOpTimeout bounds each table operation that has a deadline, so
	// that there is time to retry it.
	retryableOpTimeout = 450 * time.Millisecond
	// opTimeout bounds table operations without a deadline.
	opTimeout = 2 * time.Second
	// DefaultLateAnswerTimeout is how long after the caller's deadline an answer
	// is awaited to be recorded.
	DefaultLateAnswerTimeout = 30 * time.Second
)

// Table is the part of the platform's table service that claims use.
type Table interface {
	Write(ctx context.Context, writes []record.Write) record.WriteResult
	Read(ctx context.Context, keys []record.Key) ([]record.Row, error)
}

// Call is one request on an at-most-once route.
type Call struct {
	// Key identifies the row of the claim; see claim.NewKey.
	Key record.Key
	// Digest is a hash of the whole call except its key.
	Digest string
	// Deadline is the time by which the caller must have the outcome.
	Deadline time.Time
	// Repeat is set if the caller may have sent the key before.
	Repeat bool
	// OnWait, unless nil, is called when the call waits for the claim of
	// another attempt, and may be called several times. Resources reserved for
	// Send can be released then. It must not block.
	OnWait func()
	// Send sends the call once, using the permit, and returns evidence of
	// whether it was sent and answered. Its context outlives the caller and
	// ends LateAnswerTimeout after the deadline, so that a late answer is
	// recorded.
	Send func(ctx context.Context, permit *claim.Permit) claim.Evidence
}

// Calls runs at-most-once calls. Set the exported fields before the first call of
// Do.
type Calls struct {
	Table    Table
	Instance id.Instance
	// LateAnswerTimeout is how long after the caller's deadline an answer is
	// awaited; 0 means DefaultLateAnswerTimeout.
	LateAnswerTimeout time.Duration

	running sync.WaitGroup
	once    sync.Once
	// stopped is cancelled by Stop.
	stopped context.Context
	stop    context.CancelFunc
}

func (c *Calls) init() {
	c.once.Do(func() { c.stopped, c.stop = context.WithCancel(context.Background()) })
}

// Stop aborts all table operations and sends, and returns when they have ended.
// The outcome is claim.Unknown for callers that still wait.
func (c *Calls) Stop() {
	c.init()
	c.stop()
	c.running.Wait()
}

// Do runs call and returns its outcome by its deadline or soon after. The record
// may still be written after Do returns; Wait waits for that. Cancel ctx when the
// caller has disconnected.
func (c *Calls) Do(ctx context.Context, call Call) claim.Outcome {
	c.init()
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(c.stopped, cancel)
	run := &run{
		calls: c,
		call:  call,
		machine: &claim.Call{
			Key:      call.Key,
			Attempt:  id.Attempt(uuid.NewString()),
			Instance: c.Instance,
			Digest:   call.Digest,
			Deadline: call.Deadline,
			Repeat:   call.Repeat,
		},
		callerCtx: ctx,
		workCtx:   workCtx,
		events:    make(chan claim.Event, maxPendingEvents),
		outcome:   make(chan claim.Outcome, 1),
	}
	c.running.Go(func() {
		defer cancel()
		defer stop()
		run.loop()
	})
	return <-run.outcome
}

// Wait returns when the records of all calls are written or abandoned, or when
// ctx ends.
func (c *Calls) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fault.Wrap("wait for call records", "", ctx.Err())
	}
}

// Find reads the record of an earlier call from the table.
func (c *Calls) Find(ctx context.Context, key record.Key) (claim.LookupResult, error) {
	rows, err := c.Table.Read(ctx, []record.Key{key})
	if err != nil {
		return nil, fault.Wrap("find outcome", "", err)
	}
	return claim.Lookup(time.Now(), rows)
}

func (c *Calls) lateAnswerTimeout() time.Duration {
	if c.LateAnswerTimeout == 0 {
		return DefaultLateAnswerTimeout
	}
	return c.LateAnswerTimeout
}

// maxPendingEvents is the number of operations of a call that can be in progress
// at a time: one table operation and one send.
const maxPendingEvents = 2

// run drives the state machine of one call.
type run struct {
	calls   *Calls
	call    Call
	machine *claim.Call
	// callerCtx ends when the caller disconnects; workCtx does not.
	callerCtx context.Context
	workCtx   context.Context
	// events has room for the results of all operations in progress, so that
	// none of them blocks.
	events    chan claim.Event
	outcome   chan claim.Outcome
	wakeTimes []time.Time
	finished  bool
}

func (r *run) loop() {
	callerDone := r.callerCtx.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	r.step(claim.Started{})
	for !r.finished {
		timer.Reset(r.untilNextWake(time.Now()))
		select {
		case ev := <-r.events:
			r.step(ev)
		case <-timer.C:
			r.dropPastWakes(time.Now())
			r.step(claim.Ticked{})
		case <-callerDone:
			callerDone = nil
			r.step(claim.CallerDisconnected{})
		case <-r.calls.stopped.Done():
			r.abort()
		}
	}
}

// abort ends the run; the outcome is unknown unless the caller has one.
func (r *run) abort() {
	r.finished = true
	select {
	case r.outcome <- claim.Unknown{}:
	default:
		// The caller already has its outcome.
	}
}

func (r *run) step(ev claim.Event) {
	for _, effect := range r.machine.Step(time.Now(), ev) {
		r.execute(effect)
	}
}

func (r *run) execute(effect claim.Effect) {
	switch e := effect.(type) {
	case claim.WriteRow:
		r.calls.running.Go(func() { r.write(e) })
	case claim.ReadRow:
		// A row is read only while another attempt's claim is awaited, or
		// to release the claim of this attempt.
		r.notifyWait()
		r.calls.running.Go(func() { r.read(e) })
	case claim.SendCall:
		r.calls.running.Go(func() { r.send(e) })
	case claim.ReportOutcome:
		r.outcome <- e.Outcome
	case claim.WakeAt:
		r.wakeTimes = append(r.wakeTimes, e.Time)
	case claim.Finished:
		r.finished = true
	}
}

func (r *run) notifyWait() {
	if r.call.OnWait != nil {
		r.call.OnWait()
	}
}

func (r *run) write(e claim.WriteRow) {
	ctx, cancel := r.withDeadline(e.Deadline)
	defer cancel()
	result := r.calls.Table.Write(ctx, []record.Write{e.Write})
	switch result := result.(type) {
	case record.Refused:
		klog.V(1).InfoS("claim write refused", "key", e.Write.Key, "err", result.Err)
	case record.Unknown:
		klog.V(1).InfoS("claim write has no known result", "key", e.Write.Key, "err", result.Err)
	}
	r.events <- claim.RowWritten{Result: result}
}

func (r *run) read(e claim.ReadRow) {
	ctx, cancel := r.withDeadline(e.Deadline)
	defer cancel()
	rows, err := r.calls.Table.Read(ctx, []record.Key{e.Key})
	if err != nil {
		r.events <- claim.RowRead{Err: err}
		return
	}
	row := record.Row{Key: e.Key}
	if len(rows) > 0 {
		row = rows[0]
	}
	r.events <- claim.RowRead{Row: row}
}

func (r *run) send(e claim.SendCall) {
	ctx, cancel := context.WithDeadline(r.workCtx, r.call.Deadline.Add(r.calls.lateAnswerTimeout()))
	defer cancel()
	r.events <- claim.CallEnded{Evidence: r.call.Send(ctx, e.Permit)}
}

func (r *run) withDeadline(deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithTimeout(r.workCtx, opTimeout)
	}
	latest := time.Now().Add(retryableOpTimeout)
	if deadline.After(latest) {
		deadline = latest
	}
	return context.WithDeadline(r.workCtx, deadline)
}

func (r *run) untilNextWake(now time.Time) time.Duration {
	wait := time.Hour
	for _, w := range r.wakeTimes {
		wait = min(wait, max(0, w.Sub(now)))
	}
	return wait
}

// dropPastWakes removes the wake times that have passed.
func (r *run) dropPastWakes(now time.Time) {
	r.wakeTimes = slices.DeleteFunc(r.wakeTimes, func(w time.Time) bool { return !w.After(now) })
}
