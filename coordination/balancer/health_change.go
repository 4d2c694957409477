package balancer

import (
	"time"

	"samphirehead/state/id"
)

// HealthState is an instance's view of an upstream's health.
type HealthState string

// The health states. A new upstream is Healthy.
const (
	Healthy HealthState = "good"
	Ejected HealthState = "ejected"
	Slow    HealthState = "slow"
)

// Cause is the reason for an ejection.
type Cause string

// The causes of an ejection.
const (
	// Unreachable means that a connection to the upstream failed.
	Unreachable Cause = "unreached"
	// ConsecutiveFailures means that too many requests in a row failed.
	ConsecutiveFailures Cause = "failures_in_row"
	// HighFailureRate means that the upstream fails a larger share of its
	// requests than the others of the service do.
	HighFailureRate Cause = "fails_more"
	// PeerEjected means that another instance reported an ejection.
	PeerEjected Cause = "peer_warned"
)

// HealthChange is a change of an upstream's health state.
type HealthChange struct {
	Upstream id.Upstream
	Service  id.Service
	Health   HealthState
	// Cause and For, the duration, are set for ejections only.
	Cause Cause
	For   time.Duration
	// Failed and Ended are the decaying counts of runs over all instances, and
	// Slowness is the delay relative to the other upstreams, when the state
	// changed.
	Failed, Ended, Slowness float64
}

// Fields returns the change as the keys and values of a log line.
func (c HealthChange) Fields() []any {
	return []any{
		"upstream", c.Upstream, "service", c.Service, "belief", c.Health, "cause", c.Cause, "for", c.For,
		"failed", c.Failed, "ended", c.Ended, "slowness", c.Slowness,
	}
}

// HealthChanges returns the changes since the last call, in order.
func (c *Chooser) HealthChanges() []HealthChange {
	changes := c.changes
	c.changes = nil
	return changes
}

// setHealth records a change of an upstream's health state. An upstream that is
// ejected again before it became healthy or slow is reported only once.
func (c *Chooser) setHealth(now time.Time, u *upstream, health HealthState, cause Cause, until time.Time) {
	if u.health == health || (health == Healthy && u.health == "") {
		return
	}
	u.health = health
	load := c.load(now, u)
	change := HealthChange{
		Upstream: u.Upstream, Service: c.service.Name, Health: health, Cause: cause,
		Failed: load.Failed, Ended: load.Ended, Slowness: load.slowness(c.total(now)),
	}
	if health == Ejected {
		change.For = until.Sub(now)
	}
	c.changes = append(c.changes, change)
}

// updateHealth marks an upstream that has just started a run as slow or healthy,
// unless it is ejected.
func (c *Chooser) updateHealth(now time.Time, u *upstream) {
	switch {
	case u.ejected(now):
	case c.load(now, u).slowness(c.total(now)) > 1:
		c.setHealth(now, u, Slow, "", time.Time{})
	default:
		c.setHealth(now, u, Healthy, "", time.Time{})
	}
}
