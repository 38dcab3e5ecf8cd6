package node

import (
	"sync/atomic"
	"time"

	"github.com/lentiltide/lentiltide/version/cell"
)

// callCounts counts the calls of a leader to workers; see WorkerCalls.
type callCounts struct{ delegated, unanswered, direct atomic.Uint64 }

// WorkerCalls are the calls of a leader to workers since the start of its leadership.
type WorkerCalls struct {
	// Delegated are the calls sent to a delegate, Unanswered those of them without a result in time, and Direct the calls that the
	// leader made itself.
	Delegated  uint64 `json:"delegated"`
	Unanswered uint64 `json:"unanswered"`
	Direct     uint64 `json:"direct"`
}

func (c *callCounts) snapshot() WorkerCalls {
	return WorkerCalls{c.delegated.Load(), c.unanswered.Load(), c.direct.Load()}
}

// Sub returns the calls since an earlier count.
func (c WorkerCalls) Sub(earlier WorkerCalls) WorkerCalls {
	return WorkerCalls{c.Delegated - earlier.Delegated, c.Unanswered - earlier.Unanswered, c.Direct - earlier.Direct}
}

// loadLogInterval is the time between log entries about the load of a leader.
const loadLogInterval = 2 * time.Second

// loadRecorder logs what the scheduler of a leader spends its time on. Only runScheduler uses it.
type loadRecorder struct {
	leadership *leadership
	loggedAt   cell.Instant
	// inRounds is the time in scheduling rounds since loggedAt, and longestRound the longest of them.
	inRounds, longestRound time.Duration
	// effort and calls are those up to loggedAt.
	effort cell.Effort
	calls  WorkerCalls
}

func newLoadRecorder(l *leadership) *loadRecorder {
	return &loadRecorder{leadership: l, loggedAt: l.node.opts.Now()}
}

// recordRound records a scheduling round, and logs the load if that is due.
func (r *loadRecorder) recordRound(startedAt, endedAt cell.Instant) {
	r.inRounds += endedAt - startedAt
	r.longestRound = max(r.longestRound, endedAt-startedAt)
	if endedAt >= r.loggedAt+loadLogInterval {
		r.log(endedAt)
	}
}

// log logs the load since the last entry.
func (r *loadRecorder) log(now cell.Instant) {
	load, total := r.leadership.core.Load(), r.leadership.workers.counts.snapshot()
	effort, calls := load.Effort.Sub(r.effort), total.Sub(r.calls)
	r.leadership.node.opts.Log.WithFields(map[string]any{
		"event": "leader_load", "epoch": r.leadership.epoch, "ms": (now - r.loggedAt).Milliseconds(),
		"rounds": effort.Rounds, "round_ms": r.inRounds.Milliseconds(), "longest_round_ms": r.longestRound.Milliseconds(),
		"ready_steps": load.ReadySteps, "waiting_tasks": load.WaitingTasks,
		"examined_placement": effort.Placement, "examined_advice": effort.Advice, "examined_planning": effort.Planning,
		"examined_preemption": effort.Preemption, "examined_sweep": effort.Sweep,
		"delegated_calls": calls.Delegated, "unanswered_calls": calls.Unanswered, "direct_calls": calls.Direct,
	}).Info("load of the leader")
	*r = loadRecorder{leadership: r.leadership, loggedAt: now, effort: load.Effort, calls: total}
}
