package faultmatrix

import (
	"time"

	"github.com/lentiltide/lentiltide/store"
)

// step is a stage in the processing of an intent, a call or an ownership change at which faults fire.
type step string

const (
	stepPlan     step = "plan"
	stepConfirm  step = "confirm"
	stepReserve  step = "reserve"
	stepCommit   step = "commit"
	stepStart    step = "start"
	stepRun      step = "run"
	stepFinish   step = "finish"
	stepAnswer   step = "answer"
	stepCancel   step = "cancel"
	stepPreempt  step = "preempt"
	stepHandOver step = "hand-over"
	stepTakeOver step = "take-over"
	stepConfig   step = "apply-configuration"
)

var steps = []step{
	stepPlan, stepConfirm, stepReserve, stepCommit, stepStart, stepRun, stepFinish, stepAnswer, stepCancel, stepPreempt,
	stepHandOver, stepTakeOver, stepConfig,
}

// delivery tells how faults change the transport of one message and of its answer.
type delivery struct {
	loseRequest, loseAnswer, duplicate, swapAnswer bool
	delay                                          time.Duration
}

// messageDelay is the delay of a delayed message. It exceeds the time of a takeover plus a run of a short task, and is
// shorter than a lease.
const messageDelay = 12 * time.Second

// fault changes the delivery of the message at which it fires, or the state of the simulation.
type fault struct {
	name  string
	apply func(sim *simulation, m message, d *delivery)
}

var faults = []fault{
	{"process-dies", func(sim *simulation, m message, _ *delivery) { sim.crash(sim.faultedNode(m)) }},
	{"process-pauses", func(sim *simulation, m message, _ *delivery) { sim.pause(sim.faultedNode(m)) }},
	{"message-lost", func(_ *simulation, _ message, d *delivery) { d.loseRequest = true }},
	{"answer-lost", func(_ *simulation, _ message, d *delivery) { d.loseAnswer = true }},
	{"message-duplicated", func(_ *simulation, _ message, d *delivery) { d.duplicate = true }},
	{"message-delayed", func(_ *simulation, _ message, d *delivery) { d.delay = messageDelay }},
	{"answer-swapped", func(_ *simulation, _ message, d *delivery) { d.swapAnswer = true }},
	{"store-unavailable", func(sim *simulation, _ message, _ *delivery) { sim.countForOutage(&sim.storeOutages) }},
	{"store-slow", func(sim *simulation, _ message, _ *delivery) { sim.countForOutage(&sim.storeSlowdowns) }},
	{"worker-dies", func(sim *simulation, m message, _ *delivery) {
		stub := sim.faultedWorker(m)
		stub.agent.Restart()
		stub.add(&stub.disconnectFaults, 1)
		sim.runAfter(outage, func() {
			stub.agent.Restart()
			stub.add(&stub.disconnectFaults, -1)
		})
	}},
	{"worker-fails-every-task", func(sim *simulation, m message, _ *delivery) {
		stub := sim.faultedWorker(m)
		stub.add(&stub.failTaskFaults, 1)
		sim.runAfter(outage, func() { stub.add(&stub.failTaskFaults, -1) })
	}},
	{"instance-list-stale", func(sim *simulation, _ message, _ *delivery) {
		sim.mu.Lock()
		sim.staleMembers = append([]store.Member(nil), sim.members[1:]...)
		sim.mu.Unlock()
		sim.runAfter(outage, func() {
			sim.mu.Lock()
			sim.staleMembers = nil
			sim.mu.Unlock()
		})
	}},
	{"lease-expires", func(sim *simulation, m message, _ *delivery) {
		stub := sim.faultedWorker(m)
		stub.add(&stub.disconnectFaults, 1)
		sim.runAfter(outage, func() { stub.add(&stub.disconnectFaults, -1) })
	}},
}

// armedFault is a fault that is set to fire at a step. It fires at the messages of the step whose numbers, counted from 1, are
// in firesAt.
type armedFault struct {
	step         step
	fault        fault
	firesAt      map[int]bool
	messagesSeen int
}

// arm makes a fault fire at the given messages of a step.
func (sim *simulation) arm(s step, f fault, at ...int) {
	a := &armedFault{step: s, fault: f, firesAt: map[int]bool{}}
	for _, n := range at {
		a.firesAt[n] = true
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.armedFaults = append(sim.armedFaults, a)
}

// applyFaults records the arrival of a message and applies the armed faults that fire at it.
func (sim *simulation) applyFaults(m message) delivery {
	var due []fault
	sim.mu.Lock()
	sim.history = append(sim.history, m.String())
	for _, a := range sim.armedFaults {
		if a.step != m.step {
			continue
		}
		a.messagesSeen++
		if a.firesAt[a.messagesSeen] {
			due = append(due, a.fault)
		}
	}
	sim.mu.Unlock()
	var outcome delivery
	for _, f := range due {
		f.apply(sim, m, &outcome)
	}
	return outcome
}

// firedCount returns how many times armed faults have fired.
func (sim *simulation) firedCount() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	count := 0
	for _, a := range sim.armedFaults {
		for n := range a.firesAt {
			if n <= a.messagesSeen {
				count++
			}
		}
	}
	return count
}

// faultedNode returns the instance that a fault affects: the receiver of the message, else its sender, else the first live
// instance.
func (sim *simulation) faultedNode(m message) *node {
	if m.to != nil {
		return m.to
	}
	if m.from != nil {
		return m.from
	}
	return sim.liveNodes()[0]
}

// faultedWorker returns the worker that a fault affects: the receiver of the message, or worker-0 for a message to another
// receiver.
func (sim *simulation) faultedWorker(m message) *workerStub {
	if m.worker != nil {
		return m.worker
	}
	return sim.workers["worker-0"]
}

// countForOutage increments a counter and decrements it after an outage, so that overlapping outages add up.
func (sim *simulation) countForOutage(counter *int) {
	sim.mu.Lock()
	*counter++
	sim.mu.Unlock()
	sim.runAfter(outage, func() {
		sim.mu.Lock()
		*counter--
		sim.mu.Unlock()
	})
}
