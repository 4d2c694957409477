package rollout

import (
	"time"

	"samphirehead/state/id"
	"samphirehead/state/record"
)

const (
	// minPollInterval is the shortest interval between reads of the current
	// row.
	minPollInterval = 500 * time.Millisecond
	// pollIntervalPerInstance makes the interval grow with the number of
	// instances, so that all of them together read at most 200 times a
	// second.
	pollIntervalPerInstance = 5 * time.Millisecond
	// fetchRetryDelay is the delay after a failed fetch of a version that is
	// known to exist.
	fetchRetryDelay = 100 * time.Millisecond
	// isolationTimeout is how long an instance relies on its active version
	// without contact with the platform or a peer.
	isolationTimeout = 5 * time.Second
)

// Event is one input of a Rollout.
type Event interface{ event() }

// Started is the first event.
type Started struct{}

// InstancesCounted reports the number of live instances.
type InstancesCounted struct{ Instances int }

// VersionReceived reports the version that a message of a peer carried.
type VersionReceived struct {
	Version id.ManifestVersion
	From    id.Instance
}

// CurrentRowRead reports the result of ReadCurrentRow. An absent row has
// version 0.
type CurrentRowRead struct {
	Row record.Row
	Err error
}

// Fetched reports a valid manifest that was obtained by FetchObject or
// FetchFromPeer, or that was applied at this instance and accepted.
type Fetched struct {
	Version id.ManifestVersion
	YAML    []byte
}

// FetchFailed reports that FetchObject or FetchFromPeer returned no valid
// manifest.
type FetchFailed struct{}

// Ticked reports that the time of a WakeAt has come.
type Ticked struct{}

func (Started) event()          {}
func (InstancesCounted) event() {}
func (VersionReceived) event()  {}
func (CurrentRowRead) event()   {}
func (Fetched) event()          {}
func (FetchFailed) event()      {}
func (Ticked) event()           {}

// Effect is one output of a Rollout.
type Effect interface{ effect() }

// ReadCurrentRow asks for the current row, to be answered by CurrentRowRead.
type ReadCurrentRow struct{}

// FetchObject asks for the manifest of a version from the object store, to be
// answered by Fetched or FetchFailed.
type FetchObject struct {
	Version id.ManifestVersion
	Object  string
}

// FetchFromPeer asks a peer for its manifest, which has this version or a
// higher one, to be answered by Fetched or FetchFailed.
type FetchFromPeer struct {
	Version  id.ManifestVersion
	Instance id.Instance
}

// Install makes a manifest the active one. Each Install has a higher version
// than the one before it.
type Install struct {
	Version id.ManifestVersion
	YAML    []byte
}

// WakeAt asks for a Ticked at the time or soon after. A later WakeAt does not
// replace an earlier one.
type WakeAt struct{ Time time.Time }

func (ReadCurrentRow) effect() {}
func (FetchObject) effect()    {}
func (FetchFromPeer) effect()  {}
func (Install) effect()        {}
func (WakeAt) effect()         {}

// Rollout is the state machine that keeps the manifest of one instance up to
// date. It is not safe for concurrent use.
type Rollout struct {
	version id.ManifestVersion
	// highestKnown is the highest version that is known to be accepted.
	highestKnown id.ManifestVersion
	// advertisedBy is the peer whose message last raised highestKnown.
	advertisedBy id.Instance
	instances    int
	polling      bool
	fetching     bool
	nextPoll     time.Time
	// nextFetch is when a failed fetch is retried; zero if no retry is due.
	nextFetch   time.Time
	lastContact time.Time
	// polledRow is the last current row that was read and had a higher
	// version than the one active at that time.
	polledRow Row
	// retriedObject is the object of polledRow if it was requested directly
	// after a failed fetch. It is not requested in that way again before the
	// next row is read.
	retriedObject string
}

// Version returns the active version, or 0 before the first Install.
func (r *Rollout) Version() id.ManifestVersion { return r.version }

// Behind reports whether a higher version than the active one is known to be
// accepted. An instance that is behind must not serve requests by its version.
func (r *Rollout) Behind() bool { return r.highestKnown > r.version }

// Isolated reports whether the last contact with the platform or a peer was so
// long ago that a newer version may be active elsewhere.
func (r *Rollout) Isolated(now time.Time) bool {
	return now.Sub(r.lastContact) >= isolationTimeout
}

// Step applies ev at now and returns the effects to carry out, in order.
func (r *Rollout) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Started:
		r.lastContact = now
		return r.poll(now)
	case InstancesCounted:
		r.instances = ev.Instances
	case VersionReceived:
		return r.versionReceived(now, ev)
	case CurrentRowRead:
		return r.currentRowRead(now, ev)
	case Fetched:
		return r.fetched(now, ev)
	case FetchFailed:
		r.fetching = false
		return r.fetchFailed(now)
	case Ticked:
		return r.ticked(now)
	}
	return nil
}

func (r *Rollout) pollInterval() time.Duration {
	return max(minPollInterval, time.Duration(r.instances)*pollIntervalPerInstance)
}

func (r *Rollout) poll(now time.Time) []Effect {
	r.nextPoll = now.Add(r.pollInterval())
	out := []Effect{WakeAt{r.nextPoll}}
	if r.polling {
		return out
	}
	r.polling = true
	return append(out, ReadCurrentRow{})
}

func (r *Rollout) versionReceived(now time.Time, ev VersionReceived) []Effect {
	r.lastContact = now
	if ev.Version <= r.highestKnown || ev.Version <= r.version {
		return nil
	}
	r.highestKnown = ev.Version
	r.advertisedBy = ev.From
	return r.fetchFromPeer()
}

func (r *Rollout) fetchFromPeer() []Effect {
	if r.fetching || r.advertisedBy == "" {
		return nil
	}
	r.fetching = true
	return []Effect{FetchFromPeer{r.highestKnown, r.advertisedBy}}
}

func (r *Rollout) currentRowRead(now time.Time, ev CurrentRowRead) []Effect {
	r.polling = false
	if ev.Err != nil {
		return r.scheduleRetry(now)
	}
	row, err := DecodeRow(ev.Row)
	if err != nil {
		return r.scheduleRetry(now)
	}
	r.lastContact = now
	if row.Version <= r.version {
		return nil
	}
	r.highestKnown = max(r.highestKnown, row.Version)
	r.polledRow = row
	r.retriedObject = ""
	return r.fetchObject()
}

// fetchObject asks for the manifest of polledRow, unless a fetch is in flight
// or the active version is as new.
func (r *Rollout) fetchObject() []Effect {
	if r.fetching || r.polledRow.Version <= r.version {
		return nil
	}
	r.fetching = true
	return []Effect{FetchObject{r.polledRow.Version, r.polledRow.Object}}
}

func (r *Rollout) fetched(now time.Time, ev Fetched) []Effect {
	r.fetching = false
	if ev.Version <= r.version {
		return r.scheduleRetry(now)
	}
	r.version = ev.Version
	r.highestKnown = max(r.highestKnown, ev.Version)
	return append([]Effect{Install(ev)}, r.scheduleRetry(now)...)
}

// fetchFailed fetches the manifest from the object store if a row was read while
// the fetch from a peer was in flight.
func (r *Rollout) fetchFailed(now time.Time) []Effect {
	if r.retriedObject == r.polledRow.Object {
		return r.scheduleRetry(now)
	}
	r.retriedObject = r.polledRow.Object
	return append(r.fetchObject(), r.scheduleRetry(now)...)
}

// scheduleRetry schedules another fetch if the instance is behind or has no
// version.
func (r *Rollout) scheduleRetry(now time.Time) []Effect {
	if !r.Behind() && r.version != 0 {
		return nil
	}
	if !r.nextFetch.IsZero() {
		return nil
	}
	r.nextFetch = now.Add(fetchRetryDelay)
	return []Effect{WakeAt{r.nextFetch}}
}

func (r *Rollout) ticked(now time.Time) []Effect {
	var out []Effect
	if !r.nextFetch.IsZero() && !now.Before(r.nextFetch) {
		r.nextFetch = time.Time{}
		out = append(out, r.retryFetch()...)
	}
	if !now.Before(r.nextPoll) {
		out = append(out, r.poll(now)...)
	}
	return out
}

// retryFetch asks the peer and the platform at the same time.
func (r *Rollout) retryFetch() []Effect {
	if !r.Behind() && r.version != 0 {
		return nil
	}
	out := r.fetchFromPeer()
	if !r.polling {
		r.polling = true
		out = append(out, ReadCurrentRow{})
	}
	return out
}
