package router

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/balancer"
	"samphirehead/state/metrics"
)

// stream forwards events as they arrive. If the upstream fails before the end of
// the stream, the stream is resumed at another one if the route allows that.
// Otherwise the caller's connection is aborted, so that the answer does not look
// complete.
func (j *job) stream(ctx context.Context, a *attempt) {
	p := &progress{job: j, control: http.NewResponseController(j.w)}
	for {
		err := p.forwardEvents(a)
		j.router.paths.end(a)
		if err == nil {
			j.router.stepChooser(j.service, balancer.Paused{Ticket: a.ticket, Longest: p.longestPause})
			j.router.stepChooser(j.service, balancer.Ended{Ticket: a.ticket})
			j.streamCompleted()
			j.recordCompletion(a, p, nil)
			return
		}
		upstreamFailed := ctx.Err() == nil && !p.writeFailed
		j.router.stepChooser(j.service, balancer.Ended{Ticket: a.ticket, Failed: upstreamFailed})
		if upstreamFailed {
			j.recordCrash(ctx, a, err)
		}
		klog.InfoS("stream broken", "request", j.ID, "upstream", a.Upstream, "framing", a.response.Framing, "events", p.events,
			"last", p.lastEvent, "caller_lost", p.writeFailed, "after", time.Since(a.sentAt), "parts", j.sharedPartNames(), "err", err)
		if a = p.resume(ctx, upstreamFailed); a == nil {
			break
		}
		if !a.isStream(j.route) {
			j.deliver(ctx, a)
			return
		}
	}
	if !p.started {
		j.fail(ctx, streamBroken)
		return
	}
	why := streamBroken
	switch {
	case p.writeFailed || errors.Is(ctx.Err(), context.Canceled):
		why = callerDisconnected
	case ctx.Err() != nil:
		why = timedOut
	}
	j.recordEnd(metrics.Unknown, why)
	p.abort()
}

// abort ends the caller's connection so that the answer does not look complete. In
// HTTP/1.0 an answer ends with its connection, so only a reset shows that.
func (p *progress) abort() {
	if !p.job.chunkedAllowed {
		if err := p.reset(); err != nil {
			klog.ErrorS(err, "connection not reset", "request", p.job.ID)
		}
	}
	panic(http.ErrAbortHandler)
}

// reset closes the caller's connection with a reset.
func (p *progress) reset() error {
	connection, _, err := p.control.Hijack()
	if err != nil {
		return errors.Wrap(err, "take over the connection")
	}
	if lingering, ok := connection.(interface{ SetLinger(seconds int) error }); ok {
		err = lingering.SetLinger(0)
	}
	return errors.CombineErrors(err, connection.Close())
}

// progress is the part of a stream that the caller has received.
type progress struct {
	job     *job
	control *http.ResponseController
	// started is set once the head of the answer is written.
	started bool
	// lastEvent is the id of the last event that was written.
	lastEvent    string
	events       int
	firstEventAt time.Time
	// longestPause is the longest time between two consecutive events.
	// previousEvent is when the last one was written, as the time since the
	// request arrived.
	longestPause, previousEvent time.Duration
	// writeFailed is set after a write to the caller has failed.
	writeFailed bool
}

// forwardEvents writes the events of one upstream to the caller. It returns nil
// at the end of a complete stream.
func (p *progress) forwardEvents(a *attempt) error {
	defer func() { _ = a.response.Body.Close() }()
	events := a.response.Events()
	defer events.Release()
	for {
		data, eventID, err := events.Next()
		if errors.Is(err, io.EOF) {
			// Without events the head has not been written yet.
			p.start(a)
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read event")
		}
		if err := p.write(a, data); err != nil {
			p.writeFailed = true
			return errors.Wrap(err, "write event")
		}
		if a.relay == "" {
			p.job.router.paths.eventRead()
		}
		if eventID != "" {
			p.lastEvent = eventID
		}
	}
}

func (p *progress) write(a *attempt, data []byte) error {
	p.start(a)
	elapsed := time.Since(p.job.arrived)
	if p.events > 0 {
		p.longestPause = max(p.longestPause, elapsed-p.previousEvent)
	}
	p.previousEvent = elapsed
	p.events++
	if _, err := p.job.w.Write(data); err != nil {
		return err
	}
	return p.control.Flush()
}

// start reports the start of the attempt's answer, and writes its head unless
// the caller already has that of an earlier attempt.
func (p *progress) start(a *attempt) {
	if !a.started {
		a.started = true
		p.job.countRun(a)
		p.job.clearParts()
		if a.Expected > 0 {
			p.job.router.metrics.ObservePrediction(p.job.service, a.Expected, time.Since(a.sentAt))
		}
		p.job.router.stepChooser(p.job.service, balancer.Started{Ticket: a.ticket})
	}
	if p.started {
		return
	}
	p.started, p.job.streamStarted = true, true
	p.job.software = &a.Software
	p.firstEventAt = time.Now()
	p.job.conn.Stream()
	if !p.job.route.Resumable {
		p.job.releaseBody()
	}
	p.job.setHeader(a)
	p.job.w.WriteHeader(a.response.Status)
}

// resume continues the stream at another upstream. It returns nil if that is not
// possible.
func (p *progress) resume(ctx context.Context, upstreamFailed bool) *attempt {
	j := p.job
	if !upstreamFailed || p.started && !j.route.Resumable {
		return nil
	}
	j.resumedAt = time.Now()
	if _, elsewhere := j.awaitRelay(ctx); p.started && !elsewhere && !j.originProven(ctx) {
		return nil
	}
	for ctx.Err() == nil && j.shouldRetry(ctx, failed) {
		a, result, err := j.try(ctx, p.lastEvent)
		if a == nil {
			return nil
		}
		if result == answered {
			klog.InfoS("stream resumed", "request", j.ID, "upstream", a.Upstream, "software", a.Software, "last", p.lastEvent)
			return a
		}
		j.logFailedAttempt(a, result, false, err)
	}
	return nil
}
