package choice

import (
	"time"

	"samphirehead/state/id"
)

// Belief is what an entry holds of an upstream.
type HealthState string

// The beliefs that are told. Upstreams are Good until they are not.
const (
	Healthy HealthState = "good"
	Ejected HealthState = "ejected"
	Slow    HealthState = "slow"
)

// Cause is why an upstream was ejected.
type Cause string

// The causes of an ejection.
const (
	// Unreached upstreams could not be connected to.
	Unreachable Cause = "unreached"
	// FailuresInRow were too many.
	ConsecutiveFailures Cause = "failures_in_row"
	// FailsMore than the others of the service.
	HighFailureRate Cause = "fails_more"
	// PeerWarned that it keeps away from the upstream.
	PeerEjected Cause = "peer_warned"
)

// Change is a new belief.
type HealthChange struct {
	Upstream id.Upstream
	Service  id.Service
	Health   HealthState
	// Cause and For, how long it is kept away from, are those of an ejection.
	Cause Cause
	For   time.Duration
	// Failed of Ended runs lately, over all entries, and Slowness, how many
	// times as long as at others an answer takes to begin, are what the
	// belief rests on.
	Failed, Ended, Slowness float64
}

// Fields returns the change as keys and values of a log line.
func (c HealthChange) Fields() []any {
	return []any{
		"upstream", c.Upstream, "service", c.Service, "belief", c.Health, "cause", c.Cause, "for", c.For,
		"failed", c.Failed, "ended", c.Ended, "slowness", c.Slowness,
	}
}

// Changes returns the new beliefs since it was last asked, in order.
func (c *Chooser) HealthChanges() []HealthChange {
	changes := c.changes
	c.changes = nil
	return changes
}

// believe notes a new belief of an upstream. An upstream that is ejected again
// before it was good is told of once.
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

// judge notes whether an upstream that has just begun or ended a run is slow or
// good again.
func (c *Chooser) updateHealth(now time.Time, u *upstream) {
	switch {
	case u.ejected(now):
	case c.load(now, u).slowness(c.total(now)) > 1:
		c.setHealth(now, u, Slow, "", time.Time{})
	default:
		c.setHealth(now, u, Healthy, "", time.Time{})
	}
}
