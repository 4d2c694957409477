package admission_test

import (
	"fmt"
	"testing"
	"time"

	"samphirehead/coordination/admission"
	"samphirehead/coordination/quarantine"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// countingUpstreams only counts free slots, so that the queue alone is measured.
type countingUpstreams struct{ free, total int }

func (u *countingUpstreams) Place(time.Time, admission.Request, id.Tokens, func(id.Upstream) bool) (id.Upstream, admission.Placement) {
	if u.free == 0 {
		return "", admission.Busy
	}
	u.free--
	return "e0", admission.Placed
}

func (u *countingUpstreams) FreeSlots(time.Time, id.Pool) (free, total int) { return u.free, u.total }
func (*countingUpstreams) Overlapping(p id.Pool) []id.Pool                  { return []id.Pool{p} }
func (*countingUpstreams) Preemptible(id.Pool, id.Upstream) bool            { return false }
func (*countingUpstreams) PrefillTime(id.Pool, id.Tokens) time.Duration     { return 0 }

// BenchmarkArrivalAndRelease measures one arrival and one release, which grants the
// next request, at a loaded queue with different numbers of workspaces.
func BenchmarkArrivalAndRelease(b *testing.B) {
	for _, workspaces := range []int{10, 1000, 37000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			upstreams := &countingUpstreams{free: 80, total: 80}
			q := admission.Queue{Upstreams: upstreams, Quarantine: &quarantine.Tracker{}}
			quick, dossier := class("quick", 1, 0), class("dossier", 2, 0.1)
			quick.QueueBound, dossier.QueueBound = 1<<20, 1<<20
			now := start
			q.Step(now, admission.Configured{Classes: []manifest.Class{quick, dossier}})
			next := 0
			var running []admission.Ticket
			arrive := func() {
				r := request(next, []id.Class{"quick", "dossier"}[next%2], id.Workspace(fmt.Sprintf("w%d", next%workspaces)))
				r.Fingerprint = id.Fingerprint(next + 1)
				next++
				for _, g := range granted(q.Step(now, admission.Arrived{Request: r})) {
					running = append(running, g.Ticket)
				}
			}
			for range workspaces + 80 {
				arrive()
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				arrive()
				oldest := running[0]
				running = running[1:]
				upstreams.free++
				for _, g := range granted(q.Step(now, released(oldest, 100))) {
					running = append(running, g.Ticket)
				}
			}
		})
	}
}
