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

// TestRepeatedRequestIsNotNotRun guards against NotRun for a request with an Idempotency-Key that was sent, lost its
// connection, and was repeated by the HTTP client while nobody listened any more.
func TestRepeatedRequestIsNotNotRun(t *testing.T) {
	var s *httptest.Server
	var second bool
	var once sync.Once
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !second {
			second = true
			_, _ = w.Write([]byte("{}"))
			return
		}
		once.Do(func() { _ = s.Listener.Close() })
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	c := NewClient(s.URL, nil)
	call := func() error {
		header := http.Header{"Idempotency-Key": {"k"}}
		_, err := c.Do(context.Background(), http.MethodPost, "/", header, []byte("{}"), nil)
		return err
	}
	assert.NilError(t, call())
	assert.Equal(t, verdict.Of(call()), verdict.MayHaveRun)
	s.Close()
	assert.Equal(t, verdict.Of(call()), verdict.NotRun)
}
