// Package router composes one instance on the users' platform: it serves
// callers, chooses upstreams, and shares with the other instances what all of
// them need to know.
package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/pulse"
	"samphirehead/coordination/registry"
	"samphirehead/coordination/share"
	"samphirehead/coordination/suspect"
	"samphirehead/protocol/call"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/state/metrics"
	"samphirehead/state/mirror"
	"samphirehead/state/routing"
	"samphirehead/state/settings"
	"samphirehead/state/task"
	"samphirehead/transport/exchange"
	"samphirehead/transport/forward"
)

// Platform is where the routes and the upstreams come from.
type Platform interface {
	// Watch keeps a copy of a table until ctx ends, and returns its error;
	// reached hears after each call whether the platform answered.
	Watch(ctx context.Context, table string, into *mirror.Mirror, onCall func(error)) error
	// Tables names the tables of the routes and of the upstreams.
	Tables() (routes, upstreams string)
	// Rules decodes the routes; nil without an error means that there are
	// none yet.
	Rules(rows map[string]mirror.Row) (*routing.Table, error)
	// Entries decodes the upstreams.
	Entries(rows map[string]mirror.Row) []registry.Entry
	// Announce tells where this instance serves its peers.
	Announce(ctx context.Context, instance id.Instance, peerAddress string) error
	// Withdraw takes that back.
	Withdraw(ctx context.Context, instance id.Instance) error
	// Announced returns the peer addresses that instances announced.
	Announced(ctx context.Context) ([]string, error)
}

// Handlers make the platform's view of this instance.
type Handlers struct {
	// Directory serves callers that ask for entries.
	Directory func(addresses func(domain string) []string, lifetime time.Duration) http.Handler
	// Readiness serves the question whether this instance is ready.
	Readiness func(ready func() bool) http.Handler
}

// Router is one instance. Its exported fields are set before Listen.
type Router struct {
	Settings *settings.Router
	Platform Platform
	Dialect  call.Dialect
	Handlers Handlers
	// Dropped counts log lines that were not written; nil counts none.
	DroppedLogLines func() int64

	listeners map[Endpoint]httpListener
	forward   *forward.Client
	peers     *exchange.Client
	metrics   metrics.Registry

	// table is the routing table in force; nil before the first.
	table     atomic.Pointer[routing.Table]
	routes    tableCopy
	upstreams tableCopy

	mu sync.Mutex
	// tableAt is when the table in force took effect.
	tableActiveSince time.Time
	membership       *pulse.Machine
	registry         registry.Registry
	pools            pools
	retryBudgets     share.Budget
	suspects         suspect.Tracker
	// crashes holds those to be told to the others, the newest last.
	reportedCrashes []suspect.Record
	lastTicket      uint64
	refused         refusedRequests

	inFlight atomic.Int64
	drain    drainer
}

// copied is the copy of one table of the platform.
type tableCopy struct {
	name string
	mirror.Mirror
	// reached is set while the platform answers.
	reachable atomic.Bool
	// behind counts the exchanges in a row in which a peer knew more.
	timesBehind atomic.Int32
	// peerReached is when a peer last said that the platform answers it; the
	// router's lock guards it.
	peerReachedAt time.Time
}

// Side names who is served at one address.
type Endpoint string

// The sides of an instance.
const (
	Callers   Endpoint = "callers"
	Readiness Endpoint = "readiness"
	Directory Endpoint = "directory"
	Peers     Endpoint = "peers"
	Operators Endpoint = "operators"
)

type httpListener struct {
	net.Listener
	server *http.Server
}

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// registryInterval is how often lapsed upstreams are looked for.
	registryInterval = 200 * time.Millisecond
	// crashLimit is how many upstreams a request may crash before it is kept
	// from all. A request that goes on elsewhere may meet two that crash at
	// one moment.
	crashLimit = 3
	// closeTime bounds the end of the listeners.
	closeTimeout = 300 * time.Millisecond
)

// Listen opens the listeners and builds the parts.
func (r *Router) Listen() error {
	r.forward = &forward.Client{Dialect: r.Dialect}
	r.peers = &exchange.Client{Secret: r.Settings.PeerSecret.Reveal()}
	r.routes.name, r.upstreams.name = r.Platform.Tables()
	if err := r.refused.init(); err != nil {
		return err
	}
	r.suspects.CrashLimit = crashLimit
	r.applyRetries(r.Settings)
	r.drain.init(r.Settings.Grace, r.Settings.EntryLifetime)
	if err := r.listen(); err != nil {
		return err
	}
	r.membership = &pulse.Machine{
		Self: pulse.Record{
			Instance:      r.Settings.Instance,
			Incarnation:   id.Incarnation(time.Now().UnixNano()),
			FailureDomain: r.Settings.FailureDomain,
			CallerAddress: r.Addr(Callers),
			PeerAddress:   r.Addr(Peers),
		},
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	r.membership.Step(time.Now(), pulse.SeedsAdded{Addresses: r.Settings.Seeds})
	return nil
}

func (r *Router) listen() error {
	r.listeners = make(map[Endpoint]httpListener)
	for endpoint, l := range map[Endpoint]struct {
		address string
		handler http.Handler
	}{
		Callers:   {r.Settings.CallerAddress, r},
		Readiness: {r.Settings.ReadinessAddress, r.Handlers.Readiness(r.ready)},
		Directory: {r.Settings.DirectoryAddress, r.Handlers.Directory(r.callerAddresses, r.Settings.EntryLifetime)},
		Peers:     {r.Settings.PeerAddress, exchange.Handler(r.Settings.PeerSecret.Reveal(), r)},
		Operators: {r.Settings.OperatorAddress, r.metricsHandler()},
	} {
		if l.address == "" {
			continue
		}
		config := net.ListenConfig{}
		listener, err := config.Listen(context.Background(), "tcp", l.address)
		if err != nil {
			return fault.Wrap("listen", l.address, err)
		}
		r.listeners[endpoint] = httpListener{listener, &http.Server{
			Handler:           l.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}}
	}
	return nil
}

// Addr returns where a side is served once Listen has returned; empty where it
// is not.
func (r *Router) Addr(endpoint Endpoint) string {
	l, ok := r.listeners[endpoint]
	if !ok {
		return ""
	}
	return l.Addr().String()
}

func (r *Router) applyRetries(s *settings.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudgets.Ratio, r.retryBudgets.Slack = s.Retries.Ratio, s.Retries.Slack
	r.retryBudgets.Window = s.Retries.Window
}

// Reload takes over the settings that may change while the instance runs.
func (r *Router) Reload(s *settings.Router) {
	r.applyRetries(s)
	r.mu.Lock()
	r.membership.Step(time.Now(), pulse.SeedsAdded{Addresses: s.Seeds})
	r.mu.Unlock()
	klog.InfoS("settings reloaded", "retry_ratio", s.Retries.Ratio, "retry_slack", s.Retries.Slack)
}

// Run serves until ctx ends or the instance has left. It returns the first
// error of any part.
func (r *Router) Run(ctx context.Context) error {
	klog.InfoS("started", "failure_domain", r.Settings.FailureDomain, "callers", r.Addr(Callers), "peers", r.Addr(Peers))
	// The end of any part, also of the leaving, ends the others.
	err := task.Run(ctx, r.tasks())
	klog.InfoS("stopped", "in_flight", r.inFlight.Load())
	return err
}

func (r *Router) tasks() []task.Task {
	tasks := []task.Task{
		{Name: "routes", Run: func(ctx context.Context) error { return r.watch(ctx, &r.routes) }},
		{Name: "upstreams", Run: func(ctx context.Context) error { return r.watch(ctx, &r.upstreams) }},
		{Name: "tables", Run: r.applyTables},
		{Name: "exchange", Run: r.gossip},
		{Name: "announcement", Run: r.announce},
		{Name: "leaving", Run: r.waitForDrain},
	}
	for endpoint, l := range r.listeners {
		tasks = append(tasks, task.Task{Name: "listener for " + string(endpoint), Run: func(ctx context.Context) error { return serve(ctx, l) }})
	}
	return tasks
}

func serve(ctx context.Context, l httpListener) error {
	ended := make(chan error, 1)
	go func() { ended <- l.server.Serve(l.Listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if err := l.server.Shutdown(shutdownCtx); err != nil {
		_ = l.server.Close()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ready reports whether callers may be sent here.
func (r *Router) ready() bool {
	return r.table.Load() != nil && !r.drain.started()
}

// entries returns the caller addresses of the instances that are ready, those
// of the domain first.
func (r *Router) callerAddresses(domain string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sameDomain, otherDomains []string
	for _, e := range r.membership.Entries(time.Now()) {
		if string(e.FailureDomain) == domain {
			sameDomain = append(sameDomain, e.CallerAddress)
		} else {
			otherDomains = append(otherDomains, e.CallerAddress)
		}
	}
	return append(sameDomain, otherDomains...)
}
