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

// TestMain fixes the seed and the amount of work; flags of rapid on the
// command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fakeTable is the table service; writes may be left in flight.
type fakeTable struct {
	rows      map[record.Key]record.Row
	late      []record.Write
	unchecked bool
}

func (s *fakeTable) apply(w record.Write) record.WriteResult {
	row := s.rows[w.Key]
	if row.Version != w.Expected && !s.unchecked {
		row.Key = w.Key
		return record.Conflicted{Rows: []record.Row{row}}
	}
	s.rows[w.Key] = record.Row{Key: w.Key, Version: row.Version + 1, Value: w.Value}
	return record.Written{Versions: []record.Version{row.Version + 1}}
}

// attempt is one call under way at one instance.
type attempt struct {
	call    *claim.Call
	key     record.Key
	digest  string
	repeat  bool
	ranOnce bool // the key had run when the attempt started
	runs    int
	outcome claim.Outcome
	pending []claim.Effect
	crashed bool
}

// protection names a rule that the harness breaks on purpose.
type protection string

const (
	none            protection = "none"
	conditionalness protection = "writes are conditional"
	confirmedMark   protection = "only a confirmed mark allows sending"
	markBeforeSend  protection = "the mark is written before sending"
	sentIsFinal     protection = "a sent claim is not taken over"
	truthfulSend    protection = "a lost answer is not taken for nothing sent"
	digestCheck     protection = "a key belongs to one body"
)

type harness struct {
	t        *rapid.T
	even     *rand.Rand
	broken   protection
	now      time.Time
	table    fakeTable
	attempts []*attempt
	runs     map[record.Key]int
	answers  map[record.Key]string
	outcomes map[string]int
}

// draw returns a number below n.
func (h *harness) draw(n int, label string) int {
	if h.even != nil {
		return h.even.IntN(n)
	}
	return rapid.IntRange(0, n-1).Draw(h.t, label)
}

func pickOne[V any](h *harness, values []V, label string) V {
	return values[h.draw(len(values), label)]
}

// newEven returns nil, or a source of even draws. The draws of rapid favour the
// ends of a range, and some faults need long stretches of ordinary events.
func newEven(t *rapid.T) *rand.Rand {
	if rapid.Bool().Draw(t, "favour the ends") {
		return nil
	}
	return rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
}

const answerOf = "answer of "

func (h *harness) start() {
	key := record.Key(pickOne(h, []string{"a", "b"}, "key"))
	a := &attempt{
		key:     key,
		digest:  pickOne(h, []string{"x", "x", "x", "y"}, "body"),
		repeat:  h.draw(2, "repeat") == 1,
		ranOnce: h.runs[key] > 0,
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
		case claim.Tell:
			h.told(a, e.Outcome)
		case claim.WakeAt, claim.Finished:
		default:
			a.pending = append(a.pending, e)
		}
	}
}

func (h *harness) told(a *attempt, o claim.Outcome) {
	if a.outcome != nil {
		h.fail("two outcomes for one call")
	}
	a.outcome = o
	h.outcomes[fmt.Sprintf("%T", o)]++
	if n, ok := o.(claim.NotRun); ok && a.ranOnce && n.Reason() != claim.KeyReused {
		unread := n.Reason() == claim.StoreUnavailable || n.Reason() == claim.DeadlinePassed
		if a.repeat || !unread {
			h.fail("not_run (%s) for a key that had run", n.Reason())
		}
	}
	if c, ok := o.(claim.Completed); ok {
		if string(c.Answer.Body) != h.answers[a.key] || !strings.HasSuffix(h.answers[a.key], a.digest) {
			h.fail("answer %q for body %s, recorded %q", c.Answer.Body, a.digest, h.answers[a.key])
		}
	}
}

// violation is the panic of a broken promise; rapid's own failures pass
// through.
type violation string

func (h *harness) fail(format string, args ...any) {
	panic(violation(fmt.Sprintf(format, args...)))
}

// pick draws one attempt that has something open.
func (h *harness) pick() *attempt {
	var open []*attempt
	for _, a := range h.attempts {
		if len(a.pending) > 0 && !a.crashed {
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[h.draw(len(open), "attempt")]
}

func (h *harness) deliver() {
	a := h.pick()
	if a == nil {
		return
	}
	effect := a.pending[0]
	a.pending = a.pending[1:]
	switch e := effect.(type) {
	case claim.WriteRow:
		h.step(a, claim.WriteAnswered{Result: h.write(e.Write)})
	case claim.ReadRow:
		h.step(a, h.read(e.Key))
	case claim.SendCall:
		h.step(a, claim.CallEnded{Evidence: h.send(a)})
	}
}

func (h *harness) write(w record.Write) record.WriteResult {
	if h.broken == markBeforeSend && h.stateOf(w.Value) == claim.Sent {
		return record.Written{Versions: []record.Version{w.Expected}}
	}
	switch pickOne(h, []string{"ok", "ok", "ok", "ok", "lost answer", "lost", "late", "refused"}, "write") {
	case "lost answer":
		h.table.apply(w)
	case "lost":
	case "late":
		h.table.late = append(h.table.late, w)
	case "refused":
		return record.Refused{Err: os.ErrDeadlineExceeded}
	default:
		return h.alter(h.table.apply(w))
	}
	if h.broken == confirmedMark && h.stateOf(w.Value) == claim.Sent {
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

// alter breaks the rules that concern what a row says.
func (h *harness) alter(result record.WriteResult) record.WriteResult {
	if c, ok := result.(record.Conflicted); ok {
		c.Rows[0] = h.alterRow(c.Rows[0])
		return c
	}
	return result
}

func (h *harness) alterRow(r record.Row) record.Row {
	if r.Version == 0 || h.broken != sentIsFinal && h.broken != digestCheck {
		return r
	}
	row, err := claim.DecodeRow(r)
	if err != nil {
		h.t.Fatal(err)
	}
	if h.broken == sentIsFinal && row.State == claim.Sent {
		row.State = claim.Claimed
	}
	if h.broken == digestCheck {
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
		h.answers[a.key] = answerOf + a.digest
	}
	if kind == "ran" {
		return claim.Answered{Answer: claim.Answer{Status: 200, Body: []byte(answerOf + a.digest)}}
	}
	if kind == "nothing sent" || h.broken == truthfulSend {
		return claim.NothingSent{}
	}
	return claim.MayHaveSent{}
}

func (h *harness) landLate() {
	if len(h.table.late) == 0 {
		return
	}
	i := h.draw(len(h.table.late), "late")
	h.table.apply(h.table.late[i])
	h.table.late = append(h.table.late[:i], h.table.late[i+1:]...)
}

// pass lets time go by; attempts tick or stay paused.
func (h *harness) pass() {
	h.now = h.now.Add(time.Duration(pickOne(h, []int{1, 60, 60, 300, 600}, "ms")) * time.Millisecond)
	for _, a := range h.attempts {
		if !a.crashed && h.draw(4, "paused") > 0 {
			h.step(a, claim.Ticked{})
		}
	}
}

func (h *harness) crash() {
	if a := h.pick(); a != nil {
		a.crashed = true
	}
}

func (h *harness) leave() {
	if a := h.pick(); a != nil {
		h.step(a, claim.CallerLeft{})
	}
}

func (h *harness) check() {
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

// stepsTaken counts the steps of all scenarios of a test.
type stepsTaken struct{ atomic.Int64 }

// scenario plays random events and returns the promise that was broken, if any.
func scenario(t *rapid.T, broken protection, taken *stepsTaken, outcomes map[string]int) (broke string) {
	h := &harness{
		t: t, even: newEven(t), broken: broken, now: time.Unix(1e9, 0), outcomes: outcomes,
		table:   fakeTable{rows: map[record.Key]record.Row{}, unchecked: broken == conditionalness},
		runs:    map[record.Key]int{},
		answers: map[record.Key]string{},
	}
	defer func() {
		p := recover()
		if v, ok := p.(violation); ok {
			broke = string(v)
		} else if p != nil {
			panic(p)
		}
	}()
	actions := []func(){
		h.crash, h.leave, h.start, h.landLate, h.pass, h.pass,
		h.deliver, h.deliver, h.deliver, h.deliver, h.deliver, h.deliver, h.deliver,
	}
	const crash, leave = 0, 1
	for range rapid.IntRange(30, 250).Draw(t, "steps") {
		i := h.draw(len(actions), "action")
		if (i == crash || i == leave) && h.draw(3, "spared") > 0 {
			continue
		}
		taken.Add(1)
		actions[i]()
		h.check()
	}
	return ""
}

func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	var taken stepsTaken
	outcomes := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		if broke := scenario(rt, none, &taken, outcomes); broke != "" {
			rt.Fatal(broke)
		}
	})
	t.Logf("%d steps, outcomes %v", taken.Load(), outcomes)
	for _, kind := range []string{"claim.Completed", "claim.Unknown", "claim.notRun"} {
		if outcomes[kind] == 0 {
			t.Errorf("no call ended as %s", kind)
		}
	}
}

func TestChecksCatchEachProtectionOff(t *testing.T) {
	for _, p := range []protection{conditionalness, confirmedMark, markBeforeSend, sentIsFinal, truthfulSend, digestCheck} {
		t.Run(string(p), func(t *testing.T) {
			var taken stepsTaken
			const seeds = 1000
			runs := rapid.Custom(func(rt *rapid.T) string {
				return scenario(rt, p, &taken, map[string]int{})
			})
			caught := map[string]int{}
			for seed := range seeds {
				if broke := runs.Example(seed); broke != "" {
					caught[broke]++
				}
			}
			t.Logf("caught in %d seeds: %v", seeds, caught)
			if len(caught) == 0 {
				t.Error("no check caught it")
			}
		})
	}
}
