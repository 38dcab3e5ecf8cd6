// Package job defines the value types of jobs that consist of dependent steps, of the queues that accept them and of the
// configuration that names the queues. Values are copied between instances and have no lock.
package job

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/lentiltide/lentiltide/model"
)

// ID is the caller's name of a job. It is unique in a cell.
type ID string

// Step is a set of equal tasks.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"n"`
	// Each is the demand of one task.
	Each model.Resources `json:"each"`
	// EstimateMS is the caller's rough estimate of the duration of a task, in milliseconds.
	EstimateMS int64 `json:"est,omitempty"`
	// After lists the steps whose tasks must all be done before a task of this step starts.
	After []int `json:"after,omitempty"`
	// Checkpoints says that tasks save their progress and resume from it.
	Checkpoints bool `json:"ckpt,omitempty"`
	// Gang says that the tasks run only together and share one run number and one checkpoint.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that a gang slows down when it is spread over racks.
	SameRack bool `json:"rack,omitempty"`
	// RequiredLabel is a label that the worker must have; empty for none.
	RequiredLabel string `json:"label,omitempty"`
	// DataRack is the rack on which the tasks run fastest; empty for none.
	DataRack string `json:"data,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int `json:"apart,omitempty"`
	// Speculative says that copies of a task may run in parallel and that the first to finish counts.
	Speculative bool `json:"spec,omitempty"`
	// Lasting says that the tasks run until the job is cancelled.
	Lasting bool `json:"lasting,omitempty"`
	// Image names the program of the tasks. Tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TargetMS is the objective for the tail latency of a lasting task, in milliseconds; 0 means none.
	TargetMS int64 `json:"target,omitempty"`
	// BestEffort says that the processor demand does not count against the worker's capacity: the tasks use what others
	// leave.
	BestEffort bool `json:"best_effort,omitempty"`
	// MaxUnavailable is the number of tasks that the scheduler may keep from working at a time.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
}

// Spec is the work that a caller describes.
type Spec struct {
	// Payload is passed to the workers unchanged.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Repeat is how many times the steps run; 0 means once, without a start time.
	Repeat int `json:"repeat,omitempty"`
	// StartAtMS is when the first occurrence is due, in milliseconds since the Unix epoch.
	StartAtMS int64 `json:"start_at,omitempty"`
	// IntervalMS is the time between occurrences in milliseconds.
	IntervalMS int64 `json:"interval,omitempty"`
}

// Record is the durable form of an accepted job.
type Record struct {
	// Queue is the queue as configured when the job was accepted. It applies when the queue has been removed since.
	Queue Queue `json:"queue"`
	Spec  Spec  `json:"spec"`
	// Epoch is the epoch of the leader that the accepting instance knew, 0 if it knew none.
	Epoch uint64 `json:"epoch,omitempty"`
}

// Advice is what the placement policy of a queue costs.
type Advice struct {
	// DecisionMS is the time of a call and PerWorkerMS the time of each worker named in it, in milliseconds.
	DecisionMS  float64 `json:"decision_ms"`
	PerWorkerMS float64 `json:"per_worker_ms"`
	// ValidityMS is how long a ticket holds.
	ValidityMS int64 `json:"validity_ms"`
}

// Queue accepts jobs of one kind.
type Queue struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	// Priority orders the queues; 0 comes first.
	Priority int `json:"priority"`
	// MaxAttempts is how often a task may fail before its job fails.
	MaxAttempts int `json:"max_attempts"`
	// Stretch times the longest chain of work, plus ObjectiveMS, is the objective for the completion of a job.
	Stretch     float64 `json:"stretch"`
	ObjectiveMS int64   `json:"objective_ms"`
	// Advice is set if only workers that the placement policy permits may run the queue's steps.
	Advice *Advice `json:"advice,omitempty"`
}

// Service is a pool of workers.
type Service struct {
	Name string
	// RejectsOverload says that the workers refuse tasks that exceed their free capacity.
	RejectsOverload bool
	// PoweredOff says that the machines of the pool are switched off, as a spare pool.
	PoweredOff bool
	// HealthPath is the path of the workers' health check; empty for none.
	HealthPath string
}

// Config is one version of the configuration of a cell.
type Config struct {
	// Version rises with each change. 0 means that no configuration is known.
	Version  uint64
	Queues   []Queue
	Services map[string]Service
	// MaxBodyBytes limits the body of a request; 0 means no limit.
	MaxBodyBytes int64
}

// Queue returns the queue with a name.
func (c *Config) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Match returns the queue of a host whose prefix is the longest that path begins with.
func (c *Config) Match(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if !found || len(q.Prefix) > len(best.Prefix) {
			best, found = q, true
		}
	}
	return best, found
}

// TaskName names a task of a job: occurrence, step and index count from 0.
type TaskName struct {
	Job                     ID
	Occurrence, Step, Index int
}

// String returns the name in the form that workers use.
func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Occurrence, n.Step, n.Index)
}

// ParseTaskName is the inverse of TaskName.String.
func ParseTaskName(s string) (TaskName, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskName{}, false
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskName{}, false
		}
		n[i] = v
	}
	return TaskName{ID(parts[0]), n[0], n[1], n[2]}, true
}

// State is the state of a job as shown to callers.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Terminal reports whether the state never changes again.
func (s State) Terminal() bool { return s == Completed || s == Failed || s == Cancelled }
