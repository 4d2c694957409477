package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// streamsPerSecond are sent at all instances together, with so many events each.
	streamsPerSecond, streamEvents = 20, 60
	eventPause                     = 100 * time.Millisecond
	streamBudget                   = 15 * time.Second
	// longIDBytes is how long the ids are of the attempts of clients that nobody controls, and
	// longIDStreams how many streams they read at a time at each instance.
	longIDBytes, longIDStreams = 12_000, 8
	// quiet is the time before an instance is killed, and after how long new streams are no
	// longer sent.
	quiet, after = 15 * time.Second, 8 * time.Second
	// minResumed is how many streams must have been taken up again for the rule to count.
	minResumed = 12
	retryPause = 500 * time.Millisecond
)

// playLongIDs kills an instance while two software versions serve. Callers take up their streams
// at the other instances. The trouble are clients with long attempt ids.
func playLongIDs(ctx context.Context, b *bed) error {
	b.store.Put("op", "config", configuration())
	if err := b.addWorkers(ctx, "pool", poolWorkers, poolSlots, serveStream); err != nil {
		return err
	}
	for n, w := range b.workers {
		w.version = "v" + strconv.Itoa(1+n%2)
		w.register(1)
	}
	if err := b.startInstances(ctx); err != nil {
		return err
	}
	sending, stop := context.WithCancel(ctx)
	s := &streams{bed: b}
	if b.trouble {
		for _, i := range b.instances {
			for range longIDStreams {
				s.sending.Go(func() { s.repeatLongIDs(sending, i) })
			}
		}
	}
	s.sending.Go(func() { s.repeat(ctx, sending) })
	sleep(ctx, quiet)
	if err := b.kill(b.instances[0]); err != nil {
		stop()
		s.sending.Wait()
		return err
	}
	s.kill(b.instances[0])
	sleep(ctx, after)
	stop()
	s.sending.Wait()
	return s.judge()
}

// streams are those that callers read.
type streams struct {
	bed     *bed
	sending sync.WaitGroup

	mu     sync.Mutex
	killed instance
	// begun and sentNew count the new streams that were sent to the other instances after one
	// was killed.
	sentNew, begun int
	// taken counts the streams that were taken up again, and wentOn those of them that went on.
	taken, wentOn int
	// mixed counts the streams that hold events of two versions.
	mixed int
}

func (s *streams) kill(i instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killed = i
}

// target returns an instance that was not killed, and whether one was.
func (s *streams) target() (i instance, afterKill bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		i = s.bed.instances[rand.IntN(len(s.bed.instances))]
		if i != s.killed {
			return i, s.killed != instance{}
		}
	}
}

func (s *streams) repeat(ctx, sending context.Context) {
	ticker := time.NewTicker(time.Second / streamsPerSecond)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-sending.Done():
			return
		case <-ticker.C:
		}
		s.sending.Go(func() { s.read(ctx, number) })
	}
}

// read reads one stream. If it breaks, it is taken up again at other instances.
func (s *streams) read(ctx context.Context, number int) {
	ctx, cancel := context.WithTimeout(ctx, streamBudget)
	defer cancel()
	deadline := time.Now().Add(streamBudget)
	first := fmt.Sprintf("s%d", number)
	at, isNew := s.target()
	r := reading{id: first, at: at, budget: streamBudget}
	r.run(ctx, s.bed)
	s.countNew(isNew, r.events > 0)
	if r.complete || r.events == 0 {
		return
	}
	went := false
	for try := 1; time.Now().Before(deadline) && !r.complete; try++ {
		at, _ = s.target()
		next := reading{id: fmt.Sprintf("%s.%d", first, try), at: at, resumes: first, last: r.last, version: r.version, budget: time.Until(deadline)}
		next.run(ctx, s.bed)
		went = went || next.events > 0
		r.last, r.version, r.mixed, r.complete = next.last, next.version, r.mixed || next.mixed, next.complete
		if next.events == 0 {
			sleep(ctx, retryPause)
		}
	}
	s.bed.notef("stream %s was taken up again: it went on %t, complete %t, last event %d, two versions %t", first, went, r.complete, r.last, r.mixed)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken++
	if went {
		s.wentOn++
	}
	if r.mixed {
		s.mixed++
	}
}

func (s *streams) countNew(isNew, begun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isNew {
		return
	}
	s.sentNew++
	if begun {
		s.begun++
	}
}

// repeatLongIDs reads one stream after the other at an instance.
func (s *streams) repeatLongIDs(ctx context.Context, at instance) {
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("x%s-%08x-%d-", at.name, rand.Uint32(), number)
		r := reading{id: id + strings.Repeat("f", longIDBytes-len(id)), at: at, budget: streamBudget}
		r.run(ctx, s.bed)
		if !r.complete {
			sleep(ctx, retryPause)
		}
	}
}

// judge applies the rule.
func (s *streams) judge() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bed
	b.notef("%d of %d streams that were taken up again went on; %d of %d new streams began; %d streams hold two versions",
		s.wentOn, s.taken, s.begun, s.sentNew, s.mixed)
	if s.taken < minResumed || s.sentNew == 0 {
		return fmt.Errorf("only %d streams were taken up again, and %d new ones sent", s.taken, s.sentNew)
	}
	if 2*s.wentOn*s.sentNew < s.taken*s.begun {
		return fmt.Errorf("%w: %d of %d streams went on", errBroken, s.wentOn, s.taken)
	}
	return nil
}

// reading is one attempt of a caller to read a stream.
type reading struct {
	id, resumes string
	at          instance
	budget      time.Duration
	// last is the id of the last event, and version that of its worker.
	last    int
	version string
	// events counts those of this attempt.
	events          int
	complete, mixed bool
}

func (r *reading) run(ctx context.Context, b *bed) {
	body := strings.NewReader(r.id[:min(len(r.id), 60)])
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.at.callers+"/lohu930/2f", body)
	if err != nil {
		return
	}
	request.Host = host
	for name, value := range map[string]string{
		"X-Samphirehead-Attempt-Id": r.id, "X-Samphirehead-Time-Budget-Ms": strconv.FormatInt(r.budget.Milliseconds(), 10),
		"X-Samphirehead-Key": key, "X-Samphirehead-Model": "m", "X-Samphirehead-Token-Counts": "715,240",
		"X-Samphirehead-Prompt-Prefix": fmt.Sprintf("b0:103,c0:69,%08x:543", rand.Uint32()),
	} {
		request.Header.Set(name, value)
	}
	if r.resumes != "" {
		request.Header.Set("Resumes", r.resumes)
		request.Header.Set("Last-Event-Id", strconv.Itoa(r.last))
	}
	answer, err := caller.Do(request)
	status := 0
	if err == nil {
		status = answer.StatusCode
		err = r.readEvents(answer)
		_ = answer.Body.Close()
	}
	b.notef("stream %.20s at %s: status %d, %d events, last %d, complete %t, %v", r.id, r.at.name, status, r.events, r.last, r.complete, err)
}

func (r *reading) readEvents(answer *http.Response) error {
	if answer.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, answer.Body)
		return err
	}
	scanner := bufio.NewScanner(answer.Body)
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			r.last, _ = strconv.Atoi(id)
		}
		if version, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			r.mixed = r.mixed || r.version != "" && r.version != version
			r.version = version
			r.events++
		}
	}
	r.complete = scanner.Err() == nil && r.last == streamEvents
	return scanner.Err()
}

// serveStream streams events, those after Last-Event-Id.
func serveStream(w *worker, rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	time.Sleep(40 * time.Millisecond)
	w.seal(rw, r)
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, w.version); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}
