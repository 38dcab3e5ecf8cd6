package cell

import (
	"time"

	"github.com/lentiltide/lentiltide/model/job"
)

// unstoredReportDelay is how long a completed job waits for its progress to become durable before it is reported as
// completed. It is longer than a write to the store takes, so that it only matters during an outage of the store.
const unstoredReportDelay = 200 * time.Millisecond

// State returns the state of a job that may be reported, and whether the job is known. If the store does not answer, a
// completed job is reported before its progress is durable: workers keep the completions of its tasks until they are
// acknowledged, so that the next leader also finds the job completed.
func (c *Core) State(id job.ID, now Instant) (job.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil || c.mu.panicked {
		return "", false
	}
	if j.reportedState.Terminal() {
		return j.reportedState, true
	}
	if j.state == job.Completed && now >= j.finishedAt+unstoredReportDelay {
		return j.state, true
	}
	if j.started {
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
	return out
}
