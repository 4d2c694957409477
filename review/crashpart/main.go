// Command crashpart sends requests with a part in their prompts that crashes each worker
// as it begins to write an answer, beside sound ones, and counts the requests with the
// part that reach workers after the fifth crash.
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
	"time"

	"samphirehead/review/bed"
)

const (
	// contact is contactMs of the site.
	contact = 3 * time.Second
	// The rule allows mostLate requests later than contact after crash number fifth.
	fifth    = 5
	mostLate = 3
	workers  = 8
	// down is how long a worker that crashed is away: "some seconds".
	down = 4 * time.Second
	// LOST compares sound requests from lostAfter after that crash with calm ones.
	lostAfter = 2 * contact
	// fewest is how many sound requests of each the rule needs.
	fewest = 20
	// badPerSecond and soundPerSecond are the rates of requests.
	badPerSecond   = 6
	soundPerSecond = 30
	streamBudget   = 15 * time.Second
	steady         = 4 * time.Second
	troubled       = 20 * time.Second
	badPart        = "bad0c0de"
	sharedPart     = "5c1e07a2"
)

func main() {
	dir := flag.String("dir", "", "a folder for the settings")
	record := flag.String("record", "", "the record to write")
	disrupt := flag.Bool("trouble", true, "whether the part crashes workers")
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
	b.Configure(bed.Route{Kind: "streaming", Resumable: true, MaxAttempts: 2, TimeoutMs: 15000, SloMs: 500, GapMs: 250})
	p := &play{bed: b, disrupt: disrupt}
	for n := range workers {
		if err := p.startWorker(ctx, n, ""); err != nil {
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
	p.run(ctx)
	return p.judge(), ctx.Err()
}

// play holds what happened.
type play struct {
	bed     *bed.Bed
	disrupt bool

	mu sync.Mutex
	// crashes are the times of the crashes under the part.
	crashes []time.Time
	// sentAt holds when a requester sent each request with the part, and reached those
	// that reached a worker.
	sentAt  map[string]time.Time
	reached []string
	// sound are the sound requests, and troubleAt is when those with the part begin.
	sound     []soundRequest
	troubleAt time.Time
}

// soundRequest is a request without the part.
type soundRequest struct {
	sentAt time.Time
	// begun is set if its first event came, and whole if its last one did.
	begun, whole bool
}

// startWorker starts a worker, which starts again after each crash.
func (p *play) startWorker(ctx context.Context, n int, address string) error {
	w := &bed.Worker{
		ID: fmt.Sprintf("i-%d-%d", n+1, time.Now().UnixMilli()), Zone: []string{"doto-a", "doto-b", "doto-c"}[n%3], Version: "v1",
		Address: address, Events: 6, EventTime: 40 * time.Millisecond, Record: p.bed.Record,
	}
	workerCtx, end := context.WithCancel(ctx)
	w.Crashes = func(attempt, parts string) bool {
		if !strings.Contains(parts, badPart) {
			return false
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reached = append(p.reached, attempt)
		if !p.disrupt {
			return false
		}
		p.crashes = append(p.crashes, time.Now())
		end()
		go func() {
			bed.Sleep(ctx, down)
			_ = p.startWorker(ctx, n, w.Address)
		}()
		return true
	}
	return w.Start(workerCtx, p.bed.Store)
}

func (p *play) run(ctx context.Context) {
	p.sentAt = make(map[string]time.Time)
	var requesters sync.WaitGroup
	begin := time.Now()
	p.troubleAt = begin.Add(steady)
	for n := 0; time.Since(begin) < steady+troubled && ctx.Err() == nil; n++ {
		bad := time.Since(begin) > steady && n%(soundPerSecond/badPerSecond) == 0
		requesters.Go(func() { p.request(ctx, bad) })
		bed.Sleep(ctx, time.Second/soundPerSecond)
	}
	requesters.Wait()
}

// request sends one request to a random instance. It is not retried.
func (p *play) request(ctx context.Context, bad bool) {
	i := p.bed.Instances[rand.N(len(p.bed.Instances))]
	a := bed.Attempt{ID: bed.NewAttempt(), Address: i.Callers, Method: http.MethodPost, Budget: streamBudget}
	a.Body = "prompt of " + a.ID
	a.Parts = fmt.Sprintf("%s:568,%s:300,%s:1500", sharedPart, a.ID[:8], a.ID)
	if bad {
		a.Parts = fmt.Sprintf("%s:568,%s:300,%s:1500", sharedPart, badPart, a.ID)
		p.mu.Lock()
		p.sentAt[a.ID] = time.Now()
		p.mu.Unlock()
	}
	p.bed.Record.Printf("the requester sends %s to %s, with the part: %t", a.ID, i.Name, bad)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	sentAt, events := time.Now(), 0
	answer := bed.Send(ctx, client, a, func(int, string) { events++ })
	p.bed.Record.Printf("the requester has %s: status %d, complete %t, %v", a.ID, answer.Status, answer.Complete, answer.Err)
	if bad {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sound = append(p.sound, soundRequest{sentAt: sentAt, begun: events > 0, whole: answer.Complete && events > 0})
}

// judge reports whether too few sound requests began while others came with the part
// (LOST). It also counts the requests with the part that were sent on late (BUDGET). A requester's time stands for the instance's, which
// is later. Each request is its requester's first attempt.
func (p *play) judge() (broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	var calm, hit share
	for _, s := range p.sound {
		if s.sentAt.Before(p.troubleAt.Add(-time.Second)) {
			calm.add(s)
		}
	}
	if len(p.crashes) >= fifth {
		at := p.crashes[fifth-1]
		for _, attempt := range p.reached {
			if p.sentAt[attempt].After(at.Add(contact)) {
				late++
			}
		}
		for _, s := range p.sound {
			if s.sentAt.After(at.Add(lostAfter)) && s.sentAt.Before(p.troubleAt.Add(troubled)) {
				hit.add(s)
			}
		}
	}
	lost := calm.all >= fewest && hit.all >= fewest && hit.begun*calm.all*2 < calm.begun*hit.all
	p.bed.Record.Result("%d requests with the part, %d crashes; %d of them reached workers later than %s after the fifth crash (BUDGET allows %d)",
		len(p.sentAt), len(p.crashes), late, contact, mostLate)
	p.bed.Record.Result("sound requests that began: %s in calm, %s from %s after the fifth crash (LOST: %t)", calm, hit, lostAfter, lost)
	return lost
}

// share counts sound requests.
type share struct{ all, begun, whole int }

func (s *share) add(r soundRequest) {
	s.all++
	if r.begun {
		s.begun++
	}
	if r.whole {
		s.whole++
	}
}

// String returns the counts.
func (s share) String() string {
	return fmt.Sprintf("%d of %d (%d whole)", s.begun, s.all, s.whole)
}
