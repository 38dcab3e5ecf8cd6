package worker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/worker"
)

// TestBreakerOpensAndProbes guards against requests to a dead worker that each wait until their timeout, and against a
// breaker that stays open after the worker replies again.
func TestBreakerOpensAndProbes(t *testing.T) {
	b := &breaker{}
	now := time.Unix(1000, 0)
	for range failureThreshold {
		assert.NilError(t, b.allow(now))
		b.recordResult(now, false)
	}
	err := b.allow(now)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	assert.Assert(t, verdict.From(err).RetryAfter > 0 && verdict.From(err).RetryAfter <= baseBackoff)
	now = now.Add(baseBackoff)
	assert.NilError(t, b.allow(now))
	assert.Equal(t, verdict.Of(b.allow(now)), verdict.NotRun)
	b.recordResult(now, false)
	for range 20 {
		now = now.Add(maxBackoff)
		assert.NilError(t, b.allow(now))
		b.recordResult(now, false)
	}
	now = now.Add(maxBackoff)
	assert.NilError(t, b.allow(now))
	b.recordResult(now, true)
	assert.NilError(t, b.allow(now))
	assert.NilError(t, b.allow(now))
}

// TestBreakerIsSharedByClientsOfAnAddress guards against excessive requests to a worker that does not reply, and
// against clients of the same address that each have their own breaker.
func TestBreakerIsSharedByClientsOfAnAddress(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	d := NewDialer()
	for range 100 {
		_, err := d.Dial(server.URL).Start(context.Background(), worker.StartRequest{})
		assert.Assert(t, err != nil)
	}
	assert.Assert(t, requests.Load() < 50, "%d of 100 requests were sent, want fewer than 50", requests.Load())
}

// TestRefusalDoesNotOpenTheBreaker guards against a breaker that opens because the worker refuses requests, for
// instance with the code fenced.
func TestRefusalDoesNotOpenTheBreaker(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"verdict":"not_run","code":"fenced","message":"epoch"}`))
	}))
	defer server.Close()
	agent := NewDialer().Dial(server.URL)
	for range 3 * failureThreshold {
		_, err := agent.Start(context.Background(), worker.StartRequest{})
		assert.Equal(t, verdict.From(err).Code, verdict.CodeFenced)
	}
}
