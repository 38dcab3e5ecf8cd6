package intent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
)

// TestNothingIsGrantedToReplacedRack guards against a task that stays granted forever: a late claim or reservation of an
// earlier rack owner was granted after the inventory of the later owner had been applied.
func TestNothingIsGrantedToReplacedRack(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	c.Confirmed(testNow, confirmedIntent("i3-a", model.IntentSpec{Kind: model.KindBatch, Tasks: 1}))
	effects := c.Confirmed(testNow, confirmedIntent("i3-g", model.IntentSpec{Kind: model.KindGang, Tasks: 1}))
	reservation := effects[0].(ReserveGang)
	effects = c.ReserveGangResult(testNow, "i3-g", reservation.ReservationID, "rack-0", 1, []model.Placement{{Task: reservation.Tasks[0].ID, Rack: "rack-0"}})
	assert.Equal(t, countEffects[CommitGang](effects), 1)
	c.RackReplaced(testNow, "rack-0", 2, nil)
	assert.Equal(t, countEffects[StartGang](c.GangCommitted(testNow, "i3-g", reservation.ReservationID, true)), 0)
	_, granted := c.Claim(testNow, "i3-a/0.0", "rack-0", 1)
	assert.Assert(t, !granted)
	_, granted = c.Claim(testNow, "i3-a/0.0", "rack-0", 2)
	assert.Assert(t, granted)
}

// TestPartlyChargedGangIsAdmittedAgain guards against a gang that waits forever: after a takeover only the members that ran
// were charged to the quota, and the gang was never admitted as a whole.
func TestPartlyChargedGangIsAdmittedAgain(t *testing.T) {
	c := New(3, 2, DefaultPolicy())
	c.SetRacks(testNow, rackViews(2, 1, 8))
	in := confirmedIntent("i3-g", model.IntentSpec{Kind: model.KindGang, Tasks: 2})
	c.Restore(testNow, in, nil)
	token := model.StartToken{Partition: 3, Epoch: 1, Sequence: 1}
	c.RunningTaskListed(testNow, "rack-0", 1, NewTask(in, 3, 0, 0, testNow), token, "w")
	effects, _ := c.AllRacksListed(testNow)
	assert.Equal(t, countEffects[StopTask](effects), 1)
	endTask(t, c, testNow, "i3-g/0.0", model.OutcomeStopped, "w")
	effects = c.Tick(testNow.Add(time.Minute))
	assert.Equal(t, countEffects[ReserveGang](effects), 1)
	assert.Equal(t, len(effects[0].(ReserveGang).Tasks), 2)
}

// TestGangRestartsAsAWhole guards against a gang whose other members keep running after one was lost, and against a second
// run of a finished member.
func TestGangRestartsAsAWhole(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	effects := c.Confirmed(testNow, confirmedIntent("i3-g", model.IntentSpec{Kind: model.KindGang, Tasks: 3}))
	reservation := effects[0].(ReserveGang)
	var placed []model.Placement
	for _, task := range reservation.Tasks {
		placed = append(placed, model.Placement{Task: task.ID, Rack: "rack-0"})
	}
	c.ReserveGangResult(testNow, "i3-g", reservation.ReservationID, "rack-0", 1, placed)
	effects = c.GangCommitted(testNow, "i3-g", reservation.ReservationID, true)
	assert.Equal(t, len(effects[0].(StartGang).Tasks), 3)
	for i := range 3 {
		id := model.NewTaskID("i3-g", 0, i)
		c.Started(testNow, id, c.tasks[id].token, "w")
	}
	_, final := endTask(t, c, testNow, "i3-g/0.0", model.OutcomeFinished, "w")
	assert.Assert(t, final)
	effects, final = endTask(t, c, testNow, "i3-g/0.1", model.OutcomeExpired, "w")
	assert.Assert(t, !final)
	assert.Equal(t, countEffects[StopTask](effects), 1)
	assert.Equal(t, countEffects[ReserveGang](c.Tick(testNow.Add(time.Minute))), 0)
	endTask(t, c, testNow, "i3-g/0.2", model.OutcomeStopped, "w")
	effects = c.Tick(testNow.Add(2 * time.Minute))
	assert.Equal(t, len(effects[0].(ReserveGang).Tasks), 2)
}

// TestFailedGangIsRecordedWhole guards against a later owner that starts the remaining members of a gang of which one member
// failed for good.
func TestFailedGangIsRecordedWhole(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	c.policy.MaxAttempts = 1
	effects := c.Confirmed(testNow, confirmedIntent("i3-g", model.IntentSpec{Kind: model.KindGang, Tasks: 2}))
	reservation := effects[0].(ReserveGang)
	c.ReserveGangResult(testNow, "i3-g", reservation.ReservationID, "rack-0", 1, []model.Placement{{Task: "i3-g/0.0"}, {Task: "i3-g/0.1"}})
	c.GangCommitted(testNow, "i3-g", reservation.ReservationID, true)
	// The first member was not started, so it is waiting when the second fails for good.
	endTask(t, c, testNow, "i3-g/0.0", model.OutcomeNotStarted, "w")
	effects, final := endTask(t, c, testNow, "i3-g/0.1", model.OutcomeFailed, "w")
	assert.Assert(t, final)
	recorded := 0
	for _, e := range effects {
		if end, ok := e.(TaskEnded); ok && end.Record {
			recorded++
		}
	}
	assert.Equal(t, recorded, 1)
	in, _ := c.Intent("i3-g")
	assert.Equal(t, in.State, model.IntentDone)
}

// TestOldestGangKeepsItsReservations guards against livelock: of two gangs with partial reservations, the older retains its
// reservation and the younger releases its own, also if they belong to different partitions.
func TestOldestGangKeepsItsReservations(t *testing.T) {
	for name, other := range map[string]GangAge{
		"older": {WaitingSince: testNow.Add(-time.Second), Intent: "i9-o"}, "younger": {WaitingSince: testNow.Add(time.Second), Intent: "i9-y"},
	} {
		c := newCore(rackViews(1, 1, 8))
		c.SetOldestOtherGang(other)
		effects := c.Confirmed(testNow, confirmedIntent("i3-g", model.IntentSpec{Kind: model.KindGang, Tasks: 2}))
		reservation := effects[0].(ReserveGang)
		effects = c.ReserveGangResult(testNow, "i3-g", reservation.ReservationID, "rack-0", 1, []model.Placement{{Task: "i3-g/0.0"}})
		if name == "older" {
			assert.Equal(t, countEffects[ReleaseGang](effects), 1)
			continue
		}
		assert.Equal(t, countEffects[ReleaseGang](effects), 0)
		effects = c.Tick(testNow.Add(c.policy.GangReservationTTL / 3))
		assert.Equal(t, effects[0].(ReserveGang).ReservationID, reservation.ReservationID)
		assert.Equal(t, len(effects[0].(ReserveGang).Tasks), 2)
	}
}

// TestLateCommitStartsNothing guards against starting a gang after its reservations may have expired.
func TestLateCommitStartsNothing(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	effects := c.Confirmed(testNow, confirmedIntent("i3-g", model.IntentSpec{Kind: model.KindGang, Tasks: 1}))
	reservation := effects[0].(ReserveGang)
	c.ReserveGangResult(testNow, "i3-g", reservation.ReservationID, "rack-0", 1, []model.Placement{{Task: "i3-g/0.0"}})
	effects = c.GangCommitted(testNow.Add(c.policy.GangReservationTTL), "i3-g", reservation.ReservationID, true)
	assert.Equal(t, countEffects[StartGang](effects), 0)
	assert.Equal(t, countEffects[ReleaseGang](effects), 1)
}

// TestInventoryWithEarlierStartIsIgnored guards against resetting a task to an earlier start that a slow rack lists after
// the task was granted again.
func TestInventoryWithEarlierStartIsIgnored(t *testing.T) {
	c := New(3, 2, DefaultPolicy())
	in := confirmedIntent("i3-b", model.IntentSpec{Kind: model.KindBatch, Tasks: 1})
	c.Restore(testNow, in, nil)
	c.AllRacksListed(testNow)
	token := startTask(t, c, testNow, "i3-b/0.0", "rack-0")
	c.RunningTaskListed(testNow, "rack-1", 1, NewTask(in, 3, 0, 0, testNow), model.StartToken{Partition: 3, Epoch: 1, Sequence: 1}, "w")
	assert.Equal(t, c.tasks["i3-b/0.0"].token, token)
	assert.Equal(t, c.tasks["i3-b/0.0"].rack, "rack-0")
}

// TestGangStartsAtRacksOfEarlierPasses guards against a partially started gang: a rack whose reservation came from an
// earlier pass only was left out of the start.
func TestGangStartsAtRacksOfEarlierPasses(t *testing.T) {
	racks := rackViews(2, 1, 1)
	racks[1].LargestFree, racks[1].Free = model.Resources{}, model.Resources{}
	c := newCore(racks)
	effects := c.Confirmed(testNow, confirmedIntent("i3-g", model.IntentSpec{Kind: model.KindGang, Tasks: 2, TaskDemand: model.Resources{CPUMilli: 1000}}))
	reservation := effects[0].(ReserveGang)
	assert.Equal(t, reservation.Rack, "rack-0")
	c.ReserveGangResult(testNow, "i3-g", reservation.ReservationID, "rack-0", 1, []model.Placement{{Task: "i3-g/0.0"}})
	// Now the second rack has free capacity and the first has none.
	racks = rackViews(2, 1, 1)
	racks[0].LargestFree, racks[0].Free = model.Resources{}, model.Resources{}
	c.SetRacks(testNow, racks)
	effects = c.Tick(testNow.Add(c.policy.GangReservationRetry))
	assert.Equal(t, effects[0].(ReserveGang).Rack, "rack-1")
	effects = c.ReserveGangResult(testNow, "i3-g", reservation.ReservationID, "rack-1", 1, []model.Placement{{Task: "i3-g/0.1"}})
	assert.Equal(t, countEffects[CommitGang](effects), 1)
	effects = c.GangCommitted(testNow.Add(time.Second), "i3-g", reservation.ReservationID, true)
	assert.Equal(t, countEffects[StartGang](effects), 2)
}
