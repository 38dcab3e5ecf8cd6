package peer

import (
	"context"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// dialTimeout bounds a connection attempt to a peer.
	dialTimeout = 2 * time.Second
	// backoffBase and backoffMax bound the time between connection attempts to one address. The largest is below the term
	// of a session, so that a peer that returns is reached again before its partitions move.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
	// stableAfter is how long a connection must have lasted for its loss not to count as a failed attempt. A peer that
	// accepts and resets at once would otherwise be dialled in a tight loop.
	stableAfter = time.Second
)

// endpoint is the circuit breaker and the connection of one address.
type endpoint struct {
	transport *Transport
	address   string

	mu       sync.Mutex
	conn     *conn
	opened   time.Time
	attempt  *attempt
	failures int
	retryAt  time.Time
	lastErr  error
}

// attempt is one connection attempt that any number of calls wait for.
type attempt struct {
	done chan struct{}
	conn *conn
	err  error
}

// connect returns the open connection, joins the attempt in progress, or starts one. While the breaker is open it fails
// at once.
func (e *endpoint) connect(ctx context.Context) (*conn, error) {
	e.mu.Lock()
	if e.conn != nil && !e.conn.failed() {
		defer e.mu.Unlock()
		return e.conn, nil
	}
	now := time.Now()
	if e.conn != nil {
		e.lost(now)
	}
	if wait := e.retryAt.Sub(now); wait > 0 && e.attempt == nil {
		defer e.mu.Unlock()
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "peer %s failed %d times: %v", e.address, e.failures, e.lastErr).After(wait)
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
		return nil, verdict.Wrap(a.err, verdict.NotRun, verdict.CodeUnavailable, "connect to peer").After(backoffBase)
	}
	return a.conn, nil
}

// lost notes that the connection has failed. Callers hold e.mu.
func (e *endpoint) lost(now time.Time) {
	if now.Sub(e.opened) < stableAfter {
		e.failed(now, e.conn.session.err())
	} else {
		e.failures = 0
	}
	e.conn = nil
}

// failed opens the breaker for a time that doubles with each failure. Callers hold e.mu.
func (e *endpoint) failed(now time.Time, err error) {
	wait := min(backoffMax, backoffBase<<min(e.failures, 10))
	e.failures++
	e.lastErr = err
	e.retryAt = now.Add(e.transport.jitter(wait))
}

// dial runs one attempt. It is not bound to the caller that started it, since others wait for it as well.
func (e *endpoint) dial(a *attempt) {
	ctx, cancel := context.WithTimeout(e.transport.ctx, dialTimeout)
	defer cancel()
	raw, err := e.transport.dial(ctx, e.address)
	if err == nil {
		a.conn, err = newConn(e.transport.count(raw))
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
		e.failed(now, err)
		return
	}
	if e.transport.ctx.Err() != nil {
		a.conn.close()
	}
	e.conn, e.opened = a.conn, now
}

func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		e.conn.close()
	}
}
