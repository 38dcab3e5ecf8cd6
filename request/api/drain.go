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
	// last is when the last request arrived, in nanoseconds since the Unix epoch.
	last atomic.Int64
}

// CloseConnections makes each answer close its connection, so that callers move to other instances before Stop.
func (s *Server) CloseConnections() { s.drain.closing.Store(true) }

// Stop refuses new requests as NotRun until none arrives any more, and then stops the server when the requests in flight
// have been answered. ctx bounds it.
func (s *Server) Stop(ctx context.Context) error {
	s.drain.closing.Store(true)
	s.drain.refusing.Store(true)
	s.drain.last.Store(time.Now().UnixNano())
	ticker := time.NewTicker(quietCheck)
	defer ticker.Stop()
	for time.Since(time.Unix(0, s.drain.last.Load())) < quietTime {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return s.http.Stop(ctx)
		}
	}
	return s.http.Stop(ctx)
}

// arrived notes a request and returns an error when it has to be refused. Requests that other instances forwarded are
// refused by the owner's check instead.
func (d *drain) arrived(c khttp.Context) error {
	if !d.closing.Load() || c.Request().Context().Value(forwardedKey{}) != nil {
		return nil
	}
	c.Response().Header().Set("Connection", "close")
	if !d.refusing.Load() {
		return nil
	}
	d.last.Store(time.Now().UnixNano())
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the instance stops").After(stopRetry)
}
