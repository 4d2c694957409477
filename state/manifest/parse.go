package manifest

import (
	"samphirehead/state/document"

	"go.yaml.in/yaml/v3"
)

// Fault is one thing wrong with a manifest.
type Fault = document.Fault

// Faults is the error that holds everything wrong with a manifest.
type Faults = document.Faults

// MaxSize bounds the size of a manifest in bytes.
const MaxSize = 32 << 20

// Parse decodes data and checks it as a whole. Its error is a *Faults. The
// name of the file serves for messages only.
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

// Marshal returns the manifest as YAML that Parse reads back.
func (m *Manifest) Marshal() ([]byte, error) { return yaml.Marshal(m) }
