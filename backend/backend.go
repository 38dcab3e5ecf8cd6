// Package backend defines the interfaces to the services that a cell depends on: the table service for durable rows, the
// workers, the placement policy and the machine service. Package platform implements them for the users' platform and
// package standin for tests.
package backend

import (
	"context"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// RowKey identifies a row. Shard is a part of a table; transactions on the rows of one shard are serialized.
type RowKey struct{ Table, Shard, Key string }

// Row is a row of the table service.
type Row struct {
	RowKey
	Value []byte
	// Version is the value of a service-wide counter when the row was last written. 0 means that the row does not exist.
	Version uint64
	// Deleted marks a deleted row. Only Feed returns such rows.
	Deleted bool
}

// Txn is an atomic conditional transaction on the rows of one shard.
type Txn struct {
	// Expected lists rows that must have the given Version when the transaction commits; Value is ignored.
	Expected []Row
	// Put lists the rows to write; Version is ignored.
	Put    []Row
	Remove []RowKey
}

// Page is the result of a consistent read: rows in ascending order of their keys.
type Page struct {
	Rows []Row
	// HasMore says that further rows follow after the last one.
	HasMore bool
	// Version is the newest version of the service at the time of the read.
	Version uint64
}

// Tables is the table service. Errors are *verdict.Error. CodeConflict with NotRun means that a row did not have its expected
// version; Detail is the []Row that the service holds. CodeExpired means that the history that Feed needs has been discarded.
// NotRun is returned only if the request certainly had no effect.
type Tables interface {
	// Commit applies a transaction and returns the version of all written rows.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Range reads the rows of a shard whose key is not below from; an empty from reads from the first row.
	Range(ctx context.Context, table, shard, from string) (Page, error)
	// Get reads one row. It returns a row with version 0 if the row does not exist.
	Get(ctx context.Context, key RowKey) (Row, error)
	// Feed is a long poll for rows of a table that changed after a version; it waits up to wait for the first one.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// WorkerInfo is what a worker reports about itself.
type WorkerInfo struct {
	ID, Address, Service, Zone string
	// StartedMS is the start time of the worker's process, in milliseconds since the Unix epoch; 0 if not reported. It changes
	// with each restart.
	StartedMS int64
	Capacity  model.Resources
	// Labels are the kind and the rack of the worker.
	Labels   []string
	Draining bool
	// RemainingMS is the minimum time that a draining worker remains available, in milliseconds.
	RemainingMS int64
}

// WorkerRef addresses a worker. A worker with another id at the same address refuses the command.
type WorkerRef struct {
	ID, Address string
	// StartedMS is the start time of the boot that may execute the command, as in WorkerInfo; 0 means any boot. Another boot does not
	// execute it: lease deadlines and completion numbers are those of one boot.
	StartedMS int64
}

// Refusal is the reason why a worker did not carry out a command; empty if it did.
type Refusal string

// The refusals of a worker.
const (
	// RefusedFence: the worker has received a higher fencing token.
	RefusedFence Refusal = "fence"
	// RefusedOldRun: the run number is not higher than that of a run of the task that was stopped or finished on the worker.
	RefusedOldRun Refusal = "old_run"
	// RefusedLate: the lease deadline has passed on the worker's clock.
	RefusedLate Refusal = "late"
	// RefusedCapacity: the task does not fit into the worker's free capacity.
	RefusedCapacity Refusal = "room"
	// RefusedTicket: the placement ticket is not valid or has expired.
	RefusedTicket Refusal = "ticket"
	// RefusedInstance: the worker at the address has another id.
	RefusedInstance Refusal = "instance"
	// RefusedBoot: the worker has started again since the boot that the command names, and has not executed it.
	RefusedBoot Refusal = "boot"
	// RefusedUnhealthy: the worker considers itself unhealthy.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedInvalid: the worker rejects the command as invalid.
	RefusedInvalid Refusal = "invalid"
)

// Command is the common part of the commands to a worker: the addressed run of a task and the leader's token.
type Command struct {
	Worker WorkerRef
	Task   string
	Run    int64
	// FencingToken is the fencing token of the leader.
	FencingToken uint64
}

// StartCommand is the command to start a run.
type StartCommand struct {
	Command
	Payload string
	// LeaseDeadlineMS is the end of the lease on the worker's clock.
	LeaseDeadlineMS int64
	// Checkpoint is the checkpoint from which the run resumes; empty for none.
	Checkpoint string
	Ticket     string
}

// Reply is a worker's reply to a command. An empty Refusal means that the command was carried out.
type Reply struct {
	Refusal Refusal
	// ClockMS is the reading of the worker's clock in milliseconds; 0 if not reported.
	ClockMS int64
}

// PollRequest extends the leases of all runs of a worker to LeaseDeadlineMS and asks for its inventory.
type PollRequest struct {
	Worker          WorkerRef
	FencingToken    uint64
	LeaseDeadlineMS int64
	// AcknowledgedCompletion is the Number of the last finished run that the worker may forget.
	AcknowledgedCompletion int64
	// Wait is how long the worker waits for a run to finish before it replies.
	Wait time.Duration
}

// ActiveRun is a run in progress on a worker.
type ActiveRun struct {
	Task string
	Run  int64
	// Checkpoint is the run's last checkpoint; empty for none.
	Checkpoint string
	// ProgressPercent is the progress of the run in percent. A service task is at 100 when it serves its users.
	ProgressPercent int
	// Load is the tail latency in milliseconds for a service task with an objective, otherwise the processor use in
	// thousandths of a core.
	Load int64
}

// RunResult is the way in which a run finished.
type RunResult string

// The ways in which a run finishes.
const (
	ResultDone    RunResult = "done"
	ResultFailed  RunResult = "failed"
	ResultStopped RunResult = "stopped"
	// ResultExpired: the lease expired.
	ResultExpired RunResult = "lapsed"
	// ResultGangEnded: another member of the gang ended.
	ResultGangEnded RunResult = "broken"
	// ResultGangIncomplete: the other members of the gang did not start in time.
	ResultGangIncomplete RunResult = "alone"
)

// FinishedRun is a finished run that the worker reports until it is acknowledged.
type FinishedRun struct {
	// Number counts the finished runs since the start of the worker's process, from 1.
	Number int64
	Task   string
	Run    int64
	Result RunResult
	// Checkpoint is the run's last checkpoint; empty for none.
	Checkpoint string
}

// MaxFinishedRuns is the number of finished runs that a worker lists at a time, those with the lowest numbers.
const MaxFinishedRuns = 500

// PollReply is the inventory of a worker.
type PollReply struct {
	Reply
	// StartedMS is as in WorkerInfo.
	StartedMS int64
	Running   []ActiveRun
	// Finished are at most MaxFinishedRuns runs that are not acknowledged.
	Finished []FinishedRun
}

// IsComplete reports whether the reply lists all finished runs. Otherwise a run that is not listed may have finished.
func (r PollReply) IsComplete() bool { return len(r.Finished) < MaxFinishedRuns }

// Workers sends commands to workers. An error means that the outcome of a command is unknown, unless it is a *verdict.Error
// with NotRun.
type Workers interface {
	Start(ctx context.Context, command StartCommand) (Reply, error)
	Stop(ctx context.Context, command Command) (Reply, error)
	Poll(ctx context.Context, req PollRequest) (PollReply, error)
	// Throttle limits a run to a percentage of its full speed, from 0 to 100; 0 pauses it.
	Throttle(ctx context.Context, command Command, percent int) (Reply, error)
}

// Ticket permits the tasks of a step to start on a worker while the advice is valid.
type Ticket struct{ Worker, Ticket string }

// Advisor asks the placement policy which of the workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (tickets []Ticket, validity time.Duration, err error)
}

// Machine is a machine of the platform. A worker is one boot of a machine.
type Machine struct {
	ID string
	// Worker is the id of the machine's current worker; empty if there is none.
	Worker string
	// InService says that the machine is in service in its pool, and InMaintenance that it is down for its maintenance.
	InService, InMaintenance bool
}

// MachineList is the list of the platform's machines.
type MachineList struct {
	Machines []Machine
	// Unreadable is the reason why a machine could not be decoded, nil if all could. A machine that is not listed may exist then.
	Unreadable error
}

// MaintenanceWave is a request for the maintenance of a set of machines, each of them once.
type MaintenanceWave struct {
	Number   int
	Machines []string
	// Duration is the time in which all maintenances should have begun.
	Duration time.Duration
	// MaxUnavailable is how many machines may be down for maintenance at the same time.
	MaxUnavailable int
}

// Leader identifies the leader to the machine service, which refuses tokens below the highest that it has received.
type Leader struct {
	Instance string
	// FencingToken is the fencing token.
	FencingToken uint64
}

// MachineRefusal is the reason why the machine service did not start a maintenance; empty if it did.
type MachineRefusal string

// The refusals of the machine service.
const (
	// MachineFenced: the machine service has received a higher token.
	MachineFenced MachineRefusal = "fence"
	// MachineBusy: the machine is not in service, or is leaving.
	MachineBusy MachineRefusal = "busy"
	// MachineNotInWave: the wave does not include the machine, or the machine does not exist.
	MachineNotInWave MachineRefusal = "wave"
)

// Machines is the machine service. An error means that the outcome is unknown, unless it has NotRun.
type Machines interface {
	List(ctx context.Context) (MachineList, error)
	// Maintain begins the maintenance of a machine for a wave; all runs on the machine end. It is idempotent.
	Maintain(ctx context.Context, leader Leader, machine string, wave int) (MachineRefusal, error)
}

// Decoder decodes rows of other writers and encodes rows that others read.
type Decoder interface {
	// Config decodes a configuration.
	Config(row Row) (job.Config, error)
	// Worker decodes an entry of the registry. An error means that the entry describes no usable worker.
	Worker(row Row) (WorkerInfo, error)
	// Wave decodes a maintenance wave; ok is false for other rows.
	Wave(row Row) (wave MaintenanceWave, ok bool, err error)
	// WaveStatus returns the row that shows the operator whether a wave is completed.
	WaveStatus(number int, completed bool) Row
	// IsWaveCompleted reports whether a row that WaveStatus has returned shows a completed wave.
	IsWaveCompleted(row Row) bool
}
