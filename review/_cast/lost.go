package main

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// playLost: the process that leads is killed when the executors have been up for some seconds, and restarted. Soon after another one leads an
// executor is lost for good.
func playLost(c *cell, trouble bool) (string, error) {
	const (
		tasks = 8
		// away is how long a task that lasts may have no run while there is capacity for it: 6 s, and then 3 s.
		away  = 9 * time.Second
		watch = 20 * time.Second
		// restartAfter is the short delay after which a process that was killed is restarted, and lostAfter the time from the takeover to the loss.
		restartAfter, lostAfter = time.Second, 700 * time.Millisecond
	)
	id, err := c.submit(map[string]any{
		"specification": specification(behavior{}),
		"steps":         []any{map[string]any{"count": tasks, "cpu": 3400, "memoryRequestMb": 4000, "estimatedMs": 1000, "longRunning": true, "antiAffinity": 2}},
	})
	if err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		killed := c.leader()
		if killed == nil {
			return "", fmt.Errorf("no instance leads")
		}
		before := c.leaderRow()
		restarted := make(chan error, 1)
		go func() { restarted <- c.restart(killed, restartAfter) }()
		for c.leaderRow() == before {
			if c.record.now() > 30*time.Second {
				return "", fmt.Errorf("no instance took over")
			}
			time.Sleep(5 * time.Millisecond)
		}
		c.record.logf("%s leads", c.leader().name)
		time.Sleep(lostAfter)
		c.machines[len(c.machines)-1].crash("lost for good")
		if err := <-restarted; err != nil {
			return "", err
		}
	}
	time.Sleep(watch)
	broken := ""
	for name, t := range c.seen.ofSubmission(id) {
		idle := t.longestIdle
		if t.open == 0 && time.Since(t.idleSince) > idle {
			idle = time.Since(t.idleSince)
		}
		if idle > 0 {
			c.record.logf("task %s had no run for %.2f s", name, idle.Seconds())
		}
		if idle > away {
			broken += fmt.Sprintf(" task %s had no run for %.1f s;", name, idle.Seconds())
		}
	}
	if broken != "" {
		return "LOST:" + broken + " seven executors had room for it all the while", nil
	}
	return "", nil
}

// leaderRow returns the row of the system that names the instance that leads. Only the choice and the moment of the disruption rest on it.
func (c *cell) leaderRow() string { return string(c.tables.Rows("leader")["leader"].Value) }

// leader returns the instance that leads, or nil.
func (c *cell) leader() *node {
	for _, n := range c.nodes {
		if strings.Contains(c.leaderRow(), `"instance":"`+n.name+`"`) {
			return n
		}
	}
	return nil
}

// restart kills the process of an instance and starts it again after a delay.
func (c *cell) restart(n *node, delay time.Duration) error {
	c.record.logf("the process of %s is killed", n.name)
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	_ = n.cmd.Wait()
	time.Sleep(delay)
	former := n.cmd
	n.cmd = exec.Command(former.Path)
	n.cmd.Env, n.cmd.Stdout, n.cmd.Stderr = former.Env, former.Stdout, former.Stderr
	c.record.logf("the process of %s is started again", n.name)
	return n.cmd.Start()
}
