package router

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/heartbeat"
)

const (
	// announceInterval is the interval at which the addresses of announced
	// instances are read. After a failure the next try follows after
	// announceRetry.
	announceInterval = 30 * time.Second
	announceRetry    = time.Second
	// restoreSpread is the longest time until an instance publishes again after the
	// platform was restored, so that one finds what others have stored already.
	restoreSpread = 2 * time.Second
	// An instance that starts reads earlyReads times more after earlyInterval each: just after the
	// platform was restored, others have not yet stored again what the copy lacks.
	earlyReads    = 2
	earlyInterval = restoreSpread + 500*time.Millisecond
)

// announce publishes this instance for peers that start later, and reads the
// announcements of others, until the drain starts or ctx ends.
//
// After the platform was restored from a copy, all of this may be lost: it is published
// again, and quarantines that are missing are stored.
func (r *Router) announce(ctx context.Context) error {
	announced, restored := false, false
	for reads := 0; ; {
		if !announced {
			err := r.Platform.Announce(ctx, r.Settings.Instance, r.Addr(Peers))
			announced = err == nil
			if err != nil {
				klog.V(1).InfoS("instance not announced", "err", err)
			}
		}
		addresses, quarantines, err := r.Platform.Shared(ctx)
		if err != nil {
			klog.V(1).InfoS("announcements not read", "err", err)
		} else {
			r.stepMembership(heartbeat.SeedsAdded{Addresses: addresses})
			r.countAnnounced(len(addresses))
			r.applyStored(ctx, quarantines)
			reads++
			if restored {
				r.storeMissing(quarantines)
				restored = false
			}
		}
		wait := announceRetry
		if err == nil && announced {
			wait = nextRead(reads)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.drain.requested:
			r.withdraw(ctx)
			<-ctx.Done()
			return nil
		case <-r.platformRestored:
			announced, restored = false, true
			sleep(ctx, rand.N(restoreSpread))
		case <-time.After(wait):
		}
	}
}

// nextRead returns the interval from one read of the announcements to the next, after this number of
// reads.
func nextRead(reads int) time.Duration {
	if reads <= earlyReads {
		return earlyInterval
	}
	return announceInterval
}

// countAnnounced passes the number of announced instances to the retry budgets, as some of
// them may be cut off from this one.
func (r *Router) countAnnounced(instances int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudgets.ObserveInstances(time.Now(), instances)
}

// withdraw removes the announcement. If that fails nothing is retried, as peers
// drop an address at which no instance answers.
func (r *Router) withdraw(ctx context.Context) {
	if err := r.Platform.Withdraw(ctx, r.Settings.Instance); err != nil {
		klog.V(1).InfoS("announcement not withdrawn", "err", err)
	}
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
