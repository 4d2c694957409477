package router

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/quarantine"
	"samphirehead/state/id"
)

// maxDropDelay is the longest time after the end of a quarantine until it is dropped
// from the store.
const maxDropDelay = 10 * time.Minute

// storeChange is a quarantine to store, or to drop from the store.
type storeChange struct {
	quarantine.Stored
	drop bool
}

// storeQuarantines stores the quarantines that start here until ctx ends.
func (r *Router) storeQuarantines(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case change := <-r.quarantines.unstored:
			r.storeUntilTaken(ctx, change)
		}
	}
}

// storeUntilTaken tries to make a change until the platform has taken it or ctx ends.
func (r *Router) storeUntilTaken(ctx context.Context, change storeChange) {
	apply := r.Platform.StoreQuarantine
	if change.drop {
		apply = r.Platform.DropQuarantine
	}
	for ctx.Err() == nil {
		err := apply(ctx, change.Stored)
		if err == nil {
			return
		}
		klog.InfoS("quarantine not stored", "kind", change.Kind, "fingerprint", change.Fingerprint, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(announceRetry):
		}
	}
}

// applyStored applies the stored quarantines, and drops those that ended long ago.
func (r *Router) applyStored(ctx context.Context, stored []quarantine.Stored) {
	for _, q := range stored {
		if r.startStored(q) {
			continue
		}
		if err := r.Platform.DropQuarantine(ctx, q); err != nil {
			klog.V(1).InfoS("quarantine not dropped", "kind", q.Kind, "fingerprint", q.Fingerprint, "err", err)
		}
	}
}

// storeMissing has the quarantines stored that are known here and not among the stored
// ones.
func (r *Router) storeMissing(stored []quarantine.Stored) {
	type key struct {
		quarantine.Kind
		id.Fingerprint
	}
	known := make(map[key]bool, len(stored))
	for _, q := range stored {
		known[key{q.Kind, q.Fingerprint}] = true
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, kind := range []quarantine.Kind{quarantine.Request, quarantine.Part} {
		for _, q := range r.quarantines.tracker(kind).Quarantines(now) {
			if !known[key{kind, q.Fingerprint}] {
				r.quarantines.store(storeChange{Stored: quarantine.Stored{Kind: kind, Quarantine: q}})
			}
		}
	}
}

// startStored starts a stored quarantine here unless it has ended. It returns false if
// this instance is to drop it from the store. As the instances read at the same time,
// each waits for a random time.
func (r *Router) startStored(q quarantine.Stored) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	tracker := r.quarantines.tracker(q.Kind)
	if tracker == nil {
		return true
	}
	if tracker.Expired(now.Add(-rand.N(maxDropDelay)), q.Quarantine) {
		return false
	}
	effects := tracker.Step(now, quarantine.QuarantinesReceived{Quarantines: []quarantine.Quarantine{q.Quarantine}})
	r.quarantines.handleReceived(now, q.Kind, "store", effects)
	return true
}
