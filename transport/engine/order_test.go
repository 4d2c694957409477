package engine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	standin "samphirehead/standin/engine"
	"samphirehead/standin/fault"
	"samphirehead/state/id"
	"samphirehead/transport/engine"
)

func order(number id.FencingNumber, kind engine.OrderKind) engine.Order {
	return engine.Order{Fencing: number, Kind: kind, Model: "m"}
}

func TestContractOfOrders(t *testing.T) {
	load, unload := engine.OrderLoad, engine.OrderUnload
	cases := []struct {
		name   string
		checks bool
		orders []engine.Order
		// fault, unless nil, is in force from before the last order.
		fault  *fault.Fault
		last   string
		loaded string
	}{
		{"load", true, []engine.Order{order(1, load)}, nil, "engine.OrderAccepted", "[m]"},
		{"repeated load", true, []engine.Order{order(1, load), order(1, load)}, nil, "engine.OrderAccepted", "[m]"},
		{"unload", true, []engine.Order{order(1, load), order(1, unload)}, nil, "engine.OrderAccepted", "[]"},
		{"repeated unload", true, []engine.Order{order(1, unload), order(1, unload)}, nil, "engine.OrderAccepted", "[]"},
		{"old number", true, []engine.Order{order(2, load), order(1, unload)}, nil, "engine.OrderOutdated", "[m]"},
		{"old number unchecked", false, []engine.Order{order(2, load), order(1, unload)}, nil, "engine.OrderAccepted", "[]"},
		{"no model", true, []engine.Order{{Fencing: 1, Kind: load}}, nil, "engine.OrderRejected", "[]"},
		{"dropped connection", true, []engine.Order{order(1, load)}, &fault.Fault{Kind: fault.Down}, "engine.OrderUnknown", "[]"},
		{"crashed", true, []engine.Order{order(1, load)}, &fault.Fault{Kind: fault.Crash, DurationMS: 60000}, "engine.OrderRejected", "[]"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := run(t, tc.checks)
			client := &engine.Client{HTTP: engine.NewHTTP()}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var last engine.OrderResult
			for n, o := range tc.orders {
				if tc.fault != nil && n == len(tc.orders)-1 {
					e.Faults.Add(*tc.fault)
				}
				last = client.Order(ctx, e.Addr(), o)
			}
			if got := fmt.Sprintf("%T", last); got != tc.last {
				t.Errorf("result %s %v, want %s", got, last, tc.last)
			}
			if tc.fault != nil {
				return
			}
			report, err := client.Load(t.Context(), e.Addr())
			if got := fmt.Sprint(report.Models); err != nil || got != tc.loaded {
				t.Errorf("loaded %s, want %s, error %v", got, tc.loaded, err)
			}
		})
	}
}

func TestAnswersOfOrdersThatAreNoSuccess(t *testing.T) {
	for status, want := range map[int]string{
		http.StatusNotFound:            "engine.OrderRejected",
		http.StatusInternalServerError: "engine.OrderUnknown",
		http.StatusGatewayTimeout:      "engine.OrderUnknown",
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		client := &engine.Client{HTTP: server.Client()}
		result := client.Order(t.Context(), strings.TrimPrefix(server.URL, "http://"), order(1, engine.OrderLoad))
		if got := fmt.Sprintf("%T", result); got != want {
			t.Errorf("status %d gives %s, want %s", status, got, want)
		}
		server.Close()
	}
}

func TestOrderWithoutAnswerInTimeIsUnknown(t *testing.T) {
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	client := &engine.Client{HTTP: server.Client()}
	result := client.Order(ctx, strings.TrimPrefix(server.URL, "http://"), order(1, engine.OrderLoad))
	if got := fmt.Sprintf("%T", result); got != "engine.OrderUnknown" {
		t.Errorf("result %s", got)
	}
	again := client.Order(ctx, strings.TrimPrefix(server.URL, "http://"), order(1, engine.OrderLoad))
	if got := fmt.Sprintf("%T", again); got != "engine.OrderRejected" {
		t.Errorf("an order after its time gives %s", got)
	}
}

// run serves a stand-in until the test ends.
func run(t *testing.T, checks bool) *standin.Engine {
	t.Helper()
	e := &standin.Engine{Address: "127.0.0.1:0", ChecksFencing: checks, LoadTime: time.Millisecond}
	if err := e.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return e
}
