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

// pollTimeout bounds waits in tests; it is no performance bound.
const pollTimeout = time.Minute

func forward(body []byte) *peerpb.Request {
	return &peerpb.Request{Body: &peerpb.Request_Forward{Forward: &peerpb.Forward{Body: body}}}
}

func bulk(size int) *peerpb.Request {
	return &peerpb.Request{Body: &peerpb.Request_Handover{Handover: &peerpb.Handover{State: make([]byte, size)}}}
}

// echo answers a forward with its body.
func echo(_ context.Context, req *peerpb.Request) *peerpb.Reply {
	return &peerpb.Reply{Body: &peerpb.Reply_Forward{Forward: &peerpb.ForwardReply{Body: req.GetForward().GetBody()}}}
}

// serve starts a server and returns its address.
func serve(t *testing.T, opts Options, handle Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewTransport(opts)
	go func() { _ = server.Serve(context.Background(), l, handle) }()
	t.Cleanup(func() { _ = l.Close(); server.Close() })
	return l.Addr().String()
}

func client(t *testing.T, opts Options) *Transport {
	t.Helper()
	c := NewTransport(opts)
	t.Cleanup(c.Close)
	return c
}

// serveRaw accepts connections and hands each with its number to f.
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

// TestSlowDialDoesNotBlockOthers guards against a lock held while a connection to an unreachable peer is attempted.
func TestSlowDialDoesNotBlockOthers(t *testing.T) {
	address := serve(t, Options{}, echo)
	dialling := make(chan struct{})
	c := client(t, Options{Dial: func(ctx context.Context, to string) (net.Conn, error) {
		if to == "unreachable" {
			close(dialling)
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return net.Dial("tcp", to)
	}})
	go func() { _, _ = c.Call(context.Background(), "unreachable", forward(nil)) }()
	<-dialling
	reply, err := c.Call(context.Background(), address, forward([]byte("lane 4")))
	assert.NilError(t, err)
	assert.Equal(t, string(reply.GetForward().GetBody()), "lane 4")
}

// TestTooLargeRequestIsNotRun guards against MayHaveRun, and against a lost connection, for a request that is not sent.
func TestTooLargeRequestIsNotRun(t *testing.T) {
	c := client(t, Options{})
	address := serve(t, Options{}, echo)
	_, err := c.Call(context.Background(), address, forward(make([]byte, maxMessageBytes+1)))
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	_, err = c.Call(context.Background(), address, forward(nil))
	assert.NilError(t, err)
}

// TestTooLargeReplyIsAnswered guards against a caller that waits for its deadline because the answer cannot be sent.
func TestTooLargeReplyIsAnswered(t *testing.T) {
	c := client(t, Options{})
	address := serve(t, Options{}, func(context.Context, *peerpb.Request) *peerpb.Reply {
		return &peerpb.Reply{Body: &peerpb.Reply_Forward{Forward: &peerpb.ForwardReply{Body: make([]byte, maxMessageBytes+1)}}}
	})
	_, err := c.Call(context.Background(), address, forward(nil))
	assert.Equal(t, verdict.From(err).Code, verdict.CodeInternal)
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
}

// stalled is a peer whose streams of the given class are never read; the others are served.
func stalled(t *testing.T, class Class, handle Handler) string {
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
				go serveStream(context.Background(), session, stream, handle)
			}
		}
	})
}

// TestStalledBulkDoesNotDelayCall guards against one flow-control window for all classes.
func TestStalledBulkDoesNotDelayCall(t *testing.T) {
	c := client(t, Options{})
	address := stalled(t, ClassBulk, echo)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 4 {
		// Each message alone exceeds the window of 256 KiB.
		wg.Go(func() { _, _ = c.Call(ctx, address, bulk(1<<20)) })
	}
	for i := range 100 {
		body := []byte(fmt.Sprint("call ", i))
		reply, err := c.Call(context.Background(), address, forward(body))
		assert.NilError(t, err)
		assert.DeepEqual(t, reply.GetForward().GetBody(), body)
	}
	cancel()
	wg.Wait()
}

// TestUnsentRequestIsNotRun guards against MayHaveRun for a request that was still queued when its caller gave up.
func TestUnsentRequestIsNotRun(t *testing.T) {
	c := client(t, Options{})
	address := stalled(t, ClassCall, echo)
	first, cancelFirst := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := c.Call(first, address, forward(make([]byte, 1<<20)))
		done <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		// The window of the stream is 256 KiB; the writer waits once it is used up.
		if sent, _ := c.Bytes(); sent < 256<<10 {
			return poll.Continue("%d bytes are sent", sent)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
	second, cancelSecond := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancelSecond)
	_, err := c.Call(second, address, forward([]byte("second")))
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	cancelFirst()
	assert.Equal(t, verdict.Of(<-done), verdict.MayHaveRun)
}

// TestResetInMidAnswer guards against NotRun for a request whose answer was cut off, and against a connection that stays
// in use after it.
func TestResetInMidAnswer(t *testing.T) {
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
				go serveStream(context.Background(), session, stream, echo)
				continue
			}
			go func() {
				if newReader(stream).read(&peerpb.Request{}) != nil {
					return
				}
				_, _ = stream.Write([]byte{0, 0, 1, 0, 'h', 'a', 'l', 'f'})
				_ = raw.(*net.TCPConn).SetLinger(0)
				_ = raw.Close()
			}()
		}
	})
	c := client(t, Options{})
	_, err := c.Call(context.Background(), address, forward([]byte("charge")))
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := c.Call(context.Background(), address, forward(nil)); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout), poll.WithDelay(10*time.Millisecond))
}

// TestHalfOpenPeer guards against calls that keep going to a connection whose other end has vanished without a reset.
func TestHalfOpenPeer(t *testing.T) {
	var frozen atomic.Bool
	address := serveRaw(t, func(n int, raw net.Conn) {
		if n == 0 {
			// The first connection is accepted and never read, as by a paused process.
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
			go serveStream(context.Background(), session, stream, echo)
		}
	})
	c := client(t, Options{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		if _, err := c.Call(ctx, address, forward(nil)); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
	assert.Assert(t, frozen.Load())
}

// TestDamagedLengthIsRefused guards against a length that would exhaust memory.
func TestDamagedLengthIsRefused(t *testing.T) {
	err := newReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff})).read(&peerpb.Reply{})
	assert.ErrorContains(t, err, "exceeds")
	err = newReader(bytes.NewReader([]byte{0, 0, 0, 9, 1})).read(&peerpb.Reply{})
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}

// TestBreakerBoundsDials guards against a storm of connection attempts to a peer that is down.
func TestBreakerBoundsDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		c := NewTransport(Options{Seed: 1, Dial: func(context.Context, string) (net.Conn, error) {
			dials++
			return nil, errors.New("refused")
		}})
		defer c.Close()
		for range 10_000 {
			_, err := c.Call(context.Background(), "peer", forward(nil))
			assert.Equal(t, verdict.Of(err), verdict.NotRun)
			time.Sleep(time.Millisecond)
		}
		// Each wait is between half of a doubling time and the whole of it, so ten seconds hold 10 to 20 attempts.
		assert.Assert(t, dials >= 8 && dials <= 20, "%d attempts", dials)
	})
}

// TestResetLoopBacksOff guards against a tight loop of connections to a peer that accepts and resets each of them.
func TestResetLoopBacksOff(t *testing.T) {
	var accepted atomic.Int64
	address := serveRaw(t, func(_ int, raw net.Conn) {
		accepted.Add(1)
		_ = raw.Close()
	})
	c := client(t, Options{Seed: 1})
	for range 2000 {
		_, _ = c.Call(context.Background(), address, forward(nil))
	}
	e := c.endpoints[address]
	assert.Assert(t, accepted.Load() < 1000, "%d connections", accepted.Load())
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Assert(t, e.failures > 0)
}

// TestCancelReachesHandler guards against a handler that keeps working for a caller who has gone away.
func TestCancelReachesHandler(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	address := serve(t, Options{}, func(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
		close(started)
		<-ctx.Done()
		close(ended)
		return &peerpb.Reply{}
	})
	c := client(t, Options{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	_, err := c.Call(ctx, address, forward(nil))
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	<-ended
}

// TestInFlightIsBounded guards against requests that pile up without limit at a slow peer.
func TestInFlightIsBounded(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, Options{}, func(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
		<-release
		return echo(ctx, req)
	})
	c := client(t, Options{})
	var wg sync.WaitGroup
	var refused, answered atomic.Int64
	for range maxInFlight + 100 {
		wg.Go(func() {
			_, err := c.Call(context.Background(), address, forward(nil))
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

// TestAnswersReachTheirCallers guards against crossed, late or cut answers of many callers on one connection.
func TestAnswersReachTheirCallers(t *testing.T) {
	address := serve(t, Options{}, func(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
		time.Sleep(time.Duration(len(req.GetForward().GetBody())%7) * time.Millisecond)
		return echo(ctx, req)
	})
	c := client(t, Options{})
	var wg sync.WaitGroup
	for n := range 64 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(7, uint64(n)))
			for i := range 20 {
				body := bytes.Repeat([]byte(fmt.Sprintf("%d/%d;", n, i)), 1+rng.IntN(5000))
				reply, err := c.Call(context.Background(), address, forward(body))
				if err != nil || !bytes.Equal(reply.GetForward().GetBody(), body) {
					t.Errorf("caller %d got another answer or %v", n, err)
				}
			}
		})
	}
	wg.Wait()
}

// TestDeadlineTravels guards against work at a peer beyond the deadline of the caller.
func TestDeadlineTravels(t *testing.T) {
	left := make(chan time.Duration, 1)
	address := serve(t, Options{}, func(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
		deadline, _ := ctx.Deadline()
		left <- time.Until(deadline)
		return echo(ctx, req)
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	_, err := client(t, Options{}).Call(ctx, address, forward(nil))
	assert.NilError(t, err)
	got := <-left
	assert.Assert(t, got > 0 && got <= time.Hour, "%v", got)
}
