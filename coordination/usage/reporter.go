package usage

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/state/id"
	"samphirehead/state/record"
)

// KeyPrefix begins the keys of the rows of reports.
const KeyPrefix record.Key = "usage/"

const (
	// minSettle is how long after the end of a window its report is decided at the earliest,
	// and settleShare the part of the lateness after which it doesn't wait any longer for
	// instances that have not told their counts.
	minSettle   = time.Second
	settleShare = 0.4
	// doubtShare is the part of the lateness after which a window is left out of which no
	// instance that answers knows whether it was reported.
	doubtShare = 0.8
	// recallTime is how long a holder that is not in doubt asks in vain until it reports.
	recallTime = time.Second
)

// Event is an input of a Reporter.
type Event interface{ event() }

// Acquired reports that this instance holds the duty from now on, under a fencing number.
type Acquired struct{ FencingNumber id.FencingNumber }

// Lost reports that this instance no longer holds the duty.
type Lost struct{}

// RowsRead reports the result of ReadRows.
type RowsRead struct {
	Rows []record.Row
	// Era is that of the platform.
	Era uint64
	Err error
}

// Recalled reports the result of Recall.
type Recalled struct {
	Histories []History
	// All is set if all instances have answered that were asked.
	All bool
}

// RowWritten reports the result of WriteRow.
type RowWritten struct {
	Result record.WriteResult
	// Era is that of the platform; 0 if it did not answer.
	Era uint64
}

// Sent reports the result of Send. Err is nil if the platform has taken the report.
type Sent struct{ Err error }

// Ticked reports the time and the live instances.
type Ticked struct{ Live []id.Instance }

func (Acquired) event()   {}
func (Lost) event()       {}
func (RowsRead) event()   {}
func (Recalled) event()   {}
func (RowWritten) event() {}
func (Sent) event()       {}
func (Ticked) event()     {}

// Effect is an output of a Reporter. At most one is in flight.
type Effect interface{ effect() }

// ReadRows requests a read of all rows of reports, to be answered by RowsRead.
type ReadRows struct{}

// Recall asks the live instances for their histories, to be answered by Recalled. By the question
// they hear of the fencing number.
type Recall struct{ FencingNumber id.FencingNumber }

// WriteRow requests a write, to be answered by RowWritten.
type WriteRow struct{ Write record.Write }

// Send requests that a report is sent, to be answered by Sent.
type Send struct{ Report Report }

func (ReadRows) effect() {}
func (Recall) effect()   {}
func (WriteRow) effect() {}
func (Send) effect()     {}

// Reporter decides what the holder of the duty reports, one window after the other. The
// report of a window is what the first write of its row says, which goes before it is sent:
// whoever sends it again sends the same. A window's row replaces that of MaxWindows before.
//
// A platform that was restored from a copy may have lost the rows of reports that were sent. A new
// holder that finds no row of this era doubts, therefore, whether the windows that had ended
// before were reported. It asks the live instances: the holder before knows, if its process
// still runs.
// Set the exported fields before the first Step. It is not safe for concurrent use.
type Reporter struct {
	Ledger   *Ledger
	Windows  *Windows
	Lateness time.Duration
	// Lease is the duration of the lease of the duty.
	Lease time.Duration

	held      bool
	heldSince time.Time
	// number is the fencing number under which the duty is held, or was held last.
	number id.FencingNumber
	// loaded is set once the rows were read under number, and certain once it is known which
	// windows were reported before.
	loaded, certain bool
	inFlight        bool
	// versions holds the versions of the rows by their key.
	versions map[record.Key]record.Version
	pending  *decision
	// era is the last one that the platform has stated, and since the first one.
	era, since uint64
	// noRows is set if there were no rows, and doubtful is the last window that may have been
	// reported though no row says so; 0 if the rows are of this era.
	noRows   bool
	doubtful Window
	// leftOut counts the windows with requests that are not reported because of doubt.
	leftOut uint64

	// reported is the number under which reports were decided here last, and carried the
	// report that it left unsettled. Under the unused ones, none was decided.
	reported id.FencingNumber
	carried  *Report
	unused   []id.FencingNumber
	heard    confirmations
	// This process has been in touch with others since inTouchSince, and was not paused.
	inTouchSince, lastTick time.Time
	sawOthers              bool
}

// decision is the report of the oldest window that is not settled.
type decision struct {
	Report
	// written is set once the row holds the report.
	written bool
}

// row is the value of a row.
type row struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
	// Era is that in which the row was written, or an earlier one.
	Era uint64 `json:"era,omitempty"`
}

func (d *decision) key() record.Key {
	return record.Key(fmt.Sprintf("%s%02d", KeyPrefix, d.Window%MaxWindows))
}

// Step applies ev at the true time now and returns the effect to carry out, or nil.
func (r *Reporter) Step(now time.Time, ev Event) Effect {
	switch ev := ev.(type) {
	case Acquired:
		r.acquired(now, ev.FencingNumber)
	case Lost:
		r.held = false
		if r.pending != nil && !r.pending.written {
			r.pending = nil
		}
	case Recalled:
		r.inFlight = false
		r.recalled(now, ev)
	case RowsRead:
		r.inFlight = false
		r.rowsRead(ev)
	case RowWritten:
		r.inFlight = false
		r.era = max(r.era, ev.Era)
		r.rowWritten(ev.Result)
	case Sent:
		r.inFlight = false
		r.sent(now, ev.Err)
	case Ticked:
		r.stayInTouch(now, ev.Live)
		return r.next(now, ev.Live)
	}
	return nil
}

// next returns what is to be done next.
func (r *Reporter) next(now time.Time, live []id.Instance) Effect {
	if !r.held || r.inFlight {
		return nil
	}
	if !r.loaded {
		r.inFlight = true
		return ReadRows{}
	}
	if r.pending == nil {
		if !r.certain {
			r.inFlight = true
			return Recall{r.number}
		}
		r.decide(now, live)
	}
	if r.pending == nil {
		return nil
	}
	r.inFlight = true
	if r.pending.written {
		return Send{r.pending.Report}
	}
	return WriteRow{r.pending.write(r.versions[r.pending.key()], r.era)}
}

func (d *decision) write(expected record.Version, era uint64) record.Write {
	value, err := json.Marshal(row{d.Window, d.Counts, era})
	if err != nil {
		panic(errors.Wrap(err, "encode report")) // all fields can be encoded
	}
	return record.Write{Key: d.key(), Expected: expected, Value: value}
}

// decide sets pending if the oldest window is due. Windows without requests have no report.
func (r *Reporter) decide(now time.Time, live []id.Instance) {
	for {
		oldest, found := r.Ledger.Oldest()
		if !found || !r.due(now, oldest, live) {
			return
		}
		if counts := r.Ledger.Total(oldest); len(counts) > 0 {
			r.pending = &decision{Report: Report{oldest, counts}}
			return
		}
		r.Ledger.Settle(oldest)
	}
}

// due reports whether the counts of a window are as complete as can be waited for.
func (r *Reporter) due(now time.Time, w Window, live []id.Instance) bool {
	end := r.Windows.End(w)
	if now.Before(end.Add(minSettle)) {
		return false
	}
	from := end
	if r.heldSince.After(end) {
		from = r.heldSince
	}
	patience := time.Duration(settleShare * float64(r.Lateness))
	return r.Ledger.Complete(w, live) || !now.Before(from.Add(patience))
}

// rowsRead continues where the holder before has stopped: it had sent the reports before the
// last one that it wrote, whose row is sent again. If the platform was restored from a copy since
// then, later rows may be gone whose reports were sent.
func (r *Reporter) rowsRead(ev RowsRead) {
	if ev.Err != nil {
		return
	}
	r.loaded, r.era = true, ev.Era
	r.SeeEra(ev.Era)
	r.versions = make(map[record.Key]record.Version)
	var last *row
	for _, read := range ev.Rows {
		r.versions[read.Key] = read.Version
		stored, err := decode(read)
		if err == nil && (last == nil || stored.Window > last.Window) {
			last = &stored
		}
	}
	r.noRows, r.doubtful, r.pending = last == nil, 0, nil
	if last == nil || last.Era != ev.Era {
		r.doubtful = r.Windows.At(r.heldSince) - 1
	}
	if last != nil && last.Window > r.Ledger.Settled() {
		r.pending = &decision{Report: last.report(), written: true}
		r.Ledger.Settle(last.Window - 1)
	}
}

func decode(read record.Row) (stored row, err error) {
	err = json.Unmarshal(read.Value, &stored)
	return stored, err
}

func (s row) report() Report { return Report{s.Window, s.Counts} }

func (r *Reporter) rowWritten(result record.WriteResult) {
	if r.pending == nil {
		return
	}
	switch result := result.(type) {
	case record.Written:
		r.versions[r.pending.key()] = result.Versions[0]
		r.pending.written = true
	case record.Conflicted:
		r.conflicted(result.Rows[0])
	}
}

// conflicted adopts the report that another holder, or a write whose answer was lost, has
// written.
func (r *Reporter) conflicted(current record.Row) {
	r.versions[r.pending.key()] = current.Version
	stored, err := decode(current)
	switch {
	case current.Version == 0 || err != nil || stored.Window < r.pending.Window:
	case stored.Window == r.pending.Window:
		r.pending.Report, r.pending.written = stored.report(), true
	default:
		// A later holder is ahead.
		r.pending, r.loaded = nil, false
	}
}

// sent settles the pending window, or leaves it pending to be sent again.
func (r *Reporter) sent(now time.Time, err error) {
	if r.pending == nil {
		return
	}
	tooOld := now.Sub(r.Windows.End(r.pending.Window)) > MaxWindows*r.Windows.Length
	if err != nil && !tooOld {
		return
	}
	r.Ledger.Settle(r.pending.Window)
	r.pending = nil
}
