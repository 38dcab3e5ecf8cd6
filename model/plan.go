package model

import "time"

// Placement is the proposed placement of one task.
type Placement struct {
	Task   TaskID `json:"task"`
	Rack   string `json:"rack,omitempty"`
	Worker string `json:"worker,omitempty"`
	Zone   string `json:"zone,omitempty"`
	// MustWait is set if the task has to wait for capacity; Reason says what it waits for.
	MustWait bool   `json:"waits,omitempty"`
	Reason   string `json:"reason"`
}

// Displacement is a running task that the plan preempts: it is stopped after a checkpoint to free capacity.
type Displacement struct {
	Task   TaskID `json:"task"`
	Team   string `json:"team"`
	Rack   string `json:"rack"`
	Worker string `json:"worker"`
	Reason string `json:"reason"`
}

// Plan is an immutable proposal for an intent. Confirming it makes the intent run.
type Plan struct {
	ID            string         `json:"id"`
	IntentID      string         `json:"intent_id"`
	Partition     int            `json:"partition"`
	Spec          IntentSpec     `json:"spec"`
	Placements    []Placement    `json:"placements"`
	Displacements []Displacement `json:"displaces"`
	// ConfigVersion is the configuration version that the plan is based on.
	ConfigVersion uint64    `json:"config_version"`
	CreatedAt     time.Time `json:"created_at"`
	// ExpiresAt is the time after which the plan can no longer be confirmed.
	ExpiresAt time.Time `json:"expires_at"`
}

// OutcomeState says how a started task ended.
type OutcomeState string

// The outcome states.
const (
	// OutcomeFinished: the task finished by itself without an error.
	OutcomeFinished OutcomeState = "finished"
	// OutcomeFailed: the task ended by itself with an error.
	OutcomeFailed OutcomeState = "failed"
	// OutcomeStopped: the worker confirmed a stop that the scheduler requested.
	OutcomeStopped OutcomeState = "stopped"
	// OutcomePreempted: as OutcomeStopped, but after a checkpoint and to free capacity for other work.
	OutcomePreempted OutcomeState = "preempted"
	// OutcomeExpired: the lease expired; the task no longer runs and its result is unknown.
	OutcomeExpired OutcomeState = "lapsed"
	// OutcomeNotStarted: the start certainly did not take effect and will not.
	OutcomeNotStarted OutcomeState = "not_started"
)

// Outcome is the result of one permitted start of a task.
type Outcome struct {
	Task   TaskID       `json:"task"`
	Token  StartToken   `json:"token"`
	State  OutcomeState `json:"state"`
	Worker string       `json:"worker"`
	// Answer is the result that the task returned to its caller.
	Answer []byte `json:"answer,omitempty"`
	// AnswerDigest is the xxhash64 of Answer, computed by the worker.
	AnswerDigest uint64 `json:"answer_digest,omitempty"`
	Error        string `json:"error,omitempty"`
	// RanMS is the run time on the worker in milliseconds.
	RanMS int64 `json:"ran_ms,omitempty"`
	// Used is the largest observed usage; zero when it was not observed.
	Used Resources `json:"used,omitzero"`
}
