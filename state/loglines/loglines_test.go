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

// Lines are written whole, and never more at once than a pipe takes untorn.
func TestWritesAreOfWholeLines(t *testing.T) {
	const pipeTakes = 4096
	to := &sizes{}
	w := &loglines.Writer{To: to}
	line := strings.Repeat("x", 270) + "\n"
	for range 500 {
		_, _ = w.Write([]byte(line))
	}
	for to.total() < 500*len(line) {
		w.Flush()
	}
	for _, n := range to.all {
		if n > pipeTakes || n%len(line) != 0 {
			t.Errorf("wrote %d bytes at once, of lines of %d", n, len(line))
		}
	}
}

// sizes keeps the lengths of what is written.
type sizes struct {
	mu  sync.Mutex
	all []int
}

func (s *sizes) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, len(p))
	return len(p), nil
}

func (s *sizes) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, n := range s.all {
		sum += n
	}
	return sum
}

// A reader that stops costs lines, not time: no write waits for it.
func TestStoppedReaderDelaysNothing(t *testing.T) {
	to := &stuck{released: make(chan struct{})}
	defer close(to.released)
	w := &loglines.Writer{To: to}
	for i := range 20_000 {
		// Of so many classes none is over its quota: the queue is what is full.
		_, _ = fmt.Fprintf(w, `{"msg":"class %d"}`+"\n", i%60)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped, though none could be written")
	}
}

// A class of many lines is bounded, and takes no room from the others.
func TestQuotaOfOneClass(t *testing.T) {
	var q loglines.Quota
	now := time.Unix(1000, 0)
	written := 0
	for range 5000 {
		if q.Take(now, "sent") {
			written++
		}
	}
	if written == 0 || written > 2000 {
		t.Errorf("%d lines of one class in one second", written)
	}
	if !q.Take(now, "stopped") {
		t.Error("a line of another class was dropped")
	}
	if !q.Take(now.Add(time.Second), "sent") {
		t.Error("no line in the next second")
	}
	if dropped := q.Dropped(); len(dropped) != 1 || dropped["sent"] != int64(5000-written) {
		t.Errorf("dropped %v, want %d of sent", dropped, 5000-written)
	}
	if dropped := q.Dropped(); len(dropped) != 0 {
		t.Errorf("reported twice: %v", dropped)
	}
}

// Dropped lines are reported by class once lines are written again.
func TestDroppedLinesAreReported(t *testing.T) {
	to := &stuck{released: make(chan struct{})}
	close(to.released)
	reported := make(chan string, 10)
	w := &loglines.Writer{To: to, Report: func(class string, lines int64) { reported <- fmt.Sprint(class, lines > 0) }}
	for w.Dropped() == 0 {
		_, _ = w.Write([]byte(`{"time":"now","msg":"sent","err":"\"msg\":\"x\""}` + "\n"))
	}
	if got := <-reported; got != "senttrue" {
		t.Errorf("reported %q", got)
	}
}
