package telemetry

import (
	"go.opentelemetry.io/otel/metric"

	"github.com/lentiltide/lentiltide/process/node"
)

// loadInstruments are the instruments of the load of a leader.
type loadInstruments struct {
	readySteps, waitingTasks     metric.Int64ObservableGauge
	waitingServices, serviceWait metric.Int64ObservableGauge
	rounds, examined, callsTo    metric.Int64ObservableCounter
}

func newLoadInstruments(b *instrumentBuilder) loadInstruments {
	return loadInstruments{
		readySteps:      b.newGauge("lentiltide.ready.steps", "Steps with tasks that wait for a placement."),
		waitingTasks:    b.newGauge("lentiltide.ready.tasks", "Tasks that wait for a placement."),
		waitingServices: b.newGauge("lentiltide.services.waiting", "Service tasks that wait for a placement."),
		serviceWait:     b.newGauge("lentiltide.services.longest_wait", "Longest wait of a service task for a placement in this leadership, in milliseconds."),
		rounds:          b.newObservableCounter("lentiltide.leader.rounds", "Scheduling rounds of this leadership."),
		examined:        b.newObservableCounter("lentiltide.leader.examined", "Workers examined by decisions of this leadership, by purpose."),
		callsTo:         b.newObservableCounter("lentiltide.leader.worker_calls", "Calls of this leadership to workers, by path."),
	}
}

func (l loadInstruments) instruments() []metric.Observable {
	return []metric.Observable{l.readySteps, l.waitingTasks, l.waitingServices, l.serviceWait, l.rounds, l.examined, l.callsTo}
}

func (l loadInstruments) observe(o metric.Observer, s node.Status) {
	o.ObserveInt64(l.readySteps, int64(s.Load.ReadySteps))
	o.ObserveInt64(l.waitingTasks, int64(s.Load.WaitingTasks))
	o.ObserveInt64(l.waitingServices, int64(s.Load.WaitingServices))
	o.ObserveInt64(l.serviceWait, s.Load.LongestServiceWaitMS)
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
