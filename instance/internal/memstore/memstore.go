// Package memstore provides an in-memory table and object store with fault
// injection, for tests of the packages that use the platform.
package memstore

import (
	"context"
	"os"
	"slices"
	"strings"
	"sync"

	"samphirehead/state/record"
)

// Table stores rows and objects in memory. The zero value is empty and injects
// no faults. All methods may be called concurrently.
type Table struct {
	mu      sync.Mutex
	rows    map[record.Key]record.Row
	objects map[string][]byte
	faults  Faults
}

// Faults selects the faults that a Table injects. The zero value selects none.
type Faults struct {
	// Down makes every call fail with os.ErrClosed, or record.Refused.
	Down bool
	// Hung blocks every call until its context is done.
	Hung bool
	// LoseWriteResponses is the number of writes that are applied but return
	// record.Unknown, as if the response was lost.
	LoseWriteResponses int
}

// SetFaults replaces the injected faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// checkFaults returns the injected error of a call that has no effect.
func (t *Table) checkFaults(ctx context.Context) error {
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	if faults.Hung {
		<-ctx.Done()
		return ctx.Err()
	}
	if faults.Down {
		return os.ErrClosed
	}
	return nil
}

// Write applies all writes if every row has its expected version, otherwise
// none.
func (t *Table) Write(ctx context.Context, writes []record.Write) record.WriteResult {
	if err := t.checkFaults(ctx); err != nil && ctx.Err() != nil {
		return record.Unknown{Err: err}
	} else if err != nil {
		return record.Refused{Err: err}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if conflicts := t.conflicts(writes); len(conflicts) > 0 {
		return record.Conflicted{Rows: conflicts}
	}
	out := t.apply(writes)
	if t.faults.LoseWriteResponses > 0 {
		t.faults.LoseWriteResponses--
		return record.Unknown{Err: os.ErrDeadlineExceeded}
	}
	return out
}

func (t *Table) conflicts(writes []record.Write) []record.Row {
	var out []record.Row
	for _, w := range writes {
		if row := t.rows[w.Key]; row.Version != w.Expected {
			row.Key = w.Key
			out = append(out, row)
		}
	}
	return out
}

func (t *Table) apply(writes []record.Write) record.Written {
	if t.rows == nil {
		t.rows = map[record.Key]record.Row{}
	}
	var out record.Written
	for _, w := range writes {
		row := record.Row{Key: w.Key, Version: w.Expected + 1, Value: w.Value}
		t.rows[w.Key] = row
		if w.Delete {
			delete(t.rows, w.Key)
		}
		out.Versions = append(out.Versions, row.Version)
	}
	return out
}

// Read returns those rows of keys that exist.
func (t *Table) Read(ctx context.Context, keys []record.Key) ([]record.Row, error) {
	if err := t.checkFaults(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []record.Row
	for _, key := range keys {
		if row, ok := t.rows[key]; ok {
			out = append(out, row)
		}
	}
	return out, nil
}

// Scan returns at most limit rows in the order of their keys. The keys have the
// prefix and are greater than after.
func (t *Table) Scan(ctx context.Context, prefix, after record.Key, limit int) ([]record.Row, error) {
	if err := t.checkFaults(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []record.Row
	for key, row := range t.rows {
		if strings.HasPrefix(string(key), string(prefix)) && key > after {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b record.Row) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return out[:min(limit, len(out))], nil
}

// PutObject stores an object, replacing one of the same name.
func (t *Table) PutObject(ctx context.Context, name string, body []byte) error {
	if err := t.checkFaults(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.objects == nil {
		t.objects = map[string][]byte{}
	}
	t.objects[name] = body
	return nil
}

// GetObject returns an object, or os.ErrNotExist.
func (t *Table) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := t.checkFaults(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	body, ok := t.objects[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return body, nil
}
