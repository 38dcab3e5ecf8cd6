// Package worker defines the protocol between a rack owner and the agent of one worker. The agent belongs to the
// platform. All requests carry the epoch of the rack partition; an agent refuses an epoch below the highest it has received.
//
// Leases are expressed on the worker's own monotonic clock. Replies carry the worker's clock reading; a request extends
// leases to an absolute reading of that clock. A delayed request therefore never extends a lease beyond the time that its
// sender has recorded.
package worker

import (
	"context"

	"github.com/lentiltide/lentiltide/model"
)

// ClockReading is a reading of a worker's monotonic clock in milliseconds since its boot.
type ClockReading int64

// FenceRequest raises the epoch of a worker.
type FenceRequest struct {
	Rack  string `json:"rack"`
	Epoch uint64 `json:"epoch"`
}

// RunningTask is a task that runs on a worker.
type RunningTask struct {
	Task  model.Task       `json:"task"`
	Token model.StartToken `json:"token"`
	// LeaseUntil is the clock reading at which the worker stops the task unless the lease is renewed.
	LeaseUntil ClockReading `json:"lease_until"`
	// Used is the observed usage. It lags behind the actual usage.
	Used model.Resources `json:"used,omitzero"`
	// RanMS is the time since the start in milliseconds.
	RanMS int64 `json:"ran_ms"`
}

// Result is the outcome of a task, retained by the worker until it is acknowledged.
type Result struct {
	// Sequence orders the results of one boot, from 1.
	Sequence uint64        `json:"sequence"`
	Outcome  model.Outcome `json:"outcome"`
	// Task is the finished task.
	Task model.Task `json:"task"`
}

// Inventory is the complete state of a worker: its running tasks and the results that are not acknowledged.
type Inventory struct {
	// BootID changes whenever the worker restarts; a restart ends all tasks and drops all results.
	BootID  string        `json:"boot_id"`
	Now     ClockReading  `json:"now"`
	Running []RunningTask `json:"running"`
	Results []Result      `json:"results"`
}

// StartRequest starts a task under a lease.
type StartRequest struct {
	Rack  string           `json:"rack"`
	Epoch uint64           `json:"epoch"`
	Task  model.Task       `json:"task"`
	Token model.StartToken `json:"token"`
	// BootID is the boot whose clock LeaseUntil refers to; another boot refuses the start.
	BootID string `json:"boot_id"`
	// LeaseUntil is the end of the lease; a start that arrives later is refused.
	LeaseUntil ClockReading `json:"lease_until"`
}

// StartReply confirms a start. Starts are idempotent: a repeated start with the same token is confirmed without a second run.
type StartReply struct {
	Now ClockReading `json:"now"`
}

// SyncRequest renews the leases of all tasks, acknowledges results and waits for new ones.
type SyncRequest struct {
	Rack  string `json:"rack"`
	Epoch uint64 `json:"epoch"`
	// BootID is the boot whose clock LeaseUntil refers to; another boot renews nothing.
	BootID string `json:"boot_id"`
	// LeaseUntil is the new end of all leases.
	LeaseUntil ClockReading `json:"lease_until"`
	// AfterSequence is the highest result sequence received; the reply contains only later results.
	AfterSequence uint64 `json:"after"`
	// Acknowledged lists the sequences of results whose outcome is durable; the worker discards these results.
	Acknowledged []uint64 `json:"acknowledged,omitempty"`
	// WaitMS is how long the worker may wait for a new result, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// TaskStatus is a running task in a SyncReply, without the task's description.
type TaskStatus struct {
	Task  model.TaskID     `json:"task"`
	Token model.StartToken `json:"token"`
	Used  model.Resources  `json:"used,omitzero"`
	RanMS int64            `json:"ran_ms"`
}

// SyncReply lists the running tasks and the results after SyncRequest.AfterSequence.
type SyncReply struct {
	BootID  string       `json:"boot_id"`
	Now     ClockReading `json:"now"`
	Running []TaskStatus `json:"running"`
	Results []Result     `json:"results"`
}

// StopRequest stops a task, after a checkpoint if requested. The task's outcome arrives as a result.
type StopRequest struct {
	Rack       string           `json:"rack"`
	Epoch      uint64           `json:"epoch"`
	Task       model.TaskID     `json:"task"`
	Token      model.StartToken `json:"token"`
	Checkpoint bool             `json:"checkpoint"`
}

// ThrottleRequest limits the processor use of a task.
type ThrottleRequest struct {
	Rack  string           `json:"rack"`
	Epoch uint64           `json:"epoch"`
	Task  model.TaskID     `json:"task"`
	Token model.StartToken `json:"token"`
	// CPUMilli is the new limit in thousandths of a core; 0 removes the limit.
	CPUMilli int64 `json:"cpu_milli"`
}

// Agent is the agent of one remote worker. Errors are *verdict.Error: CodeFenced with NotRun if the epoch is too low,
// CodeOverloaded with NotRun if the worker has not enough free capacity, and MayHaveRun if the reply was lost.
type Agent interface {
	Fence(ctx context.Context, req FenceRequest) (Inventory, error)
	Start(ctx context.Context, req StartRequest) (StartReply, error)
	Sync(ctx context.Context, req SyncRequest) (SyncReply, error)
	Stop(ctx context.Context, req StopRequest) error
	Throttle(ctx context.Context, req ThrottleRequest) error
}

// Dialer returns the agent of a worker by its base URL.
type Dialer interface {
	Dial(address string) Agent
}
