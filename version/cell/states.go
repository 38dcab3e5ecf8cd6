package cell

import "github.com/lentiltide/lentiltide/model/job"

// State returns the state of a job that may be reported, and whether the job is known. If the store does not answer, a
// completed job is reported when it is replicated, so that the next leader also finds it completed.
func (c *Core) State(id job.ID) (job.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil || c.mu.panicked {
		return "", false
	}
	if j.reportedState.Terminal() {
		return j.reportedState, true
	}
	if j.state == job.Completed && (j.completionReported || c.unstored.isReplicated(j)) {
		c.logReportedUnstored(j)
		return j.state, true
	}
	if j.started {
		return job.Running, true
	}
	return job.Queued, true
}

// logReportedUnstored logs the first report of a completed job whose progress is not durable.
func (c *Core) logReportedUnstored(j *jobState) {
	if j.reportedUnstored {
		return
	}
	j.reportedUnstored = true
	c.logDecision("completion_reported_unstored", j.id, map[string]any{
		"adopted": j.completionReported, "sequence": j.completionSequence, "replicated_sequence": c.unstored.replicatedSequence,
		"unstored_ms": (c.now - j.finishedAt).Milliseconds(),
	})
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
	return out
}
