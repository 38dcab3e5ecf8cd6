package main

import (
	"fmt"
	"time"
)

// playPinned: services need the kind of machine of which there is one. Two of them fail soon after each start; the third one fails once.
func playPinned(c *cell, trouble bool) (string, error) {
	const (
		failMS = 2000
		// away is how long a task that lasts may have no run while there is capacity for it: 6 s, and then 3 s.
		away   = 9 * time.Second
		before = 8 * time.Second
		watch  = 40 * time.Second
	)
	submit := func(b behavior) (string, error) {
		return c.submit(map[string]any{
			"specification": specification(b),
			"steps":         []any{map[string]any{"count": 1, "cpu": 1000, "memoryRequestMb": 1000, "estimatedMs": 1000, "longRunning": true, "requirements": "c"}},
		})
	}
	sound, err := submit(behavior{})
	if err != nil {
		return "", err
	}
	ids := []string{sound}
	time.Sleep(before)
	for range 2 {
		b := behavior{}
		if trouble {
			b.FailMS = failMS
		}
		id, err := submit(b)
		if err != nil {
			return "", err
		}
		ids = append(ids, id)
	}
	if trouble {
		c.awaitFailures(ids[1:], 3)
		time.Sleep(time.Second)
		for _, m := range c.machines {
			m.present().fail(sound + ".0.0.0")
		}
	}
	time.Sleep(watch)
	broken := ""
	for i, id := range ids {
		for name, t := range c.seen.ofSubmission(id) {
			idle, from := t.longestIdle, t.idleFrom
			if t.open == 0 && time.Since(t.idleSince) > idle {
				idle, from = time.Since(t.idleSince), t.idleSince
			}
			c.record.logf("task %s (service %d): %d starts, %d failed; the longest time without a run was %.2f s, from %.3f s on", name, i, t.starts, t.failed,
				idle.Seconds(), from.Sub(c.record.startedAt).Seconds())
			if idle > away {
				broken += fmt.Sprintf(" task %s had no run for %.1f s;", name, idle.Seconds())
			}
		}
	}
	if broken != "" {
		return "LOST:" + broken + " its executor was sound and had room for it all the while", nil
	}
	return "", nil
}

// awaitFailures waits until the task of each submission has failed some times.
func (c *cell) awaitFailures(ids []string, times int) {
	for range 300 {
		missing := false
		for _, id := range ids {
			missing = missing || c.seen.ofSubmission(id)[id+".0.0.0"].failed < times
		}
		if !missing {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}
