package cell

import (
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// When capacity is short, the teams get it by their weights. The rule is weighted dominant resource fairness (Ghodsi et al., NSDI
// 2011): what counts of a team is the largest of its shares of processor time, memory and accelerators, divided by its weight. It
// is applied in two classes, teams over the average and others, within which the order of objectives stays; so no capacity is
// left idle, and no team gets more by asking for more. Jobs that a team submits beyond its rate come after all others, whatever
// their queue: a burst delays the work of its own team first.

const (
	// minTeamWeight replaces a weight that is missing.
	minTeamWeight = 1.0
	// overShareFactor is the multiple of the average share for its weight from which a team is over its share.
	overShareFactor = 1.25
	// rateWindow is the time for which a team may save up submissions.
	rateWindow = time.Second
	// maxExcessAge is how long a job beyond the rate of its team comes after all others, so that it starts eventually.
	maxExcessAge = 20 * time.Second
)

// submissionRate counts the submissions of a team against its rate.
type submissionRate struct {
	// perSecond is the rate; 0 means no limit.
	perSecond float64
	tokens    float64
	filledAt  Instant
}

// take counts a submission and reports whether it is within the rate.
func (r *submissionRate) take(now Instant) bool {
	if r.perSecond <= 0 {
		return true
	}
	burst := max(1, r.perSecond*rateWindow.Seconds())
	if r.filledAt == 0 {
		r.tokens = burst
	} else {
		r.tokens = min(burst, r.tokens+r.perSecond*(now-r.filledAt).Seconds())
	}
	r.filledAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// isExcess reports whether a job comes after all others because its team has submitted more than its rate.
func (c *Core) isExcess(j *jobState) bool { return j.beyondRate && c.now < j.addedAt+maxExcessAge }

// totalCapacity returns the capacity of the listed workers that have answered in this epoch. Entries of other writers name no worker
// that answers.
func (c *Core) totalCapacity() model.Resources {
	var total model.Resources
	for _, w := range c.workers {
		if w.listed && w.answered {
			total = total.Add(w.info.Capacity)
		}
	}
	return total
}

// updateShares determines which teams are over their share. Only teams that use or want capacity count.
func (c *Core) updateShares() {
	if len(c.teams) == 0 {
		return
	}
	active := map[*team]struct{}{}
	for _, s := range c.ready.ranked {
		if s.job.team != nil {
			active[s.job.team] = struct{}{}
		}
	}
	capacity := c.totalCapacity()
	shares, weights := 0.0, 0.0
	for _, t := range c.teams {
		if _, waits := active[t]; waits || t.used.CPUMilli > 0 || t.used.MemoryMiB > 0 {
			shares += t.used.DominantShare(capacity)
			weights += t.weight
		}
	}
	for _, t := range c.teams {
		t.overShare = weights > 0 && t.used.DominantShare(capacity)/t.weight > overShareFactor*shares/weights
	}
}
