package intent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
)

func coresAndSlots(n int64) model.Resources { return model.Resources{CPUMilli: 1000 * n, Slots: n} }

func batchSpec(team string, tasks int) model.IntentSpec {
	return model.IntentSpec{Account: "office", Team: team, Kind: model.KindBatch, Tasks: tasks, TaskDemand: model.Resources{CPUMilli: 1000}, Preemptible: true}
}

// TestBorrowAndReclaim guards against usage beyond a limit, against borrowing at the expense of other teams' waiting work,
// and against borrowed capacity that is never reclaimed.
func TestBorrowAndReclaim(t *testing.T) {
	c := newCore(rackViews(2, 2, 8))
	c.SetQuotas(testQuotas{
		"fleet": {Share: coresAndSlots(2), Limit: coresAndSlots(6)},
		"yard":  {Share: coresAndSlots(4)},
	})
	c.SetPool(Pool{Capacity: coresAndSlots(6), Free: coresAndSlots(3)})
	effects := c.Confirmed(testNow, confirmedIntent("i3-f", batchSpec("fleet", 8)))
	assert.Equal(t, len(offeredRacks(effects)), 2) // the share
	effects = c.Tick(testNow)
	assert.Equal(t, len(offeredRacks(effects)), 3) // borrowed, up to the free capacity of the cell
	assert.Equal(t, c.Usage(testNow).Borrowed.CPUMilli, int64(3000))
	now := testNow
	c.SetPool(Pool{Capacity: coresAndSlots(6), Free: coresAndSlots(1)})
	assert.Equal(t, len(offeredRacks(c.Tick(now))), 1) // the limit
	for i := range 6 {
		startTask(t, c, now, model.NewTaskID("i3-f", 0, i), "rack-0")
	}
	c.SetPool(Pool{Capacity: coresAndSlots(6)})
	assert.Equal(t, len(offeredRacks(c.Tick(now))), 0)

	// The other team waits within its share.
	c.Confirmed(now, confirmedIntent("i3-y", batchSpec("yard", 2)))
	assert.Equal(t, countEffects[StopTask](c.Tick(now.Add(time.Second))), 0)
	now = now.Add(c.policy.ReclaimAfter)
	effects = c.Tick(now)
	assert.Equal(t, countEffects[StopTask](effects), 2)
	assert.Equal(t, countEffects[StopTask](c.Tick(now)), 0) // tasks that are being stopped count as reclaimed
	for _, e := range effects {
		if s, ok := e.(StopTask); ok {
			assert.Assert(t, s.Checkpoint)
			endTask(t, c, now, s.Task, model.OutcomePreempted, "w")
		}
	}
	// The borrower cannot claim the reclaimed capacity again.
	_, granted := c.Claim(now, "i3-f/0.5", "rack-0", 1)
	assert.Assert(t, !granted)
	startTask(t, c, now, "i3-y/0.0", "rack-0")
	startTask(t, c, now, "i3-y/0.1", "rack-0")
	assert.Equal(t, countEffects[StopTask](c.Tick(now)), 0)
	assert.Equal(t, c.teamOf("office", "fleet").used.CPUMilli, int64(4000))
}

// TestFairShares guards against a team that borrows all free capacity: the team with the lowest weighted dominant share
// borrows first.
func TestFairShares(t *testing.T) {
	c := newCore(rackViews(2, 2, 8))
	tiny := model.Resources{CPUMilli: -1, Slots: -1}
	c.SetQuotas(testQuotas{"a": {Share: tiny}, "b": {Share: tiny, Weight: 2}})
	c.Confirmed(testNow, confirmedIntent("i3-a", batchSpec("a", 20)))
	c.Confirmed(testNow, confirmedIntent("i3-b", batchSpec("b", 20)))
	c.SetPool(Pool{Capacity: coresAndSlots(12), Free: coresAndSlots(12)})
	c.Tick(testNow)
	assert.Equal(t, c.teamOf("office", "a").used.Slots, int64(4))
	assert.Equal(t, c.teamOf("office", "b").used.Slots, int64(8))
}

// TestSharesOfOtherPartitionsComeFirst guards against borrowing capacity that a team of another partition waits for
// within its share.
func TestSharesOfOtherPartitionsComeFirst(t *testing.T) {
	c := newCore(rackViews(2, 2, 8))
	c.SetQuotas(testQuotas{"fleet": {Share: coresAndSlots(1)}})
	c.SetPool(Pool{Capacity: coresAndSlots(12), Free: coresAndSlots(4), Shortfall: coresAndSlots(3)})
	c.Confirmed(testNow, confirmedIntent("i3-f", batchSpec("fleet", 8)))
	c.Tick(testNow)
	assert.Equal(t, c.teamOf("office", "fleet").used.Slots, int64(2))
}

// TestExplain guards against waiting tasks whose explanation has no reason.
func TestExplain(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	c.SetQuotas(testQuotas{"fleet": {Share: coresAndSlots(1), Limit: coresAndSlots(1)}})
	c.Confirmed(testNow, confirmedIntent("i3-f", batchSpec("fleet", 2)))
	e, err := c.Explain(testNow, "i3-f/0.0")
	assert.NilError(t, err)
	assert.DeepEqual(t, e.Racks, []string{"rack-0"})
	e, err = c.Explain(testNow, "i3-f/0.1")
	assert.NilError(t, err)
	assert.DeepEqual(t, e.Reasons, []string{`team "fleet" would exceed its limit`})
	startTask(t, c, testNow, "i3-f/0.0", "rack-0")
	endTask(t, c, testNow, "i3-f/0.0", model.OutcomeFinished, "w")
	e, err = c.Explain(testNow, "i3-f/0.1")
	assert.NilError(t, err)
	assert.DeepEqual(t, e.Reasons, []string{"offered 1 times, now to 1 racks"})
}
