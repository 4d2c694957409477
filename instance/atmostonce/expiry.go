package atmostonce

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/claim"
	"samphirehead/state/record"
)

const (
	// expiryPage is the most rows of one read and deletions of one write.
	expiryPageSize = 50
	// expiryPace bounds the expiry to a fraction of the platform's rates.
	expiryPageInterval = 500 * time.Millisecond
	// expiryRest is the time between two passes over all claims.
	expiryPassInterval = 10 * time.Minute
)

// ExpiryTable is what the expiry needs of the platform's table service.
type ExpiryTable interface {
	Table
	Scan(ctx context.Context, prefix, after record.Key, limit int) ([]record.Row, error)
}

// Expire deletes claims whose retention has passed, page by page, until ctx
// ends. One instance at a time is enough; more do no harm.
func Expire(ctx context.Context, table ExpiryTable) {
	timer := time.NewTimer(expiryPageInterval)
	defer timer.Stop()
	after := record.Key("")
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			after = expirePage(ctx, table, after)
			if after == "" {
				timer.Reset(expiryPassInterval)
			} else {
				timer.Reset(expiryPageInterval)
			}
		}
	}
}

// expirePage returns the key after which the next page starts; empty after the
// last page.
func expirePage(ctx context.Context, table ExpiryTable, after record.Key) record.Key {
	rows, err := table.Scan(ctx, claim.Prefix, after, expiryPageSize)
	if err != nil {
		klog.V(1).InfoS("claims not read for expiry", "err", err)
		return after
	}
	if writes := claim.Expired(time.Now(), rows); len(writes) > 0 {
		result := table.Write(ctx, writes)
		klog.V(1).InfoS("claims expired", "rows", len(writes), "result", result)
	}
	if len(rows) < expiryPageSize {
		return ""
	}
	return rows[len(rows)-1].Key
}
