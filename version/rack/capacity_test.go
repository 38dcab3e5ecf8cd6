package rack

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// setCapacity changes the capacity of a worker in the membership list.
func (f *fleet) setCapacity(i int, capacity model.Resources) {
	w := f.core.workers[f.members[i].ID]
	f.members[i].Capacity = capacity
	var declared model.Resources
	for _, t := range w.tasks {
		declared = declared.Add(Demand(t.task))
	}
	f.declaredWhenShrunk[w.member.ID] = declared
	f.enqueue(f.core.SetMembers(f.now, f.members))
	assert.Equal(f.t, w.member.Capacity, capacity)
}

// limitOf returns what the tasks of a worker may declare: its capacity, or what they declared at the last check since it shrank
// below that.
func (f *fleet) limitOf(w *workerState) model.Resources {
	if declared, ok := f.declaredWhenShrunk[w.member.ID]; ok {
		return w.member.Capacity.Max(declared)
	}
	return w.member.Capacity
}

// lowerLimit lowers the limit of a worker that is over its capacity to what its ledger declares now.
func (f *fleet) lowerLimit(w *workerState, declared model.Resources) {
	if declared.Fits(w.member.Capacity) {
		delete(f.declaredWhenShrunk, w.member.ID)
	} else if _, ok := f.declaredWhenShrunk[w.member.ID]; ok {
		f.declaredWhenShrunk[w.member.ID] = declared
	}
}

// setCores changes the processor capacity of a worker.
func (f *fleet) setCores(i int, n int64) {
	capacity := f.members[i].Capacity
	capacity.CPUMilli = 1000 * n
	f.setCapacity(i, capacity)
}

// explanation returns why a task waits.
func (f *fleet) explanation(id model.TaskID) string {
	return strings.Join(f.core.Explain(f.now, id), "\n")
}

// TestShrunkenWorkerGetsNoStarts guards against starts above a capacity that has shrunk, against stops of what runs there, and
// against work that still waits when the capacity is back.
func TestShrunkenWorkerGetsNoStarts(t *testing.T) {
	f := newFleet(t, policyWithoutShortReserve(), eightCores())
	f.offer(task("a/0", model.ClassBatch, 2), task("b/0", model.ClassBatch, 2))
	f.executeAll()
	f.setCores(0, 3)
	assert.Equal(t, f.core.Summary().Free.CPUMilli, int64(0))
	f.offer(task("c/0", model.ClassBatch, 1))
	f.tick(time.Second)
	assert.Assert(t, f.isRunning("a/0") && f.isRunning("b/0") && !f.isRunning("c/0"), "%v", f.running)
	f.endAndTick("a/0", model.OutcomeFinished)
	assert.Assert(t, f.isRunning("c/0"), "%v", f.explanation("c/0"))
	f.offer(task("d/0", model.ClassBatch, 5))
	f.executeAll()
	assert.Assert(t, !f.isRunning("d/0"))
	f.setCores(0, 8)
	f.executeAll()
	assert.Assert(t, f.isRunning("d/0"), "%v", f.explanation("d/0"))
	f.checkInvariants()
}

// TestClaimsOnShrunkenWorker guards against the start of tasks that were placed before their worker shrank, beyond those that
// still fit.
func TestClaimsOnShrunkenWorker(t *testing.T) {
	f := newFleet(t, policyWithoutShortReserve(), eightCores())
	f.offer(task("a/0", model.ClassBatch, 3), task("b/0", model.ClassBatch, 3))
	f.setCores(0, 4)
	f.executeAll()
	assert.Equal(t, len(f.running["w0"]), 1, "%v", f.running)
	f.checkInvariants()
}

// TestGangReservationOnShrunkenWorker guards against the start of a gang above a capacity that has shrunk since its
// reservation.
func TestGangReservationOnShrunkenWorker(t *testing.T) {
	f := newFleet(t, policyWithoutShortReserve(), eightCores())
	tasks := []model.Task{task("g/0", model.ClassBatch, 3), task("g/1", model.ClassBatch, 3)}
	placements, _, err := f.core.ReserveGang(f.now, GangReservationRequest{ID: "h", IntentEpoch: 1, Tasks: tasks, TTL: time.Minute})
	assert.NilError(t, err)
	assert.Equal(t, len(placements), 2)
	f.setCores(0, 4)
	effects, err := f.core.StartGang(f.now, "h", []model.TaskID{"g/0", "g/1"}, []model.StartToken{{Epoch: 1, Sequence: 1}, {Epoch: 1, Sequence: 2}})
	assert.NilError(t, err)
	starts := 0
	for _, e := range effects {
		if _, ok := e.(StartTask); ok {
			starts++
		}
	}
	assert.Equal(t, starts, 1)
}

// TestLargestCapacityFollowsTheWorkers guards against a wrong explanation of a task that no worker can hold any longer, since
// the largest one has shrunk or leaves.
func TestLargestCapacityFollowsTheWorkers(t *testing.T) {
	cases := map[string]func(f *fleet){
		"shrinks": func(f *fleet) { f.setCores(0, 4) },
		"leaves": func(f *fleet) {
			f.members[0].State = store.MemberLeaving
			f.enqueue(f.core.SetMembers(f.now, f.members))
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			small := eightCores()
			small.CPUMilli = 4000
			f := newFleet(t, policyWithoutShortReserve(), eightCores(), small)
			change(f)
			f.offer(task("a/0", model.ClassBatch, 6))
			f.tick(time.Second)
			assert.Assert(t, strings.Contains(f.explanation("a/0"), "no worker of this rack is large enough"), f.explanation("a/0"))
			f.members[0].State = store.MemberLive
			f.setCores(0, 8)
			f.tick(time.Second)
			assert.Assert(t, f.isRunning("a/0"), f.explanation("a/0"))
		})
	}
}

// TestObservedUsageFitsShrunkenWorkers guards against a job that can no longer be placed, since its observed usage exceeds what
// the workers have left.
func TestObservedUsageFitsShrunkenWorkers(t *testing.T) {
	f := newFleet(t, policyWithoutShortReserve(), eightCores())
	f.offer(task("a/0", model.ClassBatch, 2))
	f.executeAll()
	req, ok := f.core.SyncRequest("w0", 0)
	assert.Assert(t, ok)
	r := f.running["w0"]["a/0"]
	status := worker.TaskStatus{Task: "a/0", Token: r.Token, RanMS: time.Minute.Milliseconds(), Used: cores(7)}
	reply := worker.SyncReply{BootID: fmt.Sprint(f.boots["w0"]), Now: f.clockReading(), Running: []worker.TaskStatus{status}}
	f.enqueue(f.core.SyncResult(f.now, "w0", req, reply))
	f.endAndTick("a/0", model.OutcomeFinished)
	f.setCores(0, 4)
	f.offer(task("a/1", model.ClassBatch, 2))
	f.tick(time.Second)
	assert.Assert(t, f.isRunning("a/1"), f.explanation("a/1"))
}

// TestReservedWorkerShrinks guards against a task that waits for a reserved worker which has become too small, while another
// one could hold it.
func TestReservedWorkerShrinks(t *testing.T) {
	f := newFleet(t, policyWithoutShortReserve(), eightCores(), eightCores())
	f.offer(task("a/0", model.ClassBatch, 5), task("b/0", model.ClassBatch, 5))
	f.executeAll()
	f.offer(task("large/0", model.ClassBatch, 8))
	f.executeAll()
	f.core.mu.Lock()
	f.core.reserveWorker(f.now, f.core.workers["w0"], "large/0", f.now, false)
	f.core.mu.Unlock()
	f.setCores(0, 6)
	f.executeAll()
	assert.Assert(t, f.core.workers["w0"].reservation == nil)
	f.endAndTick("a/0", model.OutcomeFinished)
	f.endAndTick("b/0", model.OutcomeFinished)
	assert.Assert(t, f.isRunning("large/0"), f.explanation("large/0"))
}

// TestZoneFollowsTheMembershipList guards against placements that name the former zone of a worker.
func TestZoneFollowsTheMembershipList(t *testing.T) {
	f := newFleet(t, policyWithoutShortReserve(), eightCores())
	f.members[0].Zone = "b"
	f.enqueue(f.core.SetMembers(f.now, f.members))
	placements, _, err := f.core.ReserveGang(f.now, GangReservationRequest{
		ID: "h", IntentEpoch: 1, Tasks: []model.Task{task("g/0", model.ClassBatch, 1)}, TTL: time.Minute,
	})
	assert.NilError(t, err)
	assert.Equal(t, placements[0].Zone, "b")
}
