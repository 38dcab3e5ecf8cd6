package peer

import (
	"context"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// dialTimeout limits a connection attempt to a peer, and the TLS handshake of an accepted connection.
	dialTimeout = 2 * time.Second
	// backoffBase and backoffMax bound the time between connection attempts to one address. The maximum is below the
	// TTL of an instance's session, so that a peer that returns is reached again before its partitions move to other
	// instances.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
	// minStableLifetime is how long a connection must have lasted for its loss not to count as a failed attempt. A peer
	// that accepts and immediately resets connections would otherwise be dialled in a tight loop.
	minStableLifetime = time.Second
)

// endpoint holds the connection to one address and the circuit breaker for its connection attempts.
type endpoint struct {
	transport *Transport
	address   string

	// mu protects the fields below. attempt is the connection attempt in progress, failures counts consecutive
	// failures, and retryAt is when the breaker allows the next attempt.
	mu          sync.Mutex
	conn        *conn
	connectedAt time.Time
	attempt     *attempt
	failures    int
	retryAt     time.Time
	lastErr     error
}

// attempt is a connection attempt that any number of calls can wait for. conn and err are set before done is closed.
type attempt struct {
	done chan struct{}
	conn *conn
	err  error
}

// connect returns the open connection, or waits for the attempt in progress or a new one. While the breaker is open, it
// fails without an attempt.
func (e *endpoint) connect(ctx context.Context) (*conn, error) {
	e.mu.Lock()
	if e.conn != nil && !e.conn.isClosed() {
		defer e.mu.Unlock()
		return e.conn, nil
	}
	now := time.Now()
	if e.conn != nil {
		e.recordLostConnection(now)
	}
	if wait := e.retryAt.Sub(now); wait > 0 && e.attempt == nil {
		defer e.mu.Unlock()
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "peer %s failed %d times: %v", e.address, e.failures, e.lastErr).WithRetryAfter(wait)
	}
	if e.attempt == nil {
		e.attempt = &attempt{done: make(chan struct{})}
		go e.dial(e.attempt)
	}
	a := e.attempt
	e.mu.Unlock()
	select {
	case <-a.done:
	case <-ctx.Done():
		return nil, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeUnavailable, "connect to peer")
	}
	if a.err != nil {
		return nil, verdict.Wrap(a.err, verdict.NotRun, verdict.CodeUnavailable, "connect to peer").WithRetryAfter(backoffBase)
	}
	return a.conn, nil
}

// recordLostConnection removes a failed connection and counts a failure if it was short-lived. Callers hold e.mu.
func (e *endpoint) recordLostConnection(now time.Time) {
	if now.Sub(e.connectedAt) < minStableLifetime {
		e.recordFailure(now, e.conn.session.closeError())
	} else {
		e.failures = 0
	}
	e.conn = nil
}

// recordFailure opens the breaker for a time that doubles with each consecutive failure. Callers hold e.mu.
func (e *endpoint) recordFailure(now time.Time, err error) {
	wait := min(backoffMax, backoffBase<<min(e.failures, 10))
	e.failures++
	e.lastErr = err
	e.retryAt = now.Add(e.transport.jitter(wait))
}

// dial runs one connection attempt. It does not use the context of the call that started it, since other calls wait for
// the same attempt.
func (e *endpoint) dial(a *attempt) {
	ctx, cancel := context.WithTimeout(e.transport.ctx, dialTimeout)
	defer cancel()
	raw, err := e.transport.dial(ctx, e.address)
	if err == nil {
		a.conn, err = newConn(e.transport.wrapConn(raw), e.transport.opts.OnPanic)
		if err != nil {
			_ = raw.Close()
		}
	}
	a.err = err
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(a.done)
	now := time.Now()
	e.attempt = nil
	if err != nil {
		e.recordFailure(now, err)
		return
	}
	if e.transport.ctx.Err() != nil {
		a.conn.close()
	}
	e.conn, e.connectedAt = a.conn, now
}

func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		e.conn.close()
	}
}
