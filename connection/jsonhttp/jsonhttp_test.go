package jsonhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/request/verdict"
)

// TestRetriedRequestIsMayHaveRun guards against a NotRun verdict for a request that was sent and lost its connection.
// net/http retries a request with an Idempotency-Key, and the retry fails to connect because the listener is closed by
// then.
func TestRetriedRequestIsMayHaveRun(t *testing.T) {
	var s *httptest.Server
	var firstAnswered bool
	var closeListener sync.Once
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !firstAnswered {
			firstAnswered = true
			_, _ = w.Write([]byte("{}"))
			return
		}
		closeListener.Do(func() { _ = s.Listener.Close() })
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	c := NewClient(s.URL, nil)
	send := func() error {
		header := http.Header{"Idempotency-Key": {"k"}}
		_, err := c.Do(context.Background(), http.MethodPost, "/", header, []byte("{}"), nil)
		return err
	}
	assert.NilError(t, send())
	assert.Equal(t, verdict.Of(send()), verdict.MayHaveRun)
	s.Close()
	assert.Equal(t, verdict.Of(send()), verdict.NotRun)
}
