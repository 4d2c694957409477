package resumption

import (
	"time"

	"samphirehead/coordination/registry"
	"samphirehead/state/id"
)

// Event is an input of a Tracker.
type Event interface{ event() }

// VersionsListed reports the versions that the listed upstreams of services with
// resumable streams have. It replaces the previous list.
type VersionsListed struct {
	Origins []Origin
	// Routes holds the services that the streams of each route go to.
	Routes [][]id.Service
	// Wait is the longest time from the start of a stream until its caller no longer
	// resumes it.
	Wait time.Duration
}

// StreamSent reports that a stream was sent to an upstream, where its first event is
// expected to come from. Request is the caller's first attempt at the stream.
type StreamSent struct {
	Request id.Request
	Origin  Origin
	Sent
	// Wait is how long the caller may still resume the stream; 0 if that is not known.
	Wait time.Duration
}

// Sent is where a stream was sent.
type Sent struct {
	// To is the listed incarnation of the upstream, which has the version of the origin.
	To registry.Incarnation
	// ConnectedAt is the latest time at which the connection to the upstream may have been
	// opened; zero if it certainly leads to the listed incarnation.
	ConnectedAt time.Time
}

// StreamConnected reports when the connection that a stream was last sent on was opened.
type StreamConnected struct {
	Request id.Request
	At      time.Time
}

// StreamProven reports that a stream was certainly sent to the listed incarnation.
type StreamProven struct{ Request id.Request }

// StreamCompleted reports that the caller was sent the whole stream, or none of it.
type StreamCompleted struct{ Request id.Request }

// PublicationRead reports what instances have published.
type PublicationRead struct{ Publication }

// Published reports that a change was published.
type Published struct{ Change }

// PublishFailed reports that a change may not be published.
type PublishFailed struct{}

// PublicationLost reports that what was published may be lost.
type PublicationLost struct{}

func (VersionsListed) event()  {}
func (StreamSent) event()      {}
func (StreamConnected) event() {}
func (StreamProven) event()    {}
func (StreamCompleted) event() {}
func (PublicationRead) event() {}
func (Published) event()       {}
func (PublishFailed) event()   {}
func (PublicationLost) event() {}
