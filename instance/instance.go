// Package instance assembles one samphirehead process. It listens for callers,
// peers and operators, and runs the request entry, the membership protocol, the
// exchange of load reports and the work that needs a lease.
package instance

import (
	"context"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/membership"
	"samphirehead/coordination/quarantine"
	"samphirehead/coordination/retry"
	"samphirehead/instance/atmostonce"
	"samphirehead/instance/dispatch"
	"samphirehead/instance/dispatcher"
	"samphirehead/instance/entry"
	"samphirehead/instance/limits"
	"samphirehead/instance/loadexchange"
	"samphirehead/instance/manifests"
	"samphirehead/instance/members"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/metrics"
	"samphirehead/state/settings"
	"samphirehead/state/task"
	"samphirehead/transport/caller"
	"samphirehead/transport/engine"
	"samphirehead/transport/operator"
	"samphirehead/transport/peer"
	"samphirehead/transport/platform"
	"samphirehead/transport/service"
)

// Instance is one process of the router. Set the exported fields before Listen.
type Instance struct {
	Settings *settings.Settings
	// NewDispatcher, unless nil, makes the dispatcher that requests use instead
	// of the built-in one. Benchmarks set it to compare other policies.
	NewDispatcher func(index func() *manifest.Index) dispatch.Dispatcher
	// PeerFaults, unless nil, wraps the transport to peers. Tests use it to
	// drop messages.
	WrapPeerTransport func(http.RoundTripper) http.RoundTripper

	callers   net.Listener
	peers     net.Listener
	operators net.Listener

	incarnation  id.Incarnation
	registry     metrics.Registry
	quarantine   *quarantine.Tracker
	clients      *peer.Clients
	platform     *platform.Client
	engines      *engine.Client
	services     *service.Client
	members      *members.Members
	manifests    *manifests.Manifests
	dispatcher   *dispatcher.Dispatcher
	loadExchange *loadexchange.Exchange
	limits       *limits.Limits
	entry        *entry.Entry
	drain        drainState

	// active is the manifest that requests are served by; nil before the first.
	active atomic.Pointer[activeManifest]
	// inFlight counts callers' requests in progress.
	inFlight atomic.Int64
	// crashesFetched is set once the attempt to fetch crash records from other
	// instances has ended.
	crashesFetched atomic.Bool
	// crashFetchDone receives once crashesFetched is set.
	crashFetchDone chan struct{}
	// backgroundCalls queues calls for runBackgroundCalls.
	backgroundCalls chan func(context.Context) error
}

// activeManifest is a manifest in use, with its index.
type activeManifest struct {
	version     id.ManifestVersion
	index       *manifest.Index
	activatedAt time.Time
}

// Listen opens the three listeners and builds the components.
func (i *Instance) Listen() error {
	var err error
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{
		{&i.callers, i.Settings.CallerAddress},
		{&i.peers, i.Settings.PeerAddress},
		{&i.operators, i.Settings.OperatorAddress},
	} {
		config := net.ListenConfig{}
		if *l.listener, err = config.Listen(context.Background(), "tcp", l.address); err != nil {
			return fault.Wrap("listen", l.address, err)
		}
	}
	i.incarnation = id.Incarnation(time.Now().UnixNano())
	i.crashFetchDone = make(chan struct{}, 1)
	i.backgroundCalls = make(chan func(context.Context) error, backgroundQueueSize)
	i.drain.init()
	i.build()
	return nil
}

// CallerAddr returns the address of the callers' listener. Call it after Listen.
func (i *Instance) CallerAddr() string { return i.callers.Addr().String() }

// PeerAddr returns the address of the peers' listener. Call it after Listen.
func (i *Instance) PeerAddr() string { return i.peers.Addr().String() }

// OperatorAddr returns the address of the operators' listener. Call it after
// Listen.
func (i *Instance) OperatorAddr() string { return i.operators.Addr().String() }

// Index returns the index of the active manifest, or nil before the first.
func (i *Instance) Index() *manifest.Index {
	current := i.active.Load()
	if current == nil {
		return nil
	}
	return current.index
}

func (i *Instance) build() {
	i.clients = &peer.Clients{Secret: i.Settings.PeerSecret.Reveal(), Wrap: i.WrapPeerTransport}
	i.platform = &platform.Client{Address: "http://" + i.Settings.PlatformAddress}
	i.engines = &engine.Client{HTTP: engine.NewHTTPClient()}
	i.services = &service.Client{}
	i.quarantine = &quarantine.Tracker{}
	i.buildMembers()
	i.buildManifests()
	i.buildDispatcher()
	i.limits = &limits.Limits{
		Self:          i.Settings.Instance,
		Members:       i.members.Records,
		Client:        i.clients.Limit,
		Stamp:         i.stamp,
		StampReceived: i.observeStamp,
	}
	i.buildEntry()
}

func (i *Instance) buildDispatcher() {
	i.dispatcher = &dispatcher.Dispatcher{
		FailureDomain:    i.Settings.FailureDomain,
		Quarantine:       i.quarantine,
		BroadcastCrashes: i.gossipCrashes,
	}
	i.dispatcher.Init()
	i.loadExchange = &loadexchange.Exchange{
		Peers:        i.livePeers,
		Client:       i.clients.Load,
		State:        i.loadState,
		LoadReceived: i.loadReceived,
		Failed:       func(instance id.Instance) { i.members.ReportFailedCall(instance) },
		Random:       newRandom(i.incarnation),
	}
}

func (i *Instance) buildEntry() {
	i.entry = &entry.Entry{
		Dispatcher:  i.dispatcher,
		Engines:     i.engines,
		Services:    i.services,
		Calls:       &atmostonce.Calls{Table: i.platform, Instance: i.Settings.Instance},
		Metrics:     &i.registry,
		Index:       i.Index,
		Admit:       i.admit,
		ReportUsage: i.limits.CorrectEstimate,
		Crashed:     i.reportCrash,
		Retries:     retry.Policy{Floor: retryFloor},
	}
	if i.NewDispatcher != nil {
		i.entry.Dispatcher = i.NewDispatcher(i.Index)
	}
}

const (
	// headroomInterval is how often the headroom is advertised to members.
	headroomInterval = time.Second
	// operatorTimeout bounds reading an operator's request, and answering it.
	operatorTimeout = time.Minute
	// drainRecordsTimeout is how long a draining instance waits for late
	// answers to be recorded. stopRecordsTimeout is how long an instance waits
	// for them after its tasks have ended.
	drainRecordsTimeout = atmostonce.DefaultLateAnswerTimeout
	stopRecordsTimeout  = time.Second
	// retryFloor is the number of retries of a class that are allowed without
	// recent successes. Two crashing engines of 8 slots fail 16 requests.
	retryFloor = 16
	// drainPollInterval is how often a draining instance checks for requests in
	// progress.
	drainPollInterval = 20 * time.Millisecond
	// maxBackgroundCalls bounds the concurrent background calls,
	// backgroundQueueSize those that wait to be started.
	maxBackgroundCalls  = 64
	backgroundQueueSize = 1024
)

// Run serves until ctx ends, which aborts the requests in progress, or until a
// drain has finished. It returns the errors of all tasks.
func (i *Instance) Run(ctx context.Context) error {
	klog.InfoS("instance started", "instance", i.Settings.Instance, "callers", i.CallerAddr(), "peers", i.PeerAddr(), "operators", i.OperatorAddr())
	// When any task returns, the drain included, the others are stopped.
	err := task.Run(ctx, i.tasks())
	i.awaitRecords(context.WithoutCancel(ctx), stopRecordsTimeout)
	i.entry.Calls.Stop()
	return err
}

// awaitRecords waits until the outcomes of at-most-once calls are recorded. Their
// callers may have been answered already.
func (i *Instance) awaitRecords(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := i.entry.Calls.Wait(ctx); err != nil {
		klog.InfoS("at-most-once calls not recorded in time", "instance", i.Settings.Instance, "err", err)
	}
}

func (i *Instance) tasks() []task.Task {
	return []task.Task{
		{Name: "members", Run: i.members.Run},
		{Name: "manifests", Run: i.manifests.Run},
		{Name: "dispatcher", Run: i.dispatcher.Run},
		{Name: "loads", Run: i.loadExchange.Run},
		{Name: "limits", Run: i.limits.Run},
		{Name: "reconfiguration", Run: i.watchChanges},
		{Name: "background calls", Run: i.runBackgroundCalls},
		{Name: "crash records", Run: i.fetchCrashes},
		{Name: "leaving", Run: i.runDrain},
		{Name: "claim expiry", Run: i.claimExpiry().Run},
		{Name: "callers", Run: func(ctx context.Context) error { return serveHTTP(ctx, i.callers, i.callerServer()) }},
		{Name: "peers", Run: func(ctx context.Context) error { return serveHTTP(ctx, i.peers, i.peerServer()) }},
		{Name: "operators", Run: func(ctx context.Context) error { return serveHTTP(ctx, i.operators, i.operatorServer()) }},
	}
}

// serveHTTP serves until ctx ends, and returns when all handlers have returned.
func serveHTTP(ctx context.Context, l net.Listener, s *http.Server) error {
	// Each handler runs under a read lock. The deferred Lock waits for them and
	// is never released, so that requests which arrive later are dropped.
	var handlers sync.RWMutex
	defer handlers.Lock()
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !handlers.TryRLock() {
			return
		}
		defer handlers.RUnlock()
		next.ServeHTTP(w, r)
	})
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fault.Wrap("serve", l.Addr().String(), err)
}

func (i *Instance) callerServer() *http.Server {
	l := i.Settings.Limits
	server := &caller.Server{
		RequestHandler: (*callerHandler)(i),
		MaxBodyBytes:   l.MaxBodyBytes,
		MaxConcurrent:  l.MaxConcurrentRequests,
		BodyTimeout:    l.BodyTimeout,
		WriteTimeout:   l.WriteTimeout,
	}
	return &http.Server{
		Handler:           i.countInFlight(server.Handler()),
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.MaxHeaderBytes,
		ErrorLog:          httpErrorLog(),
	}
}

func (i *Instance) operatorServer() *http.Server {
	server := &operator.Server{
		Secret:         i.Settings.OperatorSecret,
		RequestHandler: (*operatorHandler)(i),
		Metrics:        i.metricsHandler(),
	}
	return &http.Server{
		Handler:           server.Handler(),
		ReadHeaderTimeout: i.Settings.Limits.HeaderTimeout,
		ReadTimeout:       operatorTimeout,
		WriteTimeout:      operatorTimeout,
		MaxHeaderBytes:    i.Settings.Limits.MaxHeaderBytes,
		ErrorLog:          httpErrorLog(),
	}
}

// httpErrorLog writes the messages of net/http to the log.
func httpErrorLog() *log.Logger { return klog.NewStandardLogger("ERROR") }

func (i *Instance) peerServer() *http.Server {
	server := peer.NewServer(peer.Handler(i.Settings.PeerSecret.Reveal(), peer.Services{
		Load:    i.loadExchange,
		Member:  i.members,
		Control: (*controlServer)(i),
		Limit:   i.limits,
	}))
	server.ErrorLog = httpErrorLog()
	return server
}

// watchChanges applies changes of the members and the manifest until ctx ends.
func (i *Instance) watchChanges(ctx context.Context) error {
	ticker := time.NewTicker(headroomInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			i.members.UpdateSelf(i.advertisedVersion(i.version()), i.headroom())
			continue
		case <-i.members.Changed():
		case <-i.crashFetchDone:
		case <-i.manifests.Changed():
			i.activateManifest()
			continue
		}
		i.reconfigure(i.active.Load())
	}
}

func newRandom(seed id.Incarnation) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(seed), 0))
}

func selfRecord(i *Instance) membership.Record {
	return membership.Record{
		Instance:      i.Settings.Instance,
		Incarnation:   i.incarnation,
		State:         membership.Alive,
		FailureDomain: i.Settings.FailureDomain,
		Region:        i.Settings.Region,
		CallerAddress: advertised(i.Settings.AdvertisedCallerAddress, i.CallerAddr()),
		PeerAddress:   advertised(i.Settings.AdvertisedPeerAddress, i.PeerAddr()),
	}
}

func advertised(configured, actual string) string {
	if configured != "" {
		return configured
	}
	return actual
}
