package telemetry

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxQueuedLines is the maximum number of log lines that wait to be written.
	maxQueuedLines = 4096
	// dropReportInterval is the minimum time between lines that report the number of dropped lines.
	dropReportInterval = time.Second
	// maxBatchBytes limits the lines that are written at once, since a system call for each line would cost more than its encoding. A
	// pipe takes as many bytes whole or not at all.
	maxBatchBytes = 4096
	// fullPipeDelay is the pause after a write to a pipe that is full and does not block.
	fullPipeDelay = 2 * time.Millisecond
)

// AsyncWriter passes lines to an underlying writer without blocking its callers. Lines that do not fit into its queue are
// dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewAsyncWriter returns a writer that writes to out from its own goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It copies the line and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.writeOwned(append([]byte(nil), line...))
	return len(line), nil
}

// writeOwned is Write for a line that the caller does not use any longer.
func (w *AsyncWriter) writeOwned(line []byte) {
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
}

// Dropped returns the total number of dropped lines.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines, for at most timeout, and stops the writer. Write must not be called afterwards.
func (w *AsyncWriter) Close(timeout time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	reportedDrops := uint64(0)
	reportedAt := time.Time{}
	var batch, next []byte
	for {
		line, open := next, true
		if line == nil {
			line, open = <-w.lines
		}
		if !open {
			return
		}
		batch, next = w.appendQueued(append(batch[:0], line...))
		w.writeBatch(batch)
		if n := w.dropped.Load(); n != reportedDrops && time.Since(reportedAt) >= dropReportInterval {
			_, _ = fmt.Fprintf(w.out, "{\"event\":\"log_lines_dropped\",\"level\":\"warning\",\"total\":%d}\n", n)
			reportedDrops, reportedAt = n, time.Now()
		}
	}
}

// appendQueued appends the lines that are in the queue as long as the batch stays within maxBatchBytes. next is a line that did not fit.
func (w *AsyncWriter) appendQueued(batch []byte) (filled, next []byte) {
	for {
		select {
		case line, open := <-w.lines:
			if !open {
				return batch, nil
			}
			if len(batch)+len(line) > maxBatchBytes {
				return batch, line
			}
			batch = append(batch, line...)
		default:
			return batch, nil
		}
	}
}

// writeBatch writes lines and waits while the reader of a pipe that does not block is slow. Meanwhile the queue fills, and lines that do not
// fit are counted. Any other error of standard output cannot be reported anywhere.
func (w *AsyncWriter) writeBatch(batch []byte) {
	for {
		n, err := w.out.Write(batch)
		if !errors.Is(err, syscall.EAGAIN) {
			return
		}
		batch = batch[n:]
		time.Sleep(fullPipeDelay)
	}
}
