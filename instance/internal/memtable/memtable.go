// Package memtable is a table and object service in memory with faults, for
// tests of the drivers that use the platform.
package memtable

import (
	"context"
	"os"
	"slices"
	"strings"
	"sync"

	"samphirehead/state/record"
)

// Table is an empty service without faults when zero. All methods may be
// called at the same time.
type Table struct {
	mu      sync.Mutex
	rows    map[record.Key]record.Row
	objects map[string][]byte
	faults  Faults
}

// Faults are the ways in which a Table fails.
type Faults struct {
	// Down refuses all calls.
	Down bool
	// Hung keeps every call until its context ends.
	Hung bool
	// LoseWrites is how many writes take effect without an answer.
	LoseWriteResponses int
}

// Fail replaces the faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// enter returns the error of a call that fails before it takes effect.
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

// Write applies all writes or none.
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

// Read returns the rows of keys that exist.
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

// Scan returns at most limit rows with the prefix after a key, in key order.
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

// PutObject stores an object.
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
