package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// maxMessageBytes limits the size of a message, so that a corrupt length prefix cannot exhaust memory.
	maxMessageBytes = 8 << 20
	// frameHeaderBytes is the size of the length prefix of a message.
	frameHeaderBytes = 4
	// maxQueuedBytes limits the frames in the write queue of one stream.
	maxQueuedBytes = 16 << 20
	// maxBatchBytes limits the small frames that are combined into one write. yamux adds a header and two system calls
	// to each call to Write.
	maxBatchBytes = 32 << 10
	// slowWriteDelay is the time after which a write that has not ended probes the connection.
	slowWriteDelay = 200 * time.Millisecond
	// readBufferBytes is the size of the read buffer of a stream.
	readBufferBytes = 16 << 10
)

var (
	errWriterClosed = errors.New("stream was closed")
	errQueueFull    = errors.New("too many bytes wait to be sent")
)

// frame is an encoded message with its length prefix. It can be withdrawn until the frameWriter claims it.
type frame struct {
	data []byte
	// claimed is set by claimForWrite or withdraw, whichever comes first.
	claimed atomic.Bool
}

// newFrame encodes a message. It returns an error if the message exceeds maxMessageBytes.
func newFrame(m proto.Message) (*frame, error) {
	size := proto.Size(m)
	if size > maxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes exceeds %d", size, maxMessageBytes)
	}
	data := make([]byte, frameHeaderBytes, frameHeaderBytes+size)
	binary.BigEndian.PutUint32(data, uint32(size))
	data, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(data, m)
	if err != nil {
		return nil, err
	}
	return &frame{data: data}, nil
}

// claimForWrite marks the frame as written. It returns false if the frame was withdrawn.
func (f *frame) claimForWrite() bool { return f.claimed.CompareAndSwap(false, true) }

// withdraw prevents the frame from being written. It returns false if the frame may have been written already.
func (f *frame) withdraw() bool { return f.claimed.CompareAndSwap(false, true) }

// frameWriter writes frames to a stream on its own goroutine and combines small frames into one write. enqueue and
// enqueueReply do not block on a slow receiver.
type frameWriter struct {
	stream io.Writer
	// session is closed, without mu, when a write fails or the queued replies exceed maxQueuedBytes.
	session peerSession

	// mu protects the fields below. ready is signalled when a frame is queued or the writer is closed.
	mu          sync.Mutex
	ready       *sync.Cond
	queue       []*frame
	queuedBytes int
	closed      bool
}

// peerSession is the session of a stream.
type peerSession interface {
	io.Closer
	// probe closes the session if the peer does not answer.
	probe()
}

func newFrameWriter(stream io.Writer, session peerSession) *frameWriter {
	w := &frameWriter{stream: stream, session: session}
	w.ready = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// enqueue queues a frame. It returns errQueueFull if the queue would exceed maxQueuedBytes.
func (w *frameWriter) enqueue(f *frame) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return errWriterClosed
	}
	if w.queuedBytes+len(f.data) > maxQueuedBytes {
		return errQueueFull
	}
	w.push(f)
	return nil
}

// enqueueReply queues a reply. A reply cannot be refused, so if the queue already exceeds maxQueuedBytes, the stream
// fails.
func (w *frameWriter) enqueueReply(f *frame) {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	full := w.queuedBytes > maxQueuedBytes
	w.push(f)
	w.mu.Unlock()
	if full {
		_ = w.session.Close()
	}
}

// push appends a frame to the queue. Callers hold w.mu.
func (w *frameWriter) push(f *frame) {
	w.queue = append(w.queue, f)
	w.queuedBytes += len(f.data)
	w.ready.Signal()
}

// close makes run return. Frames that are still queued are not written.
func (w *frameWriter) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.ready.Signal()
}

// run writes queued frames until the writer is closed or a write fails. It drops the batch buffer after a large
// message.
func (w *frameWriter) run() {
	var batch []byte
	for {
		frames, ok := w.dequeueAll()
		if !ok {
			return
		}
		for len(frames) > 0 {
			batch = batch[:0]
			batch, frames = fillBatch(batch, frames)
			if err := w.write(batch); err != nil {
				w.close()
				_ = w.session.Close()
				return
			}
		}
		if cap(batch) > 2*maxBatchBytes {
			batch = nil
		}
	}
}

// dequeueAll waits until frames are queued and returns them all, with false once the writer is closed.
func (w *frameWriter) dequeueAll() ([]*frame, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) == 0 && !w.closed {
		w.ready.Wait()
	}
	frames := w.queue
	w.queue, w.queuedBytes = nil, 0
	return frames, !w.closed
}

// fillBatch appends frames to batch until it is full and returns the batch and the remaining frames. Withdrawn frames
// are skipped.
func fillBatch(batch []byte, frames []*frame) ([]byte, []*frame) {
	for len(frames) > 0 && (len(batch) == 0 || len(batch)+len(frames[0].data) <= maxBatchBytes) {
		if frames[0].claimForWrite() {
			batch = append(batch, frames[0].data...)
		}
		frames = frames[1:]
	}
	return batch, frames
}

// write writes a batch to the stream. It fails if the session is closed, as it is when the write takes longer than
// streamWriteTimeout or the peer does not answer meanwhile.
func (w *frameWriter) write(batch []byte) error {
	if len(batch) == 0 {
		return nil
	}
	written := make(chan struct{})
	defer close(written)
	slow := time.AfterFunc(slowWriteDelay, func() { w.limitWrite(written) })
	defer slow.Stop()
	_, err := w.stream.Write(batch)
	return err
}

// limitWrite probes the connection of a slow write, and closes the session if the write takes longer than streamWriteTimeout.
func (w *frameWriter) limitWrite(written <-chan struct{}) {
	w.session.probe()
	if !awaitPeer(written, streamWriteTimeout-slowWriteDelay) {
		_ = w.session.Close()
	}
}

// frameReader reads frames from a stream.
type frameReader struct{ buf *bufio.Reader }

func newFrameReader(stream io.Reader) *frameReader {
	return &frameReader{buf: bufio.NewReaderSize(stream, readBufferBytes)}
}

// read reads one frame and decodes it into m. It fails for a length above maxMessageBytes before allocating memory.
func (r *frameReader) read(m proto.Message) error {
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
