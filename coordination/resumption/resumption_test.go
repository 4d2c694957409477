package resumption_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/resumption"
	"samphirehead/state/id"
)

// wait is how long callers take a stream up.
const wait = 14 * time.Second

var services = []id.Service{"pool"}

func at(software id.SoftwareVersion) resumption.Origin {
	return resumption.Origin{Service: "pool", Software: software}
}

func listed(software ...id.SoftwareVersion) resumption.VersionsListed {
	ev := resumption.VersionsListed{Wait: wait, Routes: [][]id.Service{services}}
	for _, s := range software {
		ev.Origins = append(ev.Origins, at(s))
	}
	return ev
}

// store is what several trackers publish.
type store struct {
	versions map[resumption.Origin]bool
	streams  map[string]map[id.Request]resumption.Origin
}

func newStore() *store {
	return &store{make(map[resumption.Origin]bool), make(map[string]map[id.Request]resumption.Origin)}
}

// publish publishes what a tracker has to publish, and reports whether that was anything.
func (s *store) publish(now time.Time, name string, t *resumption.Tracker) bool {
	change := t.Next(now)
	if change.Empty() {
		return false
	}
	for _, origin := range change.Add {
		s.versions[origin] = true
	}
	for _, origin := range change.Remove {
		delete(s.versions, origin)
	}
	if change.Streams != nil {
		s.streams[name] = change.Streams
	}
	t.Step(now, resumption.Published{Change: change})
	return true
}

func (s *store) read() resumption.Publication {
	p := resumption.Publication{Streams: make(map[id.Request]resumption.Origin)}
	for origin := range s.versions {
		p.Versions = append(p.Versions, origin)
	}
	for _, streams := range s.streams {
		maps.Copy(p.Streams, streams)
	}
	return p
}

// start returns a tracker that has read the store.
func (s *store) start(now time.Time, software ...id.SoftwareVersion) *resumption.Tracker {
	t := &resumption.Tracker{}
	t.Step(now, resumption.PublicationRead{Publication: s.read()})
	t.Step(now, listed(software...))
	return t
}

// Guards against a stream that goes on at another software version after all instances
// were killed (ORDER), and against refusing streams that could go on (LOST).
func TestFindAfterAllInstancesWereKilled(t *testing.T) {
	type step struct {
		after time.Duration
		// versions are those listed from then on.
		versions []id.SoftwareVersion
		// streams begin then, at the version that is the value.
		streams map[id.Request]id.SoftwareVersion
	}
	for name, c := range map[string]struct {
		steps []step
		// restarted are the versions listed when the instances are back, after down.
		restarted []id.SoftwareVersion
		down      time.Duration
		want      map[id.Request]id.SoftwareVersion
	}{
		"one version": {
			[]step{{0, []id.SoftwareVersion{"v1"}, map[id.Request]id.SoftwareVersion{"a": "v1"}}},
			[]id.SoftwareVersion{"v1"}, time.Second, map[id.Request]id.SoftwareVersion{"a": "v1"},
		},
		"two versions": {
			[]step{{0, []id.SoftwareVersion{"v1", "v2"}, map[id.Request]id.SoftwareVersion{"a": "v1", "b": "v2"}}},
			[]id.SoftwareVersion{"v1", "v2"}, time.Second, map[id.Request]id.SoftwareVersion{"a": "v1", "b": "v2"},
		},
		"a second version appears while a stream runs": {
			[]step{
				{0, []id.SoftwareVersion{"v1"}, map[id.Request]id.SoftwareVersion{"a": "v1"}},
				{time.Second, []id.SoftwareVersion{"v1", "v2"}, nil},
			},
			[]id.SoftwareVersion{"v1", "v2"}, time.Second, map[id.Request]id.SoftwareVersion{"a": "v1"},
		},
		"the old version has just left": {
			[]step{
				{0, []id.SoftwareVersion{"v1", "v2"}, map[id.Request]id.SoftwareVersion{"a": "v1"}},
				{time.Second, []id.SoftwareVersion{"v2"}, map[id.Request]id.SoftwareVersion{"b": "v2"}},
			},
			[]id.SoftwareVersion{"v2"}, time.Second, map[id.Request]id.SoftwareVersion{"a": "v1", "b": "v2"},
		},
		"the old version leaves unseen": {
			[]step{{0, []id.SoftwareVersion{"v1"}, map[id.Request]id.SoftwareVersion{"a": "v1"}}},
			[]id.SoftwareVersion{"v2"}, time.Second, map[id.Request]id.SoftwareVersion{"a": ""},
		},
		"the old version left long ago": {
			[]step{
				{0, []id.SoftwareVersion{"v1", "v2"}, nil},
				{time.Second, []id.SoftwareVersion{"v2"}, nil},
				{wait + time.Second, []id.SoftwareVersion{"v2"}, map[id.Request]id.SoftwareVersion{"b": "v2"}},
			},
			[]id.SoftwareVersion{"v2"}, time.Second, map[id.Request]id.SoftwareVersion{"b": "v2"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := newStore()
			instances := []*resumption.Tracker{{}, {}}
			for _, step := range c.steps {
				now = now.Add(step.after)
				for i, tracker := range instances {
					tracker.Step(now, listed(step.versions...))
					for request, software := range step.streams {
						if i == 0 {
							tracker.Step(now, resumption.StreamSent{Request: request, Origin: at(software)})
						}
					}
					s.publish(now, fmt.Sprint(i), tracker)
				}
			}
			now = now.Add(c.down)
			started := s.start(now, c.restarted...)
			published := s.read()
			for request, software := range c.want {
				got, known := started.Find(now, request, services, &published)
				if known != (software != "") || known && got.Origin != at(software) {
					t.Errorf("%s: %v, known %t, want %q", request, got, known, software)
				}
			}
		})
	}
}

// Guards against a stream being joined from two versions in any order of releases, streams,
// kills, lost writes and a store that can't be read.
func TestFindNeverNamesAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := newStore()
		all := []id.SoftwareVersion{"v1", "v2", "v3"}
		serving := []id.SoftwareVersion{"v1"}
		trackers := []*resumption.Tracker{s.start(now, serving...), s.start(now, serving...)}
		for i, tracker := range trackers {
			s.publish(now, fmt.Sprint(i), tracker)
		}
		names := len(trackers)
		began := make(map[id.Request]resumption.Origin)
		begunAt := make(map[id.Request]time.Time)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(trackers)-1).Draw(t, "instance")
			switch rapid.SampledFrom([]string{"stream", "stream", "publish", "release", "kill all", "find"}).Draw(t, "step") {
			case "stream":
				request := id.Request(fmt.Sprint(len(began)))
				begunAt[request] = now
				began[request] = at(rapid.SampledFrom(serving).Draw(t, "version"))
				trackers[i].Step(now, resumption.StreamSent{Request: request, Origin: began[request]})
			case "publish":
				s.publish(now, fmt.Sprint(names, i), trackers[i])
			case "release":
				serving = []id.SoftwareVersion{rapid.SampledFrom(all).Draw(t, "stays"), rapid.SampledFrom(all).Draw(t, "comes")}
				for j, tracker := range trackers {
					tracker.Step(now, listed(serving...))
					s.publish(now, fmt.Sprint(names, j), tracker)
				}
			case "kill all":
				names += len(trackers)
				for j := range trackers {
					trackers[j] = s.start(now, serving...)
				}
			case "find":
				published := s.read()
				readable := &published
				if rapid.Bool().Draw(t, "unreadable") {
					readable = nil
				}
				for request, origin := range began {
					if got, known := trackers[i].Find(now, request, services, readable); known && got.Origin != origin && now.Sub(begunAt[request]) <= wait {
						t.Fatalf("stream %s began at %v, found %v", request, origin, got)
					}
				}
			}
		}
	})
}

// Guards against calls to the store for every stream while there is a single version, which
// is most of the time.
func TestSingleVersionNeedsNoPublication(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStore()
	tracker := s.start(now, "v1")
	if !s.publish(now, "a", tracker) {
		t.Error("the version is not published")
	}
	for i := range 100 {
		now = now.Add(time.Second)
		tracker.Step(now, resumption.StreamSent{Request: id.Request(fmt.Sprint(i)), Origin: at("v1")})
		if s.publish(now, "a", tracker) {
			t.Fatalf("something was published with stream %d", i)
		}
	}
}

// Guards against publishing streams that nobody takes up: the longer the row is, the less
// often it is written, and the more streams are unknown after a kill.
func TestCompletedStreamsAreNotPublished(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStore()
	tracker := s.start(now, "v1", "v2")
	tracker.Step(now, resumption.StreamSent{Request: "a", Origin: at("v1")})
	tracker.Step(now, resumption.StreamSent{Request: "b", Origin: at("v1")})
	tracker.Step(now, resumption.StreamCompleted{Request: "a"})
	s.publish(now, "a", tracker)
	if got := s.read().Streams; len(got) != 1 || got["b"] != at("v1") {
		t.Errorf("published %v, want only b", got)
	}
	if _, known := tracker.Own("a"); !known {
		t.Error("the caller may not have received the end of a, but its origin is forgotten")
	}
}

// Guards against streams that stay published when their callers have long given up.
func TestStreamsAreForgottenWithTheirCallers(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStore()
	tracker := s.start(now, "v1", "v2")
	tracker.Step(now, resumption.StreamSent{Request: "a", Origin: at("v1"), Wait: 2 * time.Second})
	tracker.Step(now, resumption.StreamSent{Request: "b", Origin: at("v1"), Wait: 2 * wait})
	tracker.Step(now, resumption.StreamSent{Request: "c", Origin: at("v1")})
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 3}, {3 * time.Second, 2}, {wait + time.Second, 0}} {
		later := now.Add(c.after)
		tracker.Step(later, resumption.PublishFailed{})
		if got := len(tracker.Next(later).Streams); got != c.want {
			t.Errorf("%d streams after %v, want %d", got, c.after, c.want)
		}
	}
}

// Guards against a published version or stream that is never removed, after which streams
// would be refused, and against losing them with the writes of a restored store.
func TestPublicationEndsAndIsRepeated(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStore()
	tracker := s.start(now, "v1", "v2")
	tracker.Step(now, resumption.StreamSent{Request: "a", Origin: at("v1")})
	s.publish(now, "a", tracker)
	*s = *newStore()
	tracker.Step(now, resumption.PublicationLost{})
	s.publish(now, "a", tracker)
	if got := s.read(); len(got.Versions) != 2 || len(got.Streams) != 1 {
		t.Errorf("published again: %+v", got)
	}
	now = now.Add(time.Second)
	tracker.Step(now, listed("v2"))
	now = now.Add(wait + time.Second)
	s.publish(now, "a", tracker)
	s.publish(now, "a", tracker)
	if got := s.read(); len(got.Versions) != 1 || len(got.Streams) != 0 {
		t.Errorf("at the end: %+v", got)
	}
}

// Guards against a stream whose upstream had started again, unlisted, when the stream was sent:
// the list names the version of the incarnation before (ORDER).
func TestOriginIsKnownOnceItIsProven(t *testing.T) {
	now := time.Unix(1000, 0)
	sentTo := func(software id.SoftwareVersion, connectedAt time.Time) resumption.Event {
		return resumption.StreamSent{Request: "a", Origin: at(software), Sent: resumption.Sent{ConnectedAt: connectedAt}}
	}
	proven := resumption.StreamProven{Request: "a"}
	for name, c := range map[string]struct {
		events []resumption.Event
		known  bool
	}{
		"certain":                       {[]resumption.Event{sentTo("v1", time.Time{})}, true},
		"not proven":                    {[]resumption.Event{sentTo("v1", now)}, false},
		"another one proven":            {[]resumption.Event{sentTo("v1", now), resumption.StreamProven{Request: "b"}}, false},
		"connected earlier":             {[]resumption.Event{sentTo("v1", now), resumption.StreamConnected{Request: "a", At: now.Add(-time.Second)}}, false},
		"proven":                        {[]resumption.Event{sentTo("v1", now), proven}, true},
		"proven, and goes on":           {[]resumption.Event{sentTo("v1", now), proven, sentTo("v1", now)}, true},
		"proven, and begun at another":  {[]resumption.Event{sentTo("v1", now), proven, sentTo("v2", now)}, false},
		"proven, and completed":         {[]resumption.Event{sentTo("v1", now), proven, resumption.StreamCompleted{Request: "a"}}, true},
		"completed, and proven by then": {[]resumption.Event{sentTo("v1", now), resumption.StreamCompleted{Request: "a"}, proven}, true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newStore().start(now, "v1", "v2")
			completed := false
			for _, ev := range c.events {
				tracker.Step(now, ev)
				_, ends := ev.(resumption.StreamCompleted)
				completed = completed || ends
			}
			if _, known := tracker.Own("a"); known != c.known {
				t.Errorf("known %t, want %t", known, c.known)
			}
			if _, unproven := tracker.Unproven()["a"]; unproven == c.known {
				t.Errorf("unproven %t, want %t", unproven, !c.known)
			}
			if published := len(tracker.Next(now).Streams) > 0; published != (c.known && !completed) {
				t.Errorf("published %t, known %t, completed %t", published, c.known, completed)
			}
		})
	}
}
