package requestlog_test

import (
	"strings"
	"testing"
	"time"

	"samphirehead/state/requestlog"
)

const rolloutLogs = `
{"time":"2026-12-07T10:00:00Z","msg":"started","instance":"a"}
{"time":"2026-12-07T10:00:00Z","msg":"started","instance":"b"}
{"time":"2026-12-07T10:00:01Z","msg":"routes activated","instance":"a","version":2}
{"time":"2026-12-07T10:00:01.1Z","msg":"routes activated","instance":"b","version":2}
{"time":"2026-12-07T10:00:05Z","msg":"routes activated","instance":"a","version":5}
{"time":"2026-12-07T10:00:06Z","msg":"received","instance":"b","request":"r1","version":2}
{"time":"2026-12-07T10:00:07Z","msg":"ended","instance":"b","request":"r2","version":2,"reason":"unknown_key"}
{"time":"2026-12-07T10:00:07.5Z","msg":"started","instance":"c"}
{"time":"2026-12-07T10:00:07.9Z","msg":"routes activated","instance":"c","version":5}
{"time":"2026-12-07T10:00:08Z","msg":"routes activated","instance":"b","version":9}
{"time":"2026-12-07T10:00:09Z","msg":"ended","instance":"b","request":"r1","version":2,"reason":"stream_broken"}
{"time":"2026-12-07T10:00:09Z","msg":"started","instance":"a"}
{"time":"2026-12-07T10:00:10Z","msg":"routes activated","instance":"a","version":9}
{"time":"2026-12-07T10:00:12Z","msg":"peer live","instance":"c"}
`

// Versions that an instance skips count as active with the next one; the end of a request that was
// routed before says nothing; processes that start later, or have ended, have no lag; one that goes on
// without a version comes first.
func TestRollouts(t *testing.T) {
	events, err := requestlog.Read("test", strings.NewReader(rolloutLogs))
	if err != nil {
		t.Fatal(err)
	}
	type lag struct {
		active         bool
		lag, lastOlder time.Duration
	}
	got := make(map[string]map[uint64]lag)
	for _, r := range requestlog.Rollouts(events) {
		if got[r.Instance] == nil {
			got[r.Instance] = make(map[uint64]lag)
		}
		got[r.Instance][r.Version] = lag{r.Active, r.Lag, r.LastOlder}
	}
	want := map[string]map[uint64]lag{
		"a": {2: {active: true}, 5: {active: true}},
		"b": {2: {true, 100 * time.Millisecond, 0}, 5: {true, 3 * time.Second, 2 * time.Second}, 9: {active: true}},
		"c": {9: {false, 4 * time.Second, 0}},
	}
	for instance, versions := range want {
		for version, w := range versions {
			if g, ok := got[instance][version]; !ok || g != w {
				t.Errorf("%s, version %d: %+v (known: %t), want %+v", instance, version, g, ok, w)
			}
		}
		if len(got[instance]) != len(versions) {
			t.Errorf("%s has %d rollouts, want %d", instance, len(got[instance]), len(versions))
		}
	}
	if longest := requestlog.Rollouts(events)[0]; longest.Instance != "c" || longest.Active {
		t.Errorf("the longest lag is %+v, want that of the instance that never had the version", longest)
	}
	var text strings.Builder
	if err := requestlog.WriteRollouts(&text, requestlog.Rollouts(events), time.Second); err != nil || !strings.Contains(text.String(), "never") {
		t.Errorf("%v\n%s", err, text.String())
	}
}
