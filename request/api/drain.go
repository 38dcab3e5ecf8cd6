package api

import (
	"context"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// stopRetry is the retry time that callers get from an instance that stops.
	stopRetry = time.Second
	// quietTime is how long no request must have arrived before the listener is closed. A connection that the kernel has
	// accepted for a listener is reset when the listener is closed, and its caller cannot tell whether a request ran.
	quietTime = 200 * time.Millisecond
	// quietCheck is the time between looks at the last arrival.
	quietCheck = 10 * time.Millisecond
)

// drain is the state of a server that stops.
type drain struct {
	closing, refusing atomic.Bool
	// working counts the requests of callers that are not answered yet.
	working atomic.Int64
	// last is when the last request arrived or was answered, in nanoseconds since the Unix epoch. A caller who gets an
	// answer may come back at once.
	last atomic.Int64
}

// CloseConnections makes each answer close its connection, so that callers move to other instances before Stop.
func (s *Server) CloseConnections() { s.drain.closing.Store(true) }

// Stop refuses new requests as NotRun until those in flight have been answered and none arrives any more, and then stops
// the server. ctx bounds it.
func (s *Server) Stop(ctx context.Context) error {
	s.drain.closing.Store(true)
	s.drain.refusing.Store(true)
	s.drain.last.Store(time.Now().UnixNano())
	ticker := time.NewTicker(quietCheck)
	defer ticker.Stop()
	for s.drain.working.Load() > 0 || time.Since(time.Unix(0, s.drain.last.Load())) < quietTime {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return s.http.Stop(ctx)
		}
	}
	return s.http.Stop(ctx)
}

// begin notes a request of a caller; the returned function notes its answer. Requests that other instances forwarded are
// not counted: the owner's check refuses them.
func (d *drain) begin(c khttp.Context) (end func()) {
	if c.Request().Context().Value(forwardedKey{}) != nil {
		return func() {}
	}
	d.working.Add(1)
	d.last.Store(time.Now().UnixNano())
	if d.closing.Load() {
		c.Response().Header().Set("Connection", "close")
	}
	return func() {
		d.last.Store(time.Now().UnixNano())
		d.working.Add(-1)
	}
}

// refuse returns an error for a request of a caller while the server stops.
func (d *drain) refuse(c khttp.Context) error {
	if !d.refusing.Load() || c.Request().Context().Value(forwardedKey{}) != nil {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the instance stops").After(stopRetry)
}
