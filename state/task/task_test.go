package task_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"samphirehead/state/task"
)

func TestRunCancelsOthersWhenOneEnds(t *testing.T) {
	errBroken := errors.New("broken")
	cancelled := false
	err := task.Run(t.Context(), []task.Task{
		{Name: "waits", Run: func(ctx context.Context) error {
			<-ctx.Done()
			cancelled = true
			return nil
		}},
		{Name: "fails", Run: func(context.Context) error { return errBroken }},
	})
	if !cancelled || !errors.Is(err, errBroken) || !strings.Contains(err.Error(), "run fails") {
		t.Errorf("waited %t, error %v", cancelled, err)
	}
}
