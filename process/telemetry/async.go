package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the log lines that wait to be written.
	maxQueuedLines = 4096
	// dropReportInterval is the least time between lines that count dropped ones.
	dropReportInterval = time.Second
)

// AsyncWriter hands lines to a writer without ever blocking its callers. Lines that do not fit into its queue are dropped
// and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewAsyncWriter returns a writer that writes to out from a goroutine of its own.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It always succeeds.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is queued, for at most a time, and ends the writer. No line may be written afterwards.
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
	for line := range w.lines {
		// A failed write to standard output cannot be reported anywhere.
		_, _ = w.out.Write(line)
		if n := w.dropped.Load(); n != reportedDrops && time.Since(reportedAt) >= dropReportInterval {
			_, _ = fmt.Fprintf(w.out, "{\"event\":\"log_lines_dropped\",\"level\":\"warning\",\"total\":%d}\n", n)
			reportedDrops, reportedAt = n, time.Now()
		}
	}
}
