package claim_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/claim"
	"samphirehead/state/id"
	"samphirehead/state/record"
)

// TestMain sets a fixed seed and number of checks. Flags on the command line
// take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fakeTable is a fake table service. lateWrites are in flight, to be applied
// later.
type fakeTable struct {
	rows          map[record.Key]record.Row
	lateWrites    []record.Write
	unconditional bool
}

func (f *fakeTable) apply(w record.Write) record.WriteResult {
	row := f.rows[w.Key]
	if row.Version != w.Expected && !f.unconditional {
		row.Key = w.Key
		return record.Conflicted{Rows: []record.Row{row}}
	}
	f.rows[w.Key] = record.Row{Key: w.Key, Version: row.Version + 1, Value: w.Value}
	return record.Written{Versions: []record.Version{row.Version + 1}}
}

// attempt is one call in progress at one instance.
type attempt struct {
	call      *claim.Call
	key       record.Key
	digest    string
	repeat    bool
	ranBefore bool // a call with the key ran before the attempt started
	runs      int
	outcome   claim.Outcome
	pending   []claim.Effect
	crashed   bool
}

// rule is a rule of the protocol that the harness can disable, to prove that
// its checks notice.
type rule string

const (
	none                 rule = "none"
	conditionalWrites    rule = "writes are conditional"
	confirmedMark        rule = "only a confirmed mark allows sending"
	markBeforeSend       rule = "the mark is written before sending"
	sentIsFinal          rule = "a sent claim is not taken over"
	lostAnswerMayHaveRun rule = "a lost answer is not reported as nothing sent"
	digestCheck          rule = "a key belongs to one body"
)

type harness struct {
	t        *rapid.T
	uniform  *rand.Rand
	disabled rule
	now      time.Time
	table    fakeTable
	attempts []*attempt
	runs     map[record.Key]int
	answers  map[record.Key]string
	outcomes map[string]int
}

// draw returns a number below n.
func (h *harness) draw(n int, label string) int {
	if h.uniform != nil {
		return h.uniform.IntN(n)
	}
	return rapid.IntRange(0, n-1).Draw(h.t, label)
}

func pickOne[V any](h *harness, values []V, label string) V {
	return values[h.draw(len(values), label)]
}

// newUniform returns nil or a source of uniform draws. Draws of rapid favor the
// ends of a range, but some faults need a long run of ordinary events.
func newUniform(t *rapid.T) *rand.Rand {
	if rapid.Bool().Draw(t, "biased draws") {
		return nil
	}
	return rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
}

const answerPrefix = "answer of "

func (h *harness) start() {
	key := record.Key(pickOne(h, []string{"a", "b"}, "key"))
	a := &attempt{
		key:       key,
		digest:    pickOne(h, []string{"x", "x", "x", "y"}, "body"),
		repeat:    h.draw(2, "repeat") == 1,
		ranBefore: h.runs[key] > 0,
	}
	n := len(h.attempts)
	a.call = &claim.Call{
		Key: key, Attempt: id.Attempt(fmt.Sprint(n)), Digest: a.digest, Repeat: a.repeat,
		Deadline: h.now.Add(time.Duration(h.draw(6000, "deadline")) * time.Millisecond),
	}
	h.attempts = append(h.attempts, a)
	h.step(a, claim.Started{})
}

func (h *harness) step(a *attempt, ev claim.Event) {
	for _, effect := range a.call.Step(h.now, ev) {
		switch e := effect.(type) {
		case claim.ReportOutcome:
			h.checkOutcome(a, e.Outcome)
		case claim.WakeAt, claim.Finished:
		default:
			a.pending = append(a.pending, e)
		}
	}
}

func (h *harness) checkOutcome(a *attempt, o claim.Outcome) {
	if a.outcome != nil {
		h.fail("two outcomes for one call")
	}
	a.outcome = o
	h.outcomes[fmt.Sprintf("%T", o)]++
	if n, ok := o.(claim.NotRun); ok && a.ranBefore && n.Reason() != claim.KeyReused {
		storeUnread := n.Reason() == claim.StoreUnavailable || n.Reason() == claim.DeadlinePassed
		if a.repeat || !storeUnread {
			h.fail("not_run (%s) for a key with an earlier run", n.Reason())
		}
	}
	if c, ok := o.(claim.Completed); ok {
		if string(c.Answer.Body) != h.answers[a.key] || !strings.HasSuffix(h.answers[a.key], a.digest) {
			h.fail("answer %q for body %s, but the run answered %q", c.Answer.Body, a.digest, h.answers[a.key])
		}
	}
}

// violation is the panic value for a broken invariant, which tells it apart from
// rapid's own panics.
type violation string

func (h *harness) fail(format string, args ...any) {
	panic(violation(fmt.Sprintf(format, args...)))
}

// pickPending draws an attempt that has a pending operation.
func (h *harness) pickPending() *attempt {
	var pending []*attempt
	for _, a := range h.attempts {
		if len(a.pending) > 0 && !a.crashed {
			pending = append(pending, a)
		}
	}
	if len(pending) == 0 {
		return nil
	}
	return pending[h.draw(len(pending), "attempt")]
}

func (h *harness) answer() {
	a := h.pickPending()
	if a == nil {
		return
	}
	effect := a.pending[0]
	a.pending = a.pending[1:]
	switch e := effect.(type) {
	case claim.WriteRow:
		h.step(a, claim.RowWritten{Result: h.write(e.Write)})
	case claim.ReadRow:
		h.step(a, h.read(e.Key))
	case claim.SendCall:
		h.step(a, claim.CallEnded{Evidence: h.send(a)})
	}
}

func (h *harness) write(w record.Write) record.WriteResult {
	if h.disabled == markBeforeSend && h.stateOf(w.Value) == claim.Sent {
		return record.Written{Versions: []record.Version{w.Expected}}
	}
	switch pickOne(h, []string{"ok", "ok", "ok", "ok", "lost answer", "lost", "late", "refused"}, "write") {
	case "lost answer":
		h.table.apply(w)
	case "lost":
	case "late":
		h.table.lateWrites = append(h.table.lateWrites, w)
	case "refused":
		return record.Refused{Err: os.ErrDeadlineExceeded}
	default:
		return h.alterResult(h.table.apply(w))
	}
	if h.disabled == confirmedMark && h.stateOf(w.Value) == claim.Sent {
		return record.Written{Versions: []record.Version{w.Expected + 1}}
	}
	return record.Unknown{Err: os.ErrDeadlineExceeded}
}

func (h *harness) stateOf(value []byte) claim.State {
	row, err := claim.DecodeRow(record.Row{Value: value})
	if err != nil {
		h.t.Fatal(err)
	}
	return row.State
}

// alterResult disables the rules that depend on the content of a row.
func (h *harness) alterResult(result record.WriteResult) record.WriteResult {
	if c, ok := result.(record.Conflicted); ok {
		c.Rows[0] = h.alterRow(c.Rows[0])
		return c
	}
	return result
}

func (h *harness) alterRow(r record.Row) record.Row {
	if r.Version == 0 || h.disabled != sentIsFinal && h.disabled != digestCheck {
		return r
	}
	row, err := claim.DecodeRow(r)
	if err != nil {
		h.t.Fatal(err)
	}
	if h.disabled == sentIsFinal && row.State == claim.Sent {
		row.State = claim.Claimed
	}
	if h.disabled == digestCheck {
		row.Digest = "x"
	}
	r.Value, _ = json.Marshal(row)
	return r
}

func (h *harness) read(key record.Key) claim.Event {
	if h.draw(5, "read") == 0 {
		return claim.RowRead{Err: os.ErrDeadlineExceeded}
	}
	row := h.table.rows[key]
	row.Key = key
	return claim.RowRead{Row: h.alterRow(row)}
}

func (h *harness) send(a *attempt) claim.Evidence {
	kind := pickOne(h, []string{"ran", "ran", "ran, answer lost", "lost", "nothing sent"}, "send")
	if strings.HasPrefix(kind, "ran") {
		a.runs++
		h.runs[a.key]++
		h.answers[a.key] = answerPrefix + a.digest
	}
	if kind == "ran" {
		return claim.Answered{Answer: claim.Answer{Status: 200, Body: []byte(answerPrefix + a.digest)}}
	}
	if kind == "nothing sent" || h.disabled == lostAnswerMayHaveRun {
		return claim.NothingSent{}
	}
	return claim.MayHaveSent{}
}

func (h *harness) applyLateWrite() {
	if len(h.table.lateWrites) == 0 {
		return
	}
	i := h.draw(len(h.table.lateWrites), "late")
	h.table.apply(h.table.lateWrites[i])
	h.table.lateWrites = append(h.table.lateWrites[:i], h.table.lateWrites[i+1:]...)
}

// advanceTime advances the clock. Each attempt either ticks or stays paused.
func (h *harness) advanceTime() {
	h.now = h.now.Add(time.Duration(pickOne(h, []int{1, 60, 60, 300, 600}, "ms")) * time.Millisecond)
	for _, a := range h.attempts {
		if !a.crashed && h.draw(4, "paused") > 0 {
			h.step(a, claim.Ticked{})
		}
	}
}

func (h *harness) crash() {
	if a := h.pickPending(); a != nil {
		a.crashed = true
	}
}

func (h *harness) disconnect() {
	if a := h.pickPending(); a != nil {
		h.step(a, claim.CallerDisconnected{})
	}
}

func (h *harness) checkInvariants() {
	for key, n := range h.runs {
		if n > 1 {
			h.fail("key %s ran %d times", key, n)
		}
	}
	for _, a := range h.attempts {
		if _, ok := a.outcome.(claim.NotRun); ok && a.runs > 0 {
			h.fail("not_run for a call that ran")
		}
	}
}

// stepCounter counts the steps of all scenarios of a test.
type stepCounter struct{ atomic.Int64 }

// runScenario runs random events and returns the invariant that they violated,
// if any.
func runScenario(t *rapid.T, disabled rule, steps *stepCounter, outcomes map[string]int) (violated string) {
	h := &harness{
		t: t, uniform: newUniform(t), disabled: disabled, now: time.Unix(1e9, 0), outcomes: outcomes,
		table:   fakeTable{rows: map[record.Key]record.Row{}, unconditional: disabled == conditionalWrites},
		runs:    map[record.Key]int{},
		answers: map[record.Key]string{},
	}
	defer func() {
		p := recover()
		if v, ok := p.(violation); ok {
			violated = string(v)
		} else if p != nil {
			panic(p)
		}
	}()
	actions := []func(){
		h.crash, h.disconnect, h.start, h.applyLateWrite, h.advanceTime, h.advanceTime,
		h.answer, h.answer, h.answer, h.answer, h.answer, h.answer, h.answer,
	}
	const crash, disconnect = 0, 1
	for range rapid.IntRange(30, 250).Draw(t, "steps") {
		i := h.draw(len(actions), "action")
		if (i == crash || i == disconnect) && h.draw(3, "skip") > 0 {
			continue
		}
		steps.Add(1)
		actions[i]()
		h.checkInvariants()
	}
	return ""
}

func TestInvariantsUnderRandomFaults(t *testing.T) {
	var steps stepCounter
	outcomes := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		if violated := runScenario(rt, none, &steps, outcomes); violated != "" {
			rt.Fatal(violated)
		}
	})
	t.Logf("%d steps, outcomes %v", steps.Load(), outcomes)
	for _, kind := range []string{"claim.Completed", "claim.Unknown", "claim.notRun"} {
		if outcomes[kind] == 0 {
			t.Errorf("no call ended as %s", kind)
		}
	}
}

func TestChecksDetectEachDisabledRule(t *testing.T) {
	for _, disabled := range []rule{conditionalWrites, confirmedMark, markBeforeSend, sentIsFinal, lostAnswerMayHaveRun, digestCheck} {
		t.Run(string(disabled), func(t *testing.T) {
			var steps stepCounter
			const seeds = 1000
			runs := rapid.Custom(func(rt *rapid.T) string {
				return runScenario(rt, disabled, &steps, map[string]int{})
			})
			caught := map[string]int{}
			for seed := range seeds {
				if violated := runs.Example(seed); violated != "" {
					caught[violated]++
				}
			}
			t.Logf("detected in %d seeds: %v", seeds, caught)
			if len(caught) == 0 {
				t.Error("no check detected the disabled rule")
			}
		})
	}
}
