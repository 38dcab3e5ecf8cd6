package peer

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPatienceCountsOnlyTimeOnTime guards against a peer that counts as silent because this process could not run, and against a
// wait that never ends because the process is always late.
func TestPatienceCountsOnlyTimeOnTime(t *testing.T) {
	now := time.Unix(0, 0)
	observe := func(p *waitLimit, elapsed time.Duration) bool {
		now = now.Add(elapsed)
		return p.exhausted(now)
	}
	onTime := waitLimit{limit: time.Second, observedAt: now}
	for range 9 {
		assert.Assert(t, !observe(&onTime, observationInterval))
	}
	assert.Assert(t, observe(&onTime, observationInterval))

	suspended := waitLimit{limit: time.Second, observedAt: now}
	assert.Assert(t, !observe(&suspended, time.Hour))
	for range 8 {
		assert.Assert(t, !observe(&suspended, observationInterval))
	}
	// The process is suspended again at the end of the wait.
	assert.Assert(t, !observe(&suspended, time.Hour))
	assert.Assert(t, observe(&suspended, observationInterval))

	late := waitLimit{limit: time.Second, observedAt: now}
	for range 19 {
		assert.Assert(t, !observe(&late, 2*observationInterval))
	}
	assert.Assert(t, observe(&late, 2*observationInterval))
}

const (
	// suspendedClientEnv gives the test process that TestSuspendedProcessKeepsItsSessions suspends the address of the server.
	suspendedClientEnv = "PEER_TEST_SERVER"
	suspendedClients   = 8
	suspensions        = 2
	suspensionTime     = probeTimeout + 500*time.Millisecond
	// timeBetweenSuspensions is long enough for a probe and a few calls.
	timeBetweenSuspensions = 300 * time.Millisecond
)

// TestSuspendedProcessKeepsItsSessions guards against sessions that are given up, with the calls on them, because the process could
// not run for longer than probeTimeout while it waited for a ping or a write.
func TestSuspendedProcessKeepsItsSessions(t *testing.T) {
	if address := os.Getenv(suspendedClientEnv); address != "" {
		callUntilInputEnds(t, address)
		return
	}
	address := startServer(t, Options{}, echo)
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v")
	cmd.Env = append(os.Environ(), suspendedClientEnv+"="+address)
	stdin, err := cmd.StdinPipe()
	assert.NilError(t, err)
	stdout, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	output := bufio.NewScanner(stdout)
	for output.Scan() && output.Text() != "calling" {
	}
	for range suspensions {
		time.Sleep(timeBetweenSuspensions)
		assert.NilError(t, cmd.Process.Signal(syscall.SIGSTOP))
		time.Sleep(suspensionTime)
		assert.NilError(t, cmd.Process.Signal(syscall.SIGCONT))
	}
	time.Sleep(timeBetweenSuspensions)
	assert.NilError(t, stdin.Close())
	for output.Scan() {
		t.Log(output.Text())
	}
	assert.NilError(t, cmd.Wait())
}

// callUntilInputEnds calls the server and probes the sessions until the standard input ends. No call may fail.
func callUntilInputEnds(t *testing.T, address string) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	body := make([]byte, 10<<10)
	for range suspendedClients {
		c := newClient(t, Options{})
		_, err := c.Call(ctx, address, forwardRequest(nil))
		assert.NilError(t, err)
		for range 4 {
			wg.Go(func() {
				for ctx.Err() == nil {
					conn, err := c.connect(context.Background(), address)
					assert.Check(t, err)
					conn.session.probe()
					if _, err := conn.call(context.Background(), forwardRequest(body)); err != nil {
						t.Errorf("call: %v", err)
						return
					}
				}
			})
		}
	}
	_, _ = os.Stdout.WriteString("calling\n")
	_, _ = os.Stdin.Read(make([]byte, 1))
	cancel()
	wg.Wait()
}
