// Package platform is an HTTP client of the platform's services: the
// transactional table, the object store, the instance list and the weight
// store.
package platform

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"
	"github.com/sony/gobreaker/v2"
	"golang.org/x/time/rate"

	"samphirehead/state/fault"
	"samphirehead/transport/bound"
)

// Default rates, in calls per second, and durations of a Client.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
	DefaultTimeout         = 400 * time.Millisecond
	DefaultHedgeAfter      = 100 * time.Millisecond
	DefaultOpenFor         = 250 * time.Millisecond

	tripAfterFailures = 5
	idleConnections   = 64
	burstWindow       = 250 * time.Millisecond
	// connectTimeout bounds the setup of a connection, which may outlive the
	// call that started it.
	connectTimeout = 5 * time.Second
	// maxTableBytes bounds the response of a table call.
	maxTableBytes = 16 << 20
)

// ErrUnavailable marks errors of calls that failed because the service is down
// (status 500 or more), because a rate limit was reached, or because the circuit
// breaker is open.
var ErrUnavailable = errors.New("platform unavailable")

// ErrNotFound marks errors of calls that got status 404.
var ErrNotFound = errors.New("not found")

// Client calls the platform's services. Set the exported fields before the first
// call. It is safe for concurrent use.
type Client struct {
	// Address is the base URL, such as http://127.0.0.1:7000.
	Address string
	// Secret is sent as a bearer token unless it is empty.
	Secret string
	// WritesPerSecond and ReadsPerSecond limit the table rows written and the
	// table reads of all instances together; each instance may use an equal
	// share. 0 means the default.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Timeout bounds each table call whose context has no deadline; 0 means the
	// default. Calls for objects and weights are bounded by their context alone.
	Timeout time.Duration
	// HedgeAfter is the delay after which a table read that has no response is
	// sent a second time; 0 means the default.
	HedgeAfter time.Duration
	// OpenFor is how long an open circuit breaker rejects calls before it lets
	// one through as a probe; 0 means the default.
	OpenFor time.Duration

	once          sync.Once
	http          *http.Client
	objects       *http.Client
	tableBreaker  *gobreaker.CircuitBreaker[responseHead]
	objectBreaker *gobreaker.CircuitBreaker[responseHead]
	writeLimiter  *rate.Limiter
	readLimiter   *rate.Limiter
}

func (c *Client) init() { c.once.Do(c.build) }

func (c *Client) build() {
	c.WritesPerSecond = orDefault(c.WritesPerSecond, DefaultWritesPerSecond)
	c.ReadsPerSecond = orDefault(c.ReadsPerSecond, DefaultReadsPerSecond)
	c.Timeout = orDefault(c.Timeout, DefaultTimeout)
	c.HedgeAfter = orDefault(c.HedgeAfter, DefaultHedgeAfter)
	c.OpenFor = orDefault(c.OpenFor, DefaultOpenFor)
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: bound.MaxHeaderBytes,
	}
	c.http = &http.Client{Transport: &bound.Transport{Next: transport, MaxBytes: maxTableBytes}}
	c.objects = &http.Client{Transport: &bound.Transport{Next: transport, MaxBytes: maxObjectBytes + 1}}
	c.tableBreaker = c.newBreaker("table")
	c.objectBreaker = c.newBreaker("objects")
	c.writeLimiter = rate.NewLimiter(0, 1)
	c.readLimiter = rate.NewLimiter(0, 1)
	c.setRates(1)
}

func orDefault[V comparable](v, fallback V) V {
	var zero V
	if v == zero {
		return fallback
	}
	return v
}

// withTimeout returns ctx bounded by c.Timeout if it has no deadline of its own.
func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.Timeout)
}

func (c *Client) newBreaker(name string) *gobreaker.CircuitBreaker[responseHead] {
	return gobreaker.NewCircuitBreaker[responseHead](gobreaker.Settings{
		Name:    name,
		Timeout: c.OpenFor,
		ReadyToTrip: func(n gobreaker.Counts) bool {
			return n.ConsecutiveFailures >= tripAfterFailures
		},
		IsExcluded: func(err error) bool { return errors.Is(err, context.Canceled) },
	})
}

// SetInstances sets the number of live instances among which the rate limits are
// divided; values below 1 count as 1.
func (c *Client) SetInstances(n int) {
	c.init()
	c.setRates(max(n, 1))
}

func (c *Client) setRates(instances int) {
	setShare(c.writeLimiter, c.WritesPerSecond, instances)
	setShare(c.readLimiter, c.ReadsPerSecond, instances)
}

func setShare(l *rate.Limiter, total float64, instances int) {
	limit := rate.Limit(total / float64(instances))
	l.SetLimit(limit)
	l.SetBurst(max(1, int(float64(limit)*burstWindow.Seconds())))
}

// Available reports whether the table's circuit breaker lets calls through.
func (c *Client) Available() bool {
	c.init()
	return c.tableBreaker.State() != gobreaker.StateOpen
}

func (c *Client) request() *sling.Sling { return c.requestOver(c.http) }

// objectRequest is the same for calls whose responses may be as long as an object.
func (c *Client) objectRequest() *sling.Sling { return c.requestOver(c.objects) }

func (c *Client) requestOver(client *http.Client) *sling.Sling {
	s := sling.New().Client(client).Base(c.Address)
	if c.Secret == "" {
		return s
	}
	return s.Set("Authorization", "Bearer "+c.Secret)
}

// responseHead is the status and header of a response; without a response, the
// status is 0.
type responseHead struct {
	status int
	header http.Header
}

// callResult is the outcome of one HTTP call.
type callResult struct {
	responseHead
	// sent is set if any part of the request may have been sent.
	sent bool
	err  error
}

// do makes the call that s describes through the circuit breaker b. It decodes
// the body of a 2xx response into success and any other body into failure; both
// may be nil.
func (c *Client) do(ctx context.Context, b *gobreaker.CircuitBreaker[responseHead], s *sling.Sling, success, failure any) callResult {
	request, err := s.Request()
	if err != nil {
		return callResult{err: err}
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	r, err := b.Execute(func() (responseHead, error) { return send(s, request, success, failure) })
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		err = errors.Mark(err, ErrUnavailable)
	}
	return callResult{responseHead: r, sent: connected.Load(), err: err}
}

// send makes one HTTP call. It returns an error if there is no response, if the
// status is 500 or more, or if the body of a 2xx response cannot be decoded. The
// circuit breaker counts these errors as failures.
func send(s *sling.Sling, request *http.Request, success, failure any) (responseHead, error) {
	response, err := s.Do(request, success, failure) //nolint:bodyclose // Do closes it
	if response == nil {
		return responseHead{}, err
	}
	r := responseHead{status: response.StatusCode, header: response.Header}
	if r.status >= http.StatusInternalServerError {
		return r, errors.Wrapf(ErrUnavailable, "status %d", r.status)
	}
	if r.status < http.StatusMultipleChoices {
		return r, err
	}
	return r, nil
}

// retryAfter returns the delay that the Retry-After header gives in seconds, or 0
// if the header is missing or is not a non-negative number.
func (r responseHead) retryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// callError returns the error of a call without a usable response.
func (c *Client) callError(step string, result callResult) error {
	if result.err != nil {
		return fault.Wrap(step, c.Address, result.err)
	}
	switch result.status {
	case http.StatusNotFound:
		return fault.Wrap(step, c.Address, ErrNotFound)
	case http.StatusTooManyRequests:
		return fault.Wrap(step, c.Address, errors.Wrapf(ErrUnavailable, "status %d", result.status))
	}
	return fault.Wrap(step, c.Address, errors.Newf("status %d", result.status))
}
