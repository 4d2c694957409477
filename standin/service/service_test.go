package service_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"samphirehead/standin/fault"
	"samphirehead/standin/service"
)

func startService(t *testing.T, s *service.Service) string {
	t.Helper()
	s.Address = "127.0.0.1:0"
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return "http://" + s.Addr()
}

// book returns the status; 0 stands for a dropped connection.
func postBooking(t *testing.T, url, key string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/bookings", strings.NewReader("roof 7"))
	if err != nil {
		t.Fatal(err)
	}
	r.Close = true
	r.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func TestCountsRunsUnderFaults(t *testing.T) {
	cases := map[string]struct {
		fault  *fault.Fault
		status int
		runs   int
	}{
		"none":          {nil, 200, 1},
		"lost answer":   {&fault.Fault{Kind: fault.LostAnswer}, 0, 1},
		"down":          {&fault.Fault{Kind: fault.Down}, 0, 0},
		"slow":          {&fault.Fault{Kind: fault.Slow, DelayMS: 5}, 200, 1},
		"crash on call": {&fault.Fault{Kind: fault.Crash, Match: "roof 7", DurationMS: 1000}, 0, 1},
		"crash before":  {&fault.Fault{Kind: fault.Crash, DurationMS: 60000}, 0, 0},
		"other call":    {&fault.Fault{Kind: fault.Down, Match: "roof 8"}, 200, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &service.Service{}
			url := startService(t, s)
			if c.fault != nil {
				s.Faults.Add(*c.fault)
			}
			if status := postBooking(t, url, "k1"); status != c.status {
				t.Errorf("status %d", status)
			}
			runs := 0
			for _, r := range s.Truth().Runs {
				runs += r.Count
			}
			if runs != c.runs {
				t.Errorf("%d runs", runs)
			}
		})
	}
}

func TestRepeatedKeyRunsAgain(t *testing.T) {
	s := &service.Service{}
	url := startService(t, s)
	for range 2 {
		if status := postBooking(t, url, "k1"); status != 200 {
			t.Fatal(status)
		}
	}
	if runs := s.Truth().Runs; len(runs) != 1 || runs[0].Count != 2 {
		t.Errorf("runs %+v", runs)
	}
}
