// Package job defines the value types of jobs, which consist of dependent steps, of the queues that accept them and of the
// configuration that defines the queues. Values are copied between instances and have no lock.
package job

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/lentiltide/lentiltide/model"
)

// ID is the identifier of a job, chosen by the caller. It is unique in a cell.
type ID string

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"n"`
	// TaskDemand is the demand of one task.
	TaskDemand model.Resources `json:"each"`
	// EstimateMS is the caller's rough estimate of the duration of a task, in milliseconds.
	EstimateMS int64 `json:"est,omitempty"`
	// DependsOn lists the indices of the steps whose tasks must all be done before a task of this step starts.
	DependsOn []int `json:"after,omitempty"`
	// Checkpoints says that tasks save their progress and resume from it.
	Checkpoints bool `json:"ckpt,omitempty"`
	// Gang says that the tasks must run at the same time and share one run number and one checkpoint.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that the gang runs slower if it is spread over several racks.
	SameRack bool `json:"rack,omitempty"`
	// RequiredLabel is a label that the worker must have; empty for none.
	RequiredLabel string `json:"label,omitempty"`
	// DataRack is the rack on which the tasks run fastest; empty for none.
	DataRack string `json:"data,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int `json:"apart,omitempty"`
	// Speculative says that copies of a task may run in parallel and that the first to finish counts.
	Speculative bool `json:"spec,omitempty"`
	// LongRunning marks service tasks, which run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names the program of the tasks. Tasks with the same image are assumed to behave alike.
	Image string `json:"image,omitempty"`
	// TargetMS is the objective for the tail latency of a service task, in milliseconds; 0 means none.
	TargetMS int64 `json:"target,omitempty"`
	// BestEffort says that the processor demand does not count against the worker's capacity: the tasks use what others
	// leave.
	BestEffort bool `json:"best_effort,omitempty"`
	// MaxUnavailable is the number of tasks that the scheduler may make unavailable at the same time.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
}

// MaxSteps is the largest number of steps of a job.
const MaxSteps = 200

// MaxDemand is the largest amount of a resource that a task may ask for, in the units of model.Resources: a billion processors, or an exabyte
// of memory. The demand of all tasks of a job does not overflow then.
const MaxDemand = 1 << 40

// Spec describes the work of a job, as submitted by the caller.
type Spec struct {
	// Payload is passed to the workers unchanged.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Repetitions is how many times the steps run; 0 means once, without a start time.
	Repetitions int `json:"repeat,omitempty"`
	// StartAtMS is when the first occurrence is due, in milliseconds since the Unix epoch.
	StartAtMS int64 `json:"start_at,omitempty"`
	// IntervalMS is the time between occurrences in milliseconds.
	IntervalMS int64 `json:"interval,omitempty"`
}

// Record is the stored form of an accepted job.
type Record struct {
	// Queue is the queue as configured when the job was accepted. It is used if the queue has since been removed.
	Queue Queue `json:"queue"`
	Spec  Spec  `json:"spec"`
	// Team is the team that submitted the job; empty for none.
	Team string `json:"team,omitempty"`
	// Epoch is the epoch of the leader known to the instance that accepted the job, 0 if none was known.
	Epoch uint64 `json:"epoch,omitempty"`
}

// Advice describes the placement policy of a queue: what a decision costs and how long it is valid.
type Advice struct {
	// DecisionMS is the fixed part of the time of a decision and PerWorkerMS the part for each worker in the request, in
	// milliseconds.
	DecisionMS  float64 `json:"decision_ms"`
	PerWorkerMS float64 `json:"per_worker_ms"`
	// ValidityMS is how long a ticket is valid, in milliseconds.
	ValidityMS int64 `json:"validity_ms"`
}

// Queue accepts jobs of one kind.
type Queue struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	// Priority orders the queues; 0 is the highest priority.
	Priority int `json:"priority"`
	// MaxAttempts is the number of failures of a task after which its job fails.
	MaxAttempts int `json:"max_attempts"`
	// The objective for the completion time of a job is Stretch times its longest chain of dependent work, plus ObjectiveMS.
	Stretch     float64 `json:"stretch"`
	ObjectiveMS int64   `json:"objective_ms"`
	// Advice is set if only workers that the placement policy permits may run steps of the queue.
	Advice *Advice `json:"advice,omitempty"`
	// Public says that calls need no key and belong to no team.
	Public bool `json:"public,omitempty"`
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
	// Teams are the teams by name. Without any, calls need no keys.
	Teams map[string]Team
	// MaxBodyBytes limits the body of a request; 0 means no limit.
	MaxBodyBytes int64

	// Index is set by BuildIndex.
	Index *ConfigIndex `json:"-"`
}

// TaskName identifies a task of a job. Occurrence, Step and Index count from 0.
type TaskName struct {
	Job                     ID
	Occurrence, Step, Index int
}

// String returns the task name that workers receive, for example "5c0e7a21d94b36f8.0.1.4".
func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Occurrence, n.Step, n.Index)
}

// ParseTaskName is the inverse of TaskName.String.
func ParseTaskName(s string) (TaskName, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskName{}, false
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskName{}, false
		}
		numbers[i] = v
	}
	return TaskName{ID(parts[0]), numbers[0], numbers[1], numbers[2]}, true
}

// State is the state of a job as reported to callers.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Terminal reports whether the state is final.
func (s State) Terminal() bool { return s == Completed || s == Failed || s == Cancelled }
