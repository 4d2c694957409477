package loglines_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"samphirehead/state/loglines"
)

// stuck is a reader that stops reading until it is released.
type blockedWriter struct {
	released chan struct{}

	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.released
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

func (b *blockedWriter) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.String()
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	output := &blockedWriter{released: make(chan struct{})}
	close(output.released)
	w := &loglines.Writer{Output: output}
	want := ""
	for i := range 100 {
		line := fmt.Sprintln(i)
		want += line
		if n, err := w.Write([]byte(line)); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	for !strings.HasSuffix(output.text(), "99\n") {
		w.Flush()
	}
	if output.text() != want {
		t.Errorf("wrote %q", output.text())
	}
}

// Lines are written whole, and never more at once than a pipe takes untorn.
func TestLinesAreWrittenWhole(t *testing.T) {
	const pipeBufBytes = 4096
	output := &sizeRecorder{}
	w := &loglines.Writer{Output: output}
	line := strings.Repeat("x", 270) + "\n"
	for range 500 {
		_, _ = w.Write([]byte(line))
	}
	for output.total() < 500*len(line) {
		w.Flush()
	}
	for _, n := range output.sizes {
		if n > pipeBufBytes || n%len(line) != 0 {
			t.Errorf("wrote %d bytes at once, of lines of %d", n, len(line))
		}
	}
}

// sizes keeps the lengths of what is written.
type sizeRecorder struct {
	mu    sync.Mutex
	sizes []int
}

func (s *sizeRecorder) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes = append(s.sizes, len(p))
	return len(p), nil
}

func (s *sizeRecorder) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, n := range s.sizes {
		sum += n
	}
	return sum
}

// A reader that stops costs lines, not time: no write waits for it.
func TestWriteNeverBlocks(t *testing.T) {
	output := &blockedWriter{released: make(chan struct{})}
	defer close(output.released)
	w := &loglines.Writer{Output: output}
	for i := range 20_000 {
		// Of so many classes none is over its quota: the queue is what is full.
		_, _ = fmt.Fprintf(w, `{"msg":"class %d"}`+"\n", i%60)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped, though none could be written")
	}
}

// A class of many lines is bounded, and takes no room from the others.
func TestQuotaPerMessage(t *testing.T) {
	var q loglines.Quota
	now := time.Unix(1000, 0)
	written := 0
	for range 5000 {
		if q.Allow(now, "sent") {
			written++
		}
	}
	if written == 0 || written > 2000 {
		t.Errorf("%d lines of one class in one second", written)
	}
	if !q.Allow(now, "stopped") {
		t.Error("a line of another class was dropped")
	}
	if !q.Allow(now.Add(time.Second), "sent") {
		t.Error("no line in the next second")
	}
	if dropped := q.ResetDropped(); len(dropped) != 1 || dropped["sent"] != int64(5000-written) {
		t.Errorf("dropped %v, want %d of sent", dropped, 5000-written)
	}
	if dropped := q.ResetDropped(); len(dropped) != 0 {
		t.Errorf("reported twice: %v", dropped)
	}
}

// Dropped lines are reported by class once lines are written again.
func TestDroppedLinesAreReported(t *testing.T) {
	output := &blockedWriter{released: make(chan struct{})}
	close(output.released)
	reported := make(chan string, 10)
	w := &loglines.Writer{Output: output, Report: func(message string, lines int64) { reported <- fmt.Sprint(message, lines > 0) }}
	for w.Dropped() == 0 {
		_, _ = w.Write([]byte(`{"time":"now","msg":"sent","err":"\"msg\":\"x\""}` + "\n"))
	}
	if got := <-reported; got != "senttrue" {
		t.Errorf("reported %q", got)
	}
}
