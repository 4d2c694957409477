package bench

import (
	"cmp"
	"slices"
	"strings"

	"samphirehead/bench/cluster"
	"samphirehead/bench/load"
	"samphirehead/standin/fault"
	"samphirehead/state/id"
)

// poison is a substring of the prompts that crash engines in poison_request.
const poison = "poison-pill"

const offender id.Workspace = "troupe-tokachi"

// Find returns the scenario with the given name and whether it exists. Several
// names joined by "+" give one scenario that combines them.
func Find(name string) (Scenario, bool) {
	all := Scenarios()
	var parts []Scenario
	for _, part := range strings.Split(name, "+") {
		i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == part })
		if i < 0 {
			return Scenario{}, false
		}
		parts = append(parts, all[i])
	}
	if len(parts) == 1 {
		return parts[0], true
	}
	return combine(name, parts), true
}

// combine merges scenarios into one that runs all of them at the same time.
func combine(name string, parts []Scenario) Scenario {
	combined := Scenario{Name: name}
	for _, s := range parts {
		combined.Summary += s.Summary + "; "
		combined.Changes = append(combined.Changes, s.Changes...)
		combined.Extra = append(combined.Extra, s.Extra...)
		combined.Steps = append(combined.Steps, s.Steps...)
		combined.Offender = cmp.Or(combined.Offender, s.Offender)
	}
	combined.Summary = strings.TrimSuffix(combined.Summary, "; ")
	slices.SortStableFunc(combined.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return combined
}

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return slices.Concat(loadScenarios(), engineScenarios(), instanceScenarios(), platformScenarios(), combinedScenarios())
}

func loadScenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Summary: "a little under half of the engines' capacity"},
		{Name: "morning_peak", Summary: "three times the questions, few dossiers", Changes: []Change{
			{Class: cluster.Question, RateFactor: 3, From: 0.2, Until: 0.8},
			{Class: cluster.Dossier, RateFactor: 0.25, Until: 1},
		}},
		{Name: "evening_peak", Summary: "half of the questions, four times the dossiers", Changes: []Change{
			{Class: cluster.Question, RateFactor: 0.5, Until: 1},
			{Class: cluster.Dossier, RateFactor: 4, From: 0.2, Until: 0.8},
		}},
		{Name: "dossier_burst", Summary: "eight times the dossiers for a while", Changes: []Change{
			{Class: cluster.Dossier, RateFactor: 8, From: 0.3, Until: 0.6},
		}},
		{Name: "urgent_burst", Summary: "four times the questions for a while", Changes: []Change{
			{Class: cluster.Question, RateFactor: 4, From: 0.4, Until: 0.6},
		}},
		{Name: "overload", Summary: "twice the engines' capacity", Changes: []Change{
			{Class: cluster.Question, RateFactor: 3, Until: 1},
			{Class: cluster.Notes, RateFactor: 6, Until: 1},
			{Class: cluster.Dossier, RateFactor: 4, Until: 1},
		}},
		{Name: "long_answers", Summary: "notes four times as long as usual", Changes: []Change{
			{Class: cluster.Notes, AnswerFactor: 4},
		}},
		{Name: "workspace_flood", Summary: "one workspace sends three times all the others' questions",
			Extra: []load.Stream{floodStream()}, Offender: offender},
		{Name: "duplicate_calls", Summary: "four callers send each registration at the same moment", Changes: []Change{
			{Class: cluster.Registration, Copies: 4},
		}},
	}
}

// steadyStream returns a copy of the steady load's stream of a class, sent by
// one workspace only.
func steadyStream(class id.Class, w id.Workspace) load.Stream {
	streams := cluster.Streams()
	i := slices.IndexFunc(streams, func(s load.Stream) bool { return s.Class == class })
	s := streams[i]
	s.Workspaces = []load.Weight{{Workspace: w, Weight: 1}}
	return s
}

func floodStream() load.Stream {
	s := steadyStream(cluster.Question, offender)
	s.PerSecond *= 3
	return s
}

func poisonStream() load.Stream {
	s := steadyStream(cluster.Notes, offender)
	s.PerSecond = 1
	s.FixedPrompt = poison
	return s
}

func engineScenarios() []Scenario {
	slow := fault.Fault{Kind: fault.Slow, Factor: 8}
	crash := fault.Fault{Kind: fault.Crash, DurationMS: 2000}
	return []Scenario{
		{Name: "slow_engine", Summary: "three engines run eight times slower", Steps: []Step{
			{0.2, EngineFault{Engines: []int{2, 7, 13}, Fault: slow, For: 0.6}},
		}},
		{Name: "crash_engine", Summary: "four engines crash, two at the same moment", Steps: []Step{
			{0.2, EngineFault{Engines: []int{0}, Fault: crash}},
			{0.4, EngineFault{Engines: []int{5, 14}, Fault: crash}},
			{0.6, EngineFault{Engines: []int{19}, Fault: crash}},
		}},
		{Name: "poison_request", Summary: "one request crashes each engine that runs it, and keeps being sent",
			Extra: []load.Stream{poisonStream()}, Offender: offender, Steps: []Step{
				{0, EngineFault{Fault: fault.Fault{Kind: fault.Crash, Match: poison, DurationMS: 2000}}},
			}},
	}
}

func instanceScenarios() []Scenario {
	replaceAll := []Step{}
	for index := range 4 {
		at := 0.1 + 0.2*float64(index)
		replaceAll = append(replaceAll, Step{at, Kill{index}}, Step{at + 0.08, Replace{index}})
	}
	reapplies := []Step{}
	races := []Step{}
	for at := 0.1; at < 0.95; at += 0.1 {
		reapplies = append(reapplies, Step{at, Reapply{}})
		races = append(races, Step{at, Race{}})
	}
	return []Scenario{
		{Name: "lose_instance", Summary: "one of four instances dies", Steps: []Step{{0.4, Kill{1}}}},
		{Name: "kill_one", Summary: "one instance dies and is replaced", Steps: []Step{{0.3, Kill{2}}, {0.6, Replace{2}}}},
		{Name: "drain_one", Summary: "one instance is drained", Steps: []Step{{0.3, Drain{1}}}},
		{Name: "replace_all", Summary: "all instances die and are replaced in turn", Steps: replaceAll},
		{Name: "isolate_one", Summary: "one instance is cut off from the platform and its peers", Steps: []Step{{0.3, Isolate{Index: 1, For: 0.3}}}},
		{Name: "lose_peers", Summary: "one instance is cut off from its peers while its callers stay", Steps: []Step{{0.3, Isolate{Index: 1, For: 0.3, PeersOnly: true}}}},
		{Name: "paused_holder", Summary: "two instances are paused in turn while two callers send each registration",
			Changes: []Change{{Class: cluster.Registration, Copies: 2}},
			Steps:   []Step{{0.2, Pause{0, 0.25}}, {0.6, Pause{2, 0.25}}}},
		{Name: "apply_under_load", Summary: "the manifest changes nine times", Steps: reapplies},
		{Name: "operators_race", Summary: "operators apply different manifests at the same moment, nine times", Steps: races},
	}
}

func platformScenarios() []Scenario {
	const writes = "/v1/table/write"
	return []Scenario{
		{Name: "store_down", Summary: "the platform is down for half of the time", Steps: []Step{
			{0.25, PlatformFault{fault.Fault{Kind: fault.Down}, 0.5}},
		}},
		{Name: "store_slow", Summary: "the platform answers 400 ms late", Steps: []Step{
			{0.2, PlatformFault{fault.Fault{Kind: fault.Slow, DelayMS: 400}, 0.6}},
		}},
		{Name: "lost_answers", Summary: "answers to writes are lost, writes are applied late, services' answers are lost", Steps: []Step{
			{0.1, PlatformFault{fault.Fault{Kind: fault.LostAnswer, Match: writes, Every: 4}, 0.8}},
			{0.1, PlatformFault{fault.Fault{Kind: fault.LateWrite, Match: writes, Every: 7, DelayMS: 700}, 0.8}},
			{0.1, ServiceFault{fault.Fault{Kind: fault.LostAnswer, Match: "POST", Every: 10}, 0.8}},
		}},
	}
}

// combinedScenarios returns the scenario that combines an overload with several
// kinds of failure.
func combinedScenarios() []Scenario {
	names := []string{"overload", "crash_engine", "poison_request", "duplicate_calls", "lost_answers", "kill_one", "apply_under_load"}
	known := slices.Concat(loadScenarios(), engineScenarios(), instanceScenarios(), platformScenarios())
	parts := slices.DeleteFunc(known, func(s Scenario) bool { return !slices.Contains(names, s.Name) })
	return []Scenario{combine("all_at_once", parts)}
}
