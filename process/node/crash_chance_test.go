package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// submitTogether submits jobs of two ordinary tasks of the given duration and returns their ids.
func (c *testCell) submitTogether(name string, jobs int, d time.Duration) []string {
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("%s%d", name, i)
		assert.NilError(c.t, c.submit(c.follower(), id, 2, smallTask(d), nil))
		ids = append(ids, id)
	}
	return ids
}

// addRacks adds racks of four workers each and returns the ids of the workers of each rack.
func (c *testCell) addRacks(racks int) [][]string {
	ids := make([][]string, racks)
	for rack := range racks {
		for i := range 4 {
			info := backend.WorkerInfo{
				ID: fmt.Sprintf("r%dw%d", rack, i), Address: fmt.Sprintf("r%dw%d:1", rack, i), Service: testService, Zone: "a",
				Labels: []string{"k", fmt.Sprintf("rack%d", rack)}, StartedMS: time.Now().UnixMilli(),
				Capacity: model.Resources{CPUMilli: 4000, MemoryMiB: 8000},
			}
			c.workers.Add(info)
			c.writeRegistryEntry(info)
			ids[rack] = append(ids[rack], info.ID)
		}
	}
	time.Sleep(time.Second)
	return ids
}

// setSilent makes workers silent, or ends their silence.
func (c *testCell) setSilent(silent bool, ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.silentWorkers[id] = silent
	}
}

// requireNoneFailed fails the test for each job that is not completed, except for those that may be given up: two workers have
// crashed under one of their tasks, and mayGiveUp is set.
func (c *testCell) requireNoneFailed(ids []string, mayGiveUp bool) {
	c.t.Helper()
	givenUp := 0
	for _, id := range ids {
		crashes := c.maxCrashes([]string{id})
		state, err := c.state(c.nodes[c.leader()], id)
		assert.NilError(c.t, err)
		if mayGiveUp && crashes >= 2 && state == job.Failed {
			givenUp++
			continue
		}
		if state != job.Completed {
			c.t.Errorf("job %s is %s after %d crashes under one of its tasks", id, state, crashes)
		}
	}
	c.t.Logf("%d jobs, at most %d crashes under a task, %d given up, %d crashes of workers", len(ids), c.maxCrashes(ids), givenUp, c.workers.WorkerCrashes())
}

// Guards against jobs that are failed because whole racks have lost power under their tasks, several times in some cases.
func TestRackPowerLossFailsNoJob(t *testing.T) {
	cases := map[string]struct {
		losses int
		silent bool
	}{
		"one rack":                            {1, false},
		"one silent rack":                     {1, true},
		"racks one after another":             {5, false},
		"racks one after another, all silent": {5, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runWithCrashes(t, 0, func(t *testing.T, c *testCell) {
				racks := c.addRacks(3)
				ids := c.submitTogether("a", 16, 8*time.Second)
				time.Sleep(time.Second)
				for range tc.losses {
					rack := c.busiestRack(racks, ids)
					c.workers.Crash(backends.Crash{Downtime: workerDowntime}, rack...)
					c.setSilent(tc.silent, rack...)
					time.Sleep(workerDowntime)
					c.setSilent(false, rack...)
					time.Sleep(2 * time.Second)
				}
				time.Sleep(30 * time.Second)
				assert.Assert(t, c.maxCrashes(ids) >= min(tc.losses, 3), "at most %d losses hit a task", c.maxCrashes(ids))
				c.requireNoneFailed(ids, false)
			})
		})
	}
}

// busiestRack returns the workers of the rack on which most of the first tasks of some jobs run.
func (c *testCell) busiestRack(racks [][]string, ids []string) []string {
	running := map[string]int{}
	for _, id := range ids {
		for _, worker := range c.workers.RunningOn(id + ".0.0.0") {
			running[worker]++
		}
	}
	runs := func(rack []string) int {
		sum := 0
		for _, worker := range rack {
			sum += running[worker]
		}
		return sum
	}
	return slices.MaxFunc(racks, func(a, b []string) int { return runs(a) - runs(b) })
}

// maxCrashes returns the largest number of crashes under a task of some jobs.
func (c *testCell) maxCrashes(ids []string) int {
	largest := 0
	for _, id := range ids {
		largest = max(largest, c.workers.TaskCrashes(id+".0.0.0"), c.workers.TaskCrashes(id+".0.0.1"))
	}
	return largest
}

// Guards against jobs that are failed because single workers crash by chance.
func TestChanceCrashesFailNoJob(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runWithCrashes(t, 15, func(t *testing.T, c *testCell) {
				rng := rand.New(rand.NewPCG(seed, 1))
				ids := c.submitTogether("a", 20, 3*time.Second)
				time.Sleep(500 * time.Millisecond)
				for range 2 {
					workers := c.workers.IDs()
					rng.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
					for _, id := range workers[:len(workers)/5] {
						c.workers.Crash(backends.Crash{Downtime: workerDowntime}, id)
						time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
					}
					time.Sleep(3 * time.Second)
				}
				time.Sleep(20 * time.Second)
				c.requireNoneFailed(ids, true)
			})
		})
	}
}

// moveTaskOften waits repeatedly until a task runs on a worker, and calls leave with the id of that worker.
func (c *testCell) moveTaskOften(task string, times int, leave func(worker string)) {
	for i := range times {
		for wait := 0; len(c.workers.RunningOn(task)) == 0; wait++ {
			assert.Assert(c.t, wait < 1000, "task %s does not run after %d moves", task, i)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		on := c.workers.RunningOn(task)
		assert.Assert(c.t, len(on) > 0, "task %s has ended after %d moves", task, i)
		leave(on[0])
	}
}

// Guards against a job that is failed because its workers were cut off for longer than their leases: they have not crashed.
func TestSilentWorkersFailNoJob(t *testing.T) {
	for name, unlisted := range map[string]bool{"listed": false, "missing in the registry": true} {
		t.Run(name, func(t *testing.T) {
			runWithCrashes(t, 6, func(t *testing.T, c *testCell) {
				ids := c.submitTogether("a", 4, 12*time.Second)
				c.moveTaskOften("a0.0.0.0", 4, func(worker string) {
					c.setSilent(true, worker)
					key := backend.RowKey{Table: "workers", Key: worker}
					entry := c.tables.Rows("workers")[worker].Value
					time.Sleep(4500 * time.Millisecond)
					if unlisted {
						c.removeRegistryEntry(worker)
					}
					time.Sleep(4 * time.Second)
					c.setSilent(false, worker)
					c.tables.Put(key, entry)
				})
				time.Sleep(20 * time.Second)
				assert.Assert(t, c.workers.Starts("a0.0.0.0") > 3, "%d starts", c.workers.Starts("a0.0.0.0"))
				c.requireNoneFailed(ids, false)
			})
		})
	}
}

// Guards against a job that is failed because its workers drained and left, or returned as new boots.
func TestDepartingWorkersFailNoJob(t *testing.T) {
	for name, returns := range map[string]bool{"gone": false, "back as a new boot": true} {
		t.Run(name, func(t *testing.T) {
			runWithCrashes(t, 8, func(t *testing.T, c *testCell) {
				ids := c.submitTogether("a", 4, 4*time.Second)
				service := smallTask(time.Second)
				service.Service = true
				assert.NilError(t, c.submit(c.follower(), "s", 2, service, nil))
				c.moveTaskOften("s.0.0.0", 4, func(worker string) {
					info := c.drainWorker(worker)
					time.Sleep(2 * time.Second)
					c.workers.Remove(worker)
					c.removeRegistryEntry(worker)
					time.Sleep(time.Second)
					if returns {
						info.Draining, info.StartedMS = false, time.Now().UnixMilli()
						c.workers.Add(info)
						c.writeRegistryEntry(info)
					}
				})
				time.Sleep(20 * time.Second)
				c.requireNoneFailed(ids, false)
				c.requireState(c.nodes[c.leader()], "s", job.Running)
				assert.Assert(t, c.workers.Starts("s.0.0.0") > 4)
			})
		})
	}
}

// drainWorker announces the departure of a worker in 2 s and returns its registry entry.
func (c *testCell) drainWorker(id string) backend.WorkerInfo {
	var info backend.WorkerInfo
	assert.NilError(c.t, json.Unmarshal(c.tables.Rows("workers")[id].Value, &info))
	info.Draining, info.RemainingMS = true, 2000
	c.writeRegistryEntry(info)
	return info
}

// Guards against ordinary jobs that are failed because their tasks shared workers with tasks that crash them, again and again.
func TestTasksBesideCrashingTasksFailNoJob(t *testing.T) {
	runWithCrashes(t, 4, func(t *testing.T, c *testCell) {
		var ids []string
		for i := range 8 {
			ids = append(ids, c.submitTogether(fmt.Sprintf("a%d-", i), 2, 2*time.Second)...)
			id := fmt.Sprintf("%s%d", crashingJob, i)
			assert.NilError(t, c.submit(c.follower(), id, 1, crashingTask(300*time.Millisecond), nil))
			time.Sleep(3 * time.Second)
		}
		time.Sleep(givenUpWithin / 2)
		c.requireNoneFailed(ids, false)
	})
}

// finishedJob is the log entry of a decided job.
type finishedJob struct {
	Event  string    `json:"msg"`
	Job    string    `json:"job"`
	State  job.State `json:"state"`
	LateMS int64     `json:"late_ms"`
}

// finishedJobs returns the decided jobs in the logs of the instances.
func (c *testCell) finishedJobs() []finishedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	var finished []finishedJob
	for scanner := bufio.NewScanner(strings.NewReader(c.log.String())); scanner.Scan(); {
		var f finishedJob
		if json.Unmarshal(scanner.Bytes(), &f) == nil && f.Event == "job_finished" {
			finished = append(finished, f)
		}
	}
	return finished
}

// Guards against ordinary jobs that fail or never complete while a tenth of many jobs crash their workers, and against a
// number of crashes beyond what giving up allows.
func TestManyCrashingJobs(t *testing.T) {
	const jobs, interval, share = 400, 25 * time.Millisecond, 10
	for name, delay := range map[string]time.Duration{"at the start": 0, "after 50 ms": 50 * time.Millisecond, "after 900 ms": 900 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			runWithCrashes(t, 48, func(t *testing.T, c *testCell) {
				var ids, crashing []string
				for i := range jobs {
					id, behavior := fmt.Sprintf("a%d", i), smallTask(time.Second)
					if i%share == 0 {
						id, behavior = fmt.Sprintf("%s%d", crashingJob, i), crashingTask(delay)
						crashing = append(crashing, id)
					} else {
						ids = append(ids, id)
					}
					go func() {
						if err := c.submit(c.follower(), id, 1, behavior, nil); err != nil {
							t.Errorf("submit job %s: %v", id, err)
						}
					}()
					time.Sleep(interval)
				}
				time.Sleep(givenUpWithin)
				failed := 0
				lateMS := []int64{}
				for _, f := range c.finishedJobs() {
					if f.State == job.Failed {
						failed++
					} else if f.LateMS > 0 {
						lateMS = append(lateMS, f.LateMS)
					}
				}
				slices.Sort(lateMS)
				t.Logf("%d of %d crashing jobs failed, %d ordinary jobs late, latest %v ms", failed, len(crashing), len(lateMS), lateMS[max(0, len(lateMS)-3):])
				c.requireNoneFailed(ids, false)
			})
		})
	}
}
