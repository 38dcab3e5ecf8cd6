package api

import (
	"context"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// stopRetryAfter is the retry delay that callers receive while the instance stops.
	stopRetryAfter = time.Second
	// quietPeriod is the time without an arriving or answered request that must pass before the listener is closed. A
	// connection that the kernel has accepted for a listener is reset when the listener is closed, and its caller
	// cannot determine whether a request ran.
	quietPeriod = 200 * time.Millisecond
	// quietPollInterval is the interval at which Stop checks for the end of the quiet period.
	quietPollInterval = 10 * time.Millisecond
)

// drainState is the state of the graceful shutdown of a server.
type drainState struct {
	closeConnections, refuseRequests atomic.Bool
	// unanswered counts the callers' requests that have not been answered.
	unanswered atomic.Int64
	// lastActivity is when the last request arrived or was answered, in nanoseconds since the Unix epoch. Answers count
	// because the caller may send its next request immediately.
	lastActivity atomic.Int64
}

// CloseConnections makes each response close its connection, so that callers move to other instances before Stop.
func (s *Server) CloseConnections() { s.drain.closeConnections.Store(true) }

// Stop refuses new requests as NotRun until all requests in flight have been answered and no request has arrived or been
// answered for quietPeriod, or until ctx ends, and then stops the server.
func (s *Server) Stop(ctx context.Context) error {
	s.drain.closeConnections.Store(true)
	s.drain.refuseRequests.Store(true)
	s.drain.lastActivity.Store(time.Now().UnixNano())
	ticker := time.NewTicker(quietPollInterval)
	defer ticker.Stop()
	for s.drain.unanswered.Load() > 0 || time.Since(time.Unix(0, s.drain.lastActivity.Load())) < quietPeriod {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return s.http.Stop(ctx)
		}
	}
	return s.http.Stop(ctx)
}

// beginRequest records the arrival of a caller's request; the returned function records that it was answered. Requests
// forwarded by other instances are not counted: the owner's check refuses them.
func (d *drainState) beginRequest(c khttp.Context) (end func()) {
	if c.Request().Context().Value(forwardedKey{}) != nil {
		return func() {}
	}
	d.unanswered.Add(1)
	d.lastActivity.Store(time.Now().UnixNano())
	if d.closeConnections.Load() {
		c.Response().Header().Set("Connection", "close")
	}
	return func() {
		d.lastActivity.Store(time.Now().UnixNano())
		d.unanswered.Add(-1)
	}
}

// checkAccepting returns an error for a caller's request if the server is stopping.
func (d *drainState) checkAccepting(c khttp.Context) error {
	if !d.refuseRequests.Load() || c.Request().Context().Value(forwardedKey{}) != nil {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the instance stops").WithRetryAfter(stopRetryAfter)
}
