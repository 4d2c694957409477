// Package service is a stand-in for an upstream that is not a model engine. It
// does not deduplicate: it runs every call that it receives and counts the runs
// of each idempotency key, so that tests can find duplicates.
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

// DefaultWorkDuration is how long one call takes by default.
const DefaultWorkDuration = 2 * time.Millisecond

// DefaultSlots is how many calls run at once by default.
const DefaultSlots = 16

const (
	maxBodyBytes         = 1 << 20
	defaultCrashDuration = 2 * time.Second
)

// Service is one instance of the service.
type Service struct {
	// Address is the IP address and port to listen on; port 0 lets the kernel
	// choose one.
	Address string `yaml:"address"`
	// WorkDuration is how long one call takes; a negative value means that it
	// takes no time.
	WorkDuration time.Duration `yaml:"work"`
	// Slots is how many calls run at once; others wait.
	Slots int `yaml:"slots"`
	// Faults are the active faults; they may be changed at any time.
	Faults fault.Set `yaml:"-"`

	once     sync.Once
	listener listener.Listener
	handler  http.Handler
	slots    chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64

	mu   sync.Mutex
	runs []RunRecord
	// runIndex holds the index in runs of each key and path.
	runIndex  map[runKey]int
	downUntil time.Time
}

type runKey struct{ key, path string }

// RunRecord records the runs of the calls with one key on one path.
type RunRecord struct {
	Key   string `json:"key"`
	Path  string `json:"path"`
	Count int    `json:"count"`
	// FirstUnixUS and LastUnixUS are the start times of the first and the last
	// run, in microseconds since the Unix epoch.
	FirstUnixUS int64 `json:"first_unix_us"`
	LastUnixUS  int64 `json:"last_unix_us"`
	// Requests holds the X-Request-Id header of each run, in order.
	Requests []string `json:"requests"`
}

// Truth is the ground truth, against which tests and benchmarks check what
// clients observed.
type Truth struct {
	Runs []RunRecord `json:"runs"`
	// FaultsTriggered counts how often each kind of fault triggered.
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

// Listen binds the port and starts to listen.
func (s *Service) Listen() error {
	s.prepare()
	return s.listener.Listen()
}

// Addr returns the bound IP address and port. It is empty before Listen.
func (s *Service) Addr() string { return s.listener.Addr() }

// Run serves until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	s.prepare()
	return s.listener.Serve(ctx)
}

// Handler returns the HTTP handler that Run serves.
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

// onFaultAdded crashes the service if f is a crash that no request triggers.
func (s *Service) onFaultAdded(f fault.Fault) {
	if f.Kind == fault.Crash && f.Match == "" {
		s.crash(f)
	}
}

// crash drops every connection and refuses new ones for the duration of f.
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
	if _, ok := s.Faults.Trigger(fault.Endless, subjects...); ok {
		fault.WriteEndless(w)
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

// applyFaultsBeforeRun applies the faults that delay a call or keep it from
// running.
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

// runCall waits for a slot, records the run and then waits for WorkDuration. A call
// whose body has been read runs to its end even if its client disconnects.
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

// recordRun counts a run under its idempotency key, or under the digest of its
// body if it has none.
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

// digest returns the first 8 bytes of the SHA-256 of body in hexadecimal.
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

// Truth returns a copy of the ground truth so far.
func (s *Service) Truth() Truth {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Truth{Runs: append([]RunRecord{}, s.runs...), FaultsTriggered: s.Faults.TriggerCounts()}
}

func (s *Service) serveTruth(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Truth())
}
