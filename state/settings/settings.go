// Package settings loads the settings file of a process: its identity, addresses,
// limits and secrets.
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

// LogLevel is the lowest severity of the log lines that are written.
type LogLevel string

// The log levels.
const (
	LogDebug   LogLevel = "debug"
	LogInfo    LogLevel = "info"
	LogWarning LogLevel = "warning"
	LogError   LogLevel = "error"
)

// Settings holds the settings of one instance. Each address is an IP address and
// a TCP port.
type Settings struct {
	// Instance is unique among all instances.
	Instance id.Instance `yaml:"instance"`
	// FailureDomain is where the instance runs.
	FailureDomain id.FailureDomain `yaml:"failure_domain"`
	// Region is the region of FailureDomain.
	Region id.Region `yaml:"region"`

	// CallerAddress is where the instance listens for callers; port 0 picks a
	// free port.
	CallerAddress string `yaml:"caller_address"`
	// PeerAddress is where the instance listens for other instances; port 0
	// picks a free port.
	PeerAddress string `yaml:"peer_address"`
	// OperatorAddress is where the instance listens for operators; port 0 picks
	// a free port.
	OperatorAddress string `yaml:"operator_address"`
	// AdvertisedCallerAddress is the address that callers connect to; empty if
	// it is CallerAddress.
	AdvertisedCallerAddress string `yaml:"advertised_caller_address,omitempty"`
	// AdvertisedPeerAddress is the address that other instances connect to;
	// empty if it is PeerAddress.
	AdvertisedPeerAddress string `yaml:"advertised_peer_address,omitempty"`
	// PlatformAddress is the address of the platform's service.
	PlatformAddress string `yaml:"platform_address"`

	// Exactly one of PeerSecretFile and PeerSecretEnv is set: the file or the
	// environment variable with the secret that all instances share.
	PeerSecretFile string `yaml:"peer_secret_file,omitempty"`
	PeerSecretEnv  string `yaml:"peer_secret_env,omitempty"`
	// Exactly one of OperatorSecretFile and OperatorSecretEnv is set.
	OperatorSecretFile string `yaml:"operator_secret_file,omitempty"`
	OperatorSecretEnv  string `yaml:"operator_secret_env,omitempty"`
	// PeerSecret is not part of the file; Load sets it.
	PeerSecret Secret `yaml:"-"`
	// OperatorSecret is not part of the file; Load sets it.
	OperatorSecret Secret `yaml:"-"`

	// LogLevel defaults to LogInfo.
	LogLevel LogLevel `yaml:"log_level"`
	// Peers are added to the platform's list of instances, so that the instance
	// has peers to contact while that list cannot be read.
	Peers []Peer `yaml:"peers,omitempty"`
	// Limits protect the callers' listener.
	Limits Limits `yaml:"limits"`
}

// Peer is another instance, known before the platform's list of instances is
// read.
type Peer struct {
	Instance      id.Instance      `yaml:"instance"`
	FailureDomain id.FailureDomain `yaml:"failure_domain"`
	PeerAddress   string           `yaml:"peer_address"`
}

// Limits bound the resources that callers can use. All are positive.
type Limits struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// MaxHeaderBytes bounds the request line and header together.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// MaxConcurrentRequests bounds the requests in progress of all callers
	// together.
	MaxConcurrentRequests int `yaml:"max_concurrent_requests"`
	// HeaderTimeout bounds the time to read the header of a request.
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	// BodyTimeout bounds the time to read the body of a request.
	BodyTimeout time.Duration `yaml:"body_timeout"`
	// WriteTimeout bounds one write, in case the caller reads slowly.
	WriteTimeout time.Duration `yaml:"write_timeout"`
	// IdleTimeout bounds the wait for the next request on a connection.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
}

// The limits that apply if the file sets none.
const (
	DefaultMaxBodyBytes          = 4 << 20
	DefaultMaxHeaderBytes        = 64 << 10
	DefaultMaxConcurrentRequests = 8192
	DefaultHeaderTimeout         = 5 * time.Second
	DefaultBodyTimeout           = 30 * time.Second
	DefaultWriteTimeout          = 20 * time.Second
	DefaultIdleTimeout           = 2 * time.Minute
)

// DefaultLimits returns the limits that apply if the file sets none.
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

// Parse decodes and validates a settings file without loading its secrets. Its
// error is a *document.Faults that lists everything that is wrong.
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

// Load reads the settings file at path and the secrets that it refers to.
// Relative paths of secret files are relative to the working directory.
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
// file is empty. It trims surrounding white space; an empty secret is an error.
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
