package faultmatrix

import (
	"time"

	"github.com/lentiltide/lentiltide/store"
)

// step is a point in the life of work at which faults fire.
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

// delivery says what becomes of one message.
type delivery struct {
	loseRequest, loseAnswer, duplicate, swapAnswer bool
	delay                                          time.Duration
}

// messageDelay is the delay of a delayed message. It is longer than a takeover and a run of a short task take
// together, and shorter than a lease.
const messageDelay = 12 * time.Second

// fault changes the delivery of the message at which it fires, or the world around it.
type fault struct {
	name  string
	apply func(sim *simulation, m message, f *delivery)
}

var faults = []fault{
	{"process-dies", func(sim *simulation, m message, _ *delivery) { sim.crash(sim.faultedNode(m)) }},
	{"process-pauses", func(sim *simulation, m message, _ *delivery) { sim.pause(sim.faultedNode(m)) }},
	{"message-lost", func(_ *simulation, _ message, f *delivery) { f.loseRequest = true }},
	{"answer-lost", func(_ *simulation, _ message, f *delivery) { f.loseAnswer = true }},
	{"message-duplicated", func(_ *simulation, _ message, f *delivery) { f.duplicate = true }},
	{"message-delayed", func(_ *simulation, _ message, f *delivery) { f.delay = messageDelay }},
	{"answer-swapped", func(_ *simulation, _ message, f *delivery) { f.swapAnswer = true }},
	{"store-unavailable", func(sim *simulation, _ message, _ *delivery) { sim.countForOutage(&sim.storeOutages) }},
	{"store-slow", func(sim *simulation, _ message, _ *delivery) { sim.countForOutage(&sim.storeSlowdowns) }},
	{"worker-dies", func(sim *simulation, m message, _ *delivery) {
		stub := sim.faultedWorker(m)
		stub.agent.Restart()
		stub.add(&stub.disconnects, 1)
		sim.runAfter(outage, func() {
			stub.agent.Restart()
			stub.add(&stub.disconnects, -1)
		})
	}},
	{"worker-fails-every-task", func(sim *simulation, m message, _ *delivery) {
		stub := sim.faultedWorker(m)
		stub.add(&stub.taskFailures, 1)
		sim.runAfter(outage, func() { stub.add(&stub.taskFailures, -1) })
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
		stub.add(&stub.disconnects, 1)
		sim.runAfter(outage, func() { stub.add(&stub.disconnects, -1) })
	}},
}

// armedFault is a fault that waits for its step. It fires at the messages whose numbers are in at, counted from 1.
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

// applyFaults lets the faults that wait for a message's step act on it.
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
	for _, d := range due {
		d.apply(sim, m, &outcome)
	}
	return outcome
}

// firedCount returns how often faults have fired.
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

// faultedNode returns the instance that a fault hits: the receiver of a message, or else its sender.
func (sim *simulation) faultedNode(m message) *node {
	if m.to != nil {
		return m.to
	}
	if m.from != nil {
		return m.from
	}
	return sim.liveNodes()[0]
}

// faultedWorker returns the worker that a fault hits.
func (sim *simulation) faultedWorker(m message) *workerStub {
	if m.worker != nil {
		return m.worker
	}
	return sim.workers["worker-0"]
}

// countForOutage raises a counter for the length of an outage.
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
