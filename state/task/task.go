// Package task runs the parts of a process together.
package task

import (
	"context"

	"github.com/cockroachdb/errors"

	"samphirehead/state/fault"
)

// Task is a part that runs until its context ends.
type Task struct {
	Name string
	Run  func(context.Context) error
}

// Run runs the tasks until ctx ends or one of them returns, which ends the
// others. It returns after all have ended, with their errors.
func Run(ctx context.Context, tasks []Task) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, len(tasks))
	for _, t := range tasks {
		go func() { ended <- fault.Wrap("run "+t.Name, "", t.Run(ctx)) }()
	}
	var errs error
	for range tasks {
		errs = errors.CombineErrors(errs, <-ended)
		cancel()
	}
	return errs
}
