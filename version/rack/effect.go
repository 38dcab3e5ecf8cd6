package rack

import (
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/worker"
)

// Effect is an action that the caller of a Core executes. The caller reports its result by the method named at the
// effect.
type Effect interface{ isEffect() }

// ClaimTask requests the right to start a task from the intent owner; see Core.ClaimResult.
type ClaimTask struct {
	Task model.Task
	// Reason explains the placement.
	Reason Reason
}

// StartTask starts a task on a worker; see Core.StartResult.
type StartTask struct {
	Worker  string
	Request worker.StartRequest
}

// StopTask stops a task on a worker. A later synchronisation reports the stop.
type StopTask struct {
	Worker  string
	Request worker.StopRequest
}

// FenceWorker raises the epoch of a worker; see Core.FenceResult.
type FenceWorker struct {
	Worker  string
	Address string
	Request worker.FenceRequest
}

// ReportStarted notifies the intent owner that a task runs.
type ReportStarted struct {
	Task   model.Task
	Token  model.StartToken
	Worker string
}

// ReportOutcome notifies the intent owner of the outcome of a task; see Core.OutcomeDurable.
type ReportOutcome struct {
	Task    model.Task
	Outcome model.Outcome
	// Sequence is the worker's sequence number of the result; 0 for outcomes that no worker reported.
	Sequence uint64
	// BootID identifies the boot of the worker that numbered the result.
	BootID string
}

func (ClaimTask) isEffect()     {}
func (StartTask) isEffect()     {}
func (StopTask) isEffect()      {}
func (FenceWorker) isEffect()   {}
func (ReportStarted) isEffect() {}
func (ReportOutcome) isEffect() {}
