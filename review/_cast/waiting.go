package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// playWaiting: an executor answers starts with 503 for some time, which submissions need that are handed in meanwhile.
func playWaiting(c *cell, trouble bool) (string, error) {
	const (
		submissions = 6
		// greyFor is how long the executor is unhealthy, and visible how long after their acceptance submissions must be counted: visible_ms and 2 s.
		greyFor = 6500 * time.Millisecond
		visible = 5 * time.Second
	)
	time.Sleep(3 * time.Second)
	special := c.machines[0].present()
	special.setUnhealthy(trouble)
	greyUntil := c.record.now() + greyFor
	var ids []string
	for range submissions {
		id, err := c.submit(map[string]any{
			"specification": specification(behavior{MS: 3000}),
			"steps":         []any{map[string]any{"count": 1, "cpu": 1000, "memoryRequestMb": 1000, "estimatedMs": 3000, "requirements": "c"}},
		})
		if err != nil {
			return "", err
		}
		ids = append(ids, id)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(visible + 100*time.Millisecond)
	broken, asked := "", 0
	for c.record.now() < greyUntil+3*time.Second {
		if c.record.now() >= greyUntil {
			special.setUnhealthy(false)
		}
		for _, n := range c.nodes {
			before := c.notBegun(ids)
			given, ok := c.waiting(n)
			// Only those count that have not begun after the answer either.
			if left := c.notBegun(ids); ok && left == before && 2*given < left {
				broken = fmt.Sprintf("MIXED: %s gives %d as waiting, and %d accepted submissions have not begun", n.name, given, left)
				c.record.logf("%s", broken)
				asked++
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	if broken != "" {
		broken += fmt.Sprintf(" (%d such answers)", asked)
	}
	return broken, nil
}

// notBegun returns the number of submissions of which no task has started.
func (c *cell) notBegun(ids []string) int {
	n := 0
	for _, id := range ids {
		if len(c.seen.ofSubmission(id)) == 0 {
			n++
		}
	}
	return n
}

// waiting asks an instance for the number of waiting submissions.
func (c *cell) waiting(n *node) (int, bool) {
	status, answer := c.call(n, http.MethodGet, prefix, "")
	var body struct {
		Waiting int `json:"waiting"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil {
		return 0, false
	}
	return body.Waiting, true
}

// setUnhealthy makes the executor answer starts with 503, or not.
func (e *executor) setUnhealthy(unhealthy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unhealthy != unhealthy {
		e.cell.record.logf("executor %s is unhealthy: %v", e.id, unhealthy)
	}
	e.unhealthy = unhealthy
}
