package site

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Stage is a part of the time between the submission of a job and the start of its first task, or between the end of a task and the time
// at which the scheduler knows of it.
type Stage int

const (
	// StageRecord is the time until the scheduler has the job, StageQueue until it asks for advice, StageAdvice until the answer,
	// StageDecision until the first start is decided and StageCommand until the worker has it. StagePoll is the time from the end of a
	// task until the scheduler has read it.
	StageRecord Stage = iota
	StageQueue
	StageAdvice
	StageDecision
	StageCommand
	StagePoll
	numStages
)

var stageNames = [numStages]string{"record", "queue", "advice", "decision", "command", "poll"}

// String returns the name of a stage.
func (s Stage) String() string { return stageNames[s] }

// stageTimes holds the durations of each stage.
type stageTimes [numStages][]time.Duration

// record records a duration.
func (t *stageTimes) record(s Stage, d time.Duration) { t[s] = append(t[s], d) }

// quantiles returns the p50 and p99 of a stage, 0 if it did not occur.
func (t *stageTimes) quantiles(s Stage) (p50, p99 time.Duration) {
	if len(t[s]) == 0 {
		return 0, 0
	}
	sorted := slices.Sorted(slices.Values(t[s]))
	return quantile(sorted, 0.5), quantile(sorted, 0.99)
}

// String returns the quantiles of all stages as text.
func (t *stageTimes) String() string {
	parts := make([]string, 0, numStages)
	for s := range numStages {
		p50, p99 := t.quantiles(s)
		parts = append(parts, fmt.Sprintf("%s %v %v", s, p50.Round(time.Millisecond), p99.Round(time.Millisecond)))
	}
	return strings.Join(parts, ", ")
}
