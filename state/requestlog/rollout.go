package requestlog

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Rollout is how a version of the configuration came into force at one instance.
type Rollout struct {
	Version  uint64 `json:"version"`
	Instance string `json:"instance"`
	// First is when the first instance activated the version.
	First time.Time `json:"first"`
	// Lag is how long after First this instance activated it, or a newer one. If it did
	// not, Active is not set, and Lag is the time until the last line of its process.
	Lag    time.Duration `json:"lag"`
	Active bool          `json:"active"`
	// LastOlder is how long after First this instance last handled a request by an older version; 0
	// if it handled none.
	LastOlder time.Duration `json:"last_older"`
}

// lifetime is one process of an instance, with the lines that tell its versions.
type lifetime struct {
	instance           string
	started, ended     time.Time
	activated, handled []Event
}

// Rollouts returns how the versions came into force at all instances that ran when the first of
// them had one, those with the longest lag first. Times are those of the instances' clocks.
func Rollouts(events []Event) []Rollout {
	first := make(map[uint64]time.Time)
	for _, e := range events {
		if at, known := first[e.Version]; e.Message == "routes activated" && (!known || e.Time.Before(at)) {
			first[e.Version] = e.Time
		}
	}
	var all []Rollout
	for _, l := range lifetimes(events) {
		for version, at := range first {
			if r, ok := l.rollout(version, at); ok {
				all = append(all, r)
			}
		}
	}
	slices.SortFunc(all, func(a, b Rollout) int {
		return cmp.Or(cmp.Compare(b.Lag, a.Lag), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Version, b.Version))
	})
	return all
}

// lifetimes sorts the lines that tell versions by process. Lines before the first start belong to a
// process whose start is not in the log.
func lifetimes(events []Event) []*lifetime {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, byTime)
	current := make(map[string]*lifetime)
	var all []*lifetime
	for _, e := range sorted {
		l := current[e.Instance]
		if l == nil || e.Message == "started" {
			l = &lifetime{instance: e.Instance, started: e.Time}
			current[e.Instance] = l
			all = append(all, l)
		}
		l.ended = e.Time
		switch {
		case e.Message == "routes activated":
			l.activated = append(l.activated, e)
		case e.routedByVersion():
			l.handled = append(l.handled, e)
		}
	}
	return all
}

// routedByVersion reports whether the line was written when a request had just been routed, or
// refused, by a version.
func (e Event) routedByVersion() bool {
	refused := e.Message == "ended" && (e.Reason == "no_route" || e.Reason == "unknown_key")
	return e.Version > 0 && (e.Message == "received" || refused)
}

// rollout returns how a version came into force that the first instance activated at a time. ok is
// false if the process did not run or had no version then.
func (l *lifetime) rollout(version uint64, first time.Time) (r Rollout, ok bool) {
	r = Rollout{Version: version, Instance: l.instance, First: first, Lag: l.ended.Sub(first)}
	for _, e := range l.activated {
		ok = ok || e.Time.Before(first) || e.Version >= version
		if !r.Active && e.Version >= version {
			r.Lag, r.Active = max(e.Time.Sub(first), 0), true
		}
	}
	for _, e := range l.handled {
		if e.Version < version && e.Time.After(first) {
			r.LastOlder = e.Time.Sub(first)
		}
	}
	return r, ok && !l.started.After(first) && r.Lag >= 0
}

// WriteRollouts writes a row for each version, and one for each rollout that lagged by more than
// late.
func WriteRollouts(w io.Writer, rollouts []Rollout, late time.Duration) error {
	byVersion := make(map[uint64][]Rollout)
	for _, r := range rollouts {
		byVersion[r.Version] = append(byVersion[r.Version], r)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "version\tfirst active\tinstances\tmedian\tlast active\tat\tlast handled by an older one\t\n")
	for _, version := range slices.Sorted(maps.Keys(byVersion)) {
		// They are in the order of their lags.
		of := byVersion[version]
		older := slices.MaxFunc(of, func(a, b Rollout) int { return cmp.Compare(a.LastOlder, b.LastOlder) })
		fmt.Fprintf(table, "%d\t%s\t%d\t%s\t%s\t%s\t%s\t\n", version, of[0].First.Format(timeFormat), len(of),
			of[len(of)/2].lagText(), of[0].lagText(), of[0].Instance, older.LastOlder)
	}
	for _, r := range rollouts {
		if r.Lag > late {
			fmt.Fprintf(table, "%d\t%s\t\t\t%s\t%s\t%s\t\n", r.Version, r.First.Format(timeFormat), r.lagText(), r.Instance, r.LastOlder)
		}
	}
	return table.Flush()
}

// lagText returns the lag, with a mark if the version did not become active.
func (r Rollout) lagText() string {
	if !r.Active {
		return "never, after " + r.Lag.String()
	}
	return r.Lag.String()
}
