package cluster

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	standinfault "samphirehead/standin/fault"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/transport/operator"
)

// Reapply submits one manifest for each operator, all at the same moment and
// with the same base version, distributed over the serving instances. The
// manifests differ only in a queue bound that no load reaches. It returns how
// many were accepted, and the combined errors of the submissions that failed.
func (c *Cluster) Reapply(ctx context.Context, operators int) (int, error) {
	var serving []*Node
	for _, n := range c.Nodes() {
		if n.Serving() {
			serving = append(serving, n)
		}
	}
	if len(serving) == 0 {
		return 0, errors.New("no instance serves")
	}
	base, current := c.current()
	type submitted struct {
		manifest *manifest.Manifest
		result   operator.ApplyResult
		err      error
	}
	results := make(chan submitted, operators)
	for i := range operators {
		m := varyQueueBound(current, uint64(base)*100+uint64(i))
		node := serving[i%len(serving)]
		go func() {
			result, err := submit(ctx, node, base, m)
			results <- submitted{m, result, err}
		}()
	}
	accepted := 0
	var combined error
	for range operators {
		s := <-results
		combined = errors.CombineErrors(combined, s.err)
		if a, ok := s.result.(operator.Accepted); ok {
			accepted++
			c.setCurrent(a.Version, s.manifest)
		}
	}
	if accepted == 0 {
		c.refreshVersion(ctx, serving[0])
	}
	return accepted, combined
}

// varyQueueBound returns a copy of m whose lowest class, the last one, has a queue bound
// derived from n.
func varyQueueBound(m *manifest.Manifest, n uint64) *manifest.Manifest {
	changed := *m
	changed.Classes = slices.Clone(m.Classes)
	lowest := &changed.Classes[len(changed.Classes)-1]
	lowest.QueueBound = 1000 + int(n%1000000)
	return &changed
}

func submit(ctx context.Context, n *Node, base id.ManifestVersion, m *manifest.Manifest) (operator.ApplyResult, error) {
	yaml, err := m.Marshal()
	if err != nil {
		return nil, fault.Wrap("marshal manifest", "", err)
	}
	operation := id.Attempt(fmt.Sprintf("%s-%d", n.Name, time.Now().UnixNano()))
	return n.Operator().Apply(ctx, operator.Submission{Base: base, YAML: yaml, Operation: operation})
}

func (c *Cluster) current() (id.ManifestVersion, *manifest.Manifest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.manifest
}

func (c *Cluster) setCurrent(version id.ManifestVersion, m *manifest.Manifest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.version {
		c.version, c.manifest = version, m
	}
}

// refreshVersion reads the active version from n when no submission is known to
// have been accepted. One with an unknown outcome may have been accepted, and
// later submissions need the right base version.
func (c *Cluster) refreshVersion(ctx context.Context, n *Node) {
	version, _, err := n.Operator().Manifest(ctx)
	if err != nil {
		return
	}
	_, m := c.current()
	c.setCurrent(version, m)
}

const rolloutPollInterval = 5 * time.Millisecond

// WaitForRollout waits until each serving instance has the version that was
// accepted last, or a later one, and returns how long that took. When ctx ends
// it returns the time until then.
func (c *Cluster) WaitForRollout(ctx context.Context) time.Duration {
	start := time.Now()
	version, _ := c.current()
	for _, n := range c.Nodes() {
		for n.Serving() && ctx.Err() == nil {
			got, _, err := n.Operator().Manifest(ctx)
			if err == nil && got >= version {
				break
			}
			standinfault.Sleep(ctx, rolloutPollInterval)
		}
	}
	return time.Since(start)
}
