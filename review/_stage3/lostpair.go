package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/standin/wire"
)

const (
	// pairExecutors is the number of executors; one of them, 0.125, is lost.
	pairExecutors = 8
	// allowedAway is how long a lasting task may be away: 6 s from its last run, and less than 3 s more.
	allowedAway = afterLastRun + idle
)

// lasting is a submission of eight tasks that last, one on each executor.
const lasting = `{"specification":"watch","steps":[{"count":8,"cpu":2000,"memoryRequestMb":1000,"estimatedMs":1000,"longRunning":true,"antiAffinity":2,"mayMiss":1}]}`

// leader returns the node that the store names as the leader.
func (s *stage) leader() *node {
	var row struct{ Instance string }
	_ = json.Unmarshal(s.tables.Rows("leader")["leader"].Value, &row)
	for _, n := range s.nodes {
		if n.name == row.Instance {
			return n
		}
	}
	return nil
}

// lose ends a node for good.
func (s *stage) lose(n *node) {
	n.mu.Lock()
	n.down = true
	n.mu.Unlock()
	s.signal(n, syscall.SIGKILL)
}

// playLostPair kills the process that leads, and then loses the next leader and an executor for good at the same moment. The tasks of that
// executor have to run again in time.
func playLostPair(r *record, trouble bool) (outcome, error) {
	s, err := newStage(r)
	if err != nil {
		return notRun, err
	}
	defer s.close()
	each := model.Resources{CPUMilli: lastingMilli, MemoryMiB: 1000}
	begin := time.Now()
	s.workers = backends.NewWorkers(func() time.Duration { return time.Since(begin) }, func(string) backends.TaskBehavior {
		return backends.TaskBehavior{Resources: each, Duration: time.Hour, Service: true}
	})
	c := &cloud{stage: s, cores: stuckCores, waves: map[int]map[string]bool{}, tasks: map[string]*lastingTask{}, cancelled: true}
	for i := range pairExecutors {
		m := &machine{id: fmt.Sprintf("m%02d", i), kind: "ka", rack: fmt.Sprintf("r%d", 1+i/4), waves: map[int]bool{}}
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
	if !s.submit("c000000000000001", lasting, 4) {
		return notRun, fmt.Errorf("the submission was not accepted")
	}
	time.Sleep(2 * time.Second)
	if n := len(s.workers.RunningTasks()); n != 8 {
		return notRun, fmt.Errorf("%d of 8 tasks run before the disturbance", n)
	}
	if trouble {
		s.signal(s.leader(), syscall.SIGKILL)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		n := s.leader()
		if n == nil {
			return notRun, fmt.Errorf("no leader")
		}
		r.printf("disturbance: %s, which leads, and the executor on m00 are lost for good", n.name)
		s.lose(n)
		c.crash(c.machines[0], time.Hour)
	}
	longest := c.watchGone(r, 25*time.Second)
	r.printf("a lasting task was away for %v, %v allowed", longest.Round(time.Millisecond), allowedAway)
	if longest >= allowedAway {
		return broken, nil
	}
	return kept, nil
}

// watchGone returns the longest time for which a task has not run.
func (c *cloud) watchGone(r *record, limit time.Duration) time.Duration {
	longest := time.Duration(0)
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		c.mu.Lock()
		for _, t := range c.tasks {
			if !t.running {
				longest = max(longest, time.Since(t.endedAt))
			}
		}
		c.mu.Unlock()
	}
	return longest
}
