// Command bodies sends requests with the longest bodies that the operator allows, in
// bursts, and ends a router process as the platform does when it exceeds its memory.
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
	perSecond    = 4
	burstFactor  = 2.4
	burstLength  = 9 * time.Second
	burstEvery   = 15 * time.Second
	bursts       = 3
	firstBurst   = 5 * time.Second
	streamBudget = 15 * time.Second
	events       = 50
	eventTime    = 100 * time.Millisecond
	// memoryBytes is limits.memoryMb of the smallest machine of the site, in MiB.
	memoryBytes  = 189 << 20
	pollInterval = 10 * time.Millisecond
	mostEnds     = 3
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
	b.Configure(bed.Route{Kind: "streaming", MaxAttempts: 1, TimeoutMs: 15000, SloMs: 1500, GapMs: 600})
	for n, zone := range []string{"doto-a", "doto-b", "doto-c"} {
		w := &bed.Worker{ID: fmt.Sprintf("i-%d", n+1), Zone: zone, Version: "v1", Events: events, EventTime: eventTime, Record: b.Record}
		if err := w.Start(ctx, b.Store); err != nil {
			return false, err
		}
	}
	store := func(*bed.Instance) string { return b.Store.Address() }
	if err := b.WriteSettings(func(i *bed.Instance) string { return i.Peers }, store); err != nil {
		return false, err
	}
	if err := b.AwaitReady(ctx); err != nil {
		return false, err
	}
	return play(ctx, b, disrupt), ctx.Err()
}

// play sends to all instances, and reports whether two or more of them were ended three
// times or more.
func play(ctx context.Context, b *bed.Bed, disrupt bool) (broken bool) {
	limitCtx, stop := context.WithCancel(ctx)
	ends := make([]int, len(b.Instances))
	peaks := make([]int64, len(b.Instances))
	var limits, callers sync.WaitGroup
	for n, i := range b.Instances {
		limits.Go(func() { limitMemory(limitCtx, b, i, &ends[n], &peaks[n]) })
		callers.Go(func() { load(ctx, b, i, disrupt) })
	}
	callers.Wait()
	stop()
	limits.Wait()
	often := 0
	for _, n := range ends {
		if n >= mostEnds {
			often++
		}
	}
	b.Record.Result("processes that exceeded %d MiB and were ended, by instance: %v; the most memory: %v MiB", memoryBytes>>20, ends, peaks)
	return often >= 2
}

// load sends to one instance until the last burst is over, and waits for the answers.
func load(ctx context.Context, b *bed.Bed, i *bed.Instance, disrupt bool) {
	body := strings.Repeat("x", bodyBytes)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var sent sync.WaitGroup
	begin := time.Now()
	for since := time.Duration(0); since < firstBurst+bursts*burstEvery && ctx.Err() == nil; since = time.Since(begin) {
		rate := float64(perSecond)
		if since > firstBurst && (since-firstBurst)%burstEvery < burstLength && disrupt {
			rate *= burstFactor
		}
		sent.Go(func() {
			a := bed.Attempt{ID: bed.NewAttempt(), Address: i.Callers, Method: http.MethodPost, Body: body, Budget: streamBudget}
			b.Record.Printf("the requester sends %s with %d bytes to %s", a.ID, len(body), i.Name)
			answer := bed.Send(ctx, client, a, nil)
			b.Record.Printf("the requester has %s: status %d, complete %t, %v", a.ID, answer.Status, answer.Complete, answer.Err)
		})
		bed.Sleep(ctx, time.Duration(float64(time.Second)/rate))
	}
	sent.Wait()
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
