package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"samphirehead/standin/fault"
)

// OrderKind names what an order changes.
type OrderKind string

// The kinds of order.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderRole    OrderKind = "role"
	OrderVersion OrderKind = "version"
)

// Order tells the engine to take up an absolute state.
type Order struct {
	Fencing uint64    `json:"fencing"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// AppliedOrder records an order that took effect.
type AppliedOrder struct {
	Order
	AtUnixUS int64 `json:"at_unix_us"`
	// Outdated says that an order with a higher fencing number had taken
	// effect before.
	Outdated bool `json:"outdated"`
}

// placement is what the engine holds and does.
type placement struct {
	// models maps each loaded model to its version.
	models map[string]string
	role   string
	// highest is the highest fencing number that took effect.
	highest uint64
	applied []AppliedOrder
}

func (p *placement) prepare(models []string, role string) {
	p.models = map[string]string{}
	for _, m := range models {
		p.models[m] = ""
	}
	p.role = role
}

func (p *placement) loaded() []string {
	models := []string{}
	for m := range p.models {
		models = append(models, m)
	}
	slices.Sort(models)
	return models
}

func (p *placement) apply(o Order, now time.Time) {
	p.applied = append(p.applied, AppliedOrder{o, now.UnixMicro(), o.Fencing < p.highest})
	p.highest = max(p.highest, o.Fencing)
	switch o.Kind {
	case OrderLoad, OrderVersion:
		p.models[o.Model] = o.Version
	case OrderUnload:
		delete(p.models, o.Model)
	case OrderRole:
		p.role = o.Role
	}
}

// serves reports whether a model is loaded; an engine that was started
// without models and orders serves all.
func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.Models) == 0 && len(e.placed.applied) == 0 {
		return true
	}
	_, ok := e.placed.models[model]
	return ok
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, largestBody))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "body too large")
		return
	}
	var order Order
	if err := json.Unmarshal(body, &order); err != nil || !order.valid() {
		writeError(w, http.StatusBadRequest, "bad order")
		return
	}
	if e.refuses(order) {
		writeError(w, http.StatusConflict, "old fencing number")
		return
	}
	if order.Kind == OrderLoad || order.Kind == OrderVersion {
		fault.Sleep(context.WithoutCancel(r.Context()), e.LoadTime)
	}
	if !e.obey(order) {
		writeError(w, http.StatusConflict, "old fencing number")
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (o Order) valid() bool {
	switch o.Kind {
	case OrderLoad, OrderUnload, OrderVersion:
		return o.Model != ""
	case OrderRole:
		return o.Role != ""
	}
	return false
}

func (e *Engine) refuses(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ChecksFencing && o.Fencing < e.placed.highest
}

// obey applies an order unless its number has become old.
func (e *Engine) obey(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && o.Fencing < e.placed.highest {
		return false
	}
	e.placed.apply(o, time.Now())
	return true
}

// exportedKV is the state of one request that another engine can take up.
type exportedKV struct {
	Request      string `json:"request"`
	PromptTokens int    `json:"prompt_tokens"`
	// Tokens counts the answer tokens.
	Tokens int `json:"tokens"`
}

func (e *Engine) serveExportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.batch.live[r.PathValue("request")]
	var kv exportedKV
	if ok {
		kv = exportedKV{s.request, s.prompt, s.available}
	}
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "no such request")
		return
	}
	writeJSON(w, http.StatusOK, kv)
}

func (e *Engine) serveImportKV(w http.ResponseWriter, r *http.Request) {
	var kv exportedKV
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, largestBody)).Decode(&kv); err != nil {
		writeError(w, http.StatusBadRequest, "bad KV cache")
		return
	}
	e.mu.Lock()
	e.imported[r.PathValue("request")] = kv.Tokens
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
