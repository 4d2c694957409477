package claim

import (
	"time"

	"samphirehead/state/record"
)

// Retention is how long a claim is kept after its last change. After that, a
// call with the same key may run again.
const Retention = 24 * time.Hour

// Expired returns writes that delete the rows whose last change is at least
// Retention before now. Each write is conditional on the version in rows. Rows
// that can't be decoded are kept.
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
