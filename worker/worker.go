// Package worker defines the protocol between a rack owner and the agent of one worker. The agent belongs to the
// platform. All requests carry the epoch of the rack partition; an agent refuses an epoch below the highest it has seen.
//
// Leases are expressed on the worker's own monotonic clock. Each reply carries the worker's time stamp; a request extends
// leases to an absolute stamp. A delayed request therefore never extends a lease further than its sender can account for.
package worker

import (
	"context"

	"github.com/lentiltide/lentiltide/model"
)

// Stamp is a reading of a worker's monotonic clock in milliseconds since its boot.
type Stamp int64

// FenceRequest raises the epoch of a worker.
type FenceRequest struct {
	Rack  string `json:"rack"`
	Epoch uint64 `json:"epoch"`
}

// RunningTask is a task that runs on a worker.
type RunningTask struct {
	Task  model.Task       `json:"task"`
	Token model.StartToken `json:"token"`
	// LeaseUntil is when the worker stops the task unless the lease is renewed.
	LeaseUntil Stamp `json:"lease_until"`
	// Used is the observed usage; it lags.
	Used model.Resources `json:"used,omitzero"`
	// RanMS is the time since the start in milliseconds.
	RanMS int64 `json:"ran_ms"`
}

// Result is the outcome of a task, kept by the worker until it is acknowledged.
type Result struct {
	// Sequence orders the results of one boot, from 1.
	Sequence uint64        `json:"sequence"`
	Outcome  model.Outcome `json:"outcome"`
	// Task is the task that ended.
	Task model.Task `json:"task"`
}

// Inventory is everything a worker knows about tasks.
type Inventory struct {
	// BootID changes whenever the worker restarts; a restart ends all tasks and drops all results.
	BootID  string        `json:"boot_id"`
	Now     Stamp         `json:"now"`
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
	// LeaseUntil ends the lease; a start that arrives later is refused.
	LeaseUntil Stamp `json:"lease_until"`
}

// StartReply confirms a start. A repeated start with the same token is confirmed again without a second run.
type StartReply struct {
	Now Stamp `json:"now"`
}

// SyncRequest renews the leases of all tasks, acknowledges results and waits for new ones.
type SyncRequest struct {
	Rack  string `json:"rack"`
	Epoch uint64 `json:"epoch"`
	// BootID is the boot whose clock LeaseUntil refers to; another boot renews nothing.
	BootID string `json:"boot_id"`
	// LeaseUntil is the new end of all leases.
	LeaseUntil Stamp `json:"lease_until"`
	// After is the highest result sequence received; the reply holds later ones.
	After uint64 `json:"after"`
	// Acknowledged lists the sequences whose outcome is durable; the worker forgets them.
	Acknowledged []uint64 `json:"acknowledged,omitempty"`
	// WaitMS is how long the worker may wait for a new result, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// TaskStatus is the short form of a running task.
type TaskStatus struct {
	Task  model.TaskID     `json:"task"`
	Token model.StartToken `json:"token"`
	Used  model.Resources  `json:"used,omitzero"`
	RanMS int64            `json:"ran_ms"`
}

// SyncReply lists what runs and what ended.
type SyncReply struct {
	BootID  string       `json:"boot_id"`
	Now     Stamp        `json:"now"`
	Running []TaskStatus `json:"running"`
	Results []Result     `json:"results"`
}

// StopRequest stops a task, after a checkpoint if asked for. The end of the task arrives as a result.
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

// Agent is one remote worker. Errors are *verdict.Error: CodeFenced with NotRun for a low epoch, CodeOverloaded with
// NotRun when the worker itself has no room, and MayHaveRun when the answer was lost.
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
