package history

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLength is the number of events that a Recorder holds before it drops new ones.
const queueLength = 1 << 15

// Recorder writes events to a file without blocking its callers: events that do not fit its queue are dropped, counted, and
// written as an event of kind KindGap. A nil Recorder drops all events. Recorder is safe for concurrent use.
type Recorder struct {
	clock func() time.Duration
	calls atomic.Uint64
	done  chan struct{}

	mu sync.Mutex
	// queue passes events to write. Only callers that hold mu send.
	queue   chan Event
	dropped uint64
	closed  bool

	// err is the first error of the writer. It is read after done is closed.
	err error
}

// NewRecorder returns a recorder that writes a header and events to w until Close. The clock returns the time since the start of
// the history, which must not decrease. Source describes what is recorded.
func NewRecorder(w io.Writer, clock func() time.Duration, source string) *Recorder {
	return newRecorder(w, clock, source, queueLength)
}

func newRecorder(w io.Writer, clock func() time.Duration, source string, length int) *Recorder {
	r := &Recorder{clock: clock, queue: make(chan Event, length), done: make(chan struct{})}
	go r.write(w, Header{Format: formatName, Schema: SchemaVersion, Source: source})
	return r
}

// SinceNow returns a clock for NewRecorder that begins at 0 now.
func SinceNow() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// NextCall returns a number for a call that no other call of the history has.
func (r *Recorder) NextCall() uint64 {
	if r == nil {
		return 0
	}
	return r.calls.Add(1)
}

// Record appends e with the present time. What e points to must not change afterwards.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	// The time is read under the lock, so that the events are in order.
	e.AtUS = r.clock().Microseconds()
	r.enqueue(e)
}

// enqueue appends e, after the gap that precedes it. The caller holds mu.
func (r *Recorder) enqueue(e Event) {
	needed := 1
	if r.dropped > 0 {
		needed = 2
	}
	if len(r.queue)+needed > cap(r.queue) {
		r.dropped++
		return
	}
	if r.dropped > 0 {
		r.queue <- Event{AtUS: e.AtUS, Kind: KindGap, Gap: &Gap{Dropped: r.dropped}}
		r.dropped = 0
	}
	r.queue <- e
}

// Close writes what is queued and the closing event, and returns the first error of the writer. Events that are recorded later
// are ignored. Only the first call has an effect.
func (r *Recorder) Close() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.queue)
	}
	r.mu.Unlock()
	<-r.done
	return r.err
}

// write writes the queue to w. After an error it discards events, so that the callers go on.
func (r *Recorder) write(w io.Writer, h Header) {
	defer close(r.done)
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	r.err = encoder.Encode(h)
	for e := range r.queue {
		r.writeEvent(encoder, e)
		if len(r.queue) == 0 && r.err == nil {
			r.err = buffered.Flush()
		}
	}
	// The queue is closed: nobody else uses dropped or the clock for an event.
	end := Event{AtUS: r.clock().Microseconds(), Kind: KindClosed}
	if r.dropped > 0 {
		r.writeEvent(encoder, Event{AtUS: end.AtUS, Kind: KindGap, Gap: &Gap{Dropped: r.dropped}})
	}
	r.writeEvent(encoder, end)
	if r.err == nil {
		r.err = buffered.Flush()
	}
}

func (r *Recorder) writeEvent(encoder *json.Encoder, e Event) {
	if r.err == nil {
		r.err = encoder.Encode(&e)
	}
}
