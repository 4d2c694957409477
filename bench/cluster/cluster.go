// Package cluster runs four instances, and stand-ins for the platform and the
// upstreams of the sample manifest (config/trust.yaml), in one process. They
// talk over loopback TCP on ports that the kernel chooses.
package cluster

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/standin/engine"
	"samphirehead/standin/platform"
	"samphirehead/standin/service"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/settings"
	"samphirehead/transport/operator"
)

// Secrets that the instances of a cluster share.
const (
	peerSecret     settings.Secret = "bench-peer-secret"
	operatorSecret settings.Secret = "bench-operator-secret"
)

const (
	startTimeout      = 20 * time.Second
	startPollInterval = 20 * time.Millisecond
)

// Instance is one samphirehead instance that runs inside this process.
type Instance interface {
	// Listen opens the listeners.
	Listen() error
	// The addresses are valid once Listen has returned.
	CallerAddr() string
	PeerAddr() string
	OperatorAddr() string
	// Run serves until the instance has drained, or until ctx ends, which
	// cuts all connections off.
	Run(ctx context.Context) error
}

// Cluster is a set of instances with the stand-ins that they use. Its exported
// fields are set before Start.
type Cluster struct {
	// NewInstance makes an instance; the cluster calls its Listen.
	NewInstance NewInstance

	Platform *platform.Platform
	Engines  []*engine.Engine
	Services []*service.Service

	ctx             context.Context
	cancel          context.CancelFunc
	runningStandins int
	// standinErrors receives the result of each stand-in's Run.
	standinErrors chan error

	mu    sync.Mutex
	nodes []*Node
	// manifest is the manifest that was accepted last, version its version.
	manifest *manifest.Manifest
	version  id.ManifestVersion
}

// NewInstance makes an instance; peerFaults wraps the transport of its messages
// to peers.
type NewInstance func(s settings.Settings, peerFaults func(http.RoundTripper) http.RoundTripper) Instance

// New returns a cluster with a stand-in for each upstream of the sample
// manifest.
func New(newInstance NewInstance) *Cluster {
	return &Cluster{
		NewInstance: newInstance,
		Platform:    &platform.Platform{Address: "127.0.0.1:0", ListLag: 500 * time.Millisecond},
		Engines:     newEngines(),
		Services:    newServices(),
	}
}

// standin is what the cluster needs of a stand-in to run it.
type standin interface {
	Listen() error
	Run(ctx context.Context) error
}

// Start runs the stand-ins and the instances, applies the manifest, and waits
// at most startTimeout until every instance serves. Stop must be called also
// after an error.
func (c *Cluster) Start(ctx context.Context) error {
	c.ctx, c.cancel = context.WithCancel(ctx)
	standins := []standin{c.Platform}
	for _, e := range c.Engines {
		standins = append(standins, e)
	}
	for _, s := range c.Services {
		standins = append(standins, s)
	}
	c.standinErrors = make(chan error, len(standins))
	for _, s := range standins {
		if err := s.Listen(); err != nil {
			return err
		}
		c.runningStandins++
		go func() { c.standinErrors <- s.Run(c.ctx) }()
	}
	for i := range instanceCount {
		if err := c.startNode(i); err != nil {
			return err
		}
	}
	if err := c.applyInitial(ctx, newManifest(c.Engines, c.Services)); err != nil {
		return err
	}
	return c.waitReady(ctx)
}

// applyInitial applies m as the first manifest, through the first instance.
func (c *Cluster) applyInitial(ctx context.Context, m *manifest.Manifest) error {
	base, _ := c.current()
	result, err := submit(ctx, c.Nodes()[0], base, m)
	if err != nil {
		return err
	}
	accepted, ok := result.(operator.Accepted)
	if !ok {
		return fault.Wrap("apply manifest", "", errors.Newf("%#v", result))
	}
	c.setCurrent(accepted.Version, m)
	return nil
}

// waitReady waits until each instance lists all instances as entries.
func (c *Cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, n := range c.Nodes() {
		for {
			entries, err := n.fetchEntries(ctx)
			if err == nil && len(entries) >= instanceCount {
				break
			}
			select {
			case <-ctx.Done():
				return fault.Wrap("wait until ready", n.Name, errors.Newf("%d entries, last error %v", len(entries), err))
			case <-time.After(startPollInterval):
			}
		}
	}
	return nil
}

// Stop ends all instances and stand-ins and waits until they have returned. The
// error combines theirs.
func (c *Cluster) Stop() error {
	if c.cancel == nil {
		return nil
	}
	c.cancel()
	var err error
	for _, n := range c.Nodes() {
		err = errors.CombineErrors(err, n.wait())
	}
	for range c.runningStandins {
		err = errors.CombineErrors(err, <-c.standinErrors)
	}
	return err
}

// Nodes returns all nodes in the order of their start, ended ones included.
func (c *Cluster) Nodes() []*Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Node{}, c.nodes...)
}

// URLs returns the URLs of all nodes, ended ones included. Callers are
// configured with them and fetch the entries there.
func (c *Cluster) URLs() []string {
	var urls []string
	for _, n := range c.Nodes() {
		urls = append(urls, n.URL())
	}
	return urls
}

// Capacity returns the decode rate of all engines together, in tokens a second.
func (c *Cluster) Capacity() float64 {
	sum := 0.0
	for _, e := range c.Engines {
		sum += e.DecodeTokensPerSecond
	}
	return sum
}
