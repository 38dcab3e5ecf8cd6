package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// maxInFlight bounds the requests of one stream that wait for an answer.
	maxInFlight = 1024
	// overloadRetry is the retry time given while a stream has too many requests in flight.
	overloadRetry = 100 * time.Millisecond
	// keepAliveEvery is the time between keep-alive messages. A call that times out probes the connection at once, so the
	// period only bounds how long an idle half-open connection stays.
	keepAliveEvery = 15 * time.Second
	// probeTimeout is how long a peer has to answer a probe or to take the next bytes of a connection.
	probeTimeout = 2 * time.Second
	// slowReaderLimit is how long the receiver of a stream may take no bytes before the stream is given up.
	slowReaderLimit = 10 * time.Second
)

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	cfg.KeepAliveInterval = keepAliveEvery
	cfg.ConnectionWriteTimeout = probeTimeout
	return cfg
}

var errSessionClosed = errors.New("session was closed")

// clientSession is a yamux session with a probe for half-open connections.
type clientSession struct {
	*yamux.Session
	probing atomic.Bool
}

func (s *clientSession) err() error { return errSessionClosed }

// probe closes the session unless the peer answers in time. One probe runs at a time.
func (s *clientSession) probe() {
	if !s.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.probing.Store(false)
		if _, err := s.Ping(); err != nil {
			_ = s.Close()
		}
	}()
}

// conn is one outgoing session with a stream for each class.
type conn struct {
	session *clientSession
	streams [numClasses]*clientStream
}

func newConn(raw net.Conn) (*conn, error) {
	session, err := yamux.Client(raw, yamuxConfig())
	if err != nil {
		return nil, err
	}
	c := &conn{session: &clientSession{Session: session}}
	for i := range c.streams {
		stream, err := session.OpenStream()
		if err != nil {
			_ = session.Close()
			return nil, err
		}
		c.streams[i] = newClientStream(stream, c.session)
	}
	return c, nil
}

func (c *conn) failed() bool { return c.session.IsClosed() }

func (c *conn) close() { _ = c.session.Close() }

func (c *conn) call(ctx context.Context, req *peerpb.Request) (*peerpb.Reply, error) {
	return c.streams[ClassOf(req)].call(ctx, req)
}

// clientStream sends requests and matches replies by id.
type clientStream struct {
	session *clientSession
	stream  net.Conn
	out     *writer
	nextID  atomic.Uint64
	// heard counts the replies read, to tell a slow answer from a silent peer.
	heard atomic.Uint64

	mu      sync.Mutex
	pending map[uint64]chan *peerpb.Reply
	err     error
}

func newClientStream(stream net.Conn, session *clientSession) *clientStream {
	s := &clientStream{stream: stream, session: session, pending: map[uint64]chan *peerpb.Reply{}}
	s.out = newWriter(stream, func(error) { _ = session.Close() })
	go s.readReplies()
	return s
}

// envelope returns the message that is sent for req. req itself is not changed, since the caller may send it again.
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
	answer := make(chan *peerpb.Reply, 1)
	if err := s.register(id, answer); err != nil {
		return nil, err
	}
	defer s.unregister(id)
	heard := s.heard.Load()
	if err := s.out.enqueue(f); err != nil {
		return nil, notQueued(err)
	}
	select {
	case reply := <-answer:
		return s.answered(f, reply)
	case <-ctx.Done():
		return nil, s.givenUp(ctx, id, f, heard)
	}
}

func (s *clientStream) answered(f *frame, reply *peerpb.Reply) (*peerpb.Reply, error) {
	if reply != nil {
		return reply, nil
	}
	if f.withdraw() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "connection to peer was lost before the request was sent").After(backoffBase)
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "connection to peer was lost")
}

// givenUp says NotRun for a request that was never written; otherwise it tells the peer that nobody waits any more, and
// probes a connection from which nothing was heard since the request was sent.
func (s *clientStream) givenUp(ctx context.Context, id uint64, f *frame, heard uint64) error {
	if s.heard.Load() == heard && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.session.probe()
	}
	if f.withdraw() {
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeUnavailable, "the request was not sent to the peer")
	}
	cancel := &peerpb.Request{Version: Version, Body: &peerpb.Request_Cancel{Cancel: &peerpb.Cancel{Request: id}}}
	if f, err := newFrame(cancel); err == nil {
		_ = s.out.enqueue(f)
	}
	return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "wait for peer")
}

// send queues a message without a reply.
func (s *clientStream) send(req *peerpb.Request) error {
	f, err := newFrame(s.envelope(context.Background(), 0, req))
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "send to peer")
	}
	if err := s.out.enqueue(f); err != nil {
		return notQueued(err)
	}
	return nil
}

func notQueued(err error) error {
	code := verdict.CodeUnavailable
	if errors.Is(err, errQueueFull) {
		code = verdict.CodeOverloaded
	}
	return verdict.Wrap(err, verdict.NotRun, code, "send to peer").After(overloadRetry)
}

func (s *clientStream) register(id uint64, answer chan *peerpb.Reply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return verdict.Wrap(s.err, verdict.NotRun, verdict.CodeUnavailable, "peer stream").After(backoffBase)
	}
	if len(s.pending) >= maxInFlight {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%d requests to the peer are in flight", maxInFlight).After(overloadRetry)
	}
	s.pending[id] = answer
	return nil
}

func (s *clientStream) unregister(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

// readReplies delivers replies until the stream fails, then answers all pending calls with nil.
func (s *clientStream) readReplies() {
	in := newReader(s.stream)
	for {
		reply := &peerpb.Reply{}
		if err := in.read(reply); err != nil {
			s.fail(err)
			return
		}
		s.heard.Add(1)
		s.mu.Lock()
		answer := s.pending[reply.GetId()]
		delete(s.pending, reply.GetId())
		s.mu.Unlock()
		if answer != nil {
			answer <- reply
		}
	}
}

// fail ends the whole session: its streams end with it, so that the next call opens a new connection.
func (s *clientStream) fail(err error) {
	s.out.close()
	_ = s.session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
	for id, answer := range s.pending {
		delete(s.pending, id)
		answer <- nil
	}
}
