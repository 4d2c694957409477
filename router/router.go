// Package router runs one router instance on the users' platform. It serves
// callers, chooses upstreams for their requests, and gossips membership, load,
// crashes and refusals with the other instances.
package router

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/catchup"
	"samphirehead/coordination/duty"
	"samphirehead/coordination/heartbeat"
	"samphirehead/coordination/quarantine"
	"samphirehead/coordination/registry"
	"samphirehead/coordination/resumption"
	"samphirehead/coordination/retrybudget"
	"samphirehead/coordination/usage"
	"samphirehead/protocol/call"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/state/metrics"
	"samphirehead/state/mirror"
	"samphirehead/state/record"
	"samphirehead/state/routing"
	"samphirehead/state/settings"
	"samphirehead/state/task"
	"samphirehead/transport/bound"
	"samphirehead/transport/exchange"
	"samphirehead/transport/forward"
	"samphirehead/transport/intake"
	"samphirehead/transport/relay"
)

// Platform is the source of the routes and the upstreams, and the directory in
// which instances find their peers.
type Platform interface {
	// Watch keeps a copy of a table up to date until ctx ends, and returns the
	// error of ctx. options is called before, and onCall after each call to the platform.
	Watch(ctx context.Context, table string, dst *mirror.Mirror, options func() mirror.WatchOptions, onCall func(mirror.Call)) error
	// CallAnew makes a call without a wait beside that of a watch of a table, which may hang.
	CallAnew(table string)
	// Refresh brings a copy of a table up to date once.
	Refresh(ctx context.Context, table string, dst *mirror.Mirror) error
	// Tables returns the names of the tables of the routes and the upstreams.
	Tables() (routes, upstreams string)
	// DecodeRoutes decodes the rows of the table of the routes. It returns nil
	// without an error if there are no routes yet.
	DecodeRoutes(rows map[string]mirror.Row) (*routing.Table, error)
	// DecodeUpstreams decodes the rows of the table of the upstreams.
	DecodeUpstreams(rows map[string]mirror.Row) []registry.Entry
	// Announce publishes the address at which this instance serves its peers.
	Announce(ctx context.Context, instance id.Instance, peerAddress string) error
	// Withdraw removes the announcement of an instance.
	Withdraw(ctx context.Context, instance id.Instance) error
	// StoreQuarantine stores a quarantine for instances that start later, and
	// DropQuarantine removes it.
	StoreQuarantine(ctx context.Context, q quarantine.Stored) error
	DropQuarantine(ctx context.Context, q quarantine.Stored) error
	// Shared returns the peer addresses of all announced instances, and the stored
	// quarantines.
	Shared(ctx context.Context) (peerAddresses []string, quarantines []quarantine.Stored, err error)
	// PublishOrigins publishes where streams began that the publisher has sent, and which
	// software versions streams may have begun at. ReadOrigins returns what all have
	// published.
	PublishOrigins(ctx context.Context, publisher resumption.Publisher, change resumption.Change) error
	ReadOrigins(ctx context.Context) (resumption.Publication, error)
	// ReadRow reads a row of what belongs to the duties, and WriteRow writes one
	// conditionally; ReadRows reads the rows whose keys begin with a prefix. All return the
	// era of the platform.
	ReadRow(ctx context.Context, key record.Key) (record.Row, uint64, error)
	ReadRows(ctx context.Context, prefix record.Key) ([]record.Row, uint64, error)
	WriteRow(ctx context.Context, w record.Write) (record.WriteResult, uint64)
}

// Handlers build the HTTP handlers whose form the platform prescribes.
type Handlers struct {
	// Directory serves callers that look up the caller addresses of ready
	// instances. addresses returns those for a caller, of instances in its failure
	// domain first. lifetime is how long a caller may cache an answer.
	Directory func(addresses func(caller, domain string) []string, lifetime time.Duration) http.Handler
	// Readiness serves readiness probes of this instance.
	Readiness func(ready func() bool) http.Handler
}

// Router is one instance. Its exported fields must be set before Listen.
type Router struct {
	Settings *settings.Router
	Platform Platform
	Dialect  call.Dialect
	Handlers Handlers
	// Duties are the calls that one instance at a time makes; nil if the settings have no
	// duties.
	Duties DutyCalls
	// DialUpstream opens connections to upstreams; nil means as package forward does.
	DialUpstream forward.DialFunc
	// DroppedLogLines returns the number of log lines that were dropped so far;
	// nil if log lines are never dropped.
	DroppedLogLines func() int64

	listeners map[Endpoint]httpListener
	intakes   map[Endpoint]*intake.Intake
	forward   *forward.Client
	// relays sends requests to other instances, and relayedMemory is what those of other
	// instances hold here.
	relays        *forward.Client
	relayedMemory bound.Memory
	peers         *exchange.Client
	metrics       metrics.Registry

	// table is the active routing table; nil until the first one is read.
	table     atomic.Pointer[routing.Table]
	routes    tableCopy
	upstreams tableCopy
	// applyingUpstreams guards appliedUpstreams, the revision of the content of the copy of
	// the upstreams that was last applied.
	applyingUpstreams sync.Mutex
	appliedUpstreams  mirror.Revision
	// fetches receives the tables that are to be fetched from peers.
	fetches chan tableFetch
	// platformRestored receives a value when the platform was restored from a copy.
	platformRestored chan struct{}

	mu           sync.Mutex
	activeRoutes activeRoutes
	// upstreamsEra is the era of the table of the upstreams that was last applied.
	upstreamsEra uint64
	// tableActiveSince is when the active table was installed.
	tableActiveSince time.Time
	membership       *heartbeat.Machine
	registry         registry.Registry
	pools            pools
	throttles        throttles
	retryBudgets     retrybudget.Budget
	quarantines      quarantines
	lastTicket       uint64
	refused          refusedRequests
	origins          origins
	reading          reading
	demands          demands
	capacity         capacityOrders

	paths  upstreamPaths
	drain  drainer
	duties duties
	usage  usageCounter
}

// tableCopy is this instance's copy of one table of the platform.
type tableCopy struct {
	name string
	mirror.Mirror
	// reachable is set while the platform answers.
	reachable atomic.Bool
	// failed is set while the last call of the watch has failed.
	failed atomic.Bool
	// news tracks whether peers have a newer copy. It is guarded by Router.mu.
	news catchup.Machine
	// peerReachedAt is when a peer last reported that the platform answers it.
	// It is guarded by Router.mu.
	peerReachedAt time.Time
}

// Endpoint identifies one of an instance's listening addresses by who or what is
// served there.
type Endpoint string

// The endpoints of an instance.
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
	// registryInterval is how often the registry is checked for upstreams that
	// have expired.
	registryInterval = 200 * time.Millisecond
	// Buffered answers of upstreams may use 1/answerMemoryDivisor of the memory
	// of the process.
	answerMemoryDivisor = 8
	// closeTimeout bounds the graceful shutdown of a listener.
	closeTimeout = 300 * time.Millisecond
)

// Listen opens the listeners and initializes the router. It must be called
// before Run.
func (r *Router) Listen() error {
	r.forward = &forward.Client{Dialect: r.Dialect, Memory: r.Settings.MemoryBytes / answerMemoryDivisor, Dial: r.DialUpstream}
	r.relays = &forward.Client{
		Dialect: relay.Dialect{Dialect: r.Dialect, Secret: r.Settings.PeerSecret.Reveal()},
		Memory:  r.Settings.MemoryBytes / relayAnswerDivisor,
	}
	r.relayedMemory.Limit = cmp.Or(r.Settings.MemoryBytes, defaultRelayedMemory*relayedMemoryDivisor) / relayedMemoryDivisor
	r.paths.init()
	r.peers = &exchange.Client{Secret: r.Settings.PeerSecret.Reveal()}
	r.routes.name, r.upstreams.name = r.Platform.Tables()
	if err := r.refused.init(); err != nil {
		return err
	}
	r.quarantines.init()
	r.origins.init(r)
	r.duties.init(r)
	r.throttles = make(throttles)
	r.demands = make(demands)
	r.platformRestored = make(chan struct{}, 1)
	r.fetches = make(chan tableFetch, maxQueuedFetches)
	r.upstreams.news.Patience = upstreamsPatience
	r.applyRetries(r.Settings)
	r.drain.init(r.Settings.Grace, r.Settings.EntryLifetime)
	if err := r.listen(); err != nil {
		return err
	}
	r.membership = &heartbeat.Machine{
		Self: heartbeat.Record{
			Instance:      r.Settings.Instance,
			Incarnation:   id.Incarnation(time.Now().UnixNano()),
			FailureDomain: r.Settings.FailureDomain,
			CallerAddress: r.Addr(Callers),
			PeerAddress:   r.Addr(Peers),
		},
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	r.membership.Step(time.Now(), heartbeat.SeedsAdded{Addresses: r.Settings.Seeds})
	if r.Settings.Duties.Has(settings.DutyUsage) {
		r.competeFor(duty.Usage, "")
		r.usage.init(r.Settings.Duties, usage.Process{Instance: r.Settings.Instance, Incarnation: r.membership.Self.Incarnation})
	}
	return nil
}

func (r *Router) listen() error {
	r.intakes = r.newIntakes()
	r.listeners = make(map[Endpoint]httpListener)
	for endpoint, l := range map[Endpoint]struct {
		address string
		handler http.Handler
	}{
		Callers:   {r.Settings.CallerAddress, r},
		Readiness: {r.Settings.ReadinessAddress, r.Handlers.Readiness(r.ready)},
		Directory: {r.Settings.DirectoryAddress, r.Handlers.Directory(r.callerAddresses, r.Settings.EntryLifetime)},
		Peers:     {r.Settings.PeerAddress, r.peersHandler()},
		Operators: {r.Settings.OperatorAddress, r.metricsHandler()},
	} {
		if l.address == "" {
			continue
		}
		bounds := r.intakes[endpoint]
		listener, err := listenAt(l.address, bounds)
		if err != nil {
			return fault.Wrap("listen", l.address, err)
		}
		server := &http.Server{
			Handler:           l.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}
		if endpoint != Callers {
			server.ReadTimeout = headerTimeout
		}
		if bounds != nil {
			bounds.Attach(server)
		}
		r.listeners[endpoint] = httpListener{listener, server}
	}
	return nil
}

// Addr returns the address of an endpoint once Listen has returned. It is empty
// if the settings give the endpoint no address.
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
	// The first window of the process begins with the first call.
	r.retryBudgets.ObserveInstances(time.Now(), 1)
}

// Reload applies the settings that may change while the instance runs: the
// retry budget and the seeds.
func (r *Router) Reload(s *settings.Router) {
	r.applyRetries(s)
	r.mu.Lock()
	r.membership.Step(time.Now(), heartbeat.SeedsAdded{Addresses: s.Seeds})
	r.mu.Unlock()
	klog.InfoS("settings reloaded", "retry_ratio", s.Retries.Ratio, "retry_slack", s.Retries.Slack)
}

// Run serves until ctx ends or the instance is drained. It returns the errors of
// its tasks.
func (r *Router) Run(ctx context.Context) error {
	klog.InfoS("started", "failure_domain", r.Settings.FailureDomain, "callers", r.Addr(Callers), "peers", r.Addr(Peers))
	// As soon as one task returns, the others are stopped. That includes the
	// task that waits for the drain.
	err := task.Run(ctx, r.tasks())
	klog.InfoS("stopped", "in_flight", r.drain.requestsInFlight())
	return err
}

func (r *Router) tasks() []task.Task {
	tasks := []task.Task{
		{Name: "routes", Run: func(ctx context.Context) error { return r.watch(ctx, &r.routes, routesWatch) }},
		{Name: "upstreams", Run: func(ctx context.Context) error {
			return r.watch(ctx, &r.upstreams, r.upstreamsWatch)
		}},
		{Name: "tables", Run: r.applyTables},
		{Name: "exchange", Run: r.gossip},
		{Name: "fetches", Run: r.fetchTables},
		{Name: "announcement", Run: r.announce},
		{Name: "quarantines", Run: r.storeQuarantines},
		{Name: "stream origins", Run: r.publishOrigins},
		{Name: "reads of stream origins", Run: r.origins.reads.Run},
		{Name: "confirmations of upstreams", Run: r.origins.confirmations.Run},
		{Name: "paths to upstreams", Run: r.watchPaths},
		{Name: "drain", Run: r.waitForDrain},
	}
	if r.Settings.Duties != nil {
		tasks = append(tasks, task.Task{Name: "duties", Run: r.runDuties})
	}
	if r.usage.enabled {
		tasks = append(tasks, task.Task{Name: "usage counts", Run: r.passUsage}, task.Task{Name: "usage reports", Run: r.reportUsage})
	}
	if r.Settings.Duties.Has(settings.DutyCapacity) {
		tasks = append(tasks, task.Task{Name: "capacity orders", Run: r.orderCapacity})
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

// ready reports whether callers may be sent to this instance.
func (r *Router) ready() bool {
	return r.table.Load() != nil && !r.drain.started()
}
