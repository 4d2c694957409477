package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func crash(u id.Upstream, in ...suspect.InFlight) suspect.Crashed {
	return suspect.Crashed{Upstream: u, InFlight: in}
}

func verdict(t *suspect.Tracker, now time.Time, f id.Fingerprint) suspect.Verdict {
	return t.Step(now, suspect.VerdictRequested{Fingerprint: f})[0].(suspect.VerdictResult).Verdict
}

func TestTracker(t *testing.T) {
	crashing := suspect.InFlight{Request: "q1", Fingerprint: 1}
	unrelated := suspect.InFlight{Request: "q2", Fingerprint: 2}
	record := func(u id.Upstream, at time.Duration) suspect.Record {
		return suspect.Record{Fingerprint: 1, Upstream: u, Request: "q1", At: start.Add(at)}
	}
	received := func(r ...suspect.Record) suspect.RecordsReceived { return suspect.RecordsReceived{Records: r} }
	tests := map[string]struct {
		events    []suspect.Event
		after     time.Duration
		crashing  suspect.Verdict
		unrelated suspect.Verdict
		copies    int
	}{
		"nothing seen":         {nil, 0, suspect.Clear, suspect.Clear, 2},
		"one crash":            {[]suspect.Event{crash("e0", crashing, unrelated)}, 0, suspect.Suspected, suspect.Suspected, 1},
		"two crashes tell who": {[]suspect.Event{crash("e0", crashing, unrelated), crash("e1", crashing)}, 0, suspect.Quarantined, suspect.Suspected, 0},
		"an innocent completes": {
			[]suspect.Event{crash("e0", crashing, unrelated), suspect.Completed{Fingerprint: 2}}, 0, suspect.Suspected, suspect.Clear, 1},
		"twice in flight at one crash is one crash": {
			[]suspect.Event{crash("e0", crashing, crashing)}, 0, suspect.Suspected, suspect.Clear, 1},
		"hearsay counts once": {
			[]suspect.Event{received(record("e0", 0)), received(record("e0", 0))}, 0, suspect.Suspected, suspect.Clear, 1},
		"hearsay of one's own crash": {
			[]suspect.Event{crash("e0", crashing), received(record("e0", 0))}, 0, suspect.Suspected, suspect.Clear, 1},
		"equal requests lost together, told one by one": {
			[]suspect.Event{crash("e0", crashing), received(suspect.Record{Fingerprint: 1, Upstream: "e0", Request: "q7", At: start.Add(20 * time.Millisecond)})},
			0, suspect.Suspected, suspect.Clear, 1},
		"hearsay of another crash of the same upstream": {
			[]suspect.Event{crash("e0", crashing), received(suspect.Record{Fingerprint: 1, Upstream: "e0", Request: "q7", At: start.Add(time.Second)})},
			0, suspect.Quarantined, suspect.Clear, 0},
		"hearsay of another crash": {
			[]suspect.Event{crash("e0", crashing), received(record("e1", 0))}, 0, suspect.Quarantined, suspect.Clear, 0},
		"hearsay from before a completion": {
			[]suspect.Event{suspect.Completed{Fingerprint: 1}, received(record("e0", -time.Second))}, 0, suspect.Clear, suspect.Clear, suspect.UnlimitedCopies},
		"a completion does not lift a quarantine": {
			[]suspect.Event{crash("e0", crashing), crash("e1", crashing), suspect.Completed{Fingerprint: 1}}, 0, suspect.Quarantined, suspect.Clear, 0},
		"a quarantine lapses": {
			[]suspect.Event{crash("e0", crashing), crash("e1", crashing)}, time.Hour, suspect.Clear, suspect.Clear, 2},
		"old hearsay": {
			[]suspect.Event{received(record("e0", -time.Hour))}, 0, suspect.Clear, suspect.Clear, 2},
		"no fingerprint": {
			[]suspect.Event{crash("e0", suspect.InFlight{}), crash("e1", suspect.InFlight{})}, 0, suspect.Clear, suspect.Clear, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := &suspect.Tracker{}
			for _, ev := range tt.events {
				tracker.Step(start, ev)
			}
			now := start.Add(tt.after)
			if got := verdict(tracker, now, 1); got != tt.crashing {
				t.Errorf("the poisonous one is %s, want %s", got, tt.crashing)
			}
			if got := verdict(tracker, now, 2); got != tt.unrelated {
				t.Errorf("the innocent one is %s, want %s", got, tt.unrelated)
			}
			if got := tracker.MaxCopies(now, 1); got != tt.copies {
				t.Errorf("%d copies, want %d", got, tt.copies)
			}
		})
	}
}

func TestRecordsAreBounded(t *testing.T) {
	tracker := &suspect.Tracker{MaxFingerprints: 10}
	for f := id.Fingerprint(1); f <= 100; f++ {
		tracker.Step(start, crash("e0", suspect.InFlight{Request: "q", Fingerprint: f}))
	}
	if n := len(tracker.Records(start)); n != 10 {
		t.Errorf("%d records are kept, want 10", n)
	}
}

// A tracker that takes over another's records judges alike.
func TestRecordsReproduceVerdicts(t *testing.T) {
	source, receiver := &suspect.Tracker{}, &suspect.Tracker{}
	source.Step(start, crash("e0", suspect.InFlight{Request: "q1", Fingerprint: 1}))
	source.Step(start, crash("e1", suspect.InFlight{Request: "q1", Fingerprint: 1}, suspect.InFlight{Request: "q2", Fingerprint: 2}))
	receiver.Step(start, suspect.RecordsReceived{Records: source.Records(start)})
	for f := id.Fingerprint(1); f <= 2; f++ {
		if got, want := verdict(receiver, start, f), verdict(source, start, f); got != want {
			t.Errorf("%d is %s, want %s", f, got, want)
		}
	}
}

// Pattern: several upstreams crash at one moment, and a request that goes on at
// a second one meets two of the crashes. A tracker that waits for three keeps
// it from no upstream.
func TestCustomCrashLimit(t *testing.T) {
	tracker := suspect.Tracker{CrashLimit: 3}
	now := time.Unix(1000, 0)
	for i, want := range []suspect.Verdict{suspect.Suspected, suspect.Suspected, suspect.Quarantined} {
		tracker.Step(now, suspect.Crashed{
			Upstream: id.Upstream(fmt.Sprint(i)),
			InFlight: []suspect.InFlight{{Request: "r", Fingerprint: 7}},
		})
		if got := tracker.Verdict(now, 7); got != want {
			t.Errorf("after %d crashes: %s, want %s", i+1, got, want)
		}
	}
}
