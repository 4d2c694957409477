package manifest

import (
	"samphirehead/state/document"

	"go.yaml.in/yaml/v3"
)

// Fault is one validation error in a manifest.
type Fault = document.Fault

// Faults is an error that lists all validation errors in a manifest.
type Faults = document.Faults

// MaxSize is the largest size of a manifest that Parse accepts, in bytes.
const MaxSize = 32 << 20

// Parse decodes and validates a manifest in YAML. Its error is a *Faults that
// lists everything that is wrong; name is the file name in its messages.
func Parse(name string, data []byte) (*Manifest, error) {
	if len(data) > MaxSize {
		return nil, &Faults{Name: name, List: []Fault{{Line: 1, Message: "the manifest is larger than 32 MiB"}}}
	}
	m := &Manifest{}
	d, err := document.Decode(name, data, m)
	if err != nil {
		return nil, err
	}
	c := checker{document: d, manifest: m}
	c.check()
	if err := d.Err(); err != nil {
		return nil, err
	}
	return m, nil
}

// Marshal encodes the manifest as YAML; Parse decodes it to an equal manifest.
func (m *Manifest) Marshal() ([]byte, error) { return yaml.Marshal(m) }
