package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// pollTimeout limits waits in tests. It is not a performance requirement.
const pollTimeout = time.Minute

// forwardRequest returns a request of ClassCall.
func forwardRequest(body []byte) *peerpb.Request {
	return &peerpb.Request{Body: &peerpb.Request_Forward{Forward: &peerpb.Forward{Body: body}}}
}

// bulkRequest returns a request of ClassBulk with size bytes of state.
func bulkRequest(size int) *peerpb.Request {
	return &peerpb.Request{Body: &peerpb.Request_Handover{Handover: &peerpb.Handover{State: make([]byte, size)}}}
}

// echo is a Handler that replies to a forwarded request with its body.
func echo(_ context.Context, req *peerpb.Request) *peerpb.Reply {
	return &peerpb.Reply{Body: &peerpb.Reply_Forward{Forward: &peerpb.ForwardReply{Body: req.GetForward().GetBody()}}}
}

// startServer starts a server on a loopback address and returns the address.
func startServer(t *testing.T, opts Options, handle Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewTransport(opts)
	go func() { _ = server.Serve(context.Background(), l, handle) }()
	t.Cleanup(func() { _ = l.Close(); server.Close() })
	return l.Addr().String()
}

// newClient returns a transport that is closed at the end of the test.
func newClient(t *testing.T, opts Options) *Transport {
	t.Helper()
	c := NewTransport(opts)
	t.Cleanup(c.Close)
	return c
}

// A panic in the handler of one message must cost only that message: not the process, not the connection.
func TestPanicCostsOneRequest(t *testing.T) {
	var panics atomic.Int64
	address := startServer(t, Options{OnPanic: func(any, []byte) { panics.Add(1) }}, func(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
		if len(req.GetForward().GetBody()) == 0 {
			panic("unexpected")
		}
		return echo(ctx, req)
	})
	client := newClient(t, Options{})
	_, err := client.Call(t.Context(), address, forwardRequest(nil))
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	// A message without a reply is handled on the goroutine that reads the stream.
	assert.NilError(t, client.Send(t.Context(), address, forwardRequest(nil)))
	reply, err := client.Call(t.Context(), address, forwardRequest([]byte("next")))
	assert.NilError(t, err)
	assert.Equal(t, string(reply.GetForward().GetBody()), "next")
	assert.Equal(t, panics.Load(), int64(2))
}

// TestPanicOutsideTheHandlerCostsOneRequest guards against a panic after the handler, here for a reply that is missing, that
// ends the process.
func TestPanicOutsideTheHandlerCostsOneRequest(t *testing.T) {
	address := startServer(t, Options{}, func(context.Context, *peerpb.Request) *peerpb.Reply { return nil })
	_, err := newClient(t, Options{}).Call(t.Context(), address, forwardRequest(nil))
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
}

// panickingConn is a connection whose reads panic, once reading has begun.
type panickingConn struct {
	net.Conn
	begin <-chan struct{}
}

// Read implements net.Conn.
func (c panickingConn) Read([]byte) (int, error) {
	<-c.begin
	panic("unexpected")
}

// TestPanicWhileReadingCostsTheConnection guards against a panic in the decoding of messages that ends the process, or that
// leaves calls without an answer.
func TestPanicWhileReadingCostsTheConnection(t *testing.T) {
	var panics atomic.Int64
	onPanic := func(any, []byte) { panics.Add(1) }
	local, remote := net.Pipe()
	defer remote.Close()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	session, err := newConn(local, nil)
	assert.NilError(t, err)
	begin := make(chan struct{})
	stream := newClientStream(panickingConn{local, begin}, session.session, onPanic)
	time.AfterFunc(50*time.Millisecond, func() { close(begin) })
	_, err = stream.call(t.Context(), forwardRequest(nil))
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	assert.Equal(t, panics.Load(), int64(1))
	assert.Assert(t, session.isClosed())
}

// unprobedSession is a session of one stream that is a connection itself.
type unprobedSession struct{ io.Closer }

func (unprobedSession) probe() {}

// TestPanicWhileReadingRequestsCostsTheStream guards against a panic in the decoding of requests that ends the process.
func TestPanicWhileReadingRequestsCostsTheStream(t *testing.T) {
	var panics atomic.Int64
	local, remote := net.Pipe()
	defer remote.Close()
	begin := make(chan struct{})
	close(begin)
	serveStream(t.Context(), unprobedSession{local}, panickingConn{local, begin}, echo, func(any, []byte) { panics.Add(1) })
	assert.Equal(t, panics.Load(), int64(1))
	_, err := local.Write(nil)
	assert.Assert(t, errors.Is(err, io.ErrClosedPipe))
}

// serveRaw listens on a loopback address and calls f for each accepted connection with the index of the connection.
func serveRaw(t *testing.T, f func(n int, raw net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = raw.Close() })
			go f(n, raw)
		}
	}()
	return l.Addr().String()
}

// TestSlowDialDoesNotBlockOthers guards against holding a lock while dialling an unreachable peer.
func TestSlowDialDoesNotBlockOthers(t *testing.T) {
	address := startServer(t, Options{}, echo)
	dialling := make(chan struct{})
	c := newClient(t, Options{Dial: func(ctx context.Context, to string) (net.Conn, error) {
		if to == "unreachable" {
			close(dialling)
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return net.Dial("tcp", to)
	}})
	go func() { _, _ = c.Call(context.Background(), "unreachable", forwardRequest(nil)) }()
	<-dialling
	reply, err := c.Call(context.Background(), address, forwardRequest([]byte("lane 4")))
	assert.NilError(t, err)
	assert.Equal(t, string(reply.GetForward().GetBody()), "lane 4")
}

// TestOversizedRequestIsNotRun guards against a MayHaveRun verdict and a closed connection after a request that is too
// large to be sent.
func TestOversizedRequestIsNotRun(t *testing.T) {
	c := newClient(t, Options{})
	address := startServer(t, Options{}, echo)
	_, err := c.Call(context.Background(), address, forwardRequest(make([]byte, maxMessageBytes+1)))
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	_, err = c.Call(context.Background(), address, forwardRequest(nil))
	assert.NilError(t, err)
}

// TestOversizedReplyBecomesAnError guards against a caller that waits until its deadline because the reply is too large
// to be sent.
func TestOversizedReplyBecomesAnError(t *testing.T) {
	c := newClient(t, Options{})
	address := startServer(t, Options{}, func(context.Context, *peerpb.Request) *peerpb.Reply {
		return &peerpb.Reply{Body: &peerpb.Reply_Forward{Forward: &peerpb.ForwardReply{Body: make([]byte, maxMessageBytes+1)}}}
	})
	_, err := c.Call(context.Background(), address, forwardRequest(nil))
	assert.Equal(t, verdict.From(err).Code, verdict.CodeInternal)
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
}

// serveWithStalledClass starts a server that never reads streams of the given class and serves the others. Clients open
// their streams in the order of the classes.
func serveWithStalledClass(t *testing.T, class Class, handle Handler) string {
	return serveRaw(t, func(_ int, raw net.Conn) {
		session, err := yamux.Server(raw, yamuxConfig())
		if err != nil {
			return
		}
		for n := Class(0); ; n++ {
			stream, err := session.AcceptStream()
			if err != nil {
				return
			}
			if n%numClasses != class {
				go serveStream(context.Background(), &muxSession{Session: session}, stream, handle, nil)
			}
		}
	})
}

// TestStalledBulkDoesNotDelayCall guards against sharing a flow-control window between classes: calls must complete
// while the peer does not read bulk messages.
func TestStalledBulkDoesNotDelayCall(t *testing.T) {
	c := newClient(t, Options{})
	address := serveWithStalledClass(t, ClassBulk, echo)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 4 {
		// Each message alone exceeds the flow-control window of 256 KiB.
		wg.Go(func() { _, _ = c.Call(ctx, address, bulkRequest(1<<20)) })
	}
	for i := range 100 {
		body := []byte(fmt.Sprint("call ", i))
		reply, err := c.Call(context.Background(), address, forwardRequest(body))
		assert.NilError(t, err)
		assert.DeepEqual(t, reply.GetForward().GetBody(), body)
	}
	cancel()
	wg.Wait()
}

// TestUnsentRequestIsNotRun guards against a MayHaveRun verdict for a request that was still queued when its context
// was cancelled.
func TestUnsentRequestIsNotRun(t *testing.T) {
	c := newClient(t, Options{})
	address := serveWithStalledClass(t, ClassCall, echo)
	firstCtx, cancelFirst := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := c.Call(firstCtx, address, forwardRequest(make([]byte, 1<<20)))
		done <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		// The writer blocks once it has used up the flow-control window of 256 KiB.
		if sent, _ := c.Bytes(); sent < 256<<10 {
			return poll.Continue("%d bytes sent, want at least 256 KiB", sent)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
	secondCtx, cancelSecond := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancelSecond)
	_, err := c.Call(secondCtx, address, forwardRequest([]byte("second")))
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	cancelFirst()
	assert.Equal(t, verdict.Of(<-done), verdict.MayHaveRun)
}

// TestConnectionResetDuringReply guards against a NotRun verdict for a request whose reply was cut off, and against
// using the reset connection for later calls.
func TestConnectionResetDuringReply(t *testing.T) {
	address := serveRaw(t, func(n int, raw net.Conn) {
		session, err := yamux.Server(raw, yamuxConfig())
		if err != nil {
			return
		}
		for {
			stream, err := session.AcceptStream()
			if err != nil {
				return
			}
			if n > 0 {
				go serveStream(context.Background(), &muxSession{Session: session}, stream, echo, nil)
				continue
			}
			go func() {
				if newFrameReader(stream).read(&peerpb.Request{}) != nil {
					return
				}
				_, _ = stream.Write([]byte{0, 0, 1, 0, 'h', 'a', 'l', 'f'})
				_ = raw.(*net.TCPConn).SetLinger(0)
				_ = raw.Close()
			}()
		}
	})
	c := newClient(t, Options{})
	_, err := c.Call(context.Background(), address, forwardRequest([]byte("charge")))
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := c.Call(context.Background(), address, forwardRequest(nil)); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout), poll.WithDelay(10*time.Millisecond))
}

// TestHalfOpenConnectionIsReplaced guards against calls that continue to use a connection whose remote end has
// disappeared without a reset.
func TestHalfOpenConnectionIsReplaced(t *testing.T) {
	var frozen atomic.Bool
	address := serveRaw(t, func(n int, raw net.Conn) {
		if n == 0 {
			// The first connection is accepted but never read, as with a suspended process.
			frozen.Store(true)
			return
		}
		session, err := yamux.Server(raw, yamuxConfig())
		if err != nil {
			return
		}
		for {
			stream, err := session.AcceptStream()
			if err != nil {
				return
			}
			go serveStream(context.Background(), &muxSession{Session: session}, stream, echo, nil)
		}
	})
	c := newClient(t, Options{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		if _, err := c.Call(ctx, address, forwardRequest(nil)); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
	assert.Assert(t, frozen.Load())
}

// TestCorruptLengthIsRejected guards against allocating memory for a corrupt length prefix.
func TestCorruptLengthIsRejected(t *testing.T) {
	err := newFrameReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff})).read(&peerpb.Reply{})
	assert.ErrorContains(t, err, "exceeds")
	err = newFrameReader(bytes.NewReader([]byte{0, 0, 0, 9, 1})).read(&peerpb.Reply{})
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}

// TestBreakerLimitsDials guards against excessive connection attempts to a peer that is down.
func TestBreakerLimitsDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		c := NewTransport(Options{Seed: 1, Dial: func(context.Context, string) (net.Conn, error) {
			dials++
			return nil, errors.New("refused")
		}})
		defer c.Close()
		for range 10_000 {
			_, err := c.Call(context.Background(), "peer", forwardRequest(nil))
			assert.Equal(t, verdict.Of(err), verdict.NotRun)
			time.Sleep(time.Millisecond)
		}
		// The breaker is open for between half of the backoff and all of it, and the backoff doubles up to backoffMax,
		// so there are 10 to 20 attempts in ten seconds.
		assert.Assert(t, dials >= 8 && dials <= 20, "%d attempts in ten seconds, want 8 to 20", dials)
	})
}

// TestResetPeerIsNotRedialledInALoop guards against dialling in a tight loop a peer that accepts each connection and
// closes it immediately.
func TestResetPeerIsNotRedialledInALoop(t *testing.T) {
	var accepted atomic.Int64
	address := serveRaw(t, func(_ int, raw net.Conn) {
		accepted.Add(1)
		_ = raw.Close()
	})
	c := newClient(t, Options{Seed: 1})
	for range 2000 {
		_, _ = c.Call(context.Background(), address, forwardRequest(nil))
	}
	e := c.endpoints[address]
	assert.Assert(t, accepted.Load() < 1000, "%d connections for 2000 calls, want fewer than 1000", accepted.Load())
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Assert(t, e.failures > 0)
}

// TestCancelReachesHandler guards against a handler that continues after its caller has cancelled the request.
func TestCancelReachesHandler(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	address := startServer(t, Options{}, func(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return &peerpb.Reply{}
	})
	c := newClient(t, Options{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	_, err := c.Call(ctx, address, forwardRequest(nil))
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	<-cancelled
}

// TestRequestsInFlightAreLimited guards against an unlimited number of requests in flight to a slow peer.
func TestRequestsInFlightAreLimited(t *testing.T) {
	release := make(chan struct{})
	address := startServer(t, Options{}, func(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
		<-release
		return echo(ctx, req)
	})
	c := newClient(t, Options{})
	var wg sync.WaitGroup
	var refused, answered atomic.Int64
	for range maxInFlight + 100 {
		wg.Go(func() {
			_, err := c.Call(context.Background(), address, forwardRequest(nil))
			switch {
			case err == nil:
				answered.Add(1)
			case verdict.From(err).Code == verdict.CodeOverloaded && verdict.Of(err) == verdict.NotRun:
				if refused.Add(1) == 100 {
					close(release)
				}
			}
		})
	}
	wg.Wait()
	assert.Equal(t, answered.Load(), int64(maxInFlight))
	assert.Equal(t, refused.Load(), int64(100))
}

// TestRepliesMatchTheirCalls guards against swapped, late or truncated replies when many callers share a connection.
func TestRepliesMatchTheirCalls(t *testing.T) {
	address := startServer(t, Options{}, func(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
		time.Sleep(time.Duration(len(req.GetForward().GetBody())%7) * time.Millisecond)
		return echo(ctx, req)
	})
	c := newClient(t, Options{})
	var wg sync.WaitGroup
	for n := range 64 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(7, uint64(n)))
			for i := range 20 {
				body := bytes.Repeat([]byte(fmt.Sprintf("%d/%d;", n, i)), 1+rng.IntN(5000))
				reply, err := c.Call(context.Background(), address, forwardRequest(body))
				if err != nil || !bytes.Equal(reply.GetForward().GetBody(), body) {
					t.Errorf("caller %d: request %d failed or got the reply of another request: %v", n, i, err)
				}
			}
		})
	}
	wg.Wait()
}

// TestDeadlineIsPropagated guards against a handler that continues after the deadline of the caller, because the
// deadline is not sent to the peer.
func TestDeadlineIsPropagated(t *testing.T) {
	remaining := make(chan time.Duration, 1)
	address := startServer(t, Options{}, func(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
		deadline, _ := ctx.Deadline()
		remaining <- time.Until(deadline)
		return echo(ctx, req)
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	_, err := newClient(t, Options{}).Call(ctx, address, forwardRequest(nil))
	assert.NilError(t, err)
	got := <-remaining
	assert.Assert(t, got > 0 && got <= time.Hour, "handler has %v until its deadline, want at most 1h", got)
}
