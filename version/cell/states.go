package cell

import "github.com/lentiltide/lentiltide/model/job"

// State returns the state of a job that may be reported, and whether the job is known. A final state binds whoever leads next, so it is
// reported only when it is durable: everything that holds it in memory may be lost at once. Until then the job is running.
func (c *Core) State(id job.ID) (job.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.panicked {
		return "", false
	}
	if d := c.admission.deferred[id]; d != nil {
		return d.state(), true
	}
	if f, ok := c.finished[id]; ok {
		return f.state, true
	}
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	if j.reportedState.Terminal() {
		return j.reportedState, true
	}
	if j.started || j.state.Terminal() {
		return job.Running, true
	}
	return job.Queued, true
}

// WaitingJobs returns the number of accepted jobs without a started task for each queue.
func (c *Core) WaitingJobs() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for _, j := range c.jobs {
		if !j.started && !j.state.Terminal() {
			out[j.queue.Name]++
		}
	}
	for _, d := range c.admission.deferred {
		if !d.started {
			out[d.queue]++
		}
	}
	return out
}
