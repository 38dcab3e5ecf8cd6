package main

import (
	"fmt"
	"sync"
	"time"
)

// playLateHold has one executor leave one order to hold unanswered, restart under the id that it has, and carry the order out when its
// first run after that has just ended. That is the worst moment that the pages allow, between 2 and 12 s after the order was sent.
func playLateHold(s *system, trouble bool) ([]string, error) {
	const (
		tasks    = 6
		interval = 100 * time.Millisecond
		// settle is the time before the order that is late, restartAfter the time from then to the restart.
		settle       = 10 * time.Second
		restartAfter = 2 * time.Second
		downtime     = 500 * time.Millisecond
	)
	each := behavior{duration: 150 * time.Millisecond, demand: demand{CPU: 500, Memory: 500}}
	c, err := newCloud(s, 4, demand{CPU: 16000, Memory: 64000}, func(string) behavior { return each })
	if err != nil {
		return nil, err
	}
	m := c.machines[0]
	begin := make(chan struct{})
	taken := make(chan call, 1)
	var once sync.Once
	m.executor.takesLate = func(hold call) (late bool) {
		if hold.LastSeen == 0 || !isClosed(begin) {
			return false
		}
		once.Do(func() {
			late = true
			taken <- hold
		})
		return late
	}
	if err := s.startNodes(3); err != nil {
		return nil, err
	}
	if err := s.awaitService(); err != nil {
		return nil, err
	}
	body := stepBody(map[string]any{"count": tasks, "cpu": 500, "memoryRequestMb": 500, "estimatedMs": 150})
	go func() {
		for k := 0; ; k++ {
			_ = s.submit(s.nodes[k%3], fmt.Sprintf("0000000000%06x", 0x90000+k), body)
			time.Sleep(interval)
		}
	}()
	time.Sleep(settle)
	if trouble {
		close(begin)
		hold := <-taken
		s.record.note("executor %s leaves a hold with lastSeen %d unanswered", m.executor.id, hold.LastSeen)
		time.Sleep(restartAfter)
		c.restart(m, downtime, hold)
	}
	time.Sleep(20 * time.Second)
	return s.record.startsAfterDone(), nil
}

// restart ends the executor of a machine without notice and starts it again under its id after the downtime. The hold reaches the new
// process when its first run has ended.
func (c *cloud) restart(m *machine, downtime time.Duration, hold call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.system.record.note("executor %s restarts", m.executor.id)
	c.halt(m)
	time.Sleep(downtime)
	if err := c.boot(m, m.executor.id); err != nil {
		c.system.record.note("no executor can start on %s: %v", m.name, err)
		return
	}
	m.executor.setLateHold(hold)
}
