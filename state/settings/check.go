package settings

import (
	"fmt"
	"time"

	"samphirehead/state/document"
)

type checker struct {
	document *document.Document
	settings *Settings
}

func (c *checker) check() {
	s := c.settings
	c.name("instance", string(s.Instance))
	c.name("failure_domain", string(s.FailureDomain))
	c.name("region", string(s.Region))
	c.address("caller_address", s.CallerAddress, document.CheckListenAddress)
	c.address("peer_address", s.PeerAddress, document.CheckListenAddress)
	c.address("operator_address", s.OperatorAddress, document.CheckListenAddress)
	if s.AdvertisedCallerAddress != "" {
		c.address("advertised_caller_address", s.AdvertisedCallerAddress, document.CheckDialAddress)
	}
	if s.AdvertisedPeerAddress != "" {
		c.address("advertised_peer_address", s.AdvertisedPeerAddress, document.CheckDialAddress)
	}
	c.address("platform_address", s.PlatformAddress, document.CheckDialAddress)
	c.secret("peer_secret", s.PeerSecretFile, s.PeerSecretEnv)
	c.secret("operator_secret", s.OperatorSecretFile, s.OperatorSecretEnv)
	c.logLevel(s.LogLevel)
	c.peers()
	c.limits()
}

// fault records a fault unless the field already has one.
func (c *checker) fault(field, format string, args ...any) {
	if !c.document.HasFault(field) {
		c.document.AddFault(field, format, args...)
	}
}

func (c *checker) name(field, value string) {
	if err := document.CheckName(value); err != nil {
		c.fault(field, "%v", err)
	}
}

func (c *checker) address(field, value string, check func(string) error) {
	if err := check(value); err != nil {
		c.fault(field, "%v", err)
	}
}

func (c *checker) secret(field, file, env string) {
	if file == "" && env == "" {
		c.fault(field+"_file", "set %s_file or %s_env", field, field)
	}
	if file != "" && env != "" {
		c.fault(field+"_env", "%s_file is set too", field)
	}
}

func (c *checker) logLevel(level LogLevel) {
	switch level {
	case LogDebug, LogInfo, LogWarning, LogError:
	default:
		c.fault("log_level", "want debug, info, warning or error")
	}
}

func (c *checker) peers() {
	for i, p := range c.settings.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		c.name(field+".instance", string(p.Instance))
		c.name(field+".failure_domain", string(p.FailureDomain))
		c.address(field+".peer_address", p.PeerAddress, document.CheckDialAddress)
	}
}

func (c *checker) limits() {
	l := c.settings.Limits
	c.positive("max_body_bytes", l.MaxBodyBytes)
	c.positive("max_header_bytes", int64(l.MaxHeaderBytes))
	c.positive("max_concurrent_requests", int64(l.MaxConcurrentRequests))
	c.lasting("header_timeout", l.HeaderTimeout)
	c.lasting("body_timeout", l.BodyTimeout)
	c.lasting("write_timeout", l.WriteTimeout)
	c.lasting("idle_timeout", l.IdleTimeout)
}

func (c *checker) positive(key string, value int64) {
	if value < 1 {
		c.fault("limits."+key, "want at least 1")
	}
}

func (c *checker) lasting(key string, value time.Duration) {
	if value <= 0 {
		c.fault("limits."+key, "want more than 0s")
	}
}
