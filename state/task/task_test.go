package task_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"samphirehead/state/task"
)

func TestEndOfOneEndsAll(t *testing.T) {
	broken := errors.New("broken")
	waited := false
	err := task.Run(t.Context(), []task.Task{
		{Name: "waits", Run: func(ctx context.Context) error {
			<-ctx.Done()
			waited = true
			return nil
		}},
		{Name: "fails", Run: func(context.Context) error { return broken }},
	})
	if !waited || !errors.Is(err, broken) || !strings.Contains(err.Error(), "run fails") {
		t.Errorf("waited %t, error %v", waited, err)
	}
}
