package intent

import (
	"sort"

	"github.com/lentiltide/lentiltide/model"
)

// Status is the state of an intent as reported to clients.
type Status struct {
	Intent model.Intent `json:"intent"`
	Tasks  []TaskStatus `json:"tasks"`
}

// TaskStatus is the state of a task as reported to clients.
type TaskStatus struct {
	ID      model.TaskID   `json:"id"`
	State   string         `json:"state"`
	Rack    string         `json:"rack,omitempty"`
	Worker  string         `json:"worker,omitempty"`
	Outcome *model.Outcome `json:"outcome,omitempty"`
	Reason  string         `json:"reason,omitempty"`
}

// Status returns the state of an intent. Tasks that are past their retention are omitted.
func (c *Core) Status(id string) (Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.intents[id]
	if st == nil {
		return Status{}, notFoundError("intent", id)
	}
	s := Status{Intent: st.intent, Tasks: make([]TaskStatus, 0, len(st.tasks))}
	for _, t := range st.tasks {
		s.Tasks = append(s.Tasks, t.status())
	}
	return s, nil
}

func (t *taskState) status() TaskStatus {
	s := TaskStatus{ID: t.task.ID, State: phaseNames[t.phase], Rack: t.rack, Worker: t.worker, Reason: t.lastError}
	if t.phase == phaseGranted && t.running {
		s.State = "running"
	}
	if t.outcome.State != "" {
		out := t.outcome
		s.Outcome = &out
	}
	return s
}

// List returns the intents of the partition, sorted by id.
func (c *Core) List() []model.Intent {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]model.Intent, 0, len(c.intents))
	for _, st := range c.intents {
		list = append(list, st.intent)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
