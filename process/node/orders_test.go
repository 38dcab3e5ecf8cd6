package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against workers that die without a word and hold up the orders to all others: the stops of their runs are repeated
// and each of them takes as long as an order may.
func TestSilentWorkersDoNotDelayStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 3, 60)
		defer c.stop()
		for i := range 40 {
			assert.NilError(t, c.submit(c.other(), fmt.Sprintf("long%d", i), 5, small(20*time.Second), nil))
		}
		time.Sleep(time.Second)
		c.mu.Lock()
		for i := range 30 {
			c.mute[fmt.Sprintf("w%02d", i)] = true
		}
		c.mu.Unlock()
		for i := range 40 {
			assert.NilError(t, c.other().Cancel(t.Context(), job.Queue{Name: testQueue}, job.ID(fmt.Sprintf("long%d", i))))
		}
		time.Sleep(2 * time.Second)
		for i := range 10 {
			id := fmt.Sprintf("short%d", i)
			assert.NilError(t, c.submit(c.other(), id, 3, small(300*time.Millisecond), nil))
			time.Sleep(700 * time.Millisecond)
			c.requireCompleted(id)
		}
		assert.DeepEqual(t, c.workers.Violations(), []string(nil))
	})
}

// Guards against a backlog that is sent all at once, which would keep a small processor busy for longer than an order may
// take.
func TestOrdersOnTheirWayAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 3, 60)
		defer c.stop()
		for i := range 8 {
			assert.NilError(t, c.submit(c.other(), fmt.Sprintf("wide%d", i), 30, small(time.Second), nil))
		}
		time.Sleep(3 * time.Second)
		for i := range 8 {
			c.requireCompleted(fmt.Sprintf("wide%d", i))
		}
		assert.Assert(t, c.most > 1 && c.most <= maxInFlightCommands, "%d orders on their way", c.most)
	})
}
