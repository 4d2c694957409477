package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"samphirehead/coordination/admission"
	"samphirehead/instance/atmostonce"
	"samphirehead/instance/dispatch"
	"samphirehead/instance/entry"
	"samphirehead/instance/internal/memstore"
	"samphirehead/protocol/answer"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/metrics"
	"samphirehead/state/record"
	"samphirehead/transport/caller"
	"samphirehead/transport/service"
)

// oneSlot is a dispatcher of a single worker with one slot.
type oneSlot struct {
	upstream manifest.Upstream
	// free contains one element while the slot is free.
	free chan struct{}
	// reservations receives the number of each reservation before it waits.
	reservations chan int
	// refuseFrom is the number of the first reservation that is refused, as
	// are all later ones; 0 refuses none.
	refuseFrom int

	mu    sync.Mutex
	count int
}

func (s *oneSlot) Reserve(ctx context.Context, request admission.Request) (*dispatch.Grant, error) {
	s.mu.Lock()
	s.count++
	n := s.count
	s.mu.Unlock()
	s.reservations <- n
	if s.refuseFrom > 0 && n >= s.refuseFrom {
		return nil, &dispatch.Refusal{Reason: admission.QueueFull, RetryAfter: 3 * time.Second}
	}
	select {
	case <-s.free:
		return dispatch.NewGrant(request, s.upstream, 0), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (*oneSlot) Started(*dispatch.Grant) {}

func (s *oneSlot) Release(*dispatch.Grant, dispatch.Result) { s.free <- struct{}{} }

// callFixture is an entry whose only upstream is a worker with one slot.
type callFixture struct {
	entry *entry.Entry
	slot  *oneSlot
}

func newCallFixture(t *testing.T, table atmostonce.Table, upstream http.Handler) *callFixture {
	t.Helper()
	server := httptest.NewServer(upstream)
	t.Cleanup(server.Close)
	u := manifest.Upstream{Name: "desk-1", Address: server.Listener.Addr().String(), Kind: manifest.KindService, Service: "desk"}
	index := manifest.NewIndex(&manifest.Manifest{
		Classes:    []manifest.Class{{Name: "c", Tier: 1, FirstToken: time.Second, TotalDeadline: 10 * time.Second}},
		Workspaces: []manifest.Workspace{{Name: "w", Classes: []id.Class{"c"}}},
		Upstreams:  []manifest.Upstream{u},
		Services: []manifest.Service{{Name: "desk", Routes: []manifest.Route{
			{Method: http.MethodPost, Path: "/bookings", Semantics: manifest.AtMostOnce, Class: "c"},
		}}},
	})
	slot := &oneSlot{upstream: u, free: make(chan struct{}, 1), reservations: make(chan int, 100)}
	slot.free <- struct{}{}
	return &callFixture{slot: slot, entry: &entry.Entry{
		Dispatcher: slot,
		Services:   &service.Client{},
		Calls:      &atmostonce.Calls{Table: table, Instance: "entry"},
		Metrics:    &metrics.Registry{},
		Index:      func() *manifest.Index { return index },
		Admit:      func(context.Context, id.Workspace, id.Tokens) *answer.Failure { return nil },
	}}
}

func (f *callFixture) call(ctx context.Context, key string) answer.Result {
	result, _ := f.entry.Call(ctx, caller.ServiceCall{
		Request: "q", Workspace: "w", Service: "desk", Method: http.MethodPost, Path: "/bookings",
		IdempotencyKey: key, Header: http.Header{}, Body: []byte("roof"), Arrived: time.Now(),
	})
	return result
}

// counter is a worker that counts the calls it runs.
type counter struct {
	mu   sync.Mutex
	runs int
}

func (c *counter) ServeHTTP(http.ResponseWriter, *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs++
}

func (c *counter) check(t *testing.T, want int) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs != want {
		t.Errorf("%d runs, want %d", c.runs, want)
	}
}

// TestDuplicatesHoldNoSlot checks that calls that wait for the outcome of
// another attempt release the worker's only slot, so that calls with other keys
// can run.
func TestWaitingDuplicatesReleaseTheirSlot(t *testing.T) {
	const duplicates = 8
	table := &memstore.Table{}
	reached, answered := make(chan struct{}), make(chan struct{})
	first := newCallFixture(t, table, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(reached)
		<-answered
	}))
	runs := &counter{}
	second := newCallFixture(t, table, runs)
	results := make(chan answer.Result, duplicates+1)
	go func() { results <- first.call(t.Context(), "k") }()
	<-reached
	for range duplicates {
		go func() { results <- second.call(t.Context(), "k") }()
	}
	for range duplicates {
		<-second.slot.reservations
	}
	if got := second.call(t.Context(), "other"); outcome(got) != "completed" {
		t.Errorf("the call with another key: %#v", got)
	}
	close(answered)
	for range duplicates + 1 {
		if got := <-results; outcome(got) != "completed" {
			t.Errorf("a call with the same key: %#v", got)
		}
	}
	runs.check(t, 1)
}

// failingTable fails every write after the first.
type failingTable struct {
	*memstore.Table
	mu    sync.Mutex
	wrote bool
}

func (t *failingTable) Write(ctx context.Context, writes []record.Write) record.WriteResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wrote {
		return record.Refused{Err: os.ErrClosed}
	}
	t.wrote = true
	return t.Table.Write(ctx, writes)
}

// TestTakenOverCallReservesAgain checks a call that released its slot while it
// waited for another attempt's claim, and takes over because that claim was
// abandoned: it must reserve a slot again before it sends.
func TestTakenOverCallReservesAgain(t *testing.T) {
	tests := map[string]struct {
		refuseFrom int
		want       string
		runs       int
	}{
		"runs":       {0, "completed", 1},
		"is refused": {2, "not_run", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := &memstore.Table{}
			runs := &counter{}
			abandoned := newCallFixture(t, &failingTable{Table: table}, runs)
			if got := abandoned.call(t.Context(), "k"); outcome(got) != "not_run" {
				t.Fatalf("the abandoned call: %#v", got)
			}
			f := newCallFixture(t, table, runs)
			f.slot.refuseFrom = tt.refuseFrom
			got := f.call(t.Context(), "k")
			if outcome(got) != tt.want {
				t.Errorf("got %#v, want %s", got, tt.want)
			}
			if n := len(f.slot.reservations); n != 2 {
				t.Errorf("%d reservations, want 2", n)
			}
			if len(f.slot.free) != 1 {
				t.Error("the slot is not free")
			}
			runs.check(t, tt.runs)
			if tt.refuseFrom > 0 {
				checkRefused(t, got)
			}
			f.slot.refuseFrom = 0
			if got := f.call(t.Context(), "k"); outcome(got) != "completed" {
				t.Errorf("the repeat: %#v", got)
			}
			runs.check(t, 1)
		})
	}
}

// checkRefused checks that the failure names the overload and the time after
// which to retry.
func checkRefused(t *testing.T, got answer.Result) {
	t.Helper()
	n, ok := got.(answer.NotRun)
	if !ok {
		return
	}
	if f := n.Failure(); f.Reason != answer.ReasonOverloaded || f.RetryAfter != 3*time.Second {
		t.Errorf("refused as %+v", f)
	}
}
