package peer

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// dialTimeout bounds a connection attempt to a peer.
	dialTimeout = 2 * time.Second
	// maxMessageBytes bounds one message, so that a damaged length cannot exhaust memory.
	maxMessageBytes = 8 << 20
	// frameHeaderBytes is the size of the length in front of each message.
	frameHeaderBytes = 4
	// maxInFlight bounds the requests of one stream that are handled at the same time.
	maxInFlight = 1024
)

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	cfg.KeepAliveInterval = 5 * time.Second
	cfg.ConnectionWriteTimeout = 5 * time.Second
	return cfg
}

// conn is one outgoing session with a stream for each class.
type conn struct {
	session *yamux.Session
	streams [numClasses]*clientStream
}

func newConn(raw net.Conn) (*conn, error) {
	session, err := yamux.Client(raw, yamuxConfig())
	if err != nil {
		return nil, err
	}
	c := &conn{session: session}
	for i := range c.streams {
		stream, err := session.OpenStream()
		if err != nil {
			_ = session.Close()
			return nil, err
		}
		c.streams[i] = newClientStream(stream)
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
	stream net.Conn
	nextID atomic.Uint64

	writeMu sync.Mutex

	mu      sync.Mutex
	pending map[uint64]chan *peerpb.Reply
	err     error
}

func newClientStream(stream net.Conn) *clientStream {
	s := &clientStream{stream: stream, pending: map[uint64]chan *peerpb.Reply{}}
	go s.readReplies()
	return s
}

func (s *clientStream) call(ctx context.Context, req *peerpb.Request) (*peerpb.Reply, error) {
	id := s.nextID.Add(1)
	req.Id, req.Version = id, Version
	if deadline, ok := ctx.Deadline(); ok {
		req.TimeoutMs = max(1, time.Until(deadline).Milliseconds())
	}
	answer := make(chan *peerpb.Reply, 1)
	if err := s.register(id, answer); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "peer stream")
	}
	defer s.unregister(id)
	if err := s.write(req); err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "send to peer")
	}
	select {
	case reply := <-answer:
		if reply == nil {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "connection to peer was lost")
		}
		return reply, nil
	case <-ctx.Done():
		return nil, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "wait for peer")
	}
}

func (s *clientStream) register(id uint64, answer chan *peerpb.Reply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	s.pending[id] = answer
	return nil
}

func (s *clientStream) unregister(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

func (s *clientStream) write(req *peerpb.Request) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	return writeMessage(s.stream, req)
}

// readReplies delivers replies until the stream fails, then answers all pending calls with nil.
func (s *clientStream) readReplies() {
	for {
		reply := &peerpb.Reply{}
		if err := readMessage(s.stream, reply); err != nil {
			s.fail(err)
			return
		}
		s.mu.Lock()
		answer := s.pending[reply.GetId()]
		delete(s.pending, reply.GetId())
		s.mu.Unlock()
		if answer != nil {
			answer <- reply
		}
	}
}

func (s *clientStream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
	for id, answer := range s.pending {
		delete(s.pending, id)
		answer <- nil
	}
	_ = s.stream.Close()
}

// serveStream answers the requests of one stream, each on a goroutine of its own.
func serveStream(ctx context.Context, stream net.Conn, handle Handler) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer stream.Close()
	var writeMu sync.Mutex
	slots := make(chan struct{}, maxInFlight)
	for {
		req := &peerpb.Request{}
		if err := readMessage(stream, req); err != nil {
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			reply := serveRequest(ctx, req, handle)
			writeMu.Lock()
			defer writeMu.Unlock()
			if err := writeMessage(stream, reply); err != nil {
				cancel()
			}
		}()
	}
}

func serveRequest(ctx context.Context, req *peerpb.Request, handle Handler) *peerpb.Reply {
	if req.GetVersion() > Version {
		err := verdict.New(verdict.NotRun, verdict.CodeInvalid, "message version %d is above %d", req.GetVersion(), Version)
		return &peerpb.Reply{Id: req.GetId(), Error: ErrorToProto(err)}
	}
	if ms := req.GetTimeoutMs(); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	reply := handle(ctx, req)
	reply.Id = req.GetId()
	return reply
}

func writeMessage(w io.Writer, m proto.Message) error {
	buf := make([]byte, frameHeaderBytes, frameHeaderBytes+proto.Size(m))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return err
	}
	size := len(buf) - frameHeaderBytes
	if size > maxMessageBytes {
		return fmt.Errorf("message of %d bytes exceeds %d", size, maxMessageBytes)
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	_, err = w.Write(buf)
	return err
}

func readMessage(r io.Reader, m proto.Message) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxMessageBytes {
		return fmt.Errorf("message of %d bytes exceeds %d", size, maxMessageBytes)
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(r, buf); err != nil {
		return err
	}
	return proto.Unmarshal(buf, m)
}
