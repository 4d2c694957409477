// Package config embeds the sample manifests, so that a binary can apply them
// without the files.
package config

import _ "embed"

//go:embed trust.yaml
var trust string

//go:embed mosalaus.yaml
var mosalaus string

// Trust returns the manifest of the Otaru Silent Stage Trust as YAML. The
// bearer key of its workspace W is "sample-trust-W".
func Trust() []byte { return []byte(trust) }

// Mosalaus returns the manifest of Mosalaus Bókanir as YAML. The bearer key of
// its workspace W is "sample-mosalaus-W".
func Mosalaus() []byte { return []byte(mosalaus) }
