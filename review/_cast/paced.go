package main

import (
	"fmt"
	"time"
)

// playPaced is no case: slow answers don't count. A task that fills begins beside one that serves, on an executor that answers orders on pace
// with 503 for some time.
func playPaced(c *cell, trouble bool) (string, error) {
	const (
		targetMS, tailMS, harmMS = 100, 40, 120
		// greyFor is how long the executor is unhealthy, and calm the time after that until the rule is judged.
		greyFor, calm = 6500 * time.Millisecond, 8 * time.Second
		// harmFor is how long a task may be over its target (harmMs).
		harmFor = 4 * time.Second
	)
	step := func(more map[string]any) []any {
		out := map[string]any{"count": 1, "cpu": 1000, "memoryRequestMb": 1000, "estimatedMs": 20_000, "requirements": "c"}
		for k, v := range more {
			out[k] = v
		}
		return []any{out}
	}
	serving, err := c.submit(map[string]any{
		"specification": specification(behavior{TailMS: tailMS}),
		"steps":         step(map[string]any{"longRunning": true, "targetMs": targetMS, "image": "serving"}),
	})
	if err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	e := c.machines[0].present()
	if _, err := c.submit(map[string]any{
		"specification": specification(behavior{MS: 60_000, HarmMS: harmMS}), "steps": step(map[string]any{"fills": true, "image": "filling"}),
	}); err != nil {
		return "", err
	}
	for range 100 {
		if e.tailOf(serving+".0.0.0") > targetMS {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	e.setUnhealthy(trouble)
	time.Sleep(greyFor)
	e.setUnhealthy(false)
	time.Sleep(calm)
	longest, since := time.Duration(0), time.Time{}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		switch over := e.tailOf(serving+".0.0.0") > targetMS; {
		case !over:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		default:
			longest = max(longest, time.Since(since))
		}
	}
	if longest > harmFor {
		return fmt.Sprintf("HARM: the serving task is over its target for %.1f s, from 8 s after the end of the disruption on", longest.Seconds()), nil
	}
	return "", nil
}

// tailOf returns the tail of a task that serves, 0 if it doesn't run here.
func (e *executor) tailOf(task string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.runs[task]; r != nil {
		return e.tail(r)
	}
	return 0
}
