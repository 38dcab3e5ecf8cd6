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
}

// Step is a step of a job that a client submits.
type Step struct {
	Tasks    int
	Each     model.Resources
	Estimate time.Duration
	// Service says that the tasks run until the job is cancelled.
	Service bool
}

// jobBody is the JSON body that submits a job. Its field names are those of the protocol.
type jobBody struct {
	Specification string     `json:"specification"`
	Steps         []stepBody `json:"steps"`
}

type stepBody struct {
	Count           int   `json:"count"`
	CPU             int64 `json:"cpu"`
	MemoryRequestMB int64 `json:"memoryRequestMb"`
	EstimatedMS     int64 `json:"estimatedMs"`
	LongRunning     bool  `json:"longRunning,omitempty"`
}

// JobBody returns the request body that submits a job of one step.
func JobBody(tasks int, each model.Resources, estimate time.Duration) string {
	return Job{Steps: []Step{{Tasks: tasks, Each: each, Estimate: estimate}}}.Body()
}

// Body returns the request body that submits the job.
func (j Job) Body() string {
	body := jobBody{Specification: "soak"}
	for _, s := range j.Steps {
		body.Steps = append(body.Steps, stepBody{
			Count: s.Tasks, CPU: s.Each.CPUMilli, MemoryRequestMB: s.Each.MemoryMiB, EstimatedMS: s.Estimate.Milliseconds(), LongRunning: s.Service,
		})
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(errors.Wrapf(err, "encode job of %d steps", len(j.Steps)))
	}
	return string(data)
}

// JobSteps returns the steps of a job by the body that submits it, as a history has them, and what its workers are told to run. The error
// is that of a body that Job did not write.
func JobSteps(body string) (steps []history.Step, payload string, err error) {
	var decoded jobBody
	if err := json.Unmarshal([]byte(body), &decoded); err != nil {
		return nil, "", errors.Wrap(err, "decode job")
	}
	for _, s := range decoded.Steps {
		steps = append(steps, history.Step{
			Count: s.Count, Demand: history.Resources{CPUMilli: s.CPU, MemoryMB: s.MemoryRequestMB}, LongRunning: s.LongRunning,
		})
	}
	return steps, decoded.Specification, nil
}
