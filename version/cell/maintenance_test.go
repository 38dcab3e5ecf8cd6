package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// listMachines sets a list with one machine for each worker; the machines of the workers in down are not up.
func (tc *testCluster) listMachines(ids []string, down map[string]bool) {
	var list backend.MachineList
	for _, id := range ids {
		list.Machines = append(list.Machines, backend.Machine{ID: "m-" + id, Worker: id, InService: !down[id]})
	}
	tc.core.SetMachines(list, tc.now, tc.now)
}

// runMaintenance runs scheduling rounds for a duration, answers all maintenance requests and returns their machines. All batches are
// stored.
func (tc *testCluster) runMaintenance(d time.Duration) (machines []string, completed bool) {
	for end := tc.now + d; tc.now < end; {
		tc.now += tick
		for _, action := range tc.core.Step(tc.now, 0) {
			switch a := action.(type) {
			case *MaintainAction:
				machines = append(machines, a.Machine)
				tc.core.MaintainResult(a, tc.maintenanceRefusal, nil, tc.now)
			case *WaveAction:
				completed = completed || a.Completed
				tc.storedWaves[a.Wave] = StoredWave{Completed: a.Completed, Record: tc.storedWaves[a.Wave].Record}
			case *ReadWaveAction:
				tc.core.WaveRead(a, tc.storedWaves[a.Wave], nil, tc.now)
			case *StartAction:
				tc.starts = append(tc.starts, a)
			case *StopAction:
				tc.recordStop(a)
			}
		}
		tc.storeBatches()
	}
	return machines, completed
}

// successor returns the cluster under the next leader, which reads what the present one has stored.
func (tc *testCluster) successor() *testCluster {
	next := newTestCluster(tc.t, tc.core.opts.Epoch+1)
	next.now, next.storedWaves = tc.now, tc.storedWaves
	return next
}

// recordStop records a stop, but not its retries.
func (tc *testCluster) recordStop(a *StopAction) {
	for _, recorded := range tc.stops {
		if recorded.Command.Task == a.Command.Task && recorded.Command.Run == a.Command.Run {
			return
		}
	}
	tc.stops = append(tc.stops, a)
}

// No more machines than the wave allows may be down, and the wave must not be reported as completed too early.
func TestWaveRespectsItsMaximum(t *testing.T) {
	tc := newTestCluster(t, 1)
	ids := []string{"w1", "w2", "w3"}
	for _, id := range ids {
		tc.addWorker(id)
	}
	tc.core.SetWave(backend.MaintenanceWave{Number: 1, Machines: []string{"m-w1", "m-w2", "m-w3"}, Duration: time.Minute, MaxUnavailable: 1}, tc.now)
	tc.listMachines(ids, nil)
	down := map[string]bool{}
	var maintained []string
	for range 3 {
		begun, completed := tc.runMaintenance(3 * time.Second)
		assert.Equal(t, len(begun), 1, "%v", begun)
		assert.Equal(t, completed, len(maintained) == 2)
		maintained = append(maintained, begun[0])
		down[begun[0][2:]] = true
		tc.listMachines(ids, down)
		again, _ := tc.runMaintenance(time.Second)
		assert.Equal(t, len(again), 0)
		down[begun[0][2:]] = false
		tc.listMachines(ids, down)
	}
	assert.Equal(t, fmt.Sprint(maintained), "[m-w1 m-w2 m-w3]")
}

// Service tasks must not be stopped for maintenance while too many other tasks of their step are unavailable.
func TestWaveRespectsTheDisruptionBudget(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	serviceStep := stepWithTasks(3, func(s *job.Step) { s.LongRunning, s.MaxUnavailable = true, 1 })
	tc.addJob("a", "plain", 1, serviceStep)
	tc.run(2 * tick)
	running := tc.confirmStarts()["w1"]
	assert.Equal(t, len(running), 3)
	for i := range running {
		running[i].ProgressPercent = 100
	}
	tc.answerPoll("w1", running, nil)
	tc.core.SetWave(backend.MaintenanceWave{Number: 1, Machines: []string{"m-w1"}, Duration: time.Minute, MaxUnavailable: 1}, tc.now)
	tc.listMachines([]string{"w1"}, nil)
	begun, _ := tc.runMaintenance(time.Second)
	assert.Equal(t, len(begun), 0)
	assert.Equal(t, len(tc.stops), 1)
	// The stopped task must be available elsewhere before the next one is stopped.
	tc.addWorker("w2")
	stopped := tc.stops[0].Command
	var remaining []backend.ActiveRun
	for _, r := range running {
		if r.Task != stopped.Task {
			remaining = append(remaining, r)
		}
	}
	tc.answerPoll("w1", remaining, []backend.FinishedRun{tc.completion("w1", stopped.Task, stopped.Run, backend.ResultStopped)})
	tc.run(2 * tick)
	moved := tc.confirmStarts()["w2"]
	assert.Equal(t, len(moved), 1)
	_, _ = tc.runMaintenance(300 * time.Millisecond)
	assert.Equal(t, len(tc.stops), 1)
	moved[0].ProgressPercent = 100
	tc.answerPoll("w2", moved, nil)
	tc.answerPoll("w1", remaining, nil)
	_, _ = tc.runMaintenance(300 * time.Millisecond)
	assert.Equal(t, len(tc.stops), 2)
}

// No commands may be sent after the token has been refused.
func TestFencedMaintenanceEndsTheEpoch(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.core.SetWave(backend.MaintenanceWave{Number: 1, Machines: []string{"m-w1"}, Duration: time.Minute, MaxUnavailable: 1}, tc.now)
	tc.listMachines([]string{"w1"}, nil)
	tc.maintenanceRefusal = backend.MachineFenced
	_, _ = tc.runMaintenance(time.Second)
	assert.Assert(t, tc.core.Superseded())
}

// A worker whose maintenance was refused for good must run tasks again: its capacity would be lost until its restart.
func TestRefusedMaintenanceUncordonsTheWorker(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.core.SetWave(backend.MaintenanceWave{Number: 1, Machines: []string{"m-w1"}, Duration: time.Minute, MaxUnavailable: 1}, tc.now)
	tc.listMachines([]string{"w1"}, nil)
	tc.maintenanceRefusal = backend.MachineNotInWave
	_, _ = tc.runMaintenance(time.Second)
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(200 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
}

// Guards against a machine that counts as gone, so that its maintenance is reported as finished, because its entry in the list of
// machines cannot be decoded.
func TestUnreadableMachineIsNotGone(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addWorker("w2")
	tc.core.SetWave(backend.MaintenanceWave{Number: 1, Machines: []string{"m-w1", "m-w2"}, Duration: time.Minute, MaxUnavailable: 1}, tc.now)
	list := backend.MachineList{Machines: []backend.Machine{{ID: "m-w1", Worker: "w1", InService: true}}, Unreadable: errHistoryLost}
	tc.core.SetMachines(list, tc.now, tc.now)
	machines, completed := tc.runMaintenance(time.Second)
	assert.Equal(t, len(machines), 1)
	assert.Assert(t, !completed)

	// A complete list without the machine shows that it is gone.
	tc.now += 2 * minDowntime
	list.Unreadable = nil
	tc.core.SetMachines(list, tc.now, tc.now)
	machines, completed = tc.runMaintenance(time.Second)
	assert.Assert(t, completed, "%v", machines)
}

// maintainAll has the maintenance of the machines of the workers in a wave, each of which returns as the worker that returned names.
func (tc *testCluster) maintainAll(wave int, ids []string, returned func(id string) string) {
	spec := backend.MaintenanceWave{Number: wave, Duration: time.Minute, MaxUnavailable: 1}
	names, down := map[string]string{}, map[string]bool{}
	for _, id := range ids {
		spec.Machines = append(spec.Machines, "m-"+id)
		names[id] = id
	}
	list := func() {
		var l backend.MachineList
		for _, id := range ids {
			l.Machines = append(l.Machines, backend.Machine{ID: "m-" + id, Worker: names[id], InService: !down[id], InMaintenance: down[id]})
		}
		tc.core.SetMachines(l, tc.now, tc.now)
	}
	tc.core.SetWave(spec, tc.now)
	list()
	for range ids {
		begun, _ := tc.runMaintenance(time.Second)
		assert.Equal(tc.t, len(begun), 1, "%v", begun)
		id := begun[0][2:]
		down[id] = true
		list()
		_, _ = tc.runMaintenance(2 * time.Second)
		names[id], down[id] = returned(id), false
		if names[id] != id {
			tc.core.RemoveWorker(id, tc.now)
			tc.addWorker(names[id])
		}
		list()
	}
	_, _ = tc.runMaintenance(time.Second)
	assert.Assert(tc.t, tc.storedWaves[wave].Completed)
}

// Guards against a completed wave that is carried out again by the next leader, and against its workers staying cordoned then.
func TestSuccessorDoesNotRepeatAWave(t *testing.T) {
	for _, lost := range []string{"nothing", "the status", "status and record"} {
		tc := newTestCluster(t, 1)
		tc.addWorker("w1")
		tc.maintainAll(1, []string{"w1"}, func(id string) string { return id + "-next" })
		if lost != "nothing" {
			tc.storedWaves[1] = StoredWave{Record: tc.storedWaves[1].Record}
		}
		if lost == "status and record" {
			tc.storedWaves[1] = StoredWave{}
		}
		next := tc.successor()
		next.addWorker("w1-next")
		next.core.SetWave(backend.MaintenanceWave{Number: 1, Machines: []string{"m-w1"}, Duration: time.Minute, MaxUnavailable: 1}, next.now)
		var begun []string
		for range 10 {
			next.core.SetMachines(backend.MachineList{Machines: []backend.Machine{{ID: "m-w1", Worker: "w1-next", InService: true}}}, next.now, next.now)
			again, _ := next.runMaintenance(500 * time.Millisecond)
			begun = append(begun, again...)
		}
		if lost == "status and record" {
			assert.DeepEqual(t, begun, []string{"m-w1"})
		} else {
			assert.Equal(t, len(begun), 0, "lost: %s", lost)
		}
		assert.Assert(t, next.storedWaves[1].Completed)
		assert.Assert(t, !next.core.NeedsMachines())
		next.addJob("a", "plain", 2, stepWithTasks(1))
		next.answerPoll("w1-next", nil, nil)
		next.advance(200 * time.Millisecond)
		assert.Equal(t, len(next.starts), 1, "lost: %s", lost)
	}
}

// Guards against workers that stay cordoned because they start again under the ID that they had before the maintenance, the last one of
// the wave included.
func TestWorkersReturnUnderTheirIDs(t *testing.T) {
	tc := newTestCluster(t, 1)
	ids := []string{"w1", "w2"}
	for _, id := range ids {
		tc.addWorker(id)
	}
	tc.maintainAll(1, ids, func(id string) string { return id })
	for _, id := range ids {
		tc.answerPoll(id, nil, nil)
	}
	tc.addJob("a", "plain", 1, stepWithTasks(8))
	tc.advance(200 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 8)
}

// Guards against a new leader that begins a maintenance while another machine of the wave is down: one that its predecessor has
// requested, without knowing the outcome, or that only the list shows.
func TestSuccessorRespectsTheMaximumOfAWave(t *testing.T) {
	machines := func(down bool) backend.MachineList {
		return backend.MachineList{Machines: []backend.Machine{
			{ID: "m-w1", Worker: "w1", InService: !down, InMaintenance: down}, {ID: "m-w2", Worker: "w2", InService: true},
		}}
	}
	for name, record := range map[string]string{"requested": `{"requested":["m-w1"]}`, "settled": `{"settled":["m-w1"]}`, "none": ""} {
		tc := newTestCluster(t, 2)
		tc.addWorker("w1")
		tc.addWorker("w2")
		tc.storedWaves[1] = StoredWave{Record: []byte(record)}
		tc.core.SetWave(backend.MaintenanceWave{Number: 1, Machines: []string{"m-w1", "m-w2"}, Duration: time.Minute, MaxUnavailable: 1}, tc.now)
		tc.maintenanceRefusal = backend.MachineBusy
		for range 4 {
			tc.core.SetMachines(machines(true), tc.now, tc.now)
			begun, _ := tc.runMaintenance(500 * time.Millisecond)
			for _, m := range begun {
				assert.Equal(t, m, "m-w1", name)
			}
		}
		tc.maintenanceRefusal = ""
		var begun []string
		for range 10 {
			tc.core.SetMachines(machines(false), tc.now, tc.now)
			again, _ := tc.runMaintenance(500 * time.Millisecond)
			begun = append(begun, again...)
		}
		if name == "settled" {
			assert.DeepEqual(t, begun, []string{"m-w2"})
		} else {
			assert.DeepEqual(t, begun, []string{"m-w1", "m-w2"})
		}
	}
}

// Guards against a maintenance request that is sent before it is recorded: the next leader would not know of it.
func TestMaintenanceIsRecordedBeforeItsRequest(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.core.SetWave(backend.MaintenanceWave{Number: 1, Machines: []string{"m-w1"}, Duration: time.Minute, MaxUnavailable: 1}, tc.now)
	tc.listMachines([]string{"w1"}, nil)
	for end := tc.now + 2*time.Second; tc.now < end; {
		tc.now += tick
		for _, action := range tc.core.Step(tc.now, 0) {
			if a, ok := action.(*ReadWaveAction); ok {
				tc.core.WaveRead(a, StoredWave{}, nil, tc.now)
			}
			_, requested := action.(*MaintainAction)
			assert.Assert(t, !requested)
		}
		if b := tc.core.CollectBatch(80); !b.Empty() {
			tc.core.BatchStored(b, false, tc.now)
		}
	}
	begun, _ := tc.runMaintenance(time.Second)
	assert.DeepEqual(t, begun, []string{"m-w1"})
	assert.Equal(t, string(tc.storedWaves[1].Record), `{"settled":["m-w1"]}`)
}
