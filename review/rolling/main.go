// Command rolling stops the instances one after the other with SIGTERM, and counts the
// streams that a stopping instance took, passed on to a worker and broke off.
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
	"syscall"
	"time"

	"samphirehead/review/bed"
)

const (
	streamsPerSecond = 10
	streamBudget     = 15 * time.Second
	// eventTime is the time between two events of 4 tokens each. The route's targetGapMs
	// is 150 ms.
	eventTime = 100 * time.Millisecond
	events    = 70
	steady    = 4 * time.Second
	gap       = time.Second
	rolling   = 16 * time.Second
	grace     = 8 * time.Second
	// excusedSend is how long after the SIGTERM a request was sent that may be broken off
	// in the last sixth of the grace period.
	excusedSend = 3 * time.Second
	// entryLifetime is the ttlS of the directory.
	entryLifetime = time.Second
)

func main() {
	dir := flag.String("dir", "", "a folder for the settings")
	record := flag.String("record", "", "the record to write")
	disrupt := flag.Bool("trouble", true, "whether the instances are stopped")
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
	b.Configure(bed.Route{Kind: "streaming", MaxAttempts: 1, TimeoutMs: 15000, SloMs: 250, GapMs: 150})
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
	p := &play{bed: b, stopped: make(map[string]time.Time)}
	return p.run(ctx, disrupt)
}

// play holds what happened.
type play struct {
	bed *bed.Bed

	mu      sync.Mutex
	stopped map[string]time.Time
	sent    []sent
}

// sent is one attempt that has ended.
type sent struct {
	bed.Attempt
	bed.Answer
	at, end time.Time
	events  int
}

func (p *play) run(ctx context.Context, disrupt bool) (broken bool, err error) {
	stopping := make(chan error, 1)
	go func() {
		bed.Sleep(ctx, steady)
		stopping <- p.stopAll(ctx, disrupt)
	}()
	var requesters sync.WaitGroup
	begin := time.Now()
	callers := newCallers(p)
	for time.Since(begin) < steady+rolling && ctx.Err() == nil {
		c := callers[rand.N(len(callers))]
		requesters.Go(func() { c.request(ctx) })
		time.Sleep(time.Second / streamsPerSecond)
	}
	requesters.Wait()
	if err := <-stopping; err != nil {
		return false, err
	}
	return p.judge(), ctx.Err()
}

// stopAll sends SIGTERM to one instance after the other. run.sh starts them again.
func (p *play) stopAll(ctx context.Context, disrupt bool) error {
	if !disrupt {
		return nil
	}
	for _, i := range p.bed.Instances {
		p.mu.Lock()
		p.stopped[i.Callers] = time.Now()
		p.mu.Unlock()
		if err := p.bed.Signal(i, syscall.SIGTERM); err != nil {
			return err
		}
		bed.Sleep(ctx, gap)
	}
	return nil
}

// caller is a requester that keeps what the directory answered for some time, and longer
// if it can't obtain a new answer.
type caller struct {
	play *play
	zone string
	// nodes are the nearest nodes with a directory.
	nodes []*bed.Instance
	keep  time.Duration

	mu        sync.Mutex
	addresses []string
	resolved  time.Time
}

// newCallers returns requesters in each zone. Some keep addresses three times as long.
func newCallers(p *play) []*caller {
	var callers []*caller
	for n := range 12 {
		i := p.bed.Instances
		first := n % len(i)
		c := &caller{play: p, zone: i[first].Zone, keep: entryLifetime}
		for k := range 3 {
			c.nodes = append(c.nodes, i[(first+k)%len(i)])
		}
		if n%3 == 0 {
			c.keep = 3 * entryLifetime
		}
		callers = append(callers, c)
	}
	return callers
}

func (c *caller) pick(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.resolved) >= c.keep {
		for _, node := range c.nodes {
			if addresses := bed.Resolve(ctx, node, c.zone); len(addresses) > 0 {
				c.addresses, c.resolved = addresses, time.Now()
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.N(len(c.addresses))]
}

// request requests one stream on a new channel. It is not retried.
func (c *caller) request(ctx context.Context) {
	address := c.pick(ctx)
	if address == "" {
		return
	}
	s := sent{
		Attempt: bed.Attempt{
			ID: bed.NewAttempt(), Address: address, Method: http.MethodPost, Body: strings.Repeat("x", 1400), Budget: streamBudget,
		},
		at: time.Now(),
	}
	c.play.bed.Record.Printf("the requester sends %s to %s", s.ID, c.play.name(address))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	s.Answer = bed.Send(ctx, client, s.Attempt, func(int, string) { s.events++ })
	s.end = time.Now()
	c.play.bed.Record.Printf("the requester has %s: status %d, complete %t, %d events, %v", s.ID, s.Status, s.Complete, s.events, s.Err)
	c.play.mu.Lock()
	defer c.play.mu.Unlock()
	c.play.sent = append(c.play.sent, s)
}

func (p *play) name(address string) string {
	for _, i := range p.bed.Instances {
		if i.Callers == address {
			return i.Name
		}
	}
	return address
}

// judge reports whether a stopping instance broke off a stream that it had passed on,
// without the excuse of the rule: the worker was still at work in the last sixth of the
// grace period on a request that was sent no later than 3 s after the SIGTERM.
func (p *play) judge() (broken bool) {
	whole, refused, excused, lost, other := 0, 0, 0, 0, 0
	for _, s := range p.sent {
		stopped, ok := p.stopped[s.Address]
		ok = ok && s.end.After(stopped) && s.at.Before(stopped.Add(grace+time.Second))
		late := s.at.Sub(stopped)
		switch {
		case s.Complete && s.Status == http.StatusOK && s.events == events:
			whole++
		case s.Status == http.StatusServiceUnavailable:
			refused++
		case ok && s.events > 0 && late > excusedSend:
			lost++
			p.bed.Record.Printf("%s was sent to %s %s after its SIGTERM, and broken off after %d of %d events and %s",
				s.ID, p.name(s.Address), late, s.events, events, s.end.Sub(s.at))
		case ok && s.events > 0:
			excused++
		default:
			other++
		}
	}
	p.bed.Record.Result("%d streams: %d whole, %d refused with 503, %d broken off with the excuse of the rule, %d without (LOST), %d not taken",
		len(p.sent), whole, refused, excused, lost, other)
	return lost > 0
}
