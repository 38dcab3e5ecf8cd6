package cell

import (
	"slices"
	"time"
)

// Workers may differ in speed, which their entries do not say. It is learned from the tasks of a step, which do about the same
// work: from how long each took, compared with the others. Where the speeds differ much, steps with the least time to spare get
// the fast workers, and steps with time to spare leave them free.

const (
	// minSpeedSamples is the number of finished tasks from which a step tells about speeds.
	minSpeedSamples = 4
	// workerSpeedWeight and kindSpeedWeight are the weights of one task in the moving averages of a worker and of its kind.
	workerSpeedWeight, kindSpeedWeight = 0.15, 0.02
	// kindSpeedTrust is the number of tasks for which the speed of its kind counts in the speed of a worker.
	kindSpeedTrust = 10
	// minSpeed and maxSpeed limit the speed that a single task suggests: a few tasks take many times as long as others.
	minSpeed, maxSpeed = 0.25, 4.0
	// minSpreadSamples is the number of tasks from which the speed of a kind counts for the spread: the durations of the tasks of a
	// step differ by half, so that fewer of them can suggest a spread that is not there.
	minSpreadSamples = 100
	// minSpeedSpread is the ratio of the speeds of the fastest and the slowest kind of worker from which placement considers them.
	minSpeedSpread = 1.8
	// speedPreference is how much a worker of twice the speed counts in a score, in shares of free capacity.
	speedPreference = 1.0
)

// speedEstimate is a moving average of speeds relative to the usual one, which is 1.
type speedEstimate struct {
	value   float64
	samples int
}

// add adds the speed that one task suggests. The first tasks count as a plain average.
func (e *speedEstimate) add(speed, weight float64) {
	e.samples++
	weight = max(weight, 1/float64(e.samples))
	e.value += weight * (speed - e.value)
}

// finishedTask is a task that ended, on a worker, after a time.
type finishedTask struct {
	worker   *worker
	duration time.Duration
}

// recordDuration records how long the task of a run took, and learns from the step when it is complete. Resumed, throttled and
// best-effort runs tell nothing about the worker, nor do gangs, whose members wait for each other.
func (c *Core) recordDuration(r *run) {
	s := r.task.step
	if r.checkpoint != "" || r.throttlePercent < 100 || s.spec.BestEffort || s.spec.Gang || s.spec.LongRunning {
		return
	}
	s.finished = append(s.finished, finishedTask{r.worker, c.now - r.createdAt})
	if s.openTasks > 1 {
		return
	}
	c.learnSpeeds(s.finished)
	s.finished = nil
}

// learnSpeeds updates the speeds of the workers and of their kinds from tasks that did about the same work.
func (c *Core) learnSpeeds(finished []finishedTask) {
	if len(finished) < minSpeedSamples {
		return
	}
	work := make([]float64, len(finished))
	for i, f := range finished {
		work[i] = max(f.duration, time.Millisecond).Seconds() * c.speedOf(f.worker)
	}
	slices.Sort(work)
	usual := work[len(work)/2]
	for _, f := range finished {
		speed := min(max(usual/max(f.duration, time.Millisecond).Seconds(), minSpeed), maxSpeed)
		f.worker.speed.add(speed, workerSpeedWeight)
		if c.kindSpeeds[f.worker.kind] == nil {
			c.kindSpeeds[f.worker.kind] = &speedEstimate{}
		}
		c.kindSpeeds[f.worker.kind].add(speed, kindSpeedWeight)
	}
}

// speedOf returns the speed of a worker: its own as far as it is known, otherwise that of its kind.
func (c *Core) speedOf(w *worker) float64 {
	ofKind := 1.0
	if k := c.kindSpeeds[w.kind]; k != nil {
		ofKind = k.value
	}
	own := float64(w.speed.samples)
	return (own*w.speed.value + kindSpeedTrust*ofKind) / (own + kindSpeedTrust)
}

// updateSpeedSpread determines whether the kinds of workers differ enough in speed to consider it.
func (c *Core) updateSpeedSpread() {
	slowest, fastest := maxSpeed, minSpeed
	for _, k := range c.kindSpeeds {
		if k.samples >= minSpreadSamples {
			slowest, fastest = min(slowest, k.value), max(fastest, k.value)
		}
	}
	c.speedsDiffer = fastest >= minSpeedSpread*slowest
}

// speedScore returns what the speed of a worker adds to its score for a step.
func (c *Core) speedScore(w *worker, s *step) float64 {
	if !c.speedsDiffer || s.spec.LongRunning {
		return 0
	}
	preference := speedPreference
	if s.job.queue.Stretch > c.tightestStretch {
		preference = -preference
	}
	return preference * (c.speedOf(w) - 1)
}

// updateTightestStretch determines the smallest stretch of all queues: the jobs of these queues have the least time to spare.
func (c *Core) updateTightestStretch() {
	c.tightestStretch = 0
	for _, q := range c.config.Queues {
		if c.tightestStretch == 0 || q.Stretch < c.tightestStretch {
			c.tightestStretch = q.Stretch
		}
	}
}
