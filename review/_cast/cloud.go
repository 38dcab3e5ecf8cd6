package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/lentiltide/lentiltide/backend"
)

// order a wave of upkeep, as the operator does.
func (c *cell) askForWave(number, maximum int, machines ...string) {
	c.mu.Lock()
	c.waves[number] = wave{machines, maximum}
	c.mu.Unlock()
	value, _ := json.Marshal(map[string]any{"wave": number, "machines": machines, "durationS": 30, "maximum": maximum})
	c.tables.Put(backend.RowKey{Table: "op", Key: "wave/" + strconv.Itoa(number)}, value)
	c.record.logf("the operator asks for wave %d: %v, at most %d at once", number, machines, maximum)
}

// waveState returns what the system says of a wave.
func (c *cell) waveState(number int) string {
	row := c.tables.Rows("status")["wave/"+strconv.Itoa(number)]
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(row.Value, &body)
	return body.State
}

// cloud serves the list of machines and the upkeep.
func (c *cell) cloud() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(w http.ResponseWriter, _ *http.Request) {
		rows := []any{}
		for _, m := range c.machines {
			c.mu.Lock()
			state := c.upkeep[m.name].state
			c.mu.Unlock()
			row := map[string]any{
				"machine": m.name, "pool": service, "zone": m.zone, "labels": []string{m.kind, m.rack}, "state": state,
				"capacity": map[string]any{"cpu": m.cpu, "memoryRequestMb": m.memory, "gpu": 0}, "id": "",
			}
			switch e := m.present(); {
			case e != nil:
				row["id"] = e.id
			case state == "up":
				row["state"] = "down"
			}
			rows = append(rows, row)
		}
		reply(w, http.StatusOK, map[string]any{"machines": rows, "nextPageToken": nil})
	})
	mux.HandleFunc("POST /v1/machine-upkeep", c.handleUpkeep)
	return mux
}

func (c *cell) handleUpkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	i := slices.IndexFunc(c.machines, func(m *machine) bool { return m.name == body.Machine })
	if i < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m := c.machines[i]
	c.mu.Lock()
	s, asked := c.upkeep[m.name], c.waves[body.Wave]
	refusal := ""
	switch {
	case token < s.fence:
		refusal = "fence"
	case !slices.Contains(asked.machines, m.name):
		refusal = "wave"
	case s.done[body.Wave]:
	case s.state != "up" || m.present() == nil:
		refusal = "busy"
	}
	s.fence = max(s.fence, token)
	begins := refusal == "" && !s.done[body.Wave]
	if begins {
		s.state, s.done[body.Wave] = "upkeep", true
	}
	c.mu.Unlock()
	if begins {
		c.beginUpkeep(m, body.Wave, r.Header.Get("Duty-Holder"))
	}
	if refusal != "" {
		reply(w, http.StatusConflict, map[string]any{"reason": refusal})
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

// beginUpkeep ends all that runs on a machine, which gets a new executor after upkeepTakes.
func (c *cell) beginUpkeep(m *machine, wave int, holder string) {
	seen := upkeepSeen{at: time.Now(), machine: m.name, wave: wave}
	if e := m.present(); e != nil {
		e.mu.Lock()
		for _, r := range e.runs {
			if r.percent(time.Now()) == 100 && r.does.MS == 0 {
				seen.ended = append(seen.ended, r.task)
			}
		}
		e.mu.Unlock()
	}
	c.record.logf("%s orders the upkeep of machine %s in wave %d; tasks at work there: %v", holder, m.name, wave, seen.ended)
	c.mu.Lock()
	c.upkeeps = append(c.upkeeps, seen)
	c.mu.Unlock()
	m.crash("upkeep")
	time.AfterFunc(upkeepTakes, func() {
		if err := m.start(); err != nil {
			c.record.logf("machine %s does not start: %v", m.name, err)
		}
		c.mu.Lock()
		c.upkeep[m.name].state = "up"
		c.mu.Unlock()
	})
}
