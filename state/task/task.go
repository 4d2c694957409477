// Package task runs the long-running parts of a process and stops them together.
package task

import (
	"context"

	"github.com/cockroachdb/errors"

	"samphirehead/state/fault"
)

// Task is a part of a process; Run runs it until the context is cancelled.
type Task struct {
	Name string
	Run  func(context.Context) error
}

// Run runs the tasks concurrently. When ctx is cancelled or one task returns, it
// cancels the others. It returns the errors of all tasks after all have returned.
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
