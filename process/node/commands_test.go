package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against silent workers that delay the commands to all others: the stops of their runs are repeated, and each of
// them takes until the timeout of a command.
func TestSilentWorkersDoNotDelayStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 3, 60)
		defer c.stop()
		for i := range 40 {
			assert.NilError(t, c.submit(c.follower(), fmt.Sprintf("long%d", i), 5, smallTask(20*time.Second), nil))
		}
		time.Sleep(time.Second)
		c.mu.Lock()
		for i := range 30 {
			c.silentWorkers[fmt.Sprintf("w%02d", i)] = true
		}
		c.mu.Unlock()
		for i := range 40 {
			assert.NilError(t, c.cancel(c.follower(), fmt.Sprintf("long%d", i)))
		}
		time.Sleep(2 * time.Second)
		for i := range 10 {
			id := fmt.Sprintf("short%d", i)
			assert.NilError(t, c.submit(c.follower(), id, 3, smallTask(300*time.Millisecond), nil))
			time.Sleep(700 * time.Millisecond)
			c.requireCompleted(id)
		}
		assert.DeepEqual(t, c.workers.Violations(), []string(nil))
	})
}

// Guards against a backlog of commands that is sent all at once, which would keep a small CPU busy for longer than the
// timeout of a command.
func TestInFlightCommandsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 3, 60)
		defer c.stop()
		for i := range 8 {
			assert.NilError(t, c.submit(c.follower(), fmt.Sprintf("wide%d", i), 30, smallTask(time.Second), nil))
		}
		time.Sleep(3 * time.Second)
		for i := range 8 {
			c.requireCompleted(fmt.Sprintf("wide%d", i))
		}
		assert.Assert(t, c.maxInFlight > 1 && c.maxInFlight <= maxInFlightCommands, "at most %d commands were in flight, want 2 to %d", c.maxInFlight, maxInFlightCommands)
	})
}
