package rollout_test

import (
	"testing"
	"time"

	"samphirehead/coordination/rollout"
	"samphirehead/state/record"
)

// TestRowDuringAFetchIsNotForgotten checks that a row which is read while a
// fetch from a peer is under way is used when that fetch fails.
func TestRowReadDuringPeerFetchIsUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	var r rollout.Rollout
	r.Step(now, rollout.Started{})
	r.Step(now, rollout.VersionReceived{Version: 1, From: "gone"})
	r.Step(now, rollout.CurrentRowRead{Row: record.Row{
		Key: rollout.CurrentKey, Version: 1, Value: []byte(`{"version":1,"operation":"one","yaml_object":"manifest/1/one"}`),
	}})
	for _, effect := range r.Step(now, rollout.FetchFailed{}) {
		if fetch, ok := effect.(rollout.FetchObject); ok && fetch.Version == 1 {
			return
		}
	}
	t.Error("the version was not fetched from the platform")
}
