package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// serverStream answers the requests of one stream.
type serverStream struct {
	handle Handler
	out    *writer

	// mu protects running, the cancel functions of the requests that are handled now.
	mu      sync.Mutex
	running map[uint64]context.CancelFunc
}

// serveStream answers the requests of one stream, each on a goroutine of its own, until the stream fails.
func serveStream(ctx context.Context, session io.Closer, stream net.Conn, handle Handler) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer stream.Close()
	s := &serverStream{handle: handle, running: map[uint64]context.CancelFunc{}}
	// A reply that cannot be written ends the session: its sender would otherwise wait for it until its deadline.
	s.out = newWriter(stream, func(error) { _ = session.Close() })
	defer s.out.close()
	in := newReader(stream)
	for {
		req := &peerpb.Request{}
		if err := in.read(req); err != nil {
			return
		}
		s.take(ctx, req)
	}
}

func (s *serverStream) take(ctx context.Context, req *peerpb.Request) {
	if cancel := req.GetCancel(); cancel != nil {
		s.cancel(cancel.GetRequest())
		return
	}
	if req.GetId() == 0 {
		s.handle(ctx, req)
		return
	}
	ctx, ok := s.begin(ctx, req)
	if !ok {
		err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%d requests of the peer are in flight", maxInFlight).After(overloadRetry)
		s.reply(&peerpb.Reply{Id: req.GetId(), Error: ErrorToProto(err)})
		return
	}
	go func() {
		defer s.cancel(req.GetId())
		reply := s.serve(ctx, req)
		reply.Id = req.GetId()
		s.reply(reply)
	}()
}

// begin notes a request and returns its context; ok is false when too many are handled.
func (s *serverStream) begin(ctx context.Context, req *peerpb.Request) (_ context.Context, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.running) >= maxInFlight {
		return nil, false
	}
	cancel := context.CancelFunc(nil)
	if ms := req.GetTimeoutMs(); ms > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	} else {
		ctx, cancel = context.WithCancel(ctx)
	}
	s.running[req.GetId()] = cancel
	return ctx, true
}

func (s *serverStream) cancel(id uint64) {
	s.mu.Lock()
	cancel := s.running[id]
	delete(s.running, id)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (s *serverStream) serve(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
	if req.GetVersion() > Version {
		err := verdict.New(verdict.NotRun, verdict.CodeInvalid, "message version %d is above %d", req.GetVersion(), Version)
		return &peerpb.Reply{Error: ErrorToProto(err)}
	}
	return s.handle(ctx, req)
}

// reply queues an answer. An answer that is too large is replaced by an error, so that the sender does not wait.
func (s *serverStream) reply(reply *peerpb.Reply) {
	f, err := newFrame(reply)
	if err != nil {
		e := verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeInternal, "answer of the peer")
		if f, err = newFrame(&peerpb.Reply{Id: reply.GetId(), Error: ErrorToProto(e)}); err != nil {
			return
		}
	}
	s.out.enqueueReply(f)
}
