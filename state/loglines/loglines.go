// Package loglines keeps the writing of log lines away from the work that they
// tell of: a reader that stops reading costs lines, not time.
package loglines

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait to be written.
	queueLength = 4096
	// batchBytes is how much is written at once, whole lines: what a pipe
	// takes without tearing it, as POSIX promises (PIPE_BUF). A longer line is
	// written alone.
	maxBatchBytes = 4 << 10
	// batchTime is how long a line waits for others.
	batchDelay   = 50 * time.Millisecond
	flushTimeout = 200 * time.Millisecond
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
)

// Writer writes lines in the background. Its exported fields are set before the
// first Write. It is safe for concurrent use.
type Writer struct {
	Output io.Writer
	// Report is told of lines that were dropped, by class, the message of the
	// line. It may write lines. Nil reports none.
	Report func(message string, lines int64)

	once    sync.Once
	lines   chan []byte
	dropped atomic.Int64
	mu      sync.Mutex
	quota   Quota
	// flushes holds channels that are closed once what came before is written.
	flushes chan chan struct{}
}

// Write queues one line; it never waits. A line over the quota of its class, or
// that finds the queue full, is dropped and counted.
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

// Flush waits a bounded time until the lines queued so far are written.
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
	// The writer lives as long as the process: log lines come from all of it.
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

// report tells of the lines that were dropped since the last report.
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

// drain writes a first line and all that are queued.
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
	// There is nowhere else to report a log that can't be written.
	_, _ = w.Output.Write(batch)
}
