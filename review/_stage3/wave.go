package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/standin/wire"
)

// mayMiss is the mayMiss of the step.
const mayMiss = 1

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// readAll reads the body of a request and leaves it in place.
func readAll(r *http.Request) []byte {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return body
}

const (
	// executors is the number of machines, of which crashed are 0.125: the pages allow 0.15.
	executors, crashed = 24, 3
	// kindB machines have the label that the tasks require.
	kindB = 4
	// downtime is how long crashed executors are away; the pages have 4.5 s.
	downtime = 4500 * time.Millisecond
	// slowness is how long the platform is slow; the bench has 5 s.
	slowness = 5 * time.Second
	// rounds is how often executors crash while a wave waits for their machines.
	rounds = 8
)

// playWave orders waves while some executors are down. AVAIL has to hold for a step that lasts and needs the machines in question.
func playWave(r *record, trouble bool) (outcome, error) {
	s, err := newStage(r)
	if err != nil {
		return notRun, err
	}
	defer s.close()
	each := model.Resources{CPUMilli: 8000, MemoryMiB: 1000}
	begin := time.Now()
	s.workers = backends.NewWorkers(func() time.Duration { return time.Since(begin) }, func(string) backends.TaskBehavior {
		return backends.TaskBehavior{Resources: each, Duration: time.Hour, Service: true}
	})
	c := &cloud{stage: s, cores: 16, waves: map[int]map[string]bool{}, tasks: map[string]*lastingTask{}}
	for i := range executors {
		m := &machine{id: fmt.Sprintf("m%02d", i), kind: "ka", rack: fmt.Sprintf("r%d", 1+i/8), waves: map[int]bool{}}
		if i < kindB {
			m.kind = "kb"
		}
		c.machines = append(c.machines, m)
		if err := c.boot(m); err != nil {
			return notRun, err
		}
	}
	address, err := s.serve(c)
	if err != nil {
		return notRun, err
	}
	key, value := wire.ConfigRow(1, host, service, prefix)
	s.tables.Put(key, value)
	if err := s.addNodes(4, map[string]any{"machines_address": address}); err != nil {
		return notRun, err
	}
	if err := s.awaitServing(15 * time.Second); err != nil {
		return notRun, err
	}
	for round := range rounds {
		if err := playRound(s, c, round, trouble); err != nil {
			return notRun, err
		}
		c.mu.Lock()
		broke := len(c.violations)
		c.mu.Unlock()
		if broke > 0 {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.printf("%d upkeeps began; AVAIL was broken %d times: %q", c.upkeeps, len(c.violations), c.violations)
	if c.upkeeps == 0 {
		return notRun, fmt.Errorf("no upkeep began")
	}
	if len(c.violations) > 0 {
		return broken, nil
	}
	return kept, nil
}

// watch is a step of six tasks that last, of which two fit on a machine.
const watch = `{"specification":"watch","steps":[{"count":6,"cpu":8000,"memoryRequestMb":1000,"estimatedMs":1000,"longRunning":true,"requirements":"kb","mayMiss":1}]}`

// playRound crashes executors, hands in tasks that need their machines, orders a wave and waits until it has passed over the machines.
func playRound(s *stage, c *cloud, round int, trouble bool) error {
	if trouble {
		for _, m := range c.machines[:crashed] {
			c.crash(m, downtime)
		}
	}
	time.Sleep(500 * time.Millisecond)
	id := fmt.Sprintf("%016x", 0xc001+round)
	if !s.submit(id, watch, 4) {
		return fmt.Errorf("the submission was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	ids := []string{}
	for _, m := range c.machines[:kindB+2] {
		ids = append(ids, m.id)
	}
	if err := c.orderWave(round+1, crashed, 40*time.Second, ids); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if trouble {
		c.mu.Lock()
		c.slowUntil = time.Now().Add(slowness)
		c.mu.Unlock()
		s.record.printf("disturbance: the platform's list of machines and its orders are answered after %v, for %v", slowAnswer, slowness)
	}
	time.Sleep(8 * time.Second)
	c.mu.Lock()
	c.cancelled = true
	c.mu.Unlock()
	s.call(s.nodes[0], http.MethodDelete, id, "")
	time.Sleep(2500 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.tasks)
	c.cancelled = false
	return nil
}
