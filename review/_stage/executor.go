package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease that an executor grants (bound maxHoldMs).
	maxHold = 10 * time.Second
	// maxListedEnds is the number of ends that an executor returns at a time.
	maxListedEnds = 500
	// maxHoldWait is the longest wait of a hold call.
	maxHoldWait = 2 * time.Second
	// heartbeatInterval is the time between check-ins of an executor (heartbeatMs).
	heartbeatInterval = 1500 * time.Millisecond
	// taskStartup is how long a lasting task takes until it is at work.
	taskStartup = 200 * time.Millisecond
)

// demand is an amount of the resources of an executor.
type demand struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"memoryRequestMb"`
	GPU    int64 `json:"gpu"`
}

// behavior is how a task runs. A task without a duration lasts until it is stopped.
type behavior struct {
	duration time.Duration
	demand   demand
	// finish, if not nil, ends the task when it is closed.
	finish <-chan struct{}
	// fills marks a task that fills; disturbedTail is the tail in milliseconds of a task that serves while such a task works
	// beside it, and calmTail the tail otherwise.
	fills                   bool
	calmTail, disturbedTail int64
}

// executor is a stand-in for one life of a machine. It runs tasks in its own time, guards nothing but fencing tokens, run numbers
// and leases, and lists ends until they are taken note of.
type executor struct {
	id, machine, address string
	capacity             demand
	bornMS               int64
	began                time.Time
	record               *record
	behaviorOf           func(task string) behavior
	// takesLate, if not nil, reports whether a hold gets no answer and is carried out later, which is then up to the function.
	takesLate func(hold call) bool
	// lateHold is a hold that is carried out when the next run has ended; nil for none.
	lateHold *call

	mu   sync.Mutex
	down bool
	// cutOff means that nobody reaches the executor, and that it reaches nobody.
	cutOff   bool
	token    uint64
	deadline time.Time
	// lapses counts how often the lease has lapsed; hasLapsed means that it has not been extended since.
	lapses    int
	hasLapsed bool
	running   map[string]*taskRun
	// closed is the highest run number of each task that was stopped or has ended here.
	closed  map[string]int64
	ended   []endedRun
	endings int64
	changed chan struct{}
}

type taskRun struct {
	number   int64
	began    time.Time
	behavior behavior
	// percent is the pace since pacedAt, and worked the work until then.
	percent int
	pacedAt time.Time
	worked  time.Duration
}

// work returns how long the task has worked, at full pace.
func (t *taskRun) work(now time.Time) time.Duration {
	return t.worked + now.Sub(t.pacedAt)*time.Duration(t.percent)/100
}

// pace sets the pace of the task.
func (t *taskRun) pace(percent int) {
	now := time.Now()
	t.worked = t.work(now)
	t.pacedAt, t.percent = now, percent
}

type endedRun struct {
	number int64
	task   string
	run    int64
	how    string
	// serial is the number of the end in the record, and lapses what executor.lapses was then.
	serial, lapses int
}

func newExecutor(id, machine, address string, capacity demand, rec *record, behaviorOf func(string) behavior) *executor {
	now := time.Now()
	return &executor{
		id: id, machine: machine, address: address, capacity: capacity, bornMS: now.UnixMilli(), began: now, record: rec,
		behaviorOf: behaviorOf, running: map[string]*taskRun{}, closed: map[string]int64{}, changed: make(chan struct{}),
	}
}

// run ends what is due until the executor is down.
func (e *executor) run() {
	for {
		time.Sleep(5 * time.Millisecond)
		e.mu.Lock()
		if e.down {
			e.mu.Unlock()
			return
		}
		e.advance()
		e.mu.Unlock()
	}
}

// advance ends the runs that are due or whose lease has expired. Callers hold mu.
func (e *executor) advance() {
	now := time.Now()
	lapsed := now.After(e.deadline)
	if lapsed && !e.hasLapsed && !e.deadline.IsZero() {
		e.hasLapsed = true
		e.lapses++
	}
	for task, r := range e.running {
		done := r.behavior.duration > 0 && r.work(now) >= r.behavior.duration || isClosed(r.behavior.finish)
		switch {
		case done:
			e.end(task, r, "done")
		case lapsed:
			e.end(task, r, "lapsed")
		}
	}
}

// isClosed reports whether a channel is closed. It may be nil.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// end ends a run. Callers hold mu.
func (e *executor) end(task string, r *taskRun, how string) {
	delete(e.running, task)
	e.closed[task] = max(e.closed[task], r.number)
	e.endings++
	serial := e.record.ended(e.id, task, r.number, how)
	e.ended = append(e.ended, endedRun{e.endings, task, r.number, how, serial, e.lapses})
	e.carryOutLateHold()
	close(e.changed)
	e.changed = make(chan struct{})
}

// terminate ends the process of the executor: what runs there is gone, and nothing of it is listed any longer.
func (e *executor) terminate() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	for task, r := range e.running {
		e.record.lost(e.id, task, r.number)
	}
	e.running = map[string]*taskRun{}
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) clockMS() int64 { return time.Since(e.began).Milliseconds() + 1 }

// used returns the demand of all that runs. Callers hold mu.
func (e *executor) used() demand {
	var sum demand
	for _, r := range e.running {
		sum.CPU += r.behavior.demand.CPU
		sum.Memory += r.behavior.demand.Memory
	}
	return sum
}

// call is the body of a call to an executor.
type call struct {
	Task         string
	Run          int64
	DeadlineMS   int64
	FencingToken uint64
	LastSeen     int64
	WaitMS       int64
	Percent      int
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.isCutOff() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("Expected-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/v1/hold" && e.takesLate != nil && e.takesLate(c) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	e.advance()
	if c.FencingToken < e.token {
		e.refuse(w, "fence")
		e.mu.Unlock()
		return
	}
	e.token = c.FencingToken
	switch r.URL.Path {
	case "/v1/run-start":
		e.serveStart(w, c)
	case "/v1/run-stop":
		e.serveStop(w, c)
	case "/v1/pace":
		if r := e.running[c.Task]; r != nil && r.number == c.Run {
			r.pace(c.Percent)
			e.record.note("%s is paced to %d percent", c.Task, c.Percent)
		}
		writeJSON(w, http.StatusOK, map[string]any{"clockMs": e.clockMS()})
	case "/v1/hold":
		e.extend(c.DeadlineMS)
		e.takeNote(c.LastSeen)
		e.mu.Unlock()
		e.serveHold(w, r, c)
		return
	default:
		w.WriteHeader(http.StatusNotFound)
	}
	e.mu.Unlock()
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clockMs": e.clockMS(), "reason": reason})
}

// extend extends the lease to a deadline on the executor's clock. It never shortens. Callers hold mu.
func (e *executor) extend(deadlineMS int64) {
	if deadlineMS <= 0 {
		return
	}
	deadline := e.began.Add(time.Duration(deadlineMS) * time.Millisecond)
	if latest := time.Now().Add(maxHold); deadline.After(latest) {
		deadline = latest
	}
	if deadline.After(e.deadline) {
		e.deadline, e.hasLapsed = deadline, false
	}
}

// serveStart starts a run. Callers hold mu.
func (e *executor) serveStart(w http.ResponseWriter, c call) {
	if r := e.running[c.Task]; r != nil && r.number == c.Run {
		writeJSON(w, http.StatusOK, map[string]any{"clockMs": e.clockMS()})
		return
	}
	switch {
	case c.Run <= e.closed[c.Task], e.running[c.Task] != nil:
		e.extend(c.DeadlineMS)
		e.refuse(w, "old")
		return
	case c.DeadlineMS <= e.clockMS():
		e.refuse(w, "late")
		return
	}
	e.extend(c.DeadlineMS)
	now := time.Now()
	e.running[c.Task] = &taskRun{number: c.Run, began: now, behavior: e.behaviorOf(c.Task), percent: 100, pacedAt: now}
	e.record.started(e.id, c.Task, c.Run, e.used(), e.capacity)
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": e.clockMS()})
}

// serveStop stops a run and prevents the start of it and of lower ones. Callers hold mu.
func (e *executor) serveStop(w http.ResponseWriter, c call) {
	e.closed[c.Task] = max(e.closed[c.Task], c.Run)
	if r := e.running[c.Task]; r != nil && r.number <= c.Run {
		e.end(c.Task, r, "stopped")
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": e.clockMS()})
}

// setLateHold has the executor carry out a hold when its next run has ended.
func (e *executor) setLateHold(hold call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lateHold = &hold
}

// carryOutLateHold carries out a hold that got no answer. Callers hold mu.
func (e *executor) carryOutLateHold() {
	hold := e.lateHold
	if hold == nil || hold.FencingToken < e.token {
		return
	}
	e.lateHold = nil
	e.token = hold.FencingToken
	e.extend(hold.DeadlineMS)
	e.record.noteLate(e.id, hold.LastSeen, len(e.ended))
	e.takeNote(hold.LastSeen)
}

// takeNote forgets the ends up to a number. An end does not count as taken note of if the lease has lapsed since. Callers hold mu.
func (e *executor) takeNote(lastSeen int64) {
	n := 0
	for n < len(e.ended) && e.ended[n].number <= lastSeen {
		if e.ended[n].lapses == e.lapses {
			e.record.noted(e.ended[n].serial)
		}
		n++
	}
	if n > 0 {
		e.record.noteTaken(e.id, e.ended[n-1].number)
	}
	e.ended = e.ended[n:]
}

// serveHold answers with both lists, after an end or the wait.
func (e *executor) serveHold(w http.ResponseWriter, r *http.Request, c call) {
	timeout := time.After(min(time.Duration(c.WaitMS)*time.Millisecond, maxHoldWait))
	for {
		e.mu.Lock()
		if e.down {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		changed := e.changed
		if len(e.ended) > 0 || c.WaitMS <= 0 {
			break
		}
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			c.WaitMS = 0
		case <-r.Context().Done():
			return
		}
	}
	running, ended := [][]any{}, [][]any{}
	now := time.Now()
	for task, t := range e.running {
		running = append(running, []any{task, t.number, "", percentOf(t, now), e.figureOf(t)})
	}
	for _, x := range e.ended[:min(len(e.ended), maxListedEnds)] {
		ended = append(ended, []any{x.number, x.task, x.run, x.how, ""})
	}
	body := map[string]any{"clockMs": e.clockMS(), "born": e.bornMS, "running": running, "ended": ended}
	lost := e.cutOff
	e.mu.Unlock()
	if lost {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, body)
}

func percentOf(t *taskRun, now time.Time) int {
	full := t.behavior.duration
	if full == 0 {
		full = taskStartup
	}
	return int(min(100, 100*t.work(now)/full))
}

// figureOf returns the figure of a run for the last half second: the tail of a task that serves, otherwise the processor use. Callers
// hold mu.
func (e *executor) figureOf(t *taskRun) int64 {
	if t.behavior.calmTail == 0 {
		return t.behavior.demand.CPU * int64(t.percent) / 100
	}
	for _, other := range e.running {
		if other.behavior.fills && other.percent > 0 {
			return t.behavior.disturbedTail
		}
	}
	return t.behavior.calmTail
}

// setCutOff cuts the executor off from everybody, or ends that.
func (e *executor) setCutOff(cutOff bool) {
	e.mu.Lock()
	e.cutOff = cutOff
	e.mu.Unlock()
	e.record.note("executor %s is cut off: %t", e.id, cutOff)
}

func (e *executor) isCutOff() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cutOff
}

// count returns how many runs and listed ends the executor has.
func (e *executor) count() (running, ended int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.ended)
}

// tasks returns the names of what runs, in order.
func (e *executor) tasks() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var names []string
	for task := range e.running {
		names = append(names, task)
	}
	sort.Strings(names)
	return names
}

// checkIn keeps the entry of the executor in the store until it is down. While the executor is cut off, the store removes its entry
// after three check-in intervals of silence.
func (e *executor) checkIn(s *store) {
	key := rowKey{Table: "servers", Key: e.id}
	for sequence := 1; ; sequence++ {
		e.mu.Lock()
		down := e.down
		e.mu.Unlock()
		if down {
			return
		}
		if e.isCutOff() {
			e.awaitContact(s, key)
			continue
		}
		s.put(key, map[string]any{
			"service": service, "address": e.address, "zone": "zone-a", "version": "1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "sequence": sequence, "capacity": e.capacity, "labels": []string{"plain", "r1-1"}, "born": e.bornMS,
		})
		time.Sleep(heartbeatInterval)
	}
}

// awaitContact waits until the executor is no longer cut off. It begins at the first check-in that is missing.
func (e *executor) awaitContact(s *store, key rowKey) {
	removeAt := time.Now().Add(2 * heartbeatInterval)
	removed := false
	for e.isCutOff() {
		time.Sleep(20 * time.Millisecond)
		if !removed && time.Now().After(removeAt) {
			removed = true
			s.remove(key)
			e.record.note("the entry of %s is removed", e.id)
		}
	}
}
