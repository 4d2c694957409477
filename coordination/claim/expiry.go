package claim

import (
	"time"

	"samphirehead/state/record"
)

// Retention is how long a claim is kept after its last change. A key may run
// again after that.
const Retention = 24 * time.Hour

// Expired returns the deletions of the rows whose retention has passed at now.
// Each holds only if the row does not change before it. Rows that cannot be
// decoded are kept.
func Expired(now time.Time, rows []record.Row) []record.Write {
	var out []record.Write
	for _, r := range rows {
		row, err := DecodeRow(r)
		if err != nil || now.Sub(row.Changed()) < Retention {
			continue
		}
		out = append(out, record.Write{Key: r.Key, Expected: r.Version, Delete: true})
	}
	return out
}
