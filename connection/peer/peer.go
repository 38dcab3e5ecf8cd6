// Package peer connects entry instances to each other. An instance opens one yamux session over TCP to each peer, with
// one stream for each message class, and matches protobuf requests and replies by ID. Since each class has its own
// stream, it has its own flow-control window, so that bulk state cannot delay a call. Apart from Transport,
// Certificates and the circuit breakers, values live as long as a connection.
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
	"github.com/lentiltide/lentiltide/request/recovery"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Version is the version of the message format. A peer refuses requests with a higher version.
const Version = 1

// Class is the message class; it determines the stream on which a message is sent.
type Class uint8

// The message classes. Each has its own flow-control window.
const (
	// ClassCall carries forwarded requests of API clients.
	ClassCall Class = iota
	// ClassControl carries offers, claims, reports and fences.
	ClassControl
	// ClassBulk carries summaries, usage, handover state and table ranges.
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

// Handler handles a request of a peer and returns the reply, which must not be nil. Each request that expects a reply
// is handled on its own goroutine; a message without a reply is handled on the goroutine that reads the stream. The
// context ends when the caller cancels the request, when the deadline of the request passes, or when the connection is
// lost.
type Handler func(ctx context.Context, req *peerpb.Request) *peerpb.Reply

// Caller sends requests to the instance at an address. Errors are of type *verdict.Error: NotRun if the request was
// certainly not sent or the peer reports NotRun, MayHaveRun otherwise.
type Caller interface {
	// Call sends a request and waits for the reply.
	Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Reply, error)
	// Send queues a message that has no reply. A nil error does not mean that the message was delivered.
	Send(ctx context.Context, address string, req *peerpb.Request) error
}

const (
	// quietPeriod is how long no call must have arrived or completed before connections may be closed.
	quietPeriod = 200 * time.Millisecond
	// quietPollInterval is how often AwaitQuiet checks for calls.
	quietPollInterval = 10 * time.Millisecond
)

// Options configures a Transport. The zero value connects over plain TCP to loopback addresses only.
type Options struct {
	// Certificates enables mutual TLS. If it is nil, only loopback addresses are dialled and served, unless
	// PrivateNetwork is set.
	Certificates *Certificates
	// PrivateNetwork permits plain TCP to and from addresses other than loopback, for deployments on a network that
	// connects only their own instances.
	PrivateNetwork bool
	// Dial replaces the TCP dialler in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnPanic, if not nil, is called with the value and the stack of a panic. A panic in a Handler costs only its request; one
	// in the decoding of messages costs the connection.
	OnPanic func(value any, stack []byte)
	// Seed seeds the jitter of the reconnection backoff.
	Seed uint64
}

// Transport manages the connections of one process to and from its peers.
//
// Locking: mu protects the fields below it; each endpoint has its own lock. No lock is held while a connection is
// dialled.
type Transport struct {
	opts   Options
	dial   func(ctx context.Context, address string) (net.Conn, error)
	ctx    context.Context
	cancel context.CancelFunc

	sent, received atomic.Uint64
	// lastCallAt is when a request of ClassCall last arrived or completed, in nanoseconds since the Unix epoch.
	// activeCalls is the number of requests of ClassCall in progress.
	lastCallAt, activeCalls atomic.Int64

	mu        sync.Mutex
	endpoints map[string]*endpoint
	sessions  map[*yamux.Session]struct{}
	closed    bool
	rng       *rand.Rand
}

var _ Caller = (*Transport)(nil)

// NewTransport returns a transport without connections. It dials over TCP unless opts.Dial is set.
func NewTransport(opts Options) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		opts: opts, dial: opts.Dial, ctx: ctx, cancel: cancel,
		endpoints: map[string]*endpoint{}, sessions: map[*yamux.Session]struct{}{},
		rng: rand.New(rand.NewPCG(opts.Seed, 1)),
	}
	if t.dial == nil {
		t.dial = t.dialTCP
	}
	return t
}

// dialTCP connects with mutual TLS. Without certificates it uses plain TCP, to a loopback address or with PrivateNetwork
// only.
func (t *Transport) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{}
	if t.opts.Certificates == nil {
		if !t.opts.PrivateNetwork && !IsLoopback(address) {
			return nil, errors.Newf("address %s is not a loopback address and no certificates are configured", address)
		}
		return dialer.DialContext(ctx, "tcp", address)
	}
	cfg := t.opts.Certificates.clientConfig()
	return (&tls.Dialer{NetDialer: dialer, Config: cfg}).DialContext(ctx, "tcp", address)
}

// Bytes returns the bytes written to and read from peers so far, excluding TCP and IP headers. With TLS, they are
// counted before encryption.
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

// connect returns the connection to an address and opens one if there is none.
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
	endpoints, sessions := t.endpoints, t.sessions
	t.endpoints, t.sessions = map[string]*endpoint{}, map[*yamux.Session]struct{}{}
	t.mu.Unlock()
	for _, e := range endpoints {
		e.close()
	}
	for s := range sessions {
		_ = s.Close()
	}
}

// Serve accepts connections until Accept fails, as it does once the listener is closed, and returns that error. A
// listener on an address other than loopback requires certificates or PrivateNetwork.
func (t *Transport) Serve(ctx context.Context, l net.Listener, handle Handler) error {
	if t.opts.Certificates == nil && !t.opts.PrivateNetwork && !IsLoopback(l.Addr().String()) {
		return errors.Newf("address %s is not a loopback address and no certificates are configured", l.Addr())
	}
	handle = t.trackCalls(handle)
	for {
		raw, err := l.Accept()
		if err != nil {
			return err
		}
		go recovery.Catch(t.opts.OnPanic, func() { t.serveConn(ctx, raw, handle) })
	}
}

// AwaitQuiet waits until no request of ClassCall is in progress and none has arrived or completed for quietPeriod, so
// that Close does not cut off a reply. It returns early when ctx ends.
func (t *Transport) AwaitQuiet(ctx context.Context) {
	t.lastCallAt.CompareAndSwap(0, time.Now().UnixNano())
	ticker := time.NewTicker(quietPollInterval)
	defer ticker.Stop()
	for t.activeCalls.Load() > 0 || time.Since(time.Unix(0, t.lastCallAt.Load())) < quietPeriod {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// trackCalls returns a handler that maintains activeCalls and lastCallAt for requests of ClassCall.
func (t *Transport) trackCalls(handle Handler) Handler {
	return func(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
		if ClassOf(req) != ClassCall {
			return handle(ctx, req)
		}
		t.activeCalls.Add(1)
		t.lastCallAt.Store(time.Now().UnixNano())
		defer func() {
			t.lastCallAt.Store(time.Now().UnixNano())
			t.activeCalls.Add(-1)
		}()
		return handle(ctx, req)
	}
}

// serveConn runs the TLS handshake if certificates are configured, and then serves the session until it ends.
func (t *Transport) serveConn(ctx context.Context, raw net.Conn, handle Handler) {
	defer raw.Close()
	if t.opts.Certificates != nil {
		tlsConn := tls.Server(raw, t.opts.Certificates.serverConfig())
		handshakeCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		err := tlsConn.HandshakeContext(handshakeCtx)
		cancel()
		if err != nil {
			return
		}
		raw = tlsConn
	}
	muxed, err := yamux.Server(t.wrapConn(raw), yamuxConfig())
	if err != nil {
		return
	}
	session := newMuxSession(muxed)
	if !t.trackSession(muxed) {
		_ = session.Close()
		return
	}
	defer t.untrackSession(muxed)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		// A session has one stream for each class. Further streams are closed, so that a peer cannot exhaust memory.
		if session.NumStreams() > int(numClasses) {
			_ = stream.Close()
			continue
		}
		go serveStream(ctx, session, stream, handle, t.opts.OnPanic)
	}
}

// trackSession adds an accepted session, which Close then closes. It returns false if the transport is closed.
func (t *Transport) trackSession(s *yamux.Session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.sessions[s] = struct{}{}
	return true
}

// untrackSession removes an accepted session and closes it.
func (t *Transport) untrackSession(s *yamux.Session) {
	t.mu.Lock()
	delete(t.sessions, s)
	t.mu.Unlock()
	_ = s.Close()
}

// IsLoopback reports whether the host of a host:port address is localhost or a loopback IP address.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || (ip != nil && ip.IsLoopback())
}
