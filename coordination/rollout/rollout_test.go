package rollout_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/rollout"
	"samphirehead/state/id"
	"samphirehead/state/record"
)

// TestMain fixes the seed and the number of checks. Flags of rapid on the
// command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// safeguard is a rule of the protocol that the harness can disable, to show
// that its checks detect the violations that follow.
type rule string

const (
	none                rule = "none"
	conditionalWrites   rule = "writes are conditional"
	lossIsNoRefusal     rule = "a lost response does not count as a refusal"
	lossIsNoSuccess     rule = "a lost response does not count as success"
	peerSendsOwnVersion rule = "a peer sends the version that it has"
	atomicWrites        rule = "current and history rows change together"
)

// errFault stands for any failure of the platform or a peer.
var errFault = os.ErrDeadlineExceeded

type fakeTable struct {
	rows     map[record.Key]record.Row
	objects  map[string][]byte
	delayed  [][]record.Write
	disabled rule
}

func (f *fakeTable) apply(writes []record.Write) record.WriteResult {
	var conflicts []record.Row
	for _, w := range writes {
		if row := f.rows[w.Key]; row.Version != w.Expected {
			row.Key = w.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 && f.disabled != conditionalWrites {
		return record.Conflicted{Rows: conflicts}
	}
	var versions []record.Version
	for n, w := range writes {
		if n > 0 && f.disabled == atomicWrites {
			versions = append(versions, 1)
			continue
		}
		row := record.Row{Key: w.Key, Version: f.rows[w.Key].Version + 1, Value: w.Value}
		f.rows[w.Key] = row
		versions = append(versions, row.Version)
	}
	return record.Written{Versions: versions}
}

// instance is one process with its rollout.
type instance struct {
	name    id.Instance
	rollout *rollout.Rollout
	yaml    string
	version id.ManifestVersion
	pending []rollout.Effect
}

// operation is one attempt of an operator to apply a manifest.
type operation struct {
	apply    *rollout.Apply
	pending  []rollout.ApplyEffect
	result   rollout.ApplyResult
	crashed  bool
	repeated bool
}

type harness struct {
	t          *rapid.T
	uniform    *rand.Rand
	now        time.Time
	table      fakeTable
	instances  []*instance
	operations []*operation
	// accepted maps each version to the manifest that was accepted as it.
	accepted    map[id.ManifestVersion]string
	results     map[string]int
	faultsEnded bool
}

type violation string

func (h *harness) fail(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// draw returns a number below n, or 0 after the faults have ended.
func (h *harness) draw(n int, label string) int {
	if n <= 1 || h.faultsEnded {
		return 0
	}
	if h.uniform != nil {
		return h.uniform.IntN(n)
	}
	return rapid.IntRange(0, n-1).Draw(h.t, label)
}

// newUniform returns a source of uniform draws, or nil to let rapid draw. The
// draws of rapid favour the ends of a range, and some faults need long runs of
// ordinary events.
func newUniform(t *rapid.T) *rand.Rand {
	if rapid.Bool().Draw(t, "favour the ends") {
		return nil
	}
	return rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
}

func (h *harness) restart(inst *instance) {
	*inst = instance{name: inst.name, rollout: &rollout.Rollout{}}
	h.step(inst, rollout.Started{})
}

func (h *harness) step(inst *instance, ev rollout.Event) {
	for _, effect := range inst.rollout.Step(h.now, ev) {
		switch e := effect.(type) {
		case rollout.Install:
			h.installed(inst, e)
		case rollout.WakeAt:
		default:
			inst.pending = append(inst.pending, e)
		}
	}
}

func (h *harness) installed(inst *instance, e rollout.Install) {
	if e.Version <= inst.version {
		h.fail("version went from %d to %d", inst.version, e.Version)
	}
	inst.version, inst.yaml = e.Version, string(e.YAML)
	if acceptedYAML := h.accepted[e.Version]; acceptedYAML != inst.yaml {
		h.fail("version %d is active as %q but was accepted as %q", e.Version, inst.yaml, acceptedYAML)
	}
}

func (h *harness) sendVersion() {
	from := h.instances[h.draw(len(h.instances), "from")]
	to := h.instances[h.draw(len(h.instances), "to")]
	h.step(to, rollout.VersionReceived{Version: from.version, From: from.name})
	if from.version > to.version && !to.rollout.Behind() {
		h.fail("an instance that received version %d is not behind at version %d", from.version, to.version)
	}
}

func (h *harness) deliver() {
	inst := h.instances[h.draw(len(h.instances), "instance")]
	h.deliverTo(inst)
}

func (h *harness) deliverTo(inst *instance) {
	if len(inst.pending) == 0 {
		return
	}
	effect := inst.pending[0]
	inst.pending = inst.pending[1:]
	failed := h.draw(4, "fault") == 1
	switch e := effect.(type) {
	case rollout.ReadCurrentRow:
		if failed {
			h.step(inst, rollout.CurrentRowRead{Err: errFault})
			return
		}
		h.step(inst, rollout.CurrentRowRead{Row: h.table.rows[rollout.CurrentKey]})
	case rollout.FetchObject:
		if failed {
			h.step(inst, rollout.FetchFailed{})
			return
		}
		h.step(inst, rollout.Fetched{Version: e.Version, YAML: h.table.objects[e.Object]})
	case rollout.FetchFromPeer:
		h.step(inst, h.fetchFromPeer(e, failed))
	}
}

func (h *harness) fetchFromPeer(e rollout.FetchFromPeer, failed bool) rollout.Event {
	for _, peer := range h.instances {
		if peer.name != e.Instance || failed || peer.version == 0 {
			continue
		}
		version := peer.version
		if h.table.disabled == peerSendsOwnVersion {
			version = e.Version
		}
		return rollout.Fetched{Version: version, YAML: []byte(peer.yaml)}
	}
	return rollout.FetchFailed{}
}

func (h *harness) apply() {
	n := len(h.operations)
	o := &operation{apply: &rollout.Apply{
		Base:      h.instances[h.draw(len(h.instances), "author")].version,
		Operation: id.Attempt(fmt.Sprint(n)),
		YAML:      []byte(fmt.Sprintf("manifest %d", n)),
		Deadline:  h.now.Add(time.Duration(h.draw(1000, "deadline")) * time.Millisecond),
	}}
	h.start(o)
}

// repeat starts an earlier operation again, as a client does that received no
// response.
func (h *harness) repeat() {
	if len(h.operations) == 0 {
		return
	}
	original := h.operations[h.draw(len(h.operations), "operation")]
	original.repeated = true
	h.start(&operation{repeated: true, apply: &rollout.Apply{
		Base: original.apply.Base, Operation: original.apply.Operation, YAML: original.apply.YAML, Deadline: h.now.Add(time.Second),
	}})
}

func (h *harness) start(o *operation) {
	h.operations = append(h.operations, o)
	h.stepApply(o, rollout.ApplyStarted{})
}

func (h *harness) stepApply(o *operation, ev rollout.ApplyEvent) {
	for _, effect := range o.apply.Step(h.now, ev) {
		switch e := effect.(type) {
		case rollout.ApplyFinished:
			o.result = e.Result
			h.results[fmt.Sprintf("%T", e.Result)]++
		case rollout.ApplyWakeAt:
		default:
			o.pending = append(o.pending, e)
		}
	}
}

func (h *harness) deliverApply() {
	var waiting []*operation
	for _, o := range h.operations {
		if len(o.pending) > 0 && !o.crashed {
			waiting = append(waiting, o)
		}
	}
	if len(waiting) == 0 {
		return
	}
	o := waiting[h.draw(len(waiting), "operation")]
	effect := o.pending[0]
	o.pending = nil
	switch e := effect.(type) {
	case rollout.ReadRows:
		if h.draw(5, "read") == 1 {
			h.stepApply(o, rollout.RowsRead{Err: errFault})
			return
		}
		var rows []record.Row
		for _, key := range e.Keys {
			if row, ok := h.table.rows[key]; ok {
				rows = append(rows, row)
			}
		}
		h.stepApply(o, rollout.RowsRead{Rows: rows})
	case rollout.PutObject:
		h.table.objects[e.Name] = e.Body
		var err error
		if h.draw(5, "put") == 1 {
			err = errFault
		}
		h.stepApply(o, rollout.ObjectPut{Err: err})
	case rollout.WriteRows:
		h.stepApply(o, rollout.RowsWritten{Result: h.write(e.Writes)})
	}
}

func (h *harness) write(writes []record.Write) record.WriteResult {
	faults := []string{"", "", "", "lost response", "lost write", "delayed write", "refused"}
	switch faults[h.draw(len(faults), "write")] {
	case "lost response":
		h.commit(writes)
	case "lost write":
	case "delayed write":
		h.table.delayed = append(h.table.delayed, writes)
	case "refused":
		return record.Refused{Err: errFault}
	default:
		return h.commit(writes)
	}
	if h.table.disabled == lossIsNoRefusal {
		return record.Refused{Err: errFault}
	}
	if h.table.disabled == lossIsNoSuccess {
		return record.Written{Versions: []record.Version{1, 1}}
	}
	return record.Unknown{Err: errFault}
}

// commit applies writes and records which manifest was accepted.
func (h *harness) commit(writes []record.Write) record.WriteResult {
	previous := h.current()
	result := h.table.apply(writes)
	if _, ok := result.(record.Written); !ok {
		return result
	}
	row := h.current()
	if row.Version <= previous.Version {
		h.fail("accepted version went from %d to %d", previous.Version, row.Version)
	}
	h.accepted[row.Version] = string(h.table.objects[row.Object])
	return result
}

func (h *harness) current() rollout.Row {
	row, err := rollout.DecodeRow(h.table.rows[rollout.CurrentKey])
	if err != nil {
		h.t.Fatal(err)
	}
	return row
}

func (h *harness) commitDelayed() {
	if len(h.table.delayed) == 0 {
		return
	}
	n := h.draw(len(h.table.delayed), "late")
	writes := h.table.delayed[n]
	h.table.delayed = append(h.table.delayed[:n:n], h.table.delayed[n+1:]...)
	h.commit(writes)
}

func (h *harness) advanceTime() {
	h.now = h.now.Add(time.Duration(1+h.draw(700, "ms")) * time.Millisecond)
	if h.faultsEnded {
		h.now = h.now.Add(time.Second)
	}
	for _, inst := range h.instances {
		if h.draw(4, "paused") != 1 {
			h.step(inst, rollout.Ticked{})
		}
	}
	for _, o := range h.operations {
		if !o.crashed && h.draw(4, "paused") != 1 {
			h.stepApply(o, rollout.ApplyTicked{})
		}
	}
}

func (h *harness) crash() {
	if h.draw(3, "what") == 0 {
		h.restart(h.instances[h.draw(len(h.instances), "instance")])
		return
	}
	if len(h.operations) > 0 {
		h.operations[h.draw(len(h.operations), "operation")].crashed = true
	}
}

// checkResults compares the results of operations with what was accepted.
func (h *harness) checkResults() {
	for _, o := range h.operations {
		accepted := h.accepted[o.apply.Base+1] == string(o.apply.YAML)
		switch o.result.(type) {
		case rollout.Accepted:
			if !accepted {
				h.fail("the result is Accepted, but the manifest was not accepted")
			}
		case rollout.Conflict:
			if accepted {
				h.fail("the result is Conflict, but the manifest was accepted")
			}
		case rollout.NotApplied:
			if accepted && !o.repeated {
				h.fail("the result is NotApplied, but the manifest was accepted")
			}
		}
	}
}

// checkConvergence ends the faults and checks that all instances reach the
// latest accepted version.
func (h *harness) checkConvergence() {
	h.faultsEnded = true
	for len(h.table.delayed) > 0 {
		h.commitDelayed()
		h.checkResults()
	}
	for range 6 {
		h.advanceTime()
		for _, inst := range h.instances {
			for len(inst.pending) > 0 {
				h.deliverTo(inst)
			}
		}
	}
	for _, inst := range h.instances {
		if inst.version != h.current().Version {
			h.fail("instance stays at version %d, the latest accepted is %d", inst.version, h.current().Version)
		}
	}
}

func runScenario(t *rapid.T, disabled rule, steps *atomic.Int64, results map[string]int) (violated string) {
	h := &harness{
		t: t, uniform: newUniform(t), now: time.Unix(1e9, 0), results: results,
		table:    fakeTable{rows: map[record.Key]record.Row{}, objects: map[string][]byte{}, disabled: disabled},
		accepted: map[id.ManifestVersion]string{},
	}
	defer func() {
		p := recover()
		if v, ok := p.(violation); ok {
			violated = string(v)
		} else if p != nil {
			panic(p)
		}
	}()
	for n := range 3 {
		inst := &instance{name: id.Instance(fmt.Sprint(n))}
		h.instances = append(h.instances, inst)
		h.restart(inst)
	}
	actions := []func(){
		h.apply, h.repeat, h.deliverApply, h.deliverApply, h.deliverApply, h.deliverApply,
		h.deliver, h.deliver, h.deliver, h.sendVersion, h.sendVersion, h.commitDelayed, h.advanceTime, h.crash,
	}
	for range 20 + rapid.IntRange(0, 100).Draw(t, "steps") {
		steps.Add(1)
		actions[h.draw(len(actions), "action")]()
		h.checkResults()
	}
	h.checkConvergence()
	return ""
}

func TestInvariantsUnderRandomFaults(t *testing.T) {
	var steps atomic.Int64
	results := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		if violated := runScenario(rt, none, &steps, results); violated != "" {
			rt.Fatal(violated)
		}
	})
	t.Logf("%d steps, results %v", steps.Load(), results)
	if len(results) != 4 {
		t.Errorf("got results %v, want all four kinds", results)
	}
}

func TestChecksDetectEachDisabledRule(t *testing.T) {
	for _, disabled := range []rule{conditionalWrites, lossIsNoRefusal, lossIsNoSuccess, peerSendsOwnVersion, atomicWrites} {
		t.Run(string(disabled), func(t *testing.T) {
			var steps atomic.Int64
			const seeds = 500
			runs := rapid.Custom(func(rt *rapid.T) string { return runScenario(rt, disabled, &steps, map[string]int{}) })
			caught := 0
			example := ""
			for seed := range seeds {
				if violated := runs.Example(seed); violated != "" {
					caught++
					example = violated
				}
			}
			t.Logf("detected in %d of %d seeds, for example: %s", caught, seeds, example)
			if caught == 0 {
				t.Error("no check detected the disabled safeguard")
			}
		})
	}
}

func TestIsolated(t *testing.T) {
	start := time.Unix(1e9, 0)
	cases := []struct {
		name  string
		event rollout.Event
		want  bool
	}{
		{"no contact", rollout.Ticked{}, true},
		{"platform read failed", rollout.CurrentRowRead{Err: errFault}, true},
		{"platform read succeeded", rollout.CurrentRowRead{}, false},
		{"message from peer", rollout.VersionReceived{From: "b"}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var r rollout.Rollout
			r.Step(start, rollout.Started{})
			now := start.Add(6 * time.Second)
			r.Step(now, tc.event)
			if got := r.Isolated(now); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
