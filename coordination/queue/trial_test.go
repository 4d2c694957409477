package queue_test

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

// The trials drive one queue with arithmetic engines, to compare ways of
// deciding: go test -run xxx -bench Trial -benchtime 1x ./coordination/queue

const (
	trialTime     = 60 * time.Second
	tokenTime     = 20 * time.Millisecond
	prefillPerSec = 8000
	// slowestToken is the target between two tokens.
	slowestToken = 80 * time.Millisecond
)

// traffic is a stream of requests of one class and workspace.
type traffic struct {
	class     id.Class
	workspace id.Workspace
	perSecond float64
	// bursts multiply the rate by 4 for one second of each four.
	bursts bool
	prompt id.Tokens
	// answer is the mean length.
	answer int
	target time.Duration
	// prefixes is from how many shared prompt prefixes requests draw.
	prefixes int
	// disguised requests carry the jurors' workspace.
	disguised bool
}

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

type trial struct {
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
	// overfull is how often an engine was seen to hold more KV tokens than
	// it has, of looks.
	overfull, looks int
	kv              id.Tokens
	scores          map[id.Workspace]*score
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

type score struct {
	sent, met, refused, preempted int
	tokens                        id.Tokens
	first                         []time.Duration
}

func (tr *trial) at(t time.Time, do func()) {
	tr.seq++
	heap.Push(&tr.agenda, moment{t, tr.seq, do})
}

func (tr *trial) step(ev queue.Event) {
	for _, e := range tr.q.Step(tr.now, ev) {
		switch e := e.(type) {
		case queue.Granted:
			tr.run(tr.jobs[e.Reservation], e.Upstream)
		case queue.Refused:
			tr.scores[tr.jobs[e.Reservation].scored].refused++
		case queue.Preempted:
			tr.preempt(tr.jobs[e.Reservation])
		}
	}
}

// run reads prompts one after another and then adds tokens at a pace that
// falls with the engine's load.
func (tr *trial) run(j *job, u id.Upstream) {
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
			s := tr.scores[j.scored]
			s.first = append(s.first, tr.now.Sub(started))
			if !tr.now.After(j.FirstTokenBy) && j.token <= slowestToken {
				s.met++
			}
		}
		tr.progress(j)
	})
	tr.at(first.Add(time.Duration(j.answer-j.ResumeOffset)*j.token), func() { tr.finish(j, first.Sub(started)) })
}

// cached returns the prompt tokens in the engine's cache of eight prefixes.
func (tr *trial) cached(u id.Upstream, j *job) id.Tokens {
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

func (tr *trial) progress(j *job) {
	if j.stopped {
		return
	}
	tr.step(queue.Progressed{Reservation: j.Reservation, Tokens: tr.reached(j)})
	tr.at(tr.now.Add(250*time.Millisecond), func() { tr.progress(j) })
}

func (tr *trial) reached(j *job) id.Tokens {
	if tr.now.Before(j.firstAt) {
		return j.ResumeOffset
	}
	return min(j.answer, j.ResumeOffset+1+id.Tokens(tr.now.Sub(j.firstAt)/j.token))
}

func (tr *trial) finish(j *job, first time.Duration) {
	if j.stopped {
		return
	}
	tr.stop(j)
	tr.step(queue.Released{Reservation: j.Reservation, Tokens: j.answer, Outcome: queue.Completed, FirstToken: first})
}

func (tr *trial) stop(j *job) {
	j.stopped = true
	tr.active[j.upstream]--
	tr.scores[j.scored].tokens += tr.reached(j) - j.ResumeOffset
}

func (tr *trial) preempt(j *job) {
	tr.scores[j.scored].preempted++
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

func (tr *trial) send(tf traffic) {
	if tr.now.Sub(start) > trialTime {
		return
	}
	name := fmt.Sprintf("r%d", len(tr.jobs))
	j := &job{scored: tf.workspace, answer: id.Tokens(1 + tr.random.ExpFloat64()*float64(tf.answer))}
	j.Arrived = queue.Arrived{
		Reservation: id.Reservation(name), Request: id.Request(name), Pool: poolName, Class: tf.class,
		Workspace: tf.workspace, Holder: "entry-1", PromptTokens: tf.prompt,
		FirstTokenBy: tr.now.Add(tf.target), Deadline: tr.now.Add(10 * time.Minute),
	}
	if tf.disguised {
		j.Workspace = jurors.workspace
	}
	if tf.prefixes > 0 {
		j.Prefix = []uint64{1 + tr.random.Uint64N(uint64(tf.prefixes))}
	}
	tr.jobs[j.Reservation] = j
	tr.scores[tf.workspace].sent++
	tr.step(j.Arrived)
	rate := tf.perSecond
	if tf.bursts && int(tr.now.Sub(start)/time.Second)%4 == 0 {
		rate *= 4
	}
	tr.at(tr.now.Add(time.Duration(tr.random.ExpFloat64()/rate*float64(time.Second))), func() { tr.send(tf) })
}

func (tr *trial) tick() {
	if tr.now.Sub(start) > trialTime {
		return
	}
	tr.step(queue.Ticked{})
	tr.look()
	tr.at(tr.now.Add(20*time.Millisecond), tr.tick)
}

// look checks the engines' KV memory.
func (tr *trial) look() {
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
		tr.looks++
		if n > tr.kv {
			tr.overfull++
		}
	}
}

// setting says what the engines are like.
type setting struct {
	// rigid engines can't resume.
	rigid   bool
	inOrder bool
	slow    map[id.Upstream]float64
	kv      id.Tokens
}

// play runs the traffic for a minute over five engines of 16 slots.
func play(q *queue.Queue, seed uint64, s setting, streams ...traffic) *trial {
	tr := &trial{
		q: q, now: start, random: rand.New(rand.NewPCG(seed, 1)), slow: s.slow, inOrder: s.inOrder, kv: s.kv,
		prefill: map[lane]time.Time{}, active: map[id.Upstream]int{}, cache: map[id.Upstream][]uint64{},
		jobs: map[id.Reservation]*job{}, scores: map[id.Workspace]*score{"jurors": {}, "archive": {}, "flood": {}},
	}
	quick, dossier := class("quick", 1, 0), class("dossier", 2, 0.05)
	quick.QueueBound, dossier.QueueBound = 200, 200
	var engines []queue.Upstream
	for i := range 5 {
		e := engine(id.Upstream(fmt.Sprintf("e%d", i)), 16)
		e.Resumes = !s.rigid
		e.Capacity.KVTokens = s.kv
		e.Capacity.PrefillTokensPerSecond = prefillPerSec
		engines = append(engines, e)
	}
	tr.step(configured([]manifest.Class{quick, dossier}, engines...))
	for _, stream := range streams {
		tr.at(start, func() { tr.send(stream) })
	}
	tr.at(start, tr.tick)
	for len(tr.agenda) > 0 {
		next := heap.Pop(&tr.agenda).(moment)
		if next.at.Sub(start) > trialTime {
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
	return tr
}
