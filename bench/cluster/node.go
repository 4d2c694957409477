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

// Node is one run of an instance.
type Node struct {
	// Name is the instance's id.
	Name string
	// Index is its place among the instances.
	Index int

	instance Instance
	// platform is the gate before the platform, peers that before the
	// instance's own listener for peers.
	platformProxy, peerProxy *faultProxy

	cancel context.CancelFunc
	// done is closed when Run has returned err.
	done chan struct{}
	err  error

	mu           sync.Mutex
	drainStarted time.Time
	ended        time.Time
	killed       bool
}

// startNode starts the instance of a place anew.
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
		return fault.At("start instance", name, err)
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

// list puts the instance on the platform's list, as the platform does that
// starts it.
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

// run runs the instance and the gates before it until the instance ends.
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

// wait returns the error of Run once it has ended.
func (n *Node) wait() error {
	<-n.done
	return n.err
}

// Serving reports whether the instance runs and is not leaving.
func (n *Node) Serving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended.IsZero() && n.drainStarted.IsZero() && !n.killed
}

// Kill ends the instance at once, with all its connections.
func (n *Node) Kill() {
	n.mu.Lock()
	n.killed = true
	n.mu.Unlock()
	n.cancel()
}

// Isolate cuts the instance off from its peers, and from the platform unless
// peersOnly is set, for d.
func (n *Node) Isolate(d time.Duration, peersOnly bool) {
	n.peerProxy.blockFor(d)
	if !peersOnly {
		n.platformProxy.blockFor(d)
	}
}

// Stall holds back for d what goes between the instance and the platform or its
// peers, as if the instance had been paused.
func (n *Node) Stall(d time.Duration) {
	n.platformProxy.stallFor(d)
	n.peerProxy.stallFor(d)
}

// Leave tells the instance to leave and waits until it has.
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

// Left returns when the instance was told to leave and when it ended; zero
// times for what has not happened.
func (n *Node) DrainTimes() (started, ended time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drainStarted, n.ended
}

// Replace waits for the end of n and starts a new run in its place, under the
// same name.
func (c *Cluster) Replace(n *Node) error {
	<-n.done
	return c.startNode(n.Index)
}

// URL is where callers reach the instance.
func (n *Node) URL() string { return "http://" + n.instance.CallerAddr() }

// Operator returns a client for the operators' listener.
func (n *Node) Operator() *operator.Client {
	return &operator.Client{Address: n.instance.OperatorAddr(), Secret: operatorSecret}
}

// entries asks the instance where a workspace should connect.
func (n *Node) entries(ctx context.Context) ([]string, error) {
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
		return nil, fault.New("ask for entries", n.Name, response.Status)
	}
	var answer struct {
		Entries []string `json:"entries"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer.Entries, err
}
