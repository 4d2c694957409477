package settings

import (
	"fmt"
	"os"
	"slices"
	"time"

	"samphirehead/state/document"
	"samphirehead/state/fault"
	"samphirehead/state/id"
)

// Router holds the settings of one instance that runs as a router on the users'
// platform. Each address is an IP address and a TCP port.
type Router struct {
	// Instance is unique among all instances.
	Instance id.Instance `yaml:"instance"`
	// FailureDomain is where the instance runs.
	FailureDomain id.FailureDomain `yaml:"failure_domain"`
	// Region is the region of FailureDomain.
	Region id.Region `yaml:"region"`

	// CallerAddress is where the instance listens for callers.
	CallerAddress string `yaml:"caller_address"`
	// ReadinessAddress is where the instance listens for readiness probes of
	// the platform.
	ReadinessAddress string `yaml:"readiness_address"`
	// DirectoryAddress is where callers look up the instances to connect to.
	DirectoryAddress string `yaml:"directory_address"`
	// PeerAddress is where the instance listens for other instances.
	PeerAddress string `yaml:"peer_address"`
	// OperatorAddress is where the instance serves metrics; empty disables them.
	OperatorAddress string `yaml:"operator_address,omitempty"`
	// PlatformAddress is the address of the platform's store.
	PlatformAddress string `yaml:"platform_address"`
	// Seeds are the peer addresses to contact first; they may be out of date.
	Seeds []string `yaml:"seeds,omitempty"`

	// Exactly one of PeerSecretFile and PeerSecretEnv is set.
	PeerSecretFile string `yaml:"peer_secret_file,omitempty"`
	PeerSecretEnv  string `yaml:"peer_secret_env,omitempty"`
	// PeerSecret is not part of the file; LoadRouter sets it.
	PeerSecret Secret `yaml:"-"`

	// LogLevel defaults to LogInfo.
	LogLevel LogLevel `yaml:"log_level"`
	// MemoryBytes is the memory available to the process; the Go runtime's
	// memory limit is derived from it. 0 sets no limit.
	MemoryBytes int64 `yaml:"memory_bytes,omitempty"`
	// MaxDescriptors is how many descriptors the process may have; 0 stands for the limit
	// of the process at its start.
	MaxDescriptors int `yaml:"max_descriptors,omitempty"`
	// CallerLimits protect the instance from callers.
	CallerLimits CallerLimits `yaml:"caller_limits"`
	// Grace is how long the process may continue after it was asked to drain.
	Grace time.Duration `yaml:"grace"`
	// EntryLifetime is how long callers may cache an answer of the directory.
	EntryLifetime time.Duration `yaml:"entry_lifetime"`
	// Retries is the retry budget that all instances share.
	Retries Retries `yaml:"retries"`

	// ProcessorShare is how much of a processor core the process has, and LinkMbps the
	// bandwidth of its link in Mbit/s; 0 if not known.
	ProcessorShare float64 `yaml:"processor_share,omitempty"`
	LinkMbps       float64 `yaml:"link_mbps,omitempty"`
	// Duties is what one instance at a time does at the platform; nil for nothing.
	Duties *Duties `yaml:"duties,omitempty"`
}

// Duties holds the settings of what one instance at a time does for all.
type Duties struct {
	// Address is the address of the platform's interface for duties.
	Address string `yaml:"address"`
	// Kinds lists what is to be done.
	Kinds []DutyKind `yaml:"kinds"`
	// CallsPerSecond bounds the calls of all instances together.
	CallsPerSecond float64 `yaml:"calls_per_second"`
	// Lease is the time within which two holders may not act in turns.
	Lease time.Duration `yaml:"lease"`
	// Usage is required if Kinds lists DutyUsage.
	Usage UsageWindows `yaml:"usage,omitempty"`
	// Capacity bounds what is ordered, by service, within what the routes allow.
	Capacity map[id.Service]CapacityBounds `yaml:"capacity,omitempty"`
}

// CapacityBounds bound the upstreams that are ordered for a service in each failure domain.
type CapacityBounds struct {
	// Min and Max bound the count; equal ones fix it. Max is 0 for no bound.
	Min int `yaml:"min"`
	Max int `yaml:"max,omitempty"`
	// NoSpot is set if no upstreams are ordered that may be reclaimed.
	NoSpot bool `yaml:"no_spot,omitempty"`
}

// UsageWindows says how usage is counted and reported.
type UsageWindows struct {
	// Window is the length of a window, and Lateness how long after its end its report is due.
	Window   time.Duration `yaml:"window"`
	Lateness time.Duration `yaml:"lateness"`
}

// DutyKind names a duty.
type DutyKind string

// The duties.
const (
	DutyUsage    DutyKind = "usage_report"
	DutyCapacity DutyKind = "autoscale"
)

// Has reports whether a duty is to be done. d may be nil.
func (d *Duties) Has(kind DutyKind) bool { return d != nil && slices.Contains(d.Kinds, kind) }

// Retries is the retry budget of each service: in any Window, all instances
// together send at most Ratio times its requests, plus Slack, as retries.
type Retries struct {
	Ratio  float64       `yaml:"ratio"`
	Slack  float64       `yaml:"slack"`
	Window time.Duration `yaml:"window"`
}

// The values that apply if the file sets none.
const (
	DefaultGrace         = 8 * time.Second
	DefaultEntryLifetime = time.Second
	DefaultRetryRatio    = 0.2
	DefaultRetrySlack    = 16
	DefaultRetryWindow   = 10 * time.Second
)

// ParseRouter decodes and validates a settings file without loading its secret.
// Its error is a *document.Faults that lists everything that is wrong.
func ParseRouter(name string, data []byte) (*Router, error) {
	s := &Router{
		LogLevel:      LogInfo,
		CallerLimits:  DefaultCallerLimits(),
		Grace:         DefaultGrace,
		EntryLifetime: DefaultEntryLifetime,
		Retries:       Retries{Ratio: DefaultRetryRatio, Slack: DefaultRetrySlack, Window: DefaultRetryWindow},
	}
	d, err := document.Decode(name, data, s)
	if err != nil {
		return nil, err
	}
	c := checker{document: d}
	c.checkRouter(s)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadRouter reads the settings file at path and the secret that it refers to.
func LoadRouter(path string) (*Router, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap("read settings", "", err)
	}
	s, err := ParseRouter(path, data)
	if err != nil {
		return nil, err
	}
	s.PeerSecret, err = ReadSecret(s.PeerSecretFile, s.PeerSecretEnv)
	return s, fault.Wrap("read peer secret", "", err)
}

func (c *checker) checkRouter(s *Router) {
	c.checkName("instance", string(s.Instance))
	c.checkName("failure_domain", string(s.FailureDomain))
	c.checkName("region", string(s.Region))
	c.checkAddress("caller_address", s.CallerAddress, document.CheckDialAddress)
	c.checkAddress("readiness_address", s.ReadinessAddress, document.CheckListenAddress)
	c.checkAddress("directory_address", s.DirectoryAddress, document.CheckListenAddress)
	c.checkAddress("peer_address", s.PeerAddress, document.CheckDialAddress)
	if s.OperatorAddress != "" {
		c.checkAddress("operator_address", s.OperatorAddress, document.CheckListenAddress)
	}
	c.checkAddress("platform_address", s.PlatformAddress, document.CheckDialAddress)
	for i, seed := range s.Seeds {
		c.checkAddress(fmt.Sprintf("seeds[%d]", i), seed, document.CheckDialAddress)
	}
	c.checkSecretSource("peer_secret", s.PeerSecretFile, s.PeerSecretEnv)
	c.checkLogLevel(s.LogLevel)
	for field, value := range map[string]int64{"memory_bytes": s.MemoryBytes, "max_descriptors": int64(s.MaxDescriptors)} {
		if value < 0 {
			c.fault(field, "want at least 0")
		}
	}
	c.checkCallerLimits(s.CallerLimits)
	for field, value := range map[string]time.Duration{
		"grace": s.Grace, "entry_lifetime": s.EntryLifetime, "retries.window": s.Retries.Window,
	} {
		if value <= 0 {
			c.fault(field, "want more than 0s")
		}
	}
	if s.Retries.Ratio < 0 || s.Retries.Slack < 0 {
		c.fault("retries", "want a ratio and a slack of at least 0")
	}
	if s.ProcessorShare < 0 || s.LinkMbps < 0 {
		c.fault("processor_share", "want a processor share and a bandwidth of at least 0")
	}
	if s.Duties != nil {
		c.checkDuties(s.Duties)
	}
}

func (c *checker) checkDuties(d *Duties) {
	c.checkAddress("duties.address", d.Address, document.CheckDialAddress)
	for i, kind := range d.Kinds {
		if kind != DutyUsage && kind != DutyCapacity {
			c.fault(fmt.Sprintf("duties.kinds[%d]", i), "unknown duty %q", kind)
		}
	}
	if d.Lease <= 0 || d.CallsPerSecond <= 0 {
		c.fault("duties", "want a lease and a rate of calls of more than 0")
	}
	for service, b := range d.Capacity {
		if b.Min < 0 || b.Max < 0 || b.Max > 0 && b.Max < b.Min {
			c.fault(fmt.Sprintf("duties.capacity.%s", service), "want 0 <= min <= max")
		}
	}
	if d.Has(DutyUsage) && (d.Usage.Window <= 0 || d.Usage.Lateness <= 0) {
		c.fault("duties.usage", "want a window and a lateness of more than 0s")
	}
}
