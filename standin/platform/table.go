package platform

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const maxScanRows = 1000

// Row is one row of the table.
type Row struct {
	Key string `json:"key"`
	// Version is never used twice in one table.
	Version uint64 `json:"version"`
	// Value is null in a conflict with an absent row.
	Value []byte `json:"value"`
}

// Write is one conditional change of a transaction.
type Write struct {
	Key string `json:"key"`
	// ExpectedVersion is the row's version; 0 when it must be absent.
	ExpectedVersion uint64 `json:"expected_version"`
	Value           []byte `json:"value"`
	Delete          bool   `json:"delete,omitempty"`
}

// AppliedWrite records one change that took effect.
type AppliedWrite struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Delete  bool   `json:"delete,omitempty"`
	// AtUnixUS is the time in microseconds.
	AtUnixUS int64 `json:"at_unix_us"`
}

type table struct {
	mu          sync.Mutex
	rows        map[string]Row
	lastVersion uint64
	applied     []AppliedWrite
}

type writeResult struct {
	versions  []uint64
	conflicts []Row
}

// write applies all writes or none.
func (t *table) write(writes []Write) writeResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	var result writeResult
	for _, w := range writes {
		if row := t.rows[w.Key]; row.Version != w.ExpectedVersion {
			row.Key = w.Key
			result.conflicts = append(result.conflicts, row)
		}
	}
	if len(result.conflicts) > 0 {
		return result
	}
	if t.rows == nil {
		t.rows = map[string]Row{}
	}
	for _, w := range writes {
		result.versions = append(result.versions, t.apply(w))
	}
	return result
}

func (t *table) apply(w Write) uint64 {
	t.lastVersion++
	t.applied = append(t.applied, AppliedWrite{w.Key, t.lastVersion, w.Delete, time.Now().UnixMicro()})
	if w.Delete {
		delete(t.rows, w.Key)
		return 0
	}
	t.rows[w.Key] = Row{Key: w.Key, Version: t.lastVersion, Value: w.Value}
	return t.lastVersion
}

func (t *table) read(keys []string) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []Row{}
	for _, key := range keys {
		if row, ok := t.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// scan returns up to limit rows after a key, in key order.
func (t *table) scan(prefix, startAfter string, limit int) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []Row{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > startAfter {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))]
}

func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Writes []Write `json:"writes"`
	}
	if err := json.Unmarshal(requestBody(r), &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !admit(w, p.writes, len(request.Writes)) {
		return
	}
	change := func() writeResult { return p.table.write(request.Writes) }
	mutate(p, r, change, func(result writeResult) {
		if len(result.conflicts) > 0 {
			writeJSON(w, http.StatusConflict, struct {
				Conflicts []Row `json:"conflicts"`
			}{result.conflicts})
			return
		}
		writeJSON(w, http.StatusOK, struct {
			Versions []uint64 `json:"versions"`
		}{result.versions})
	})
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Keys []string `json:"keys"`
	}
	if err := json.Unmarshal(requestBody(r), &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !admit(w, p.reads, len(request.Keys)) {
		return
	}
	writeRows(w, p.table.read(request.Keys))
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(cmp.Or(query.Get("limit"), strconv.Itoa(maxScanRows)))
	if err != nil || limit < 1 {
		http.Error(w, "bad limit", http.StatusBadRequest)
		return
	}
	rows := p.table.scan(query.Get("prefix"), query.Get("after"), min(limit, maxScanRows))
	if !admit(w, p.reads, len(rows)) {
		return
	}
	writeRows(w, rows)
}

func writeRows(w http.ResponseWriter, rows []Row) {
	writeJSON(w, http.StatusOK, struct {
		Rows []Row `json:"rows"`
	}{rows})
}
