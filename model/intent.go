package model

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// IntentSpec describes the work that an operator requests. It is immutable once confirmed.
type IntentSpec struct {
	Account string `json:"account"`
	Team    string `json:"team"`
	Name    string `json:"name"`
	Kind    Kind   `json:"kind"`
	// Class is the scheduling class; nil means the default of the kind.
	Class *Class `json:"class,omitempty"`
	// Tasks is the number of tasks of one run.
	Tasks int `json:"tasks"`
	// TaskDemand is the declared demand of one task.
	TaskDemand Resources `json:"each"`
	// RunTimeMS is the declared run time of one task in milliseconds. It is a hint.
	RunTimeMS int64 `json:"run_time_ms,omitempty"`
	// Deadline is the time by which the work must have finished; zero means none.
	Deadline time.Time `json:"deadline,omitzero"`
	// PeriodMS is the period of a recurring intent in milliseconds.
	PeriodMS int64 `json:"every_ms,omitempty"`
	// Preemptible work may be checkpointed and stopped in favour of confirmed work.
	Preemptible bool `json:"preemptible,omitempty"`
	// Idempotent work may be started again after an unknown outcome.
	Idempotent bool `json:"idempotent,omitempty"`
	// Payload is passed to the worker unchanged.
	Payload string `json:"payload,omitempty"`
}

// EffectiveClass returns the class of the tasks of the intent.
func (s IntentSpec) EffectiveClass() Class {
	if s.Class != nil {
		return *s.Class
	}
	return s.Kind.DefaultClass()
}

// RunTime returns the declared run time.
func (s IntentSpec) RunTime() time.Duration { return time.Duration(s.RunTimeMS) * time.Millisecond }

// IntentState is the state of an intent.
type IntentState string

// The states of an intent.
const (
	IntentConfirmed IntentState = "confirmed"
	IntentCancelled IntentState = "cancelled"
	IntentDone      IntentState = "done"
)

// Intent is a confirmed intent as stored in the table service.
type Intent struct {
	ID          string      `json:"id"`
	PlanID      string      `json:"plan_id"`
	Spec        IntentSpec  `json:"spec"`
	State       IntentState `json:"state"`
	ConfirmedAt time.Time   `json:"confirmed_at"`
	// NextRun is one more than the number of the last run that a recurring intent started; 0 means none. A run has the number
	// of its period, so periods without a run leave gaps.
	NextRun int `json:"runs,omitempty"`
	// LastRunUnfinished is set while the last run of a recurring intent has unfinished tasks.
	LastRunUnfinished bool `json:"run_open,omitempty"`
	// GangStarts counts the committed starts of a gang.
	GangStarts int `json:"starts,omitempty"`
}

// IntentPartitions is the number of intent partitions of a cell. It must not change while a cell exists, since stored keys
// contain the partition number.
const IntentPartitions = 64

// IntentPartition returns the partition that owns the intents of a team.
func IntentPartition(account, team string) int {
	return int(xxhash.Sum64String(account+"\x00"+team) % IntentPartitions)
}

// TaskID identifies a task: the intent id, a slash, and the task's run and index.
type TaskID string

// NewTaskID returns the id of a task of one run of an intent.
func NewTaskID(intent string, run, index int) TaskID {
	return TaskID(fmt.Sprintf("%s/%d.%d", intent, run, index))
}

// Task is one unit of work that runs on one worker.
type Task struct {
	ID             TaskID    `json:"id"`
	Intent         string    `json:"intent"`
	Partition      int       `json:"partition"`
	Account        string    `json:"account"`
	Team           string    `json:"team"`
	Kind           Kind      `json:"kind"`
	Class          Class     `json:"class"`
	DeclaredDemand Resources `json:"each"`
	RunTimeMS      int64     `json:"run_time_ms,omitempty"`
	LatestStart    time.Time `json:"latest_start,omitzero"`
	SubmittedAt    time.Time `json:"submitted"`
	Preemptible    bool      `json:"preemptible,omitempty"`
	Idempotent     bool      `json:"idempotent,omitempty"`
	Payload        []byte    `json:"payload,omitempty"`
}

// Demand returns the declared demand of a task, which is at least one slot.
func (t Task) Demand() Resources {
	d := t.DeclaredDemand
	d.Slots = max(d.Slots, 1)
	return d
}

// StartToken identifies one permitted start of a task. It is issued by the owner of an intent partition.
type StartToken struct {
	// Partition is the number of the intent partition.
	Partition int `json:"partition"`
	// Epoch is the epoch of the intent partition's owner.
	Epoch uint64 `json:"epoch"`
	// Sequence counts tokens within the epoch, from 1.
	Sequence uint64 `json:"sequence"`
}

// IsZero reports whether the token is unset.
func (t StartToken) IsZero() bool { return t == StartToken{} }

// Less reports whether t was issued before o. Tokens of one partition are ordered by epoch, then by sequence.
func (t StartToken) Less(o StartToken) bool {
	if t.Epoch != o.Epoch {
		return t.Epoch < o.Epoch
	}
	return t.Sequence < o.Sequence
}
