package reserve

import (
	"context"

	"k8s.io/klog/v2"

	"samphirehead/state/id"
)

// work is what is done at a home at most once at a time.
type work string

const (
	workRenew   work = "renew"
	workMove    work = "move"
	workRelease work = "release"
)

// task is one kind of work at one home.
type task struct {
	work work
	home id.Instance
}

// finished reports the end of a task.
type finished struct {
	task task
	err  error
}

// sender runs the calls to homes, each task at most once at a time. It belongs
// to the goroutine of Run.
type sender struct {
	client *Client
	done   chan finished
	busy   map[task]bool
}

// start runs a call unless one like it is under way.
func (s *sender) start(t task, call func() error) {
	if s.busy[t] {
		return
	}
	s.busy[t] = true
	go func() { s.done <- finished{t, call()} }()
}

// end notes the end of a task, and sends what was released in the meantime.
func (s *sender) end(ctx context.Context, f finished) {
	delete(s.busy, f.task)
	if f.err != nil && ctx.Err() == nil {
		s.client.Failed(f.task.home)
		klog.V(1).InfoS("home did not answer", "work", f.task.work, "home", f.task.home, "err", f.err)
	}
	if f.task.work == workRelease {
		s.releaseAll(ctx)
	}
}

func (s *sender) wait() {
	for range len(s.busy) {
		f := <-s.done
		delete(s.busy, f.task)
	}
}

// moveAll tells new homes of the work that runs at their upstreams.
func (s *sender) moveAll(ctx context.Context) {
	moved, _ := s.client.sortHoldings()
	s.move(ctx, moved)
}

func (s *sender) move(ctx context.Context, moved map[id.Instance][]holding) {
	for home, holdings := range moved {
		s.start(task{workMove, home}, func() error { return s.client.registerAll(ctx, holdings) })
	}
}

// renewAll moves the grants whose upstream has a new home, and renews the rest.
func (s *sender) renewAll(ctx context.Context) {
	moved, byHome := s.client.sortHoldings()
	s.move(ctx, moved)
	for home, holdings := range byHome {
		s.start(task{workRenew, home}, func() error { return s.client.renew(ctx, home, holdings) })
	}
}

func (s *sender) releaseAll(ctx context.Context) {
	for _, home := range s.client.releasing() {
		s.start(task{workRelease, home}, func() error { return s.client.sendReleases(ctx, home) })
	}
}
