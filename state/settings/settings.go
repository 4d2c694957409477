// Package settings reads the file that tells one process its identity, its
// addresses and its secrets.
package settings

import (
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/state/document"
	"samphirehead/state/fault"
	"samphirehead/state/id"
)

// LogLevel is the least severe kind of log line that is written.
type LogLevel string

// The log levels.
const (
	LogDebug   LogLevel = "debug"
	LogInfo    LogLevel = "info"
	LogWarning LogLevel = "warning"
	LogError   LogLevel = "error"
)

// Settings describe one instance. All addresses are an IP number and a TCP
// port.
type Settings struct {
	// Instance is unique among all instances.
	Instance id.Instance `yaml:"instance"`
	// FailureDomain is where the instance runs.
	FailureDomain id.FailureDomain `yaml:"failure_domain"`
	// Region is the region of FailureDomain.
	Region id.Region `yaml:"region"`

	// CallerAddress is where callers are served; port 0 takes a free one.
	CallerAddress string `yaml:"caller_address"`
	// PeerAddress is where other instances are served; port 0 takes a free
	// one.
	PeerAddress string `yaml:"peer_address"`
	// OperatorAddress is where operators are served; port 0 takes a free
	// one.
	OperatorAddress string `yaml:"operator_address"`
	// AdvertisedCallerAddress is what callers are told, if it differs from
	// CallerAddress; empty if not.
	AdvertisedCallerAddress string `yaml:"advertised_caller_address,omitempty"`
	// AdvertisedPeerAddress is what other instances are told, if it differs
	// from PeerAddress; empty if not.
	AdvertisedPeerAddress string `yaml:"advertised_peer_address,omitempty"`
	// PlatformAddress is where the platform's service answers.
	PlatformAddress string `yaml:"platform_address"`

	// Exactly one of PeerSecretFile and PeerSecretEnv is set; it names
	// where the secret shared by all instances is found.
	PeerSecretFile string `yaml:"peer_secret_file,omitempty"`
	PeerSecretEnv  string `yaml:"peer_secret_env,omitempty"`
	// Exactly one of OperatorSecretFile and OperatorSecretEnv is set.
	OperatorSecretFile string `yaml:"operator_secret_file,omitempty"`
	OperatorSecretEnv  string `yaml:"operator_secret_env,omitempty"`
	// PeerSecret is not part of the file; Load fills it.
	PeerSecret Secret `yaml:"-"`
	// OperatorSecret is not part of the file; Load fills it.
	OperatorSecret Secret `yaml:"-"`

	// LogLevel is LogInfo where the file names none.
	LogLevel LogLevel `yaml:"log_level"`
	// Peers are asked while the platform's list cannot be read.
	Peers []Peer `yaml:"peers,omitempty"`
	// Limits protect the callers' listener.
	Limits Limits `yaml:"limits"`
}

// Peer is an instance that is known before the platform's list is read.
type Peer struct {
	Instance      id.Instance      `yaml:"instance"`
	FailureDomain id.FailureDomain `yaml:"failure_domain"`
	PeerAddress   string           `yaml:"peer_address"`
}

// Limits bound what one caller can take of the instance. All are positive.
type Limits struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// MaxHeaderBytes bounds a request's line and header.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// MaxConcurrentRequests bounds the callers' requests in progress.
	MaxConcurrentRequests int `yaml:"max_concurrent_requests"`
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	// BodyTimeout bounds the reading of a request's body.
	BodyTimeout time.Duration `yaml:"body_timeout"`
	// WriteTimeout bounds one write to a caller that reads slowly.
	WriteTimeout time.Duration `yaml:"write_timeout"`
	// IdleTimeout bounds the wait for the next request of a connection.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
}

// The limits where the file names none.
const (
	DefaultMaxBodyBytes          = 4 << 20
	DefaultMaxHeaderBytes        = 64 << 10
	DefaultMaxConcurrentRequests = 8192
	DefaultHeaderTimeout         = 5 * time.Second
	DefaultBodyTimeout           = 30 * time.Second
	DefaultWriteTimeout          = 20 * time.Second
	DefaultIdleTimeout           = 2 * time.Minute
)

// DefaultLimits returns the limits where the file names none.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:          DefaultMaxBodyBytes,
		MaxHeaderBytes:        DefaultMaxHeaderBytes,
		MaxConcurrentRequests: DefaultMaxConcurrentRequests,
		HeaderTimeout:         DefaultHeaderTimeout,
		BodyTimeout:           DefaultBodyTimeout,
		WriteTimeout:          DefaultWriteTimeout,
		IdleTimeout:           DefaultIdleTimeout,
	}
}

// Parse decodes and checks a settings file without reading its secrets. Its
// error is a *document.Faults with everything that is wrong.
func Parse(name string, data []byte) (*Settings, error) {
	s := &Settings{LogLevel: LogInfo, Limits: DefaultLimits()}
	d, err := document.Decode(name, data, s)
	if err != nil {
		return nil, err
	}
	c := checker{document: d, settings: s}
	c.check()
	if err := d.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Load reads the file at path and the secrets that it names. Relative paths
// of secrets start at the working directory.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap("read settings", "", err)
	}
	s, err := Parse(path, data)
	if err != nil {
		return nil, err
	}
	s.PeerSecret, err = ReadSecret(s.PeerSecretFile, s.PeerSecretEnv)
	if err != nil {
		return nil, fault.Wrap("read peer secret", "", err)
	}
	s.OperatorSecret, err = ReadSecret(s.OperatorSecretFile, s.OperatorSecretEnv)
	if err != nil {
		return nil, fault.Wrap("read operator secret", "", err)
	}
	return s, nil
}

// ReadSecret returns the secret in a file, or in an environment variable if
// file is empty. White space around it is dropped; an empty one is an error.
func ReadSecret(file, env string) (Secret, error) {
	if file == "" {
		return parseSecret("environment variable "+env, os.Getenv(env))
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	return parseSecret(file, string(data))
}

func parseSecret(source, value string) (Secret, error) {
	value = strings.TrimSpace(value)
	if value == "" {
		return "", errors.Newf("%s is empty", source)
	}
	return Secret(value), nil
}
