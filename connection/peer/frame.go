package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// maxMessageBytes bounds one message, so that a damaged length cannot exhaust memory.
	maxMessageBytes = 8 << 20
	// frameHeaderBytes is the size of the length in front of each message.
	frameHeaderBytes = 4
	// maxQueuedBytes bounds the requests that wait to be written to one stream.
	maxQueuedBytes = 16 << 20
	// batchBytes is how many bytes of small messages are joined in one write. yamux writes each call to Write with a header
	// and two system calls of its own.
	batchBytes = 32 << 10
	// readBufferBytes is the size of the read buffer of a stream.
	readBufferBytes = 16 << 10
)

var (
	errWriterClosed = errors.New("stream was closed")
	errQueueFull    = errors.New("too many bytes wait to be sent")
)

// frame is an encoded message. A frame that was not taken by the writer yet can be withdrawn.
type frame struct {
	data  []byte
	taken atomic.Bool
}

// newFrame encodes a message. It fails for a message that is too large, before any byte is sent.
func newFrame(m proto.Message) (*frame, error) {
	size := proto.Size(m)
	if size > maxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes exceeds %d", size, maxMessageBytes)
	}
	buf := make([]byte, frameHeaderBytes, frameHeaderBytes+size)
	binary.BigEndian.PutUint32(buf, uint32(size))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, m)
	if err != nil {
		return nil, err
	}
	return &frame{data: buf}, nil
}

// take marks the frame as written; it returns false if it was withdrawn.
func (f *frame) take() bool { return f.taken.CompareAndSwap(false, true) }

// withdraw keeps the frame from being written; it returns false if it may have been written.
func (f *frame) withdraw() bool { return f.taken.CompareAndSwap(false, true) }

// writer writes frames to a stream on a goroutine of its own, several small ones in one write. The caller of enqueue
// never waits for a slow receiver.
type writer struct {
	stream net.Conn
	failed func(error)

	mu     sync.Mutex
	ready  *sync.Cond
	queue  []*frame
	bytes  int
	closed bool
}

func newWriter(stream net.Conn, failed func(error)) *writer {
	w := &writer{stream: stream, failed: failed}
	w.ready = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// enqueue queues a frame, unless too many bytes wait.
func (w *writer) enqueue(f *frame) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return errWriterClosed
	}
	if w.bytes+len(f.data) > maxQueuedBytes {
		return errQueueFull
	}
	w.push(f)
	return nil
}

// enqueueReply queues a frame, or fails the stream when too many bytes wait: a reply cannot be refused.
func (w *writer) enqueueReply(f *frame) {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	full := w.bytes > maxQueuedBytes
	w.push(f)
	w.mu.Unlock()
	if full {
		w.failed(errQueueFull)
	}
}

// push appends a frame. Callers hold w.mu.
func (w *writer) push(f *frame) {
	w.queue = append(w.queue, f)
	w.bytes += len(f.data)
	w.ready.Signal()
}

func (w *writer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.ready.Signal()
}

func (w *writer) run() {
	var batch []byte
	for {
		queue, ok := w.next()
		if !ok {
			return
		}
		for len(queue) > 0 {
			batch = batch[:0]
			batch, queue = join(batch, queue)
			if err := w.write(batch); err != nil {
				w.close()
				w.failed(err)
				return
			}
		}
		if cap(batch) > 2*batchBytes {
			batch = nil
		}
	}
}

// next waits for frames and returns all that are queued.
func (w *writer) next() ([]*frame, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) == 0 && !w.closed {
		w.ready.Wait()
	}
	queue := w.queue
	w.queue, w.bytes = nil, 0
	return queue, !w.closed
}

// join appends frames to a batch until it is full, and returns the rest.
func join(batch []byte, queue []*frame) ([]byte, []*frame) {
	for len(queue) > 0 && (len(batch) == 0 || len(batch)+len(queue[0].data) <= batchBytes) {
		if queue[0].take() {
			batch = append(batch, queue[0].data...)
		}
		queue = queue[1:]
	}
	return batch, queue
}

// write gives up when the receiver takes no bytes for slowReaderLimit.
func (w *writer) write(batch []byte) error {
	if len(batch) == 0 {
		return nil
	}
	if err := w.stream.SetWriteDeadline(time.Now().Add(slowReaderLimit)); err != nil {
		return err
	}
	_, err := w.stream.Write(batch)
	return err
}

// reader reads frames from a stream.
type reader struct{ buf *bufio.Reader }

func newReader(stream io.Reader) *reader {
	return &reader{buf: bufio.NewReaderSize(stream, readBufferBytes)}
}

func (r *reader) read(m proto.Message) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r.buf, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxMessageBytes {
		return fmt.Errorf("message of %d bytes exceeds %d", size, maxMessageBytes)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r.buf, data); err != nil {
		return err
	}
	return proto.Unmarshal(data, m)
}
