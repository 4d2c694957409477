package load

import (
	"context"
	"sync/atomic"
	"time"
)

// Runner sends the jobs of a profile at their arrival times.
type Runner struct {
	// Caller sends the jobs.
	Caller *Caller
	// Profile generates the jobs.
	Profile *Profile

	sent, ended atomic.Int64
}

// Progress returns how many jobs were sent and how many have ended so far. It
// may be called while Run runs.
func (r *Runner) Progress() (sent, ended int) {
	return int(r.sent.Load()), int(r.ended.Load())
}

// Run sends all jobs and waits until each has ended. When ctx ends, no more
// jobs are sent and those in progress are cancelled.
func (r *Runner) Run(ctx context.Context) []*Record {
	r.Caller.prepare()
	jobs := r.Profile.Jobs()
	results := make(chan *Record, len(jobs))
	start := time.Now()
	sent := 0
	for _, j := range jobs {
		if !waitUntil(ctx, start.Add(j.Arrival)) {
			break
		}
		sent++
		r.sent.Add(1)
		go func() {
			record := r.Caller.Send(ctx, j)
			r.ended.Add(1)
			results <- record
		}()
	}
	records := make([]*Record, 0, sent)
	for range sent {
		records = append(records, <-results)
	}
	r.Caller.http.CloseIdleConnections()
	return records
}

func waitUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
