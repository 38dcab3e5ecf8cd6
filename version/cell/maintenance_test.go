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

// runMaintenance runs scheduling rounds for a duration, accepts all maintenance requests and returns their machines.
func (tc *testCluster) runMaintenance(d time.Duration) (machines []string, completed bool) {
	for end := tc.now + d; tc.now < end; {
		tc.now += tick
		for _, action := range tc.core.Step(tc.now, 0) {
			switch a := action.(type) {
			case *MaintainAction:
				machines = append(machines, a.Machine)
				tc.core.MaintainResult(a, "", nil, tc.now)
			case *WaveAction:
				completed = completed || a.Completed
			case *StopAction:
				tc.recordStop(a)
			}
		}
	}
	return machines, completed
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
	tc.step()
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
	tc.step()
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
	tc.now += time.Second
	for _, action := range tc.core.Step(tc.now, 0) {
		if a, ok := action.(*MaintainAction); ok {
			tc.core.MaintainResult(a, backend.MachineFenced, nil, tc.now)
		}
	}
	assert.Assert(t, tc.core.Superseded())
}

// A worker whose maintenance was refused for good must run tasks again: its capacity would be lost until its restart.
func TestRefusedMaintenanceUncordonsTheWorker(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.core.SetWave(backend.MaintenanceWave{Number: 1, Machines: []string{"m-w1"}, Duration: time.Minute, MaxUnavailable: 1}, tc.now)
	tc.listMachines([]string{"w1"}, nil)
	tc.now += time.Second
	for _, action := range tc.core.Step(tc.now, 0) {
		if a, ok := action.(*MaintainAction); ok {
			tc.core.MaintainResult(a, backend.MachineNotInWave, nil, tc.now)
		}
	}
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
