// Package manifest defines the configuration that operators apply: classes,
// workspaces, models, upstreams and services.
package manifest

import (
	"time"

	"samphirehead/state/id"
)

// Manifest is one accepted configuration. It is never changed in place.
type Manifest struct {
	Classes    []Class     `yaml:"classes"`
	Workspaces []Workspace `yaml:"workspaces"`
	Models     []Model     `yaml:"models"`
	Upstreams  []Upstream  `yaml:"upstreams"`
	Services   []Service   `yaml:"services"`
}

// Class is a kind of traffic with its targets.
type Class struct {
	// Name is unique in the manifest.
	Name id.Class `yaml:"name"`
	// Tier is at least 1; 1 is the highest.
	Tier id.Tier `yaml:"tier"`
	// FirstToken is the target from arrival to the first token, or to the
	// whole answer of a plain service.
	FirstToken time.Duration `yaml:"first_token"`
	// BetweenTokens is the target for the gap between two tokens.
	BetweenTokens time.Duration `yaml:"between_tokens,omitempty"`
	// TotalDeadline bounds a request from arrival to its end.
	TotalDeadline time.Duration `yaml:"total_deadline"`
	// MinimumShare of the grants of a pool goes to the class while it
	// waits; the shares of all classes add up to less than 1.
	MinimumShare float64 `yaml:"minimum_share"`
	// QueueBound is the most requests of the class that wait at one home.
	QueueBound int `yaml:"queue_bound"`
	// LargestPrompt bounds the prompts that are put into this class when
	// the caller names none; 0 means no bound.
	LargestPrompt id.Tokens `yaml:"largest_prompt,omitempty"`
}

// Workspace is a customer with its keys and limits.
type Workspace struct {
	// Name is unique in the manifest.
	Name id.Workspace `yaml:"name"`
	// KeySHA256 holds the lower-case hex SHA-256 of each valid bearer key.
	KeySHA256 []string `yaml:"key_sha256"`
	// Classes lists what the workspace may use. A request that names no
	// class gets the first one whose LargestPrompt admits it.
	Classes []id.Class `yaml:"classes"`
	// RequestsPerSecond limits accepted requests over all instances; 0
	// means no limit.
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty"`
	// TokensPerSecond limits prompt and answer tokens over all instances;
	// 0 means no limit.
	TokensPerSecond float64 `yaml:"tokens_per_second,omitempty"`
}

// Model is a model that engines can serve.
type Model struct {
	// Name is unique in the manifest.
	Name id.Model `yaml:"name"`
	// Version names the weights in the weight store.
	Version string `yaml:"version,omitempty"`
}

// UpstreamKind says what an upstream speaks.
type UpstreamKind string

// The kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// Upstream is one worker of an engine or service.
type Upstream struct {
	// Name is unique in the manifest.
	Name id.Upstream `yaml:"name"`
	// Address is an IP number and a TCP port.
	Address string `yaml:"address"`
	// FailureDomain is where the upstream runs.
	FailureDomain id.FailureDomain `yaml:"failure_domain"`
	// Kind decides which of the fields below apply.
	Kind UpstreamKind `yaml:"kind"`
	// Models lists what an engine serves; empty for a service.
	Models []id.Model `yaml:"models,omitempty"`
	// Service is what a service worker serves; empty for an engine.
	Service id.Service `yaml:"service,omitempty"`
	// Capacity bounds the work in progress.
	Capacity Capacity `yaml:"capacity"`
	// ChecksFencing says that the engine refuses orders with an old
	// fencing number.
	ChecksFencing bool `yaml:"checks_fencing,omitempty"`
	// Resumes says that the engine can go on with an answer at an offset.
	Resumes bool `yaml:"resumes,omitempty"`
}

// Capacity states what one upstream can carry.
type Capacity struct {
	// Slots is the most requests in progress, at least 1.
	Slots int `yaml:"slots"`
	// PrefillTokensPerSecond is the rate at which prompts are read.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second,omitempty"`
	// DecodeTokensPerSecond is the rate over all slots together when all
	// are busy.
	DecodeTokensPerSecond float64 `yaml:"decode_tokens_per_second,omitempty"`
	// KVTokens bounds prompt and answer tokens held at once.
	KVTokens id.Tokens `yaml:"kv_tokens,omitempty"`
}

// Service is a plain service with its routes.
type Service struct {
	// Name is unique in the manifest.
	Name id.Service `yaml:"name"`
	// Routes lists what callers may call; any other path is refused.
	Routes []Route `yaml:"routes"`
}

// Semantics says how often a call may run.
type Semantics string

// The semantics of a route.
const (
	// AtMostOnce calls need an idempotency key and are never repeated.
	AtMostOnce Semantics = "at_most_once"
	// Idempotent calls may be repeated freely.
	Idempotent Semantics = "idempotent"
)

// Route is one call of a service.
type Route struct {
	// Method is an HTTP method in capitals.
	Method string `yaml:"method"`
	// Path starts with "/". A final "/*" stands for any rest.
	Path string `yaml:"path"`
	// Semantics decides whether a call may be repeated.
	Semantics Semantics `yaml:"semantics"`
	// Class is the class of all calls of the route.
	Class id.Class `yaml:"class"`
}
