package cell

import (
	"cmp"
	"slices"

	"github.com/lentiltide/lentiltide/model/job"
)

// Placement explains where the tasks of a job would start now.
type Placement struct {
	Steps []StepPlacement `json:"steps"`
}

// StepPlacement explains where the tasks of one step would start if the steps before it had ended.
type StepPlacement struct {
	Step      int   `json:"step"`
	DependsOn []int `json:"depends_on,omitempty"`
	Tasks     int   `json:"tasks"`
	// Startable is how many of the tasks fit into free capacity that is not reserved for others; those of a gang start together.
	Startable int `json:"startable"`
	// TeamAllows is how many tasks the limit of the team allows in addition to what it has running.
	TeamAllows int `json:"team_allows"`
	// StepsAhead is the number of waiting steps that come first.
	StepsAhead int `json:"steps_ahead"`
	// NeedsAdvice means that the placement policy must permit the workers first.
	NeedsAdvice bool `json:"needs_advice"`
	// Feasible means that the workers could hold the step if nothing else ran there.
	Feasible bool `json:"feasible"`
	// Workers are those with free capacity for the step, the preferred ones first, and OmittedWorkers the number of those left out.
	Workers        []WorkerPlacement `json:"workers"`
	OmittedWorkers int               `json:"omitted_workers"`
	// Obstacles holds how many of the other workers cannot be used, by the reason.
	Obstacles map[string]int `json:"obstacles"`
}

// WorkerPlacement is a worker on which tasks of a step could start.
type WorkerPlacement struct {
	Worker string `json:"worker"`
	// Tasks is how many tasks of the step fit.
	Tasks int `json:"tasks"`
	// Score is the rating of the worker for the step; higher is better.
	Score float64 `json:"score"`
	// OnDataRack means that the worker is on the rack of the step's data.
	OnDataRack bool `json:"on_data_rack"`
}

// obstacleFull is the reason of a worker without enough free capacity.
const obstacleFull = "full"

// String returns the name of the obstacle in an explanation.
func (o obstacle) String() string {
	return [...]string{"none", "unsuitable", "unknown", "silent", "leaving", "blocked", "suspect", "reserved", "spread"}[o]
}

// Explain returns where the tasks of a job that a team submits to a queue would start now, and why not elsewhere, with at most limit
// workers for each step. Nothing changes.
func (c *Core) Explain(record job.Record, limit int, now Instant) Placement {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	j := &jobState{record: record, queue: record.Queue, team: c.explainedTeam(record.Team), addedAt: c.now}
	out := Placement{Steps: make([]StepPlacement, len(record.Spec.Steps))}
	for i := range record.Spec.Steps {
		s := &step{job: j, occurrence: &occurrence{}, index: i, spec: &j.record.Spec.Steps[i], runsPerWorker: map[*worker]int{}}
		s.advice.init()
		s.tasks = make([]*task, s.spec.Count)
		out.Steps[i] = c.explainStep(s, limit)
	}
	return out
}

// explainedTeam returns the team of an explained job, nil if it has none. A team without jobs is not added.
func (c *Core) explainedTeam(name string) *team {
	t := c.teams[name]
	if t == nil && name != "" {
		t = &team{name: name}
		c.configureTeam(t)
	}
	return t
}

func (c *Core) explainStep(s *step, limit int) StepPlacement {
	out := StepPlacement{
		Step: s.index, DependsOn: s.spec.DependsOn, Tasks: s.spec.Count, StepsAhead: c.stepsAhead(s),
		TeamAllows: min(c.teamCapacity(s), s.spec.Count), NeedsAdvice: s.job.queue.Advice != nil, Feasible: c.fleetHolds(s), Obstacles: map[string]int{},
	}
	for _, w := range c.workers {
		if o := c.obstacleOn(w, s); o != noObstacle {
			out.Obstacles[o.String()]++
			continue
		}
		fitting := c.capacityFor(w, s)
		if s.spec.MaxPerWorker > 0 {
			fitting = min(fitting, s.spec.MaxPerWorker)
		}
		if fitting == 0 {
			out.Obstacles[obstacleFull]++
			continue
		}
		out.Startable = min(out.Startable+fitting, s.spec.Count)
		out.Workers = append(out.Workers, WorkerPlacement{
			Worker: w.info.ID, Tasks: fitting, Score: c.score(w, s), OnDataRack: s.spec.DataRack != "" && w.isOnRack(s.spec.DataRack),
		})
	}
	out.Startable = min(out.Startable, out.TeamAllows)
	if s.spec.Gang && out.Startable < s.spec.Count {
		out.Startable = 0
	}
	slices.SortFunc(out.Workers, func(a, b WorkerPlacement) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Worker, b.Worker))
	})
	out.OmittedWorkers = max(0, len(out.Workers)-limit)
	out.Workers = out.Workers[:min(len(out.Workers), limit)]
	return out
}

// stepsAhead returns the number of waiting steps that come before a step.
func (c *Core) stepsAhead(s *step) int {
	r, n := c.rankOf(s), 0
	for _, other := range c.ready.ranked {
		if other.queuePosition.rank.compare(r) < 0 {
			n++
		}
	}
	return n
}
