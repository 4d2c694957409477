// Package resumption decides where a broken stream may go on: only at the software
// version of the service that began it, since what two versions write does not fit
// together. A Tracker is a deterministic state machine: time is passed in with each call.
//
// Each instance knows where its own streams began. While those of a route may have begun
// at several versions or services, it also publishes that: a caller may resume a stream at
// another instance after this one has ended. While there is only one, nothing needs to be
// published but its name.
package resumption

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirehead/state/id"
)

// Origin is where a stream began.
type Origin struct {
	Service  id.Service
	Software id.SoftwareVersion
}

func compare(a, b Origin) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
}

// Publisher identifies the process of one instance.
type Publisher struct {
	Instance    id.Instance
	Incarnation id.Incarnation
}

// Publication is what all instances have published.
type Publication struct {
	// Versions are those that streams may have begun at.
	Versions []Origin
	// Streams holds where streams began, by the caller's first attempt.
	Streams map[id.Request]Origin
}

// Change is what one instance has to publish.
type Change struct {
	Add, Remove []Origin
	// Streams replaces the streams of this instance, unless it is nil.
	Streams map[id.Request]Origin
}

// Empty reports whether there is nothing to publish.
func (c Change) Empty() bool { return len(c.Add) == 0 && len(c.Remove) == 0 && c.Streams == nil }

// completedTime is how long a stream is remembered after this instance has written its last
// event: the caller may not have received it.
const completedTime = 2 * time.Second

// Tracker holds what one instance knows of the streams that may be resumed. The zero
// value is ready. It is not safe for concurrent use.
type Tracker struct {
	wait   time.Duration
	routes [][]id.Service
	// listedSince is when versions were first listed; zero before.
	listedSince time.Time

	versions map[Origin]*version
	streams  map[id.Request]stream
	// unpublished is set while a stream was sent that is not published, and
	// hasPublished while streams of this instance are published.
	unpublished, hasPublished bool
	// mixed holds the services whose streams were to be published at the last change.
	mixed map[id.Service]bool
}

// version is a version that streams may have begun at.
type version struct {
	listed, published bool
	// seenAt is when it was last listed or read in a publication.
	seenAt time.Time
}

type stream struct {
	origin Origin
	sent   Sent
	// proven is set once it is certain that the upstream had the version of origin: it may
	// have started again with another one, and the list not say so yet.
	proven bool
	// forgetAt is when the caller no longer resumes the stream.
	forgetAt time.Time
	// completed is set once this instance has written the last event.
	completed bool
}

// Step applies ev at now.
func (t *Tracker) Step(now time.Time, ev Event) {
	if t.versions == nil {
		t.versions = make(map[Origin]*version)
		t.streams = make(map[id.Request]stream)
		t.mixed = make(map[id.Service]bool)
	}
	switch ev := ev.(type) {
	case VersionsListed:
		t.list(now, ev)
	case PublicationRead:
		t.read(now, ev.Publication)
	case Published:
		t.published(ev.Change)
	case PublishFailed:
		t.unpublished = true
	case PublicationLost:
		for _, v := range t.versions {
			v.published = v.published && !t.possible(now, v)
		}
		t.unpublished = true
	default:
		t.stepStream(now, ev)
	}
}

// stepStream applies an event of one stream.
func (t *Tracker) stepStream(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case StreamSent:
		t.sent(now, ev)
	case StreamConnected:
		if s, ok := t.streams[ev.Request]; ok {
			s.sent.ConnectedAt = ev.At
			t.streams[ev.Request] = s
		}
	case StreamProven:
		if s, ok := t.streams[ev.Request]; ok && !s.proven {
			s.proven = true
			t.streams[ev.Request] = s
			t.unpublished = true
		}
	case StreamCompleted:
		if s, ok := t.streams[ev.Request]; ok {
			s.forgetAt, s.completed = now.Add(min(t.wait, completedTime)), true
			t.streams[ev.Request] = s
		}
	}
}

// sent records a stream. One that goes on keeps the proof of its origin: it was sent there
// again.
func (t *Tracker) sent(now time.Time, ev StreamSent) {
	known := t.streams[ev.Request]
	t.streams[ev.Request] = stream{
		origin: ev.Origin, sent: ev.Sent,
		proven:   ev.ConnectedAt.IsZero() || known.proven && known.origin == ev.Origin,
		forgetAt: now.Add(min(t.wait, cmp.Or(ev.Wait, t.wait))),
	}
	t.unpublished = true
}

// Unproven returns the streams whose origin is not proven, and where they were sent.
func (t *Tracker) Unproven() map[id.Request]Sent {
	unproven := make(map[id.Request]Sent)
	for request, s := range t.streams {
		if !s.proven {
			unproven[request] = s.sent
		}
	}
	return unproven
}

// UnprovenSince reports whether there are streams, sent over connections that were opened later
// than a time, that are to be published once their origin is proven.
func (t *Tracker) UnprovenSince(now, connectedAt time.Time) bool {
	mixed := t.allMixed(now)
	for _, s := range t.streams {
		if !s.proven && !s.completed && mixed[s.origin.Service] && s.sent.ConnectedAt.After(connectedAt) {
			return true
		}
	}
	return false
}

// Sent returns where a stream was sent whose origin is not proven.
func (t *Tracker) Sent(request id.Request) (sent Sent, unproven bool) {
	s, ok := t.streams[request]
	return s.sent, ok && !s.proven
}

func (t *Tracker) list(now time.Time, ev VersionsListed) {
	t.wait, t.routes = ev.Wait, ev.Routes
	if t.listedSince.IsZero() {
		t.listedSince = now
	}
	for _, v := range t.versions {
		if v.listed {
			v.seenAt = now
		}
	}
	for origin, v := range t.versions {
		v.listed = v.listed && slices.Contains(ev.Origins, origin)
	}
	for _, origin := range ev.Origins {
		v := t.version(origin)
		if !v.listed {
			// Another instance may be about to remove what was published.
			v.published = false
		}
		v.listed, v.seenAt = true, now
	}
}

func (t *Tracker) version(origin Origin) *version {
	v, ok := t.versions[origin]
	if !ok {
		v = &version{}
		t.versions[origin] = v
	}
	return v
}

func (t *Tracker) read(now time.Time, p Publication) {
	for _, origin := range p.Versions {
		v := t.version(origin)
		if v.seenAt.IsZero() {
			v.seenAt = now
		}
		v.published = true
	}
}

func (t *Tracker) published(c Change) {
	for _, origin := range c.Add {
		t.version(origin).published = true
	}
	for _, origin := range c.Remove {
		if v, ok := t.versions[origin]; ok && !v.listed {
			delete(t.versions, origin)
		}
	}
	if c.Streams != nil {
		t.hasPublished = len(c.Streams) > 0
	}
}

// Next returns what this instance has to publish, which is nothing before versions were
// listed. Published or PublishFailed must follow.
func (t *Tracker) Next(now time.Time) Change {
	var c Change
	if t.listedSince.IsZero() {
		return c
	}
	for origin, v := range t.versions {
		switch {
		case t.possible(now, v) && !v.published:
			c.Add = append(c.Add, origin)
		case !t.possible(now, v) && v.published:
			c.Remove = append(c.Remove, origin)
		case !t.possible(now, v):
			delete(t.versions, origin)
		}
	}
	slices.SortFunc(c.Add, compare)
	slices.SortFunc(c.Remove, compare)
	c.Streams = t.nextStreams(now)
	return c
}

// nextStreams returns the streams to publish: those of mixed services that are not
// completed. It returns nil if they are published, and no streams if none need to be.
func (t *Tracker) nextStreams(now time.Time) map[id.Request]Origin {
	maps.DeleteFunc(t.streams, func(_ id.Request, s stream) bool { return now.After(s.forgetAt) })
	mixed := t.allMixed(now)
	changed := !maps.Equal(mixed, t.mixed)
	t.mixed = mixed
	if !t.unpublished && !changed {
		return nil
	}
	t.unpublished = false
	streams := make(map[id.Request]Origin)
	for request, s := range t.streams {
		if mixed[s.origin.Service] && !s.completed && s.proven {
			streams[request] = s.origin
		}
	}
	if len(streams) == 0 && !t.hasPublished {
		return nil
	}
	return streams
}

// allMixed returns the services with a route whose streams may have begun at more than one
// origin.
func (t *Tracker) allMixed(now time.Time) map[id.Service]bool {
	mixed := make(map[id.Service]bool)
	for _, services := range t.routes {
		if len(t.possibleAt(now, services)) < 2 {
			continue
		}
		for _, service := range services {
			mixed[service] = true
		}
	}
	return mixed
}

// Mixed reports whether the streams of a service are to be published.
func (t *Tracker) Mixed(now time.Time, service id.Service) bool { return t.allMixed(now)[service] }

// possible reports whether streams that callers may still resume may have begun at a
// version.
func (t *Tracker) possible(now time.Time, v *version) bool {
	return v.listed || t.listedSince.IsZero() || now.Sub(v.seenAt) <= t.wait
}

// possibleAt returns where a stream of one of the services may have begun that its caller
// still waits for, in any order.
func (t *Tracker) possibleAt(now time.Time, services []id.Service) []Origin {
	var possible []Origin
	for origin, v := range t.versions {
		if slices.Contains(services, origin.Service) && t.possible(now, v) {
			possible = append(possible, origin)
		}
	}
	return possible
}

// Own returns where a stream began that this instance has sent, if that is proven.
func (t *Tracker) Own(request id.Request) (Origin, bool) {
	s := t.streams[request]
	return s.origin, s.proven
}

// Found is where a stream began.
type Found struct {
	Origin
	// Presumed is set if it is the only version there can be as far as the instance knows, which
	// started when the stream may have begun already: what was published of other versions
	// may have been lost, if the platform was restored from a copy.
	Presumed bool
}

// Versions returns how many versions streams of the services may have begun at that their callers
// wait for.
func (t *Tracker) Versions(now time.Time, services []id.Service) int {
	return len(t.possibleAt(now, services))
}

// Find returns where a stream began at one of the services. published is what instances
// have published, or nil if that can't be read; it must have been read, and the versions
// listed, after the caller asked for the stream. A stream that no instance has published
// can have begun at a single version only if there is no other, which nobody knows who
// can't read that.
func (t *Tracker) Find(now time.Time, request id.Request, services []id.Service, published *Publication) (Found, bool) {
	if origin, ok := t.Own(request); ok {
		return Found{Origin: origin}, true
	}
	if published == nil {
		return Found{}, false
	}
	if origin, ok := published.Streams[request]; ok {
		return Found{Origin: origin}, true
	}
	possible := t.possibleAt(now, services)
	for _, origin := range published.Versions {
		if slices.Contains(services, origin.Service) && !slices.Contains(possible, origin) {
			possible = append(possible, origin)
		}
	}
	if len(possible) != 1 {
		return Found{}, false
	}
	return Found{possible[0], now.Sub(t.listedSince) <= t.wait}, true
}
