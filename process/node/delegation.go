package node

import (
	"cmp"
	"context"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

const (
	// defaultDelegateFrom is the default of Options.DelegateFrom. The calls to fewer workers cost a small instance less than a
	// tenth of its processor.
	defaultDelegateFrom = 100
	// coresPerWorker is the processor share that the delegates provide for each worker together. Few delegates make large
	// batches, which cost the leader less.
	coresPerWorker = 0.012
	// maxDelegates limits the number of delegates.
	maxDelegates = 32
	// callBatchDelay is how long calls and results wait for others to the same instance.
	callBatchDelay = 8 * time.Millisecond
	// delegatedCallTimeout is how much longer than its wait at the worker a delegated call may take. It covers the timeout of
	// the delegate's call and both batch delays.
	delegatedCallTimeout = 500 * time.Millisecond
	// delegateSuspension is how long no calls are delegated to an instance that returned no results.
	delegateSuspension = 3 * time.Second
	// maxDelegations limits how often a call is delegated that was not sent, or may be repeated, before the leader makes it itself.
	maxDelegations = 3
	// maxLateAllowance limits by how much the limit of a delegated call is extended because the leader was late.
	maxLateAllowance = 3 * time.Second
)

// delegatedWorkers makes the calls of a leader to the workers of a large cell through other instances, its delegates. The
// leader decides, and the connections to the workers and the encoding of their lists are the work of the delegates. All calls
// carry the leader's fencing token, and the deadlines of leases are readings of the workers' clocks, so that a call that a
// delegate makes late has no other effect than one that is late on the network.
type delegatedWorkers struct {
	node   *Node
	direct backend.Workers
	epoch  uint64
	// lateness is that of the leader, which handles results late when its processor is full.
	lateness *lateness

	mu sync.Mutex
	// known are the members by the name of the instance, with what is known about them as delegates; delegates are those that are
	// in use.
	known, delegates map[string]*delegate
	// members and workers are the arguments of the last call of setMembers.
	members map[string]member
	workers int
	// assigned are the delegates of workers by worker ID, as far as they were determined since the delegates changed.
	assigned map[string]*delegate
	pending  map[uint64]pendingCall
	lastID   uint64
	counts   callCounts
}

var _ backend.Workers = (*delegatedWorkers)(nil)

// delegate is an instance that makes calls to workers for the leader. The mutex of delegatedWorkers protects it.
type delegate struct {
	name, address string
	cpuShare      float64
	queue         []*peerpb.WorkerCall
	lastResultAt  cell.Instant
	// suspendedUntil is set after the instance returned no results.
	suspendedUntil cell.Instant
}

// pendingCall is a delegated call that waits for its result.
type pendingCall struct {
	delegate *delegate
	sentAt   cell.Instant
	// lost is the time that the leader had lost when the call was queued.
	lost time.Duration
	// repeatable means that the call may be made again while it is in flight.
	repeatable bool
	// result is buffered. It receives nil if the call has to be delegated again.
	result chan *peerpb.WorkerResult
}

func newDelegatedWorkers(n *Node, epoch uint64) *delegatedWorkers {
	return &delegatedWorkers{
		node: n, direct: n.opts.Workers, epoch: epoch, lateness: &lateness{now: n.opts.Now},
		known: map[string]*delegate{}, delegates: map[string]*delegate{}, assigned: map[string]*delegate{}, pending: map[uint64]pendingCall{},
	}
}

// setMembers chooses the delegates among the members: the largest instances that suffice for the number of workers. The map must not be
// modified afterwards.
func (d *delegatedWorkers) setMembers(members map[string]member, workers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.known, func(name string, _ *delegate) bool { _, present := members[name]; return !present })
	d.members, d.workers = members, workers
	d.updateDelegates()
}

// updateDelegates chooses the delegates among the members. Callers hold d.mu.
func (d *delegatedWorkers) updateDelegates() {
	chosen := map[string]*delegate{}
	if d.workers >= cmp.Or(d.node.opts.DelegateFrom, defaultDelegateFrom) {
		chosen = d.chooseDelegates(float64(d.workers)*coresPerWorker, d.node.opts.Now())
	}
	changed := len(chosen) != len(d.delegates)
	for name, c := range chosen {
		changed = changed || d.delegates[name] != c
	}
	if !changed {
		return
	}
	d.delegates = chosen
	clear(d.assigned)
	d.node.opts.Log.WithFields(map[string]any{
		"event": "delegates_chosen", "epoch": d.epoch, "delegates": len(chosen), "workers": d.workers,
	}).Info("delegates for the calls to workers chosen")
}

// chooseDelegates returns the largest members whose processor shares add up to cores and that are not suspended. Callers hold
// d.mu.
func (d *delegatedWorkers) chooseDelegates(cores float64, now cell.Instant) map[string]*delegate {
	var candidates []*delegate
	for name, m := range d.members {
		if name == d.node.opts.Instance || now-m.joinedAt > memberTTL {
			continue
		}
		c := d.known[name]
		if c == nil || c.address != m.address {
			c = &delegate{name: name, address: m.address, cpuShare: m.cpuShare}
			d.known[name] = c
		}
		if now >= c.suspendedUntil {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b *delegate) int {
		return cmp.Or(cmp.Compare(b.cpuShare, a.cpuShare), cmp.Compare(a.name, b.name))
	})
	chosen := map[string]*delegate{}
	for _, c := range candidates {
		if cores <= 0 || len(chosen) == maxDelegates {
			break
		}
		chosen[c.name] = c
		cores -= c.cpuShare
	}
	return chosen
}

// delegateOf returns the delegate of a worker, or nil if the leader calls it itself. Callers hold d.mu.
func (d *delegatedWorkers) delegateOf(worker string) *delegate {
	if len(d.delegates) == 0 {
		return nil
	}
	if chosen, ok := d.assigned[worker]; ok {
		return chosen
	}
	var chosen *delegate
	best := math.Inf(-1)
	for _, c := range d.delegates {
		// Weighted rendezvous hashing: a delegate gets workers in proportion to its size, and keeps them when others change.
		h := fnv.New64a()
		_, _ = h.Write([]byte(c.name))
		_, _ = h.Write([]byte(worker))
		fraction := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
		if score := -c.cpuShare / math.Log(fraction); score > best {
			chosen, best = c, score
		}
	}
	d.assigned[worker] = chosen
	return chosen
}

// Start implements backend.Workers.
func (d *delegatedWorkers) Start(ctx context.Context, command backend.StartCommand) (backend.Reply, error) {
	result, err := d.call(ctx, command.Worker, 0, func() *peerpb.WorkerCall {
		return &peerpb.WorkerCall{Call: &peerpb.WorkerCall_Start{Start: &peerpb.WorkerStart{
			Task: command.Task, Run: command.Run, Payload: command.Payload, LeaseDeadlineMs: command.LeaseDeadlineMS,
			Checkpoint: command.Checkpoint, Ticket: command.Ticket,
		}}}
	})
	if isUndelegated(err) {
		return d.direct.Start(ctx, command)
	}
	return replyOf(result), err
}

// Stop implements backend.Workers.
func (d *delegatedWorkers) Stop(ctx context.Context, command backend.Command) (backend.Reply, error) {
	result, err := d.call(ctx, command.Worker, 0, func() *peerpb.WorkerCall {
		return &peerpb.WorkerCall{Call: &peerpb.WorkerCall_Stop{Stop: &peerpb.WorkerStop{Task: command.Task, Run: command.Run}}}
	})
	if isUndelegated(err) {
		return d.direct.Stop(ctx, command)
	}
	return replyOf(result), err
}

// Throttle implements backend.Workers.
func (d *delegatedWorkers) Throttle(ctx context.Context, command backend.Command, percent int) (backend.Reply, error) {
	result, err := d.call(ctx, command.Worker, 0, func() *peerpb.WorkerCall {
		return &peerpb.WorkerCall{Call: &peerpb.WorkerCall_Throttle{Throttle: &peerpb.WorkerThrottle{
			Task: command.Task, Run: command.Run, Percent: int32(percent),
		}}}
	})
	if isUndelegated(err) {
		return d.direct.Throttle(ctx, command, percent)
	}
	return replyOf(result), err
}

// Poll implements backend.Workers. A poll whose delegate does not answer is repeated through others, so that a lost delegate does not
// count against its workers. A repeated poll does not wait at the worker.
func (d *delegatedWorkers) Poll(ctx context.Context, req backend.PollRequest) (backend.PollReply, error) {
	wait := req.Wait
	result, err := d.call(ctx, req.Worker, req.Wait, func() *peerpb.WorkerCall {
		call := &peerpb.WorkerCall{Call: &peerpb.WorkerCall_Poll{Poll: &peerpb.WorkerPoll{
			LeaseDeadlineMs: req.LeaseDeadlineMS, AcknowledgedCompletion: req.AcknowledgedCompletion, WaitMs: wait.Milliseconds(),
		}}}
		wait = 0
		return call
	})
	if isUndelegated(err) {
		req.Wait = wait
		return d.direct.Poll(ctx, req)
	}
	if err != nil {
		return backend.PollReply{}, err
	}
	return pollReplyOf(result), nil
}

var (
	// errUndelegated means that a call has no delegate and was not made, or may be repeated, so that the leader makes it itself.
	errUndelegated = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the worker has no delegate")
	// errDelegateSilent means that a delegate did not answer in time.
	errDelegateSilent = verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the delegate did not answer")
)

func isUndelegated(err error) bool { return err == error(errUndelegated) }

// call delegates a call and waits for its result. build returns the message of each attempt. A call that was not sent is delegated
// again, and so is a poll without a result. wait is how long the worker may wait before it answers the first attempt. The error is
// errUndelegated if the leader has to make the call itself and errDelegateSilent if there was no answer in time; otherwise it is that of
// the delegate's call.
func (d *delegatedWorkers) call(ctx context.Context, worker backend.WorkerRef, wait time.Duration, build func() *peerpb.WorkerCall) (*peerpb.WorkerResult, error) {
	for range maxDelegations {
		if !d.hasDelegate(worker.ID) {
			// Without an attempt the leader makes the call as it is.
			break
		}
		call := build()
		call.Worker, call.Address, call.StartedMs = worker.ID, worker.Address, worker.StartedMS
		p, ok := d.enqueue(call)
		if !ok {
			break
		}
		result, err := d.awaitResult(ctx, call.Id, p, wait+delegatedCallTimeout)
		if result != nil || (err != nil && !p.repeatable) {
			return result, err
		}
		if ctx.Err() != nil {
			return nil, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "wait for the delegate")
		}
		wait = 0
	}
	d.counts.direct.Add(1)
	return nil, errUndelegated
}

// awaitResult waits for the result of a call for a time, in which the time that the leader was late does not count. The result is nil
// without an error if the call has to be delegated again.
func (d *delegatedWorkers) awaitResult(ctx context.Context, id uint64, p pendingCall, limit time.Duration) (*peerpb.WorkerResult, error) {
	defer d.forget(id)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	allowed := time.Duration(0)
	for {
		select {
		case result := <-p.result:
			if result == nil {
				return nil, nil
			}
			return result, peer.ErrorFromProto(result.GetError())
		case <-timer.C:
			if late := min(d.lateness.lost()-p.lost, maxLateAllowance); late > allowed {
				timer.Reset(late - allowed)
				allowed = late
				continue
			}
			d.counts.unanswered.Add(1)
			d.recordSilence(p.delegate, p.sentAt)
			return nil, errDelegateSilent
		case <-ctx.Done():
			return nil, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "wait for the delegate")
		}
	}
}

// hasDelegate reports whether the calls to a worker are delegated.
func (d *delegatedWorkers) hasDelegate(worker string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delegateOf(worker) != nil
}

// enqueue adds a call to the queue of its delegate, which is sent after callBatchDelay. ok is false if there is no delegate.
func (d *delegatedWorkers) enqueue(call *peerpb.WorkerCall) (p pendingCall, ok bool) {
	lost := d.lateness.lost()
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.delegateOf(call.Worker)
	if c == nil {
		return p, false
	}
	d.counts.delegated.Add(1)
	d.lastID++
	call.Id = d.lastID
	p = pendingCall{
		delegate: c, sentAt: d.node.opts.Now(), lost: lost, repeatable: call.GetPoll() != nil, result: make(chan *peerpb.WorkerResult, 1),
	}
	d.pending[call.Id] = p
	c.queue = append(c.queue, call)
	if len(c.queue) == 1 {
		time.AfterFunc(callBatchDelay, func() { d.node.opts.Panics.Run(placeBatch, func() { d.flush(c) }) })
	}
	return p, true
}

// flush sends the queued calls of a delegate. Calls that cannot be sent are delegated again.
func (d *delegatedWorkers) flush(c *delegate) {
	d.mu.Lock()
	calls := c.queue
	c.queue = nil
	d.mu.Unlock()
	message := &peerpb.Request{Body: &peerpb.Request_WorkerCalls{WorkerCalls: &peerpb.WorkerCalls{
		Epoch: d.epoch, Leader: d.node.opts.PeerAddress, Calls: calls,
	}}}
	ctx, cancel := context.WithTimeout(context.Background(), delegatedCallTimeout)
	defer cancel()
	if err := d.node.opts.Peers.Send(ctx, c.address, message); err != nil {
		d.handleSendFailure(c, calls, err)
	}
}

// handleSendFailure suspends a delegate that cannot be reached. The calls that were not sent are delegated again.
func (d *delegatedWorkers) handleSendFailure(c *delegate, calls []*peerpb.WorkerCall, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspend(c, err.Error())
	for _, call := range calls {
		if p, ok := d.pending[call.GetId()]; ok {
			d.delegateAgain(call.GetId(), p)
		}
	}
}

// delegateAgain ends the wait for the result of a call, which is delegated again. Callers hold d.mu.
func (d *delegatedWorkers) delegateAgain(id uint64, p pendingCall) {
	p.result <- nil
	delete(d.pending, id)
}

// recordSilence suspends a delegate that has returned nothing since a call was queued at sentAt.
func (d *delegatedWorkers) recordSilence(c *delegate, sentAt cell.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.lastResultAt < sentAt {
		d.suspend(c, "no results")
	}
}

// suspend stops using a delegate for a while. Its polls in flight are repeated through others, without waiting for their limits. Callers
// hold d.mu.
func (d *delegatedWorkers) suspend(c *delegate, reason string) {
	now := d.node.opts.Now()
	if now < c.suspendedUntil {
		return
	}
	c.suspendedUntil = now + delegateSuspension
	d.updateDelegates()
	for id, p := range d.pending {
		if p.delegate == c && p.repeatable {
			d.delegateAgain(id, p)
		}
	}
	d.node.opts.Log.WithFields(map[string]any{
		"event": "delegate_suspended", "epoch": d.epoch, "delegate": c.name, "reason": reason,
	}).Warn("delegate does not answer; its workers are called by others")
}

func (d *delegatedWorkers) forget(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, id)
}

// deliver passes results to the calls that wait for them.
func (d *delegatedWorkers) deliver(results *peerpb.WorkerResults) {
	if results.GetEpoch() != d.epoch {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.node.opts.Now()
	for _, r := range results.GetResults() {
		p, ok := d.pending[r.GetId()]
		if !ok {
			continue
		}
		p.delegate.lastResultAt = now
		p.result <- r
		delete(d.pending, r.GetId())
	}
}

func replyOf(r *peerpb.WorkerResult) backend.Reply {
	return backend.Reply{Refusal: backend.Refusal(r.GetRefusal()), ClockMS: r.GetClockMs()}
}

func pollReplyOf(r *peerpb.WorkerResult) backend.PollReply {
	reply := backend.PollReply{Reply: replyOf(r), StartedMS: r.GetStartedMs()}
	for _, item := range r.GetRunning() {
		reply.Running = append(reply.Running, backend.ActiveRun{
			Task: item.GetTask(), Run: item.GetRun(), Checkpoint: item.GetCheckpoint(), ProgressPercent: int(item.GetPercent()), Load: item.GetLoad(),
		})
	}
	for _, item := range r.GetFinished() {
		reply.Finished = append(reply.Finished, backend.FinishedRun{
			Number: item.GetNumber(), Task: item.GetTask(), Run: item.GetRun(), Result: backend.RunResult(item.GetResult()), Checkpoint: item.GetCheckpoint(),
		})
	}
	return reply
}
