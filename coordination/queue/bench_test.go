package queue_test

import (
	"fmt"
	"testing"
	"time"

	"samphirehead/coordination/queue"
	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// BenchmarkTurn measures one turn of a loaded home: an arrival, a grant, a
// progress and a release, by the numbers of holders and workspaces.
func BenchmarkTurn(b *testing.B) {
	for _, holders := range []int{4, 64, 2800} {
		for _, workspaces := range []int{10, 1000, 37000} {
			b.Run(fmt.Sprintf("holders=%d/workspaces=%d", holders, workspaces), func(b *testing.B) {
				benchmarkTurn(b, holders, workspaces)
			})
		}
	}
}

func benchmarkTurn(b *testing.B, holders, workspaces int) {
	q := queue.Queue{Suspects: &suspect.Tracker{}}
	quick, dossier := class("quick", 1, 0), class("dossier", 2, 0.1)
	quick.QueueBound, dossier.QueueBound = 1<<20, 1<<20
	var upstreams []queue.Upstream
	for i := range 5 {
		upstreams = append(upstreams, engine(id.Upstream(fmt.Sprintf("e%d", i)), 16))
	}
	now := start
	q.Step(now, configured([]manifest.Class{quick, dossier}, upstreams...))
	names := make([]id.Workspace, workspaces)
	for i := range names {
		names[i] = id.Workspace(fmt.Sprintf("w%d", i))
	}
	next := 0
	var running []id.Reservation
	arrive := func() {
		a := request(next, []id.Class{"quick", "dossier"}[next%2], names[next%workspaces])
		a.Holder = id.Instance(fmt.Sprintf("i%d", next%holders))
		a.MustNotPreempt = true
		a.Fingerprint = id.Fingerprint(next + 1)
		next++
		for _, g := range granted(q.Step(now, a)) {
			running = append(running, g.Reservation)
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
		q.Step(now, queue.Progressed{Reservation: oldest, Tokens: 50})
		for _, g := range granted(q.Step(now, released(oldest, 100))) {
			running = append(running, g.Reservation)
		}
	}
}

// BenchmarkTurnUpstreams measures the same turn by the number of upstreams that
// are homed at one instance.
func BenchmarkTurnUpstreams(b *testing.B) {
	for _, n := range []int{5, 20, 100} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			q := queue.Queue{}
			var upstreams []queue.Upstream
			for i := range n {
				upstreams = append(upstreams, engine(id.Upstream(fmt.Sprintf("e%d", i)), 16))
			}
			now := start
			q.Step(now, configured([]manifest.Class{class("quick", 1, 0)}, upstreams...))
			var running []id.Reservation
			for i := range 16*n + 100 {
				for _, g := range granted(q.Step(now, request(i, "quick", "w"))) {
					running = append(running, g.Reservation)
				}
			}
			b.ReportAllocs()
			for i := 16*n + 100; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				q.Step(now, request(i, "quick", "w"))
				oldest := running[0]
				running = running[1:]
				for _, g := range granted(q.Step(now, released(oldest, 100))) {
					running = append(running, g.Reservation)
				}
			}
		})
	}
}

// BenchmarkProgress measures the renewal of one running reservation.
func BenchmarkProgress(b *testing.B) {
	q := queue.Queue{}
	q.Step(start, configured([]manifest.Class{class("quick", 1, 0)}, engine("e0", 64)))
	for i := range 64 {
		q.Step(start, request(i, "quick", "w"))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Millisecond)
		name := id.Reservation(fmt.Sprintf("r%d", i%64))
		q.Step(now, queue.Progressed{Reservation: name, Tokens: id.Tokens(i / 64)})
	}
}
