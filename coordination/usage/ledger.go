package usage

import (
	"maps"
	"slices"

	"samphirehead/state/id"
)

const (
	// MaxWindows bounds the windows that are kept until their report is settled.
	MaxWindows = 16
	// maxWorkspaces bounds the workspaces of a window of a process, and maxProcesses the
	// processes.
	maxWorkspaces = 4096
	maxProcesses  = 8192
	// maxAhead is how many windows another process may be ahead, as clocks differ.
	maxAhead = 1
)

// Process is one run of an instance.
type Process struct {
	Instance    id.Instance
	Incarnation id.Incarnation
}

// ProcessCounts holds the counts of a process so far, by window. It has an entry for the
// current window also if nothing was counted.
type ProcessCounts struct {
	Process
	Windows map[Window]Counts
}

// Ledger holds the counts of this process and of others for the windows that are not
// settled. Merging the same counts again, or older ones, changes nothing. Set Self before the
// first call. It is not safe for concurrent use.
type Ledger struct {
	Self Process

	processes map[Process]map[Window]Counts
	settled   Window
	// dropped counts what bounds have kept out.
	dropped uint64
}

// Enter notes that this process is in a window.
func (l *Ledger) Enter(w Window) { l.window(l.Self, w) }

// Count counts a request that began in a window at this process.
func (l *Ledger) Count(w Window, workspace id.Workspace) {
	l.raise(l.window(l.Self, w), workspace, 1)
}

// Merge adds the counts of another process. current is the window of now: counts of later
// ones are of a clock that is wrong.
func (l *Ledger) Merge(counts ProcessCounts, current Window) {
	if counts.Process == l.Self {
		return
	}
	for w, byWorkspace := range counts.Windows {
		if w <= l.settled || w > current+maxAhead || w <= current-MaxWindows {
			continue
		}
		own := l.window(counts.Process, w)
		for workspace, n := range byWorkspace {
			if n > own[workspace] {
				l.raise(own, workspace, n-own[workspace])
			}
		}
	}
}

func (l *Ledger) raise(counts Counts, workspace id.Workspace, by uint64) {
	if _, known := counts[workspace]; counts == nil || !known && len(counts) >= maxWorkspaces {
		l.dropped += by
		return
	}
	counts[workspace] += by
}

// window returns the counts of a process for a window, which may be changed; nil if there
// are too many processes or the window is settled.
func (l *Ledger) window(p Process, w Window) Counts {
	if w <= l.settled {
		return nil
	}
	if l.processes == nil {
		l.processes = make(map[Process]map[Window]Counts)
	}
	windows, known := l.processes[p]
	if !known {
		if len(l.processes) >= maxProcesses {
			return nil
		}
		windows = make(map[Window]Counts)
		l.processes[p] = windows
	}
	if windows[w] == nil {
		windows[w] = make(Counts)
	}
	if len(windows) > MaxWindows {
		delete(windows, slices.Min(slices.Collect(maps.Keys(windows))))
	}
	return windows[w]
}

// Settle drops the counts of a window and of earlier ones.
func (l *Ledger) Settle(w Window) {
	l.settled = max(l.settled, w)
	for p, windows := range l.processes {
		maps.DeleteFunc(windows, func(w Window, _ Counts) bool { return w <= l.settled })
		if len(windows) == 0 {
			delete(l.processes, p)
		}
	}
}

// Settled returns the last window that is settled.
func (l *Ledger) Settled() Window { return l.settled }

// Dropped returns how many requests were not counted because of bounds.
func (l *Ledger) Dropped() uint64 { return l.dropped }

// Oldest returns the oldest window that is not settled.
func (l *Ledger) Oldest() (Window, bool) {
	oldest, found := Window(0), false
	for _, windows := range l.processes {
		for w := range windows {
			if !found || w < oldest {
				oldest, found = w, true
			}
		}
	}
	return oldest, found
}

// Total returns the counts of a window over all processes.
func (l *Ledger) Total(w Window) Counts {
	total := make(Counts)
	for _, windows := range l.processes {
		for workspace, n := range windows[w] {
			total[workspace] += n
		}
	}
	return total
}

// Complete reports whether each of some instances has counted past a window.
func (l *Ledger) Complete(w Window, instances []id.Instance) bool {
	past := make(map[id.Instance]bool)
	for p, windows := range l.processes {
		for later := range windows {
			past[p.Instance] = past[p.Instance] || later > w
		}
	}
	return !slices.ContainsFunc(instances, func(i id.Instance) bool { return !past[i] })
}

// Counts returns copies of the counts of some processes.
func (l *Ledger) Counts(include func(Process) bool) []ProcessCounts {
	var out []ProcessCounts
	for p, windows := range l.processes {
		if !include(p) {
			continue
		}
		copied := make(map[Window]Counts, len(windows))
		for w, counts := range windows {
			copied[w] = maps.Clone(counts)
		}
		out = append(out, ProcessCounts{p, copied})
	}
	return out
}
