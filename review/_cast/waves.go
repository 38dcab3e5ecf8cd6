package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// playWaves: a service runs on all machines when the operator asks for a second wave of upkeep. Executors have crashed after the first one,
// so that the machines of the second wave have other executors than during the first.
func playWaves(c *cell, trouble bool) (string, error) {
	const (
		tasks, mayMiss = 8, 1
		crashFor       = 4 * time.Second
		rounds         = 2
	)
	id, err := c.submit(map[string]any{
		"specification": specification(behavior{}),
		"steps": []any{map[string]any{
			"count": tasks, "cpu": 3400, "memoryRequestMb": 4000, "estimatedMs": 1000, "longRunning": true, "mayMiss": mayMiss, "antiAffinity": 2,
		}},
	})
	if err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	c.askForWave(1, 1, c.machines[0].name)
	c.awaitWave(1)
	for round := range rounds {
		if c.record.now() > 95*time.Second {
			break
		}
		pair := []*machine{c.machines[1+2*round], c.machines[2+2*round]}
		for _, m := range pair {
			if trouble {
				m.crash("crash")
				time.Sleep(crashFor)
				if err := m.start(); err != nil {
					return "", err
				}
			}
			time.Sleep(2500 * time.Millisecond)
		}
		// Some tasks move to the new executors, which are the emptiest, when others fail. Then all is calm.
		c.spread(id, pair)
		time.Sleep(6 * time.Second)
		c.askForWave(2+round, 2, pair[0].name, pair[1].name)
		c.awaitWave(2 + round)
		if broken := c.judgeUpkeeps(id, mayMiss); broken != "" {
			return broken, nil
		}
	}
	return c.judgeUpkeeps(id, mayMiss), nil
}

// spread lets tasks of a submission fail, one after the other, until each of the machines has one.
func (c *cell) spread(id string, machines []*machine) {
	for range 8 {
		used := map[*machine]int{}
		var movable []string
		for name, t := range c.seen.ofSubmission(id) {
			if t.open == 0 {
				continue
			}
			used[t.executor.machine]++
			if !slices.Contains(machines, t.executor.machine) {
				movable = append(movable, name)
			}
		}
		missing := slices.ContainsFunc(machines, func(m *machine) bool { return used[m] == 0 })
		if !missing || len(movable) == 0 {
			return
		}
		slices.SortFunc(movable, strings.Compare)
		for _, m := range c.machines {
			if e := m.present(); e != nil && e.fail(movable[0]) {
				break
			}
		}
		time.Sleep(1500 * time.Millisecond)
	}
}

// awaitWave waits until the system says that a wave is completed, and all machines are up again.
func (c *cell) awaitWave(number int) {
	for range 100 {
		if c.waveState(number) == "completed" {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.record.logf("wave %d is shown as %q", number, c.waveState(number))
	time.Sleep(5 * time.Second)
}

// judgeUpkeeps reports an upkeep that has ended a task at work while as many others of its step were away as may miss: ended by an order, or
// without a run for notice.
func (c *cell) judgeUpkeeps(id string, mayMiss int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	const back = 1500 * time.Millisecond
	for i, u := range c.upkeeps {
		ended := u.ended
		away := 0
		for _, earlier := range c.upkeeps[:i] {
			if u.at.Sub(earlier.at) < back {
				away += len(earlier.ended)
			}
		}
		for range ended {
			if away >= mayMiss {
				return fmt.Sprintf("AVAIL: the upkeep of machine %s in wave %d ended %v at work while %d others of the step were away, ended by upkeeps; mayMiss is %d",
					u.machine, u.wave, ended, away, mayMiss)
			}
			away++
		}
	}
	return ""
}
