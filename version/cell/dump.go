package cell

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lentiltide/lentiltide/model/job"
)

// Dump is the state of a cell for operators.
type Dump struct {
	Epoch uint64 `json:"epoch"`
	// InventoryPending are the workers whose inventory a new leader still needs.
	InventoryPending []string `json:"unread,omitempty"`
	// Teams are the teams with jobs, the ones with the largest shares first.
	Teams   []TeamUse    `json:"teams,omitempty"`
	Jobs    []JobDump    `json:"jobs"`
	Workers []WorkerDump `json:"workers"`
	// Deferred are the jobs that are not in memory, the oldest first, and Memory is what the others take.
	Deferred []DeferredJob `json:"deferred_jobs,omitempty"`
	Memory   MemoryUse     `json:"memory"`
	// Omitted counts the entries beyond the limit.
	Omitted int `json:"omitted,omitempty"`
}

// JobDump is the state of an unfinished job.
type JobDump struct {
	ID    job.ID    `json:"id"`
	Queue string    `json:"queue"`
	State job.State `json:"state"`
	AgeMS int64     `json:"age_ms"`
	// LateMS is the time since the job's completion objective; negative before it.
	LateMS  int64 `json:"late_ms"`
	Waiting int   `json:"waiting_tasks"`
	Running int   `json:"running_tasks"`
	// AdvicePending means that a request for placement advice is outstanding.
	AdvicePending bool `json:"asking_advice"`
	// AwaitingRecovery means that the job waits for worker inventories.
	AwaitingRecovery bool `json:"blocked_by_recovery"`
	// AwaitedWorkers are these workers, of which at most maxLoggedWorkers are listed.
	AwaitedWorkers []AwaitedWorker `json:"awaited_workers,omitempty"`
}

// AwaitedWorker is a worker that may run tasks of a job and that is not read.
type AwaitedWorker struct {
	ID string `json:"id"`
	// LeasesEndMS is the time until which the job waits for the worker at the longest.
	LeasesEndMS int64 `json:"leases_end_ms"`
}

// WorkerDump is the state of a worker.
type WorkerDump struct {
	ID             string `json:"id"`
	Listed         bool   `json:"listed"`
	InventoryKnown bool   `json:"known"`
	Draining       bool   `json:"draining"`
	Runs           int    `json:"runs"`
	FreeCPUMilli   int64  `json:"free_cpu_milli"`
	FreeMemoryMiB  int64  `json:"free_memory_mib"`
	ClockAgeMS     int64  `json:"stamp_age_ms"`
	// SuspectMS is the remaining time for which the worker is avoided.
	SuspectMS int64 `json:"suspect_ms"`
	// UnackedCompletions counts the completions that are not durable yet.
	UnackedCompletions int `json:"unacked_ends"`
}

// Dump returns at most limit jobs, the oldest first, and at most limit workers.
func (c *Core) Dump(limit int) Dump {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Dump{Epoch: c.opts.Epoch, Memory: c.memoryUse()}
	d.Teams, d.Omitted = c.teamUses(limit)
	for id := range c.inventoryPending {
		d.InventoryPending = append(d.InventoryPending, id)
	}
	slices.Sort(d.InventoryPending)
	for _, j := range c.jobs {
		if !j.state.Terminal() {
			d.Jobs = append(d.Jobs, c.dumpJob(j))
		}
	}
	slices.SortFunc(d.Jobs, func(a, b JobDump) int { return cmp.Or(cmp.Compare(b.AgeMS, a.AgeMS), cmp.Compare(a.ID, b.ID)) })
	for _, w := range c.workers {
		d.Workers = append(d.Workers, c.dumpWorker(w))
	}
	slices.SortFunc(d.Workers, func(a, b WorkerDump) int { return cmp.Compare(a.ID, b.ID) })
	for _, entry := range c.admission.deferred {
		d.Deferred = append(d.Deferred, c.dumpDeferred(entry))
	}
	slices.SortFunc(d.Deferred, func(a, b DeferredJob) int { return cmp.Or(cmp.Compare(b.AgeMS, a.AgeMS), cmp.Compare(a.ID, b.ID)) })
	d.Omitted += max(0, len(d.Deferred)-limit)
	d.Deferred = d.Deferred[:min(len(d.Deferred), limit)]
	d.Omitted += max(0, len(d.Jobs)-limit) + max(0, len(d.Workers)-limit)
	d.Jobs = d.Jobs[:min(len(d.Jobs), limit)]
	d.Workers = d.Workers[:min(len(d.Workers), limit)]
	return d
}

func (c *Core) dumpJob(j *jobState) JobDump {
	d := JobDump{
		ID: j.id, Queue: j.queue.Name, State: j.state, AgeMS: (c.now - j.addedAt).Milliseconds(),
		LateMS: c.lateness(j).Milliseconds(),
	}
	awaited := map[string]struct{}{}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			d.Waiting += len(s.waiting)
			d.AdvicePending = d.AdvicePending || len(s.advice.pending) > 0
			c.addAwaitedBy(s, awaited)
			for _, t := range s.tasks {
				d.Running += len(t.runs)
			}
		}
	}
	d.AwaitedWorkers = c.dumpAwaited(awaited)
	d.AwaitingRecovery = len(awaited) > 0
	return d
}

// addAwaitedBy adds the workers for whose inventories tasks of a step wait.
func (c *Core) addAwaitedBy(s *step, workers map[string]struct{}) {
	if !c.isRecovering(s.job) {
		return
	}
	for _, t := range s.waiting {
		if c.mayRunUnread(t) {
			c.addAwaitedWorkers(t, workers)
		}
	}
}

// dumpAwaited returns the awaited workers in the order of their IDs.
func (c *Core) dumpAwaited(workers map[string]struct{}) []AwaitedWorker {
	var out []AwaitedWorker
	for _, id := range slices.Sorted(maps.Keys(workers)) {
		if w := c.workers[id]; w != nil && len(out) < maxLoggedWorkers {
			out = append(out, AwaitedWorker{id, max(0, c.leasesEnd(w)-c.now).Milliseconds()})
		}
	}
	return out
}

func (c *Core) dumpWorker(w *worker) WorkerDump {
	return WorkerDump{
		ID: w.info.ID, Listed: w.listed, InventoryKnown: w.inventoryKnown, Draining: w.info.Draining, Runs: len(w.runs),
		FreeCPUMilli: w.freeCPUMilli(), FreeMemoryMiB: w.info.Capacity.MemoryMiB - w.allocated.MemoryMiB,
		ClockAgeMS:         (c.now - w.clockReceivedAt).Milliseconds(),
		SuspectMS:          max(0, w.health.suspicion.pausedUntil-c.now).Milliseconds(),
		UnackedCompletions: len(w.pendingAcks),
	}
}

// UsableWorkers returns the number of workers on which new runs may start.
func (c *Core) UsableWorkers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, w := range c.workers {
		if w.listed && w.inventoryKnown && c.isRecorded(w) && !w.info.Draining && !w.health.suspicion.isPausedAt(c.now) {
			n++
		}
	}
	return n
}
