package platform_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"samphirehead/standin/fault"
	standin "samphirehead/standin/platform"
	"samphirehead/state/record"
	"samphirehead/transport/platform"
)

// table is what the contract is held against; an adapter to another table
// service would be held to the same.
type tableClient interface {
	Write(ctx context.Context, writes []record.Write) record.WriteResult
	Read(ctx context.Context, keys []record.Key) ([]record.Row, error)
	Scan(ctx context.Context, prefix, after record.Key, limit int) ([]record.Row, error)
}

var _ tableClient = (*platform.Client)(nil)

func newStandin(t *testing.T) (tableClient, *standin.Platform) {
	t.Helper()
	p := &standin.Platform{}
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return &platform.Client{Address: server.URL, Timeout: 5 * time.Second}, p
}

func put(key record.Key, expected record.Version, value string) record.Write {
	return record.Write{Key: key, Expected: expected, Value: []byte(value)}
}

// kind names a result without its details.
func resultName(r record.WriteResult) string { return reflect.TypeOf(r).Name() }

func TestContractOfConditionalWrites(t *testing.T) {
	cases := []struct {
		name   string
		writes func(a record.Version) []record.Write
		want   string
		// rows is what all keys hold afterwards.
		rows string
	}{
		{"insert", func(record.Version) []record.Write { return []record.Write{put("k/b", 0, "2")} }, "Written", "k/a=1 k/b=2 "},
		{"second insert", func(record.Version) []record.Write { return []record.Write{put("k/a", 0, "2")} }, "Conflicted", "k/a=1 "},
		{"update", func(a record.Version) []record.Write { return []record.Write{put("k/a", a, "2")} }, "Written", "k/a=2 "},
		{"update of another version", func(a record.Version) []record.Write { return []record.Write{put("k/a", a+7, "2")} }, "Conflicted", "k/a=1 "},
		{"update of an absent row", func(a record.Version) []record.Write { return []record.Write{put("k/b", a, "2")} }, "Conflicted", "k/a=1 "},
		{"delete", func(a record.Version) []record.Write {
			return []record.Write{{Key: "k/a", Expected: a, Delete: true}}
		}, "Written", ""},
		{"two or none", func(record.Version) []record.Write {
			return []record.Write{put("k/b", 0, "2"), put("k/a", 0, "2")}
		}, "Conflicted", "k/a=1 "},
		{"two", func(a record.Version) []record.Write { return []record.Write{put("k/b", 0, "2"), put("k/a", a, "2")} }, "Written", "k/a=2 k/b=2 "},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			client, _ := newStandin(t)
			first := client.Write(t.Context(), []record.Write{put("k/a", 0, "1")}).(record.Written)
			result := client.Write(t.Context(), tc.writes(first.Versions[0]))
			if resultName(result) != tc.want {
				t.Fatalf("got %+v, want %s", result, tc.want)
			}
			if got := contents(t, client); got != tc.rows {
				t.Errorf("rows %q, want %q", got, tc.rows)
			}
		})
	}
}

func contents(t *testing.T, client tableClient) string {
	t.Helper()
	rows, err := client.Scan(t.Context(), "k/", "", 10)
	if err != nil {
		t.Fatal(err)
	}
	out := ""
	for _, r := range rows {
		out += fmt.Sprintf("%s=%s ", r.Key, r.Value)
	}
	return out
}

// TestContractOfVersionsAfterADelete checks that a late write to a row that
// was deleted and inserted again finds another version.
func TestContractOfVersionsAfterADelete(t *testing.T) {
	client, _ := newStandin(t)
	first := client.Write(t.Context(), []record.Write{put("k/a", 0, "1")}).(record.Written).Versions[0]
	client.Write(t.Context(), []record.Write{{Key: "k/a", Expected: first, Delete: true}})
	client.Write(t.Context(), []record.Write{put("k/a", 0, "2")})
	if got := resultName(client.Write(t.Context(), []record.Write{put("k/a", first, "late")})); got != "Conflicted" {
		t.Errorf("a write to the deleted row: %s", got)
	}
}

func TestContractUnderFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault fault.Fault
		want  string
		// second is the result of the same write again, without faults.
		second string
	}{
		{"down", fault.Fault{Kind: fault.Down, Count: 1}, "Refused", "Written"},
		{"answer lost", fault.Fault{Kind: fault.LostAnswer, Count: 1}, "Unknown", "Conflicted"},
		{"slow", fault.Fault{Kind: fault.Slow, Count: 1, DelayMS: 10}, "Written", "Conflicted"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			client, p := newStandin(t)
			p.Faults.Add(tc.fault)
			writes := []record.Write{put("k/a", 0, "1")}
			if got := client.Write(t.Context(), writes); resultName(got) != tc.want {
				t.Errorf("got %+v, want %s", got, tc.want)
			}
			if got := client.Write(t.Context(), writes); resultName(got) != tc.second {
				t.Errorf("again: got %+v, want %s", got, tc.second)
			}
		})
	}
}

// TestContractOfALateWrite checks that of two copies of a write only one takes
// effect, whichever comes first.
func TestContractOfALateWrite(t *testing.T) {
	client, p := newStandin(t)
	p.Faults.Add(fault.Fault{Kind: fault.LateWrite, Count: 1, DelayMS: 1})
	writes := []record.Write{put("k/a", 0, "1")}
	if got := client.Write(t.Context(), writes); resultName(got) != "Unknown" {
		t.Fatalf("got %+v", got)
	}
	second := client.Write(t.Context(), writes)
	if row, ok := second.(record.Conflicted); ok && string(row.Rows[0].Value) != "1" {
		t.Errorf("conflict with %+v", row.Rows[0])
	}
	if resultName(second) != "Written" && resultName(second) != "Conflicted" {
		t.Errorf("got %+v", second)
	}
}
