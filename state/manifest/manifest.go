// Package manifest defines the configuration that operators apply: traffic
// classes, workspaces, models, upstreams and services. It parses, validates,
// compares and indexes manifests.
package manifest

import (
	"time"

	"samphirehead/state/id"
)

// Manifest is one accepted configuration. It must not be modified.
type Manifest struct {
	Classes    []Class     `yaml:"classes" jsonschema:"required,minItems=1"`
	Workspaces []Workspace `yaml:"workspaces" jsonschema:"required,minItems=1"`
	Models     []Model     `yaml:"models"`
	Upstreams  []Upstream  `yaml:"upstreams" jsonschema:"required,minItems=1"`
	Services   []Service   `yaml:"services"`
}

// Class is a traffic class with its latency targets and limits.
type Class struct {
	// Name is unique in the manifest.
	Name id.Class `yaml:"name" jsonschema:"required,minLength=1"`
	// Tier is at least 1; 1 is the highest.
	Tier id.Tier `yaml:"tier" jsonschema:"required,minimum=1,maximum=16"`
	// FirstToken is the target for the time from arrival to the first token,
	// or to the whole answer of a plain service.
	FirstToken time.Duration `yaml:"first_token" jsonschema:"required"`
	// BetweenTokens is the target for the gap between two tokens.
	BetweenTokens time.Duration `yaml:"between_tokens,omitempty"`
	// TotalDeadline bounds the time from the arrival of a request to its end.
	TotalDeadline time.Duration `yaml:"total_deadline" jsonschema:"required"`
	// MinimumShare is the least share of a pool's slot grants that the class
	// gets while its requests wait; the shares of all classes add up to less than 1.
	MinimumShare float64 `yaml:"minimum_share" jsonschema:"minimum=0,exclusiveMaximum=1"`
	// QueueBound bounds the requests of the class that wait at one instance.
	QueueBound int `yaml:"queue_bound" jsonschema:"required,minimum=1"`
	// LargestPrompt is the largest prompt, in tokens, of a request that gets
	// this class because the caller requested none; 0 means no bound.
	LargestPrompt id.Tokens `yaml:"largest_prompt,omitempty" jsonschema:"minimum=0"`
}

// Workspace is a customer with its keys and limits.
type Workspace struct {
	// Name is unique in the manifest.
	Name id.Workspace `yaml:"name" jsonschema:"required,minLength=1"`
	// KeySHA256 holds the lower-case hex SHA-256 of each valid bearer key.
	KeySHA256 []string `yaml:"key_sha256" jsonschema:"required,minItems=1,pattern=^[0-9a-f]{64}$"`
	// Classes lists the classes that the workspace may use. A request without
	// a class gets the first one whose LargestPrompt admits its prompt.
	Classes []id.Class `yaml:"classes" jsonschema:"required,minItems=1"`
	// RequestsPerSecond limits accepted requests over all instances; 0
	// means no limit.
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" jsonschema:"minimum=0"`
	// TokensPerSecond limits prompt and answer tokens over all instances;
	// 0 means no limit.
	TokensPerSecond float64 `yaml:"tokens_per_second,omitempty" jsonschema:"minimum=0"`
}

// Model is a model that engines can serve.
type Model struct {
	// Name is unique in the manifest.
	Name id.Model `yaml:"name" jsonschema:"required,minLength=1"`
	// Version identifies the weights in the weight store.
	Version string `yaml:"version,omitempty"`
}

// UpstreamKind distinguishes model engines from workers of plain services.
type UpstreamKind string

// The kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// Upstream is one model engine, or one worker of a service.
type Upstream struct {
	// Name is unique in the manifest.
	Name id.Upstream `yaml:"name" jsonschema:"required,minLength=1"`
	// Address is an IP address and a TCP port.
	Address string `yaml:"address" jsonschema:"required"`
	// FailureDomain is where the upstream runs.
	FailureDomain id.FailureDomain `yaml:"failure_domain" jsonschema:"required,minLength=1"`
	// Kind decides which of the fields below apply.
	Kind UpstreamKind `yaml:"kind" jsonschema:"required,enum=engine,enum=service"`
	// Models lists the models that an engine serves; empty for a service.
	Models []id.Model `yaml:"models,omitempty"`
	// Service is the service that a worker serves; empty for an engine.
	Service id.Service `yaml:"service,omitempty"`
	// Capacity bounds the work in progress.
	Capacity Capacity `yaml:"capacity" jsonschema:"required"`
	// Resumes says that the engine can resume an answer at an offset.
	Resumes bool `yaml:"resumes,omitempty"`
}

// Capacity is the load that one upstream can serve.
type Capacity struct {
	// Slots bounds the requests in progress, at least 1.
	Slots int `yaml:"slots" jsonschema:"required,minimum=1"`
	// PrefillTokensPerSecond is the prefill rate, in prompt tokens per second.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second,omitempty" jsonschema:"exclusiveMinimum=0"`
	// DecodeTokensPerSecond is the decode rate of all slots together when all
	// are busy, in answer tokens per second.
	DecodeTokensPerSecond float64 `yaml:"decode_tokens_per_second,omitempty" jsonschema:"exclusiveMinimum=0"`
	// KVTokens bounds the prompt and answer tokens in the KV cache.
	KVTokens id.Tokens `yaml:"kv_tokens,omitempty" jsonschema:"minimum=1"`
}

// Service is a plain service with its routes.
type Service struct {
	// Name is unique in the manifest.
	Name id.Service `yaml:"name" jsonschema:"required,minLength=1"`
	// Routes lists the calls that callers may make; others are rejected.
	Routes []Route `yaml:"routes" jsonschema:"required,minItems=1"`
}

// Semantics states how often one call may be executed.
type Semantics string

// The semantics of a route.
const (
	// AtMostOnce calls need an idempotency key and are never executed twice.
	AtMostOnce Semantics = "at_most_once"
	// Idempotent calls may be executed any number of times.
	Idempotent Semantics = "idempotent"
)

// Route is one method and path of a service.
type Route struct {
	// Method is an HTTP method in upper case.
	Method string `yaml:"method" jsonschema:"required,enum=GET,enum=HEAD,enum=POST,enum=PUT,enum=PATCH,enum=DELETE"`
	// Path starts with "/". A final "/*" matches any rest that is not empty.
	Path string `yaml:"path" jsonschema:"required,pattern=^/"`
	// Semantics decides whether a call may be executed more than once.
	Semantics Semantics `yaml:"semantics" jsonschema:"required,enum=at_most_once,enum=idempotent"`
	// Class is the class of all calls of the route.
	Class id.Class `yaml:"class" jsonschema:"required,minLength=1"`
}
