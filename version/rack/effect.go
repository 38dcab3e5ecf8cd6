package rack

import (
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/worker"
)

// Effect is an action that the caller of a Core executes. Results return by the method named at each effect.
type Effect interface{ isEffect() }

// ClaimTask asks the intent owner for the right to start a task; see Core.ClaimResult.
type ClaimTask struct {
	Task model.Task
	// Reason says why the task goes where it goes.
	Reason Reason
}

// StartTask starts a task on a worker; see Core.StartResult.
type StartTask struct {
	Worker  string
	Request worker.StartRequest
}

// StopTask stops a task on a worker. The stop shows in a later synchronisation.
type StopTask struct {
	Worker  string
	Request worker.StopRequest
}

// FenceWorker raises the epoch of a worker; see Core.Fenced.
type FenceWorker struct {
	Worker  string
	Address string
	Request worker.FenceRequest
}

// ReportStarted tells the intent owner that a task runs.
type ReportStarted struct {
	Task   model.Task
	Token  model.StartToken
	Worker string
}

// ReportOutcome tells the intent owner how a task ended; see Core.Reported.
type ReportOutcome struct {
	Task    model.Task
	Outcome model.Outcome
	// Sequence is the worker's number of the result; 0 for outcomes that no worker holds.
	Sequence uint64
	// BootID is the boot of the worker that Sequence belongs to.
	BootID string
}

func (ClaimTask) isEffect()     {}
func (StartTask) isEffect()     {}
func (StopTask) isEffect()      {}
func (FenceWorker) isEffect()   {}
func (ReportStarted) isEffect() {}
func (ReportOutcome) isEffect() {}
