package main

import (
	"fmt"
	"time"
)

// playExecutorCutOff cuts one executor off from everybody and kills the leader just after that.
func playExecutorCutOff(s *system, trouble bool) ([]string, error) {
	const (
		submission = "0000000000000701"
		cut        = 5500 * time.Millisecond
		killAfter  = 300 * time.Millisecond
		restart    = 500 * time.Millisecond
		tasks      = 8
	)
	each := behavior{duration: 12 * time.Second, demand: demand{CPU: 2000, Memory: 2000}}
	c, err := newCloud(s, 6, demand{CPU: 16000, Memory: 64000}, func(string) behavior { return each })
	if err != nil {
		return nil, err
	}
	if err := s.startNodes(3); err != nil {
		return nil, err
	}
	if err := s.awaitService(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	body := stepBody(map[string]any{"count": tasks, "cpu": 2000, "memoryRequestMb": 2000, "estimatedMs": 12000})
	if err := s.submit(s.nodes[0], submission, body); err != nil {
		return nil, err
	}
	if !waitFor(10*time.Second, func() bool { return c.running() == tasks }) {
		return nil, fmt.Errorf("the submission does not run")
	}
	time.Sleep(time.Second)
	e := c.machines[0].executor
	began := time.Now()
	if trouble {
		e.setCutOff(true)
		time.Sleep(killAfter)
		if err := s.restartNode(s.leader(), restart); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(began.Add(cut)))
	if trouble {
		e.setCutOff(false)
	}
	time.Sleep(15 * time.Second)
	return s.record.runsTogether(), nil
}
