// Package peer connects entry instances to each other: one yamux session over TCP for each pair, one stream for each
// class of messages, protobuf messages matched by id. Each class has its own stream and therefore its own flow-control
// window, so that bulk state cannot delay a call. Values live as long as a connection, but for Transport.
package peer

import (
	"context"
	"net"
	"sync"

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
	case *peerpb.Request_Summary, *peerpb.Request_Handover:
		return ClassBulk
	default:
		return ClassControl
	}
}

// Handler answers a request of a peer. It is called on a goroutine of its own and never returns nil.
type Handler func(ctx context.Context, req *peerpb.Request) *peerpb.Reply

// Caller sends a request to the instance at an address and waits for its reply.
// Errors are *verdict.Error: NotRun when the request was certainly not sent, MayHaveRun otherwise.
type Caller interface {
	Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Reply, error)
}

// Transport keeps the connections of one process. The zero value is not usable; see NewTransport.
type Transport struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	conns  map[string]*conn
	served map[*yamux.Session]struct{}
	closed bool
}

var _ Caller = (*Transport)(nil)

// NewTransport returns a transport that connects over TCP.
func NewTransport() *Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Transport{
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		conns:  map[string]*conn{},
		served: map[*yamux.Session]struct{}{},
	}
}

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

// connect returns the connection to an address, opening one if there is none.
func (t *Transport) connect(ctx context.Context, address string) (*conn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "transport is closed")
	}
	if c := t.conns[address]; c != nil && !c.failed() {
		return c, nil
	}
	raw, err := t.dial(ctx, address)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "connect to peer")
	}
	c, err := newConn(raw)
	if err != nil {
		_ = raw.Close()
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "open peer session")
	}
	t.conns[address] = c
	return c, nil
}

// Close closes all connections.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, c := range t.conns {
		c.close()
	}
	for s := range t.served {
		_ = s.Close()
	}
}

// Serve accepts connections until the listener or the transport is closed.
func (t *Transport) Serve(ctx context.Context, l net.Listener, handle Handler) error {
	for {
		raw, err := l.Accept()
		if err != nil {
			return err
		}
		go t.serveConn(ctx, raw, handle)
	}
}

func (t *Transport) serveConn(ctx context.Context, raw net.Conn, handle Handler) {
	session, err := yamux.Server(raw, yamuxConfig())
	if err != nil {
		_ = raw.Close()
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
		go serveStream(ctx, stream, handle)
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
	defer t.mu.Unlock()
	delete(t.served, s)
	_ = s.Close()
}
