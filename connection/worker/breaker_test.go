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

// TestBreakerOpensAndProbes guards against requests to a dead worker that each wait for their timeout, and against a
// breaker that stays open after the worker is back.
func TestBreakerOpensAndProbes(t *testing.T) {
	b := &breaker{}
	now := time.Unix(1000, 0)
	for range breakAfter {
		assert.NilError(t, b.allow(now))
		b.done(now, false)
	}
	err := b.allow(now)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	assert.Assert(t, verdict.From(err).RetryAfter > 0 && verdict.From(err).RetryAfter <= breakBase)
	now = now.Add(breakBase)
	assert.NilError(t, b.allow(now))
	assert.Equal(t, verdict.Of(b.allow(now)), verdict.NotRun)
	b.done(now, false)
	for range 20 {
		now = now.Add(breakMax)
		assert.NilError(t, b.allow(now))
		b.done(now, false)
	}
	now = now.Add(breakMax)
	assert.NilError(t, b.allow(now))
	b.done(now, true)
	assert.NilError(t, b.allow(now))
	assert.NilError(t, b.allow(now))
}

// TestDeadWorkerIsLeftAlone guards against a storm of requests to a worker that answers none, and against a breaker that
// one client has apart from the others of the same address.
func TestDeadWorkerIsLeftAlone(t *testing.T) {
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
	assert.Assert(t, requests.Load() < 50, "%d requests", requests.Load())
}

// TestRefusalIsAnAnswer guards against a worker that is cut off because it refuses requests, as a fenced one does.
func TestRefusalIsAnAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"verdict":"not_run","code":"fenced","message":"epoch"}`))
	}))
	defer server.Close()
	agent := NewDialer().Dial(server.URL)
	for range 3 * breakAfter {
		_, err := agent.Start(context.Background(), worker.StartRequest{})
		assert.Equal(t, verdict.From(err).Code, verdict.CodeFenced)
	}
}
