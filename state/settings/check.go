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
	c.checkName("instance", string(s.Instance))
	c.checkName("failure_domain", string(s.FailureDomain))
	c.checkName("region", string(s.Region))
	c.checkAddress("caller_address", s.CallerAddress, document.CheckListenAddress)
	c.checkAddress("peer_address", s.PeerAddress, document.CheckListenAddress)
	c.checkAddress("operator_address", s.OperatorAddress, document.CheckListenAddress)
	if s.AdvertisedCallerAddress != "" {
		c.checkAddress("advertised_caller_address", s.AdvertisedCallerAddress, document.CheckDialAddress)
	}
	if s.AdvertisedPeerAddress != "" {
		c.checkAddress("advertised_peer_address", s.AdvertisedPeerAddress, document.CheckDialAddress)
	}
	c.checkAddress("platform_address", s.PlatformAddress, document.CheckDialAddress)
	c.checkSecretSource("peer_secret", s.PeerSecretFile, s.PeerSecretEnv)
	c.checkSecretSource("operator_secret", s.OperatorSecretFile, s.OperatorSecretEnv)
	c.checkLogLevel(s.LogLevel)
	c.checkPeers()
	c.checkLimits()
}

// fault records a fault unless the field already has one.
func (c *checker) fault(field, format string, args ...any) {
	if !c.document.HasFault(field) {
		c.document.AddFault(field, format, args...)
	}
}

func (c *checker) checkName(field, value string) {
	if err := document.CheckName(value); err != nil {
		c.fault(field, "%v", err)
	}
}

func (c *checker) checkAddress(field, value string, check func(string) error) {
	if err := check(value); err != nil {
		c.fault(field, "%v", err)
	}
}

func (c *checker) checkSecretSource(field, file, env string) {
	if file == "" && env == "" {
		c.fault(field+"_file", "set %s_file or %s_env", field, field)
	}
	if file != "" && env != "" {
		c.fault(field+"_env", "%s_file is set too", field)
	}
}

func (c *checker) checkLogLevel(level LogLevel) {
	switch level {
	case LogDebug, LogInfo, LogWarning, LogError:
	default:
		c.fault("log_level", "want debug, info, warning or error")
	}
}

func (c *checker) checkPeers() {
	for i, p := range c.settings.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		c.checkName(field+".instance", string(p.Instance))
		c.checkName(field+".failure_domain", string(p.FailureDomain))
		c.checkAddress(field+".peer_address", p.PeerAddress, document.CheckDialAddress)
	}
}

func (c *checker) checkLimits() {
	l := c.settings.Limits
	c.checkPositiveLimit("max_body_bytes", l.MaxBodyBytes)
	c.checkPositiveLimit("max_header_bytes", int64(l.MaxHeaderBytes))
	c.checkPositiveLimit("max_concurrent_requests", int64(l.MaxConcurrentRequests))
	c.checkPositiveTimeout("header_timeout", l.HeaderTimeout)
	c.checkPositiveTimeout("body_timeout", l.BodyTimeout)
	c.checkPositiveTimeout("write_timeout", l.WriteTimeout)
	c.checkPositiveTimeout("idle_timeout", l.IdleTimeout)
}

func (c *checker) checkPositiveLimit(key string, value int64) {
	if value < 1 {
		c.fault("limits."+key, "want at least 1")
	}
}

func (c *checker) checkPositiveTimeout(key string, value time.Duration) {
	if value <= 0 {
		c.fault("limits."+key, "want more than 0s")
	}
}
