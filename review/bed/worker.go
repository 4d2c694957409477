package bed

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"samphirehead/platform/platformtest"
)

const (
	heartbeat = 1200 * time.Millisecond
	// storeRetry is the pause until a worker tries the store again.
	storeRetry = 100 * time.Millisecond
	slots      = 64
	// plainBytes is the length of an answer that is no stream.
	plainBytes = 800
)

// Worker is a sound worker of the service. Its exported fields are set before Start.
type Worker struct {
	ID, Zone, Version string
	Events            int
	EventTime         time.Duration
	Record            *Record
	// Address is where the worker listens; empty for any free port.
	Address string
	// ReachesStore reports whether the store answers the worker; nil for always.
	ReachesStore func() bool
	// LosesAnswer reports whether the answer to a request that has run is lost; nil for
	// never.
	LosesAnswer func(attempt string) bool
	// Plain is set if the answer is no stream: it comes whole after the time of all events.
	Plain bool
	// Crashes reports whether the worker crashes as it begins to write the answer to a
	// request with these parts in its prompt; nil for never.
	Crashes func(attempt, parts string) bool
	// Replaced is set once a worker has started under the same id.
	Replaced atomic.Bool

	server *http.Server
	born   int64

	mu    sync.Mutex
	runs  map[string]int
	seqNo int
}

// Start serves requests, and registers the worker in the store until ctx ends.
func (w *Worker) Start(ctx context.Context, store *platformtest.Store) error {
	config := net.ListenConfig{}
	l, err := config.Listen(ctx, "tcp", cmp.Or(w.Address, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	w.Address = l.Addr().String()
	w.born, w.runs = time.Now().UnixMilli(), make(map[string]int)
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	w.Record.Printf("worker %s of version %s starts at %s", w.ID, w.Version, l.Addr())
	go func() {
		for ctx.Err() == nil {
			if w.ReachesStore == nil || w.ReachesStore() {
				w.register(store)
				Sleep(ctx, heartbeat)
				continue
			}
			Sleep(ctx, storeRetry)
		}
		// The store removes the entry after three intervals of silence, unless the worker
		// has started again under its id.
		time.Sleep(3 * heartbeat)
		if !w.Replaced.Load() {
			store.Remove("servers", w.ID)
		}
	}()
	return nil
}

func (w *Worker) register(store *platformtest.Store) {
	w.mu.Lock()
	w.seqNo++
	seqNo := w.seqNo
	w.mu.Unlock()
	store.Put("servers", w.ID, map[string]any{
		"service": Service, "address": w.Address, "zone": w.Zone, "version": w.Version, "slots": slots,
		"state": "ready", "coldLeftMs": 0, "seqNo": seqNo, "born": w.born,
	})
}

// Crash resets all connections and ends the worker, which tells nobody.
func (w *Worker) Crash() {
	w.Record.Printf("worker %s crashes", w.ID)
	_ = w.server.Close()
}

// Runs returns how often each requester attempt has run.
func (w *Worker) Runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make(map[string]int, len(w.runs))
	for attempt, n := range w.runs {
		all[attempt] = n
	}
	return all
}

func (w *Worker) run(attempt, from string) {
	w.mu.Lock()
	w.runs[attempt]++
	n := w.runs[attempt]
	w.mu.Unlock()
	w.Record.Printf("worker %s runs %s from event %s (run %d of it here)", w.ID, attempt, from, n)
}

// ServeHTTP runs one request: it streams the events after Last-Event-Id.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Samphirehead-Attempt-Id")
	switch {
	case r.Header.Get("X-Samphirehead-Expect-Instance") != w.ID:
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	case attempt == "":
		out.Header().Set("X-Samphirehead-Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	w.run(attempt, fmt.Sprint(last+1))
	if w.LosesAnswer != nil && w.LosesAnswer(attempt) {
		w.lose(out, attempt)
		return
	}
	if w.Crashes != nil {
		Sleep(r.Context(), w.EventTime)
		if w.Crashes(attempt, r.Header.Get("X-Samphirehead-Prompt-Prefix")) {
			w.Crash()
			panic(http.ErrAbortHandler)
		}
	}
	out.Header().Set("X-Samphirehead-Attempt-Id", attempt)
	out.Header().Set("X-Samphirehead-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	if w.Plain {
		Sleep(r.Context(), time.Duration(w.Events)*w.EventTime)
		_, _ = io.WriteString(out, strings.Repeat("y", plainBytes))
		return
	}
	out.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= w.Events; i++ {
		Sleep(r.Context(), w.EventTime)
		if r.Context().Err() != nil {
			w.Record.Printf("worker %s drops %s at event %d: its channel has closed", w.ID, attempt, i)
			return
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", i, w.Version, i)
		_ = http.NewResponseController(out).Flush()
	}
}

// lose ends a run whose answer is lost: its channel is reset.
func (w *Worker) lose(out http.ResponseWriter, attempt string) {
	time.Sleep(time.Duration(w.Events) * w.EventTime)
	w.Record.Printf("worker %s has run %s, and the answer is lost", w.ID, attempt)
	c, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
