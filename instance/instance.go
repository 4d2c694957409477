// Package instance composes one samphirehead process: entry, member and holder
// of leases, behind listeners for callers, peers and operators.
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

	"samphirehead/coordination/member"
	"samphirehead/coordination/retry"
	"samphirehead/coordination/suspect"
	"samphirehead/instance/atmostonce"
	"samphirehead/instance/direct"
	"samphirehead/instance/dispatch"
	"samphirehead/instance/entry"
	"samphirehead/instance/limits"
	"samphirehead/instance/loads"
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

// Instance is one process. Its exported fields are set before Listen.
type Instance struct {
	Settings *settings.Settings
	// Baseline, unless nil, replaces the dispatcher by one that it makes. It
	// serves to measure what the dispatcher brings.
	NewDispatcher func(index func() *manifest.Index) dispatch.Dispatcher
	// PeerFaults, unless nil, loses messages to peers in tests.
	PeerFaults func(http.RoundTripper) http.RoundTripper

	callers   net.Listener
	peers     net.Listener
	operators net.Listener

	incarnation id.Incarnation
	registry    metrics.Registry
	suspects    *suspect.Tracker
	clients     *peer.Clients
	platform    *platform.Client
	engines     *engine.Client
	services    *service.Client
	members     *members.Members
	manifests   *manifests.Manifests
	direct      *direct.Dispatcher
	loads       *loads.Exchange
	limits      *limits.Limits
	entry       *entry.Entry
	drain       drainState

	// index is that of the manifest in force; nil before the first.
	active atomic.Pointer[activeManifest]
	// inFlight counts callers' requests in progress.
	inFlight atomic.Int64
	// learnt is set once the crashes that others know of are known here.
	crashesFetched atomic.Bool
	// learntNow receives when learnt is set.
	crashFetchDone chan struct{}
	// calls holds calls for the background.
	backgroundCalls chan func(context.Context) error
}

// indexed is a manifest in force.
type activeManifest struct {
	version     id.ManifestVersion
	index       *manifest.Index
	activatedAt time.Time
}

// Listen opens the three listeners and builds the parts.
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

// CallerAddr returns the callers' address once Listen has returned.
func (i *Instance) CallerAddr() string { return i.callers.Addr().String() }

// PeerAddr returns the peers' address once Listen has returned.
func (i *Instance) PeerAddr() string { return i.peers.Addr().String() }

// OperatorAddr returns the operators' address once Listen has returned.
func (i *Instance) OperatorAddr() string { return i.operators.Addr().String() }

// Index returns the manifest in force, nil before the first.
func (i *Instance) Index() *manifest.Index {
	current := i.active.Load()
	if current == nil {
		return nil
	}
	return current.index
}

func (i *Instance) build() {
	i.clients = &peer.Clients{Secret: i.Settings.PeerSecret.Reveal(), Wrap: i.PeerFaults}
	i.platform = &platform.Client{Address: "http://" + i.Settings.PlatformAddress}
	i.engines = &engine.Client{HTTP: engine.NewHTTPClient()}
	i.services = &service.Client{}
	i.suspects = &suspect.Tracker{}
	i.buildMembers()
	i.buildManifests()
	i.buildDispatcher()
	i.limits = &limits.Limits{
		Self:          i.Settings.Instance,
		Members:       i.members.Records,
		Remote:        i.clients.Limit,
		Stamp:         i.stamp,
		StampReceived: i.observeStamp,
	}
	i.buildEntry()
}

func (i *Instance) buildDispatcher() {
	i.direct = &direct.Dispatcher{
		FailureDomain:    i.Settings.FailureDomain,
		Suspects:         i.suspects,
		BroadcastCrashes: i.gossipCrashes,
	}
	i.direct.Init()
	i.loads = &loads.Exchange{
		Peers:    i.livePeers,
		Remote:   i.clients.Load,
		State:    i.loadState,
		Received: i.loadReceived,
		Failed:   func(instance id.Instance) { i.members.ReportFailedCall(instance) },
		Random:   newRandom(i.incarnation),
	}
}

func (i *Instance) buildEntry() {
	i.entry = &entry.Entry{
		Dispatcher:  i.direct,
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
	// headroomInterval is how often members are told of the headroom.
	headroomInterval = time.Second
	// operatorTimeout bounds the reading and the answering of an operator's
	// request.
	operatorTimeout = time.Minute
	// lateRecords is how long a leaving instance waits for answers that are
	// still to be recorded, lastRecords how long one that is ended does.
	drainRecordsTimeout = atmostonce.DefaultLateAnswerTimeout
	stopRecordsTimeout  = time.Second
	// retryFloor is how many retries of a class need no recent success: as
	// many as two engines of 8 slots lose when they crash.
	retryFloor = 16
	// drainPoll is how often a leaving instance looks whether it may end.
	drainPollInterval = 20 * time.Millisecond
	// maxBackground bounds the calls in the background at a time,
	// queuedBackground those that wait.
	maxBackgroundCalls  = 64
	backgroundQueueSize = 1024
)

// Run serves until ctx ends, which cuts everything, or until the instance has
// left. It returns the first error of any part.
func (i *Instance) Run(ctx context.Context) error {
	klog.InfoS("instance started", "instance", i.Settings.Instance, "callers", i.CallerAddr(), "peers", i.PeerAddr(), "operators", i.OperatorAddr())
	// The end of any part, also the drain, ends the others.
	err := task.Run(ctx, i.tasks())
	i.awaitRecords(context.WithoutCancel(ctx), stopRecordsTimeout)
	i.entry.Calls.Stop()
	return err
}

// awaitRecords waits for the records of at-most-once calls whose callers have
// their answers already.
func (i *Instance) awaitRecords(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := i.entry.Calls.Wait(ctx); err != nil {
		klog.InfoS("records of calls left unfinished", "instance", i.Settings.Instance, "err", err)
	}
}

func (i *Instance) tasks() []task.Task {
	return []task.Task{
		{Name: "members", Run: i.members.Run},
		{Name: "manifests", Run: i.manifests.Run},
		{Name: "dispatcher", Run: i.direct.Run},
		{Name: "loads", Run: i.loads.Run},
		{Name: "limits", Run: i.limits.Run},
		{Name: "reconfiguration", Run: i.watchChanges},
		{Name: "calls in the background", Run: i.runBackgroundCalls},
		{Name: "known crashes", Run: i.fetchCrashes},
		{Name: "leaving", Run: i.runDrain},
		{Name: "expiry of claims", Run: i.claimExpiry().Run},
		{Name: "callers", Run: func(ctx context.Context) error { return serveHTTP(ctx, i.callers, i.callerServer()) }},
		{Name: "peers", Run: func(ctx context.Context) error { return serveHTTP(ctx, i.peers, i.peerServer()) }},
		{Name: "operators", Run: func(ctx context.Context) error { return serveHTTP(ctx, i.operators, i.operatorServer()) }},
	}
}

// serveHTTP serves until ctx ends, and returns when all requests have ended.
func serveHTTP(ctx context.Context, l net.Listener, s *http.Server) error {
	// Requests hold it for reading; whoever locks it is the last.
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
		Backend:       (*callerBackend)(i),
		MaxBodyBytes:  l.MaxBodyBytes,
		MaxConcurrent: l.MaxConcurrentRequests,
		BodyTimeout:   l.BodyTimeout,
		WriteTimeout:  l.WriteTimeout,
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
		Secret:  i.Settings.OperatorSecret,
		Backend: (*operatorBackend)(i),
		Metrics: i.metricsHandler(),
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

// httpErrors takes net/http's own messages into the log.
func httpErrorLog() *log.Logger { return klog.NewStandardLogger("ERROR") }

func (i *Instance) peerServer() *http.Server {
	server := peer.NewServer(peer.Handler(i.Settings.PeerSecret.Reveal(), peer.Services{
		Load:    i.loads,
		Member:  i.members,
		Control: (*controlServer)(i),
		Limit:   i.limits,
	}))
	server.ErrorLog = httpErrorLog()
	return server
}

// watch applies changes of members and manifest until ctx ends.
func (i *Instance) watchChanges(ctx context.Context) error {
	ticker := time.NewTicker(headroomInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			i.members.Update(i.advertisedVersion(i.version()), i.headroom())
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

func selfRecord(i *Instance) member.Record {
	return member.Record{
		Instance:      i.Settings.Instance,
		Incarnation:   i.incarnation,
		State:         member.Alive,
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
