package site

import (
	"time"

	"github.com/lentiltide/lentiltide/version/cell"
)

// Costs are the times for which calls occupy the leader's processor, on a processor of which a leader has all.
type Costs struct {
	// Round is a scheduling round without the workers that it examines, and Examined one of them.
	Round, Examined time.Duration
	// Start is a started task with its command, confirmation and log lines, Poll a poll with its result, Completion a completed task in it
	// with its log line, Advice a request for advice with its answer, Job the acceptance of a job, and Batch a write of progress.
	Start, Poll, Completion, Advice, Job, Batch time.Duration
}

// work returns the time for which a call occupied the processor beyond its fixed cost, from what it examined.
func (c Costs) work(before, after cell.Effort) time.Duration {
	return time.Duration(after.Sub(before).Examined()) * c.Examined
}

// processor runs the calls of the leader one after the other.
type processor struct {
	leader *leader
	// share is the part of a processor that the leader has.
	share float64
	queue []call
	busy  bool
	// used is the processor time used, and longestWait the longest time from a call's arrival to its start.
	used        time.Duration
	longestWait time.Duration
}

// call is a call of the scheduler that waits for the processor. run returns its fixed cost and what happens when it has ended.
type call struct {
	arrivedAt time.Duration
	run       func() (cost time.Duration, then func())
}

// submit queues a call, unless the leader is lost.
func (p *processor) submit(run func() (cost time.Duration, then func())) {
	if p.leader.lost {
		return
	}
	p.queue = append(p.queue, call{p.leader.sim.now, run})
	p.runNext()
}

// runNext runs the first call in the queue if the processor is free.
func (p *processor) runNext() {
	if p.busy || len(p.queue) == 0 {
		return
	}
	next := p.queue[0]
	p.queue = p.queue[1:]
	p.busy = true
	p.longestWait = max(p.longestWait, p.leader.sim.now-next.arrivedAt)
	before := p.leader.core.Load().Effort
	cost, then := next.run()
	cost += p.leader.sim.costs.work(before, p.leader.core.Load().Effort)
	p.used += cost
	p.leader.sim.after(time.Duration(float64(cost)/p.share), func() {
		p.busy = false
		if p.leader.lost {
			return
		}
		if then != nil {
			then()
		}
		p.leader.wakeScheduler()
		p.runNext()
	})
}

// MeasuredCosts are the costs of calls on one machine; docs/CAPACITY.md has their sources.
var MeasuredCosts = Costs{
	Round: 40 * time.Microsecond, Examined: 250 * time.Nanosecond, Start: 60 * time.Microsecond, Poll: 40 * time.Microsecond,
	Completion: 25 * time.Microsecond, Advice: 60 * time.Microsecond, Job: 100 * time.Microsecond, Batch: 600 * time.Microsecond,
}
