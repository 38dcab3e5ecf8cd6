package main

import (
	"fmt"
	"net/http"
	"time"
)

// playPacedTask kills the leader after it has paced a task that fills to nothing, for a task that serves. Then the serving submission
// is cancelled, so that nothing is in the way of the other one.
func playPacedTask(s *system, trouble bool) ([]string, error) {
	const (
		serving, filling = "0000000000000801", "0000000000000802"
		restart          = 500 * time.Millisecond
		// patience is many times the work of the filling task.
		patience = 45 * time.Second
	)
	family := &taskFamily{}
	family.set(serving, behavior{demand: demand{CPU: 8000, Memory: 2000}, calmTail: 390, disturbedTail: 900})
	family.set(filling, behavior{duration: 6 * time.Second, demand: demand{Memory: 2000}, fills: true})
	c, err := newCloud(s, 1, demand{CPU: 16000, Memory: 64000}, family.of)
	if err != nil {
		return nil, err
	}
	if err := s.startNodes(3); err != nil {
		return nil, err
	}
	if err := s.awaitService(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if err := s.submit(s.nodes[0], serving, stepBody(map[string]any{
		"count": 1, "cpu": 8000, "memoryRequestMb": 2000, "estimatedMs": 200, "longRunning": true, "targetMs": 500, "image": "a",
	})); err != nil {
		return nil, err
	}
	if !waitFor(10*time.Second, func() bool { return c.running() == 1 }) {
		return nil, fmt.Errorf("the serving submission does not run")
	}
	if err := s.submit(s.nodes[0], filling, stepBody(map[string]any{
		"count": 1, "cpu": 4000, "memoryRequestMb": 2000, "estimatedMs": 6000, "fills": true, "image": "b",
	})); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		if err := s.restartNode(s.leader(), restart); err != nil {
			return nil, err
		}
	}
	s.call(s.nodes[0], http.MethodDelete, prefix+serving, "", 3*time.Second)
	time.Sleep(patience)
	if state := s.state(s.nodes[1], filling); state != "completed" {
		return []string{fmt.Sprintf("%.0f s after the serving submission was cancelled, submission %s of 6 s of work is shown as %q", patience.Seconds(), filling, state)}, nil
	}
	return nil, nil
}
