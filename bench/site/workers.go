package site

import (
	"time"

	"github.com/lentiltide/lentiltide/backend"
)

// worker is a model of a worker with a long poll of the leader.
type worker struct {
	id      string
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
}

// waitingPoll is a poll at a worker. answered is set once it has been answered.
type waitingPoll struct {
	sentAt   time.Duration
	answered bool
}

// start starts a task that ends after a time.
func (s *Simulation) start(w *worker, c backend.StartCommand, duration time.Duration, longRunning bool) {
	w.running[c.Task] = runningTask{c.Run, s.now, duration}
	w.order = append(w.order, c.Task)
	if longRunning {
		return
	}
	s.after(duration, func() { s.end(w, c.Task, c.Run, backend.ResultDone) })
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
	w.lastCompletion++
	w.finished = append(w.finished, backend.FinishedRun{Number: w.lastCompletion, Task: task, Run: run, Result: result})
	s.answerPoll(w)
}

// receivePoll handles a poll that has reached a worker.
func (s *Simulation) receivePoll(w *worker, req backend.PollRequest, sentAt time.Duration) {
	kept := w.finished[:0]
	for _, f := range w.finished {
		if f.Number > req.AcknowledgedCompletion {
			kept = append(kept, f)
		}
	}
	w.finished = kept
	w.poll = &waitingPoll{sentAt: sentAt}
	if len(w.finished) > 0 || req.Wait == 0 {
		s.answerPoll(w)
		return
	}
	poll := w.poll
	s.after(req.Wait, func() {
		if !poll.answered {
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
	w.poll, poll.answered = nil, true
	reply := backend.PollReply{Reply: backend.Reply{ClockMS: clockMS(s.now)}, StartedMS: 1}
	reply.Finished = append(reply.Finished, w.finished...)
	for _, name := range w.order {
		r := w.running[name]
		reply.Running = append(reply.Running, backend.ActiveRun{
			Task: name, Run: r.run, ProgressPercent: int(100 * (s.now - r.startedAt) / max(r.duration, 1)),
		})
	}
	s.after(callDelay, func() { s.leaderReceivesPoll(w, poll.sentAt, reply) })
}

// clockMS returns the clock of a worker.
func clockMS(now time.Duration) int64 { return now.Milliseconds() }
