package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/recovery"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// maxInFlight limits the requests on one stream that wait for a reply.
	maxInFlight = 1024
	// overloadRetryAfter is the retry time that is returned while a stream has too many requests in flight or bytes
	// queued.
	overloadRetryAfter = 100 * time.Millisecond
	// streamWriteTimeout limits one write to a stream, as far as this process could run. A receiver that does not accept it in
	// this time loses the session.
	streamWriteTimeout = 10 * time.Second
)

// conn is an outgoing session with one stream for each message class.
type conn struct {
	session *muxSession
	streams [numClasses]*clientStream
}

// newConn starts a session on raw and opens its streams in the order of the classes. onPanic is as in Options.
func newConn(raw net.Conn, onPanic func(value any, stack []byte)) (*conn, error) {
	session, err := yamux.Client(raw, yamuxConfig())
	if err != nil {
		return nil, err
	}
	c := &conn{session: newMuxSession(session)}
	for i := range c.streams {
		stream, err := session.OpenStream()
		if err != nil {
			_ = session.Close()
			return nil, err
		}
		c.streams[i] = newClientStream(stream, c.session, onPanic)
	}
	return c, nil
}

func (c *conn) isClosed() bool { return c.session.IsClosed() }

func (c *conn) close() { _ = c.session.Close() }

func (c *conn) call(ctx context.Context, req *peerpb.Request) (*peerpb.Reply, error) {
	return c.streams[ClassOf(req)].call(ctx, req)
}

// clientStream sends requests on one stream and matches replies to them by ID.
type clientStream struct {
	session *muxSession
	stream  net.Conn
	writer  *frameWriter
	nextID  atomic.Uint64
	// repliesRead counts the replies received, to distinguish a slow reply from a peer that sends nothing.
	repliesRead atomic.Uint64

	// mu protects pending, the calls that wait for a reply by request ID, and err, the reason why the stream failed.
	mu      sync.Mutex
	pending map[uint64]chan *peerpb.Reply
	err     error
}

func newClientStream(stream net.Conn, session *muxSession, onPanic func(any, []byte)) *clientStream {
	s := &clientStream{stream: stream, session: session, pending: map[uint64]chan *peerpb.Reply{}}
	s.writer = newFrameWriter(stream, session)
	go func() {
		if recovery.Catch(onPanic, s.readReplies) {
			s.fail(recovery.Error())
		}
	}()
	return s
}

// envelope returns the message that is sent for req, with the time left until the deadline of ctx. It does not modify
// req, since the caller may send it again.
func (s *clientStream) envelope(ctx context.Context, id uint64, req *peerpb.Request) *peerpb.Request {
	out := &peerpb.Request{Id: id, Version: Version, RequestId: req.GetRequestId(), Body: req.GetBody()}
	if deadline, ok := ctx.Deadline(); ok {
		out.TimeoutMs = max(1, time.Until(deadline).Milliseconds())
	}
	return out
}

func (s *clientStream) call(ctx context.Context, req *peerpb.Request) (*peerpb.Reply, error) {
	id := s.nextID.Add(1)
	f, err := newFrame(s.envelope(ctx, id, req))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "send to peer")
	}
	replyCh := make(chan *peerpb.Reply, 1)
	if err := s.register(id, replyCh); err != nil {
		return nil, err
	}
	defer s.unregister(id)
	repliesBefore := s.repliesRead.Load()
	if err := s.writer.enqueue(f); err != nil {
		return nil, enqueueError(err)
	}
	select {
	case reply := <-replyCh:
		return s.replyResult(f, reply)
	case <-ctx.Done():
		return nil, s.abandon(ctx, id, f, repliesBefore)
	}
}

// replyResult returns the result of a call that received reply. A nil reply means that the stream failed: the error is
// NotRun if the request was not written yet, and MayHaveRun otherwise.
func (s *clientStream) replyResult(f *frame, reply *peerpb.Reply) (*peerpb.Reply, error) {
	if reply != nil {
		return reply, nil
	}
	if f.withdraw() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "connection to peer was lost before the request was sent").WithRetryAfter(backoffBase)
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "connection to peer was lost")
}

// abandon returns the error of a call whose context ended: NotRun if the request was never written, and otherwise
// MayHaveRun, after sending the peer a cancellation. If the deadline passed and no reply arrived on the stream since
// the call began, it also probes the connection.
func (s *clientStream) abandon(ctx context.Context, id uint64, f *frame, repliesBefore uint64) error {
	if s.repliesRead.Load() == repliesBefore && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.session.probe()
	}
	if f.withdraw() {
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeUnavailable, "the request was not sent to the peer")
	}
	cancel := &peerpb.Request{Version: Version, Body: &peerpb.Request_Cancel{Cancel: &peerpb.Cancel{Request: id}}}
	if f, err := newFrame(cancel); err == nil {
		_ = s.writer.enqueue(f)
	}
	return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "wait for peer")
}

// send queues a message that has no reply.
func (s *clientStream) send(req *peerpb.Request) error {
	f, err := newFrame(s.envelope(context.Background(), 0, req))
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "send to peer")
	}
	if err := s.writer.enqueue(f); err != nil {
		return enqueueError(err)
	}
	return nil
}

// enqueueError returns the NotRun error for a frame that could not be queued.
func enqueueError(err error) error {
	code := verdict.CodeUnavailable
	if errors.Is(err, errQueueFull) {
		code = verdict.CodeOverloaded
	}
	return verdict.Wrap(err, verdict.NotRun, code, "send to peer").WithRetryAfter(overloadRetryAfter)
}

// register adds a call that waits for a reply. It fails if the stream failed or has maxInFlight calls.
func (s *clientStream) register(id uint64, replyCh chan *peerpb.Reply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return verdict.Wrap(s.err, verdict.NotRun, verdict.CodeUnavailable, "peer stream").WithRetryAfter(backoffBase)
	}
	if len(s.pending) >= maxInFlight {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%d requests to the peer are in flight", maxInFlight).WithRetryAfter(overloadRetryAfter)
	}
	s.pending[id] = replyCh
	return nil
}

func (s *clientStream) unregister(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

// readReplies delivers replies to the pending calls until the stream fails. Pending calls then receive nil.
func (s *clientStream) readReplies() {
	reader := newFrameReader(s.stream)
	for {
		reply := &peerpb.Reply{}
		if err := reader.read(reply); err != nil {
			s.fail(err)
			return
		}
		s.repliesRead.Add(1)
		s.mu.Lock()
		replyCh := s.pending[reply.GetId()]
		delete(s.pending, reply.GetId())
		s.mu.Unlock()
		if replyCh != nil {
			replyCh <- reply
		}
	}
}

// fail closes the session with all of its streams, so that the next call opens a new connection, and ends the pending
// calls.
func (s *clientStream) fail(err error) {
	s.writer.close()
	_ = s.session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
	for id, replyCh := range s.pending {
		delete(s.pending, id)
		replyCh <- nil
	}
}
