// Package engine stands in for a model engine with continuous batching. Its
// answers are deterministic, so that callers can check every token.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"samphirehead/standin/fault"
	"samphirehead/standin/listener"
)

// Defaults of the settings.
const (
	DefaultSlots                  = 8
	DefaultPrefillTokensPerSecond = 8000
	DefaultDecodeTokensPerSecond  = 400
	DefaultKVTokens               = 65536
	DefaultTick                   = 2 * time.Millisecond
	DefaultCacheBlocks            = 4096
)

// loneShare is how many times its even share of the decode rate one stream can
// use when other slots are free.
const maxShareFactor = 4

const defaultCrashDuration = 2 * time.Second

// Engine is one model worker.
type Engine struct {
	// Address to listen on; port 0 lets the kernel choose.
	Address string `yaml:"address"`
	// Models are loaded at the start.
	Models []string `yaml:"models"`
	// Role is the role at the start.
	Role string `yaml:"role"`
	// Slots is the most streams that run at once.
	Slots int `yaml:"slots"`
	// PrefillTokensPerSecond is shared by all prompts being read.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second"`
	// DecodeTokensPerSecond is shared by all streams that generate.
	DecodeTokensPerSecond float64 `yaml:"decode_tokens_per_second"`
	// KVTokens bounds the prompt and answer tokens of the running streams.
	KVTokens int `yaml:"kv_tokens"`
	// Fast makes an answer ready as soon as it has a slot, whatever the
	// rates.
	Fast bool `yaml:"fast"`
	// Tick is the time between two steps of the batch.
	Tick time.Duration `yaml:"tick"`
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int `yaml:"cache_blocks"`
	// Faults are in effect; they may be changed at any time.
	Faults fault.Set `yaml:"-"`

	once     sync.Once
	listener listener.Listener
	handler  http.Handler

	mu        sync.Mutex
	batch     batch
	cache     cache
	attempts  []*Attempt
	crashes   []Crash
	downUntil time.Time
}

func (e *Engine) prepare() {
	e.once.Do(func() {
		e.setDefaults()
		e.batch.byRequestID = map[string]*stream{}
		e.cache.prepare(e.CacheBlocks)
		e.Faults.OnAdd = e.onFaultAdded
		e.handler = e.routes()
		e.listener.Address = e.Address
		e.listener.Handler = e.handler
	})
}

func (e *Engine) setDefaults() {
	setDefault(&e.Slots, DefaultSlots)
	setDefault(&e.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	setDefault(&e.DecodeTokensPerSecond, DefaultDecodeTokensPerSecond)
	setDefault(&e.KVTokens, DefaultKVTokens)
	setDefault(&e.Tick, DefaultTick)
	setDefault(&e.CacheBlocks, DefaultCacheBlocks)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Listen chooses the port.
func (e *Engine) Listen() error {
	e.prepare()
	return e.listener.Listen()
}

// Addr returns the address once Listen has returned.
func (e *Engine) Addr() string { return e.listener.Addr() }

// Run serves until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	e.prepare()
	return e.listener.Serve(ctx)
}

// Handler returns what Run serves.
func (e *Engine) Handler() http.Handler {
	e.prepare()
	return e.handler
}

func (e *Engine) routes() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	api.HandleFunc("POST /v1/cancel/{request}", e.serveCancel)
	mux := http.NewServeMux()
	mux.Handle("/faults", &e.Faults)
	mux.HandleFunc("GET /truth", e.serveTruth)
	mux.Handle("/v1/", e.refuseWhenDown(api))
	return mux
}

func (e *Engine) refuseWhenDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down := time.Now().Before(e.downUntil)
		e.mu.Unlock()
		if _, ok := e.Faults.Trigger(fault.Down, r.Method+" "+r.URL.Path); ok || down {
			fault.DropConnection()
		}
		next.ServeHTTP(w, r)
	})
}

// faultAdded carries out what a fault does at once.
func (e *Engine) onFaultAdded(f fault.Fault) {
	if f.Kind == fault.Crash && f.Match == "" {
		e.crash(f, "")
	}
}

// crash drops every connection, forgets everything and refuses new
// connections for a while.
func (e *Engine) crash(f fault.Fault, requestID string) {
	d := f.Duration()
	if d == 0 {
		d = defaultCrashDuration
	}
	now := time.Now()
	e.mu.Lock()
	e.crashes = append(e.crashes, Crash{AtUnixUS: now.UnixMicro(), Request: requestID, Match: f.Match})
	e.downUntil = now.Add(d)
	for _, s := range e.batch.all() {
		e.endStream(now, s, EndCrashed)
	}
	e.cache.clear()
	e.mu.Unlock()
	e.listener.TakeDown(d)
}
