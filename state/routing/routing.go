// Package routing holds the table by which requests are routed: which service
// a route leads to, who may use it, how often a request may run and how long
// its caller waits. A table is never changed once it is built.
package routing

import (
	"iter"
	"strings"
	"time"

	"samphirehead/state/id"
)

// Repeat says how often one attempt of a caller may run.
type Semantics string

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Semantics = "idempotent"
	// AtMostOnce requests run once or not at all.
	AtMostOnce Semantics = "at_most_once"
)

// Table is one version of the routing rules.
type Table struct {
	Version id.ManifestVersion
	// Services is keyed by name.
	Services map[id.Service]Service
	Limits   Limits

	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*Route
	// keys maps each key to its workspace; nil where no keys are asked for.
	keys map[string]*Workspace
	// ranks holds all that occur, in order.
	ranks []rank
}

// Route leads the requests below a path to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets has at least one entry; the weights are positive.
	Targets   []Target
	Semantics Semantics
	// Streaming answers are series of events.
	Streaming bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Priority orders requests; 0 is the highest.
	Priority int
	// Timeout is the longest that a caller is kept waiting; 0 means no bound.
	Timeout time.Duration
	// Objective is the time to the first event of a stream, or to a whole
	// answer.
	Objective time.Duration
	// PauseObjective is the longest pause between two events of a stream.
	PauseObjective time.Duration
	// MaxAttempts is the most upstreams that may run one request, at least 1.
	MaxAttempts int
}

// Target is a service with its share of a route.
type Target struct {
	Service id.Service
	Weight  float64
}

// Service is a set of equal upstreams.
type Service struct {
	Name       id.Service
	HealthPath string
	// MaxConnections bounds the connections to one upstream from all callers.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine says what one model engine of a service can hold.
type Engine struct {
	Slots    int
	KVTokens id.Tokens
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// Workspace is a customer.
type Workspace struct {
	Name id.Workspace
	// Priority goes before that of a route unless it is nil.
	Priority *int
}

// Limits bound what a caller may send and how long it may stay idle. A zero
// value means no bound.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Rules are the parts from which New builds a table.
type Rules struct {
	Version    id.ManifestVersion
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces map[string]Workspace
	// Keyed says that requests need a key.
	RequireKeys bool
}

// New builds a table. Routes without a target are left out.
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

// add keeps the routes of a host ordered by falling length of the prefix.
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

// Match returns the route of a host and path, nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Hosts returns the number of hosts with routes.
func (t *Table) NumHosts() int { return len(t.hosts) }

// Workspace returns the workspace that holds a key. Known is false for a key
// that no workspace holds; where the table asks for no keys, every key is
// known and the workspace is nil.
func (t *Table) Workspace(key string) (workspace *Workspace, known bool) {
	if t.keys == nil {
		return nil, true
	}
	workspace, known = t.keys[key]
	return workspace, known
}

// Target returns the service for a draw from [0, 1).
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

// Routes yields all routes.
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
