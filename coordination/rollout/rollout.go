package rollout

import (
	"time"

	"samphirehead/state/id"
	"samphirehead/state/record"
)

const (
	// pollLeast is the shortest interval between reads of the current row.
	minPollInterval = 500 * time.Millisecond
	// pollShare is the time that each instance adds to the interval, which
	// bounds the reads of all instances together to 200 a second.
	pollIntervalPerInstance = 5 * time.Millisecond
	// retryFetch is the delay after a failed fetch of a version that is
	// known to exist.
	fetchRetryDelay = 100 * time.Millisecond
	// cutOffAfter is how long an instance trusts its version without word
	// from the platform or a peer.
	isolationTimeout = 5 * time.Second
)

// Event is one input of a Rollout.
type Event interface{ event() }

// Started is the first event.
type Started struct{}

// Sized reports the number of live instances.
type InstancesCounted struct{ Instances int }

// Stamped reports the version that a message of a peer carried.
type VersionReceived struct {
	Version id.ManifestVersion
	From    id.Instance
}

// RowPolled reports the end of ReadCurrent; the row has version 0 where it is
// absent.
type CurrentRowRead struct {
	Row record.Row
	Err error
}

// Fetched reports a manifest that was obtained and is valid: by FetchObject or
// FetchFromPeer, or by accepting it here.
type Fetched struct {
	Version id.ManifestVersion
	YAML    []byte
}

// FetchFailed reports that FetchObject or FetchFromPeer brought nothing.
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

// ReadCurrent asks for the current row, to be answered by RowPolled.
type ReadCurrentRow struct{}

// FetchObject asks for the manifest of a version from the object store, to be
// answered by Fetched or FetchFailed.
type FetchObject struct {
	Version id.ManifestVersion
	Object  string
}

// FetchFromPeer asks for the manifest of a peer, of this version or a higher
// one, to be answered by Fetched or FetchFailed.
type FetchFromPeer struct {
	Version  id.ManifestVersion
	Instance id.Instance
}

// Install puts a manifest in force. The versions of all Installs rise.
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
// date. It is not safe for use by several goroutines.
type Rollout struct {
	version id.ManifestVersion
	// known is the highest version that is known to be accepted.
	highestKnown id.ManifestVersion
	advertisedBy id.Instance
	instances    int
	polling      bool
	fetching     bool
	nextPoll     time.Time
	// nextFetch is when a failed fetch is tried again; zero for no retry.
	nextFetch   time.Time
	lastContact time.Time
	// polledRow is the last current row that named a newer version.
	polledRow Row
	// failedObject was last asked for after a failed fetch. It is not asked
	// for again before the next row.
	retriedObject string
}

// Version returns the version in force; 0 before the first.
func (r *Rollout) Version() id.ManifestVersion { return r.version }

// Behind reports whether a version is known to be accepted that is not in
// force here. An instance that is behind decides nothing by its own version.
func (r *Rollout) Behind() bool { return r.highestKnown > r.version }

// CutOff reports whether neither the platform nor a peer was heard for so long
// that a newer version may be in force elsewhere.
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

// fetchObject asks for the manifest of the last row read, once no other fetch
// is under way.
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

// fetchFailed takes the manifest from the platform where a row came during a
// fetch from a peer.
func (r *Rollout) fetchFailed(now time.Time) []Effect {
	if r.retriedObject == r.polledRow.Object {
		return r.scheduleRetry(now)
	}
	r.retriedObject = r.polledRow.Object
	return append(r.fetchObject(), r.scheduleRetry(now)...)
}

// retry tries again soon while the instance is behind or has no version.
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

// fetchAgain asks the peer and the platform at the same time.
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
