package rollout

import (
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/state/id"
	"samphirehead/state/record"
)

// applyRetryDelay is the delay between attempts while the platform fails.
const applyRetryDelay = 100 * time.Millisecond

// ApplyEvent is one input of an Apply.
type ApplyEvent interface{ applyEvent() }

// ApplyStarted is the first event.
type ApplyStarted struct{}

// RowsRead reports the result of ReadRows. Absent rows are left out.
type RowsRead struct {
	Rows []record.Row
	Err  error
}

// ObjectPut reports the result of PutObject. It is no error if the object
// exists already, because its name contains its digest.
type ObjectPut struct{ Err error }

// RowsWritten reports the result of WriteRows.
type RowsWritten struct{ Result record.WriteResult }

// ApplyTicked reports that the time of an ApplyWakeAt has come.
type ApplyTicked struct{}

func (ApplyStarted) applyEvent() {}
func (RowsRead) applyEvent()     {}
func (ObjectPut) applyEvent()    {}
func (RowsWritten) applyEvent()  {}
func (ApplyTicked) applyEvent()  {}

// ApplyEffect is one output of an Apply. Every effect but ApplyWakeAt and
// ApplyFinished is answered by one event, by the deadline at the latest, and at
// most one of them is in flight.
type ApplyEffect interface{ applyEffect() }

// ReadRows asks for rows.
type ReadRows struct{ Keys []record.Key }

// PutObject asks to store the manifest under a name.
type PutObject struct {
	Name string
	Body []byte
}

// WriteRows asks for writes that are applied together or not at all.
type WriteRows struct{ Writes []record.Write }

// ApplyWakeAt asks for an ApplyTicked at the time or soon after.
type ApplyWakeAt struct{ Time time.Time }

// ApplyFinished ends the state machine with its result.
type ApplyFinished struct{ Result ApplyResult }

func (ReadRows) applyEffect()      {}
func (PutObject) applyEffect()     {}
func (WriteRows) applyEffect()     {}
func (ApplyWakeAt) applyEffect()   {}
func (ApplyFinished) applyEffect() {}

// ApplyResult is Accepted, Conflict, NotApplied or ApplyUnknown.
type ApplyResult interface{ applyResult() }

// Accepted means that the manifest became version Version, which is final.
type Accepted struct{ Version id.ManifestVersion }

// Conflict means that another manifest succeeded the base. The given one was
// not and will not be accepted by this operation.
type Conflict struct{ Current Row }

// NotApplied means that the platform could not be reached and that the manifest
// will not be accepted by this attempt.
type NotApplied struct{ Err error }

// ApplyUnknown means that the manifest may have been accepted or may still be
// accepted. A repeated Apply with the same operation and base determines it.
type ApplyUnknown struct{ Err error }

func (Accepted) applyResult()     {}
func (Conflict) applyResult()     {}
func (NotApplied) applyResult()   {}
func (ApplyUnknown) applyResult() {}

// Apply is the state machine of one attempt to make a manifest the successor
// of its base. Set the exported fields before the first Step. It is not safe
// for concurrent use.
type Apply struct {
	Base id.ManifestVersion
	YAML []byte
	// Operation is unique to the manifest and base. A repeated Apply has the
	// same one.
	Operation id.Attempt
	Author    id.Instance
	Deadline  time.Time

	// stored is set once the object is known to exist.
	stored bool
	// expected is the table's version of the current row that contains the
	// base.
	expected record.Version
	// unknownErr is the error of the first write whose result is unknown.
	unknownErr error
	// retrying is set from a failure until the tick that starts the retry.
	retrying bool
	done     bool
}

// Step applies ev at now and returns the effects to carry out, in order.
func (a *Apply) Step(now time.Time, ev ApplyEvent) []ApplyEffect {
	if a.done {
		return nil
	}
	switch ev := ev.(type) {
	case ApplyStarted:
		return a.readRows()
	case RowsRead:
		return a.rowsRead(now, ev)
	case ObjectPut:
		if ev.Err != nil {
			return a.retryLater(now, ev.Err)
		}
		a.stored = true
		return a.writeRows(now)
	case RowsWritten:
		return a.rowsWritten(now, ev.Result)
	case ApplyTicked:
		if !a.retrying {
			return nil
		}
		a.retrying = false
		return a.readRows()
	}
	return nil
}

func (a *Apply) successorVersion() id.ManifestVersion { return a.Base + 1 }

// readRows asks for the successor's history row as well as for the current
// row: the history row tells which manifest succeeded the base, even when
// further versions have been accepted since.
func (a *Apply) readRows() []ApplyEffect {
	return []ApplyEffect{ReadRows{[]record.Key{CurrentKey, HistoryKey(a.successorVersion())}}}
}

func (a *Apply) rowsRead(now time.Time, ev RowsRead) []ApplyEffect {
	if ev.Err != nil {
		return a.retryLater(now, ev.Err)
	}
	var current, successor Row
	expected := record.Version(0)
	for _, r := range ev.Rows {
		row, err := DecodeRow(r)
		if err != nil {
			return a.retryLater(now, err)
		}
		switch r.Key {
		case CurrentKey:
			current, expected = row, r.Version
		case HistoryKey(a.successorVersion()):
			successor = row
		}
	}
	if a.matches(successor) {
		return a.finish(Accepted{a.successorVersion()})
	}
	if current.Version != a.Base {
		return a.finish(Conflict{current})
	}
	return a.propose(now, expected)
}

func (a *Apply) matches(r Row) bool {
	return r.Operation == a.Operation && r.Object == objectName(a.successorVersion(), a.Operation, a.YAML)
}

// propose stores the manifest, then writes the successor. A write whose result
// is unknown is repeated with the same expected version: the first copy that is
// applied changes that version, so that no other copy can be applied.
func (a *Apply) propose(now time.Time, expected record.Version) []ApplyEffect {
	a.expected = expected
	if !a.stored {
		return []ApplyEffect{PutObject{objectName(a.successorVersion(), a.Operation, a.YAML), a.YAML}}
	}
	return a.writeRows(now)
}

func (a *Apply) writeRows(now time.Time) []ApplyEffect {
	value := Row{
		Version:       a.successorVersion(),
		Operation:     a.Operation,
		Author:        a.Author,
		AppliedUnixMS: now.UnixMilli(),
		Object:        objectName(a.successorVersion(), a.Operation, a.YAML),
	}.encode()
	return []ApplyEffect{WriteRows{[]record.Write{
		{Key: CurrentKey, Expected: a.expected, Value: value},
		{Key: HistoryKey(a.successorVersion()), Expected: 0, Value: value},
	}}}
}

func (a *Apply) rowsWritten(now time.Time, result record.WriteResult) []ApplyEffect {
	switch r := result.(type) {
	case record.Written:
		return a.finish(Accepted{a.successorVersion()})
	case record.Conflicted:
		return a.readRows()
	case record.Refused:
		return a.retryLater(now, r.Err)
	case record.Unknown:
		if a.unknownErr == nil {
			a.unknownErr = r.Err
		}
		return a.retryLater(now, r.Err)
	}
	return nil
}

// retryLater starts again after a delay, or ends the Apply if the deadline comes
// first.
func (a *Apply) retryLater(now time.Time, err error) []ApplyEffect {
	next := now.Add(applyRetryDelay)
	if next.Before(a.Deadline) {
		a.retrying = true
		return []ApplyEffect{ApplyWakeAt{next}}
	}
	if a.unknownErr != nil {
		return a.finish(ApplyUnknown{errors.Wrap(err, "last attempt")})
	}
	return a.finish(NotApplied{err})
}

func (a *Apply) finish(r ApplyResult) []ApplyEffect {
	a.done = true
	return []ApplyEffect{ApplyFinished{r}}
}
