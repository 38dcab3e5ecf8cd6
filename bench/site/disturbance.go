package site

import (
	"fmt"
	"time"

	"github.com/lentiltide/lentiltide/backend"
)

// Window is a time from From up to Until, since the start of the load.
type Window struct {
	From, Until time.Duration
}

// contains reports whether a time is in the window.
func (w Window) contains(at time.Duration) bool { return at >= w.From && at < w.Until }

// Disturbances are what goes wrong in a run besides a stall of the leader.
type Disturbances struct {
	// In Failures, a share FailingWorkers of the workers fails every run that it has or starts.
	Failures       Window
	FailingWorkers float64
	// LeaderLosses are the times at which the leader is lost, in ascending order and more than takeoverTime apart.
	LeaderLosses []time.Duration
	// In SlowStore, a write takes SlowStoreFactor times as long.
	SlowStore       Window
	SlowStoreFactor float64
}

const (
	// takeoverTime is the time from the loss of a leader until the next one has read what is stored.
	takeoverTime = 300 * time.Millisecond
	// minTimeToFailure and maxTimeToFailure limit how long a run works on a failing worker.
	minTimeToFailure, maxTimeToFailure = 50 * time.Millisecond, 400 * time.Millisecond
)

// windows returns the times in which something is wrong.
func (d Disturbances) windows() []Window {
	windows := []Window{d.Failures, d.SlowStore}
	for _, at := range d.LeaderLosses {
		windows = append(windows, Window{at, at + takeoverTime})
	}
	return windows
}

// lastEnd returns the end of the last disturbance that has begun by a time, 0 if there is none. It may be after that time.
func (d Disturbances) lastEnd(at time.Duration) time.Duration {
	last := time.Duration(0)
	for _, w := range d.windows() {
		if w.From < w.Until && w.From <= at {
			last = max(last, w.Until)
		}
	}
	return last
}

// scheduleDisturbances schedules the start of the failures and the losses of leaders.
func (s *Simulation) scheduleDisturbances() {
	d := s.site.Disturbances
	if d.FailingWorkers > 0 {
		s.after(warmUp+d.Failures.From, s.failRunningTasks)
	}
	for _, at := range d.LeaderLosses {
		s.after(warmUp+at, s.loseLeader)
	}
}

// writeTime returns how long a write takes that begins now.
func (s *Simulation) writeTime() time.Duration {
	if d := s.site.Disturbances; d.SlowStore.contains(s.elapsed()) {
		return time.Duration(d.SlowStoreFactor * float64(storeDelay))
	}
	return storeDelay
}

// isFailing reports whether a worker fails its runs now.
func (s *Simulation) isFailing(w *worker) bool {
	d := s.site.Disturbances
	return d.Failures.contains(s.elapsed()) && s.draw("failing", w.id).Float64() < d.FailingWorkers
}

// failRunningTasks makes the runs on failing workers fail.
func (s *Simulation) failRunningTasks() {
	for _, w := range s.workers {
		if !s.isFailing(w) {
			continue
		}
		for _, task := range w.order {
			s.failSoon(w, task, w.running[task].run)
		}
	}
}

// failSoon makes a run fail after a time to failure.
func (s *Simulation) failSoon(w *worker, task string, run int64) {
	spread := int64(maxTimeToFailure - minTimeToFailure)
	d := minTimeToFailure + time.Duration(s.draw("failure", fmt.Sprintf("%s/%d", task, run)).Int64N(spread))
	s.after(d, func() { s.end(w, task, run, backend.ResultFailed) })
}

// loseLeader ends the work of the leader; the next one takes over after takeoverTime.
func (s *Simulation) loseLeader() {
	s.leader.lost = true
	s.formerLeaders = append(s.formerLeaders, s.leader)
	s.after(takeoverTime, s.takeOver)
}

// takeOver replaces the lost leader by one of the next epoch, which begins from what is stored and polls all workers.
func (s *Simulation) takeOver() {
	l := s.newLeader(s.leader.epoch + 1)
	s.leader = l
	l.processor.submit(func() (time.Duration, func()) {
		readRegistry := func() {
			for _, w := range s.workers {
				l.core.SetWorker(s.registryEntry(w), s.now)
			}
		}
		if err := s.store.loadInto(l.core, readRegistry, s.now); err != nil {
			panic(err) // The rows are those that the scheduler has encoded.
		}
		return time.Duration(len(s.store.ids)) * s.costs.Job, func() {
			l.run()
			for _, w := range s.workers {
				l.pollWorker(w)
			}
		}
	})
}
