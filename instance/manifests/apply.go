package manifests

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/coordination/rollout"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/transport/platform"
)

// ErrOutcomeUnknown marks the error of an Apply whose manifest may or may not
// have been accepted.
var ErrOutcomeUnknown = errors.New("outcome unknown")

// applyTimeout bounds an Apply, unless its context has an earlier deadline.
const applyTimeout = 5 * time.Second

// stepTimeout bounds each platform operation of an Apply. It is shorter than
// applyTimeout, so that there is time to retry an operation.
const stepTimeout = 2 * time.Second

// Apply proposes yaml as the successor of version base and waits for the
// outcome. It returns true and the new version if the manifest was accepted, and
// false and the current version if another manifest succeeded base. A call is
// idempotent: a repeat with the same operation and base returns the result of
// the first call. After an error that is not marked ErrOutcomeUnknown, the
// manifest was not accepted.
func (m *Manifests) Apply(ctx context.Context, base id.ManifestVersion, yaml []byte, operation id.Attempt) (id.ManifestVersion, bool, error) {
	parsed, err := manifest.Parse("manifest", yaml)
	if err != nil {
		return 0, false, err
	}
	deadline := time.Now().Add(applyTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	executor := &applyExecutor{store: m.Store, machine: &rollout.Apply{
		Base: base, YAML: yaml, Operation: operation, Author: m.Self, Deadline: deadline,
	}}
	const step = "apply manifest"
	switch r := executor.run(ctx).(type) {
	case rollout.Accepted:
		m.activate(r.Version, yaml, parsed)
		return r.Version, true, nil
	case rollout.Conflict:
		return r.Current.Version, false, nil
	case rollout.NotApplied:
		return 0, false, fault.Wrap(step, "", r.Err)
	case rollout.ApplyUnknown:
		return 0, false, errors.Mark(fault.Wrap(step, "", r.Err), ErrOutcomeUnknown)
	}
	return 0, false, errors.AssertionFailedf("apply ended without a result")
}

// activate makes an accepted manifest the active one of this instance without
// waiting for the next poll of the platform.
func (m *Manifests) activate(v id.ManifestVersion, yaml []byte, parsed *manifest.Manifest) {
	m.queueEffects(m.step(time.Now(), rollout.Fetched{Version: v, YAML: yaml}, parsed))
}

// applyExecutor executes the effects of the state machine of one Apply.
type applyExecutor struct {
	store   Store
	machine *rollout.Apply
}

func (x *applyExecutor) run(ctx context.Context) rollout.ApplyResult {
	var ev rollout.ApplyEvent = rollout.ApplyStarted{}
	for ev != nil {
		var next rollout.ApplyEvent
		for _, effect := range x.machine.Step(time.Now(), ev) {
			if finished, ok := effect.(rollout.ApplyFinished); ok {
				return finished.Result
			}
			next = x.execute(ctx, effect)
		}
		ev = next
	}
	return nil
}

func (x *applyExecutor) execute(ctx context.Context, effect rollout.ApplyEffect) rollout.ApplyEvent {
	switch e := effect.(type) {
	case rollout.ReadRows:
		ctx, cancel := context.WithTimeout(ctx, stepTimeout)
		defer cancel()
		rows, err := x.store.Read(ctx, e.Keys)
		return rollout.RowsRead{Rows: rows, Err: err}
	case rollout.PutObject:
		ctx, cancel := context.WithTimeout(ctx, stepTimeout)
		defer cancel()
		err := x.store.PutObject(ctx, e.Name, e.Body)
		if errors.Is(err, platform.ErrExists) {
			err = nil
		}
		return rollout.ObjectPut{Err: err}
	case rollout.WriteRows:
		ctx, cancel := context.WithTimeout(ctx, stepTimeout)
		defer cancel()
		return rollout.RowsWritten{Result: x.store.Write(ctx, e.Writes)}
	case rollout.ApplyWakeAt:
		sleep(ctx, time.Until(e.Time))
		return rollout.ApplyTicked{}
	}
	return nil
}

// sleep waits until d has passed or ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
