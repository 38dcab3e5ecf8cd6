package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Limits of an executor, from the bounds of the small deployments.
const (
	maxHold    = 10 * time.Second
	stopTakes  = 100 * time.Millisecond
	maxWait    = 2 * time.Second
	tick       = 10 * time.Millisecond
	startupOf  = 300 * time.Millisecond
	maxEndRows = 500
)

// behavior is what a task does. It is the specification of the submission, as JSON.
type behavior struct {
	// MS is how long a task works; 0 for one that lasts.
	MS int64 `json:"ms,omitempty"`
	// FailMS is how long after its start each run of a task ends as failed; 0 for never.
	FailMS int64 `json:"failMs,omitempty"`
	// TailMS is the tail of the response times of a task that serves, to which each task beside it adds its HarmMS, as far as it is not paced.
	TailMS int64 `json:"tailMs,omitempty"`
	HarmMS int64 `json:"harmMs,omitempty"`
}

// run is a task that an executor runs.
type run struct {
	task    string
	number  int64
	does    behavior
	started time.Time
	// stopAt is when the run ends as stopped; zero if no stop was ordered.
	stopAt time.Time
	// pace is the share at which the run works, in percent, and worked for how long it has worked at full pace up to workedAt.
	pace     int64
	worked   time.Duration
	workedAt time.Time
}

// work counts the work up to now.
func (r *run) work(now time.Time) time.Duration {
	r.worked += now.Sub(r.workedAt) * time.Duration(r.pace) / 100
	r.workedAt = now
	return r.worked
}

// percent returns how far the run is. A task that lasts is at work after its startup.
func (r *run) percent(now time.Time) int {
	of := time.Duration(r.does.MS) * time.Millisecond
	if of == 0 {
		of = startupOf
	}
	return int(min(100, 100*r.work(now)/of))
}

// end is a run that has ended.
type end struct {
	number int64
	task   string
	run    int64
	how    string
	at     time.Time
}

// machine is a machine of the pool with its present executor.
type machine struct {
	name, kind, rack, zone, address string
	cpu, memory                     int64
	cell                            *cell

	mu    sync.Mutex
	lives int
	now   *executor
}

// executor is one life of a machine.
type executor struct {
	id       string
	machine  *machine
	cell     *cell
	born     time.Time
	server   *http.Server
	lifeOver context.CancelFunc

	mu   sync.Mutex
	dead bool
	// unhealthy means that the executor answers starts and orders on pace with 503 and does nothing.
	unhealthy bool
	token     uint64
	lease     time.Time
	runs      map[string]*run
	closed    map[string]int64
	ends      []end
	lastEnd   int64
	changed   chan struct{}
}

// start starts a new life of the machine at its address.
func (m *machine) start() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	e := &executor{
		id: fmt.Sprintf("i-%010x", rand.Uint64()>>24), machine: m, cell: m.cell, born: time.Now(), runs: map[string]*run{}, closed: map[string]int64{},
		changed: make(chan struct{}), lifeOver: cancel,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", e.handleStart)
	mux.HandleFunc("POST /v1/run-stop", e.handleStop)
	mux.HandleFunc("POST /v1/hold", e.handleHold)
	mux.HandleFunc("POST /v1/pace", e.handlePace)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	m.mu.Lock()
	m.lives++
	m.now = e
	m.mu.Unlock()
	m.cell.record.logf("executor %s begins on machine %s (kind %s, rack %s) at %s", e.id, m.name, m.kind, m.rack, m.address)
	m.cell.writeEntry(e)
	go e.live(ctx)
	return nil
}

// present returns the executor of the machine, or nil.
func (m *machine) present() *executor {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// crash ends the present life without notice: its sockets are closed, and all that it ran and knew is gone.
func (m *machine) crash(why string) {
	m.mu.Lock()
	e := m.now
	m.now = nil
	m.mu.Unlock()
	if e == nil {
		return
	}
	e.mu.Lock()
	e.dead = true
	for _, r := range e.runs {
		e.cell.seen.ended(r.task, r.number, e, "lost")
		e.cell.record.logf("run %s %d on %s is lost: %s", r.task, r.number, e.id, why)
	}
	e.runs = map[string]*run{}
	e.mu.Unlock()
	e.lifeOver()
	_ = e.server.Close()
	m.cell.record.logf("executor %s on machine %s ends: %s", e.id, m.name, why)
	m.cell.entrySilent(e.id)
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

// live ends runs as they are due.
func (e *executor) live(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(tick):
		}
		e.mu.Lock()
		e.advance()
		e.mu.Unlock()
	}
}

// advance ends the runs that are due. Callers hold e.mu.
func (e *executor) advance() {
	now := time.Now()
	for _, r := range e.runs {
		age := now.Sub(r.started).Milliseconds()
		switch {
		case now.After(e.lease):
			e.finish(r, "lapsed")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			e.finish(r, "stopped")
		case r.does.FailMS > 0 && age >= r.does.FailMS:
			e.finish(r, "failed")
		case r.does.MS > 0 && r.work(now).Milliseconds() >= r.does.MS:
			e.finish(r, "done")
		}
	}
}

// finish ends a run. Callers hold e.mu.
func (e *executor) finish(r *run, how string) {
	delete(e.runs, r.task)
	e.closed[r.task] = max(e.closed[r.task], r.number)
	e.lastEnd++
	e.ends = append(e.ends, end{e.lastEnd, r.task, r.number, how, time.Now()})
	e.cell.seen.ended(r.task, r.number, e, how)
	e.cell.record.logf("run %s %d on %s ends %s", r.task, r.number, e.id, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// fail ends a run of a task as failed and reports whether the executor had one.
func (e *executor) fail(task string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[task]
	if r == nil {
		return false
	}
	e.finish(r, "failed")
	return true
}

// order is the body of an order.
type order struct {
	Task          string `json:"task"`
	Run           int64  `json:"run"`
	Specification string `json:"specification"`
	DeadlineMS    int64  `json:"deadlineMs"`
	FencingToken  uint64 `json:"fencingToken"`
	LastSeen      int64  `json:"lastSeen"`
	WaitMS        int64  `json:"waitMs"`
	Percent       int64  `json:"percent"`
}

// accept decodes an order and checks the incarnation and the token. Callers hold e.mu if it returns true.
func (e *executor) accept(w http.ResponseWriter, r *http.Request, o *order) bool {
	if r.Header.Get("Expected-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if json.NewDecoder(r.Body).Decode(o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	e.advance()
	if o.FencingToken < e.token {
		e.refuse(w, "fence")
		e.mu.Unlock()
		return false
	}
	e.token = o.FencingToken
	return true
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clockMs": e.clock(), "reason": reason, "born": e.born.UnixMilli()})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// extend extends the lease to a deadline on the executor's clock. Callers hold e.mu.
func (e *executor) extend(deadlineMS int64) {
	if deadlineMS == 0 {
		return
	}
	until := e.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if limit := time.Now().Add(maxHold); until.After(limit) {
		until = limit
	}
	if until.After(e.lease) {
		e.lease = until
	}
}

func (e *executor) handleStart(w http.ResponseWriter, r *http.Request) {
	var o order
	if !e.accept(w, r, &o) {
		return
	}
	defer e.mu.Unlock()
	present := e.runs[o.Task]
	switch {
	case e.unhealthy:
		e.cell.record.logf("start of %s %d is answered with 503 by %s", o.Task, o.Run, e.id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case o.DeadlineMS < e.clock():
		e.refuse(w, "late")
		return
	case present != nil && present.number == o.Run:
	case o.Run <= e.closed[o.Task] || present != nil && o.Run <= present.number:
		e.extend(o.DeadlineMS)
		e.refuse(w, "old")
		return
	default:
		started := &run{task: o.Task, number: o.Run, started: time.Now(), workedAt: time.Now(), pace: 100}
		if err := json.Unmarshal([]byte(o.Specification), &started.does); err != nil {
			reply(w, http.StatusBadRequest, map[string]any{"clockMs": e.clock()})
			return
		}
		e.runs[o.Task] = started
		e.cell.seen.started(o.Task, o.Run, e)
		e.cell.record.logf("run %s %d begins on %s (machine %s)", o.Task, o.Run, e.id, e.machine.name)
	}
	e.extend(o.DeadlineMS)
	reply(w, http.StatusOK, map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli()})
}

func (e *executor) handleStop(w http.ResponseWriter, r *http.Request) {
	var o order
	if !e.accept(w, r, &o) {
		return
	}
	defer e.mu.Unlock()
	e.closed[o.Task] = max(e.closed[o.Task], o.Run)
	if present := e.runs[o.Task]; present != nil && present.number == o.Run && present.stopAt.IsZero() {
		present.stopAt = time.Now().Add(stopTakes)
		e.cell.record.logf("run %s %d on %s is to stop", o.Task, o.Run, e.id)
		e.cell.seen.orderedToStop(o.Task, o.Run)
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli()})
}

func (e *executor) handlePace(w http.ResponseWriter, r *http.Request) {
	var o order
	if !e.accept(w, r, &o) {
		return
	}
	defer e.mu.Unlock()
	if e.unhealthy {
		e.cell.record.logf("pace %d of %s %d is answered with 503 by %s", o.Percent, o.Task, o.Run, e.id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if present := e.runs[o.Task]; present != nil && present.number == o.Run {
		present.work(time.Now())
		present.pace = o.Percent
		e.cell.record.logf("pace of %s %d on %s is %d", o.Task, o.Run, e.id, o.Percent)
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli()})
}

// tail returns the tail of the response times of a run that serves. Callers hold e.mu.
func (e *executor) tail(r *run) int64 {
	tail := r.does.TailMS
	for _, other := range e.runs {
		tail += other.does.HarmMS * other.pace / 100
	}
	return tail
}

func (e *executor) handleHold(w http.ResponseWriter, r *http.Request) {
	var o order
	if !e.accept(w, r, &o) {
		return
	}
	e.extend(o.DeadlineMS)
	for len(e.ends) > 0 && e.ends[0].number <= o.LastSeen {
		e.cell.record.logf("end %d of %s (%s %d) is taken note of", e.ends[0].number, e.id, e.ends[0].task, e.ends[0].run)
		e.ends = e.ends[1:]
	}
	if changed := e.changed; len(e.ends) == 0 && o.WaitMS > 0 {
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(maxWait, time.Duration(o.WaitMS)*time.Millisecond)):
		case <-r.Context().Done():
		}
		e.mu.Lock()
	}
	defer e.mu.Unlock()
	if e.dead {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.runs {
		figure := int64(1)
		if r.does.TailMS > 0 {
			figure = e.tail(r)
		}
		running = append(running, []any{r.task, r.number, "", r.percent(now), figure})
	}
	for _, x := range e.ends[:min(len(e.ends), maxEndRows)] {
		ended = append(ended, []any{x.number, x.task, x.run, x.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli(), "running": running, "ended": ended})
}

// observations are what the executors have run, by task.
type observations struct {
	mu    sync.Mutex
	tasks map[string]*taskSeen
}

// taskSeen is what is known of a task.
type taskSeen struct {
	starts, failed, done, lost int
	// open is the number of runs that have not ended, idleSince when it became 0, and longestIdle the longest time between two runs.
	open        int
	idleSince   time.Time
	longestIdle time.Duration
	idleFrom    time.Time
	// beganAt is when the last run began; stopOrdered means that it was ordered to stop.
	beganAt     time.Time
	stopOrdered bool
	executor    *executor
	lastNumber  int64
}

func newObservations() *observations { return &observations{tasks: map[string]*taskSeen{}} }

func (o *observations) task(name string) *taskSeen {
	t := o.tasks[name]
	if t == nil {
		t = &taskSeen{}
		o.tasks[name] = t
	}
	return t
}

func (o *observations) started(task string, number int64, e *executor) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.task(task)
	now := time.Now()
	if t.open == 0 && !t.idleSince.IsZero() && now.Sub(t.idleSince) > t.longestIdle {
		t.longestIdle, t.idleFrom = now.Sub(t.idleSince), t.idleSince
	}
	t.starts++
	t.open++
	t.beganAt, t.stopOrdered, t.executor, t.lastNumber = now, false, e, number
}

func (o *observations) ended(task string, _ int64, _ *executor, how string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.task(task)
	t.open--
	if t.open == 0 {
		t.idleSince = time.Now()
	}
	switch how {
	case "failed":
		t.failed++
	case "done":
		t.done++
	case "lost":
		t.lost++
	}
}

func (o *observations) orderedToStop(task string, number int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if t := o.task(task); t.lastNumber == number {
		t.stopOrdered = true
	}
}

// ofSubmission returns copies of the tasks of a submission by name.
func (o *observations) ofSubmission(id string) map[string]taskSeen {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]taskSeen{}
	for name, t := range o.tasks {
		if strings.HasPrefix(name, id+".") {
			out[name] = *t
		}
	}
	return out
}
