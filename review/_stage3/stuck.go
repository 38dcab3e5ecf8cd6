package main

import (
	"fmt"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/standin/wire"
)

const (
	// stuckMachines is the number of machines, of which stuckKind have the label that the lasting tasks require.
	stuckMachines, stuckKind = 8, 3
	// stuckCores are the cores of an executor, and lastingMilli what a lasting task needs, in thousandths of a core.
	stuckCores, lastingMilli = 16, 2000
	// afterLastRun is the time after the last run of a lasting task from which it has to run again.
	afterLastRun = 6 * time.Second
)

// standing is a submission of six tasks that last, on the machines with one label.
const standing = `{"specification":"watch","steps":[{"count":6,"cpu":2000,"memoryRequestMb":1000,"estimatedMs":1000,"longRunning":true,"requirements":"kb","mayMiss":1}]}`

// playStuck orders a wave over all machines of one kind. The lasting tasks that need this kind have to run 14 s after the end of the traffic.
func playStuck(r *record, trouble bool) (outcome, error) {
	s, err := newStage(r)
	if err != nil {
		return notRun, err
	}
	defer s.close()
	each := model.Resources{CPUMilli: lastingMilli, MemoryMiB: 1000}
	begin := time.Now()
	s.workers = backends.NewWorkers(func() time.Duration { return time.Since(begin) }, func(task string) backends.TaskBehavior {
		if task[0] == 'c' {
			return backends.TaskBehavior{Resources: each, Duration: time.Hour, Service: true}
		}
		return backends.TaskBehavior{Resources: model.Resources{CPUMilli: 1000, MemoryMiB: 100}, Duration: taskTime}
	})
	c := &cloud{stage: s, cores: stuckCores, waves: map[int]map[string]bool{}, tasks: map[string]*lastingTask{}, cancelled: true}
	ids := []string{}
	for i := range stuckMachines {
		m := &machine{id: fmt.Sprintf("m%02d", i), kind: "ka", rack: fmt.Sprintf("r%d", 1+i/4), waves: map[int]bool{}}
		if i < stuckKind {
			m.kind = "kb"
			ids = append(ids, m.id)
		}
		c.machines = append(c.machines, m)
		if err := c.boot(m); err != nil {
			return notRun, err
		}
	}
	address, err := s.serve(c)
	if err != nil {
		return notRun, err
	}
	key, value := wire.ConfigRow(1, host, service, prefix)
	s.tables.Put(key, value)
	if err := s.addNodes(4, map[string]any{"machines_address": address}); err != nil {
		return notRun, err
	}
	if err := s.awaitServing(15 * time.Second); err != nil {
		return notRun, err
	}
	if !s.submit("c000000000000001", standing, 4) {
		return notRun, fmt.Errorf("the submission was not accepted")
	}
	time.Sleep(4 * time.Second)
	if n := len(s.workers.RunningTasks()); n != 6 {
		return notRun, fmt.Errorf("%d of 6 tasks run before the disturbance", n)
	}
	if trouble {
		if err := c.orderWave(1, stuckKind, 20*time.Second, ids); err != nil {
			return notRun, err
		}
	}
	for i := range 10 {
		s.submit(fmt.Sprintf("%016x", 0xa001+i), wire.JobBody(2, model.Resources{CPUMilli: 1000, MemoryMiB: 100}, taskTime), 4)
		time.Sleep(300 * time.Millisecond)
	}
	r.printf("the traffic has ended")
	time.Sleep(finish)
	longest := c.watchAway(r, 2*idle+afterLastRun)
	s.state("c000000000000001")
	r.printf("status/wave/1: %s", s.tables.Rows("status")["wave/1"].Value)
	r.printf("a lasting task stood still for %v with capacity for it twice over, from %v after its last run", longest.Round(time.Millisecond), afterLastRun)
	if longest >= idle {
		return broken, nil
	}
	return kept, nil
}

// watchAway returns the longest time for which a lasting task did not run though it had to.
func (c *cloud) watchAway(r *record, limit time.Duration) time.Duration {
	longest := time.Duration(0)
	since := map[string]time.Time{}
	lastLine := time.Now()
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		c.mu.Lock()
		now := time.Now()
		free := c.freeFor()
		for name, t := range c.tasks {
			if name[0] != 'c' {
				continue
			}
			if t.running || now.Sub(t.endedAt) < afterLastRun || free < 2 {
				delete(since, name)
				continue
			}
			if _, ok := since[name]; !ok {
				since[name] = now
			}
			longest = max(longest, now.Sub(since[name]))
			if now.Sub(lastLine) > time.Second {
				lastLine = now
				r.printf("task %s has not run for %v; the executors that it may use have room for %d more like it", name, now.Sub(t.endedAt).Round(time.Millisecond), free)
			}
		}
		c.mu.Unlock()
	}
	return longest
}

// freeFor returns for how many more lasting tasks the executors with the label have room. Callers hold c.mu.
func (c *cloud) freeFor() int {
	free := 0
	for _, m := range c.machines {
		if m.kind != "kb" || m.state != stateUp {
			continue
		}
		used := 0
		for name, t := range c.tasks {
			switch {
			case !t.running || t.executor != m.executor:
			case name[0] == 'c':
				used += lastingMilli
			default:
				// An ordinary task counts as running from its start on, which leaves less room than there is.
				used += 1000
			}
		}
		free += max(0, 1000*stuckCores-used) / lastingMilli
	}
	return free
}
