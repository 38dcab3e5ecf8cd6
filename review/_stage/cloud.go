package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is how long an upkeep takes (bound maintenanceS).
const upkeepTime = 2 * time.Second

// machine is a machine of the platform and its present executor.
type machine struct {
	name     string
	address  string
	executor *executor
	server   *http.Server
	token    uint64
	inUpkeep bool
	// begun holds the waves whose upkeep of the machine has begun.
	begun map[int]bool
}

// cloud is a stand-in for the platform's machines.
type cloud struct {
	system     *system
	capacity   demand
	behaviorOf func(string) behavior
	// keepsID says that an executor starts again under the id that it had.
	keepsID bool

	mu       sync.Mutex
	machines []*machine
	lives    int
	wave     waveRow
	// begun is called, without holding mu, when an upkeep has begun.
	onBegin func(machine string)
	// overMaximum describes the upkeeps that began while maximum machines of the wave were down for theirs.
	overMaximum []string
}

type waveRow struct {
	Wave      int      `json:"wave"`
	Machines  []string `json:"machines"`
	DurationS float64  `json:"durationS"`
	Maximum   int      `json:"maximum"`
}

func newCloud(s *system, count int, capacity demand, behaviorOf func(string) behavior) (*cloud, error) {
	c := &cloud{system: s, capacity: capacity, behaviorOf: behaviorOf}
	for i := range count {
		m := &machine{name: fmt.Sprintf("m-%02d", i+1), begun: map[int]bool{}}
		if err := c.boot(m, c.nextID()); err != nil {
			return nil, err
		}
		c.machines = append(c.machines, m)
	}
	_, address, err := serve("", c.handler())
	s.cloud = address
	return c, err
}

func (c *cloud) nextID() string {
	c.lives++
	return fmt.Sprintf("i-%08x", c.lives)
}

// boot starts an executor on a machine.
func (c *cloud) boot(m *machine, id string) error {
	e, server, err := c.system.addExecutor(id, m.name, m.address, c.capacity, c.behaviorOf)
	if err != nil {
		return err
	}
	m.executor, m.server, m.address = e, server, e.address
	c.system.record.note("executor %s is up on machine %s", id, m.name)
	return nil
}

// halt ends the executor of a machine without notice.
func (c *cloud) halt(m *machine) {
	m.executor.terminate()
	_ = m.server.Close()
}

// setWave writes the operator's request for upkeeps.
func (c *cloud) setWave(w waveRow) {
	c.mu.Lock()
	c.wave = w
	c.mu.Unlock()
	c.system.record.note("operator writes op/wave/%d: %+v", w.Wave, w)
	c.system.store.put(rowKey{Table: "op", Key: "wave/" + strconv.Itoa(w.Wave)}, w)
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", c.serveList)
	mux.HandleFunc("POST /v1/machine-upkeep", c.serveUpkeep)
	return mux
}

func (c *cloud) serveList(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []map[string]any{}
	for _, m := range c.machines {
		state := "up"
		id := m.executor.id
		if m.inUpkeep {
			state, id = "upkeep", ""
		}
		list = append(list, map[string]any{
			"machine": m.name, "pool": service, "state": state, "zone": "zone-a", "labels": []string{"plain", "r1-1"},
			"capacity": c.capacity, "id": id,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "nextPageToken": ""})
}

func (c *cloud) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string
		Wave    int
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := c.upkeep(body.Machine, body.Wave, token)
	c.system.record.note("%s with token %d orders the upkeep of %s in wave %d: %d %s", r.Header.Get("Duty-Holder"), token, body.Machine, body.Wave, status, reason)
	if status == http.StatusOK && reason == "begins" && c.onBegin != nil {
		c.onBegin(body.Machine)
	}
	if status == http.StatusConflict {
		writeJSON(w, status, map[string]any{"reason": reason})
		return
	}
	writeJSON(w, status, map[string]any{})
}

// upkeep begins an upkeep and returns the status of the answer with a reason.
func (c *cloud) upkeep(name string, wave int, token uint64) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var m *machine
	down := 0
	for _, x := range c.machines {
		if x.name == name {
			m = x
		}
		if x.inUpkeep {
			down++
		}
	}
	switch {
	case m == nil:
		return http.StatusBadRequest, "no such machine"
	case token < m.token:
		return http.StatusConflict, "fence"
	}
	m.token = token
	switch {
	case m.begun[wave]:
		return http.StatusOK, "already done"
	case m.inUpkeep:
		return http.StatusConflict, "busy"
	case wave != c.wave.Wave:
		return http.StatusConflict, "wave"
	}
	if down >= c.wave.Maximum {
		c.overMaximum = append(c.overMaximum, fmt.Sprintf("the upkeep of %s began while %d machines of wave %d were down for theirs, maximum %d", name, down, wave, c.wave.Maximum))
	}
	m.begun[wave], m.inUpkeep = true, true
	former := m.executor.id
	c.halt(m)
	c.system.store.remove(rowKey{Table: "servers", Key: former})
	time.AfterFunc(upkeepTime, func() { c.endUpkeep(m, former) })
	return http.StatusOK, "begins"
}

func (c *cloud) endUpkeep(m *machine, former string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := former
	if !c.keepsID {
		id = c.nextID()
	}
	if err := c.boot(m, id); err != nil {
		c.system.record.note("executor %s cannot start: %v", id, err)
		return
	}
	m.inUpkeep = false
}

// isCompleted reports whether the system has written that a wave is completed.
func (c *cloud) isCompleted(wave int) bool {
	s := c.system.store
	s.mu.Lock()
	value := s.rows[rowKey{Table: "status", Key: "wave/" + strconv.Itoa(wave)}].Value
	s.mu.Unlock()
	var row struct{ State string }
	return json.Unmarshal(value, &row) == nil && row.State == "completed"
}

// allUp reports whether no machine is down for its upkeep.
func (c *cloud) allUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.inUpkeep {
			return false
		}
	}
	return true
}

// running returns how many runs all executors have.
func (c *cloud) running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, m := range c.machines {
		if m.inUpkeep {
			continue
		}
		running, _ := m.executor.count()
		n += running
	}
	return n
}
