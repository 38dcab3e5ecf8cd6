// Package backend defines the interfaces to what surrounds a cell: the rows that last, the workers, the placement policy
// and the machines. Package platform implements them for the users' platform and package standin for tests.
package backend

import (
	"context"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// RowKey names a row. Rows of one part are written by one transaction at a time.
type RowKey struct{ Table, Part, Key string }

// Row is a row of the table service.
type Row struct {
	RowKey
	Value []byte
	// Version is from a counter of the whole service. 0 means that the row does not exist.
	Version uint64
	// Deleted is set in feeds only.
	Deleted bool
}

// Txn is an atomic conditional transaction on the rows of one part.
type Txn struct {
	// Expected rows must have their Version; Value is ignored.
	Expected []Row
	// Put rows are written; Version is ignored.
	Put    []Row
	Remove []RowKey
}

// Page is a consistent read of rows in ascending order of keys.
type Page struct {
	Rows []Row
	More bool
	// Version is the newest version of the service at the time of the read.
	Version uint64
}

// Tables is the table service. Errors are *verdict.Error. CodeConflict with NotRun says that an expectation failed; its
// Detail is the []Row that the service holds. CodeExpired says that the history of a feed is gone. NotRun is returned only
// if the service said that nothing was done.
type Tables interface {
	// Commit returns the version that all written rows have.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Range reads the rows of a part from a key on. An empty key reads from the first.
	Range(ctx context.Context, table, part, from string) (Page, error)
	// Get reads one row; a row with version 0 does not exist.
	Get(ctx context.Context, key RowKey) (Row, error)
	// Feed waits up to wait for rows of a table that changed after a version.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// WorkerInfo is what a worker reports about itself.
type WorkerInfo struct {
	ID, Address, Service, Zone string
	// StartedMS is when this process of the worker started, in milliseconds since the Unix epoch; 0 if not reported.
	StartedMS int64
	Capacity  model.Resources
	// Labels are the kind and the rack of the worker.
	Labels   []string
	Draining bool
	// RemainingMS is how long a draining worker stays at least, in milliseconds.
	RemainingMS int64
}

// WorkerRef addresses one life of a worker.
type WorkerRef struct{ ID, Address string }

// Refusal says why a worker did not do what it was told.
type Refusal string

// The refusals of a worker.
const (
	// RefusedFence: a higher fencing token has been used.
	RefusedFence Refusal = "fence"
	// RefusedOldRun: the run number is not higher than one that was stopped or ended there.
	RefusedOldRun Refusal = "old_run"
	// RefusedLate: the deadline has passed on the worker's clock.
	RefusedLate Refusal = "late"
	// RefusedRoom: the task does not fit.
	RefusedRoom Refusal = "room"
	// RefusedTicket: the placement ticket does not hold.
	RefusedTicket Refusal = "ticket"
	// RefusedInstance: another life of the worker answered.
	RefusedInstance Refusal = "instance"
	// RefusedUnhealthy: the worker considers itself unhealthy.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedInvalid: the worker does not understand the order.
	RefusedInvalid Refusal = "invalid"
)

// Order addresses a run of a task on a worker.
type Order struct {
	Worker WorkerRef
	Task   string
	Run    int64
	// Token is the fencing token of the leader.
	Token uint64
}

// StartOrder starts a run.
type StartOrder struct {
	Order
	Payload string
	// DeadlineMS is the end of the lease on the worker's clock.
	DeadlineMS int64
	Checkpoint string
	Ticket     string
}

// Reply is a worker's answer to an order. An empty Refusal means that the order was carried out.
type Reply struct {
	Refusal Refusal
	// ClockMS is the worker's clock; 0 if not reported.
	ClockMS int64
}

// PollRequest extends the lease of all runs of a worker and lists them.
type PollRequest struct {
	Worker     WorkerRef
	Token      uint64
	DeadlineMS int64
	// Acked is the number of the last end that the worker may forget.
	Acked int64
	// Wait is how long the worker waits for an end before it answers.
	Wait time.Duration
}

// RunningTask is a run on a worker.
type RunningTask struct {
	Task    string
	Run     int64
	Saved   string
	Percent int
	// Load is the tail latency in milliseconds of a lasting task with an objective, otherwise the processor use in
	// thousandths of a core.
	Load int64
}

// How says how a run ended.
type How string

// The ends of a run.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	EndLapsed  How = "lapsed"
	// EndBroken: another member of the gang ended.
	EndBroken How = "broken"
	// EndAlone: the other members of the gang did not arrive in time.
	EndAlone How = "alone"
)

// EndedTask is an end that the worker has not been told to forget.
type EndedTask struct {
	// Number rises with each end of one life of the worker and starts at 1.
	Number int64
	Task   string
	Run    int64
	How    How
	Saved  string
}

// PollReply is the inventory of a worker.
type PollReply struct {
	Reply
	// StartedMS is as in WorkerInfo.
	StartedMS int64
	Running   []RunningTask
	Ended     []EndedTask
}

// Workers sends orders to workers. An error means that the outcome of an order is unknown, unless it is a *verdict.Error
// with NotRun.
type Workers interface {
	Start(ctx context.Context, order StartOrder) (Reply, error)
	Stop(ctx context.Context, order Order) (Reply, error)
	Poll(ctx context.Context, req PollRequest) (PollReply, error)
	// Throttle lets a run work at a share of 0 to 100 percent.
	Throttle(ctx context.Context, order Order, percent int) (Reply, error)
}

// Ticket permits the tasks of a step to start on a worker for the validity of the advice.
type Ticket struct{ Worker, Ticket string }

// Advisor asks the placement policy which of the workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (good []Ticket, validity time.Duration, err error)
}

// Machine is a machine of the platform. A worker is one life of a machine.
type Machine struct {
	ID string
	// Worker is the id of the present worker; empty if there is none.
	Worker string
	// Up says that the machine serves its pool.
	Up bool
}

// Wave asks for one maintenance of each of its machines.
type Wave struct {
	Number   int
	Machines []string
	// Duration is the time in which all maintenances should have begun.
	Duration time.Duration
	// Max is how many machines may be down for maintenance at the same time.
	Max int
}

// Leader identifies the leader to the machine service, which refuses lower tokens.
type Leader struct {
	Instance string
	// Token is the fencing token.
	Token uint64
}

// MachineRefusal says why the machine service did not do what it was told.
type MachineRefusal string

// The refusals of the machine service.
const (
	// MachineFenced: a higher token has been used.
	MachineFenced MachineRefusal = "fence"
	// MachineBusy: the machine is not up, or leaving.
	MachineBusy MachineRefusal = "busy"
	// MachineNotInWave: the wave does not name the machine, or there is no such machine.
	MachineNotInWave MachineRefusal = "wave"
)

// Machines is the service that operates machines. An error means that the outcome is unknown, unless it has NotRun.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	// Maintain begins the maintenance of a machine for a wave; everything that runs there ends. It is idempotent.
	Maintain(ctx context.Context, leader Leader, machine string, wave int) (MachineRefusal, error)
}

// Decoder turns rows of other writers into values of the product, and back.
type Decoder interface {
	// Config decodes a configuration.
	Config(row Row) (job.Config, error)
	// Worker decodes an entry of the registry. An error means that the entry names no worker to use.
	Worker(row Row) (WorkerInfo, error)
	// Wave decodes a request for maintenance; ok is false for rows that are none.
	Wave(row Row) (wave Wave, ok bool, err error)
	// WaveStatus returns the row that tells the operator whether a wave is completed.
	WaveStatus(number int, completed bool) Row
}
