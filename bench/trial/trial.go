// Package trial drives one queue with arithmetic engines and no network, to
// compare ways of deciding:
//
//	go test -run xxx -bench Trial -benchtime 1x ./bench/trial
package trial

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"samphirehead/coordination/queue"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

const (
	// Duration is the simulated time of a trial.
	Duration      = 60 * time.Second
	engines       = 5
	slots         = 16
	queueBound    = 200
	poolName      = id.Pool("model:m")
	tokenTime     = 20 * time.Millisecond
	prefillPerSec = 8000
	// slowestToken is the target between two tokens.
	slowestToken = 80 * time.Millisecond
)

// Traffic is a stream of requests of one class and workspace.
type Traffic struct {
	Class     id.Class
	Workspace id.Workspace
	PerSecond float64
	// Bursts multiply the rate by 4 for one second of each four.
	Bursts bool
	Prompt id.Tokens
	// Answer is the mean length in tokens.
	Answer int
	Target time.Duration
	// Prefixes is from how many shared prompt prefixes requests draw.
	Prefixes int
	// Disguise, unless empty, is the workspace that requests carry; they are
	// scored under Workspace.
	Disguise id.Workspace
}

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// moment is something that happens at a time.
type moment struct {
	at  time.Time
	seq int
	do  func()
}

type moments []moment

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return cmp.Or(m[i].at.Compare(m[j].at), m[i].seq-m[j].seq) < 0 }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)        { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// lane is one engine's prompts of one class; engines that read in order have
// only one.
type lane struct {
	upstream id.Upstream
	class    id.Class
}

// Trial is one run.
type Trial struct {
	q       *queue.Queue
	now     time.Time
	agenda  moments
	seq     int
	random  *rand.Rand
	slow    map[id.Upstream]float64
	prefill map[lane]time.Time
	// inOrder engines read prompts as they come; others read those of the
	// higher tier first.
	inOrder bool
	active  map[id.Upstream]int
	cache   map[id.Upstream][]uint64
	jobs    map[id.Reservation]*job
	kv      id.Tokens

	// Overfull is how often an engine was seen to hold more KV tokens than
	// it has, of Looks.
	Overfull, Looks int
	// Scores has a score for each workspace of the traffic.
	Scores map[id.Workspace]*Score
}

type job struct {
	queue.Arrived
	scored   id.Workspace
	answer   id.Tokens
	upstream id.Upstream
	token    time.Duration
	firstAt  time.Time
	stopped  bool
}

// Score counts what became of the requests of one workspace.
type Score struct {
	Sent, Met, Refused, Preempted int
	Tokens                        id.Tokens
	// First has the times from grant to first token.
	First []time.Duration
}

func (tr *Trial) at(t time.Time, do func()) {
	tr.seq++
	heap.Push(&tr.agenda, moment{t, tr.seq, do})
}

func (tr *Trial) step(ev queue.Event) {
	for _, e := range tr.q.Step(tr.now, ev) {
		switch e := e.(type) {
		case queue.Granted:
			tr.serve(tr.jobs[e.Reservation], e.Upstream)
		case queue.Refused:
			tr.Scores[tr.jobs[e.Reservation].scored].Refused++
		case queue.Preempted:
			tr.preempt(tr.jobs[e.Reservation])
		}
	}
}

// serve reads prompts one after another and then adds tokens at a pace that
// falls with the engine's load.
func (tr *Trial) serve(j *job, u id.Upstream) {
	factor := max(1, tr.slow[u])
	work := float64(j.PromptTokens-tr.cached(u, j)) / prefillPerSec * factor
	begin := tr.now
	mine := lane{u, j.Class}
	if tr.inOrder {
		mine.class = ""
	}
	if busy := tr.prefill[mine]; busy.After(begin) {
		begin = busy
	}
	tr.active[u]++
	first := begin.Add(time.Duration(work * float64(time.Second)))
	tr.prefill[mine] = first
	j.upstream = u
	j.token = time.Duration(float64(tokenTime) * factor * (1 + float64(tr.active[u])/16))
	j.firstAt = first
	started := tr.now
	tr.at(first, func() {
		if j.stopped {
			return
		}
		if j.ResumeOffset == 0 {
			s := tr.Scores[j.scored]
			s.First = append(s.First, tr.now.Sub(started))
			if !tr.now.After(j.FirstTokenBy) && j.token <= slowestToken {
				s.Met++
			}
		}
		tr.progress(j)
	})
	tr.at(first.Add(time.Duration(j.answer-j.ResumeOffset)*j.token), func() { tr.finish(j, first.Sub(started)) })
}

// cached returns the prompt tokens in the engine's cache of eight prefixes.
func (tr *Trial) cached(u id.Upstream, j *job) id.Tokens {
	if len(j.Prefix) == 0 {
		return 0
	}
	hit := slices.Contains(tr.cache[u], j.Prefix[0])
	tr.cache[u] = slices.DeleteFunc(tr.cache[u], func(p uint64) bool { return p == j.Prefix[0] })
	tr.cache[u] = append(tr.cache[u], j.Prefix[0])
	if len(tr.cache[u]) > 8 {
		tr.cache[u] = tr.cache[u][1:]
	}
	if hit {
		return j.PromptTokens * 9 / 10
	}
	return 0
}

func (tr *Trial) progress(j *job) {
	if j.stopped {
		return
	}
	tr.step(queue.Progressed{Reservation: j.Reservation, Tokens: tr.reached(j)})
	tr.at(tr.now.Add(250*time.Millisecond), func() { tr.progress(j) })
}

func (tr *Trial) reached(j *job) id.Tokens {
	if tr.now.Before(j.firstAt) {
		return j.ResumeOffset
	}
	return min(j.answer, j.ResumeOffset+1+id.Tokens(tr.now.Sub(j.firstAt)/j.token))
}

func (tr *Trial) finish(j *job, first time.Duration) {
	if j.stopped {
		return
	}
	tr.stop(j)
	tr.step(queue.Released{Reservation: j.Reservation, Tokens: j.answer, Outcome: queue.Completed, FirstToken: first})
}

func (tr *Trial) stop(j *job) {
	j.stopped = true
	tr.active[j.upstream]--
	tr.Scores[j.scored].Tokens += tr.reached(j) - j.ResumeOffset
}

func (tr *Trial) preempt(j *job) {
	tr.Scores[j.scored].Preempted++
	tr.at(tr.now.Add(2*time.Millisecond), func() {
		if j.stopped {
			return
		}
		tr.stop(j)
		again := &job{scored: j.scored, Arrived: j.Arrived, answer: j.answer}
		again.ResumeOffset = tr.reached(j)
		again.Reservation += "+"
		again.Attempt++
		tr.jobs[again.Reservation] = again
		tr.step(queue.Released{Reservation: j.Reservation, Tokens: again.ResumeOffset, Outcome: queue.OutcomePreempted})
		tr.step(again.Arrived)
	})
}

func (tr *Trial) send(tf Traffic) {
	if tr.now.Sub(start) > Duration {
		return
	}
	name := fmt.Sprintf("r%d", len(tr.jobs))
	j := &job{scored: tf.Workspace, answer: id.Tokens(1 + tr.random.ExpFloat64()*float64(tf.Answer))}
	j.Arrived = queue.Arrived{
		Reservation: id.Reservation(name), Request: id.Request(name), Pool: poolName, Class: tf.Class,
		Workspace: tf.Workspace, Holder: "entry-1", PromptTokens: tf.Prompt,
		FirstTokenBy: tr.now.Add(tf.Target), Deadline: tr.now.Add(10 * time.Minute),
	}
	if tf.Disguise != "" {
		j.Workspace = tf.Disguise
	}
	if tf.Prefixes > 0 {
		j.Prefix = []uint64{1 + tr.random.Uint64N(uint64(tf.Prefixes))}
	}
	tr.jobs[j.Reservation] = j
	tr.Scores[tf.Workspace].Sent++
	tr.step(j.Arrived)
	rate := tf.PerSecond
	if tf.Bursts && int(tr.now.Sub(start)/time.Second)%4 == 0 {
		rate *= 4
	}
	tr.at(tr.now.Add(time.Duration(tr.random.ExpFloat64()/rate*float64(time.Second))), func() { tr.send(tf) })
}

func (tr *Trial) tick() {
	if tr.now.Sub(start) > Duration {
		return
	}
	tr.step(queue.Ticked{})
	tr.look()
	tr.at(tr.now.Add(20*time.Millisecond), tr.tick)
}

// look checks the engines' KV memory.
func (tr *Trial) look() {
	if tr.kv == 0 {
		return
	}
	held := map[id.Upstream]id.Tokens{}
	for _, j := range tr.jobs {
		if j.upstream != "" && !j.stopped {
			held[j.upstream] += j.PromptTokens + tr.reached(j)
		}
	}
	for _, n := range held {
		tr.Looks++
		if n > tr.kv {
			tr.Overfull++
		}
	}
}

// Setting says what the engines are like.
type Setting struct {
	// Rigid engines can't resume.
	Rigid bool
	// InOrder engines read prompts as they come.
	InOrder bool
	// Slow divides the speed of engines "e0" to "e4".
	Slow map[id.Upstream]float64
	// KV bounds the tokens held at an engine; 0 means no bound.
	KV id.Tokens
}

func class(name id.Class, tier id.Tier, share float64) manifest.Class {
	return manifest.Class{
		Name: name, Tier: tier, FirstToken: time.Second, TotalDeadline: time.Hour,
		MinimumShare: share, QueueBound: queueBound,
	}
}

func (s Setting) engine(n int) queue.Upstream {
	return queue.Upstream{
		Name: id.Upstream(fmt.Sprintf("e%d", n)), Pools: []id.Pool{poolName}, FailureDomain: "a", Resumes: !s.Rigid,
		Capacity: manifest.Capacity{Slots: slots, KVTokens: s.KV, PrefillTokensPerSecond: prefillPerSec},
	}
}

// Play runs traffic of the classes "quick" (tier 1) and "dossier" (tier 2)
// over five engines of 16 slots. Equal seeds give equal trials.
func Play(q *queue.Queue, seed uint64, s Setting, streams ...Traffic) *Trial {
	tr := &Trial{
		q: q, now: start, random: rand.New(rand.NewPCG(seed, 1)), slow: s.Slow, inOrder: s.InOrder, kv: s.KV,
		prefill: map[lane]time.Time{}, active: map[id.Upstream]int{}, cache: map[id.Upstream][]uint64{},
		jobs: map[id.Reservation]*job{}, Scores: map[id.Workspace]*Score{},
	}
	configured := queue.Configured{Classes: []manifest.Class{class("quick", 1, 0), class("dossier", 2, 0.05)}}
	for n := range engines {
		configured.Upstreams = append(configured.Upstreams, s.engine(n))
	}
	tr.step(configured)
	for _, stream := range streams {
		tr.Scores[stream.Workspace] = &Score{}
		tr.at(start, func() { tr.send(stream) })
	}
	tr.at(start, tr.tick)
	tr.run()
	return tr
}

// run carries out the agenda until the end of the trial.
func (tr *Trial) run() {
	for len(tr.agenda) > 0 {
		next := heap.Pop(&tr.agenda).(moment)
		if next.at.Sub(start) > Duration {
			break
		}
		tr.now = next.at
		next.do()
	}
	for _, j := range tr.jobs {
		if j.upstream != "" && !j.stopped {
			tr.stop(j)
		}
	}
}
