package node

import (
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/version/cell"
)

// The renewals list the workers that the leader has closed; see cell.Core.CloseWorkers. A leader opens a worker only with a durable
// renewal, so the list that a successor has read holds as long as the renewal has the version that the takeover expects.

// closedWorkersField is the field of the leader row and its renewals with the closed workers.
type closedWorkersField struct {
	ClosedWorkers map[string]closedWorker `json:"closed_workers,omitempty"`
}

// closedWorker is the entry of a worker.
type closedWorker struct {
	// RemainingMS is how long after the row was written leases on the worker may last, in milliseconds.
	RemainingMS int64 `json:"ms"`
	// StartedMS is as in cell.ClosedWorker.
	StartedMS int64 `json:"boot,omitempty"`
}

// newClosedWorkersField returns the field of a row that is encoded at an instant.
func newClosedWorkersField(closed map[string]cell.ClosedWorker, now cell.Instant) closedWorkersField {
	out := closedWorkersField{ClosedWorkers: map[string]closedWorker{}}
	for id, w := range closed {
		out.ClosedWorkers[id] = closedWorker{RemainingMS: ceilMilliseconds(max(0, w.LeasesEnd-now)), StartedMS: w.StartedMS}
	}
	return out
}

// closeWorkersWithin is the age of the last durable write up to which the leader closes further workers: it could not open them again while
// the store does not answer.
const closeWorkersWithin = time.Second

// closeWorkers returns the field of the next renewal or of the resignation, after which the leader grants no leases.
func (l *leadership) closeWorkers() closedWorkersField {
	now := l.node.opts.Now()
	l.listed = l.core.CloseWorkers(now, l.resigning.Load() || now < l.storedAt+closeWorkersWithin)
	return newClosedWorkersField(l.listed, now)
}

// closedWorkers returns the workers that the last leader had closed. The row holds for a leader that has resigned, or not renewed yet.
func (v leaderView) closedWorkers() map[string]cell.ClosedWorker {
	field, seenAt := v.row.closedWorkersField, v.rowSeenAt
	if v.isRenewed() {
		field, seenAt = v.renewal.closedWorkersField, v.renewalSeenAt
	}
	out := map[string]cell.ClosedWorker{}
	for id, w := range field.ClosedWorkers {
		out[id] = cell.ClosedWorker{LeasesEnd: seenAt + time.Duration(w.RemainingMS)*time.Millisecond, StartedMS: w.StartedMS}
	}
	return out
}

// takeoverConditions returns the versions of the rows on which a takeover relies. A renewal in between shows that the leader is alive, and
// may open workers. A leader that has resigned writes none.
func (v leaderView) takeoverConditions() []backend.Row {
	out := []backend.Row{{RowKey: leaderKey, Version: v.rowVersion}}
	if !v.row.Resigned {
		out = append(out, backend.Row{RowKey: renewalKey, Version: v.renewalVersion})
	}
	return out
}
