package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the maximum number of log lines that wait to be written.
	maxQueuedLines = 4096
	// dropReportInterval is the minimum time between lines that report the number of dropped lines.
	dropReportInterval = time.Second
	// maxBatchBytes limits the lines that are written at once. A system call for each line would cost more than its encoding.
	maxBatchBytes = 32 << 10
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
	var batch []byte
	for line := range w.lines {
		batch = w.appendQueued(append(batch[:0], line...))
		// A failed write to standard output cannot be reported anywhere.
		_, _ = w.out.Write(batch)
		if n := w.dropped.Load(); n != reportedDrops && time.Since(reportedAt) >= dropReportInterval {
			_, _ = fmt.Fprintf(w.out, "{\"event\":\"log_lines_dropped\",\"level\":\"warning\",\"total\":%d}\n", n)
			reportedDrops, reportedAt = n, time.Now()
		}
	}
}

// appendQueued appends the lines that are in the queue, up to about maxBatchBytes in all.
func (w *AsyncWriter) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line, open := <-w.lines:
			if !open {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
