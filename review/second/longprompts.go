package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// The model workers, and the plain ones, with their slots.
	poolWorkers, poolSlots = 22, 24
	deskWorkers, deskSlots = 3, 6
	instances              = 4
	// promptParts is how many parts the prompt of a long conversation lists, and partTokens
	// how many tokens each has.
	promptParts, partTokens = 64, 90
	// calm is the time before the disturbance, greyTurns how often other workers are disturbed,
	// greyTime for how long, and greyWorkers how many at a time. They reset greyShare of their
	// requests.
	calm                   = 4 * time.Second
	greyTurns, greyWorkers = 10, 3
	greyTime               = 6500 * time.Millisecond
	greyShare              = 0.45
	// contact is the time after the disturbance from which requests are judged, and judged for
	// how long they are sent.
	contact, judged = 4 * time.Second, 12 * time.Second
	// conversationsPerSecond and lookupsPerSecond are sent at all instances together.
	conversationsPerSecond, notesPerSecond, lookupsPerSecond = 40, 30, 9
	lookupTimeout, conversationTimeout, notesTimeout         = 600 * time.Millisecond, 3 * time.Second, 15 * time.Second
	// lateAfter is how long after the timeout of its route a request must have its answer. The
	// rule is broken if maxLate or more have none, and more than one in lateShare of those
	// that last longer than the timeout.
	lateAfter          = 500 * time.Millisecond
	maxLate, lateShare = 8, 4
)

// configuration is the operator's.
func configuration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "r-talk", "host": host, "prefix": "/pufi791/", "kind": "streaming", "timeoutMs": conversationTimeout.Milliseconds(),
				"sloMs": 1000, "priority": 1, "service": "pool", "maxAttempts": 1, "public": false, "sticky": true,
				"resumable": false, "targetGapMs": 300,
			},
			map[string]any{
				"name": "r-notes", "host": host, "prefix": "/lohu930/", "kind": "streaming", "timeoutMs": notesTimeout.Milliseconds(),
				"sloMs": 1000, "priority": 0, "service": "pool", "maxAttempts": 2, "public": false, "sticky": true,
				"resumable": true, "targetGapMs": 200,
			},
			map[string]any{
				"name": "r-look", "host": host, "prefix": "/gami118/", "kind": "safe", "timeoutMs": lookupTimeout.Milliseconds(),
				"sloMs": 120, "priority": 2, "service": "desk", "maxAttempts": 2, "public": false,
			},
		},
		"services": []any{
			map[string]any{
				"name": "pool", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": poolSlots, "kvCapacity": 240648, "kvBytes": 163840, "linkMbps": 550000.0, "moves": true, "stride": 4,
				},
			},
			map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{key}}},
	}
}

// playLongPrompts lets callers hold long conversations while some model workers at a time reset a
// part of their requests. After the disturbance it looks whether requests get their answers.
func playLongPrompts(ctx context.Context, b *bed) error {
	b.store.Put("op", "config", configuration())
	if err := b.addWorkers(ctx, "pool", poolWorkers, poolSlots, serveConversation); err != nil {
		return err
	}
	if err := b.addWorkers(ctx, "desk", deskWorkers, deskSlots, serveLookup); err != nil {
		return err
	}
	if err := b.startInstances(ctx); err != nil {
		return err
	}
	traffic := newTraffic(b)
	sending, stop := context.WithCancel(ctx)
	traffic.start(ctx, sending)
	sleep(ctx, calm)
	b.disturbWorkers(ctx)
	sleep(ctx, contact)
	from := time.Now()
	sleep(ctx, judged)
	to := time.Now()
	stop()
	traffic.wait()
	return b.judgeAnswers(traffic.results, from, to)
}

// disturbWorkers lets some model workers at a time reset a part of their requests.
func (b *bed) disturbWorkers(ctx context.Context) {
	for turn := range greyTurns {
		for n := range greyWorkers {
			w := b.workers[(turn*greyWorkers+n)%poolWorkers]
			if b.trouble {
				b.notef("worker %s resets %.2f of its requests for %s", w.id, greyShare, greyTime)
				w.setGrey(true)
			}
		}
		sleep(ctx, greyTime)
		for _, w := range b.workers {
			w.setGrey(false)
		}
	}
	b.notef("all workers are sound")
}

// judgeAnswers applies the rule to the requests that were sent in a time.
func (b *bed) judgeAnswers(results []result, from, to time.Time) error {
	sent, unanswered, late := 0, 0, 0
	for _, r := range results {
		if r.sent.Before(from) || r.sent.After(to) {
			continue
		}
		sent++
		if r.took > r.budget {
			unanswered++
		}
		if r.took > r.budget+lateAfter {
			late++
		}
	}
	b.notef("%d requests were sent after the disturbance: %d unanswered at the timeout of their route, %d of them %s later", sent, unanswered, late, lateAfter)
	if sent == 0 {
		return fmt.Errorf("no request was sent")
	}
	if late >= maxLate && lateShare*late > unanswered {
		return fmt.Errorf("%w: %d requests without an answer", errBroken, late)
	}
	return nil
}

// serveConversation streams an answer of a few events. A grey worker resets a part of its
// requests.
func serveConversation(w *worker, rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Samphirehead-Attempt-Id")
	time.Sleep(40 * time.Millisecond)
	if w.isGrey() && rand.Float64() < greyShare {
		w.bed.notef("worker %s resets %s", w.id, id)
		reset(rw)
		return
	}
	w.seal(rw, r)
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := range 6 {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s of %s\n\n", n+1, id, w.id); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// serveLookup answers after a short time.
func serveLookup(w *worker, rw http.ResponseWriter, r *http.Request) {
	time.Sleep(15 * time.Millisecond)
	w.seal(rw, r)
	_, _ = io.WriteString(rw, strings.Repeat("x", 800))
}

// traffic is what callers send.
type traffic struct {
	bed *bed

	sending sync.WaitGroup
	mu      sync.Mutex
	results []result
}

func newTraffic(b *bed) *traffic { return &traffic{bed: b} }

// start sends conversations and lookups until sending ends.
func (t *traffic) start(ctx, sending context.Context) {
	t.sending.Go(func() { t.repeat(ctx, sending, conversationsPerSecond, conversation) })
	t.sending.Go(func() { t.repeat(ctx, sending, notesPerSecond, notes) })
	t.sending.Go(func() { t.repeat(ctx, sending, lookupsPerSecond, lookup) })
}

func (t *traffic) wait() { t.sending.Wait() }

func (t *traffic) repeat(ctx, sending context.Context, perSecond int, next func(number int) request) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-sending.Done():
			return
		case <-ticker.C:
		}
		q := next(number)
		q.at = t.bed.instances[rand.IntN(len(t.bed.instances))]
		t.sending.Go(func() { t.add(t.bed.send(ctx, q)) })
	}
}

func (t *traffic) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
}

// conversation is the next request of a long conversation: its prompt lists the instructions that
// all share, and the turns so far.
func conversation(number int) request {
	parts := []string{"a0"}
	for range promptParts - 1 {
		parts = append(parts, fmt.Sprintf("%08x", rand.Uint32()))
	}
	parts = append(parts, fmt.Sprintf("%08x", rand.Uint32()))
	return request{
		kind: "conversation", id: fmt.Sprintf("c%d", number), method: http.MethodPost, path: "/pufi791/2f", budget: conversationTimeout,
		header: map[string]string{
			"X-Samphirehead-Model": "m", "X-Samphirehead-Token-Counts": fmt.Sprintf("%d,24", partTokens*len(parts)),
			"X-Samphirehead-Prompt-Prefix": promptPrefix(partTokens, parts...),
		},
		body: strings.NewReader(fmt.Sprintf("%0400d", number)),
	}
}

// notes is a request with a short prompt, of which many requests share all but the last part.
func notes(number int) request {
	return request{
		kind: "notes", id: fmt.Sprintf("n%d", number), method: http.MethodPost, path: "/lohu930/2f", budget: notesTimeout,
		header: map[string]string{
			"X-Samphirehead-Model": "m", "X-Samphirehead-Token-Counts": "715,24",
			"X-Samphirehead-Prompt-Prefix": fmt.Sprintf("b%d:103,c%d:69,%08x:543", number%8, number%20, rand.Uint32()),
		},
		body: strings.NewReader(fmt.Sprintf("%0200d", number)),
	}
}

func lookup(number int) request {
	return request{
		kind: "lookup", id: fmt.Sprintf("l%d", number), method: http.MethodGet, path: fmt.Sprintf("/gami118/%d", number), budget: lookupTimeout,
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
