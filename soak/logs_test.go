package soak

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/wire"
)

// jobsWithoutReader is the number of jobs that run while nothing reads the log. Their log lines exceed the capacity of a pipe
// (64 KiB).
const jobsWithoutReader = 150

// TestRequestsGoOnWithoutLogReader guards against a process that exits or blocks because the reader of its standard output has
// closed the pipe or stopped reading.
func TestRequestsGoOnWithoutLogReader(t *testing.T) {
	cases := map[string]func(reader *os.File){
		"reader gone":    func(reader *os.File) { _ = reader.Close() },
		"reader stalled": func(*os.File) {},
	}
	for name, stopReading := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 6)
			n := c.nodes[0]
			n.signal(syscall.SIGKILL)
			<-n.exited
			reader, writer, err := os.Pipe()
			assert.NilError(t, err)
			t.Cleanup(func() { _ = reader.Close() })
			c.startWith(n, writer)
			body := wire.JobBody(tasksPerJob, model.Resources{CPUMilli: 100, MemoryMiB: 10}, taskTime)
			c.submitUntilAccepted(n, "0000000000000000", body)
			stopReading(reader)
			for i := 1; i <= jobsWithoutReader; i++ {
				status, answer := c.call(n, http.MethodPost, fmt.Sprintf("%016x", i), body)
				assert.Equal(t, status, http.StatusOK, answer)
			}
			c.awaitCompleted(n, fmt.Sprintf("%016x", jobsWithoutReader))
			select {
			case <-n.exited:
				t.Errorf("the process of node %s has exited", n.name)
			default:
			}
		})
	}
}

// submitUntilAccepted submits a job repeatedly until the node accepts it.
func (c *cluster) submitUntilAccepted(n *nodeProcess, id, body string) {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if status, _ := c.call(n, http.MethodPost, id, body); status == http.StatusOK {
			return
		}
	}
	c.t.Fatalf("node %s did not accept job %s within %v", n.name, id, recoveryTimeout)
}

// awaitCompleted waits until a node reports that a job has completed.
func (c *cluster) awaitCompleted(n *nodeProcess, id string) {
	var answer string
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if _, answer = c.call(n, http.MethodGet, id, ""); strings.Contains(answer, "completed") {
			return
		}
	}
	c.t.Fatalf("job %s did not complete within %v, last answer: %s", id, recoveryTimeout, answer)
}
