package score_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"samphirehead/bench/load"
	"samphirehead/bench/score"
	"samphirehead/protocol/answer"
	"samphirehead/standin/engine"
	"samphirehead/standin/service"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

var start = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func atUS(seconds float64) int64 { return at(seconds).UnixMicro() }

// completion returns the record of a tier 1 completion with one attempt.
func completion(a load.Attempt) *load.Record {
	stream := &load.Stream{Class: "urgent", Tier: 1, Model: "m", FirstToken: time.Second, BetweenTokens: time.Second}
	return &load.Record{Job: load.Job{Stream: stream}, Sent: a.SentAt, Ended: a.EndedAt, Outcome: a.Outcome, Attempts: []load.Attempt{a}}
}

func registration(a load.Attempt) *load.Record {
	stream := &load.Stream{Class: "registration", Tier: 1, Service: "desk", FirstToken: time.Second}
	job := load.Job{Stream: stream, Key: "key-1", Path: "/registrations"}
	return &load.Record{Job: job, Sent: a.SentAt, Ended: a.EndedAt, Outcome: a.Outcome, Attempts: []load.Attempt{a}}
}

func serviceRuns(count int, requests ...string) []service.Truth {
	return []service.Truth{{Runs: []service.RunRecord{{Key: "key-1", Path: "/registrations", Count: count, Requests: requests}}}}
}

// lowerTierEngine returns an engine of 10 slots where n tier 4 requests run
// from one time to another, in seconds after start.
func lowerTierEngine(n int, from, to float64) []score.Engine {
	e := score.Engine{Models: []id.Model{"m", "other"}, Slots: 10}
	for range n {
		e.Truth.Requests = append(e.Truth.Requests, engine.Attempt{Request: "low", Model: "other", Tier: 4, StartedUnixUS: atUS(from), EndedUnixUS: atUS(to)})
	}
	return []score.Engine{e}
}

func attempt(sent, ended float64, o answer.Outcome) load.Attempt {
	return load.Attempt{SentAt: at(sent), EndedAt: at(ended), Entry: "a", RequestID: "r1", Status: 200, Outcome: o}
}

func refusedAttempt(sent, ended float64, reason answer.Reason) load.Attempt {
	a := attempt(sent, ended, answer.OutcomeNotRun)
	a.Status, a.Reason = reason.Status(), reason
	return a
}

func withVersion(a load.Attempt, v uint64) load.Attempt {
	a.ManifestVersion = v
	return a
}

func withBroken(a load.Attempt) load.Attempt {
	a.Broken = true
	return a
}

func TestEachViolationIsCounted(t *testing.T) {
	none := score.Violations{}
	ok := answer.OutcomeCompleted
	drains := []score.Drain{{Entry: "a", Started: at(10), Ended: at(20)}}
	classes := []manifest.Class{{Name: "urgent", Tier: 1}, {Name: "low", Tier: 4, MinimumShare: 0.1}}
	cases := map[string]struct {
		run  score.Run
		want score.Violations
	}{
		"no violation": {score.Run{Records: []*load.Record{completion(attempt(1, 2, ok)), registration(attempt(1, 2, ok))}, Services: serviceRuns(1, "r1")}, none},

		"key ran twice":             {score.Run{Records: []*load.Record{registration(attempt(1, 2, ok))}, Services: serviceRuns(2, "r1", "r1")}, score.Violations{DuplicateRuns: 1}},
		"key ran on two workers":    {score.Run{Records: []*load.Record{registration(attempt(1, 2, ok))}, Services: append(serviceRuns(1, "r1"), serviceRuns(1, "r1")...)}, score.Violations{DuplicateRuns: 1}},
		"not run, but ran":          {score.Run{Records: []*load.Record{registration(refusedAttempt(1, 2, answer.ReasonPlatformDown))}, Services: serviceRuns(1, "r1")}, score.Violations{FalseNotRun: 1}},
		"not run, ran without id":   {score.Run{Records: []*load.Record{registration(refusedAttempt(1, 2, answer.ReasonPlatformDown))}, Services: serviceRuns(1, "")}, score.Violations{FalseNotRun: 1}},
		"not run, another one ran":  {score.Run{Records: []*load.Record{registration(refusedAttempt(1, 2, answer.ReasonPlatformDown)), registration(attempt(1, 2, ok))}, Services: serviceRuns(1, "r2")}, none},
		"not run, engine received":  {score.Run{Records: []*load.Record{completion(refusedAttempt(1, 2, answer.ReasonRateLimited))}, Engines: []score.Engine{{Truth: engine.Truth{Requests: []engine.Attempt{{Request: "r1"}}}}}}, score.Violations{FalseNotRun: 1}},
		"truncated":                 {score.Run{Records: []*load.Record{{Job: completion(attempt(1, 2, ok)).Job, Truncated: true}}}, score.Violations{TruncatedAnswers: 1}},
		"crossed":                   {score.Run{Records: []*load.Record{{Job: completion(attempt(1, 2, ok)).Job, Crossed: true}}}, score.Violations{CrossedAnswers: 1}},
		"shed above lower":          {score.Run{Classes: classes, Records: []*load.Record{completion(refusedAttempt(4, 5, answer.ReasonOverloaded))}, Engines: lowerTierEngine(2, 1, 9)}, score.Violations{ShedAboveLower: 1}},
		"shed within minimum share": {score.Run{Classes: classes, Records: []*load.Record{completion(refusedAttempt(4, 5, answer.ReasonOverloaded))}, Engines: lowerTierEngine(1, 1, 9)}, none},
		"shed before lower work":    {score.Run{Classes: classes, Records: []*load.Record{completion(refusedAttempt(4, 5, answer.ReasonOverloaded))}, Engines: lowerTierEngine(2, 4.95, 9)}, none},
		"shed after lower work":     {score.Run{Classes: classes, Records: []*load.Record{completion(refusedAttempt(4, 5, answer.ReasonOverloaded))}, Engines: lowerTierEngine(2, 1, 4.9)}, none},
		"shed by a workspace limit": {score.Run{Classes: classes, Records: []*load.Record{completion(refusedAttempt(4, 5, answer.ReasonRateLimited))}, Engines: lowerTierEngine(2, 1, 9)}, none},

		"cut by drain":               {score.Run{Drains: drains, Records: []*load.Record{completion(withBroken(attempt(9, 12, load.OutcomeFailed)))}}, score.Violations{CutByDrain: 1}},
		"cut with an error event":    {score.Run{Drains: drains, Records: []*load.Record{completion(load.Attempt{SentAt: at(9), EndedAt: at(12), Entry: "a", Status: 200, Outcome: answer.OutcomeUnknown, Reason: answer.ReasonCancelled})}}, score.Violations{CutByDrain: 1}},
		"cut at another instance":    {score.Run{Drains: []score.Drain{{Entry: "b", Started: at(10)}}, Records: []*load.Record{completion(withBroken(attempt(9, 12, load.OutcomeFailed)))}}, none},
		"cut before the drain":       {score.Run{Drains: drains, Records: []*load.Record{completion(withBroken(attempt(1, 2, load.OutcomeFailed)))}}, none},
		"work after the drain grace": {score.Run{Drains: drains, Records: []*load.Record{completion(attempt(14, 15, ok))}}, score.Violations{WorkAfterDrain: 1}},
		"work in the drain grace":    {score.Run{Drains: drains, Records: []*load.Record{completion(attempt(12, 15, ok))}}, none},
		"refused while draining":     {score.Run{Drains: drains, Records: []*load.Record{completion(refusedAttempt(14, 15, answer.ReasonDraining))}}, none},
		"work after the replacement": {score.Run{Drains: drains, Records: []*load.Record{completion(attempt(21, 22, ok))}}, none},

		"config reverts":            {score.Run{Records: []*load.Record{completion(withVersion(attempt(1, 2, ok), 5)), completion(withVersion(attempt(3, 4, ok), 4))}}, score.Violations{ConfigReverts: 1}},
		"older version in parallel": {score.Run{Records: []*load.Record{completion(withVersion(attempt(1, 4, ok), 5)), completion(withVersion(attempt(3, 5, ok), 4))}}, none},
	}
	sum := score.Violations{}
	for name, c := range cases {
		c.run.Start, c.run.Duration = start, 30*time.Second
		got := c.run.Score().Violations
		if got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
		addViolations(&sum, got)
	}
	for i := range reflect.TypeFor[score.Violations]().NumField() {
		if reflect.ValueOf(sum).Field(i).Int() == 0 {
			t.Errorf("no case counts %s", reflect.TypeFor[score.Violations]().Field(i).Name)
		}
	}
}

func addViolations(sum *score.Violations, v score.Violations) {
	total := reflect.ValueOf(sum).Elem()
	for i := range total.NumField() {
		total.Field(i).SetInt(total.Field(i).Int() + reflect.ValueOf(v).Field(i).Int())
	}
}

func TestAttainmentIncludesRefusalsAndGoodputExcludesFailures(t *testing.T) {
	completed := completion(attempt(1, 2, answer.OutcomeCompleted))
	completed.FirstToken, completed.Tokens = 500*time.Millisecond, 3
	completed.TokenTimes = []time.Time{at(9.8), at(9.9), at(10.1)}
	late := completion(attempt(1, 4, answer.OutcomeCompleted))
	late.FirstToken = 2 * time.Second
	run := score.Run{
		Start: start, Duration: 10 * time.Second, CapacityTokensPerSecond: 7,
		Records: []*load.Record{completed, late, completion(refusedAttempt(1, 1, answer.ReasonOverloaded)), completion(withBroken(attempt(1, 1, load.OutcomeFailed)))},
		Engines: []score.Engine{{Truth: engine.Truth{Requests: []engine.Attempt{{TokensGenerated: 4}}}}},
	}
	got := run.Score()
	class := got.Classes[0]
	if class.Sent != 4 || class.Completed != 2 || class.NotRun != 1 || class.Failed != 1 || class.Attainment != 0.25 {
		t.Errorf("class %+v", class)
	}
	if got.GoodputTokensPerS != 0.2 || got.GoodputRequestsPerS != 0.2 || got.WastedTokensShare != 0.25 {
		t.Errorf("result %+v", got)
	}
}

// Programs that read the JSON result depend on these names and their order.
func TestResultJSONNames(t *testing.T) {
	data, err := json.Marshal(score.Result{Classes: []score.Class{{}}})
	if err != nil {
		t.Fatal(err)
	}
	want := "scenario policy seed duration_s classes class tier sent completed not_run unknown failed attainment " +
		"first_token_p50_ms first_token_p95_ms between_tokens_p95_ms goodput_tokens_per_s goodput_requests_per_s " +
		"capacity_tokens_per_s wasted_tokens_share violations duplicate_runs false_not_run truncated_answers " +
		"crossed_answers shed_above_lower cut_by_drain config_reverts work_after_leave"
	var names []string
	for i, part := range strings.Split(string(data), `"`) {
		if i%2 == 1 && part != "" {
			names = append(names, part)
		}
	}
	if got := strings.Join(names, " "); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}
