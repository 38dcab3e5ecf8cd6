// Package peer connects entry instances to each other: one yamux session over TCP for each pair, one stream for each
// class of messages, protobuf messages matched by id. Each class has its own stream and therefore its own flow-control
// window, so that bulk state cannot delay a call. Values live as long as a connection, but for Transport.
package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Version is the version of the messages. A peer refuses requests of a higher version.
const Version = 1

// Class selects the stream of a message.
type Class uint8

// The message classes. Each has its own flow-control window.
const (
	// ClassCall carries callers' requests.
	ClassCall Class = iota
	// ClassControl carries offers, claims, reports and fences.
	ClassControl
	// ClassBulk carries summaries and hand-over state.
	ClassBulk
	numClasses
)

// ClassOf returns the class of a request.
func ClassOf(req *peerpb.Request) Class {
	switch req.GetBody().(type) {
	case *peerpb.Request_Forward:
		return ClassCall
	case *peerpb.Request_Summaries, *peerpb.Request_Usages, *peerpb.Request_Handover, *peerpb.Request_TableRange:
		return ClassBulk
	default:
		return ClassControl
	}
}

// Handler answers a request of a peer. It is called on a goroutine of its own and never returns nil. Its context ends
// when the sender gives up, when the deadline of the request passes, or when the connection is lost.
type Handler func(ctx context.Context, req *peerpb.Request) *peerpb.Reply

// Caller sends requests to the instance at an address. Errors are *verdict.Error: NotRun when the request was certainly
// not sent or the peer says so, MayHaveRun otherwise.
type Caller interface {
	// Call waits for the reply.
	Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Reply, error)
	// Send queues a message that has no reply. A nil error does not say that the message arrived.
	Send(ctx context.Context, address string, req *peerpb.Request) error
}

const (
	// quietTime is how long no call must have arrived or been answered before connections may be closed.
	quietTime = 200 * time.Millisecond
	// quietCheck is the time between looks at the last call.
	quietCheck = 10 * time.Millisecond
)

// Options configures a Transport. The zero value connects over plain TCP to loopback addresses only.
type Options struct {
	// Certificates enables mutual TLS. Without it only loopback addresses are dialled and served.
	Certificates *Certificates
	// PrivateNetwork permits plain TCP beyond loopback, for deployments whose network connects only their own instances.
	PrivateNetwork bool
	// Dial replaces the TCP dialler in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Seed seeds the jitter of reconnections.
	Seed uint64
}

// Transport keeps the connections of one process. See NewTransport.
//
// Locking: mu protects the maps; each endpoint has a lock of its own. No lock is held while a connection is dialled.
type Transport struct {
	opts   Options
	dial   func(ctx context.Context, address string) (net.Conn, error)
	ctx    context.Context
	cancel context.CancelFunc

	sent, received atomic.Uint64
	// lastCall is when the last request of ClassCall arrived, in nanoseconds since the Unix epoch; calls counts those that
	// are handled now.
	lastCall, calls atomic.Int64

	mu        sync.Mutex
	endpoints map[string]*endpoint
	served    map[*yamux.Session]struct{}
	closed    bool
	rng       *rand.Rand
}

var _ Caller = (*Transport)(nil)

// NewTransport returns a transport that connects over TCP.
func NewTransport(opts Options) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		opts: opts, dial: opts.Dial, ctx: ctx, cancel: cancel,
		endpoints: map[string]*endpoint{}, served: map[*yamux.Session]struct{}{},
		rng: rand.New(rand.NewPCG(opts.Seed, 1)),
	}
	if t.dial == nil {
		t.dial = t.dialTCP
	}
	return t
}

// dialTCP connects with mutual TLS, or in plain text to a loopback address.
func (t *Transport) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{}
	if t.opts.Certificates == nil {
		if !t.opts.PrivateNetwork && !IsLoopback(address) {
			return nil, errors.Newf("address %s is not a loopback address and no certificates are configured", address)
		}
		return dialer.DialContext(ctx, "tcp", address)
	}
	cfg := t.opts.Certificates.client()
	return (&tls.Dialer{NetDialer: dialer, Config: cfg}).DialContext(ctx, "tcp", address)
}

// Bytes returns the bytes written to and read from peers so far, without the headers of TCP and IP.
func (t *Transport) Bytes() (sent, received uint64) { return t.sent.Load(), t.received.Load() }

// Call implements Caller.
func (t *Transport) Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Reply, error) {
	c, err := t.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, err := c.call(ctx, req)
	if err != nil {
		return nil, err
	}
	if err := ErrorFromProto(reply.GetError()); err != nil {
		return nil, err
	}
	return reply, nil
}

// Send implements Caller.
func (t *Transport) Send(ctx context.Context, address string, req *peerpb.Request) error {
	c, err := t.connect(ctx, address)
	if err != nil {
		return err
	}
	return c.streams[ClassOf(req)].send(req)
}

// connect returns the connection to an address, opening one if there is none.
func (t *Transport) connect(ctx context.Context, address string) (*conn, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "transport is closed")
	}
	e := t.endpoints[address]
	if e == nil {
		e = &endpoint{transport: t, address: address}
		t.endpoints[address] = e
	}
	t.mu.Unlock()
	return e.connect(ctx)
}

// jitter returns a random duration between half of d and d.
func (t *Transport) jitter(d time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return d/2 + time.Duration(t.rng.Int64N(int64(d/2)+1))
}

// Close closes all connections.
func (t *Transport) Close() {
	t.cancel()
	t.mu.Lock()
	t.closed = true
	endpoints, served := t.endpoints, t.served
	t.endpoints, t.served = map[string]*endpoint{}, map[*yamux.Session]struct{}{}
	t.mu.Unlock()
	for _, e := range endpoints {
		e.close()
	}
	for s := range served {
		_ = s.Close()
	}
}

// Serve accepts connections until the listener or the transport is closed. A listener on an address beyond loopback
// needs certificates.
func (t *Transport) Serve(ctx context.Context, l net.Listener, handle Handler) error {
	if t.opts.Certificates == nil && !t.opts.PrivateNetwork && !IsLoopback(l.Addr().String()) {
		return errors.Newf("address %s is not a loopback address and no certificates are configured", l.Addr())
	}
	handle = t.countCalls(handle)
	for {
		raw, err := l.Accept()
		if err != nil {
			return err
		}
		go t.serveConn(ctx, raw, handle)
	}
}

// AwaitQuiet waits until no peer has sent a request of ClassCall for quietTime and none is handled, so that no answer is
// cut off by Close; ctx bounds it.
func (t *Transport) AwaitQuiet(ctx context.Context) {
	t.lastCall.CompareAndSwap(0, time.Now().UnixNano())
	ticker := time.NewTicker(quietCheck)
	defer ticker.Stop()
	for t.calls.Load() > 0 || time.Since(time.Unix(0, t.lastCall.Load())) < quietTime {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// countCalls returns a handler that notes the requests of ClassCall.
func (t *Transport) countCalls(handle Handler) Handler {
	return func(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
		if ClassOf(req) != ClassCall {
			return handle(ctx, req)
		}
		t.calls.Add(1)
		t.lastCall.Store(time.Now().UnixNano())
		defer func() {
			t.lastCall.Store(time.Now().UnixNano())
			t.calls.Add(-1)
		}()
		return handle(ctx, req)
	}
}

func (t *Transport) serveConn(ctx context.Context, raw net.Conn, handle Handler) {
	defer raw.Close()
	if t.opts.Certificates != nil {
		secured := tls.Server(raw, t.opts.Certificates.server())
		handshake, cancel := context.WithTimeout(ctx, dialTimeout)
		err := secured.HandshakeContext(handshake)
		cancel()
		if err != nil {
			return
		}
		raw = secured
	}
	session, err := yamux.Server(t.count(raw), yamuxConfig())
	if err != nil {
		return
	}
	if !t.track(session) {
		_ = session.Close()
		return
	}
	defer t.untrack(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		// A session has one stream for each class; more are refused, so that a peer cannot exhaust memory.
		if session.NumStreams() > int(numClasses) {
			_ = stream.Close()
			continue
		}
		go serveStream(ctx, session, stream, handle)
	}
}

func (t *Transport) track(s *yamux.Session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.served[s] = struct{}{}
	return true
}

func (t *Transport) untrack(s *yamux.Session) {
	t.mu.Lock()
	delete(t.served, s)
	t.mu.Unlock()
	_ = s.Close()
}

// IsLoopback reports whether host:port names a loopback address.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || (ip != nil && ip.IsLoopback())
}
