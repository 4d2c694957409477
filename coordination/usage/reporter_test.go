package usage_test

import (
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/usage"
	"samphirehead/state/id"
	"samphirehead/state/record"
)

const (
	length   = 5 * time.Second
	lateness = 10 * time.Second
	// first is the window in which the tests begin.
	first = usage.Window(1000)
)

var errAway = errors.New("away")

// platform holds the rows of reports and takes reports. It fails the test if it gets two
// different ones for a window.
type platform struct {
	t       rapid.TB
	rows    map[record.Key]record.Row
	version record.Version
	taken   map[usage.Window]usage.Counts
	// number is the last fencing number that was given out.
	number id.FencingNumber
	// era counts how often the rows were restored, from 1.
	era uint64
	// away, lostWrites and lostReports fail calls; the lost ones take effect.
	away, lostWrites, lostReports bool
}

func newPlatform(t rapid.TB) *platform {
	return &platform{t: t, era: 1, rows: make(map[record.Key]record.Row), taken: make(map[usage.Window]usage.Counts)}
}

func (p *platform) write(w record.Write) record.WriteResult {
	current := p.rows[w.Key]
	switch {
	case p.away:
		return record.Refused{Err: errAway}
	case current.Version != w.Expected:
		return record.Conflicted{Rows: []record.Row{current}}
	}
	p.version++
	p.rows[w.Key] = record.Row{Key: w.Key, Version: p.version, Value: w.Value}
	if p.lostWrites {
		return record.Unknown{Err: errAway}
	}
	return record.Written{Versions: []record.Version{p.version}}
}

func (p *platform) take(r usage.Report) error {
	if p.away {
		return errAway
	}
	if before, known := p.taken[r.Window]; known && !maps.Equal(before, r.Counts) {
		p.t.Errorf("window %d: %v after %v", r.Window, r.Counts, before)
	}
	p.taken[r.Window] = r.Counts
	if p.lostReports {
		return errAway
	}
	return nil
}

// holder is an instance that may hold the duty.
type holder struct {
	*platform
	usage.Ledger
	usage.Reporter
	// peers are the others that it asks, and silent is set if one more doesn't answer.
	peers  []*holder
	silent bool
}

func newHolder(p *platform, name id.Instance) *holder {
	h := &holder{platform: p}
	h.Self = usage.Process{Instance: name, Incarnation: 1}
	h.Reporter = usage.Reporter{Ledger: &h.Ledger, Windows: &usage.Windows{Length: length}, Lateness: lateness, Lease: leaseTime}
	return h
}

// acquire lets the holder acquire the duty.
func (h *holder) acquire(now time.Time) {
	h.number = max(h.number, id.FirstFencingNumber(h.era)) + 1
	h.Step(now, usage.Acquired{FencingNumber: h.number})
}

func (h *holder) recall(number id.FencingNumber) usage.Recalled {
	result := usage.Recalled{All: !h.silent}
	for _, p := range h.peers {
		p.Hear(number, time.Time{})
		result.Histories = append(result.Histories, p.History())
	}
	return result
}

// run ticks once and carries out what follows, until there is nothing more or it fails. stop
// ends it before an effect of the same type as stop.
func (h *holder) run(now time.Time, stop usage.Effect, live ...id.Instance) {
	for range 20 {
		effect := h.Step(now, usage.Ticked{Live: live})
		if _, sends := effect.(usage.Send); effect == nil || sends && stop != nil {
			return
		}
		h.Step(now, h.do(effect))
		if _, asked := effect.(usage.Recall); asked && !h.Certain() {
			return
		}
	}
}

// do carries out an effect and returns its result.
func (h *holder) do(effect usage.Effect) usage.Event {
	switch effect := effect.(type) {
	case usage.ReadRows:
		return usage.RowsRead{Rows: slices.Collect(maps.Values(h.rows)), Era: h.era}
	case usage.Recall:
		return h.recall(effect.FencingNumber)
	case usage.WriteRow:
		return usage.RowWritten{Result: h.write(effect.Write), Era: h.era}
	case usage.Send:
		return usage.Sent{Err: h.take(effect.Report)}
	}
	panic("unknown effect")
}

// end returns a time after the end of a window.
func end(w usage.Window, after time.Duration) time.Time {
	return time.Unix(0, int64(w+1)*int64(length)).Add(after)
}

// countsOfB returns the counts of the first process of an instance b.
func countsOfB(windows map[usage.Window]usage.Counts) usage.ProcessCounts {
	return usage.ProcessCounts{Process: usage.Process{Instance: "b", Incarnation: 1}, Windows: windows}
}

func (p *platform) wantTaken(w usage.Window, want usage.Counts) {
	p.t.Helper()
	if !maps.Equal(p.taken[w], want) {
		p.t.Errorf("window %d: reported %v, want %v", w, p.taken[w], want)
	}
}

func TestReportWaitsForInstancesThatHaveNotToldTheirCounts(t *testing.T) {
	p := newPlatform(t)
	h := newHolder(p, "a")
	h.acquire(end(first-1, 0))
	h.Count(first, "w1")
	h.Enter(first + 1)
	h.run(end(first, 2*time.Second), nil, "a", "b")
	p.wantTaken(first, nil)
	h.Merge(countsOfB(map[usage.Window]usage.Counts{first: {"w1": 2, "w2": 3}, first + 1: {}}), first+1)
	h.run(end(first, 3*time.Second), nil, "a", "b")
	p.wantTaken(first, usage.Counts{"w1": 3, "w2": 3})
}

// Guards against a report that is too late because an instance no longer answers.
func TestReportOfAnInstanceThatFallsSilentIsSentInTime(t *testing.T) {
	p := newPlatform(t)
	h := newHolder(p, "a")
	h.acquire(end(first-1, 0))
	h.Merge(countsOfB(map[usage.Window]usage.Counts{first: {"w1": 2}}), first)
	h.run(end(first, lateness/2), nil, "a", "b")
	p.wantTaken(first, usage.Counts{"w1": 2})
}

// Guards against counts that are lost with a process, or replaced by those of its successor.
func TestCountsOfARestartedInstanceAdd(t *testing.T) {
	p := newPlatform(t)
	h := newHolder(p, "a")
	h.acquire(end(first-1, 0))
	h.Merge(countsOfB(map[usage.Window]usage.Counts{first: {"w1": 2}}), first)
	again := countsOfB(map[usage.Window]usage.Counts{first: {"w1": 1}, first + 1: {}})
	again.Incarnation = 2
	h.Merge(again, first+1)
	h.Merge(again, first+1)
	h.Enter(first + 1)
	h.run(end(first, 2*time.Second), nil, "a", "b")
	p.wantTaken(first, usage.Counts{"w1": 3})
}

// Guards against two reports that differ, when the holder changes between what it writes
// down, sends and hears of, and its successor has other counts.
func TestSuccessorSendsWhatWasWrittenDown(t *testing.T) {
	for name, fault := range map[string]func(p *platform, first *holder) (stop usage.Effect){
		"before it is sent":          func(*platform, *holder) usage.Effect { return usage.Send{} },
		"after a lost answer":        func(p *platform, _ *holder) usage.Effect { p.lostReports = true; return nil },
		"after a write that is lost": func(p *platform, _ *holder) usage.Effect { p.lostWrites = true; return usage.Send{} },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlatform(t)
			before, after := newHolder(p, "a"), newHolder(p, "b")
			before.acquire(end(first-1, 0))
			before.Count(first, "w1")
			after.Count(first, "w1")
			after.Count(first, "w1")
			stop := fault(p, before)
			before.run(end(first, 5*time.Second), stop)
			p.lostReports, p.lostWrites = false, false
			now := end(first, 6*time.Second)
			before.Step(now, usage.Lost{})
			after.acquire(now)
			after.run(now, nil)
			before.acquire(now)
			before.run(now.Add(time.Second), nil)
			p.wantTaken(first, usage.Counts{"w1": 1})
			if after.Settled() != first {
				t.Errorf("settled up to %d, want %d", after.Settled(), first)
			}
		})
	}
}

// Guards against reports that are lost, or differ, when the platform is away for longer than
// their lateness allows.
func TestReportsFollowOnceThePlatformIsBack(t *testing.T) {
	p := newPlatform(t)
	h := newHolder(p, "a")
	h.acquire(end(first-1, 0))
	for w := first; w < first+5; w++ {
		h.Count(w, "w1")
	}
	p.away = true
	h.run(end(first+1, 0), nil)
	h.run(end(first+4, 5*time.Second), nil)
	p.away = false
	for range 3 {
		h.run(end(first+4, 6*time.Second), nil)
	}
	for w := first; w < first+5; w++ {
		p.wantTaken(w, usage.Counts{"w1": 1})
	}
}

// Guards against rows that grow without bound.
func TestRowsOfOldReportsAreReplaced(t *testing.T) {
	p := newPlatform(t)
	h := newHolder(p, "a")
	h.acquire(end(first-1, 0))
	for w := first; w < first+40; w++ {
		h.Count(w, "w1")
		h.run(end(w, 5*time.Second), nil)
		p.wantTaken(w, usage.Counts{"w1": 1})
	}
	if len(p.rows) > usage.MaxWindows {
		t.Errorf("%d rows", len(p.rows))
	}
}

// Guards against counts that move to other windows when the time of day is set.
func TestWindowsIgnoreStepsOfTheTimeOfDay(t *testing.T) {
	w := usage.Windows{Length: length}
	steady, day := time.Unix(50, 0), time.Unix(1e9, 0)
	w.Now(steady, day)
	for i, step := range []time.Duration{0, 3 * time.Second, -2 * time.Second, 0, 50 * time.Millisecond} {
		elapsed := time.Duration(i) * time.Second
		got := w.Now(steady.Add(elapsed), day.Add(elapsed+step))
		if off := got.Sub(day.Add(elapsed)); off.Abs() > 100*time.Millisecond {
			t.Errorf("step %v: off by %v", step, off)
		}
	}
}

func TestCountsOutsideTheBoundsAreNotTaken(t *testing.T) {
	var l usage.Ledger
	l.Settle(first)
	l.Merge(countsOfB(map[usage.Window]usage.Counts{
		first: {"w1": 1}, first + 1: {"w1": 1}, first + 9: {"w1": 1}, first - 20: {"w1": 1},
	}), first+1)
	got := l.Counts(func(usage.Process) bool { return true })
	if len(got) != 1 || len(got[0].Windows) != 1 || got[0].Windows[first+1]["w1"] != 1 {
		t.Errorf("counts %v", got)
	}
}

// Guards against a window that is reported twice with other counts (ONE): the platform was restored
// from a copy without the row of a report that its holder, which has ended, had sent.
func TestWindowIsNotReportedAnewAfterItsRowWasLost(t *testing.T) {
	for name, earlier := range map[string]bool{"an older row is left": true, "no row is left": false} {
		t.Run(name, func(t *testing.T) {
			p := newPlatform(t)
			a, b := newHolder(p, "a"), newHolder(p, "b")
			a.acquire(end(first-2, 0))
			if earlier {
				a.Count(first-1, "w1")
				a.Enter(first)
				a.run(end(first-1, 2*time.Second), nil, "a")
			}
			kept := maps.Clone(p.rows)
			a.Count(first, "w1")
			a.Count(first, "w1")
			a.Enter(first + 1)
			a.run(end(first, 2*time.Second), nil, "a")
			p.wantTaken(first, usage.Counts{"w1": 2})
			p.rows, p.era = kept, p.era+1
			b.Hear(p.number, time.Time{})
			b.Count(first, "w2")
			b.Count(first+1, "w2")
			b.Enter(first + 2)
			b.acquire(end(first, 3*time.Second))
			b.run(end(first, 4*time.Second), nil, "b")
			b.run(end(first+1, 4*time.Second), nil, "b")
			p.wantTaken(first, usage.Counts{"w1": 2})
			p.wantTaken(first+1, usage.Counts{"w2": 1})
		})
	}
}

// A holder that takes over in the same era reports what the one before has not.
func TestNextHolderReportsWindowsThatEndedBefore(t *testing.T) {
	p := newPlatform(t)
	b := newHolder(p, "b")
	b.Count(first, "w1")
	b.Enter(first + 1)
	b.acquire(end(first, 3*time.Second))
	b.run(end(first, 4*time.Second), nil, "b")
	p.wantTaken(first, usage.Counts{"w1": 1})
}
