// Package loglines writes log lines in the background, so that a log reader that
// stops reading causes lines to be dropped but does not block the program.
package loglines

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLength is the number of lines that can wait to be written.
	queueLength = 4096
	// maxBatchBytes bounds one write, which consists of whole lines. It is
	// PIPE_BUF of Linux: POSIX guarantees that writes to a pipe of up to
	// PIPE_BUF bytes are atomic. A longer line is written on its own.
	maxBatchBytes = 4 << 10
	// batchDelay is how long a line waits for others to share its write.
	batchDelay   = 50 * time.Millisecond
	flushTimeout = 200 * time.Millisecond
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// Writer writes lines to Output in the background. Its exported fields must not
// be changed after the first Write. It is safe for concurrent use.
type Writer struct {
	Output io.Writer
	// Report is called with the number of dropped lines of each message, which
	// is the value of msg in a line. It may itself write lines. It may be nil.
	Report func(message string, lines int64)

	once    sync.Once
	lines   chan []byte
	dropped atomic.Int64
	mu      sync.Mutex
	quota   Quota
	// flushes carries the calls of Flush; each channel is closed once the lines
	// queued before it are written.
	flushes chan chan struct{}
}

// Write queues one line and never waits for Output. A line that exceeds the
// quota of its message, or that finds the queue full, is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.once.Do(w.start)
	message := messageOf(line)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.quota.Allow(time.Now(), message) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		w.quota.CountDropped(message)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush waits until the lines queued so far are written, or until a timeout.
func (w *Writer) Flush() {
	w.once.Do(w.start)
	done := make(chan struct{})
	select {
	case w.flushes <- done:
	case <-time.After(flushTimeout):
		return
	}
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}

func (w *Writer) start() {
	w.lines = make(chan []byte, queueLength)
	w.flushes = make(chan chan struct{})
	// The goroutine runs until the process exits, as any part of the process
	// may log until then.
	go w.run()
}

func (w *Writer) run() {
	reports := time.NewTicker(reportInterval)
	defer reports.Stop()
	for {
		select {
		case <-reports.C:
			w.report()
		case line := <-w.lines:
			time.Sleep(batchDelay)
			w.drain(line)
		case done := <-w.flushes:
			w.drain(nil)
			close(done)
		}
	}
}

// report calls Report with the lines dropped since the last report.
func (w *Writer) report() {
	w.mu.Lock()
	dropped := w.quota.ResetDropped()
	w.mu.Unlock()
	if w.Report == nil {
		return
	}
	for message, lines := range dropped {
		w.Report(message, lines)
	}
}

// drain writes first and all queued lines in batches.
func (w *Writer) drain(first []byte) {
	batch := append(make([]byte, 0, maxBatchBytes), first...)
	for {
		select {
		case line := <-w.lines:
			if len(batch)+len(line) > maxBatchBytes {
				w.write(batch)
				batch = batch[:0]
			}
			batch = append(batch, line...)
		default:
			w.write(batch)
			return
		}
	}
}

func (w *Writer) write(batch []byte) {
	if len(batch) == 0 {
		return
	}
	// A failure to write the log can't be logged.
	_, _ = w.Output.Write(batch)
}
