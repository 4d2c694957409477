// Package rollout decides which manifest is accepted as the next version, and
// how each instance obtains the versions that were accepted.
package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/state/id"
	"samphirehead/state/record"
)

// CurrentKey is the key of the row that holds the latest accepted version.
const CurrentKey record.Key = "manifest/current"

// HistoryPrefix starts the key of the history row of each accepted version.
const HistoryPrefix record.Key = "manifest/history/"

// HistoryKey returns the key of the history row of v. Keys sort by version.
func HistoryKey(v id.ManifestVersion) record.Key {
	return HistoryPrefix + record.Key(fmt.Sprintf("%020d", v))
}

// Row is the value of the current row and of the history rows.
type Row struct {
	Version   id.ManifestVersion `json:"version"`
	Operation id.Attempt         `json:"operation"`
	Author    id.Instance        `json:"author_instance"`
	// AppliedUnixMS is when the author wrote the row, by its wall clock, in
	// milliseconds.
	AppliedUnixMS int64 `json:"applied_unix_ms"`
	// Object is the name of the manifest in the object store. It contains
	// the digest of the manifest.
	Object string `json:"yaml_object"`
}

// AppliedAt returns the time of the write by the author's wall clock.
func (r Row) AppliedAt() time.Time { return time.UnixMilli(r.AppliedUnixMS) }

// DecodeRow decodes the value of a row. An absent row has version 0.
func DecodeRow(r record.Row) (Row, error) {
	if r.Version == 0 {
		return Row{}, nil
	}
	var row Row
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return Row{}, errors.Wrapf(err, "decode manifest row %s", r.Key)
	}
	return row, nil
}

func (r Row) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode manifest row")) // all fields can be encoded
	}
	return value
}

func objectName(v id.ManifestVersion, operation id.Attempt, yaml []byte) string {
	digest := sha256.Sum256(yaml)
	return fmt.Sprintf("manifest/%d/%s/%s", v, operation, hex.EncodeToString(digest[:]))
}
