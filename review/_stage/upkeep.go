package main

import (
	"fmt"
	"syscall"
	"time"
)

// machineNames returns the names of all machines.
func (c *cloud) machineNames() []string {
	var names []string
	for _, m := range c.machines {
		names = append(names, m.name)
	}
	return names
}

// playUpkeepSameID has the upkeep of all machines in a wave, after which each executor starts again under the id that it had. Without
// the trouble they get new ids. Then a client hands a submission in.
func playUpkeepSameID(s *system, trouble bool) ([]string, error) {
	const (
		before, after = "00000000000000c1", "00000000000000c2"
		// finish is the bound finish_s, and idle how long a submission may have nothing running after that.
		finish, idle = 14 * time.Second, 3 * time.Second
		tasks        = 6
	)
	each := behavior{duration: time.Second, demand: demand{CPU: 1000, Memory: 1000}}
	c, err := newCloud(s, 3, demand{CPU: 16000, Memory: 64000}, func(string) behavior { return each })
	if err != nil {
		return nil, err
	}
	c.keepsID = trouble
	if err := s.startNodes(3); err != nil {
		return nil, err
	}
	if err := s.awaitService(); err != nil {
		return nil, err
	}
	body := stepBody(map[string]any{"count": tasks, "cpu": 1000, "memoryRequestMb": 1000, "estimatedMs": 1000})
	if err := s.submit(s.nodes[0], before, body); err != nil {
		return nil, err
	}
	if !waitFor(10*time.Second, func() bool { return len(s.record.runsOf(before)) == tasks && c.running() == 0 }) {
		return nil, fmt.Errorf("the first submission did not run")
	}
	c.setWave(waveRow{Wave: 1, Machines: c.machineNames(), DurationS: 20, Maximum: 1})
	if !waitFor(40*time.Second, func() bool { return c.isCompleted(1) && c.allUp() }) {
		return nil, fmt.Errorf("the wave was not completed")
	}
	s.record.note("wave 1 is completed and all machines are up")
	time.Sleep(4 * time.Second)
	if err := s.submit(s.nodes[0], after, body); err != nil {
		return nil, err
	}
	time.Sleep(finish)
	state := s.state(s.nodes[1], after)
	for end := time.Now().Add(idle); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if len(s.record.runsOf(after)) > 0 {
			return nil, nil
		}
	}
	return []string{fmt.Sprintf("%.0f s after the end of the traffic submission %s, shown as %q, has nothing running and never had, while all %d executors are up and idle",
		(finish + idle).Seconds(), after, state, len(c.machines))}, nil
}

// playUpkeepReplay kills the leader after a wave over all machines is completed. Then a client hands a submission in.
func playUpkeepReplay(s *system, trouble bool) ([]string, error) {
	const (
		before, after = "00000000000000f1", "00000000000000f2"
		// finish is the bound finish_s, and idle how long a submission may have nothing running after that.
		finish, idle = 14 * time.Second, 3 * time.Second
		// settle is the time between the kill and the second submission. It exceeds contactMs and the time of a takeover.
		settle  = 20 * time.Second
		restart = 500 * time.Millisecond
		tasks   = 6
	)
	each := behavior{duration: time.Second, demand: demand{CPU: 1000, Memory: 1000}}
	c, err := newCloud(s, 3, demand{CPU: 16000, Memory: 64000}, func(string) behavior { return each })
	if err != nil {
		return nil, err
	}
	if err := s.startNodes(3); err != nil {
		return nil, err
	}
	if err := s.awaitService(); err != nil {
		return nil, err
	}
	body := stepBody(map[string]any{"count": tasks, "cpu": 1000, "memoryRequestMb": 1000, "estimatedMs": 1000})
	if err := s.submit(s.nodes[0], before, body); err != nil {
		return nil, err
	}
	if !waitFor(10*time.Second, func() bool { return len(s.record.runsOf(before)) == tasks && c.running() == 0 }) {
		return nil, fmt.Errorf("the first submission did not run")
	}
	c.setWave(waveRow{Wave: 1, Machines: c.machineNames(), DurationS: 20, Maximum: 1})
	if !waitFor(40*time.Second, func() bool { return c.isCompleted(1) && c.allUp() }) {
		return nil, fmt.Errorf("the wave was not completed")
	}
	s.record.note("wave 1 is completed and all machines are up")
	time.Sleep(4 * time.Second)
	if trouble {
		if err := s.restartNode(s.leader(), restart); err != nil {
			return nil, err
		}
	}
	time.Sleep(settle)
	if err := s.submit(s.nodes[0], after, body); err != nil {
		return nil, err
	}
	time.Sleep(finish)
	state := s.state(s.nodes[1], after)
	for end := time.Now().Add(idle); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if len(s.record.runsOf(after)) > 0 {
			return nil, nil
		}
	}
	return []string{fmt.Sprintf("%.0f s after the end of the traffic submission %s, shown as %q, has nothing running and never had, while all %d executors are up and idle",
		(finish + idle).Seconds(), after, state, len(c.machines))}, nil
}

// playUpkeepHandover sends SIGTERM to the leader while a machine is down for its upkeep and another one, which comes earlier in the
// order of names, has just become idle.
func playUpkeepHandover(s *system, trouble bool) ([]string, error) {
	const submission = "00000000000000d1"
	idle := make(chan struct{})
	each := behavior{finish: idle, demand: demand{CPU: 1000, Memory: 1000}}
	c, err := newCloud(s, 4, demand{CPU: 16000, Memory: 64000}, func(string) behavior { return each })
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
	body := stepBody(map[string]any{"count": 1, "cpu": 1000, "memoryRequestMb": 1000, "estimatedMs": 8000})
	if err := s.submit(s.nodes[0], submission, body); err != nil {
		return nil, err
	}
	if !waitFor(10*time.Second, func() bool { return c.running() == 1 }) {
		return nil, fmt.Errorf("the submission does not run")
	}
	begun := make(chan string, 16)
	c.onBegin = func(name string) { begun <- name }
	c.setWave(waveRow{Wave: 1, Machines: c.machineNames(), DurationS: 30, Maximum: 1})
	for range 2 {
		select {
		case <-begun:
		case <-time.After(20 * time.Second):
			return nil, fmt.Errorf("the wave does not advance")
		}
	}
	// The second upkeep has just begun. The task ends, so that its machine is idle too.
	close(idle)
	time.Sleep(300 * time.Millisecond)
	leader := s.leader()
	if trouble {
		s.record.note("SIGTERM to %s, which leads", leader.name)
		_ = leader.cmd.Process.Signal(syscall.SIGTERM)
	}
	if !waitFor(40*time.Second, func() bool { return c.isCompleted(1) && c.allUp() }) {
		return nil, fmt.Errorf("the wave was not completed")
	}
	return c.overMaximum, nil
}
