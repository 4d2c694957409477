package exchange_test

import (
	"fmt"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"samphirehead/coordination/usage"
	"samphirehead/protocol/exchange"
	"samphirehead/state/id"
)

// The message of an instance with 24 workspaces and two windows that are not settled.
func TestUsageCountsKeepTheirMeaning(t *testing.T) {
	counts := make(usage.Counts)
	for n := range 24 {
		counts[id.Workspace(fmt.Sprintf("hule%03d", n))] = uint64(n + 1)
	}
	want := []usage.ProcessCounts{{
		Process: usage.Process{Instance: "front-a-1", Incarnation: 1765000000000000000},
		Windows: map[usage.Window]usage.Counts{353445120: counts, 353445121: counts},
	}}
	message := exchange.UsageCountsOf(want)
	t.Logf("%d bytes", proto.Size(message))
	if got := message.AsProcessCounts(); !reflect.DeepEqual(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

func TestHistoryKeepsItsMeaning(t *testing.T) {
	for name, want := range map[string]usage.History{
		"with a report": {
			Reported: 7, Settled: 41, Since: 2, Unused: []id.FencingNumber{8}, Heard: []id.FencingNumber{7, 8, 9},
			Vouched: []id.FencingNumber{9}, Decided: &usage.Report{Window: 42, Counts: usage.Counts{"w1": 3}},
		},
		"without": {Settled: 41, Unused: []id.FencingNumber{}, Heard: []id.FencingNumber{}, Vouched: []id.FencingNumber{}},
	} {
		if got := exchange.RecallResponseOf(want).AsHistory(); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, want %+v", name, got, want)
		}
	}
}
