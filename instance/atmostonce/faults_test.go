package atmostonce_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"samphirehead/coordination/claim"
	"samphirehead/instance/atmostonce"
	"samphirehead/standin/fault"
	standin "samphirehead/standin/platform"
	"samphirehead/state/record"
	"samphirehead/transport/platform"
)

// faultyService counts its runs by key. It fails to receive some calls, and some
// of its answers are lost.
type faultyService struct {
	mu        sync.Mutex
	random    *rand.Rand
	runsByKey map[record.Key]int
	faults    int
}

// send returns the Send function of one call. It sets ran if the call runs.
func (s *faultyService) send(key record.Key, ran *atomic.Bool) func(context.Context, *claim.Permit) claim.Evidence {
	return func(context.Context, *claim.Permit) claim.Evidence {
		s.mu.Lock()
		defer s.mu.Unlock()
		kind := s.random.IntN(10)
		if kind < 3 {
			s.faults++
		}
		if kind == 0 {
			return claim.NothingSent{Err: os.ErrClosed}
		}
		if kind == 1 {
			return claim.MayHaveSent{Err: os.ErrDeadlineExceeded}
		}
		s.runsByKey[key]++
		ran.Store(true)
		if kind == 2 {
			return claim.MayHaveSent{Err: os.ErrDeadlineExceeded}
		}
		return claim.Answered{Answer: claim.Answer{Status: 201, Body: []byte(key)}}
	}
}

// totals counts over all seeds.
type totals struct {
	mu       sync.Mutex
	outcomes map[string]int
	keys     int
	calls    int
	keysRun  int
	faults   int
}

func (t *totals) addOutcome(outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	t.outcomes[outcome]++
}

func randomFault(random *rand.Rand) fault.Fault {
	faults := []fault.Fault{
		{Kind: fault.Down, DurationMS: 50},
		{Kind: fault.LostAnswer, Count: 3, Match: "write"},
		{Kind: fault.LateWrite, Count: 3, DelayMS: 5},
		{Kind: fault.LateWrite, Count: 3, DelayMS: 100},
		{Kind: fault.Slow, Count: 5, DelayMS: 30},
	}
	return faults[random.IntN(len(faults))]
}

// TestDuplicatesUnderFaultsOverTwentySeeds sends each key from four instances at
// the same time, with the real platform client and a table that fails. No key may
// run twice, and no call that ran may be reported as not run.
func TestDuplicatesUnderFaultsOverTwentySeeds(t *testing.T) {
	const seeds = 20
	total := &totals{outcomes: map[string]int{}}
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				runSeed(t, seed, total)
			})
		}
	})
	t.Logf("%d calls with %d keys, %d keys ran, %d faults, outcomes %v",
		total.calls, total.keys, total.keysRun, total.faults, total.outcomes)
	if total.outcomes["completed"] == 0 || total.keysRun == 0 {
		t.Error("no call ran")
	}
}

func runSeed(t *testing.T, seed uint64, total *totals) {
	const keys, instances = 10, 4
	random := rand.New(rand.NewPCG(seed, 0))
	p := &standin.Platform{}
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	s := &faultyService{random: rand.New(rand.NewPCG(seed, 1)), runsByKey: map[record.Key]int{}}
	var calls []*atmostonce.Calls
	for range instances {
		client := &platform.Client{Address: server.URL, OpenFor: 50 * time.Millisecond}
		client.SetInstances(instances)
		calls = append(calls, &atmostonce.Calls{Table: client})
	}
	var wg sync.WaitGroup
	for n := range keys {
		p.Faults.Add(randomFault(random))
		key := record.Key(fmt.Sprintf("claims/%d", n))
		for _, c := range calls {
			wg.Go(func() { callOnce(t, c, s, key, total) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	p.Faults.Clear()
	for _, c := range calls {
		if err := c.Wait(t.Context()); err != nil {
			t.Error(err)
		}
	}
	checkKeys(t, calls[0], s, total, keys)
}

func callOnce(t *testing.T, c *atmostonce.Calls, s *faultyService, key record.Key, total *totals) {
	var ran atomic.Bool
	outcome := c.Do(t.Context(), atmostonce.Call{
		Key: key, Digest: "d", Deadline: time.Now().Add(2 * time.Second), Send: s.send(key, &ran),
	})
	total.addOutcome(outcomeName(outcome))
	if _, ok := outcome.(claim.NotRun); ok && ran.Load() {
		t.Errorf("key %s: not_run for a call that ran", key)
	}
	if done, ok := outcome.(claim.Completed); ok && string(done.Answer.Body) != string(key) {
		t.Errorf("key %s: answer of %s", key, done.Answer.Body)
	}
}

// checkKeys checks after the faults that no key ran twice, and that no key that
// ran is recorded as not run.
func checkKeys(t *testing.T, c *atmostonce.Calls, s *faultyService, total *totals, keys int) {
	total.mu.Lock()
	defer total.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	total.keys += keys
	total.faults += s.faults + keys
	for n := range keys {
		key := record.Key(fmt.Sprintf("claims/%d", n))
		total.keysRun += s.runsByKey[key]
		if s.runsByKey[key] > 1 {
			t.Errorf("key %s ran %d times", key, s.runsByKey[key])
		}
		finding, err := c.Find(t.Context(), key)
		if err != nil {
			t.Error(err)
		}
		known, ok := finding.(claim.Known)
		if !ok {
			continue
		}
		if _, notRun := known.Outcome.(claim.NotRun); notRun && s.runsByKey[key] > 0 {
			t.Errorf("key %s ran, but is recorded as not run", key)
		}
	}
}
