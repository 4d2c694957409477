// Package usage counts the requests that upstreams began, by workspace and window of time.
package usage

import "samphirehead/state/id"

// Window numbers spans of time of equal length, from the start of 1970.
type Window int64

// Counts holds the requests that began, by workspace.
type Counts map[id.Workspace]uint64

// Report is the usage of one window, over all instances.
type Report struct {
	Window Window
	Counts Counts
}
