package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/recovery"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// serverStream handles the requests of one incoming stream.
type serverStream struct {
	handle  Handler
	onPanic func(value any, stack []byte)
	writer  *frameWriter

	// mu protects inFlight, the cancel functions of the requests in progress by request ID.
	mu       sync.Mutex
	inFlight map[uint64]context.CancelFunc
}

// serveStream reads the messages of one stream and dispatches them until the stream fails or its decoding panics.
func serveStream(ctx context.Context, session peerSession, stream net.Conn, handle Handler, onPanic func(any, []byte)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer stream.Close()
	s := &serverStream{handle: handle, onPanic: onPanic, inFlight: map[uint64]context.CancelFunc{}}
	// A reply that cannot be written closes the session, since its caller would otherwise wait until the deadline.
	s.writer = newFrameWriter(stream, session)
	defer s.writer.close()
	recovery.Catch(onPanic, func() { s.readRequests(ctx, stream) })
}

// readRequests reads and dispatches messages until the stream fails.
func (s *serverStream) readRequests(ctx context.Context, stream io.Reader) {
	reader := newFrameReader(stream)
	for {
		req := &peerpb.Request{}
		if err := reader.read(req); err != nil {
			return
		}
		s.dispatch(ctx, req)
	}
}

// dispatch handles one message: it applies a cancellation, passes a message without a reply to the handler on the
// calling goroutine, and starts a goroutine for a request. Requests beyond maxInFlight are refused. A request that panics is
// answered with an error.
func (s *serverStream) dispatch(ctx context.Context, req *peerpb.Request) {
	if cancel := req.GetCancel(); cancel != nil {
		s.cancel(cancel.GetRequest())
		return
	}
	if req.GetId() == 0 {
		recovery.Catch(s.onPanic, func() { s.handle(ctx, req) })
		return
	}
	ctx, ok := s.admit(ctx, req)
	if !ok {
		err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%d requests of the peer are in flight", maxInFlight).WithRetryAfter(overloadRetryAfter)
		s.reply(&peerpb.Reply{Id: req.GetId(), Error: ErrorToProto(err)})
		return
	}
	go func() {
		defer s.cancel(req.GetId())
		panicked := recovery.Catch(s.onPanic, func() {
			reply := s.handleRequest(ctx, req)
			reply.Id = req.GetId()
			s.reply(reply)
		})
		if panicked {
			s.reply(&peerpb.Reply{Id: req.GetId(), Error: ErrorToProto(recovery.Error())})
		}
	}()
}

// admit registers a request and returns its context, which ends at the deadline of the request. ok is false if
// maxInFlight requests are in progress.
func (s *serverStream) admit(ctx context.Context, req *peerpb.Request) (_ context.Context, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inFlight) >= maxInFlight {
		return nil, false
	}
	cancel := context.CancelFunc(nil)
	if ms := req.GetTimeoutMs(); ms > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	} else {
		ctx, cancel = context.WithCancel(ctx)
	}
	s.inFlight[req.GetId()] = cancel
	return ctx, true
}

// cancel cancels the context of a request and removes the request. It is also called when a request completes.
func (s *serverStream) cancel(id uint64) {
	s.mu.Lock()
	cancel := s.inFlight[id]
	delete(s.inFlight, id)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// handleRequest calls the handler, unless the request has a version above Version.
func (s *serverStream) handleRequest(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
	if req.GetVersion() > Version {
		err := verdict.New(verdict.NotRun, verdict.CodeInvalid, "message version %d is above %d", req.GetVersion(), Version)
		return &peerpb.Reply{Error: ErrorToProto(err)}
	}
	return s.handle(ctx, req)
}

// reply queues a reply. A reply that is too large is replaced by an error, so that the caller does not wait until its
// deadline.
func (s *serverStream) reply(reply *peerpb.Reply) {
	f, err := newFrame(reply)
	if err != nil {
		e := verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeInternal, "answer of the peer")
		if f, err = newFrame(&peerpb.Reply{Id: reply.GetId(), Error: ErrorToProto(e)}); err != nil {
			return
		}
	}
	s.writer.enqueueReply(f)
}
