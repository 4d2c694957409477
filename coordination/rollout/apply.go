package rollout

import (
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/state/id"
	"samphirehead/state/record"
)

// retryApply is the delay between tries while the platform fails.
const applyRetryDelay = 100 * time.Millisecond

// ApplyEvent is one input of an Apply.
type ApplyEvent interface{ applyEvent() }

// ApplyStarted is the first event.
type ApplyStarted struct{}

// RowsRead reports the rows asked for by ReadRows; absent ones are left out.
type RowsRead struct {
	Rows []record.Row
	Err  error
}

// ObjectPut reports the end of PutObject. An object that exists already is no
// error: its name contains its digest.
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

// ApplyEffect is one output of an Apply. All but ApplyWakeAt and Applied are
// answered by one event, at the latest at the deadline, and at most one of
// them is open.
type ApplyEffect interface{ applyEffect() }

// ReadRows asks for rows.
type ReadRows struct{ Keys []record.Key }

// PutObject asks to store the manifest under a name.
type PutObject struct {
	Name string
	Body []byte
}

// WriteRows asks for writes that take effect together or not at all.
type WriteRows struct{ Writes []record.Write }

// ApplyWakeAt asks for an ApplyTicked at the time or soon after.
type ApplyWakeAt struct{ Time time.Time }

// Applied ends the machine with its result.
type ApplyFinished struct{ Result ApplyResult }

func (ReadRows) applyEffect()      {}
func (PutObject) applyEffect()     {}
func (WriteRows) applyEffect()     {}
func (ApplyWakeAt) applyEffect()   {}
func (ApplyFinished) applyEffect() {}

// ApplyResult is Accepted, Conflict, NotApplied or ApplyUnknown.
type ApplyResult interface{ applyResult() }

// Accepted says that the manifest is version Version, for good.
type Accepted struct{ Version id.ManifestVersion }

// Conflict says that another manifest succeeded the base; the given one is not
// and will not be accepted by this operation.
type Conflict struct{ Current Row }

// NotApplied says that the platform could not be reached and that the manifest
// will not be accepted by this try.
type NotApplied struct{ Err error }

// ApplyUnknown says that the manifest may have been accepted or may yet be. A
// repeat with the same operation and base tells.
type ApplyUnknown struct{ Err error }

func (Accepted) applyResult()     {}
func (Conflict) applyResult()     {}
func (NotApplied) applyResult()   {}
func (ApplyUnknown) applyResult() {}

// Apply is the state machine of one try to make a manifest the successor of
// its base. Set the exported fields before the first Step. It is not safe for
// use by several goroutines.
type Apply struct {
	Base id.ManifestVersion
	YAML []byte
	// Operation is unique to the manifest and base; repeats share it.
	Operation id.Attempt
	Author    id.Instance
	Deadline  time.Time

	// stored is set once the object is known to exist.
	stored bool
	// expected is the version of the current row that names the base.
	expected record.Version
	// doubt is the error of the first write whose result is unknown.
	unknownErr error
	// retrying is set from a failure to the tick that repeats.
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

// read asks for the row of the successor as well as for the current one: the
// former tells who succeeded the base, also after further versions.
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

// propose writes the successor. A write whose result is unknown is repeated
// with the same expected version: the first copy to take effect changes that
// version, so that no other copy can.
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

// later tries again from the start after a delay, or ends at the deadline.
func (a *Apply) retryLater(now time.Time, err error) []ApplyEffect {
	next := now.Add(applyRetryDelay)
	if next.Before(a.Deadline) {
		a.retrying = true
		return []ApplyEffect{ApplyWakeAt{next}}
	}
	if a.unknownErr != nil {
		return a.finish(ApplyUnknown{errors.Wrap(err, "last try")})
	}
	return a.finish(NotApplied{err})
}

func (a *Apply) finish(r ApplyResult) []ApplyEffect {
	a.done = true
	return []ApplyEffect{ApplyFinished{r}}
}
