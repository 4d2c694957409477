// Package fault injects faults into stand-ins. Faults are added at run time, by
// HTTP or by a call, and the handlers of a stand-in ask which one applies.
package fault

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Kind is a kind of fault. Each stand-in documents the kinds that it implements
// and ignores the others.
type Kind string

// The kinds of fault. ServeHTTP rejects all others.
const (
	// Slow delays responses by DelayMS; an engine instead prefills and
	// generates Factor times slower.
	Slow Kind = "slow"
	// Down makes requests fail before any work is done for them.
	Down Kind = "down"
	// LostAnswer does the work and then drops the connection instead of
	// responding.
	LostAnswer Kind = "lost_answer"
	// LateWrite drops the connection at once and applies the write after
	// DelayMS.
	LateWrite Kind = "late_write"
	// Crash drops every connection and refuses new ones for DurationMS. With
	// Match it happens when a matching request arrives, otherwise as soon as
	// the fault is added.
	Crash Kind = "crash"
	// Stall keeps connections open without making progress.
	Stall Kind = "stall"
	// Endless responds with bytes that are no response of the protocol, until
	// the client closes the connection. Nothing is done for the request.
	Endless Kind = "endless"
	// StaleReport stops updates of the list of instances.
	StaleReport Kind = "stale_report"
)

// endlessPartBytes is how many bytes WriteEndless writes at once.
const endlessPartBytes = 16 << 10

// Fault is one fault. It applies until it expires or its count is used up.
type Fault struct {
	Kind Kind `json:"kind"`
	// Match is a substring to look for in the method and path and in the
	// body; an empty one matches every request.
	Match string `json:"match,omitempty"`
	// Count is how often the fault triggers; 0 means without limit.
	Count int `json:"count,omitempty"`
	// Every triggers the fault only on every nth match; 0 and 1 mean on each.
	Every int `json:"every,omitempty"`
	// DurationMS is how long the fault is active, in milliseconds; 0 means
	// until it is cleared. For Crash it is how long the stand-in stays down,
	// where 0 means a default of the stand-in.
	DurationMS int64 `json:"duration_ms,omitempty"`
	// DelayMS is the delay of Slow and LateWrite, in milliseconds.
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
	// expiresAt is zero for a fault that does not expire.
	expiresAt time.Time
	// remaining is how often the fault may still trigger; it is negative for
	// a fault without limit.
	remaining int
	// matchCount counts the matches so far, for Every.
	matchCount int
}

// Set holds the faults of one stand-in. The zero value is an empty set.
type Set struct {
	// OnAdd, if set, is called with each added fault once it is active.
	OnAdd func(Fault)

	mu            sync.Mutex
	active        []activeFault
	triggerCounts map[Kind]int
}

// Add makes f active. A Crash without Match is only passed to OnAdd, because it
// happens at once.
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

// Trigger returns the first fault of the kind that matches one of subjects, and
// uses up one of its count. A match that Every excludes is only counted. Subjects
// are the method and path of a request, its body, or both.
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

// Active returns the first fault of the kind without using up its count.
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

// TriggerCounts returns how often Trigger has returned a fault of each kind.
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

// ServeHTTP adds the fault in the body on POST, removes all faults on DELETE, and
// otherwise lists the active faults and the trigger counts.
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
			http.Error(w, "unknown fault kind", http.StatusBadRequest)
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
	case Slow, Down, LostAnswer, LateWrite, Crash, Stall, Endless, StaleReport:
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

// DropConnection aborts the running HTTP handler and closes its connection
// without completing the response. It does not return.
func DropConnection() {
	panic(http.ErrAbortHandler)
}

// WriteEndless writes a response whose body does not end before the client closes
// the connection. It does not return.
func WriteEndless(w http.ResponseWriter) {
	for part := make([]byte, endlessPartBytes); ; {
		if _, err := w.Write(part); err != nil {
			DropConnection()
		}
	}
}

// Sleep returns after d or when ctx is done.
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
