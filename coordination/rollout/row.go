// Package rollout decides how manifest versions are accepted and how they
// spread to every instance.
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

// CurrentKey is the row that names the version in force.
const CurrentKey record.Key = "manifest/current"

// HistoryPrefix starts the key of the row that each accepted version leaves.
const HistoryPrefix record.Key = "manifest/history/"

// HistoryKey returns the key of the row of v. The keys sort by version.
func HistoryKey(v id.ManifestVersion) record.Key {
	return HistoryPrefix + record.Key(fmt.Sprintf("%020d", v))
}

// Row is the value of the current row and of the rows of the history.
type Row struct {
	Version   id.ManifestVersion `json:"version"`
	Operation id.Attempt         `json:"operation"`
	Author    id.Instance        `json:"author_instance"`
	// AppliedUnixMS is the author's wall clock.
	AppliedUnixMS int64 `json:"applied_unix_ms"`
	// Object names the manifest in the object store. It contains the digest
	// of the manifest.
	Object string `json:"yaml_object"`
}

// AppliedAt returns the time of the author's wall clock.
func (r Row) AppliedAt() time.Time { return time.UnixMilli(r.AppliedUnixMS) }

// DecodeRow decodes the value of a row; an absent row gives version 0.
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
