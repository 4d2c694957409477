package trial_test

import (
	"slices"
	"testing"
	"time"

	"samphirehead/bench/trial"
	"samphirehead/coordination/queue"
	"samphirehead/state/id"
)

// report gives the means over three seeds.
func report(b *testing.B, play func(seed uint64) *trial.Trial) {
	const seeds = 3
	sums := map[string]float64{}
	add := func(name string, v float64) { sums[name] += v / seeds }
	for seed := uint64(1); seed <= seeds; seed++ {
		tr := play(seed)
		quick, dossier := scoreOf(tr, "jurors"), scoreOf(tr, "archive")
		if quick.Sent > 0 {
			slices.Sort(quick.First)
			add("quick-met-%", 100*float64(quick.Met)/float64(quick.Sent))
			add("quick-refused-%", 100*float64(quick.Refused)/float64(quick.Sent))
			add("quick-tokens/s", float64(quick.Tokens)/trial.Duration.Seconds())
			add("median-first-ms", float64(quick.First[len(quick.First)/2].Microseconds())/1000)
		}
		add("dossier-tokens/s", float64(dossier.Tokens)/trial.Duration.Seconds())
		add("preempted", float64(dossier.Preempted))
		add("kv-overfull-%", 100*float64(tr.Overfull)/float64(max(1, tr.Looks)))
	}
	for name, sum := range sums {
		b.ReportMetric(sum, name)
	}
}

// scoreOf returns an empty score for a workspace without traffic.
func scoreOf(tr *trial.Trial, w id.Workspace) *trial.Score {
	if s, ok := tr.Scores[w]; ok {
		return s
	}
	return &trial.Score{}
}

var (
	jurors = trial.Traffic{Class: "quick", Workspace: "jurors", PerSecond: 12, Bursts: true, Prompt: 200, Answer: 60,
		Target: 300 * time.Millisecond}
	dossiers = trial.Traffic{Class: "dossier", Workspace: "archive", PerSecond: 6, Prompt: 2000, Answer: 800,
		Target: 60 * time.Second}
)

func BenchmarkTrial(b *testing.B) {
	rigid, inOrder := trial.Setting{Rigid: true}, trial.Setting{InOrder: true}
	slow := trial.Setting{Slow: map[id.Upstream]float64{"e0": 8}}
	big := dossiers
	big.Prompt, big.PerSecond = 12000, 1.5
	long := dossiers
	long.Prompt, long.Answer = 500, 600
	excess, heavy := jurors, dossiers
	excess.PerSecond, excess.Bursts, heavy.PerSecond = 70, false, 20
	flood := excess
	flood.Workspace = "flood"
	steady := jurors
	steady.Bursts = false
	disguised := flood
	disguised.Disguise = jurors.Workspace
	short := jurors
	short.Answer, short.PerSecond = 20, 18
	shared := jurors
	shared.Prompt, shared.Prefixes, shared.PerSecond = 2000, 30, 6
	both := []trial.Traffic{jurors, dossiers}
	tests := []struct {
		name    string
		q       queue.Queue
		setting trial.Setting
		streams []trial.Traffic
	}{
		{"alone", queue.Queue{}, trial.Setting{}, []trial.Traffic{jurors}},
		{"rigid/headroom=0", queue.Queue{}, rigid, both},
		{"rigid/headroom=0.1", queue.Queue{Headroom: 0.1}, rigid, both},
		{"rigid/headroom=0.2", queue.Queue{Headroom: 0.2}, rigid, both},
		{"rigid/headroom=0.4", queue.Queue{Headroom: 0.4}, rigid, both},
		{"resumes/headroom=0", queue.Queue{}, trial.Setting{}, both},
		{"resumes/headroom=0.1", queue.Queue{Headroom: 0.1}, trial.Setting{}, both},
		{"resumes/headroom=0.2", queue.Queue{Headroom: 0.2}, trial.Setting{}, both},
		{"prefill/unbounded", queue.Queue{Headroom: 0.2}, inOrder, []trial.Traffic{jurors, big}},
		{"prefill/bounded", queue.Queue{Headroom: 0.2, LargePrefill: 150 * time.Millisecond}, inOrder, []trial.Traffic{jurors, big}},
		{"overload/quick", queue.Queue{Headroom: 0.1}, trial.Setting{}, []trial.Traffic{excess}},
		{"overload/both", queue.Queue{Headroom: 0.1}, trial.Setting{}, []trial.Traffic{excess, dossiers}},
		{"overload/dossiers", queue.Queue{Headroom: 0.1}, trial.Setting{}, []trial.Traffic{jurors, heavy}},
		{"flood/none", queue.Queue{}, trial.Setting{}, []trial.Traffic{steady}},
		{"flood/one-workspace", queue.Queue{}, trial.Setting{}, []trial.Traffic{steady, disguised}},
		{"flood/own-workspace", queue.Queue{}, trial.Setting{}, []trial.Traffic{steady, flood}},
		{"slow/even", queue.Queue{WithoutSlowing: true}, slow, []trial.Traffic{jurors}},
		{"slow/slowed", queue.Queue{}, slow, []trial.Traffic{jurors}},
		{"prefix/ignored", queue.Queue{WithoutAffinity: true}, trial.Setting{}, []trial.Traffic{shared}},
		{"prefix/used", queue.Queue{}, trial.Setting{}, []trial.Traffic{shared}},
		{"long/fixed", queue.Queue{WithoutEstimates: true}, trial.Setting{KV: 12000}, []trial.Traffic{long}},
		{"long/estimated", queue.Queue{}, trial.Setting{KV: 12000}, []trial.Traffic{long}},
		{"short/fixed", queue.Queue{WithoutEstimates: true}, trial.Setting{KV: 2500}, []trial.Traffic{short}},
		{"short/estimated", queue.Queue{}, trial.Setting{KV: 2500}, []trial.Traffic{short}},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			report(b, func(seed uint64) *trial.Trial {
				q := tt.q
				return trial.Play(&q, seed, tt.setting, tt.streams...)
			})
		})
	}
}
