package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"samphirehead/standin/platform"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/state/settings"
	"samphirehead/transport/operator"
)

// Node is one run of an instance. A replacement is another Node with the same
// Name and Index.
type Node struct {
	// Name is the id of the instance.
	Name string
	// Index is the number of the instance in the cluster, from 0.
	Index int

	instance Instance
	// The instance connects to the platform through platformProxy, and its
	// peers connect to it through peerProxy.
	platformProxy, peerProxy *faultProxy

	cancel context.CancelFunc
	// done is closed when the instance's Run has returned; err is its result.
	done chan struct{}
	err  error

	mu           sync.Mutex
	drainStarted time.Time
	ended        time.Time
	killed       bool
}

// startNode starts an instance with a given index and adds its node.
func (c *Cluster) startNode(index int) error {
	domains := failureDomains()
	name := fmt.Sprintf("entry-%d", index+1)
	platformProxy, peerProxy := &faultProxy{target: c.Platform.Addr()}, &faultProxy{}
	for _, proxy := range []*faultProxy{platformProxy, peerProxy} {
		if err := proxy.listen(); err != nil {
			return err
		}
	}
	s := settings.Settings{
		Instance:      id.Instance(name),
		FailureDomain: domains[index%len(domains)],
		Region:        "doto",
		CallerAddress: "127.0.0.1:0",
		PeerAddress:   "127.0.0.1:0",

		AdvertisedPeerAddress: peerProxy.addr(),
		OperatorAddress:       "127.0.0.1:0",
		PlatformAddress:       platformProxy.addr(),
		PeerSecret:            peerSecret,
		OperatorSecret:        operatorSecret,
		LogLevel:              settings.LogWarning,
		Limits:                settings.DefaultLimits(),
	}
	instance := c.NewInstance(s, func(next http.RoundTripper) http.RoundTripper {
		return &peerTransport{next: next, proxy: peerProxy}
	})
	if err := instance.Listen(); err != nil {
		return fault.Wrap("start instance", name, err)
	}
	peerProxy.target = instance.PeerAddr()
	ctx, cancel := context.WithCancel(c.ctx)
	n := &Node{
		Name: name, Index: index, instance: instance, cancel: cancel, done: make(chan struct{}),
		platformProxy: platformProxy, peerProxy: peerProxy,
	}
	c.register(n, s)
	go n.run(ctx, c.Platform)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = append(c.nodes, n)
	return nil
}

// register adds the instance to the list of instances of the platform's
// stand-in, as a real platform does for the instances that it starts.
func (c *Cluster) register(n *Node, s settings.Settings) {
	c.Platform.PutInstance(platform.Instance{
		Instance:      n.Name,
		FailureDomain: string(s.FailureDomain),
		Region:        string(s.Region),
		CallerAddress: n.instance.CallerAddr(),
		PeerAddress:   s.AdvertisedPeerAddress,
		State:         "live",
	})
}

// run runs the instance and its proxies until the instance ends.
func (n *Node) run(ctx context.Context, p *platform.Platform) {
	defer close(n.done)
	proxyCtx, stopProxies := context.WithCancel(context.WithoutCancel(ctx))
	var proxies sync.WaitGroup
	for _, proxy := range []*faultProxy{n.platformProxy, n.peerProxy} {
		proxies.Go(func() { proxy.serve(proxyCtx) })
	}
	n.err = n.instance.Run(ctx)
	n.mu.Lock()
	n.ended = time.Now()
	n.mu.Unlock()
	p.DeleteInstance(n.Name)
	stopProxies()
	proxies.Wait()
}

// wait waits until the instance has ended, and returns the error of its Run.
func (n *Node) wait() error {
	<-n.done
	return n.err
}

// Serving reports whether the instance runs and was neither killed nor asked to
// drain.
func (n *Node) Serving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended.IsZero() && n.drainStarted.IsZero() && !n.killed
}

// Kill ends the instance abruptly and cuts its connections off.
func (n *Node) Kill() {
	n.mu.Lock()
	n.killed = true
	n.mu.Unlock()
	n.cancel()
}

// Isolate disconnects the instance from its peers, and from the platform unless
// peersOnly is set, for d. 0 ends an isolation.
func (n *Node) Isolate(d time.Duration, peersOnly bool) {
	n.peerProxy.blockFor(d)
	if !peersOnly {
		n.platformProxy.blockFor(d)
	}
}

// Stall delays the traffic between the instance and the platform or its peers
// for d, as if the instance's process had been paused. 0 ends a stall.
func (n *Node) Stall(d time.Duration) {
	n.platformProxy.stallFor(d)
	n.peerProxy.stallFor(d)
}

// Drain asks the instance to drain and waits until it has ended. The error is
// that of the request, of the instance's Run or of ctx.
func (n *Node) Drain(ctx context.Context) error {
	n.mu.Lock()
	n.drainStarted = time.Now()
	n.mu.Unlock()
	if err := n.Operator().Drain(ctx, id.Instance(n.Name)); err != nil {
		return err
	}
	select {
	case <-n.done:
		return n.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// DrainTimes returns when the instance was asked to drain and when it ended; a
// time is zero if that has not happened yet.
func (n *Node) DrainTimes() (started, ended time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drainStarted, n.ended
}

// Replace waits until n has ended and starts another instance with the same name
// and index.
func (c *Cluster) Replace(n *Node) error {
	<-n.done
	return c.startNode(n.Index)
}

// URL returns the base URL at which callers reach the instance.
func (n *Node) URL() string { return "http://" + n.instance.CallerAddr() }

// Operator returns a client of the instance's operator API.
func (n *Node) Operator() *operator.Client {
	return &operator.Client{Address: n.instance.OperatorAddr(), Secret: operatorSecret}
}

// fetchEntries asks the instance for the entries that a workspace should connect
// to.
func (n *Node) fetchEntries(ctx context.Context) ([]string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, n.URL()+"/v1/entries", nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+Key(Workspaces()[0].Workspace))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fault.New("fetch entries", n.Name, response.Status)
	}
	var answer struct {
		Entries []string `json:"entries"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer.Entries, err
}
