package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/wire"
)

// TestSlowCallersAreCutOff guards against callers that exhaust the connections of an instance with requests that they never
// complete.
func TestSlowCallersAreCutOff(t *testing.T) {
	c := newCluster(t, 1, 3)
	n := c.nodes[0]
	body := wire.JobBody(tasksPerJob, model.Resources{CPUMilli: 100, MemoryMiB: 10}, taskTime)
	c.submitUntilAccepted(n, "0000000000000000", body)
	requests := map[string]string{
		"header": "POST /jobs/0000000000000001 HTTP/1.1\r\nHost: " + testHost + "\r\nRemaining-",
		"body": "POST /jobs/0000000000000002 HTTP/1.1\r\nHost: " + testHost + "\r\nRemaining-Time: 500\r\n" +
			"Content-Length: 1000\r\n\r\n{",
	}
	conns := map[string]net.Conn{}
	for name, text := range requests {
		conn, err := net.Dial("tcp", n.callerAddress)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, text)
		assert.NilError(t, err)
		conns[name] = conn
	}
	for i := 3; i < 10; i++ {
		status, answer := c.call(n, http.MethodPost, fmt.Sprintf("%016x", i), body)
		assert.Equal(t, status, http.StatusOK, answer)
	}
	for name, conn := range conns {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(recoveryTimeout)))
		answer, err := io.ReadAll(conn)
		assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "incomplete %s: connection still open after %v, answer %q", name, recoveryTimeout, answer)
	}
	status, _ := c.call(n, http.MethodGet, "0000000000000002", "")
	assert.Equal(t, status, http.StatusGone)
}
