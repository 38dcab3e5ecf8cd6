package intent

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
)

// TestOffersAreBoundedAndBatched guards against messages that grow with the number of offered tasks.
func TestOffersAreBoundedAndBatched(t *testing.T) {
	c := newCore(rackViews(10, 2, 8))
	first := c.Confirmed(testNow, confirmedIntent("i3-b", model.IntentSpec{Kind: model.KindBatch, Tasks: 10_000}))
	assert.Equal(t, len(offeredRacks(first)), 10_000)
	assert.Assert(t, countEffects[OfferTasks](first) <= 10_000/c.policy.OfferBatch+10)
	repeated := 0
	for i := range 20 {
		repeated += len(offeredRacks(c.Tick(testNow.Add(10*time.Second + time.Duration(i)*500*time.Millisecond))))
	}
	// Ten seconds at the rate, and one second's worth that had been saved up.
	assert.Assert(t, repeated <= int(11*c.policy.ReoffersPerSecond), "%d repeated offers", repeated)
	assert.Assert(t, repeated >= int(9*c.policy.ReoffersPerSecond), "%d repeated offers", repeated)
}

func TestDeniedOrLateWithdrawnTaskIsOfferedAgain(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	c.Confirmed(testNow, confirmedIntent("i3-w", model.IntentSpec{Kind: model.KindWatcher, Tasks: 1}))
	startTask(t, c, testNow, "i3-w/0.0", "rack-0")
	endTask(t, c, testNow, "i3-w/0.0", model.OutcomeFinished, "w")
	// A late claim is denied while the task waits for its restart; then the offer of the restart is made.
	_, granted := c.Claim(testNow, "i3-w/0.0", "rack-0", 1)
	assert.Assert(t, !granted)
	now := testNow.Add(time.Second)
	assert.Equal(t, len(offeredRacks(c.Tick(now))), 1)
	// The rack claims it and is denied for a moment.
	c.reclaimNeeded, c.quotas = true, testQuotas{"fleet": {Share: model.Resources{Slots: -1}}}
	_, granted = c.Claim(now, "i3-w/0.0", "rack-0", 1)
	assert.Assert(t, !granted)
	c.quotas = nil
	assert.Equal(t, len(offeredRacks(c.Tick(now.Add(noRackRetryDelay)))), 1)
	// Without any sign that the offer is gone it is repeated in bounded time.
	repeated := 0
	for i := range 200 {
		repeated += len(offeredRacks(c.Tick(now.Add(time.Duration(i+1) * time.Second))))
	}
	assert.Assert(t, repeated >= 1)
}

func TestOfferMessagesFitAFrame(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	payload := strings.Repeat("x", model.MaxPayloadBytes)
	effects := c.Confirmed(testNow, confirmedIntent("i3-b", model.IntentSpec{Kind: model.KindBatch, Tasks: 100, Payload: payload}))
	assert.Equal(t, len(offeredRacks(effects)), 100)
	for _, e := range effects {
		assert.Assert(t, len(e.(OfferTasks).Tasks) <= maxOfferBytes/model.MaxPayloadBytes)
	}
}

func TestLostQueueIsOfferedAgain(t *testing.T) {
	racks := rackViews(1, 1, 8)
	c := newCore(racks)
	c.Confirmed(testNow, confirmedIntent("i3-b", model.IntentSpec{Kind: model.KindBatch, Tasks: 2}))
	assert.Equal(t, len(offeredRacks(c.Tick(testNow.Add(time.Minute)))), 0)
	again := rackViews(1, 1, 8)
	again[0].Epoch = 2
	c.SetRacks(testNow.Add(time.Minute), again)
	assert.Equal(t, len(offeredRacks(c.Tick(testNow.Add(time.Minute)))), 2)
	c.Refused(testNow.Add(time.Minute), "rack-0", []model.TaskID{"i3-b/0.1"})
	assert.Equal(t, len(offeredRacks(c.Tick(testNow.Add(time.Minute+noRackRetryDelay)))), 1)
}

func TestPendingCountsTasksWithoutOffer(t *testing.T) {
	c := newCore(nil)
	c.Confirmed(testNow, confirmedIntent("i3-b", model.IntentSpec{Kind: model.KindBatch, Tasks: 3}))
	assert.Equal(t, len(c.Pending(10)), 3)
	c.SetRacks(testNow, rackViews(1, 1, 8))
	assert.Equal(t, len(offeredRacks(c.Tick(testNow.Add(noRackRetryDelay)))), 3)
	assert.Equal(t, len(c.Pending(10)), 3)
	startTask(t, c, testNow, "i3-b/0.0", "rack-0")
	assert.Equal(t, len(c.Pending(10)), 2)
	assert.Equal(t, len(c.Pending(1)), 1)
}

// TestOldSummaryScoresLower guards against offers that go to a rack whose owner has not been heard of for long, and against
// a fitting rack that is passed over because nothing changed there.
func TestOldSummaryScoresLower(t *testing.T) {
	size := func(cpu int64) model.Resources { return model.Resources{CPUMilli: cpu, MemoryMiB: 1000, Slots: 8} }
	old := &RackView{Free: size(16_000), Largest: size(16_000), Age: 3 * halfWeightAge}
	fresh := &RackView{Free: size(8000), Largest: size(8000)}
	assert.Assert(t, fresh.score(size(1000)) > old.score(size(1000)))
	assert.Assert(t, old.score(size(10_000)) > fresh.score(size(10_000)))
}
