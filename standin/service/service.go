// Package service stands in for a plain service beside the engines. It runs
// what it is told, as often as it is told, and counts each run by key.
package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"samphirehead/standin/fault"
	"samphirehead/standin/listener"
)

// DefaultWork is how long one call takes.
const DefaultWorkDuration = 2 * time.Millisecond

// DefaultSlots is how many calls run at once.
const DefaultSlots = 16

const (
	maxBodyBytes         = 1 << 20
	defaultCrashDuration = 2 * time.Second
)

// Service is one worker.
type Service struct {
	// Address to listen on; port 0 lets the kernel choose.
	Address string `yaml:"address"`
	// Work is how long one call takes; negative for no time.
	WorkDuration time.Duration `yaml:"work"`
	// Slots is how many calls run at once; the others wait.
	Slots int `yaml:"slots"`
	// Faults are in effect; they may be changed at any time.
	Faults fault.Set `yaml:"-"`

	once     sync.Once
	listener listener.Listener
	handler  http.Handler
	slots    chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64

	mu   sync.Mutex
	runs []RunRecord
	// position finds a run's place in runs.
	runIndex  map[runKey]int
	downUntil time.Time
}

type runKey struct{ key, path string }

// Run counts how often one key was run on one path.
type RunRecord struct {
	Key   string `json:"key"`
	Path  string `json:"path"`
	Count int    `json:"count"`
	// FirstUnixUS and LastUnixUS are the times of the first and last run in
	// microseconds.
	FirstUnixUS int64 `json:"first_unix_us"`
	LastUnixUS  int64 `json:"last_unix_us"`
	// Requests holds the X-Request-Id of each run.
	Requests []string `json:"requests"`
}

// Truth is what really ran.
type Truth struct {
	Runs []RunRecord `json:"runs"`
	// FaultsStruck counts the faults that struck.
	FaultsTriggered map[fault.Kind]int `json:"faults_struck"`
}

func (s *Service) prepare() {
	s.once.Do(func() {
		if s.WorkDuration == 0 {
			s.WorkDuration = DefaultWorkDuration
		}
		if s.Slots == 0 {
			s.Slots = DefaultSlots
		}
		s.slots = make(chan struct{}, s.Slots)
		s.runIndex = map[runKey]int{}
		s.Faults.OnAdd = s.onFaultAdded
		s.handler = s.routes()
		s.listener.Address = s.Address
		s.listener.Handler = s.handler
	})
}

// Listen chooses the port.
func (s *Service) Listen() error {
	s.prepare()
	return s.listener.Listen()
}

// Addr returns the address once Listen has returned.
func (s *Service) Addr() string { return s.listener.Addr() }

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	s.prepare()
	return s.listener.Serve(ctx)
}

// Handler returns what Run serves.
func (s *Service) Handler() http.Handler {
	s.prepare()
	return s.handler
}

func (s *Service) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &s.Faults)
	mux.HandleFunc("GET /truth", s.serveTruth)
	mux.HandleFunc("GET /v1/load", s.serveLoad)
	for _, path := range []string{"POST /registrations", "POST /bookings", "POST /deposits", "GET /status/{id}"} {
		mux.HandleFunc(path, s.serveCall)
	}
	return mux
}

// faultAdded carries out a crash without a match at once.
func (s *Service) onFaultAdded(f fault.Fault) {
	if f.Kind == fault.Crash && f.Match == "" {
		s.crash(f)
	}
}

// crash drops every connection and refuses new ones for a while.
func (s *Service) crash(f fault.Fault) {
	d := f.Duration()
	if d == 0 {
		d = defaultCrashDuration
	}
	s.mu.Lock()
	s.downUntil = time.Now().Add(d)
	s.mu.Unlock()
	s.listener.TakeDown(d)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	subjects := []string{r.Method + " " + r.URL.Path, string(body)}
	s.applyFaultsBeforeRun(r, subjects)
	if _, ok := s.Faults.Trigger(fault.Down, subjects...); ok {
		fault.DropConnection()
	}
	run := s.runCall(r, body)
	if f, ok := s.Faults.Trigger(fault.Crash, subjects...); ok {
		s.crash(f)
		fault.DropConnection()
	}
	if _, ok := s.Faults.Trigger(fault.LostAnswer, subjects...); ok {
		fault.DropConnection()
	}
	writeResponse(w, r, body, run)
}

// beforeRun applies the faults that keep a call from running.
func (s *Service) applyFaultsBeforeRun(r *http.Request, subjects []string) {
	s.mu.Lock()
	down := time.Now().Before(s.downUntil)
	s.mu.Unlock()
	if down {
		fault.DropConnection()
	}
	if f, ok := s.Faults.Trigger(fault.Slow, subjects...); ok {
		fault.Sleep(r.Context(), f.Delay())
	}
	if _, ok := s.Faults.Trigger(fault.Stall, subjects...); ok {
		<-r.Context().Done()
		fault.DropConnection()
	}
}

// work takes a slot and counts the run when it starts. A call that has been
// read runs to its end even if its caller goes away.
func (s *Service) runCall(r *http.Request, body []byte) RunRecord {
	s.waiting.Add(1)
	s.slots <- struct{}{}
	s.waiting.Add(-1)
	s.running.Add(1)
	run := s.recordRun(r, body)
	fault.Sleep(context.WithoutCancel(r.Context()), s.WorkDuration)
	s.running.Add(-1)
	<-s.slots
	return run
}

// count notes a run by its key, or by the digest of its body without one.
func (s *Service) recordRun(r *http.Request, body []byte) RunRecord {
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = "digest:" + digest(body)
	}
	now := time.Now().UnixMicro()
	s.mu.Lock()
	defer s.mu.Unlock()
	id := runKey{key, r.URL.Path}
	index, ok := s.runIndex[id]
	if !ok {
		index = len(s.runs)
		s.runIndex[id] = index
		s.runs = append(s.runs, RunRecord{Key: key, Path: r.URL.Path, FirstUnixUS: now})
	}
	run := &s.runs[index]
	run.Count++
	run.LastUnixUS = now
	run.Requests = append(run.Requests, r.Header.Get("X-Request-Id"))
	return *run
}

func writeResponse(w http.ResponseWriter, r *http.Request, body []byte, run RunRecord) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	_ = json.NewEncoder(w).Encode(struct {
		Key    string `json:"key"`
		Path   string `json:"path"`
		Digest string `json:"digest"`
		Run    int    `json:"run"`
	}{run.Key, run.Path, digest(body), run.Count})
}

// digest returns the hex of the first 8 bytes of the SHA-256 of body.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(struct {
		AsOfMSAgo int64 `json:"as_of_ms_ago"`
		Running   int64 `json:"running"`
		Waiting   int64 `json:"waiting"`
	}{0, s.running.Load(), s.waiting.Load()})
}

// Truth returns what really ran so far.
func (s *Service) Truth() Truth {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Truth{Runs: append([]RunRecord{}, s.runs...), FaultsTriggered: s.Faults.TriggerCounts()}
}

func (s *Service) serveTruth(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Truth())
}
