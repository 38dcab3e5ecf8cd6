package cell

// Effort counts what the decisions of a Core have examined since its start, in workers or, for Rounds, in calls of Step. Divided by the
// started tasks it says what a decision costs, whatever the processor.
type Effort struct {
	Rounds uint64 `json:"rounds"`
	// Placement, Advice, Planning and Preemption are the workers examined to place a task, to choose those of a request for advice, to
	// find capacity that becomes free, and to preempt tasks. Sweep are those examined because of the time alone.
	Placement  uint64 `json:"placement"`
	Advice     uint64 `json:"advice"`
	Planning   uint64 `json:"planning"`
	Preemption uint64 `json:"preemption"`
	Sweep      uint64 `json:"sweep"`
}

// Sub returns the effort since an earlier one.
func (e Effort) Sub(earlier Effort) Effort {
	return Effort{
		Rounds: e.Rounds - earlier.Rounds, Placement: e.Placement - earlier.Placement, Advice: e.Advice - earlier.Advice,
		Planning: e.Planning - earlier.Planning, Preemption: e.Preemption - earlier.Preemption, Sweep: e.Sweep - earlier.Sweep,
	}
}

// Examined returns the number of workers examined.
func (e Effort) Examined() uint64 {
	return e.Placement + e.Advice + e.Planning + e.Preemption + e.Sweep
}

// Load is what a Core has to do and has done.
type Load struct {
	Effort Effort `json:"effort"`
	// ReadySteps are the steps with waiting tasks, and WaitingTasks their waiting tasks.
	ReadySteps   int `json:"ready_steps"`
	WaitingTasks int `json:"waiting_tasks"`
	// WaitingServices are those of the waiting tasks that are service tasks, and LongestServiceWaitMS is how long one of them has waited in
	// this leadership, in milliseconds.
	WaitingServices      int   `json:"waiting_services"`
	LongestServiceWaitMS int64 `json:"longest_service_wait_ms"`
	// HeldTasks are the tasks of earlier epochs that wait for workers that are not read, as of the last log entry about them, and HeldTaskMS
	// for how long tasks have waited so in this leadership, in milliseconds. FoundTasks are the waiting tasks of which a worker turned out to
	// have a run.
	HeldTasks  int    `json:"held_tasks"`
	HeldTaskMS int64  `json:"held_task_ms"`
	FoundTasks uint64 `json:"found_tasks"`
}

// Load returns the present load.
func (c *Core) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	load := Load{Effort: c.effort, HeldTasks: c.held.tasks, HeldTaskMS: c.held.taskTime.Milliseconds(), FoundTasks: c.held.found}
	for _, s := range c.ready.ranked {
		if len(s.waiting) > 0 {
			load.ReadySteps++
			load.WaitingTasks += len(s.waiting)
			load.addServices(s, c.now)
		}
	}
	return load
}

// addServices adds the waiting service tasks of a step.
func (l *Load) addServices(s *step, now Instant) {
	if !s.spec.LongRunning {
		return
	}
	l.WaitingServices += len(s.waiting)
	l.LongestServiceWaitMS = max(l.LongestServiceWaitMS, (now - s.longestWaiting().waitingSince).Milliseconds())
}
