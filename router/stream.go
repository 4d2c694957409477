package router

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/choice"
	"samphirehead/state/metrics"
	"samphirehead/transport/forward"
)

// stream passes events on as they arrive. A stream that breaks goes on at
// another upstream where the route allows it; else the caller's connection is
// closed, so that the answer does not look complete.
func (j *job) stream(ctx context.Context, a *attempt) {
	p := &progress{job: j, control: http.NewResponseController(j.w)}
	for {
		err := p.pass(a)
		if err == nil {
			j.router.step(j.service, choice.Paused{Ticket: a.ticket, Longest: p.longest})
			j.router.step(j.service, choice.Ended{Ticket: a.ticket})
			j.completed(a, p, nil)
			return
		}
		broke := ctx.Err() == nil && !p.callerLost
		j.router.step(j.service, choice.Ended{Ticket: a.ticket, Failed: broke})
		if broke {
			j.crashed(a)
		}
		klog.InfoS("stream broken", "request", j.ID, "upstream", a.Upstream, "events", p.events,
			"last", p.last, "caller_lost", p.callerLost, "after", time.Since(a.sent), "err", err)
		if a = p.resume(ctx, broke); a == nil {
			break
		}
	}
	if !p.begun {
		j.finish(ctx, brokenStream)
		return
	}
	why := brokenStream
	switch {
	case p.callerLost || errors.Is(ctx.Err(), context.Canceled):
		why = callerLeft
	case ctx.Err() != nil:
		why = timedOut
	}
	j.ended(metrics.Unknown, why)
	panic(http.ErrAbortHandler)
}

// progress is what the caller has of a stream.
type progress struct {
	job     *job
	control *http.ResponseController
	// begun is set once the head of the answer is written.
	begun bool
	// last is the id of the last event that was written.
	last   string
	events int
	first  time.Time
	// longest is the longest pause between two events.
	longest, previous time.Duration
	// callerLost is set when the caller can't be written to.
	callerLost bool
}

// pass writes the events of one upstream; nil means that the stream is whole.
func (p *progress) pass(a *attempt) error {
	defer func() { _ = a.response.Body.Close() }()
	events := forward.Events{Body: a.response.Body}
	for {
		data, last, err := events.Next()
		if errors.Is(err, io.EOF) {
			// A stream without events has a head, too.
			p.begin(a)
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read event")
		}
		if err := p.write(a, data); err != nil {
			p.callerLost = true
			return errors.Wrap(err, "write event")
		}
		if last != "" {
			p.last = last
		}
	}
}

func (p *progress) write(a *attempt, data []byte) error {
	p.begin(a)
	now := time.Since(p.job.arrived)
	if p.events > 0 {
		p.longest = max(p.longest, now-p.previous)
	}
	p.previous = now
	p.events++
	if _, err := p.job.w.Write(data); err != nil {
		return err
	}
	return p.control.Flush()
}

// begin writes the head of the first upstream's answer.
func (p *progress) begin(a *attempt) {
	if !a.begun {
		a.begun = true
		if a.Expected > 0 {
			p.job.router.metrics.ObservePrediction(p.job.service, a.Expected, time.Since(a.sent))
		}
		p.job.router.step(p.job.service, choice.Started{Ticket: a.ticket})
	}
	if p.begun {
		return
	}
	p.begun = true
	p.first = time.Now()
	p.job.writeHead(a)
	p.job.w.WriteHeader(a.response.Status)
}

// resume goes on at another upstream; nil where that can't be done.
func (p *progress) resume(ctx context.Context, broke bool) *attempt {
	j := p.job
	for broke && ctx.Err() == nil && (j.route.Resumable || !p.begun) && j.again(failed) {
		a, result, err := j.try(ctx, p.last)
		if a == nil {
			return nil
		}
		if result == answered {
			klog.InfoS("stream resumed", "request", j.ID, "upstream", a.Upstream, "last", p.last)
			return a
		}
		j.attemptFailed(a, result, false, err)
	}
	return nil
}
