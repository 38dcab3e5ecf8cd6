package site

import (
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
)

// worker is a model of a worker with a long poll of the leader.
type worker struct {
	id      string
	index   int
	running map[string]runningTask
	// order are the names of the running tasks in the order of their starts, so that lists do not depend on the order of a map.
	order          []string
	finished       []backend.FinishedRun
	lastCompletion int64
	// poll is the poll that waits at the worker, or nil.
	poll *waitingPoll
}

type runningTask struct {
	run       int64
	startedAt time.Duration
	duration  time.Duration
	demand    model.Resources
}

// waitingPoll is a poll of a leader that waits at a worker.
type waitingPoll struct {
	leader *leader
	sentAt time.Duration
}

// start starts a task that ends after a time, or fails if the worker is failing.
func (s *Simulation) start(w *worker, c backend.StartCommand, duration time.Duration, k Kind) {
	w.running[c.Task] = runningTask{c.Run, s.now, duration, k.demand()}
	w.order = append(w.order, c.Task)
	s.services.started(c.Task)
	switch {
	case s.isFailing(w):
		s.failSoon(w, c.Task, c.Run)
	case !k.LongRunning:
		s.after(duration, func() { s.end(w, c.Task, c.Run, backend.ResultDone) })
	}
}

// end ends a run and answers the poll that waits.
func (s *Simulation) end(w *worker, task string, run int64, result backend.RunResult) {
	r, ok := w.running[task]
	if !ok || r.run != run {
		return
	}
	delete(w.running, task)
	for i, name := range w.order {
		if name == task {
			w.order = append(w.order[:i], w.order[i+1:]...)
			break
		}
	}
	s.endedAt[task] = s.now
	s.services.ended(task)
	w.lastCompletion++
	w.finished = append(w.finished, backend.FinishedRun{Number: w.lastCompletion, Task: task, Run: run, Result: result})
	s.answerPoll(w)
}

// receivePoll handles a poll that has reached a worker.
func (s *Simulation) receivePoll(w *worker, l *leader, req backend.PollRequest, sentAt time.Duration) {
	kept := w.finished[:0]
	for _, f := range w.finished {
		if f.Number > req.AcknowledgedCompletion {
			kept = append(kept, f)
		}
	}
	w.finished = kept
	w.poll = &waitingPoll{l, sentAt}
	if len(w.finished) > 0 || req.Wait == 0 {
		s.answerPoll(w)
		return
	}
	poll := w.poll
	s.after(req.Wait, func() {
		if w.poll == poll {
			s.answerPoll(w)
		}
	})
}

// answerPoll answers the poll that waits at a worker, if there is one.
func (s *Simulation) answerPoll(w *worker) {
	if w.poll == nil {
		return
	}
	poll := w.poll
	w.poll = nil
	reply := backend.PollReply{Reply: backend.Reply{ClockMS: clockMS(s.now)}, StartedMS: 1}
	reply.Finished = append(reply.Finished, w.finished...)
	for _, name := range w.order {
		r := w.running[name]
		reply.Running = append(reply.Running, backend.ActiveRun{
			Task: name, Run: r.run, ProgressPercent: int(100 * (s.now - r.startedAt) / max(r.duration, 1)),
		})
	}
	s.after(callDelay, func() { poll.leader.receivePollReply(w, poll.sentAt, reply) })
}

// free returns the capacity that no run uses.
func (w *worker) free() model.Resources {
	free := workerCapacity
	for _, r := range w.running {
		free.CPUMilli -= r.demand.CPUMilli
		free.MemoryMiB -= r.demand.MemoryMiB
	}
	return free
}

// clockMS returns the clock of a worker.
func clockMS(now time.Duration) int64 { return now.Milliseconds() }
