// Command lostanswer sends streams that may run once at most, as GET requests, while some workers lose answers of requests that they ran, and counts the
// runs of each.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"samphirehead/review/bed"
)

const (
	// requestsPerSecond is about what the site's sheet has for dossier-read.
	requestsPerSecond = 30
	before            = 4 * time.Second
	trouble           = 4 * time.Second
	after             = 3 * time.Second
	budget            = 6 * time.Second
	// Of three workers, two lose answers (at most 0.6 of them, rounded up), 0.4 of those
	// that they ran.
	losers    = 2
	lostShare = 0.4
	seed      = 39
)

func main() {
	dir := flag.String("dir", "", "a folder for the settings")
	record := flag.String("record", "", "the record to write")
	disrupt := flag.Bool("trouble", true, "whether answers are lost")
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
	b, err := bed.New(dir, record, "doto-a", "doto-b", "doto-c")
	if err != nil {
		return false, err
	}
	b.Configure(bed.Route{Kind: "streaming", MaxAttempts: 1, TimeoutMs: 6000, SloMs: 1500, GapMs: 600})
	workers, losing, err := startWorkers(ctx, b)
	if err != nil {
		return false, err
	}
	store := func(*bed.Instance) string { return b.Store.Address() }
	if err := b.WriteSettings(func(i *bed.Instance) string { return i.Peers }, store); err != nil {
		return false, err
	}
	if err := b.AwaitReady(ctx); err != nil {
		return false, err
	}
	statuses := &sync.Map{}
	var sent sync.WaitGroup
	begin := time.Now()
	for time.Since(begin) < before+trouble+after && ctx.Err() == nil {
		inTrouble := time.Since(begin) > before && time.Since(begin) < before+trouble
		losing.Store(disrupt && inTrouble)
		sent.Go(func() { send(ctx, b, statuses) })
		time.Sleep(time.Second / requestsPerSecond)
	}
	sent.Wait()
	return judge(b, workers, statuses), ctx.Err()
}

func startWorkers(ctx context.Context, b *bed.Bed) ([]*bed.Worker, *atomic.Bool, error) {
	losing := &atomic.Bool{}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, seed))
	var workers []*bed.Worker
	for n, zone := range []string{"doto-a", "doto-b", "doto-c"} {
		w := &bed.Worker{
			ID: fmt.Sprintf("i-%d", n+1), Zone: zone, Version: "v1", Events: 13, EventTime: 10 * time.Millisecond, Record: b.Record,
		}
		if n < losers {
			w.LosesAnswer = func(string) bool {
				mu.Lock()
				defer mu.Unlock()
				return losing.Load() && random.Float64() < lostShare
			}
		}
		if err := w.Start(ctx, b.Store); err != nil {
			return nil, nil, err
		}
		workers = append(workers, w)
	}
	return workers, losing, nil
}

// client opens a channel for each request, as net/http may itself send a GET request once
// more on a kept one.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send sends one request to a random instance. It is not retried.
func send(ctx context.Context, b *bed.Bed, statuses *sync.Map) {
	i := b.Instances[rand.N(len(b.Instances))]
	a := bed.Attempt{ID: bed.NewAttempt(), Address: i.Callers, Method: http.MethodGet, Budget: budget}
	b.Record.Printf("the requester sends %s to %s", a.ID, i.Name)
	answer := bed.Send(ctx, client, a, nil)
	statuses.Store(a.ID, answer.Status)
	b.Record.Printf("the requester has %s: status %d, complete %t, %v", a.ID, answer.Status, answer.Complete, answer.Err)
}

// judge reports whether a request ran more than once, or ran and was answered 503.
func judge(b *bed.Bed, workers []*bed.Worker, statuses *sync.Map) (broken bool) {
	runs := make(map[string]int)
	for _, w := range workers {
		for attempt, n := range w.Runs() {
			runs[attempt] += n
		}
	}
	requests, twice, most, promised := 0, 0, 0, 0
	statuses.Range(func(attempt, status any) bool {
		requests++
		n := runs[attempt.(string)]
		most = max(most, n)
		if n > 1 {
			twice++
			b.Record.Printf("%s ran %d times and was answered %d", attempt, n, status)
		}
		if n > 0 && status == http.StatusServiceUnavailable {
			promised++
			b.Record.Printf("%s ran %d times and was answered 503", attempt, n)
		}
		return true
	})
	b.Record.Result("%d requests that may run once at most: %d ran more than once (TWICE), up to %d times; %d ran and were answered 503 (REFUSED)",
		requests, twice, most, promised)
	return twice > 0 || promised > 0
}
