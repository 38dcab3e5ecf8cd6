package cell

import (
	"time"

	"github.com/lentiltide/lentiltide/model/job"
)

// CancelJob cancels a job whose cancellation is durable.
func (c *Core) CancelJob(id job.ID, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	j := c.jobs[id]
	if j == nil {
		c.earlyCancels[id] = c.now
		return
	}
	c.finishJob(j, job.Cancelled, "cancelled by the caller")
}

// earlyCancelTTL is how long a cancellation is kept for a job that is not known yet: the two arrive through different
// paths.
const earlyCancelTTL = time.Minute

// expireEarlyCancels drops the cancellations of jobs that have not become known in time.
func (c *Core) expireEarlyCancels() {
	for id, at := range c.earlyCancels {
		if c.now > at+earlyCancelTTL {
			delete(c.earlyCancels, id)
		}
	}
}
