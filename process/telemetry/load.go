package telemetry

import (
	"go.opentelemetry.io/otel/metric"

	"github.com/lentiltide/lentiltide/process/node"
)

// loadInstruments are the instruments of the load of a leader.
type loadInstruments struct {
	readySteps, waitingTasks     metric.Int64ObservableGauge
	waitingServices, serviceWait metric.Int64ObservableGauge
	heldTasks                    metric.Int64ObservableGauge
	heldTaskTime, foundTasks     metric.Int64ObservableCounter
	rounds, examined, callsTo    metric.Int64ObservableCounter
	jobMemory, jobMemoryLimit    metric.Int64ObservableGauge
	deferredJobs, tooLargeJobs   metric.Int64ObservableGauge
	evictedJobs                  metric.Int64ObservableCounter
}

func newLoadInstruments(b *instrumentBuilder) loadInstruments {
	return loadInstruments{
		readySteps:      b.newGauge("lentiltide.ready.steps", "Steps with tasks that wait for a placement."),
		waitingTasks:    b.newGauge("lentiltide.ready.tasks", "Tasks that wait for a placement."),
		waitingServices: b.newGauge("lentiltide.services.waiting", "Service tasks that wait for a placement."),
		serviceWait:     b.newGauge("lentiltide.services.longest_wait", "Longest wait of a service task for a placement in this leadership, in milliseconds."),
		heldTasks:       b.newGauge("lentiltide.recovery.held_tasks", "Tasks of earlier epochs that wait for workers that are not read."),
		heldTaskTime:    b.newObservableCounter("lentiltide.recovery.held_task_time", "Sum of the waits of such tasks in this leadership, in milliseconds."),
		foundTasks:      b.newObservableCounter("lentiltide.recovery.found_tasks", "Waiting tasks of which a worker turned out to have a run."),
		rounds:          b.newObservableCounter("lentiltide.leader.rounds", "Scheduling rounds of this leadership."),
		examined:        b.newObservableCounter("lentiltide.leader.examined", "Workers examined by decisions of this leadership, by purpose."),
		callsTo:         b.newObservableCounter("lentiltide.leader.worker_calls", "Calls of this leadership to workers, by path."),
		jobMemory:       b.newGauge("lentiltide.jobs.memory_used", "Upper bound of the memory of the jobs that the leader holds, in bytes."),
		jobMemoryLimit:  b.newGauge("lentiltide.jobs.memory_limit", "Memory of the leader for jobs, in bytes."),
		deferredJobs:    b.newGauge("lentiltide.jobs.deferred", "Accepted jobs that the leader does not hold in memory."),
		tooLargeJobs:    b.newGauge("lentiltide.jobs.too_large", "Accepted jobs that are larger than the memory of the leader for jobs."),
		evictedJobs:     b.newObservableCounter("lentiltide.jobs.evictions", "Jobs without runs that were removed from memory for others in this leadership."),
	}
}

func (l loadInstruments) instruments() []metric.Observable {
	return []metric.Observable{l.readySteps, l.waitingTasks, l.waitingServices, l.serviceWait, l.heldTasks, l.heldTaskTime, l.foundTasks, l.rounds, l.examined, l.callsTo,
		l.jobMemory, l.jobMemoryLimit, l.deferredJobs, l.tooLargeJobs, l.evictedJobs}
}

func (l loadInstruments) observe(o metric.Observer, s node.Status) {
	o.ObserveInt64(l.readySteps, int64(s.Load.ReadySteps))
	o.ObserveInt64(l.waitingTasks, int64(s.Load.WaitingTasks))
	o.ObserveInt64(l.waitingServices, int64(s.Load.WaitingServices))
	o.ObserveInt64(l.serviceWait, s.Load.LongestServiceWaitMS)
	o.ObserveInt64(l.heldTasks, int64(s.Load.HeldTasks))
	o.ObserveInt64(l.heldTaskTime, s.Load.HeldTaskMS)
	o.ObserveInt64(l.foundTasks, int64(s.Load.FoundTasks))
	o.ObserveInt64(l.jobMemory, s.Memory.UsedBytes)
	o.ObserveInt64(l.jobMemoryLimit, s.Memory.LimitBytes)
	o.ObserveInt64(l.deferredJobs, int64(s.Memory.Deferred))
	o.ObserveInt64(l.tooLargeJobs, int64(s.Memory.TooLarge))
	o.ObserveInt64(l.evictedJobs, int64(s.Memory.Evictions))
	e := s.Load.Effort
	o.ObserveInt64(l.rounds, int64(e.Rounds))
	for purpose, n := range map[string]uint64{
		"placement": e.Placement, "advice": e.Advice, "planning": e.Planning, "preemption": e.Preemption, "sweep": e.Sweep,
	} {
		o.ObserveInt64(l.examined, int64(n), withAttributes("purpose", purpose))
	}
	for path, n := range map[string]uint64{"delegated": s.Calls.Delegated, "unanswered": s.Calls.Unanswered, "direct": s.Calls.Direct} {
		o.ObserveInt64(l.callsTo, int64(n), withAttributes("path", path))
	}
}
