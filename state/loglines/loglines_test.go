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

// blockedWriter blocks all writes until released is closed.
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

// A line split between two writes, or a write of more than PIPE_BUF bytes, could
// be interleaved with the output of other writers to the same pipe.
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
			t.Errorf("one write has %d bytes, want whole lines of %d bytes and at most 4096", n, len(line))
		}
	}
}

// sizeRecorder records the size of each write.
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

// If the reader of the log stops reading, lines are dropped and no Write blocks.
func TestWriteNeverBlocks(t *testing.T) {
	output := &blockedWriter{released: make(chan struct{})}
	defer close(output.released)
	w := &loglines.Writer{Output: output}
	for i := range 20_000 {
		// With 60 messages none exceeds its quota, so lines are only dropped
		// because the queue is full.
		_, _ = fmt.Fprintf(w, `{"msg":"message %d"}`+"\n", i%60)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped while the output was blocked")
	}
}

// The lines of a frequent message are limited and do not displace others.
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
		t.Errorf("%d lines of one message were allowed in one second", written)
	}
	if !q.Allow(now, "stopped") {
		t.Error("a line of another message was dropped")
	}
	if !q.Allow(now.Add(time.Second), "sent") {
		t.Error("no line was allowed in the next second")
	}
	if dropped := q.ResetDropped(); len(dropped) != 1 || dropped["sent"] != int64(5000-written) {
		t.Errorf("dropped lines are %v, want %d of sent", dropped, 5000-written)
	}
	if dropped := q.ResetDropped(); len(dropped) != 0 {
		t.Errorf("dropped lines are returned twice: %v", dropped)
	}
}

// Dropped lines are reported by message, while the writer runs. Text in err that
// looks like a msg must not be taken for the message of the line.
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
