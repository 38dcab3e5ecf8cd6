package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// specification returns a behavior as the specification of a submission.
func specification(b behavior) string {
	data, _ := json.Marshal(b)
	return string(data)
}

// playCrashes: long tasks run while executors crash, one of eight at a time, chosen at random and not by what runs there. No task ever fails.
func playCrashes(c *cell, trouble bool) (string, error) {
	const (
		submissions, tasks = 5, 8
		taskMS             = 45_000
		crashEvery         = 5 * time.Second
		crashFor           = 4 * time.Second
		length             = 105 * time.Second
	)
	var ids []string
	for range submissions {
		id, err := c.submit(map[string]any{
			"specification": specification(behavior{MS: taskMS}),
			"steps":         []any{map[string]any{"count": tasks, "cpu": 2700, "memoryRequestMb": 7800, "estimatedMs": 40_000}},
		})
		if err != nil {
			return "", err
		}
		ids = append(ids, id)
	}
	for c.record.now() < length {
		time.Sleep(crashEvery - crashFor)
		m := c.machines[rand.IntN(len(c.machines))]
		if trouble {
			m.crash("crash")
		}
		time.Sleep(crashFor)
		if trouble {
			if err := m.start(); err != nil {
				return "", err
			}
		}
		if broken, over := c.judgeStates(ids); broken != "" || over {
			return broken, nil
		}
	}
	return "", nil
}

// judgeStates reports the submissions that are shown as failed although no run of theirs has ended as failed. over is true if all are
// completed.
func (c *cell) judgeStates(ids []string) (broken string, over bool) {
	over = true
	var wrong []string
	for _, id := range ids {
		state := c.state(c.nodes[1], id)
		over = over && state == "completed"
		failed, lost := 0, 0
		for _, t := range c.seen.ofSubmission(id) {
			failed += t.failed
			lost = max(lost, t.lost)
		}
		if state == "failed" && failed == 0 {
			wrong = append(wrong, fmt.Sprintf("%s (at most %d runs of a task were lost with their executors)", id, lost))
		}
	}
	if len(wrong) == 0 {
		return "", over
	}
	return "LOST: shown as failed although no run has ended as failed: " + strings.Join(wrong, ", "), over
}
