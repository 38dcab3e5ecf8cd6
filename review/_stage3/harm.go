package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/standin/wire"
)

const (
	// targetMS is the targetMs of the serving task, and quietTailMS its tail without tasks that fill beside it.
	targetMS, quietTailMS = 100, 40
	// lowDisturbanceMS and highDisturbanceMS are what one task that fills adds to the tail at full pace, before and after the change.
	lowDisturbanceMS, highDisturbanceMS = 10, 70
	// fillers is the number of tasks that fill.
	fillers = 4
	// greyTime is for how long an executor fails part of its requests, and greyShare that part.
	greyTime, greyShare = 5 * time.Second, 0.4
	// contact is contactMs, after which a disturbance is no longer near, and harm is harmMs.
	contact, harm = 3 * time.Second, 4 * time.Second
)

// sharedExecutor is an executor on which a serving task and tasks that fill share the processor.
type sharedExecutor struct {
	stage *stage
	next  http.Handler

	mu sync.Mutex
	// pace is the share at which each task that fills works, in percent.
	pace map[string]int
	// serving is the name of the serving task.
	serving       string
	disturbanceMS int
	// greyUntil is until when a part of the requests fails.
	greyUntil time.Time
	// refusedPaces counts the orders on pace that were refused.
	refusedPaces int
}

// tailMS returns the tail of the serving task. Callers hold e.mu.
func (e *sharedExecutor) tailMS() int {
	sum := 0
	for _, percent := range e.pace {
		sum += percent
	}
	return quietTailMS + e.disturbanceMS*sum/100
}

func (e *sharedExecutor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readAll(r)
	var command struct {
		Task    string
		Percent int
	}
	_ = json.Unmarshal(body, &command)
	e.mu.Lock()
	grey := time.Now().Before(e.greyUntil) && rand.Float64() < greyShare
	if grey && r.URL.Path == "/v1/pace" {
		e.refusedPaces++
	}
	e.mu.Unlock()
	if grey {
		e.stage.record.printf("executor w00: %s %s -> 503, nothing is done", r.URL.Path, command.Task)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/v1/hold" {
		e.answerHold(w, r)
		return
	}
	seen := &statusWriter{ResponseWriter: w, status: http.StatusOK}
	e.next.ServeHTTP(seen, r)
	e.mu.Lock()
	defer e.mu.Unlock()
	if seen.status == http.StatusOK {
		e.apply(r.URL.Path, command.Task, command.Percent)
	}
	e.stage.record.printf("executor w00: %s %s percent %d -> %d", r.URL.Path, command.Task, command.Percent, seen.status)
}

// apply records what an order has changed. Callers hold e.mu.
func (e *sharedExecutor) apply(path, task string, percent int) {
	serves := strings.HasPrefix(task, "f000000000000001")
	switch {
	case path == "/v1/run-start" && serves:
		e.serving = task
	case path == "/v1/run-start":
		e.pace[task] = 100
	case path == "/v1/run-stop":
		delete(e.pace, task)
	case path == "/v1/pace" && !serves:
		e.pace[task] = percent
	}
}

// answerHold answers with the lists of runs, with the tail of the serving task.
func (e *sharedExecutor) answerHold(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	e.next.ServeHTTP(answer, r)
	body := map[string]any{}
	if json.Unmarshal(answer.Body.Bytes(), &body) != nil {
		w.WriteHeader(answer.Code)
		return
	}
	running, _ := body["running"].([]any)
	e.mu.Lock()
	for _, row := range running {
		if row, ok := row.([]any); ok && len(row) > 4 {
			row[4] = 1000
			if row[0] == e.serving {
				row[4] = e.tailMS()
			}
		}
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_ = json.NewEncoder(w).Encode(body)
}

// playHarm lets tasks that fill disturb a serving task more than before, while the executor refuses a part of its orders. When it is sound
// again, the serving task may not stay over its target for harmMs because of tasks that fill.
func playHarm(r *record, trouble bool) (outcome, error) {
	s, err := newStage(r)
	if err != nil {
		return notRun, err
	}
	defer s.close()
	each := model.Resources{CPUMilli: 2000, MemoryMiB: 1000}
	begin := time.Now()
	s.workers = backends.NewWorkers(func() time.Duration { return time.Since(begin) }, func(task string) backends.TaskBehavior {
		return backends.TaskBehavior{Resources: each, Duration: time.Hour, Service: strings.HasPrefix(task, "f000000000000001"),
			BestEffort: !strings.HasPrefix(task, "f000000000000001")}
	})
	e := &sharedExecutor{stage: s, pace: map[string]int{}, disturbanceMS: lowDisturbanceMS}
	for i := range 8 {
		info := backend.WorkerInfo{
			ID: fmt.Sprintf("w%02d", i), Service: service, Zone: "a", Labels: []string{"ka", "r1"}, StartedMS: time.Now().UnixMilli(),
			Capacity: model.Resources{CPUMilli: 16000, MemoryMiB: 64000},
		}
		handler := wire.Worker(s.workers, info.ID)
		if i == 0 {
			info.Labels[0] = "kb"
			e.next = handler
			handler = e
		}
		if info.Address, err = s.serve(handler); err != nil {
			return notRun, err
		}
		s.workers.Add(info)
		key, value := wire.RegistryRow(info)
		s.tables.Put(key, value)
	}
	key, value := wire.ConfigRow(1, host, service, prefix)
	s.tables.Put(key, value)
	if err := s.addNodes(4, nil); err != nil {
		return notRun, err
	}
	if err := s.awaitServing(15 * time.Second); err != nil {
		return notRun, err
	}
	const serving = `{"specification":"serve","steps":[{"count":1,"cpu":4000,"memoryRequestMb":1000,"estimatedMs":1000,"longRunning":true,"requirements":"kb","image":"desk","targetMs":100}]}`
	filling := fmt.Sprintf(`{"specification":"fill","steps":[{"count":%d,"cpu":2000,"memoryRequestMb":1000,"estimatedMs":300000,"requirements":"kb","image":"audit","fills":true}]}`, fillers)
	if !s.submit("f000000000000001", serving, 4) || !s.submit("f000000000000002", filling, 4) {
		return notRun, fmt.Errorf("a submission was not accepted")
	}
	time.Sleep(6 * time.Second)
	e.mu.Lock()
	running := len(e.pace)
	e.mu.Unlock()
	if e.serving == "" || running != fillers {
		return notRun, fmt.Errorf("the serving task is %q, and %d tasks that fill run", e.serving, running)
	}
	longest := time.Duration(0)
	for range 4 {
		over := e.playHarmRound(r, trouble)
		longest = max(longest, over)
		if longest >= harm {
			break
		}
	}
	r.printf("the serving task was over its target for %v on end with no disturbance near; %d orders on pace had been refused", longest.Round(time.Millisecond), e.refusedPaces)
	if longest >= harm {
		return broken, nil
	}
	return kept, nil
}

// playHarmRound returns the longest time for which the serving task was over its target with no disturbance near.
func (e *sharedExecutor) playHarmRound(r *record, trouble bool) time.Duration {
	e.mu.Lock()
	if trouble {
		e.greyUntil = time.Now().Add(greyTime)
		r.printf("disturbance: executor w00 of 8 fails %.1f of its requests with 503 for %v", greyShare, greyTime)
	}
	e.mu.Unlock()
	time.Sleep(time.Second)
	e.mu.Lock()
	e.disturbanceMS = highDisturbanceMS
	e.mu.Unlock()
	r.printf("executor w00: a task that fills adds %d ms to the tail from now on", highDisturbanceMS)
	time.Sleep(greyTime - time.Second + contact)
	longest, since := time.Duration(0), time.Time{}
	for until := time.Now().Add(2 * harm); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		e.mu.Lock()
		tail, paces := e.tailMS(), fmt.Sprint(e.pace)
		e.mu.Unlock()
		switch now := time.Now(); {
		case tail <= targetMS:
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) > longest:
			before := longest
			longest = now.Sub(since)
			if longest/time.Second > before/time.Second {
				r.printf("the serving task has been over its target for %v: tail %d ms, paces %s", longest.Round(time.Millisecond), tail, paces)
			}
		}
	}
	e.mu.Lock()
	e.disturbanceMS = lowDisturbanceMS
	e.mu.Unlock()
	time.Sleep(4 * time.Second)
	return longest
}
