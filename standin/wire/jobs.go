package wire

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model"
)

// Job is a job that a client submits.
type Job struct {
	Steps []Step
	// Repetitions is how many times the steps run, the first time at StartAt and then every Interval; 0 for a job without times.
	Repetitions int
	StartAt     time.Time
	Interval    time.Duration
}

// Step is a step of a job that a client submits.
type Step struct {
	Tasks    int
	Each     model.Resources
	Estimate time.Duration
	// Service says that the tasks run until the job is cancelled.
	Service bool
	// DependsOn lists the indices of the steps whose tasks must be done first.
	DependsOn []int
	// RequiredLabel is a label that a worker must have, and MaxPerWorker limits the tasks on one worker; empty and 0 for none.
	RequiredLabel string
	MaxPerWorker  int
	// Speculative permits copies of tasks, and Gang says that the tasks work only together.
	Speculative, Gang bool
}

// jobBody is the JSON body that submits a job. Its field names are those of the protocol.
type jobBody struct {
	Specification string     `json:"specification"`
	Steps         []stepBody `json:"steps"`
	Repetitions   int        `json:"repetitions,omitempty"`
	StartAtMS     int64      `json:"startAtMs,omitempty"`
	IntervalMS    int64      `json:"intervalMs,omitempty"`
}

type stepBody struct {
	Count           int    `json:"count"`
	CPU             int64  `json:"cpu"`
	MemoryRequestMB int64  `json:"memoryRequestMb"`
	EstimatedMS     int64  `json:"estimatedMs"`
	LongRunning     bool   `json:"longRunning,omitempty"`
	After           []int  `json:"after,omitempty"`
	Requirements    string `json:"requirements,omitempty"`
	AntiAffinity    int    `json:"antiAffinity,omitempty"`
	Speculative     bool   `json:"speculative,omitempty"`
	Gang            bool   `json:"gang,omitempty"`
}

// JobBody returns the request body that submits a job of one step.
func JobBody(tasks int, each model.Resources, estimate time.Duration) string {
	return Job{Steps: []Step{{Tasks: tasks, Each: each, Estimate: estimate}}}.Body()
}

// Body returns the request body that submits the job.
func (j Job) Body() string {
	body := jobBody{Specification: "soak", Repetitions: j.Repetitions, IntervalMS: j.Interval.Milliseconds()}
	if j.Repetitions > 0 {
		body.StartAtMS = j.StartAt.UnixMilli()
	}
	for _, s := range j.Steps {
		body.Steps = append(body.Steps, stepBody{
			Count: s.Tasks, CPU: s.Each.CPUMilli, MemoryRequestMB: s.Each.MemoryMiB, EstimatedMS: s.Estimate.Milliseconds(), LongRunning: s.Service,
			After: s.DependsOn, Requirements: s.RequiredLabel, AntiAffinity: s.MaxPerWorker, Speculative: s.Speculative, Gang: s.Gang,
		})
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(errors.Wrapf(err, "encode job of %d steps", len(j.Steps)))
	}
	return string(data)
}

// HistoryJob returns a job without its ID and queue, as a history that begins at a time has it, by the body that submits it. The error is
// that of a body that Job did not write.
func HistoryJob(body string, begin time.Time) (history.Job, error) {
	var decoded jobBody
	if err := json.Unmarshal([]byte(body), &decoded); err != nil {
		return history.Job{}, errors.Wrap(err, "decode job")
	}
	j := history.Job{Payload: decoded.Specification, Repetitions: decoded.Repetitions}
	if j.Repetitions > 0 {
		j.StartAtUS = time.UnixMilli(decoded.StartAtMS).Sub(begin).Microseconds()
		j.IntervalUS = (time.Duration(decoded.IntervalMS) * time.Millisecond).Microseconds()
	}
	for _, s := range decoded.Steps {
		j.Steps = append(j.Steps, history.Step{
			Count: s.Count, Demand: history.Resources{CPUMilli: s.CPU, MemoryMB: s.MemoryRequestMB}, LongRunning: s.LongRunning,
			DependsOn: s.After, RequiredLabel: s.Requirements, MaxPerWorker: s.AntiAffinity, Speculative: s.Speculative, Gang: s.Gang,
		})
	}
	return j, nil
}
