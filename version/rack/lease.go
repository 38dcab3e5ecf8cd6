package rack

import (
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/platform"
	"github.com/lentiltide/lentiltide/worker"
)

// phase is the state of a task that holds capacity.
type phase uint8

const (
	// phaseClaiming: capacity is reserved, the claim is not answered.
	phaseClaiming phase = iota
	// phaseStarting: the start was sent to the worker.
	phaseStarting
	// phaseUnknown: the answer to the start was lost.
	phaseUnknown
	// phaseRunning: the worker confirmed the start.
	phaseRunning
)

// taskState is a task that holds capacity of a worker.
type taskState struct {
	task   model.Task
	token  model.StartToken
	worker string
	phase  phase
	// startUntil is the end of the lease sent with the start, on the worker's clock.
	startUntil worker.Stamp
	since      time.Time
	stopping   bool
}

// workerState is the ledger of one worker.
type workerState struct {
	member platform.Member
	used   model.Resources
	tasks  map[model.TaskID]*taskState

	// fenced is set while the worker is known to hold this epoch and its leases have not expired.
	fenced bool
	// fencedOnce is set when the worker was fenced at least once in this epoch.
	fencedOnce bool
	bootID     string
	// stamp is the newest reading of the worker's clock; it was received at stampAt of the owner's clock.
	stamp   worker.Stamp
	stampAt time.Time

	// after is the highest result sequence received.
	after uint64
	// unreported are results whose outcome is not durable yet, by sequence.
	unreported map[uint64]worker.Result
	// acknowledge are sequences that the next synchronisation acknowledges.
	acknowledge []uint64
}

func newWorkerState(m platform.Member) *workerState {
	return &workerState{member: m, tasks: map[model.TaskID]*taskState{}, unreported: map[uint64]worker.Result{}}
}

func (w *workerState) free() model.Resources { return w.member.Capacity.Sub(w.used) }

// usable reports whether leases on the worker can be granted and renewed.
func (w *workerState) usable() bool { return w.fenced }

// acceptsWork reports whether new tasks may be placed on the worker.
func (w *workerState) acceptsWork() bool {
	return w.fenced && w.member.State != platform.MemberLeaving
}

// leaseUntil returns the end of a lease granted now, on the worker's clock. It is based on the last stamp received, so
// that all leases expire one term after the owner last heard of the worker.
func (w *workerState) leaseUntil(p Policy) worker.Stamp {
	return w.stamp + worker.Stamp(p.LeaseTerm.Milliseconds())
}

// heard records a stamp that was requested at time asked and received at time now.
func (w *workerState) heard(now time.Time, stamp worker.Stamp) {
	if stamp >= w.stamp {
		w.stamp, w.stampAt = stamp, now
	}
}

func (c *Core) fenceEffect(w *workerState) Effect {
	return FenceWorker{
		Worker: w.member.ID, Address: w.member.Address, Request: worker.FenceRequest{Rack: c.id, Epoch: c.epoch},
	}
}

// Fenced takes the inventory of a worker that has accepted this epoch. Tasks of the ledger that the inventory does not
// list have ended: they were stopped or their start cannot take effect any more.
func (c *Core) Fenced(now time.Time, id string, inv worker.Inventory) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return nil
	}
	var effects []Effect
	if w.fencedOnce && w.bootID != inv.BootID {
		effects = c.rebooted(w)
	}
	if w.bootID != inv.BootID {
		w.stamp, w.after = 0, 0
		w.unreported, w.acknowledge = map[uint64]worker.Result{}, nil
	}
	w.bootID, w.fenced, w.fencedOnce = inv.BootID, true, true
	w.heard(now, inv.Now)
	for _, r := range inv.Running {
		c.adopt(now, w, r)
	}
	effects = append(effects, c.results(w, inv.Results)...)
	return append(effects, c.decide(now)...)
}

// adopt enters a running task of the inventory into the ledger. Callers hold c.mu.
func (c *Core) adopt(now time.Time, w *workerState, r worker.RunningTask) {
	if t := c.tasks[r.Task.ID]; t != nil && t.worker == w.member.ID && t.token == r.Token {
		t.phase = phaseRunning
		return
	}
	t := &taskState{task: r.Task, token: r.Token, worker: w.member.ID, phase: phaseRunning, since: now}
	w.tasks[r.Task.ID] = t
	w.used = w.used.Add(Demand(r.Task))
	if c.tasks[r.Task.ID] == nil {
		c.tasks[r.Task.ID] = t
	}
}

// rebooted ends all tasks of a worker that restarted. Callers hold c.mu.
func (c *Core) rebooted(w *workerState) []Effect {
	return c.lapse(w, "worker restarted")
}

// lapse ends all started tasks of a worker whose leases have expired or that restarted. Callers hold c.mu.
func (c *Core) lapse(w *workerState, reason string) []Effect {
	var effects []Effect
	for _, t := range w.tasks {
		if t.phase == phaseClaiming {
			continue
		}
		c.release(t)
		out := model.Outcome{Task: t.task.ID, Token: t.token, State: model.OutcomeLapsed, Worker: w.member.ID, Error: reason}
		effects = append(effects, ReportOutcome{Task: t.task, Outcome: out})
	}
	return effects
}

// SyncRequest returns the next synchronisation request for a worker. ok is false while the worker is not fenced.
func (c *Core) SyncRequest(id string, wait time.Duration) (req worker.SyncRequest, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil || !w.usable() {
		return worker.SyncRequest{}, false
	}
	return worker.SyncRequest{
		Rack: c.id, Epoch: c.epoch, BootID: w.bootID, LeaseUntil: w.leaseUntil(c.policy), After: w.after,
		Acknowledged: append([]uint64(nil), w.acknowledge...), WaitMS: wait.Milliseconds(),
	}, true
}

// Synced takes the answer to a synchronisation request.
func (c *Core) Synced(now time.Time, id string, req worker.SyncRequest, reply worker.SyncReply) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil || !w.fenced {
		return nil
	}
	if reply.BootID != w.bootID {
		w.fenced = false
		return append(c.rebooted(w), c.fenceEffect(w))
	}
	w.heard(now, reply.Now)
	w.acknowledge = without(w.acknowledge, req.Acknowledged)
	effects := c.results(w, reply.Results)
	effects = append(effects, c.resolveUnknown(now, w, reply)...)
	return append(effects, c.decide(now)...)
}

// results releases the capacity of ended tasks and reports their outcomes. Callers hold c.mu.
func (c *Core) results(w *workerState, results []worker.Result) []Effect {
	var effects []Effect
	for _, r := range results {
		if r.Sequence <= w.after {
			continue
		}
		w.after = r.Sequence
		w.unreported[r.Sequence] = r
		if t := w.tasks[r.Task.ID]; t != nil && t.token == r.Outcome.Token {
			c.release(t)
		}
		effects = append(effects, ReportOutcome{Task: r.Task, Outcome: r.Outcome, Sequence: r.Sequence})
	}
	return effects
}

// resolveUnknown decides about starts whose answer was lost: the task runs, or the lease sent with the start has ended
// on the worker's clock without it, so that the start cannot take effect any more. Callers hold c.mu.
func (c *Core) resolveUnknown(now time.Time, w *workerState, reply worker.SyncReply) []Effect {
	running := make(map[model.StartToken]bool, len(reply.Running))
	for _, r := range reply.Running {
		running[r.Token] = true
	}
	var effects []Effect
	for _, t := range w.tasks {
		switch {
		case t.phase != phaseUnknown:
		case running[t.token]:
			t.phase = phaseRunning
			effects = append(effects, ReportStarted{Task: t.task, Token: t.token, Worker: t.worker})
		case reply.Now > t.startUntil:
			effects = append(effects, c.notStarted(now, t)...)
		}
	}
	return effects
}

// Reported notes that the outcome with a sequence is durable, so that the worker may forget it.
func (c *Core) Reported(id string, sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[id]; w != nil {
		delete(w.unreported, sequence)
		w.acknowledge = append(w.acknowledge, sequence)
	}
}

// Tick ends the tasks of workers whose leases have provably expired and asks to fence such workers again.
func (c *Core) Tick(now time.Time) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	var effects []Effect
	for _, w := range c.workers {
		if !w.fenced {
			effects = append(effects, c.fenceEffect(w))
			continue
		}
		if now.Sub(w.stampAt) > c.policy.LeaseTerm+c.policy.margin() {
			w.fenced = false
			effects = append(effects, c.lapse(w, "lease expired without contact to the worker")...)
			effects = append(effects, c.fenceEffect(w))
		}
	}
	return append(effects, c.decide(now)...)
}

func without(all, drop []uint64) []uint64 {
	if len(drop) == 0 {
		return all
	}
	dropped := make(map[uint64]bool, len(drop))
	for _, s := range drop {
		dropped[s] = true
	}
	kept := all[:0]
	for _, s := range all {
		if !dropped[s] {
			kept = append(kept, s)
		}
	}
	return kept
}
