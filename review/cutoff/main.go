// Command cutoff lets callers resume streams at an instance that is cut off from the
// other instances and the store, and counts the streams that hold events of workers of
// two versions.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"samphirehead/review/bed"
)

// All times are from the cut. It lasts for 12 s at most in the site's days.
const (
	cutLength   = 11 * time.Second
	addWorkerAt = 500 * time.Millisecond
	firstStream = 700 * time.Millisecond
	lastStream  = 2500 * time.Millisecond
	crashAt     = 4 * time.Second
	// streamPause is that between two streams, as in the site's sheet for tape-notes.
	streamPause  = 33 * time.Millisecond
	warmUp       = 4 * time.Second
	oldWorkers   = 8
	newWorkers   = 2
	streamBudget = 15 * time.Second
	// keep is how long a requester keeps what the directory answered: three times ttlS.
	keep = 3 * time.Second
)

func main() {
	dir := flag.String("dir", "", "a folder for the settings")
	record := flag.String("record", "", "the record to write")
	disrupt := flag.Bool("trouble", true, "whether an instance is cut off and workers crash")
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
	for n := range oldWorkers {
		if err := newWorker(b, n, "v1").Start(ctx, b.Store); err != nil {
			return false, err
		}
	}
	network, err := bed.NewNetwork(ctx, b)
	if err != nil {
		return false, err
	}
	if err := b.WriteSettings(network.Relay, network.Store); err != nil {
		return false, err
	}
	if err := b.AwaitReady(ctx); err != nil {
		return false, err
	}
	streams := &bed.Tally{}
	if err := play(ctx, b, network, disrupt, streams); err != nil {
		return false, err
	}
	return streams.Judge(b.Record), ctx.Err()
}

// newWorker returns the n-th worker.
func newWorker(b *bed.Bed, n int, version string) *bed.Worker {
	zone := []string{"doto-a", "doto-b", "doto-c"}[n%3]
	return &bed.Worker{ID: fmt.Sprintf("i-%d", n+1), Zone: zone, Version: version, Events: 70, EventTime: 100 * time.Millisecond, Record: b.Record}
}

// play adds workers of another version while one instance is cut off. They crash in the
// midst of streams.
func play(ctx context.Context, b *bed.Bed, network *bed.Network, disrupt bool, streams *bed.Tally) error {
	lonely := b.Instances[len(b.Instances)-1]
	workerCtx, workersEnd := context.WithCancel(ctx)
	defer workersEnd()
	var requesters sync.WaitGroup
	defer requesters.Wait()
	for range int(warmUp / streamPause) {
		requesters.Go(func() { newCaller(ctx, b, lonely, streams).play(ctx) })
		bed.Sleep(ctx, streamPause)
	}
	var waiting []*caller
	for range int((lastStream - firstStream) / streamPause) {
		waiting = append(waiting, newCaller(ctx, b, lonely, streams))
	}
	begin := time.Now()
	if disrupt {
		b.Record.Printf("%s is cut off from the other instances and the store", lonely.Name)
		network.Cut(lonely)
	}
	bed.Sleep(ctx, addWorkerAt)
	var added []*bed.Worker
	for n := range newWorkers {
		w := newWorker(b, oldWorkers+n, "v2")
		if err := w.Start(workerCtx, b.Store); err != nil {
			return err
		}
		added = append(added, w)
	}
	bed.Sleep(ctx, firstStream-time.Since(begin))
	for _, c := range waiting {
		requesters.Go(func() { c.play(ctx) })
		bed.Sleep(ctx, streamPause)
	}
	bed.Sleep(ctx, crashAt-time.Since(begin))
	if disrupt {
		workersEnd()
		for _, w := range added {
			w.Crash()
		}
	}
	bed.Sleep(ctx, cutLength-time.Since(begin))
	network.Cut(nil)
	b.Record.Printf("the cut ends")
	return nil
}

// caller is a requester in the zone of the instance that is cut off, which is its nearest
// directory.
type caller struct {
	bed       *bed.Bed
	nearest   *bed.Instance
	streams   *bed.Tally
	addresses []string
	resolved  time.Time
}

func newCaller(ctx context.Context, b *bed.Bed, nearest *bed.Instance, streams *bed.Tally) *caller {
	c := &caller{bed: b, nearest: nearest, streams: streams}
	c.resolve(ctx)
	return c
}

// resolve asks the nearest directory, and then others, unless the last answer holds.
func (c *caller) resolve(ctx context.Context) {
	if time.Since(c.resolved) < keep {
		return
	}
	nodes := append([]*bed.Instance{c.nearest}, c.bed.Instances[:2]...)
	for _, node := range nodes {
		if addresses := bed.Resolve(ctx, node, c.nearest.Zone); len(addresses) > 0 {
			c.addresses, c.resolved = addresses, time.Now()
			return
		}
	}
}

// pick picks an address at random, except for those that have failed.
func (c *caller) pick(ctx context.Context, failed ...string) string {
	c.resolve(ctx)
	left := slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return slices.Contains(failed, a) })
	if len(left) == 0 {
		return ""
	}
	return left[rand.N(len(left))]
}

// play requests a stream, and resumes it once if its channel breaks.
func (c *caller) play(ctx context.Context) {
	begin := time.Now()
	s := &bed.Stream{First: bed.NewAttempt()}
	a := bed.Attempt{ID: s.First, Address: c.pick(ctx), Method: http.MethodPost, Body: strings.Repeat("x", 1400), Budget: streamBudget}
	answer := c.send(ctx, a, s)
	if !answer.Complete && s.Last > 0 {
		a.Address = c.pick(ctx, a.Address)
		a.ID, a.Resumes, a.LastEvent, a.Budget = bed.NewAttempt(), s.First, s.Last, streamBudget-time.Since(begin)
		if a.Address != "" {
			c.send(ctx, a, s)
		}
	}
	c.streams.Add(s)
}

func (c *caller) send(ctx context.Context, a bed.Attempt, s *bed.Stream) bed.Answer {
	name := a.Address
	for _, i := range c.bed.Instances {
		if i.Callers == a.Address {
			name = i.Name
		}
	}
	c.bed.Record.Printf("the requester sends %s to %s, Resumes %q, after event %d", a.ID, name, a.Resumes, a.LastEvent)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer := bed.Send(ctx, client, a, s.Add)
	c.bed.Record.Printf("the requester has %s: status %d, complete %t, events %v to %d, %v", a.ID, answer.Status, answer.Complete, s.Versions, s.Last, answer.Err)
	return answer
}
