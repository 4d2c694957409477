package lease

import (
	"time"

	"samphirehead/state/id"
	"samphirehead/state/record"
)

// Event is an input of a Lease.
type Event interface{ event() }

// Started starts to compete for the lease.
type Started struct{}

// Resigned gives up the lease. It may be sent only when none of the work that
// needs the lease is in flight any more.
type Resigned struct{}

// RowRead reports the result of ReadRow. An absent row has version 0.
type RowRead struct {
	Row record.Row
	Err error
	// Era counts how often the table was restored from a copy; 0 if that is not known.
	Era uint64
}

// RowWritten reports the result of WriteRow.
type RowWritten struct {
	Result record.WriteResult
	// Era is that of the answer, as in RowRead.
	Era uint64
}

// Ticked reports that the time of a WakeAt has been reached.
type Ticked struct{}

func (Started) event()    {}
func (Resigned) event()   {}
func (RowRead) event()    {}
func (RowWritten) event() {}
func (Ticked) event()     {}

// Effect is an output of a Lease.
type Effect interface{ effect() }

// ReadRow requests a read, to be answered by RowRead. At most one ReadRow or
// WriteRow is in flight.
type ReadRow struct{ Key record.Key }

// WriteRow requests a write, to be answered by RowWritten.
type WriteRow struct{ Write record.Write }

// WakeAt requests a Ticked at Time or soon after. It does not replace earlier
// ones.
type WakeAt struct{ Time time.Time }

// Acquired reports that the lease is now held.
type Acquired struct{ FencingNumber id.FencingNumber }

// Lost reports that the lease is no longer held. A process that was paused
// receives it late, so work must stop when Holds no longer reports the lease,
// and must not wait for Lost.
type Lost struct{ FencingNumber id.FencingNumber }

func (ReadRow) effect()  {}
func (WriteRow) effect() {}
func (WakeAt) effect()   {}
func (Acquired) effect() {}
func (Lost) effect()     {}
