package node

import (
	"encoding/json"
	"net/http"

	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// Status is a summary of an instance for metrics and operators.
type Status struct {
	Instance string `json:"instance"`
	// Epoch is the epoch in which this instance leads, 0 if it does not.
	Epoch uint64 `json:"epoch"`
	// Leader is the leader that this instance has observed last, and SeenEpoch its epoch.
	Leader    string `json:"leader"`
	SeenEpoch uint64 `json:"seen_epoch"`
	// LeaderLost is set if the leader did not answer the last join.
	LeaderLost bool `json:"leader_lost"`
	Leaving    bool `json:"leaving"`
	Ready      bool `json:"ready"`
	// Config is the version of the configuration in force; ConfigAgeMS is the time since it was confirmed to be current.
	Config      uint64 `json:"config"`
	ConfigAgeMS int64  `json:"config_age_ms"`
	// Takeovers is the number of recent changes of the leader without a resignation.
	Takeovers int `json:"takeovers"`
	// RefusedRows is the number of rows that the store refuses whatever happens; only the leader sets it.
	RefusedRows int `json:"refused_rows"`
	// DownShards are the shards of the store that do not answer this instance.
	DownShards []string `json:"down_parts"`
	// Waiting, Workers and Members are the numbers of waiting jobs, usable workers and members; only the leader sets them.
	Waiting int `json:"waiting"`
	Workers int `json:"workers"`
	Members int `json:"members"`
	// Load is what the scheduler has to do and has done, and Calls counts its calls to workers; only the leader sets them.
	Load cell.Load `json:"load"`
	// Memory is what the jobs take of the memory for them, and how many are not in memory; only the leader sets it.
	Memory cell.MemoryUse `json:"memory"`
	Calls  WorkerCalls    `json:"calls"`
	// Teams is the use of the cell by the teams with the largest shares; only the leader sets it.
	Teams []cell.TeamUse `json:"teams,omitempty"`
	// Cell is the state of the leader's scheduler, limited in size. Only ServeDump sets it.
	Cell *cell.Dump `json:"cell,omitempty"`
}

// Status returns a summary without the state of the cell.
func (n *Node) Status() Status {
	n.mu.Lock()
	s := Status{
		Instance: n.opts.Instance, Leader: n.leader.row.Instance, SeenEpoch: n.leader.row.Epoch, LeaderLost: n.leaderLost,
		Leaving: n.leaving.Load(), Config: n.config.Version, ConfigAgeMS: (n.opts.Now() - n.configAge.confirmedAt).Milliseconds(),
	}
	s.Takeovers = n.leaderChanges.count(n.opts.Now())
	l := n.leadership
	n.mu.Unlock()
	s.Ready = n.Ready()
	s.DownShards = n.direct.downShards()
	if l != nil {
		s.Epoch = l.epoch
		s.Members = len(l.memberAddresses(memberTTL))
		s.Workers = l.core.UsableWorkers()
		s.RefusedRows = l.core.RefusedRows()
		s.Memory = l.core.MemoryUse()
		s.Load, s.Calls = l.core.Load(), l.workers.counts.snapshot()
		s.Teams, _ = l.core.Teams(maxStatusTeams)
		for _, count := range l.core.WaitingJobs() {
			s.Waiting += count
		}
	}
	return s
}

// maxStatusTeams limits the teams in a status, and so the time series of teams in the metrics.
const maxStatusTeams = 50

// maxDumpEntries limits the entries of each list in a dump.
const maxDumpEntries = 500

// maxExplainedWorkers limits the workers of each step in an explanation.
const maxExplainedWorkers = 20

// Explain returns where the tasks of a job would start now. The error has CodeInvalid for an unknown queue or an invalid job, and
// CodeWrongOwner with the leader's address if this instance does not lead.
func (n *Node) Explain(queue, team string, spec job.Spec) (cell.Placement, error) {
	if err := validateSpec(spec); err != nil {
		return cell.Placement{}, err
	}
	l := n.loadedLeadership()
	if l == nil {
		address, _ := n.leaderAddress()
		return cell.Placement{}, verdict.New(verdict.NotRun, verdict.CodeWrongOwner, "this instance does not lead; the leader is %q", address)
	}
	q, ok := n.queueNamed(queue)
	if !ok {
		return cell.Placement{}, verdict.Invalid("queue", "there is no queue %q", queue)
	}
	return l.core.Explain(job.Record{Queue: q, Team: team, Spec: spec}, maxExplainedWorkers, n.opts.Now()), nil
}

// queueNamed returns the configured queue with a name.
func (n *Node) queueNamed(name string) (job.Queue, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, q := range n.config.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return job.Queue{}, false
}

// ServeDump responds with the state of the instance as JSON.
func (n *Node) ServeDump(w http.ResponseWriter, _ *http.Request) {
	s := n.Status()
	if l := n.currentLeadership(); l != nil {
		dump := l.core.Dump(maxDumpEntries)
		s.Cell = &dump
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// A write error means that the client has disconnected, so it cannot be reported.
	_ = encoder.Encode(s)
}
