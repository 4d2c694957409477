// Package engine is a stand-in for a model engine with continuous batching. Its
// answers are deterministic, so that clients can check every token.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"samphirehead/standin/fault"
	"samphirehead/standin/listener"
)

// Defaults of the settings that are zero.
const (
	DefaultSlots                  = 8
	DefaultPrefillTokensPerSecond = 8000
	DefaultDecodeTokensPerSecond  = 400
	DefaultKVTokens               = 65536
	DefaultTick                   = 2 * time.Millisecond
	DefaultCacheBlocks            = 4096
)

// maxShareFactor bounds the decode rate of one stream while other slots are free,
// as a multiple of the decode rate divided by the number of slots.
const maxShareFactor = 4

const defaultCrashDuration = 2 * time.Second

// Engine is one instance of the model engine.
type Engine struct {
	// Address is the IP address and port to listen on; port 0 lets the kernel
	// choose one.
	Address string `yaml:"address"`
	// Models are the loaded models; without any, all models are served.
	Models []string `yaml:"models"`
	// Role is read from the settings and has no effect.
	Role string `yaml:"role"`
	// Slots is the maximum number of streams that run at once.
	Slots int `yaml:"slots"`
	// PrefillTokensPerSecond is divided among all streams in prefill.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second"`
	// DecodeTokensPerSecond is divided among all streams that generate.
	DecodeTokensPerSecond float64 `yaml:"decode_tokens_per_second"`
	// KVTokens is the size of the KV cache, which holds the prompts and the
	// generated tokens of the running streams.
	KVTokens int `yaml:"kv_tokens"`
	// Fast completes an answer as soon as its stream has a slot and ignores
	// the rates.
	Fast bool `yaml:"fast"`
	// Tick is the interval between steps of the batch.
	Tick time.Duration `yaml:"tick"`
	// CacheBlocks is the size of the prefix cache in blocks of prefixBlockBytes.
	CacheBlocks int `yaml:"cache_blocks"`
	// Faults are the active faults; they may be changed at any time.
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

// Listen binds the port and starts to listen.
func (e *Engine) Listen() error {
	e.prepare()
	return e.listener.Listen()
}

// Addr returns the bound IP address and port. It is empty before Listen.
func (e *Engine) Addr() string { return e.listener.Addr() }

// Run serves until ctx is done.
func (e *Engine) Run(ctx context.Context) error {
	e.prepare()
	return e.listener.Serve(ctx)
}

// Handler returns the HTTP handler that Run serves.
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
		if _, ok := e.Faults.Trigger(fault.Endless, r.Method+" "+r.URL.Path); ok {
			fault.WriteEndless(w)
		}
		next.ServeHTTP(w, r)
	})
}

// onFaultAdded crashes the engine if f is a crash that no request triggers.
func (e *Engine) onFaultAdded(f fault.Fault) {
	if f.Kind == fault.Crash && f.Match == "" {
		e.crash(f, "")
	}
}

// crash ends all streams, empties the prefix cache, drops every connection and
// refuses new ones for the duration of f. The attempts stay on record. The
// requestID is that of the request that caused the crash, if one did.
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
