// Package routing defines the routing table: to which services a route sends
// requests, who may use it, how often a request may be executed and how long its
// caller waits. A table is immutable.
package routing

import (
	"iter"
	"strings"
	"time"

	"samphirehead/state/id"
)

// Semantics states how often one request may be executed. A request that the
// caller sends again, with another attempt id, counts as a new one.
type Semantics string

// The semantics of a route.
const (
	// Idempotent requests may be executed more than once.
	Idempotent Semantics = "idempotent"
	// AtMostOnce requests are executed once or not at all.
	AtMostOnce Semantics = "at_most_once"
)

// Table is one version of the routing rules.
type Table struct {
	Version id.ManifestVersion
	// Services holds the services by name.
	Services map[id.Service]Service
	Limits   Limits

	// hosts holds the routes of each host, sorted by descending prefix length.
	hosts map[string][]*Route
	// keys maps each key to its workspace; nil if no route requires a key.
	keys map[string]*Workspace
	// ranks holds the ranks that requests can have, in order.
	ranks []rank
}

// Route sends the requests to a host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets has at least one entry; the weights are positive.
	Targets   []Target
	Semantics Semantics
	// Streaming says that answers are streams of events.
	Streaming bool
	// Resumable says that a broken stream can be resumed at another upstream.
	Resumable bool
	// Public says that requests need no key.
	Public bool
	// Priority is the priority of requests; 0 is the highest.
	Priority int
	// Timeout bounds how long a caller waits; 0 means no bound.
	Timeout time.Duration
	// Objective is the target for the time to the first event of a stream, or
	// to the whole answer without streaming.
	Objective time.Duration
	// PauseObjective is the target for the longest pause between two events of
	// a stream; 0 for none.
	PauseObjective time.Duration
	// MaxAttempts bounds how many upstreams may execute one request; at least 1.
	MaxAttempts int
}

// Target is a service with its weight among the targets of a route.
type Target struct {
	Service id.Service
	Weight  float64
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       id.Service
	HealthPath string
	// MaxConnections bounds the connections to one upstream for all callers
	// together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// Scale is nil if the number of upstreams is not this system's to order.
	Scale *Scale
}

// Scale bounds the upstreams that may be ordered for a service, in each failure domain.
type Scale struct {
	// Min and Max bound the upstreams of both kinds together; 0 <= Min <= Max.
	Min, Max int
	// BootTime is the time from an order until the upstream serves.
	BootTime time.Duration
	// SpotPrice is the price of an upstream that may be reclaimed, as a share of that of
	// others; 0 if there are none.
	SpotPrice float64
	// Prices holds the price of a second of an upstream by failure domain.
	Prices map[id.FailureDomain]float64
}

// Engine is the capacity of each model engine of a service.
type Engine struct {
	Slots    int
	KVTokens id.Tokens
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// KVBytesPerToken is the size of the KV cache, and LinkBytesPerSecond the
	// rate at which engines copy it from each other; 0 if they can't.
	KVBytesPerToken    float64
	LinkBytesPerSecond float64
}

// Workspace is the owner of one or more keys.
type Workspace struct {
	Name id.Workspace
	// Priority takes precedence over that of the route unless it is nil.
	Priority *int
}

// Limits bound what a caller may send and how long its connection may be idle. A
// zero value means no bound.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Rules are the input from which New builds a table.
type Rules struct {
	Version    id.ManifestVersion
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces map[string]Workspace
	// RequireKeys says that requests need a key, except on public routes.
	RequireKeys bool
}

// New builds a table. It omits routes without a target.
func New(r Rules) *Table {
	t := &Table{
		Version:  r.Version,
		Services: make(map[id.Service]Service, len(r.Services)),
		Limits:   r.Limits,
		hosts:    make(map[string][]*Route),
	}
	for _, s := range r.Services {
		t.Services[s.Name] = s
	}
	for i := range r.Routes {
		t.add(&r.Routes[i])
	}
	if r.RequireKeys {
		t.keys = make(map[string]*Workspace, len(r.Workspaces))
		for key, workspace := range r.Workspaces {
			t.keys[key] = &workspace
		}
	}
	t.ranks = t.allRanks()
	return t
}

// add inserts a route so that the routes of its host remain sorted by descending
// prefix length.
func (t *Table) add(route *Route) {
	if len(route.Targets) == 0 {
		return
	}
	routes := t.hosts[route.Host]
	i := 0
	for i < len(routes) && len(routes[i].Prefix) >= len(route.Prefix) {
		i++
	}
	routes = append(routes, nil)
	copy(routes[i+1:], routes[i:])
	routes[i] = route
	t.hosts[route.Host] = routes
}

// Match returns the route of the host with the longest prefix of the path, or nil
// if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// NumHosts returns the number of hosts with routes.
func (t *Table) NumHosts() int { return len(t.hosts) }

// Workspace returns the workspace that a key belongs to; known is false if it
// belongs to none. If the table requires no keys, every key is known and the
// workspace is nil.
func (t *Table) Workspace(key string) (workspace *Workspace, known bool) {
	if t.keys == nil {
		return nil, true
	}
	workspace, known = t.keys[key]
	return workspace, known
}

// PickService selects one of the targets by weight; draw is a uniformly random
// number from [0, 1).
func (r *Route) PickService(draw float64) id.Service {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := draw * total
	for _, target := range r.Targets {
		if remaining < target.Weight {
			return target.Service
		}
		remaining -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Services returns the services that the route sends requests to, in the order of its
// targets.
func (r *Route) Services() []id.Service {
	services := make([]id.Service, len(r.Targets))
	for i, target := range r.Targets {
		services[i] = target.Service
	}
	return services
}

// Routes yields the routes of all hosts, in no particular order of hosts.
func (t *Table) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, routes := range t.hosts {
			for _, route := range routes {
				if !yield(route) {
					return
				}
			}
		}
	}
}
