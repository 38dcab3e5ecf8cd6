package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// crashSeed selects the executors that crash.
const crashSeed = 40

// playExecutorsCrash crashes one of eight executors every few seconds, chosen at random, while a lasting submission is at work.
func playExecutorsCrash(s *system, trouble bool) ([]string, error) {
	const (
		submission = "00000000000000e1"
		executors  = 8
		tasks      = 16
		crashes    = 16
		downtime   = 2 * time.Second
		interval   = 5 * time.Second
	)
	each := behavior{demand: demand{CPU: 3000, Memory: 3000}}
	c, err := newCloud(s, executors, demand{CPU: 16000, Memory: 64000}, func(string) behavior { return each })
	if err != nil {
		return nil, err
	}
	if err := s.startNodes(3); err != nil {
		return nil, err
	}
	if err := s.awaitService(); err != nil {
		return nil, err
	}
	body := stepBody(map[string]any{"count": tasks, "cpu": 3000, "memoryRequestMb": 3000, "estimatedMs": 200, "longRunning": true})
	if err := s.submit(s.nodes[0], submission, body); err != nil {
		return nil, err
	}
	if !waitFor(10*time.Second, func() bool { return c.running() == tasks }) {
		return nil, fmt.Errorf("the submission does not run")
	}
	random := rand.New(rand.NewPCG(crashSeed, crashSeed))
	for range crashes {
		time.Sleep(interval - downtime)
		if trouble {
			c.crash(c.machines[random.IntN(executors)], downtime)
		}
		time.Sleep(downtime)
		if state := s.state(s.nodes[1], submission); state == "failed" {
			return []string{fmt.Sprintf("submission %s is shown as %q, and %d of its %d runs ended failed", submission, state, s.record.failedRuns(submission), len(s.record.runsOf(submission)))}, nil
		}
	}
	return nil, nil
}

// crash ends the executor of a machine without notice. Another one comes after the downtime, under another id.
func (c *cloud) crash(m *machine, downtime time.Duration) {
	former := m.executor.id
	c.system.record.note("executor %s on %s crashes", former, m.name)
	c.mu.Lock()
	c.halt(m)
	c.mu.Unlock()
	// The entry lapses after three check-in intervals of silence.
	time.AfterFunc(3*heartbeatInterval, func() { c.system.store.remove(rowKey{Table: "servers", Key: former}) })
	time.AfterFunc(downtime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if err := c.boot(m, c.nextID()); err != nil {
			c.system.record.note("no executor can start on %s: %v", m.name, err)
		}
	})
}

// failedRuns returns how many runs of a submission ended failed.
func (r *record) failedRuns(submission string) int {
	n := 0
	for _, x := range r.runsOf(submission) {
		if x.how == "failed" {
			n++
		}
	}
	return n
}
