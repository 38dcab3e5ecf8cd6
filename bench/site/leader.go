package site

import (
	"fmt"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/version/cell"
)

// leader is the leader of an epoch: its scheduler and the calls that it makes and answers.
type leader struct {
	sim       *Simulation
	epoch     uint64
	core      *cell.Core
	processor processor
	// lost is set when the leader is lost. The results of its calls are dropped from then on.
	lost bool

	// lastRoundAt is when the last round began; roundQueued means that the next one waits for the processor or its time.
	lastRoundAt time.Duration
	roundQueued bool
	// awaitingAck are the workers whose next poll waits for completions to become durable.
	awaitingAck []*ackWait
}

// ackWait is a worker whose next poll is delayed.
type ackWait struct {
	worker *worker
	done   bool
}

// newLeader returns the leader of an epoch, which knows the configuration, the instances and the registry of the workers.
func (s *Simulation) newLeader(epoch uint64) *leader {
	l := &leader{sim: s, epoch: epoch}
	l.processor = processor{leader: l, share: s.site.CPUShare}
	l.core = cell.New(cell.Options{
		Epoch: epoch, LeaseDuration: leaseDuration, StartsRecordedSince: 1, Retention: 2 * time.Minute, StopTimeout: 400 * time.Millisecond,
		OnDecision: s.recordDecision,
	}, s.now)
	cfg := job.Config{Version: 1}
	for _, k := range s.site.Kinds {
		cfg.Queues = append(cfg.Queues, k.queue())
	}
	l.core.SetConfig(cfg)
	advisers := make([]string, s.site.Instances)
	for i := range advisers {
		advisers[i] = fmt.Sprintf("i%04d", i)
	}
	l.core.SetAdvisers(advisers)
	return l
}

// run begins the work of the leader beside its polls.
func (l *leader) run() {
	l.sim.after(0, l.wakeScheduler)
	l.sim.after(0, l.write)
}

// addJob passes an accepted job to the scheduler.
func (l *leader) addJob(id job.ID, record job.Record) {
	l.processor.submit(func() (time.Duration, func()) {
		l.core.AddJob(id, record, l.sim.now)
		return l.sim.costs.Job, nil
	})
}

// wakeScheduler queues a scheduling round if the core asks for one or the last one is long ago.
func (l *leader) wakeScheduler() {
	if l.roundQueued || l.lost {
		return
	}
	select {
	case <-l.core.Wake():
	default:
		if l.sim.now < l.lastRoundAt+maxStepInterval {
			return
		}
	}
	l.roundQueued = true
	l.sim.after(l.lastRoundAt+minStepInterval-l.sim.now, func() { l.processor.submit(l.round) })
}

// round is a scheduling round.
func (l *leader) round() (time.Duration, func()) {
	l.lastRoundAt, l.roundQueued = l.sim.now, false
	actions := l.core.Step(l.sim.now, l.sim.now.Milliseconds())
	cost := l.sim.costs.Round
	for _, a := range actions {
		switch a.(type) {
		case *cell.StartAction:
			cost += l.sim.costs.Start
		case *cell.AdviseAction:
			cost += l.sim.costs.Advice
		}
	}
	l.sim.after(maxStepInterval, l.wakeScheduler)
	return cost, func() {
		for _, a := range actions {
			l.execute(a)
		}
	}
}

// execute executes an action of the scheduler.
func (l *leader) execute(action cell.Action) {
	switch a := action.(type) {
	case *cell.StartAction:
		l.sim.after(callDelay, func() { l.startTask(a) })
	case *cell.StopAction:
		l.sim.after(callDelay, func() { l.stopTask(a) })
	case *cell.AdviseAction:
		l.sim.after(a.Expected+adviceDelay, func() { l.answerAdvice(a) })
	case *cell.PollAction:
		l.pollOnce(l.sim.byID[a.Worker])
	}
}

func (l *leader) startTask(a *cell.StartAction) {
	w := l.sim.byID[a.Command.Worker.ID]
	j := l.sim.jobOf(a.Command.Task)
	k := l.sim.kinds[j.Kind]
	duration := k.taskTime(l.sim.draw("task", a.Command.Task))
	step := stepOf(a.Command.Task)
	j.work[step] = max(j.work[step], duration)
	setOnce(&j.commandAt, l.sim.elapsed())
	l.sim.start(w, a.Command, duration, k)
	reply := backend.Reply{ClockMS: clockMS(l.sim.now)}
	l.sim.after(callDelay, func() {
		l.processor.submit(func() (time.Duration, func()) {
			l.core.StartResult(a, reply, nil, l.sim.now)
			return 0, nil
		})
		l.wakeAckWaits()
	})
}

func (l *leader) stopTask(a *cell.StopAction) {
	w := l.sim.byID[a.Command.Worker.ID]
	l.sim.end(w, a.Command.Task, a.Command.Run, backend.ResultStopped)
	reply := backend.Reply{ClockMS: clockMS(l.sim.now)}
	l.sim.after(callDelay, func() {
		l.processor.submit(func() (time.Duration, func()) {
			l.core.StopResult(a, reply, nil, l.sim.now)
			return 0, nil
		})
	})
}

// answerAdvice answers a request for advice. The decision about a step and a worker does not change.
func (l *leader) answerAdvice(a *cell.AdviseAction) {
	k := l.sim.kinds[l.sim.jobOf(a.Step).Kind]
	var tickets []backend.Ticket
	for _, id := range a.Workers {
		if l.sim.permits(a.Step, id, k.Approved) {
			tickets = append(tickets, backend.Ticket{Worker: id, Ticket: "t"})
		}
	}
	l.sim.report.adviceCalls++
	l.processor.submit(func() (time.Duration, func()) {
		l.core.AdviceResult(a, tickets, time.Duration(k.Advice.ValidityMS)*time.Millisecond, nil, l.sim.now)
		return 0, nil
	})
}

// pollWorker sends the next long poll of a worker.
func (l *leader) pollWorker(w *worker) {
	l.processor.submit(func() (time.Duration, func()) {
		req, _, ok := l.core.PreparePoll(w.id, l.sim.now)
		if !ok {
			return 0, nil
		}
		sentAt := l.sim.now
		return 0, func() {
			l.sim.after(callDelay, func() { l.sim.receivePoll(w, l, req, sentAt) })
		}
	})
}

// pollOnce polls a worker at once, beside its long poll.
func (l *leader) pollOnce(w *worker) {
	if w.poll != nil {
		l.sim.after(callDelay, func() { l.sim.answerPoll(w) })
	}
}

// receivePollReply passes the result of a poll to the scheduler, and sends the next poll once its completions are durable.
func (l *leader) receivePollReply(w *worker, sentAt time.Duration, reply backend.PollReply) {
	l.sim.report.polls++
	l.processor.submit(func() (time.Duration, func()) {
		l.core.PollResult(w.id, sentAt, reply, nil, l.sim.now)
		cost := l.sim.costs.Poll + time.Duration(len(reply.Finished))*l.sim.costs.Completion
		return cost, func() { l.awaitAcks(w) }
	})
}

// awaitAcks polls a worker again when its completions are durable, after ackTimeout at the latest.
func (l *leader) awaitAcks(w *worker) {
	if _, pending := l.core.AcksChanged(w.id); !pending {
		l.pollWorker(w)
		return
	}
	wait := &ackWait{worker: w}
	l.awaitingAck = append(l.awaitingAck, wait)
	l.sim.after(ackTimeout, func() {
		if !wait.done {
			wait.done = true
			l.pollWorker(w)
		}
	})
}

// wakeAckWaits polls the workers whose completions have become durable.
func (l *leader) wakeAckWaits() {
	kept := l.awaitingAck[:0]
	for _, wait := range l.awaitingAck {
		if wait.done {
			continue
		}
		if _, pending := l.core.AcksChanged(wait.worker.id); pending {
			kept = append(kept, wait)
			continue
		}
		wait.done = true
		l.pollWorker(wait.worker)
	}
	l.awaitingAck = kept
}

// write writes the progress that waits, one batch after the other.
func (l *leader) write() {
	l.processor.submit(func() (time.Duration, func()) {
		batch := l.core.CollectBatch(maxBatchRows)
		if batch.Empty() {
			return 0, func() { l.sim.after(writeInterval, l.write) }
		}
		l.sim.report.writes++
		return l.sim.costs.Batch, func() { l.sim.after(l.sim.writeTime(), func() { l.stored(batch) }) }
	})
}

// maxBatchRows limits the rows of one write, as in process/node.
const maxBatchRows = 80

// stored stores a batch, unless a later leader has read what is stored, and tells the scheduler.
func (l *leader) stored(batch cell.Batch) {
	if l.sim.leader != l {
		return
	}
	l.sim.store.write(batch)
	l.processor.submit(func() (time.Duration, func()) {
		l.core.BatchStored(batch, true, l.sim.now)
		return 0, func() {
			l.wakeAckWaits()
			l.sim.after(writeInterval, l.write)
		}
	})
}
