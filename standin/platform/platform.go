// Package platform is a stand-in for the services of the platform: the
// transactional table, the object store, the list of instances, which lags, and
// the weight store.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"samphirehead/standin/fault"
	"samphirehead/standin/listener"
)

// Defaults of the settings that are zero.
const (
	DefaultWritesPerSecond  = 600
	DefaultReadsPerSecond   = 2000
	DefaultWeightsPerSecond = 2
	DefaultListLag          = 2 * time.Second
)

const maxBodyBytes = 16 << 20

// Platform serves all platform services at one address.
type Platform struct {
	// Address is the IP address and port to listen on; port 0 lets the kernel
	// choose one.
	Address string `yaml:"address"`
	// WritesPerSecond limits the rate of rows and objects written.
	WritesPerSecond float64 `yaml:"writes_per_second"`
	// ReadsPerSecond limits the rate of rows, objects and instance lists read.
	ReadsPerSecond float64 `yaml:"reads_per_second"`
	// WeightsPerSecond limits the rate of reads of the weight store.
	WeightsPerSecond float64 `yaml:"weights_per_second"`
	// ListLag is how far the list of instances lags behind changes; a
	// negative value means no lag.
	ListLag time.Duration `yaml:"list_lag"`
	// Faults are the active faults; they may be changed at any time.
	Faults fault.Set `yaml:"-"`

	once       sync.Once
	listener   listener.Listener
	handler    http.Handler
	writes     *rate.Limiter
	reads      *rate.Limiter
	weights    *rate.Limiter
	table      table
	objects    objects
	instances  instances
	lateWrites sync.WaitGroup
}

func (p *Platform) prepare() {
	p.once.Do(func() {
		p.setDefaults()
		p.writes = newLimiter(p.WritesPerSecond)
		p.reads = newLimiter(p.ReadsPerSecond)
		p.weights = rate.NewLimiter(rate.Limit(p.WeightsPerSecond), 1)
		p.handler = p.routes()
		p.listener.Address = p.Address
		p.listener.Handler = p.handler
	})
}

func (p *Platform) setDefaults() {
	if p.WritesPerSecond == 0 {
		p.WritesPerSecond = DefaultWritesPerSecond
	}
	if p.ReadsPerSecond == 0 {
		p.ReadsPerSecond = DefaultReadsPerSecond
	}
	if p.WeightsPerSecond == 0 {
		p.WeightsPerSecond = DefaultWeightsPerSecond
	}
	if p.ListLag == 0 {
		p.ListLag = DefaultListLag
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), int(max(perSecond, 1)))
}

// Listen binds the port and starts to listen.
func (p *Platform) Listen() error {
	p.prepare()
	return p.listener.Listen()
}

// Addr returns the bound IP address and port. It is empty before Listen.
func (p *Platform) Addr() string { return p.listener.Addr() }

// Run serves until ctx is done, then waits until delayed writes are applied.
func (p *Platform) Run(ctx context.Context) error {
	p.prepare()
	defer p.lateWrites.Wait()
	return p.listener.Serve(ctx)
}

// Handler returns the HTTP handler that Run serves.
func (p *Platform) Handler() http.Handler {
	p.prepare()
	return p.handler
}

func (p *Platform) routes() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/table/write", p.serveWrite)
	api.HandleFunc("POST /v1/table/read", p.serveRead)
	api.HandleFunc("GET /v1/table/scan", p.serveScan)
	api.HandleFunc("GET /v1/objects/{name...}", p.serveGetObject)
	api.HandleFunc("PUT /v1/objects/{name...}", p.servePutObject)
	api.HandleFunc("DELETE /v1/objects/{name...}", p.serveDeleteObject)
	api.HandleFunc("GET /v1/instances", p.serveInstances)
	api.HandleFunc("PUT /v1/instances/{id}", p.servePutInstance)
	api.HandleFunc("DELETE /v1/instances/{id}", p.serveDeleteInstance)
	api.HandleFunc("GET /v1/weights/{model}/{version}", p.serveWeights)
	mux := http.NewServeMux()
	mux.Handle("/faults", &p.Faults)
	mux.HandleFunc("GET /truth", p.serveTruth)
	mux.Handle("/v1/", p.injectFaults(api))
	return mux
}

// bodyKey is the context key of the request body, which injectFaults reads.
type bodyKey struct{}

// injectFaults reads the body and applies the faults that act before any work is
// done for the request.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
			return
		}
		subject := r.Method + " " + r.URL.Path
		if f, ok := p.Faults.Trigger(fault.Slow, subject, string(body)); ok {
			fault.Sleep(r.Context(), f.Delay())
		}
		if _, ok := p.Faults.Trigger(fault.Stall, subject, string(body)); ok {
			<-r.Context().Done()
			fault.DropConnection()
		}
		if _, ok := p.Faults.Trigger(fault.Endless, subject, string(body)); ok {
			fault.WriteEndless(w)
		}
		if _, ok := p.Faults.Trigger(fault.Down, subject, string(body)); ok {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), bodyKey{}, body)))
	})
}

func requestBody(r *http.Request) []byte {
	body, _ := r.Context().Value(bodyKey{}).([]byte)
	return body
}

// mutate calls change and then respond with its result, unless a fault delays the
// change or loses the response.
func mutate[T any](p *Platform, r *http.Request, change func() T, respond func(T)) {
	subject := r.Method + " " + r.URL.Path
	body := string(requestBody(r))
	if f, ok := p.Faults.Trigger(fault.LateWrite, subject, body); ok {
		p.lateWrites.Add(1)
		time.AfterFunc(f.Delay(), func() {
			defer p.lateWrites.Done()
			change()
		})
		fault.DropConnection()
	}
	result := change()
	if _, ok := p.Faults.Trigger(fault.LostAnswer, subject, body); ok {
		fault.DropConnection()
	}
	respond(result)
}

// admit takes n tokens, at least one, from limiter. If there are too few, it
// responds with status 429 and returns false.
func admit(w http.ResponseWriter, limiter *rate.Limiter, n int) bool {
	if limiter.AllowN(time.Now(), max(n, 1)) {
		return true
	}
	w.Header().Set("Retry-After", "1")
	http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
	return false
}

func (p *Platform) serveWeights(w http.ResponseWriter, r *http.Request) {
	if !admit(w, p.weights, 1) {
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Model   string `json:"model"`
		Version string `json:"version"`
	}{r.PathValue("model"), r.PathValue("version")})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
