package queue_test

import (
	"slices"
	"testing"
	"time"

	"samphirehead/coordination/queue"
	"samphirehead/state/id"
)

// report gives the means over three seeds.
func report(b *testing.B, play func(seed uint64) *trial) {
	const seeds = 3
	sums := map[string]float64{}
	add := func(name string, v float64) { sums[name] += v / seeds }
	for seed := uint64(1); seed <= seeds; seed++ {
		tr := play(seed)
		quick, dossier := tr.scores["jurors"], tr.scores["archive"]
		if quick.sent > 0 {
			slices.Sort(quick.first)
			add("quick-met-%", 100*float64(quick.met)/float64(quick.sent))
			add("quick-refused-%", 100*float64(quick.refused)/float64(quick.sent))
			add("quick-tokens/s", float64(quick.tokens)/trialTime.Seconds())
			add("median-first-ms", float64(quick.first[len(quick.first)/2].Microseconds())/1000)
		}
		add("dossier-tokens/s", float64(dossier.tokens)/trialTime.Seconds())
		add("preempted", float64(dossier.preempted))
		add("kv-overfull-%", 100*float64(tr.overfull)/float64(max(1, tr.looks)))
	}
	for name, sum := range sums {
		b.ReportMetric(sum, name)
	}
}

var (
	jurors = traffic{class: "quick", workspace: "jurors", perSecond: 12, bursts: true, prompt: 200, answer: 60,
		target: 300 * time.Millisecond}
	dossiers = traffic{class: "dossier", workspace: "archive", perSecond: 6, prompt: 2000, answer: 800,
		target: 60 * time.Second}
)

func BenchmarkTrial(b *testing.B) {
	rigid, inOrder := setting{rigid: true}, setting{inOrder: true}
	slow := setting{slow: map[id.Upstream]float64{"e0": 8}}
	big := dossiers
	big.prompt, big.perSecond = 12000, 1.5
	long := dossiers
	long.prompt, long.answer = 500, 600
	excess, heavy := jurors, dossiers
	excess.perSecond, excess.bursts, heavy.perSecond = 70, false, 20
	flood := excess
	flood.workspace = "flood"
	steady := jurors
	steady.bursts = false
	disguised := flood
	disguised.disguised = true
	short := jurors
	short.answer, short.perSecond = 20, 18
	shared := jurors
	shared.prompt, shared.prefixes, shared.perSecond = 2000, 30, 6
	both := []traffic{jurors, dossiers}
	tests := []struct {
		name    string
		q       queue.Queue
		setting setting
		streams []traffic
	}{
		{"alone", queue.Queue{}, setting{}, []traffic{jurors}},
		{"rigid/headroom=0", queue.Queue{}, rigid, both},
		{"rigid/headroom=0.1", queue.Queue{Headroom: 0.1}, rigid, both},
		{"rigid/headroom=0.2", queue.Queue{Headroom: 0.2}, rigid, both},
		{"rigid/headroom=0.4", queue.Queue{Headroom: 0.4}, rigid, both},
		{"resumes/headroom=0", queue.Queue{}, setting{}, both},
		{"resumes/headroom=0.1", queue.Queue{Headroom: 0.1}, setting{}, both},
		{"resumes/headroom=0.2", queue.Queue{Headroom: 0.2}, setting{}, both},
		{"prefill/unbounded", queue.Queue{Headroom: 0.2}, inOrder, []traffic{jurors, big}},
		{"prefill/bounded", queue.Queue{Headroom: 0.2, LargePrefill: 150 * time.Millisecond}, inOrder, []traffic{jurors, big}},
		{"overload/quick", queue.Queue{Headroom: 0.1}, setting{}, []traffic{excess}},
		{"overload/both", queue.Queue{Headroom: 0.1}, setting{}, []traffic{excess, dossiers}},
		{"overload/dossiers", queue.Queue{Headroom: 0.1}, setting{}, []traffic{jurors, heavy}},
		{"flood/none", queue.Queue{}, setting{}, []traffic{steady}},
		{"flood/one-workspace", queue.Queue{}, setting{}, []traffic{steady, disguised}},
		{"flood/own-workspace", queue.Queue{}, setting{}, []traffic{steady, flood}},
		{"slow/even", queue.Queue{WithoutSlowing: true}, slow, []traffic{jurors}},
		{"slow/slowed", queue.Queue{}, slow, []traffic{jurors}},
		{"prefix/ignored", queue.Queue{WithoutAffinity: true}, setting{}, []traffic{shared}},
		{"prefix/used", queue.Queue{}, setting{}, []traffic{shared}},
		{"long/fixed", queue.Queue{WithoutEstimates: true}, setting{kv: 12000}, []traffic{long}},
		{"long/estimated", queue.Queue{}, setting{kv: 12000}, []traffic{long}},
		{"short/fixed", queue.Queue{WithoutEstimates: true}, setting{kv: 2500}, []traffic{short}},
		{"short/estimated", queue.Queue{}, setting{kv: 2500}, []traffic{short}},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			report(b, func(seed uint64) *trial {
				q := tt.q
				return play(&q, seed, tt.setting, tt.streams...)
			})
		})
	}
}
