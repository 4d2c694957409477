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

// ErrUnknown marks an Apply that may have taken effect.
var ErrOutcomeUnknown = errors.New("outcome unknown")

// applyTimeout bounds an Apply whose context has no earlier deadline.
const applyTimeout = 5 * time.Second

// stepTimeout bounds each operation of an Apply, so that there is time to
// repeat it.
const stepTimeout = 2 * time.Second

// Apply makes yaml the successor of version base. It returns the version in
// force afterwards, as far as known, and whether that is the given manifest. A
// repeat with the same operation and base gets the result of the first. An
// error that is not marked ErrUnknown means that nothing was accepted.
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

// accepted puts the manifest in force here without waiting for a poll.
func (m *Manifests) activate(v id.ManifestVersion, yaml []byte, parsed *manifest.Manifest) {
	m.queueEffects(m.step(time.Now(), rollout.Fetched{Version: v, YAML: yaml}, parsed))
}

// applyRun carries out one Apply.
type applyExecutor struct {
	store   Store
	machine *rollout.Apply
}

func (x *applyExecutor) run(ctx context.Context) rollout.ApplyResult {
	var ev rollout.ApplyEvent = rollout.ApplyStarted{}
	for ev != nil {
		var next rollout.ApplyEvent
		for _, effect := range x.machine.Step(time.Now(), ev) {
			if applied, ok := effect.(rollout.ApplyFinished); ok {
				return applied.Result
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

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
