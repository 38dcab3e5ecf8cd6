package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/standin/wire"
)

const (
	// longTask is the run time of a task, and longJobs the number of submissions, which together need under half of the cores.
	longTask, longJobs = 15 * time.Second, 60
	// crashInterval is the time between two crashes of executors.
	crashInterval = 4 * time.Second
	// crashDowntime is how long a crashed executor is away; another one follows at its address.
	crashDowntime = 2 * time.Second
	// crashTraffic is for how long executors crash.
	crashTraffic = 80 * time.Second
)

// playCrashes hands in submissions that could be done, and lets executors crash at random. None of the submissions may be shown as failed,
// since no run of a task ends so.
func playCrashes(r *record, trouble bool) (outcome, error) {
	s, err := newStage(r)
	if err != nil {
		return notRun, err
	}
	defer s.close()
	each := model.Resources{CPUMilli: 3000, MemoryMiB: 1000}
	begin := time.Now()
	s.workers = backends.NewWorkers(func() time.Duration { return time.Since(begin) }, func(string) backends.TaskBehavior {
		return backends.TaskBehavior{Resources: each, Duration: longTask}
	})
	c := &cloud{stage: s, cores: 16, waves: map[int]map[string]bool{}, tasks: map[string]*lastingTask{}, cancelled: true}
	for i := range executors {
		m := &machine{id: fmt.Sprintf("m%02d", i), kind: "ka", rack: fmt.Sprintf("r%d", 1+i/8), waves: map[int]bool{}}
		c.machines = append(c.machines, m)
		if err := c.boot(m); err != nil {
			return notRun, err
		}
	}
	key, value := wire.ConfigRow(1, host, service, prefix)
	s.tables.Put(key, value)
	if err := s.addNodes(4, nil); err != nil {
		return notRun, err
	}
	if err := s.awaitServing(15 * time.Second); err != nil {
		return notRun, err
	}
	var accepted []string
	for i := range longJobs {
		id := fmt.Sprintf("%016x", 0xd001+i)
		if s.submit(id, wire.JobBody(1, each, longTask), 4) {
			accepted = append(accepted, id)
		}
	}
	if len(accepted) < longJobs {
		return notRun, fmt.Errorf("%d of %d submissions were accepted", len(accepted), longJobs)
	}
	for until := time.Now().Add(crashTraffic); time.Now().Before(until); time.Sleep(crashInterval) {
		for _, i := range rand.Perm(executors)[:crashed] {
			if m := c.machines[i]; trouble && c.isUp(m) {
				c.crash(m, crashDowntime)
			}
		}
	}
	time.Sleep(2 * time.Second)
	states := map[string]int{}
	for _, id := range accepted {
		state := s.state(id)
		states[state]++
		if state == "failed" {
			starts := s.workers.Starts(id + ".0.0.0")
			r.printf("LOST: %s is shown as failed. Its task was started %d times, was lost with its executor each time, and never ended `failed`", id, starts)
		}
	}
	r.printf("states of %d accepted submissions: %v", len(accepted), states)
	if states["failed"] > 0 || states["gone"] > 0 || states["cancelled"] > 0 {
		return broken, nil
	}
	return kept, nil
}

// isUp reports whether a machine has an executor.
func (c *cloud) isUp(m *machine) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return m.state == stateUp
}
