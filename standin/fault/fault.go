// Package fault lets stand-ins misbehave on request: faults are added at run
// time over HTTP or directly, and each handler asks which one applies.
package fault

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Kind names a way to misbehave. Each stand-in documents those it knows.
type Kind string

// The kinds of fault.
const (
	// Slow delays answers by DelayMS; an engine runs Factor times slower.
	Slow Kind = "slow"
	// Down refuses all work.
	Down Kind = "down"
	// LostAnswer carries the work out and drops the connection.
	LostAnswer Kind = "lost_answer"
	// LateWrite drops the connection and carries the work out after DelayMS.
	LateWrite Kind = "late_write"
	// Crash drops every connection and refuses new ones for DurationMS once
	// a matching request arrives; without Match it happens at once.
	Crash Kind = "crash"
	// Stall keeps connections open and makes no progress.
	Stall Kind = "stall"
	// StaleReport stops the refreshing of instance lists.
	StaleReport Kind = "stale_report"
)

// Fault is one way to misbehave, until it has expired or is used up.
type Fault struct {
	Kind Kind `json:"kind"`
	// Match is a substring of the method and path or the body; empty matches
	// all.
	Match string `json:"match,omitempty"`
	// Count is how often the fault strikes; 0 means without limit.
	Count int `json:"count,omitempty"`
	// Every makes only each nth match strike; 0 and 1 mean each.
	Every int `json:"every,omitempty"`
	// DurationMS is for how long the fault is there; 0 means until cleared.
	// For Crash it is how long the stand-in stays down.
	DurationMS int64 `json:"duration_ms,omitempty"`
	// DelayMS is the delay of Slow and LateWrite.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Factor divides the rates of a slow engine.
	Factor float64 `json:"factor,omitempty"`
}

// Delay returns DelayMS as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// Duration returns DurationMS as a duration.
func (f Fault) Duration() time.Duration { return time.Duration(f.DurationMS) * time.Millisecond }

type activeFault struct {
	Fault
	// until is zero for a fault that does not expire.
	expiresAt time.Time
	// left is negative for a fault without limit.
	remaining int
	// matched counts matches for Every.
	matchCount int
}

// Set holds the faults of one stand-in. The zero value is empty and ready.
type Set struct {
	// OnAdd, when set, sees each added fault after it took effect.
	OnAdd func(Fault)

	mu            sync.Mutex
	active        []activeFault
	triggerCounts map[Kind]int
}

// Add puts f into effect.
func (s *Set) Add(f Fault) {
	a := activeFault{Fault: f, remaining: f.Count}
	if f.Count == 0 {
		a.remaining = -1
	}
	if f.DurationMS > 0 && f.Kind != Crash {
		a.expiresAt = time.Now().Add(f.Duration())
	}
	if f.Kind != Crash || f.Match != "" {
		s.mu.Lock()
		s.active = append(s.active, a)
		s.mu.Unlock()
	}
	if s.OnAdd != nil {
		s.OnAdd(f)
	}
}

// Clear removes all faults.
func (s *Set) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = nil
}

// Strike returns the first fault of the kind that matches one of subjects and
// uses one of its count up.
func (s *Set) Trigger(kind Kind, subjects ...string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.active) == 0 {
		return Fault{}, false
	}
	s.removeExpired(time.Now())
	for i := range s.active {
		a := &s.active[i]
		if a.Kind != kind || a.remaining == 0 || !matches(a.Match, subjects) {
			continue
		}
		a.matchCount++
		if a.Every > 1 && a.matchCount%a.Every != 0 {
			continue
		}
		if a.remaining > 0 {
			a.remaining--
		}
		if s.triggerCounts == nil {
			s.triggerCounts = map[Kind]int{}
		}
		s.triggerCounts[kind]++
		return a.Fault, true
	}
	return Fault{}, false
}

// Active returns the first fault of the kind without using it up.
func (s *Set) Active(kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.active) == 0 {
		return Fault{}, false
	}
	s.removeExpired(time.Now())
	for _, a := range s.active {
		if a.Kind == kind {
			return a.Fault, true
		}
	}
	return Fault{}, false
}

// Struck returns how often each kind of fault has struck.
func (s *Set) TriggerCounts() map[Kind]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[Kind]int, len(s.triggerCounts))
	for k, n := range s.triggerCounts {
		counts[k] = n
	}
	return counts
}

func (s *Set) removeExpired(now time.Time) {
	unexpired := s.active[:0]
	for _, a := range s.active {
		expired := !a.expiresAt.IsZero() && now.After(a.expiresAt)
		if !expired && a.remaining != 0 {
			unexpired = append(unexpired, a)
		}
	}
	s.active = unexpired
}

func matches(substring string, subjects []string) bool {
	if substring == "" {
		return true
	}
	for _, subject := range subjects {
		if strings.Contains(subject, substring) {
			return true
		}
	}
	return false
}

// ServeHTTP adds a fault on POST, clears all on DELETE, and lists on GET.
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPost:
		var f Fault
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !f.hasKnownKind() {
			http.Error(w, "unknown kind of fault", http.StatusBadRequest)
			return
		}
		s.Add(f)
		w.WriteHeader(http.StatusNoContent)
	case http.MethodDelete:
		s.Clear()
		w.WriteHeader(http.StatusNoContent)
	default:
		s.serveList(w)
	}
}

func (f Fault) hasKnownKind() bool {
	switch f.Kind {
	case Slow, Down, LostAnswer, LateWrite, Crash, Stall, StaleReport:
		return true
	}
	return false
}

func (s *Set) serveList(w http.ResponseWriter) {
	s.mu.Lock()
	s.removeExpired(time.Now())
	faults := make([]Fault, 0, len(s.active))
	for _, a := range s.active {
		faults = append(faults, a.Fault)
	}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(struct {
		Faults        []Fault      `json:"faults"`
		TriggerCounts map[Kind]int `json:"struck"`
	}{faults, s.TriggerCounts()})
}

// DropConnection ends the answer of the running handler by closing the
// connection.
func DropConnection() {
	panic(http.ErrAbortHandler)
}

// Sleep waits for d or the end of ctx.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
