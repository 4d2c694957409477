package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"samphirehead/coordination/quarantine"
	"samphirehead/state/id"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func crash(u id.Upstream, in ...quarantine.InFlight) quarantine.Crashed {
	return quarantine.Crashed{Upstream: u, InFlight: in}
}

func verdict(t *quarantine.Tracker, now time.Time, f id.Fingerprint) quarantine.Verdict {
	return t.Step(now, quarantine.VerdictRequested{Fingerprint: f})[0].(quarantine.VerdictResult).Verdict
}

func TestTracker(t *testing.T) {
	crashing := quarantine.InFlight{Request: "q1", Fingerprint: 1}
	unrelated := quarantine.InFlight{Request: "q2", Fingerprint: 2}
	record := func(u id.Upstream, at time.Duration) quarantine.Record {
		return quarantine.Record{Fingerprint: 1, Upstream: u, Request: "q1", At: start.Add(at)}
	}
	received := func(r ...quarantine.Record) quarantine.RecordsReceived { return quarantine.RecordsReceived{Records: r} }
	tests := map[string]struct {
		events    []quarantine.Event
		after     time.Duration
		crashing  quarantine.Verdict
		unrelated quarantine.Verdict
		copies    int
	}{
		"no crash":                   {nil, 0, quarantine.Clear, quarantine.Clear, 2},
		"one crash":                  {[]quarantine.Event{crash("e0", crashing, unrelated)}, 0, quarantine.Suspected, quarantine.Suspected, 1},
		"two crashes of one request": {[]quarantine.Event{crash("e0", crashing, unrelated), crash("e1", crashing)}, 0, quarantine.Quarantined, quarantine.Suspected, 0},
		"an unrelated request completes": {
			[]quarantine.Event{crash("e0", crashing, unrelated), quarantine.Completed{Fingerprint: 2}}, 0, quarantine.Suspected, quarantine.Clear, 1},
		"in flight twice at one crash": {
			[]quarantine.Event{crash("e0", crashing, crashing)}, 0, quarantine.Suspected, quarantine.Clear, 1},
		"a record received twice": {
			[]quarantine.Event{received(record("e0", 0)), received(record("e0", 0))}, 0, quarantine.Suspected, quarantine.Clear, 1},
		"a received record of a crash seen locally": {
			[]quarantine.Event{crash("e0", crashing), received(record("e0", 0))}, 0, quarantine.Suspected, quarantine.Clear, 1},
		"two requests of a fingerprint lost in one crash, one in a received record": {
			[]quarantine.Event{crash("e0", crashing), received(quarantine.Record{Fingerprint: 1, Upstream: "e0", Request: "q7", At: start.Add(20 * time.Millisecond)})},
			0, quarantine.Suspected, quarantine.Clear, 1},
		"a received record of another crash of the same upstream": {
			[]quarantine.Event{crash("e0", crashing), received(quarantine.Record{Fingerprint: 1, Upstream: "e0", Request: "q7", At: start.Add(time.Second)})},
			0, quarantine.Quarantined, quarantine.Clear, 0},
		"a received record of a crash of another upstream": {
			[]quarantine.Event{crash("e0", crashing), received(record("e1", 0))}, 0, quarantine.Quarantined, quarantine.Clear, 0},
		"a received record of a crash before a completion": {
			[]quarantine.Event{quarantine.Completed{Fingerprint: 1}, received(record("e0", -time.Second))}, 0, quarantine.Clear, quarantine.Clear, quarantine.UnlimitedCopies},
		"a completion does not lift a quarantine": {
			[]quarantine.Event{crash("e0", crashing), crash("e1", crashing), quarantine.Completed{Fingerprint: 1}}, 0, quarantine.Quarantined, quarantine.Clear, 0},
		"a quarantine expires": {
			[]quarantine.Event{crash("e0", crashing), crash("e1", crashing)}, time.Hour, quarantine.Clear, quarantine.Clear, 2},
		"a received record that has expired": {
			[]quarantine.Event{received(record("e0", -time.Hour))}, 0, quarantine.Clear, quarantine.Clear, 2},
		"no fingerprint": {
			[]quarantine.Event{crash("e0", quarantine.InFlight{}), crash("e1", quarantine.InFlight{})}, 0, quarantine.Clear, quarantine.Clear, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := &quarantine.Tracker{}
			for _, ev := range tt.events {
				tracker.Step(start, ev)
			}
			now := start.Add(tt.after)
			if got := verdict(tracker, now, 1); got != tt.crashing {
				t.Errorf("the crashing fingerprint is %s, want %s", got, tt.crashing)
			}
			if got := verdict(tracker, now, 2); got != tt.unrelated {
				t.Errorf("the unrelated fingerprint is %s, want %s", got, tt.unrelated)
			}
			if got := tracker.MaxCopies(now, 1); got != tt.copies {
				t.Errorf("at most %d copies, want %d", got, tt.copies)
			}
		})
	}
}

func TestRecordsAreBounded(t *testing.T) {
	tracker := &quarantine.Tracker{MaxFingerprints: 10}
	for f := id.Fingerprint(1); f <= 100; f++ {
		tracker.Step(start, crash("e0", quarantine.InFlight{Request: "q", Fingerprint: f}))
	}
	if n := len(tracker.Records(start)); n != 10 {
		t.Errorf("%d records are kept, want 10", n)
	}
}

// An instance that starts receives the records of another one and must come to the
// same verdicts.
func TestRecordsReproduceVerdicts(t *testing.T) {
	source, receiver := &quarantine.Tracker{}, &quarantine.Tracker{}
	source.Step(start, crash("e0", quarantine.InFlight{Request: "q1", Fingerprint: 1}))
	source.Step(start, crash("e1", quarantine.InFlight{Request: "q1", Fingerprint: 1}, quarantine.InFlight{Request: "q2", Fingerprint: 2}))
	receiver.Step(start, quarantine.RecordsReceived{Records: source.Records(start)})
	for f := id.Fingerprint(1); f <= 2; f++ {
		if got, want := verdict(receiver, start, f), verdict(source, start, f); got != want {
			t.Errorf("fingerprint %d is %s, want %s", f, got, want)
		}
	}
}

// If several upstreams crash at once, a harmless request that is retried at a second
// upstream is in flight at two crashes. With a limit of three it must not be
// quarantined.
func TestCustomCrashLimit(t *testing.T) {
	tracker := quarantine.Tracker{CrashLimit: 3}
	now := time.Unix(1000, 0)
	for i, want := range []quarantine.Verdict{quarantine.Suspected, quarantine.Suspected, quarantine.Quarantined} {
		tracker.Step(now, quarantine.Crashed{
			Upstream: id.Upstream(fmt.Sprint(i)),
			InFlight: []quarantine.InFlight{{Request: "r", Fingerprint: 7}},
		})
		if got := tracker.Verdict(now, 7); got != want {
			t.Errorf("after %d crashes: %s, want %s", i+1, got, want)
		}
	}
}
