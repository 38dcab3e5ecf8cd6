package history

import (
	"fmt"
	"strconv"
	"strings"
)

// Operation is what a client requests.
type Operation string

// The operations of a client.
const (
	OperationSubmit  Operation = "submit"
	OperationState   Operation = "state"
	OperationCancel  Operation = "cancel"
	OperationWaiting Operation = "waiting" // the number of waiting jobs of a queue
)

// Call is a request that a client has sent.
type Call struct {
	// Number identifies the call in the history; its answer has the same one. See Recorder.NextCall.
	Number    uint64    `json:"number"`
	Operation Operation `json:"operation"`
	// Instance is the instance that the request was sent to; empty if the client does not know.
	Instance string `json:"instance,omitempty"`
	Queue    string `json:"queue,omitempty"`
	// Job is empty for OperationWaiting.
	Job string `json:"job,omitempty"`
}

// Verdict is the meaning of an answer.
type Verdict string

// The verdicts of answers.
const (
	VerdictAccepted  Verdict = "accepted"  // submit: the job is accepted and stored
	VerdictRefused   Verdict = "refused"   // any call: it had no effect and never will
	VerdictNotFound  Verdict = "not_found" // state, cancel: the job does not exist
	VerdictNoQueue   Verdict = "no_queue"  // any call: the queue does not exist
	VerdictNoAnswer  Verdict = "no_answer" // any call: no complete answer, or one that leaves open whether it has run
	VerdictState     Verdict = "state"     // state: State is set
	VerdictCancelled Verdict = "cancelled" // cancel: the job is cancelled
	VerdictWaiting   Verdict = "waiting"   // waiting: Waiting is set
)

// State is the state of a job that a client is shown.
type State string

// The states of a job. The last three are final.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state never changes.
func (s State) Final() bool { return s == StateCompleted || s == StateFailed || s == StateCancelled }

// Answer is the end of the call with the same number.
type Answer struct {
	Number  uint64  `json:"number"`
	Verdict Verdict `json:"verdict"`
	State   State   `json:"state,omitempty"`
	// Waiting is the number of waiting jobs.
	Waiting int `json:"waiting,omitempty"`
	// RetryAfterMS is when the caller may try again, in milliseconds; 0 if the answer did not say.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Version is the version of the configuration by which the call was handled; 0 if the answer does not show it.
	Version uint64 `json:"version,omitempty"`
}

// Job is what a client submits under an ID.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue,omitempty"`
	// Payload is what the workers are told to run, or a digest of it; empty if unknown.
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Repetitions is how many times the steps run; 0 means once, without a start time.
	Repetitions int `json:"repetitions,omitempty"`
	// StartAtUS is when the first occurrence is due, in microseconds since the start of the history, and IntervalUS the time
	// between two.
	StartAtUS  int64 `json:"start_at_us,omitempty"`
	IntervalUS int64 `json:"interval_us,omitempty"`
}

// Step is a set of identical tasks.
type Step struct {
	Count  int       `json:"count"`
	Demand Resources `json:"demand"`
	// DependsOn lists the indices of the steps whose tasks must be done first.
	DependsOn     []int  `json:"depends_on,omitempty"`
	RequiredLabel string `json:"required_label,omitempty"`
	// MaxPerWorker limits the tasks of the step, of one occurrence, on one worker; 0 means no limit.
	MaxPerWorker int  `json:"max_per_worker,omitempty"`
	Gang         bool `json:"gang,omitempty"`
	Speculative  bool `json:"speculative,omitempty"`
	LongRunning  bool `json:"long_running,omitempty"`
	// BestEffort says that the processor demand does not count against the capacity of a worker.
	BestEffort bool `json:"best_effort,omitempty"`
}

// Resources are an amount of processor time, memory and GPUs.
type Resources struct {
	CPUMilli int64 `json:"cpu_milli,omitempty"`
	MemoryMB int64 `json:"memory_mb,omitempty"`
	GPU      int64 `json:"gpu,omitempty"`
}

// Task names a task of a job. Its text form is JOB.OCCURRENCE.STEP.INDEX.
type Task struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the text form.
func (t Task) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// MarshalText returns the text form.
func (t Task) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText parses the text form.
func (t *Task) UnmarshalText(text []byte) error {
	parsed, err := ParseTask(string(text))
	*t = parsed
	return err
}

// taskNumbers is the number of numeric parts of the text form of a task.
const taskNumbers = 3

// ParseTask parses the text form of a task. The job may contain dots.
func ParseTask(text string) (Task, error) {
	var numbers [taskNumbers]int
	rest := text
	for i := taskNumbers - 1; i >= 0; i-- {
		dot := strings.LastIndexByte(rest, '.')
		if dot < 1 {
			return Task{}, fmt.Errorf("task name %q: expected JOB.OCCURRENCE.STEP.INDEX", text)
		}
		n, err := strconv.Atoi(rest[dot+1:])
		if err != nil || n < 0 {
			return Task{}, fmt.Errorf("task name %q: %q is not a number of 0 or more", text, rest[dot+1:])
		}
		numbers[i], rest = n, rest[:dot]
	}
	return Task{Job: rest, Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
