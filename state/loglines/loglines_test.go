package loglines_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"samphirehead/state/loglines"
)

// stuck is a reader that stops reading until it is released.
type stuck struct {
	released chan struct{}

	mu  sync.Mutex
	got bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *stuck) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	to := &stuck{released: make(chan struct{})}
	close(to.released)
	w := &loglines.Writer{To: to}
	want := ""
	for i := range 100 {
		line := fmt.Sprintln(i)
		want += line
		if n, err := w.Write([]byte(line)); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	for !strings.HasSuffix(to.text(), "99\n") {
		w.Flush()
	}
	if to.text() != want {
		t.Errorf("wrote %q", to.text())
	}
}

// A reader that stops costs lines, not time: no write waits for it.
func TestStoppedReaderDelaysNothing(t *testing.T) {
	to := &stuck{released: make(chan struct{})}
	defer close(to.released)
	w := &loglines.Writer{To: to}
	for range 20_000 {
		_, _ = w.Write([]byte("line\n"))
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped, though none could be written")
	}
}
