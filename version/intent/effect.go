package intent

import (
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// Effect is an action that the caller of a Core executes. The result is passed to the Core method named at the effect.
type Effect interface{ isEffect() }

// OfferTasks offers tasks to a rack; see Core.OffersRefused. A lost offer is repeated when it expires.
type OfferTasks struct {
	Rack  string
	Tasks []model.Task
	// Victims are running tasks that may be preempted for Tasks, as the confirmed plan allows.
	Victims []model.TaskID
}

// WithdrawTasks removes offers from a rack's queue. The message may be lost, since a claim for a withdrawn offer is denied.
type WithdrawTasks struct {
	Rack  string
	Tasks []model.TaskID
}

// StopTask stops a task that was granted to a rack.
type StopTask struct {
	Rack  string
	Task  model.TaskID
	Token model.StartToken
	// Checkpoint asks for a checkpoint before the stop.
	Checkpoint bool
}

// TaskEnded notifies waiting callers of the final outcome of a task.
type TaskEnded struct {
	Task    model.Task
	Outcome model.Outcome
	// Record is set if the outcome must be recorded and no report of a rack causes that.
	Record bool
}

// SaveIntent writes the current row of an intent after all outcomes so far are durable; see Core.Intent.
type SaveIntent struct{ ID string }

// RecordRun records the start of a run of a recurring intent before its tasks exist; see Core.PrepareRun and
// Core.RunRecorded.
type RecordRun struct{ ID string }

// DeleteRows deletes the rows of intents and plans that are past their retention.
type DeleteRows struct {
	Intents, Plans []string
}

// ReserveGang reserves capacity in one rack for members of a gang, or renews the reservation; see
// Core.ReserveGangResult.
type ReserveGang struct {
	Rack string
	// ReservationID is the ID of the gang reservation, and TTL its time to live.
	ReservationID string
	Tasks         []model.Task
	TTL           time.Duration
	Victims       []model.TaskID
}

// CommitGang records the start of a gang whose members all have reservations; see Core.PrepareStart and
// Core.GangCommitted.
type CommitGang struct {
	ID            string
	ReservationID string
}

// StartGang starts the members of a gang that have reservations in one rack. It is repeated until the rack has answered;
// see Core.StartRefused.
type StartGang struct {
	Rack string
	// RackEpoch is the epoch in which the rack made the reservation. A later epoch does not know the reservation, so its
	// answer proves nothing about the start.
	RackEpoch     uint64
	ReservationID string
	Tasks         []model.TaskID
	Tokens        []model.StartToken
}

// ReleaseGang releases a gang reservation that was not started. The message may be lost, since reservations expire.
type ReleaseGang struct {
	Rack          string
	ReservationID string
}

func (OfferTasks) isEffect()    {}
func (WithdrawTasks) isEffect() {}
func (StopTask) isEffect()      {}
func (TaskEnded) isEffect()     {}
func (SaveIntent) isEffect()    {}
func (RecordRun) isEffect()     {}
func (DeleteRows) isEffect()    {}
func (ReserveGang) isEffect()   {}
func (CommitGang) isEffect()    {}
func (StartGang) isEffect()     {}
func (ReleaseGang) isEffect()   {}
