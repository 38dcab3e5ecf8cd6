package intent

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
)

// TestOffersAreBoundedAndBatched guards against a flood of offer messages when thousands of tasks wait: offers are batched,
// and the rate of repeated ones does not grow with the number of tasks.
func TestOffersAreBoundedAndBatched(t *testing.T) {
	c := newCore(rackViews(10, 2, 8))
	first := c.Confirmed(testNow, confirmedIntent("i3-b", model.IntentSpec{Kind: model.KindBatch, Tasks: 10_000}))
	assert.Equal(t, len(offeredRacks(first)), 10_000)
	assert.Assert(t, countEffects[OfferTasks](first) <= 10_000/c.policy.OfferBatch+10)
	repeated := 0
	for i := range 20 {
		repeated += len(offeredRacks(c.Tick(testNow.Add(10*time.Second + time.Duration(i)*500*time.Millisecond))))
	}
	// Ten seconds at the rate, and up to one second's worth of saved tokens.
	assert.Assert(t, repeated <= int(11*c.policy.ReoffersPerSecond), "%d repeated offers", repeated)
	assert.Assert(t, repeated >= int(9*c.policy.ReoffersPerSecond), "%d repeated offers", repeated)
}

// TestDeniedOrLateWithdrawnTaskIsOfferedAgain guards against a task that waits forever because no rack has it queued: a rack
// removes an offer from its queue to claim the task and does not put it back when the claim is denied, and a late
// withdrawal can remove a newer offer.
func TestDeniedOrLateWithdrawnTaskIsOfferedAgain(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	c.Confirmed(testNow, confirmedIntent("i3-w", model.IntentSpec{Kind: model.KindWatcher, Tasks: 1}))
	startTask(t, c, testNow, "i3-w/0.0", "rack-0")
	endTask(t, c, testNow, "i3-w/0.0", model.OutcomeFinished, "w")
	// A late claim is denied during the restart delay; after the delay the task is offered again.
	_, granted := c.Claim(testNow, "i3-w/0.0", "rack-0", 1)
	assert.Assert(t, !granted)
	now := testNow.Add(time.Second)
	assert.Equal(t, len(offeredRacks(c.Tick(now))), 1)
	// A claim of the rack is denied while the team has borrowed capacity that others wait for.
	c.reclaimNeeded, c.quotas = true, testQuotas{"fleet": {Share: model.Resources{Slots: -1}}}
	_, granted = c.Claim(now, "i3-w/0.0", "rack-0", 1)
	assert.Assert(t, !granted)
	c.quotas = nil
	assert.Equal(t, len(offeredRacks(c.Tick(now.Add(noRackRetryDelay)))), 1)
	// Even if nothing indicates that the offer was lost, it is repeated in bounded time.
	repeated := 0
	for i := range 200 {
		repeated += len(offeredRacks(c.Tick(now.Add(time.Duration(i+1) * time.Second))))
	}
	assert.Assert(t, repeated >= 1)
}

// TestOfferMessagesFitAFrame guards against an offer message that is larger than a frame, since payloads are up to 64 KiB.
func TestOfferMessagesFitAFrame(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	payload := strings.Repeat("x", model.MaxPayloadBytes)
	effects := c.Confirmed(testNow, confirmedIntent("i3-b", model.IntentSpec{Kind: model.KindBatch, Tasks: 100, Payload: payload}))
	assert.Equal(t, len(offeredRacks(effects)), 100)
	for _, e := range effects {
		assert.Assert(t, len(e.(OfferTasks).Tasks) <= maxOfferBytes/model.MaxPayloadBytes)
	}
}

// TestLostQueueIsOfferedAgain guards against a task that waits in the lost queue of a rack whose owner was replaced, and
// against one whose offer was refused.
func TestLostQueueIsOfferedAgain(t *testing.T) {
	racks := rackViews(1, 1, 8)
	c := newCore(racks)
	c.Confirmed(testNow, confirmedIntent("i3-b", model.IntentSpec{Kind: model.KindBatch, Tasks: 2}))
	assert.Equal(t, len(offeredRacks(c.Tick(testNow.Add(time.Minute)))), 0)
	again := rackViews(1, 1, 8)
	again[0].Epoch = 2
	c.SetRacks(testNow.Add(time.Minute), again)
	assert.Equal(t, len(offeredRacks(c.Tick(testNow.Add(time.Minute)))), 2)
	c.OffersRefused(testNow.Add(time.Minute), "rack-0", []model.TaskID{"i3-b/0.1"})
	assert.Equal(t, len(offeredRacks(c.Tick(testNow.Add(time.Minute+noRackRetryDelay)))), 1)
}

// TestTasksAwaitingGrantIncludeTasksWithoutOffer guards against two confirmed plans for the same capacity: the tasks of the
// first had not been offered yet, since no rack was known, and were missing when the second was checked.
func TestTasksAwaitingGrantIncludeTasksWithoutOffer(t *testing.T) {
	c := newCore(nil)
	c.Confirmed(testNow, confirmedIntent("i3-b", model.IntentSpec{Kind: model.KindBatch, Tasks: 3}))
	assert.Equal(t, len(c.TasksAwaitingGrant(10)), 3)
	c.SetRacks(testNow, rackViews(1, 1, 8))
	assert.Equal(t, len(offeredRacks(c.Tick(testNow.Add(noRackRetryDelay)))), 3)
	assert.Equal(t, len(c.TasksAwaitingGrant(10)), 3)
	startTask(t, c, testNow, "i3-b/0.0", "rack-0")
	assert.Equal(t, len(c.TasksAwaitingGrant(10)), 2)
	assert.Equal(t, len(c.TasksAwaitingGrant(1)), 1)
}

// TestOldSummaryScoresLower guards against preferring a rack whose owner has not reported for a long time, and against
// passing over a rack in which the task fits only because the rack has had no change to report.
func TestOldSummaryScoresLower(t *testing.T) {
	size := func(cpu int64) model.Resources { return model.Resources{CPUMilli: cpu, MemoryMiB: 1000, Slots: 8} }
	old := &RackView{Free: size(16_000), LargestFree: size(16_000), Age: 3 * halfWeightAge}
	fresh := &RackView{Free: size(8000), LargestFree: size(8000)}
	assert.Assert(t, fresh.score(size(1000)) > old.score(size(1000)))
	assert.Assert(t, old.score(size(10_000)) > fresh.score(size(10_000)))
}
