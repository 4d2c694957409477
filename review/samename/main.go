// Command samename lets workers start again under their ids with a newer version while
// the store is away, and counts the streams that hold events of workers of two versions.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"samphirehead/platform/platformtest"
	"samphirehead/review/bed"
)

// All times are from when the store goes away. It is away for 8 s at most in the site's
// days.
const (
	outage = 8 * time.Second
	// firstCrash is when the first workers end, and secondCrash when others do. Each is
	// back after down.
	firstCrash  = 500 * time.Millisecond
	secondCrash = 5500 * time.Millisecond
	down        = 2 * time.Second
	lastStream  = 7 * time.Second
	// streamPause is that between two streams, as in the site's sheet for tape-notes.
	streamPause  = 33 * time.Millisecond
	warmUp       = 4 * time.Second
	streamBudget = 15 * time.Second
	workers      = 8
	// groupSize is how many workers end at once: a share of 0.25.
	groupSize = 2
)

func main() {
	dir := flag.String("dir", "", "a folder for the settings")
	record := flag.String("record", "", "the record to write")
	disrupt := flag.Bool("trouble", true, "whether the store is away and workers end")
	flag.Parse()
	broken, err := run(*dir, *record, *disrupt)
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func run(dir, record string, disrupt bool) (broken bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	b, err := bed.New(dir, record, "doto-a", "doto-a", "doto-b", "doto-c")
	if err != nil {
		return false, err
	}
	b.Configure(bed.Route{Kind: "streaming", Resumable: true, MaxAttempts: 2, TimeoutMs: 15000, SloMs: 250, GapMs: 150})
	p := &play{bed: b}
	for n := range workers {
		w := p.newWorker(n, "v1", "")
		if err := w.start(ctx, b.Store); err != nil {
			return false, err
		}
		p.workers = append(p.workers, w)
	}
	store := func(*bed.Instance) string { return b.Store.Address() }
	if err := b.WriteSettings(func(i *bed.Instance) string { return i.Peers }, store); err != nil {
		return false, err
	}
	if err := b.AwaitReady(ctx); err != nil {
		return false, err
	}
	if err := p.run(ctx, disrupt); err != nil {
		return false, err
	}
	return p.streams.Judge(b.Record), ctx.Err()
}

type play struct {
	bed     *bed.Bed
	workers []*worker
	away    atomic.Bool
	streams bed.Tally
}

// worker is a worker, and what ends its registration.
type worker struct {
	*bed.Worker
	n   int
	end context.CancelFunc
}

func (w *worker) start(ctx context.Context, store *platformtest.Store) error {
	ctx, w.end = context.WithCancel(ctx)
	return w.Start(ctx, store)
}

func (p *play) newWorker(n int, version, address string) *worker {
	return &worker{n: n, Worker: &bed.Worker{
		ID: fmt.Sprintf("i-%d", n+1), Zone: []string{"doto-a", "doto-b", "doto-c"}[n%3], Version: version, Address: address,
		Events: 70, EventTime: 100 * time.Millisecond, Record: p.bed.Record, ReachesStore: func() bool { return !p.away.Load() },
	}}
}

func (p *play) run(ctx context.Context, disrupt bool) error {
	ended := make(chan error, 1)
	go func() {
		bed.Sleep(ctx, warmUp)
		ended <- p.disturb(ctx, disrupt)
	}()
	var requesters sync.WaitGroup
	begin := time.Now()
	for time.Since(begin) < warmUp+lastStream && ctx.Err() == nil {
		requesters.Go(func() { p.request(ctx) })
		bed.Sleep(ctx, streamPause)
	}
	requesters.Wait()
	return <-ended
}

// disturb takes the store away, and ends two groups of workers meanwhile.
func (p *play) disturb(ctx context.Context, disrupt bool) error {
	if !disrupt {
		return nil
	}
	p.bed.Record.Printf("the store is silent")
	p.away.Store(true)
	p.bed.Store.SetFault(platformtest.NoResponse)
	begin := time.Now()
	bed.Sleep(ctx, firstCrash)
	if err := p.restart(ctx, p.workers[:groupSize]); err != nil {
		return err
	}
	bed.Sleep(ctx, secondCrash-time.Since(begin))
	if err := p.restart(ctx, p.workers[groupSize:2*groupSize]); err != nil {
		return err
	}
	bed.Sleep(ctx, outage-time.Since(begin))
	p.bed.Store.SetFault("")
	p.away.Store(false)
	p.bed.Record.Printf("the store is back")
	return nil
}

// restart ends workers and starts them again under their ids and addresses, with the newer
// version.
func (p *play) restart(ctx context.Context, group []*worker) error {
	for _, w := range group {
		w.Replaced.Store(true)
		w.end()
		w.Crash()
	}
	bed.Sleep(ctx, down)
	for _, w := range group {
		if err := p.newWorker(w.n, "v2", w.Address).start(ctx, p.bed.Store); err != nil {
			return err
		}
	}
	return nil
}

// request requests a stream, and resumes it once if its channel breaks.
func (p *play) request(ctx context.Context) {
	begin := time.Now()
	order := rand.Perm(len(p.bed.Instances))
	s := &bed.Stream{First: bed.NewAttempt()}
	a := bed.Attempt{ID: s.First, Method: http.MethodPost, Body: strings.Repeat("x", 1400), Budget: streamBudget}
	answer := p.send(ctx, p.bed.Instances[order[0]], a, s)
	if !answer.Complete && s.Last > 0 {
		a.ID, a.Resumes, a.LastEvent, a.Budget = bed.NewAttempt(), s.First, s.Last, streamBudget-time.Since(begin)
		p.send(ctx, p.bed.Instances[order[1]], a, s)
	}
	p.streams.Add(s)
}

func (p *play) send(ctx context.Context, i *bed.Instance, a bed.Attempt, s *bed.Stream) bed.Answer {
	a.Address = i.Callers
	p.bed.Record.Printf("the requester sends %s to %s, Resumes %q, after event %d", a.ID, i.Name, a.Resumes, a.LastEvent)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer := bed.Send(ctx, client, a, s.Add)
	p.bed.Record.Printf("the requester has %s: status %d, complete %t, events %v to %d, %v", a.ID, answer.Status, answer.Complete, s.Versions, s.Last, answer.Err)
	return answer
}
