package job

import (
	"math"
	"slices"
)

// Callers choose counts, repetitions and intervals, so sums and products of them may exceed an integer. The functions of this file return
// the largest integer then.

// Tasks returns the number of tasks of all steps together, which is that of one occurrence.
func (s *Spec) Tasks() int { return countTasks(s.Steps, func(Step) bool { return true }) }

// ServiceTasks returns the number of service tasks of all steps together.
func (s *Spec) ServiceTasks() int {
	return countTasks(s.Steps, func(step Step) bool { return step.LongRunning })
}

func countTasks(steps []Step, counts func(Step) bool) int {
	tasks := 0
	for _, s := range steps {
		if !counts(s) || s.Count <= 0 {
			continue
		}
		if s.Count > math.MaxInt-tasks {
			return math.MaxInt
		}
		tasks += s.Count
	}
	return tasks
}

// HasBestEffort reports whether a step is best-effort.
func (s *Spec) HasBestEffort() bool {
	return slices.ContainsFunc(s.Steps, func(step Step) bool { return step.BestEffort })
}

// LimitDemands lowers demands beyond MaxDemand, which no worker can meet, in place: instances of earlier versions have accepted such jobs.
func (s *Spec) LimitDemands() {
	for i := range s.Steps {
		d := &s.Steps[i].TaskDemand
		d.CPUMilli, d.MemoryMiB, d.Accelerators = min(d.CPUMilli, MaxDemand), min(d.MemoryMiB, MaxDemand), min(d.Accelerators, MaxDemand)
	}
}

// DueMS returns when an occurrence is due, in milliseconds since the Unix epoch.
func (s *Spec) DueMS(occurrence int) int64 {
	start, interval := max(s.StartAtMS, 0), max(s.IntervalMS, 0)
	if occurrence > 0 && interval > (math.MaxInt64-start)/int64(occurrence) {
		return math.MaxInt64
	}
	return start + int64(occurrence)*interval
}
