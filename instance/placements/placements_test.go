package placements_test

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"samphirehead/coordination/placement"
	"samphirehead/instance/internal/memtable"
	"samphirehead/instance/placements"
	standin "samphirehead/standin/engine"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/record"
	"samphirehead/transport/engine"
)

const (
	notes   = id.Model("notes")
	dossier = id.Model("dossier")
)

var errLost = errors.New("answer lost")

// fleet hands requests to stand-ins, and delays and loses some orders.
type fleet struct {
	t       *testing.T
	table   memtable.Table
	engines map[string]*standin.Engine
	m       manifest.Manifest

	mu     sync.Mutex
	random *rand.Rand
	faulty bool
	demand map[id.Pool]float64
	// orders counts all that engines were sent.
	orders int
	// machine, unless nil, makes the machines.
	machine func() *placement.Machine
	late    sync.WaitGroup
}

func newFleet(t *testing.T, checks bool, loaded ...id.Model) *fleet {
	f := &fleet{t: t, engines: map[string]*standin.Engine{}, random: rand.New(rand.NewPCG(1, 0))}
	for n, model := range loaded {
		name := fmt.Sprintf("engine-%d", n)
		f.engines[name] = &standin.Engine{Models: []string{string(model)}, ChecksFencing: checks}
		f.m.Upstreams = append(f.m.Upstreams, manifest.Upstream{
			Name: id.Upstream(name), Address: name, Kind: manifest.KindEngine, Models: []id.Model{notes, dossier},
			Capacity: manifest.Capacity{Slots: 10}, ChecksFencing: checks,
		})
	}
	return f
}

// RoundTrip serves the request at the stand-in that it names.
func (f *fleet) RoundTrip(r *http.Request) (*http.Response, error) {
	handler := f.engines[r.URL.Host].Handler()
	if r.Method == http.MethodGet {
		return serve(handler, r), nil
	}
	f.mu.Lock()
	f.orders++
	fault := 0
	if f.faulty {
		fault = f.random.IntN(4)
	}
	delay := time.Duration(f.random.Int64N(int64(4 * time.Second)))
	f.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	// The order takes effect even if its sender has gone away.
	copied := r.Clone(context.WithoutCancel(r.Context()))
	copied.Body = io.NopCloser(bytes.NewReader(body))
	switch fault {
	case 1: // It lands late, without an answer.
		f.late.Go(func() {
			time.Sleep(delay)
			handler.ServeHTTP(httptest.NewRecorder(), copied)
		})
		return nil, errLost
	case 2:
		return nil, errLost
	}
	return serve(handler, copied), nil
}

func (f *fleet) start(self id.Instance) (stop func()) {
	p := &placements.Placements{
		Self: self, Table: &f.table, Engines: &engine.Client{HTTP: &http.Client{Transport: f}},
		Manifest: func() *manifest.Manifest { return &f.m },
		Machine:  f.machine,
		Demand: func() map[id.Pool]float64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.demand
		},
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	return func() {
		cancel()
		if err := <-ended; err != nil {
			f.t.Error(err)
		}
	}
}

func (f *fleet) ask(model id.Model, slots float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demand = map[id.Pool]float64{id.ModelPool(model): slots}
}

// replay applies what the engines say took effect, in order of time. It returns
// the engines that hold each model at the end, and the number of orders.
func (f *fleet) replay() (holders map[string]map[string]bool, applied int) {
	type effect struct {
		standin.AppliedOrder
		engine string
	}
	var effects []effect
	holders = map[string]map[string]bool{string(notes): {}, string(dossier): {}}
	for name, e := range f.engines {
		holders[e.Models[0]][name] = true
		for _, o := range e.Truth().Orders {
			effects = append(effects, effect{o, name})
			if o.Outdated {
				f.t.Errorf("%s took the outdated order %+v", name, o)
			}
		}
	}
	slices.SortFunc(effects, func(a, b effect) int { return cmp.Compare(a.AtUnixUS, b.AtUnixUS) })
	for _, e := range effects {
		if e.Kind == standin.OrderLoad {
			holders[e.Model][e.engine] = true
			continue
		}
		delete(holders[e.Model], e.engine)
		if len(holders[e.Model]) == 0 {
			f.t.Errorf("order %+v leaves no engine for the model", e)
		}
	}
	return holders, len(effects)
}

func TestModelsMoveWithDemand(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, checks, notes, notes, dossier, dossier)
			stop := f.start("a")
			f.ask(notes, 28)
			time.Sleep(2 * time.Minute)
			if holders, _ := f.replay(); len(holders[string(notes)]) != 3 {
				t.Errorf("checks %v: holders %v", checks, holders)
			}
			f.ask(dossier, 28)
			time.Sleep(3 * time.Minute)
			stop()
			if holders, _ := f.replay(); len(holders[string(dossier)]) != 3 {
				t.Errorf("checks %v: holders %v", checks, holders)
			}
		})
	}
}

func TestNoHolderWhereEachEngineHasOneModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, true, notes, dossier)
		for i := range f.m.Upstreams {
			f.m.Upstreams[i].Models = f.m.Upstreams[i].Models[i : i+1]
		}
		stop := f.start("a")
		f.ask(notes, 28)
		time.Sleep(time.Minute)
		stop()
		if rows, err := f.table.Read(t.Context(), []record.Key{"leases/placement"}); err != nil || len(rows) > 0 || f.orders > 0 {
			t.Errorf("rows %v, %d orders, error %v", rows, f.orders, err)
		}
	})
}

func TestOrdersUnderLateAndLostAnswersAndChangesOfHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, checks, notes, notes, notes, dossier, dossier)
			f.faulty = true
			f.machine = func() *placement.Machine {
				return &placement.Machine{Patience: time.Second, LoadInterval: time.Second}
			}
			stops := []func(){f.start("a"), f.start("b")}
			for round := range 100 {
				f.ask([]id.Model{notes, dossier}[round%2], 38)
				time.Sleep(time.Duration(8+3*(round%5)) * time.Second)
				place := round % 2
				stops[place]()
				stops[place] = f.start([]id.Instance{"a", "b"}[place])
			}
			stops[0]()
			stops[1]()
			f.late.Wait()
			_, applied := f.replay()
			t.Logf("checks %v: %d orders sent, %d took effect", checks, f.orders, applied)
			if applied < 20 {
				t.Errorf("checks %v: only %d orders took effect", checks, applied)
			}
		})
	}
}

func serve(handler http.Handler, r *http.Request) *http.Response {
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w.Result()
}
