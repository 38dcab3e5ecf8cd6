package intent

import (
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// Effect is an action that the caller of a Core executes. Results return by the method named at each effect.
type Effect interface{ isEffect() }

// OfferTasks offers tasks to a rack; see Core.Refused. A lost offer is repeated when its term ends.
type OfferTasks struct {
	Rack  string
	Tasks []model.Task
	// Victims are running tasks that the confirmed plan allows to be displaced.
	Victims []model.TaskID
}

// WithdrawTasks removes offers from a rack's queue. It may be lost: a claim for a withdrawn offer is denied.
type WithdrawTasks struct {
	Rack  string
	Tasks []model.TaskID
}

// StopTask stops a task that a rack runs.
type StopTask struct {
	Rack       string
	Task       model.TaskID
	Token      model.StartToken
	Checkpoint bool
}

// TaskEnded tells waiting callers the final outcome of a task.
type TaskEnded struct {
	Task    model.Task
	Outcome model.Outcome
	// Record is set when the outcome has to be recorded and no report of a rack asks for it.
	Record bool
}

// SaveIntent asks to write the current row of an intent once all outcomes so far are durable; see Core.Intent.
type SaveIntent struct{ ID string }

// RecordRun asks to record that a run of a recurring intent starts, before it does; see Core.PrepareRun.
type RecordRun struct{ ID string }

// Forget asks to delete the rows of intents and plans that are past their retention.
type Forget struct {
	Intents, Plans []string
}

// HoldTasks reserves capacity in one rack for members of a gang, or renews the reservation; see Core.HoldAnswered.
type HoldTasks struct {
	Rack    string
	Hold    string
	Tasks   []model.Task
	Term    time.Duration
	Victims []model.TaskID
}

// CommitGang asks to record the start of a gang whose members are all held; see Core.PrepareStart and Core.GangCommitted.
type CommitGang struct {
	ID   string
	Hold string
}

// StartHeld starts the members of a gang that one rack holds. It is repeated until the rack has answered; see
// Core.StartRefused.
type StartHeld struct {
	Rack string
	// RackEpoch is the epoch in which the rack holds the members. A later epoch knows nothing of the hold, so its answer
	// proves nothing about the start.
	RackEpoch uint64
	Hold      string
	Tasks     []model.TaskID
	Tokens    []model.StartToken
}

// ReleaseHold ends a reservation that was not started. It may be lost: a reservation expires.
type ReleaseHold struct {
	Rack string
	Hold string
}

func (OfferTasks) isEffect()    {}
func (WithdrawTasks) isEffect() {}
func (StopTask) isEffect()      {}
func (TaskEnded) isEffect()     {}
func (SaveIntent) isEffect()    {}
func (RecordRun) isEffect()     {}
func (Forget) isEffect()        {}
func (HoldTasks) isEffect()     {}
func (CommitGang) isEffect()    {}
func (StartHeld) isEffect()     {}
func (ReleaseHold) isEffect()   {}
