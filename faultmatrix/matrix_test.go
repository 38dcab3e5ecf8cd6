package faultmatrix

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// cell is one cell of the fault matrix: a step and the faults that fire at it.
type cell struct {
	step   step
	first  fault
	second *fault
	// twice makes the fault fire at the first two messages of the step.
	twice bool
	// nth is the number of the message at which the fault fires, counted from 1; 0 is the first.
	nth int
}

func (c cell) name() string {
	name := string(c.step) + "/" + c.first.name
	switch {
	case c.second != nil:
		return name + "+" + c.second.name
	case c.twice:
		return name + "-twice"
	}
	return name
}

// losesLeases reports whether the faults of the cell make leases expire or disconnect a worker. The result of a task that
// finishes on an unreachable worker is unknown, so a batch task is started again.
func (c cell) losesLeases() bool {
	leaseFaults := map[string]bool{"worker-dies": true, "lease-expires": true}
	if leaseFaults[c.first.name] || (c.second != nil && leaseFaults[c.second.name]) {
		return true
	}
	// No instance can take over from a paused rack owner while the store is down, so its leases expire.
	return c.second != nil && c.first.name == "process-pauses" && c.second.name == "store-unavailable"
}

// cells returns the cells of the matrix: single has each fault at each step, firing once and twice, and pairs has each pair
// of faults at each step.
func cells() (single, pairs []cell) {
	for _, s := range steps {
		for i, f := range faults {
			single = append(single, cell{step: s, first: f}, cell{step: s, first: f, twice: true})
			for k := i + 1; k < len(faults); k++ {
				pairs = append(pairs, cell{step: s, first: f, second: &faults[k]})
			}
		}
	}
	return single, pairs
}

// runCell runs the scenario with the faults of a cell in virtual time. It returns the broken promises and how many times a
// fault fired.
func runCell(t *testing.T, c cell, seed uint64, mutate mutations) (problems []string, fired int) {
	problems, fired, _ = runCellWithHistory(t, c, seed, mutate)
	return problems, fired
}

// runCellWithHistory is like runCell and also returns the messages in the order of their arrival.
func runCellWithHistory(t *testing.T, c cell, seed uint64, mutate mutations) (problems []string, fired int, history []string) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, seed, mutate)
		s := &scenario{sim: sim}
		if c.first.apply != nil {
			sim.arm(c.step, c.first, firingMessages(c)...)
		}
		if c.second != nil {
			sim.arm(c.step, *c.second, 1)
		}
		s.run()
		time.Sleep(5 * time.Second)
		problems, fired = s.checkPromises(c), sim.firedCount()
		sim.close()
		history = sim.history
	})
	return problems, fired, history
}

// firingMessages returns the numbers of the messages at which the first fault of a cell fires.
func firingMessages(c cell) []int {
	if c.twice {
		return []int{1, 2}
	}
	if c.nth > 0 {
		return []int{c.nth}
	}
	return []int{1}
}

// checkPromises checks what workers and callers observed against the promises P1 to P8 and returns the violations.
func (s *scenario) checkPromises(c cell) []string {
	counts := s.sim.observer.Counts()
	if counts.Overcommits > 0 {
		s.problemf("P1: %d starts exceeded the capacity of a worker", counts.Overcommits)
	}
	if counts.DoubleRuns > 0 {
		s.problemf("P2: %d starts of a task that ran elsewhere: %v", counts.DoubleRuns, s.sim.observer.Faults())
	}
	if counts.Reruns > 0 && !c.losesLeases() {
		s.problemf("%d starts of a task that had finished, and no lease was lost", counts.Reruns)
	}
	for _, call := range s.calls {
		s.checkCall(c, call)
	}
	if n := s.sim.startsByPayload["other-payload"]; n > 0 && s.sim.startsByPayload["keyed-0"] > 0 {
		s.problemf("P5: a key that was used for another payload started %d calls", n)
	}
	for _, name := range s.refusedConfirmations {
		if n := s.sim.startsByPayload[name]; n > 0 {
			s.problemf("P4: the confirmation of %s was answered NotRun, but it started %d times", name, n)
		}
	}
	for _, start := range s.sim.startsByWorker[s.leavingWorker] {
		if delay := start.at.Sub(s.leaveAnnouncedAt); s.leavingWorker != "" && delay > maxStartDelayAfterLeave+s.memberListStaleness(c) {
			s.problemf("P6: task %s started on leaving worker %s after %v", start.task, s.leavingWorker, delay)
		}
	}
	for _, j := range s.jobs {
		for _, id := range s.unfinishedTasks(j) {
			s.problemf("lost: task %s of confirmed intent %s did not finish", id, j.intent.Spec.Name)
		}
	}
	return s.problems
}

// memberListStaleness returns for how long the member list can be stale in a cell. P6 does not apply before the list reports
// that the worker leaves.
func (s *scenario) memberListStaleness(c cell) time.Duration {
	if c.first.name == "instance-list-stale" || (c.second != nil && c.second.name == "instance-list-stale") {
		return 2 * outage
	}
	return 0
}

// checkCall checks the promises for one call.
func (s *scenario) checkCall(cell cell, c *call) {
	starts := s.sim.startsByPayload[c.payload]
	if starts > 1 {
		s.problemf("P5: call %s started %d times", c.payload, starts)
	}
	if c.draining && cell.first.name == noFault && c.err != nil {
		s.problemf("P7: call %s was in flight on an instance that shut down gracefully and was answered %v", c.payload, c.err)
	}
	switch verdict.Of(c.err) {
	case verdict.NotRun:
		if starts > 0 {
			s.problemf("P4: call %s was answered NotRun (%v) at %s, but it started", c.payload, c.err, c.answeredAt.Format(time.TimeOnly))
		}
	case verdict.Ran:
		if c.err == nil && c.reply.Answer != string(expectedAnswer(c.payload)) {
			s.problemf("P3: call %s was answered with %q", c.payload, c.reply.Answer)
		}
	}
	if !cell.losesLeases() && !c.singleAttempt && c.err != nil && s.sim.observer.Finished(s.taskOf(c.payload)) > 0 && verdict.Of(c.err) != verdict.Ran {
		s.problemf("lost: call %s finished on a worker, but its caller received the error %v", c.payload, c.err)
	}
}

// taskOf returns the ID of the latest task that a worker started for a payload.
func (s *scenario) taskOf(payload string) model.TaskID {
	return s.sim.taskByPayload[payload]
}

// TestFaultMatrix guards the promises P1 to P8 against every fault at every step, firing once, twice, and in pairs.
func TestFaultMatrix(t *testing.T) {
	single, pairs := cells()
	var ran atomic.Int64
	t.Run("cells", func(t *testing.T) {
		for i, c := range append(single, pairs...) {
			if i%cellStride != 0 {
				continue
			}
			t.Run(c.name(), func(t *testing.T) {
				t.Parallel()
				problems, _ := runCell(t, c, uint64(i), mutations{})
				for _, p := range problems {
					t.Error(p)
				}
				ran.Add(1)
			})
		}
	})
	t.Logf("%d cells and %d pairs defined, %d run", len(single), len(pairs), ran.Load())
}

// noFault is the name of the fault that has no effect. P7 is checked only with it: without faults, a graceful shutdown must
// not fail calls in flight.
const noFault = "none"

// TestNoFault guards against a scenario in which, without any fault, requests are refused, calls are cut off or promises are
// broken, or in which a step of the matrix does not occur.
func TestNoFault(t *testing.T) {
	noop := fault{noFault, func(*simulation, message, *delivery) {}}
	for _, s := range steps {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			problems, fired := runCell(t, cell{step: s, first: noop}, 1, mutations{})
			for _, p := range problems {
				t.Error(p)
			}
			if fired == 0 {
				t.Errorf("step %s did not occur", s)
			}
		})
	}
}

// reproducibleMessages is the number of messages of a cell that arrive at the same instants in each run. After the first
// ownership change the order may differ, because one takeover unblocks several requests of an instance at once.
const reproducibleMessages = 300

// TestSameSeedSameHistory guards against results of the matrix that depend on how goroutines are scheduled.
func TestSameSeedSameHistory(t *testing.T) {
	for i, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := cell{step: steps[i%len(steps)], first: f}
			_, _, first := runCellWithHistory(t, c, uint64(i), mutations{})
			_, _, second := runCellWithHistory(t, c, uint64(i), mutations{})
			assert.Assert(t, len(first) > reproducibleMessages && len(second) > reproducibleMessages)
			assert.DeepEqual(t, first[:reproducibleMessages], second[:reproducibleMessages])
		})
	}
}
