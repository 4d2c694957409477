// Package atmostonce drives the claims of at-most-once calls: it carries out
// what the state machines of package claim decide.
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
	// urgentTimeout bounds each operation that must end by a given time, so
	// that there is time to repeat it.
	retryableOpTimeout = 450 * time.Millisecond
	// opTimeout bounds all others.
	opTimeout = 2 * time.Second
	// DefaultLateFor is how long an answer is awaited after the caller's
	// deadline, to be recorded.
	DefaultLateAnswerTimeout = 30 * time.Second
)

// Table is what claims need of the platform's table service.
type Table interface {
	Write(ctx context.Context, writes []record.Write) record.WriteResult
	Read(ctx context.Context, keys []record.Key) ([]record.Row, error)
}

// Call is one request on an at-most-once route.
type Call struct {
	// Key is made by claim.NewKey.
	Key record.Key
	// Digest is of all that makes up the call apart from its key.
	Digest string
	// Deadline is when the caller must have its outcome.
	Deadline time.Time
	// Repeat says that the caller may have sent the key before.
	Repeat bool
	// Idle is called, unless nil, when the call waits for the claim of
	// another attempt, and perhaps again: what is held for Send can be given
	// back. It must not block.
	OnWait func()
	// Send sends the call with the permit, once, and returns what it knows.
	// Its context ends some time after the deadline and outlives the
	// caller, so that a late answer is recorded.
	Send func(ctx context.Context, permit *claim.Permit) claim.Evidence
}

// Calls runs at-most-once calls. Set the exported fields before the first Do.
type Calls struct {
	Table    Table
	Instance id.Instance
	// LateFor is how long an answer is awaited after the caller's deadline;
	// 0 means DefaultLateFor.
	LateAnswerTimeout time.Duration

	running sync.WaitGroup
	once    sync.Once
	// stopped ends when the work is given up.
	stopped context.Context
	stop    context.CancelFunc
}

func (c *Calls) init() {
	c.once.Do(func() { c.stopped, c.stop = context.WithCancel(context.Background()) })
}

// Stop gives up the work on all records, and returns when it has ended. Calls
// whose callers still wait end as unknown.
func (c *Calls) Stop() {
	c.init()
	c.stop()
	c.running.Wait()
}

// Do runs call and returns its outcome by its deadline or soon after. Work on
// the record may go on after it returns; Wait waits for that. The end of ctx
// says that the caller has left.
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

// Wait returns when the records of all calls are written or given up, or when
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

// Find returns what the table holds of an earlier call.
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

// maxOpen bounds the events under way: one table operation and one send.
const maxPendingEvents = 2

// run carries out one call.
type run struct {
	calls   *Calls
	call    Call
	machine *claim.Call
	// caller ends when the caller leaves; work does not.
	callerCtx context.Context
	workCtx   context.Context
	// events has room for every operation that can be open, so that none
	// of them blocks.
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

// giveUp ends the run as it stands.
func (r *run) abort() {
	r.finished = true
	select {
	case r.outcome <- claim.Unknown{}:
	default:
		// The caller has its outcome.
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
		// A row is read only to follow another attempt's claim, or to
		// release the own one.
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
		klog.V(1).InfoS("claim write without answer", "key", e.Write.Key, "err", result.Err)
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

func (r *run) withDeadline(by time.Time) (context.Context, context.CancelFunc) {
	if by.IsZero() {
		return context.WithTimeout(r.workCtx, opTimeout)
	}
	latest := time.Now().Add(retryableOpTimeout)
	if by.After(latest) {
		by = latest
	}
	return context.WithDeadline(r.workCtx, by)
}

func (r *run) untilNextWake(now time.Time) time.Duration {
	wait := time.Hour
	for _, w := range r.wakeTimes {
		wait = min(wait, max(0, w.Sub(now)))
	}
	return wait
}

// dropWakes forgets the times that have come.
func (r *run) dropPastWakes(now time.Time) {
	r.wakeTimes = slices.DeleteFunc(r.wakeTimes, func(w time.Time) bool { return !w.After(now) })
}
