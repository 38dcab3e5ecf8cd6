package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/wire"
)

const (
	// heartbeat is the interval of the executors' check-ins: an entry is removed after three without one.
	heartbeat = 1500 * time.Millisecond
	// maintenance is maintenanceS, after which a new executor joins.
	maintenance = 2 * time.Second
	// cloudAnswer is the answer time of the platform's list of machines and of its orders.
	cloudAnswer = 20 * time.Millisecond
	// startup is how long a task that lasts takes until it is at work: the work time of the standing watchers.
	startup = 420 * time.Millisecond
	// slowAnswer is the answer time while the platform is slow, 50 times the usual one.
	slowAnswer = 50 * cloudAnswer
)

// machineState is a state of a machine in the platform's list.
type machineState string

const (
	stateUp     machineState = "up"
	stateUpkeep machineState = "upkeep"
	stateDown   machineState = "down"
)

// machine is a machine of the platform with its present executor.
type machine struct {
	id, kind, rack string
	state          machineState
	executor       string
	// address is that of all executors of the machine.
	address string
	server  *http.Server
	lives   int
	fence   uint64
	// waves are those for which the machine has had its upkeep begun.
	waves map[int]bool
}

// cloud is the platform's service of machines. It starts and ends the executors.
type cloud struct {
	stage *stage
	cores int64

	mu       sync.Mutex
	machines []*machine
	waves    map[int]map[string]bool
	// tasks are the tasks that last, by name.
	tasks map[string]*lastingTask
	// slowUntil is until when answers are slow.
	slowUntil time.Time
	// cancelled means that AVAIL is not judged: the cancelling of the submission was sent, or the case is about another rule.
	cancelled bool
	// violations are the breaks of AVAIL, and upkeeps counts the upkeeps that have begun.
	violations []string
	upkeeps    int
}

// lastingTask is what executors have seen of a task that lasts.
type lastingTask struct {
	executor string
	// startedAt is when its present run was started, and endedAt when the last run ended.
	startedAt, endedAt time.Time
	running            bool
	// orderedAway means that an upkeep or a stop ended the last run.
	orderedAway bool
}

// notice is noticeMs of the deployment.
const notice = 4500 * time.Millisecond

// isAtWork reports whether a task runs and has started up.
func (c *cloud) isAtWork(t *lastingTask, now time.Time) bool {
	return t.running && now.Sub(t.startedAt) >= startup
}

// isAway reports whether a task counts as away for AVAIL: it was ended by an order and isn't back, or not at work for noticeMs.
func (c *cloud) isAway(t *lastingTask, now time.Time) bool {
	if c.isAtWork(t, now) {
		return false
	}
	return t.orderedAway || now.Sub(t.endedAt) >= notice
}

// boot starts an executor on a machine. Callers hold c.mu.
func (c *cloud) boot(m *machine) error {
	m.lives++
	id := fmt.Sprintf("%s-x%d", m.id, m.lives)
	info := backend.WorkerInfo{
		ID: id, Service: service, Zone: "a", Labels: []string{m.kind, m.rack}, StartedMS: time.Now().UnixMilli(),
		Capacity: model.Resources{CPUMilli: 1000 * c.cores, MemoryMiB: 64000},
	}
	handler := wire.Worker(c.stage.workers, id)
	listener, err := net.Listen("tcp", cmp.Or(m.address, net.JoinHostPort(c.stage.ports.host, "0")))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.observe(id, w, r, handler) })}
	go func() { _ = server.Serve(listener) }()
	m.address = listener.Addr().String()
	info.Address = m.address
	c.stage.workers.Add(info)
	m.server, m.executor, m.state = server, id, stateUp
	key, value := wire.RegistryRow(info)
	c.stage.tables.Put(key, value)
	c.stage.record.printf("platform: %s is up with executor %s", m.id, id)
	return nil
}

// end ends the executor of a machine. The store forgets it after three check-ins. Callers hold c.mu.
func (c *cloud) end(m *machine, state machineState, ordered bool) {
	now := time.Now()
	id := m.executor
	m.state, m.executor = state, ""
	for _, t := range c.tasks {
		if t.running && t.executor == id {
			t.running, t.endedAt, t.orderedAway = false, now, ordered
		}
	}
	_ = m.server.Close()
	c.stage.workers.Remove(id)
	forget := 3 * heartbeat
	if ordered {
		// The executor leaves, and says so.
		forget = 0
	}
	time.AfterFunc(forget, func() {
		key, _ := wire.RegistryRow(backend.WorkerInfo{ID: id})
		c.stage.tables.Delete(key)
	})
}

// crash ends the executor of a machine for some time.
func (c *cloud) crash(m *machine, down time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stage.record.printf("disturbance: executor %s on %s crashes for %v", m.executor, m.id, down)
	c.end(m, stateDown, false)
	time.AfterFunc(down, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.state != stateDown {
			return
		}
		if err := c.boot(m); err != nil {
			c.stage.record.printf("platform: %s cannot start: %v", m.id, err)
		}
	})
}

// observe records the starts and the stops that an executor carries out.
func (c *cloud) observe(id string, w http.ResponseWriter, r *http.Request, next http.Handler) {
	if r.URL.Path == "/v1/hold" {
		c.answerHold(w, r, next)
		return
	}
	if r.URL.Path != "/v1/run-start" && r.URL.Path != "/v1/run-stop" {
		next.ServeHTTP(w, r)
		return
	}
	body := readAll(r)
	var command struct {
		Task string
		Run  int64
	}
	_ = json.Unmarshal(body, &command)
	seen := &statusWriter{ResponseWriter: w, status: http.StatusOK}
	next.ServeHTTP(seen, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stage.record.printf("executor %s: %s %s run %d -> %d", id, r.URL.Path, command.Task, command.Run, seen.status)
	t := c.tasks[command.Task]
	if t == nil {
		t = &lastingTask{}
		c.tasks[command.Task] = t
	}
	now := time.Now()
	switch {
	case seen.status != http.StatusOK:
	case r.URL.Path == "/v1/run-start" && !(t.running && t.executor == id):
		t.running, t.executor, t.startedAt = true, id, now
	case r.URL.Path == "/v1/run-stop" && t.running && t.executor == id:
		c.judgeEnd(command.Task, t, "stop", now)
		t.running, t.endedAt, t.orderedAway = false, now, true
	}
}

// answerHold answers with the lists of runs, in which a task that starts up has less than 100 percent.
func (c *cloud) answerHold(w http.ResponseWriter, r *http.Request, next http.Handler) {
	answer := httptest.NewRecorder()
	next.ServeHTTP(answer, r)
	body := map[string]any{}
	if json.Unmarshal(answer.Body.Bytes(), &body) != nil {
		w.WriteHeader(answer.Code)
		return
	}
	running, _ := body["running"].([]any)
	c.mu.Lock()
	now := time.Now()
	for _, row := range running {
		if row, ok := row.([]any); ok && len(row) > 3 {
			name, _ := row[0].(string)
			if t := c.tasks[name]; t == nil || !c.isAtWork(t, now) {
				row[3] = 50
			}
		}
	}
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_ = json.NewEncoder(w).Encode(body)
}

// judgeEnd checks AVAIL for a task that an order ends now. Callers hold c.mu.
func (c *cloud) judgeEnd(name string, t *lastingTask, order string, now time.Time) {
	if !c.isAtWork(t, now) || c.cancelled {
		return
	}
	away := 0
	for other, o := range c.tasks {
		if other != name && c.isAway(o, now) {
			away++
		}
	}
	verdict := "allowed"
	if away >= mayMiss {
		verdict = "AVAIL is broken"
		c.violations = append(c.violations, fmt.Sprintf("%s ends %s on %s", order, name, t.executor))
	}
	c.stage.record.printf("judged: %s ends %s, which is at work on %s for %v, while %d others of its step are away (mayMiss %d): %s",
		order, name, t.executor, now.Sub(t.startedAt).Round(time.Millisecond), away, mayMiss, verdict)
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// An order is carried out when it arrives, and a list is of that time. Only the answer is slow.
	status, body := c.answer(r)
	c.mu.Lock()
	wait := cloudAnswer
	if time.Now().Before(c.slowUntil) {
		wait = slowAnswer
	}
	c.mu.Unlock()
	time.Sleep(wait)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (c *cloud) answer(r *http.Request) (int, any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.URL.Path {
	case "/v1/machines":
		return http.StatusOK, c.list()
	case "/v1/machine-upkeep":
		var order struct {
			Machine string
			Wave    int
		}
		_ = json.Unmarshal(readAll(r), &order)
		token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
		status, reason := c.upkeep(order.Machine, order.Wave, token)
		c.stage.record.printf("platform: upkeep of %s for wave %d by %s with token %d -> %d %s", order.Machine, order.Wave, r.Header.Get("Duty-Holder"), token, status, reason)
		if reason != "" {
			return status, map[string]any{"reason": reason}
		}
		return status, map[string]any{}
	}
	return http.StatusNotFound, map[string]any{}
}

func (c *cloud) list() any {
	rows := []map[string]any{}
	for _, m := range c.machines {
		rows = append(rows, map[string]any{
			"machine": m.id, "pool": service, "state": string(m.state), "zone": "a", "labels": []string{m.kind, m.rack},
			"capacity": map[string]any{"cpu": 1000 * c.cores, "memoryRequestMb": 64000, "gpu": 0}, "id": m.executor,
		})
	}
	return map[string]any{"machines": rows, "nextPageToken": nil}
}

// upkeep carries out an order. Callers hold c.mu.
func (c *cloud) upkeep(id string, wave int, token uint64) (int, string) {
	var m *machine
	for _, other := range c.machines {
		if other.id == id {
			m = other
		}
	}
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case token < m.fence:
		return http.StatusConflict, "fence"
	}
	m.fence = token
	switch {
	case !c.waves[wave][id]:
		return http.StatusConflict, "wave"
	case m.waves[wave]:
		return http.StatusOK, ""
	case m.state != stateUp:
		return http.StatusConflict, "busy"
	}
	now := time.Now()
	for name, t := range c.tasks {
		if t.running && t.executor == m.executor {
			c.judgeEnd(name, t, "upkeep of "+id, now)
			t.running, t.endedAt, t.orderedAway = false, now, true
		}
	}
	m.waves[wave] = true
	c.upkeeps++
	c.end(m, stateUpkeep, true)
	time.AfterFunc(maintenance, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		_ = c.boot(m)
	})
	return http.StatusOK, ""
}

// orderWave writes the operator's request for a wave.
func (c *cloud) orderWave(number, maximum int, duration time.Duration, ids []string) error {
	c.mu.Lock()
	members := map[string]bool{}
	for _, id := range ids {
		members[id] = true
	}
	c.waves[number] = members
	c.mu.Unlock()
	value, err := json.Marshal(map[string]any{"wave": number, "machines": ids, "durationS": duration.Seconds(), "maximum": maximum})
	if err != nil {
		return err
	}
	c.stage.record.printf("operator: op/wave/%d %s", number, value)
	c.stage.tables.Put(backend.RowKey{Table: "op", Key: fmt.Sprintf("wave/%d", number)}, value)
	return nil
}
