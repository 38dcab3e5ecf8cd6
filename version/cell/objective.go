package cell

import (
	"math"
	"math/bits"
	"time"
)

const (
	// maxObjectiveMS limits an objective to ten years, so that it fits into a time.Duration.
	maxObjectiveMS = 10 * 365 * 24 * 3600 * 1000
	// waveShare is the share of the workers of a service that a step may take at a time. A wider one runs in waves.
	waveShare = 0.25
	// farSlack is the time to spare from which a job that is on time lets late ones go first: it will be on time nevertheless.
	farSlack = 10 * time.Second
)

// estimate is the expected course of a job on the workers of its service, as of a version of the fleet.
type estimate struct {
	fleetVersion uint64
	// cpuMilli is the processor capacity of the service.
	cpuMilli int64
	// duration is how long an occurrence may take to be on time.
	duration time.Duration
	// tails are the times from the start of each step to the end of its occurrence, in milliseconds.
	tails []float64
	// work is the processor time of one occurrence in core-milliseconds.
	work float64
}

// estimateOf returns the expected course of a job.
func (c *Core) estimateOf(j *jobState) *estimate {
	if j.estimate.fleetVersion != c.fleetVersion || j.estimate.tails == nil {
		j.estimate = newEstimate(j, c.fleetVersion, c.serviceCPUMilli(j.queue.Service))
	}
	return &j.estimate
}

func newEstimate(j *jobState, fleetVersion uint64, cpuMilli int64) estimate {
	steps := j.record.Spec.Steps
	e := estimate{fleetVersion: fleetVersion, cpuMilli: cpuMilli, tails: make([]float64, len(steps))}
	longestMS := 0.0
	for i := len(steps) - 1; i >= 0; i-- {
		s := &steps[i]
		e.tails[i] += float64(s.EstimateMS) * e.waves(s.Count, s.TaskDemand.CPUMilli)
		for _, p := range s.DependsOn {
			if p >= 0 && p < i {
				e.tails[p] = max(e.tails[p], e.tails[i])
			}
		}
		longestMS = max(longestMS, e.tails[i])
		e.work += float64(s.Count) * float64(s.TaskDemand.CPUMilli) / 1000 * float64(s.EstimateMS)
	}
	e.duration = milliseconds(max(j.queue.Stretch, 1)*longestMS + float64(j.queue.ObjectiveMS))
	return e
}

// waves returns in how many parts of the same duration tasks run.
func (e *estimate) waves(tasks int, cpuMilli int64) float64 {
	if e.cpuMilli <= 0 {
		return 1
	}
	return max(1, math.Ceil(float64(tasks)*float64(cpuMilli)/(waveShare*float64(e.cpuMilli))))
}

// milliseconds converts a number of milliseconds, at most maxObjectiveMS.
func milliseconds(ms float64) time.Duration {
	return time.Duration(min(ms, maxObjectiveMS) * float64(time.Millisecond))
}

// serviceCPUMilli returns the processor capacity of the listed workers of a service that have answered, in thousandths of a core.
func (c *Core) serviceCPUMilli(service string) int64 {
	if c.serviceCPU == nil || c.serviceCPUVersion != c.fleetVersion {
		c.serviceCPU, c.serviceCPUVersion = map[string]int64{}, c.fleetVersion
		for _, w := range c.workers {
			if w.listed && w.answered {
				c.serviceCPU[w.info.Service] += w.info.Capacity.CPUMilli
			}
		}
	}
	return c.serviceCPU[service]
}

// objectiveAt returns when an occurrence of a job should be completed: the objective counts from its due time, for a job without occurrences
// from its acceptance.
func (c *Core) objectiveAt(j *jobState, occurrence int) Instant {
	duration := c.estimateOf(j).duration
	if j.record.Spec.Repetitions == 0 {
		return j.addedAt + duration
	}
	untilDue := j.record.Spec.DueMS(occurrence) - c.wallClockMS
	return c.now + time.Duration(min(max(untilDue, -maxObjectiveMS), maxObjectiveMS))*time.Millisecond + duration
}

// lateness returns how long ago a job should have been completed; negative before that. A recurring job is judged by its last occurrence.
func (c *Core) lateness(j *jobState) time.Duration {
	if j.released || len(j.record.Spec.Steps) == 0 {
		return 0
	}
	return c.now - c.objectiveAt(j, max(0, j.record.Spec.Repetitions-1))
}

// urgency orders the steps of queues of the same priority.
type urgency uint8

const (
	// onTime: the occurrence can be on time, and must go on soon for that.
	onTime urgency = iota
	// late: the objective has passed.
	late
	// hasSlack: the occurrence can be on time even if it waits for a while.
	hasSlack
)

// urgencyOf returns the urgency of a step whose occurrence should be completed at a time. A service is never late: it is missed for as long as it
// does not run.
func (c *Core) urgencyOf(s *step, objectiveAt Instant) urgency {
	if s.spec.LongRunning {
		return onTime
	}
	if c.now > objectiveAt {
		return late
	}
	e := c.estimateOf(s.job)
	// Of a step that runs in waves, the waiting part is left.
	cpuMilli := s.spec.TaskDemand.CPUMilli
	passedWaves := e.waves(s.spec.Count, cpuMilli) - e.waves(len(s.waiting), cpuMilli)
	if objectiveAt-c.now-milliseconds(e.tails[s.index]-passedWaves*float64(s.spec.EstimateMS)) > farSlack {
		return hasSlack
	}
	return onTime
}

// sizeClass returns the magnitude of the work of a job that is due, or of what it has had: 0 if all workers of its service do it within a
// second, and one more each time that it doubles. Late work of small jobs comes first, so that a backlog of a large one does not keep
// them from starting.
func (c *Core) sizeClass(j *jobState) int {
	e := c.estimateOf(j)
	if e.cpuMilli <= 0 {
		return 0
	}
	work := e.work
	if j.record.Spec.Repetitions > 0 {
		work *= float64(max(1, j.dueOccurrences(c.wallClockMS)))
	}
	seconds := max(work, j.usedCPU) / float64(e.cpuMilli)
	return bits.Len64(uint64(min(seconds, math.MaxInt32)))
}

// dueOccurrences returns how many occurrences of a recurring job are due and not known to be complete.
func (j *jobState) dueOccurrences(wallClockMS int64) int {
	spec := &j.record.Spec
	due := spec.Repetitions
	switch {
	case wallClockMS < spec.StartAtMS:
		due = 0
	case spec.IntervalMS > 0:
		due = int(min(int64(due), (wallClockMS-spec.StartAtMS)/spec.IntervalMS+1))
	}
	return max(0, due-j.doneOccurrences.count())
}
