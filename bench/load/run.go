package load

import (
	"context"
	"sync/atomic"
	"time"
)

// Runner sends the jobs of a profile at their times.
type Runner struct {
	// Caller sends them.
	Caller *Caller
	// Profile gives the jobs.
	Profile *Profile

	sent, ended atomic.Int64
}

// Progress returns how many requests were sent and have ended so far.
func (r *Runner) Progress() (sent, ended int) {
	return int(r.sent.Load()), int(r.ended.Load())
}

// Run sends all jobs and waits until each has ended. When ctx ends, no more
// are sent and those under way are cut off.
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
