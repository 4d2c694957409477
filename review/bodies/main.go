// Command bodies sends requests with the longest bodies that the operator allows, in
// bursts, and ends a router process as the platform does when it exceeds its memory. It
// counts the requests that were passed on and whose kept channels closed without an answer.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"samphirehead/review/bed"
)

const (
	bodyBytes = 4194304
	// perSecond is for each instance. In a burst it is burstFactor times that.
	perSecond   = 4
	burstFactor = 2.4
	burstLength = 9 * time.Second
	burstEvery  = 15 * time.Second
	bursts      = 3
	firstBurst  = 5 * time.Second
	budget      = 15 * time.Second
	// A worker works for workSteps times workStep.
	workSteps = 50
	workStep  = 100 * time.Millisecond
	// memoryBytes is limits.memoryMb of the smallest machine of the site, in MiB.
	memoryBytes  = 189 << 20
	pollInterval = 10 * time.Millisecond
	// mostClosed is how often the rule allows a kept channel to close without an answer.
	mostClosed = 3
	// smallBody is that of the requests that open the channels.
	smallBody = 600
	// channels is how many each instance has for the requesters to keep.
	channels = 80
)

func main() {
	dir := flag.String("dir", "", "a folder for the settings")
	record := flag.String("record", "", "the record to write")
	disrupt := flag.Bool("trouble", true, "whether there are bursts")
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
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	b, err := bed.New(dir, record, "doto-a", "doto-b", "doto-c")
	if err != nil {
		return false, err
	}
	b.Configure(bed.Route{Kind: "unsafe", MaxAttempts: 1, TimeoutMs: 15000, SloMs: 6000})
	p := &play{bed: b}
	for n, zone := range []string{"doto-a", "doto-b", "doto-c"} {
		w := &bed.Worker{
			ID: fmt.Sprintf("i-%d", n+1), Zone: zone, Version: "v1", Events: workSteps, EventTime: workStep, Plain: true, Record: b.Record,
		}
		if err := w.Start(ctx, b.Store); err != nil {
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
	return p.run(ctx, disrupt), ctx.Err()
}

// play holds what happened.
type play struct {
	bed     *bed.Bed
	workers []*bed.Worker

	mu sync.Mutex
	// closed holds the attempts whose kept channel closed without an answer.
	closed []string
	sent   int
}

// run sends to all instances, and reports whether more than mostClosed kept channels
// closed without an answer to a request that a worker ran.
func (p *play) run(ctx context.Context, disrupt bool) (broken bool) {
	limitCtx, stop := context.WithCancel(ctx)
	ends := make([]int, len(p.bed.Instances))
	peaks := make([]int64, len(p.bed.Instances))
	var limits, callers sync.WaitGroup
	for n, i := range p.bed.Instances {
		limits.Go(func() { limitMemory(limitCtx, p.bed, i, &ends[n], &peaks[n]) })
		callers.Go(func() { p.load(ctx, i, disrupt) })
	}
	callers.Wait()
	stop()
	limits.Wait()
	ran := make(map[string]bool)
	for _, w := range p.workers {
		for attempt := range w.Runs() {
			ran[attempt] = true
		}
	}
	lost := 0
	for _, attempt := range p.closed {
		if ran[attempt] {
			lost++
			p.bed.Record.Printf("%s was passed on to a worker, and its kept channel closed without an answer", attempt)
		}
	}
	p.bed.Record.Result("%d requests; processes that exceeded %d MiB and were ended, by instance: %v; the most memory: %v MiB",
		p.sent, memoryBytes>>20, ends, peaks)
	p.bed.Record.Result("requests that were passed on and whose kept channel closed without an answer: %d (LOST allows %d)", lost, mostClosed)
	return lost > mostClosed
}

// load sends to one instance until the last burst is over, and waits for the answers.
func (p *play) load(ctx context.Context, i *bed.Instance, disrupt bool) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: channels}}
	var sent sync.WaitGroup
	for range channels {
		sent.Go(func() { p.send(ctx, client, i, strings.Repeat("x", smallBody)) })
	}
	sent.Wait()
	body := strings.Repeat("x", bodyBytes)
	begin := time.Now()
	for since := time.Duration(0); since < firstBurst+bursts*burstEvery && ctx.Err() == nil; since = time.Since(begin) {
		rate := float64(perSecond)
		if since > firstBurst && (since-firstBurst)%burstEvery < burstLength && disrupt {
			rate *= burstFactor
		}
		sent.Go(func() { p.send(ctx, client, i, body) })
		bed.Sleep(ctx, time.Duration(float64(time.Second)/rate))
	}
	sent.Wait()
}

// send sends one request. It is not retried.
func (p *play) send(ctx context.Context, client *http.Client, i *bed.Instance, body string) {
	a := bed.Attempt{ID: bed.NewAttempt(), Address: i.Callers, Method: http.MethodPost, Body: body, Budget: budget, Plain: true}
	p.bed.Record.Printf("the requester sends %s with %d bytes to %s", a.ID, len(body), i.Name)
	answer := bed.Send(ctx, client, a, nil)
	p.bed.Record.Printf("the requester has %s: status %d, kept channel %t, %v", a.ID, answer.Status, answer.KeptChannel, answer.Err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	if answer.KeptChannel && answer.Status == 0 {
		p.closed = append(p.closed, a.ID)
	}
}

// limitMemory ends the process of an instance when it exceeds its memory.
func limitMemory(ctx context.Context, b *bed.Bed, i *bed.Instance, ends *int, peak *int64) {
	ended := 0
	for ctx.Err() == nil {
		bed.Sleep(ctx, pollInterval)
		pid, err := b.Pid(i)
		if err != nil || pid == ended {
			continue
		}
		used := residentBytes(pid)
		*peak = max(*peak, used>>20)
		if used > memoryBytes && b.Signal(i, syscall.SIGKILL) == nil {
			ended = pid
			*ends++
			b.Record.Printf("%s has %d MiB and is ended", i.Name, used>>20)
		}
	}
}

// residentBytes returns the resident memory of a process; 0 if it is not known.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
