package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/version/cell"
)

// leadership is the state of the period, with its own epoch, in which this instance is the leader.
type leadership struct {
	node        *Node
	epoch       uint64
	row         leaderRow
	rowVersion  uint64
	predecessor leaderRow
	// closed are the workers that the leader before had closed, and listed those that the newest renewal lists. Only the writer uses listed.
	closed, listed map[string]cell.ClosedWorker
	// inherited says who holds the starts of the leader before, and cover replicates those of this leadership.
	inherited placementCover
	cover     *startCover
	// former are the leaders before. mu protects it once the leadership has begun.
	former  formerLeaders
	core    *cell.Core
	workers *delegatedWorkers

	// writeVersion is the version of the row with the id of the newest write. Each write is conditional on it, so that a
	// write whose answer was lost cannot overwrite a later one. writeCount numbers the writes of the leadership.
	writeVersion uint64
	writeCount   uint64
	// storedAt is when the last durable write was sent, at first the takeover; renewedAt is when the last one with the renewal row was sent.
	storedAt, renewedAt cell.Instant
	// confirmedAt is storedAt in nanoseconds, for all goroutines.
	confirmedAt atomic.Int64
	suspended   bool
	// batchLimit limits the rows of the next write; it is lowered after the store has refused one, to find the row at fault.
	batchLimit int

	mu sync.Mutex
	// loaded is set once all rows were read.
	loaded bool
	// resultsHeldUntil is until when the leadership waits for results of its predecessors that other instances hold.
	resultsHeldUntil cell.Instant
	// hasFormerFleetRow means that the row at formerFleetKey exists. Only load and, once loaded is set, the writer use it.
	hasFormerFleetRow bool
	// members are the instances that have joined, by name.
	members map[string]member
	// membersChanged is set when a member has joined, or has joined again after some time or with other properties.
	membersChanged atomic.Bool
	// waitingCounts are the counts of waiting jobs by queue as of waitingCountedAt. The map is not modified after it is set.
	waitingCounts    map[string]uint32
	waitingCountedAt cell.Instant
	// finalStates are those that were read from the store while the leader could not write; see keepFinalState.
	finalStates map[job.ID]job.State
	// refusals are the refusals of jobs that are stored, by the key of the job row.
	refusals map[backend.RowKey]storedRefusal
	// loggedUnusable holds the keys of the registry entries that were logged as ignored.
	loggedUnusable map[string]struct{}
	// maxOtherMembers is the largest number of other instances in this leadership, lowered when an isolation was reported.
	// Only runScheduler uses it.
	maxOtherMembers int
	// removalLock prevents the removal of expired rows while a table is read again: a row that the read still returned would
	// be added as a new one after its removal.
	removalLock sync.RWMutex
	// commandSlots holds an entry for each start or stop in flight.
	commandSlots chan struct{}
	// steppingDown is set when this small leader resigns in favor of a larger instance. Only runScheduler uses it.
	steppingDown bool

	// The versions up to which the feeds were read, each used by one loop.
	jobsFeedVersion, cancelsFeedVersion, workersFeedVersion uint64

	// resigning requests the writer to resign the leadership; resigned is closed when it has tried.
	resigning atomic.Bool
	resigned  chan struct{}
	// failed is set after a panic.
	failed atomic.Bool

	cancel func()
}

const (
	// maxBatchRows limits the rows of one write of progress; the table service allows 100 entries.
	maxBatchRows = 80
	// minWriteInterval is the shortest time between writes of progress, so that several completions share one.
	minWriteInterval = 12 * time.Millisecond
	// maxInFlightCommands limits the starts and stops in flight. A backlog that is sent all at once would keep a small CPU
	// busy for longer than the timeout of a command, so that all of them would count as unanswered.
	maxInFlightCommands = 48
	// slotTTL is the longest time for which a command occupies a slot. A healthy worker answers within a few milliseconds,
	// and waiting for a silent one takes no CPU time.
	slotTTL = 100 * time.Millisecond
	// minStepInterval is the shortest time between two scheduling rounds.
	minStepInterval = 2 * time.Millisecond
	// maxStepInterval is the longest time between two scheduling rounds.
	maxStepInterval = 50 * time.Millisecond
)

// lead runs the leadership until it is lost or resigned, or ctx ends.
func (n *Node) lead(ctx context.Context, l *leadership) {
	ctx, l.cancel = context.WithCancel(ctx)
	defer l.cancel()
	now := n.opts.Now()
	l.members = map[string]member{}
	l.commandSlots = make(chan struct{}, maxInFlightCommands)
	l.resigned = make(chan struct{})
	l.loggedUnusable, l.refusals = map[string]struct{}{}, map[backend.RowKey]storedRefusal{}
	l.batchLimit = maxBatchRows
	l.workers = newDelegatedWorkers(n, l.epoch)
	l.core = cell.New(cell.Options{
		Epoch: l.epoch, LeaseDuration: n.opts.Lease, MaxLease: n.opts.MaxLease, LeaseExtension: l.leaseExtension(now), ClosedWorkers: l.closed,
		StartsRecordedSince: l.row.StartsRecordedSince, StopTimeout: n.opts.StopTimeout, Retention: n.opts.Retention, MemoryBytes: n.opts.JobMemoryBytes, OnDecision: n.opts.OnDecision,
	}, now)
	l.cover = newStartCover(l, l.inherited)
	l.cover.updateGate()
	l.core.AllowCommandsUntil(l.commandsUntil())
	l.confirmedAt.Store(int64(l.storedAt))
	n.mu.Lock()
	n.leadership = l
	cfg, waves := n.config, slices.Clone(n.waves)
	n.mu.Unlock()
	l.guard(func() {
		l.core.SetConfig(cfg)
		for _, w := range waves {
			l.core.SetWave(w, now)
		}
	})
	n.opts.Log.WithFields(map[string]any{
		"event": "leadership_taken", "epoch": l.epoch, "previous": l.predecessor.Instance, "resigned": l.predecessor.Resigned,
	}).Info("leadership taken")
	l.run(ctx)
	l.core.EndCommands()
	members := l.memberAddresses(formerMemberRetention)
	n.keepReplica(l)
	n.mu.Lock()
	n.leadership, n.commandsEndedAt = nil, n.opts.Now()
	n.members = members
	n.leader.feedPositionKnown = false
	n.mu.Unlock()
	n.opts.Log.WithFields(map[string]any{"event": "leadership_ended", "epoch": l.epoch}).Info("leadership ended")
}

// run starts the loops of the leadership and waits until they end.
func (l *leadership) run(ctx context.Context) {
	var loops sync.WaitGroup
	startLoop := func(f func(context.Context)) {
		loops.Add(1)
		go func() {
			defer loops.Done()
			l.guard(func() { f(ctx) })
		}()
	}
	startLoop(l.writeUntilEnd)
	startLoop(l.workers.lateness.run)
	fetched := l.startFetchingPlacements(ctx)
	loaded := false
	l.guard(func() { loaded = l.load(ctx) })
	if loaded {
		startLoop(func(ctx context.Context) { l.cover.begin(l.loadPlacements(<-fetched)) })
		startLoop(l.cover.run)
		startLoop(l.followJobs)
		startLoop(l.followCancels)
		startLoop(l.followWorkers)
		startLoop(l.runScheduler)
		startLoop(l.removeExpired)
		startLoop(l.followMachines)
	}
	loops.Wait()
}

// runScheduler runs the scheduling rounds, executes the actions of each, and polls every worker.
func (l *leadership) runScheduler(ctx context.Context) {
	polls := workerPolls{leadership: l, running: map[string]struct{}{}}
	load := newLoadRecorder(l)
	nextMemberCheck, nextFullCheck, nextJoinRequest := l.node.opts.Now(), l.node.opts.Now(), l.node.opts.Now()
	for ctx.Err() == nil {
		select {
		case <-l.core.Wake():
		case <-time.After(maxStepInterval):
		case <-ctx.Done():
			return
		}
		if l.core.Superseded() {
			l.cancel()
			return
		}
		if l.core.Failed() {
			l.fail()
			return
		}
		if now := l.node.opts.Now(); now >= nextMemberCheck {
			nextMemberCheck = now + memberCheckInterval
			if l.membersChanged.Swap(false) || now >= nextFullCheck {
				nextFullCheck = now + fullMemberCheckInterval
				l.checkMembers(ctx)
			}
			if now >= nextJoinRequest {
				nextJoinRequest = now + joinRequestInterval
				l.requestJoins(ctx)
			}
			polls.start(ctx)
		}
		startedAt := l.node.opts.Now()
		actions := l.core.Step(startedAt, time.Now().UnixMilli())
		load.recordRound(startedAt, l.node.opts.Now())
		l.cover.wake()
		for _, action := range actions {
			go l.guard(func() { l.execute(ctx, action) })
		}
		pause(ctx, minStepInterval)
	}
}

// joinRequestInterval is the time between requests to the candidates to join.
const joinRequestInterval = 50 * time.Millisecond

// memberCheckInterval is the time between checks for instances and workers that have joined or left.
const memberCheckInterval = 25 * time.Millisecond

// fullMemberCheckInterval is the time between checks for members whose joins have become too old. In a large cell each check looks at
// hundreds of members.
const fullMemberCheckInterval = 100 * time.Millisecond

// checkMembers passes the instances that have joined to the scheduler, and resigns if another instance should lead.
func (l *leadership) checkMembers(ctx context.Context) {
	names := l.advisers()
	l.mu.Lock()
	members := maps.Clone(l.members)
	l.mu.Unlock()
	l.workers.setMembers(members, l.core.WorkerCount())
	if l.detectIsolation(len(names)-1) || l.detectLargerMember() {
		go l.resign(ctx)
	}
	l.core.SetAdvisers(names)
}

// workerPolls runs a loop of polls for each worker of the scheduler.
type workerPolls struct {
	leadership *leadership

	mu sync.Mutex
	// running holds the ids of the workers with a loop.
	running map[string]struct{}
	// started is the version of the set of workers whose loops were started, 0 if a loop has ended since.
	started uint64
}

// start starts the loops of workers that have none.
func (p *workerPolls) start(ctx context.Context) {
	if !p.isDue(p.leadership.core.WorkerSetVersion()) {
		return
	}
	for _, id := range p.leadership.core.WorkerIDs() {
		if !p.add(id) {
			continue
		}
		go func() {
			defer p.remove(id)
			p.leadership.guard(func() { p.leadership.pollWorker(ctx, id) })
		}()
	}
}

// isDue reports whether loops may be missing for a version of the set of workers, and records that they are started.
func (p *workerPolls) isDue(version uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := p.started != version
	p.started = version
	return due
}

// add reports whether the worker had no loop, and records that it has one now.
func (p *workerPolls) add(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.running[id]; ok {
		return false
	}
	p.running[id] = struct{}{}
	return true
}

func (p *workerPolls) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, id)
	p.started = 0
}

// execute executes one action of the scheduler and passes the result back to it.
func (l *leadership) execute(ctx context.Context, action cell.Action) {
	workers := l.workers
	switch a := action.(type) {
	case *cell.StartAction:
		l.startTask(ctx, a)
	case *cell.StopAction:
		release := l.acquireSlot(a.Command.Worker)
		reply, err := workers.Stop(ctx, a.Command)
		release()
		l.core.StopResult(a, reply, err, l.node.opts.Now())
	case *cell.PollAction:
		l.pollOnce(ctx, a.Worker)
	case *cell.ThrottleAction:
		_, err := workers.Throttle(ctx, a.Command, a.Percent)
		l.core.ThrottleResult(a, err, l.node.opts.Now())
	case *cell.AdviseAction:
		good, validity, err := l.requestAdvice(ctx, a)
		l.core.AdviceResult(a, good, validity, err, l.node.opts.Now())
	case *cell.LookupAction:
		found, err := l.lookUpJob(ctx, a.Job)
		l.core.LookupResult(a, found, err, l.node.opts.Now())
	case *cell.MaintainAction:
		refusal, err := l.maintain(ctx, a)
		l.core.MaintainResult(a, refusal, err, l.node.opts.Now())
	case *cell.WaveAction:
		l.core.WaveResult(a, l.reportWave(ctx, a))
	case *cell.ReadWaveAction:
		stored, err := l.readWave(ctx, a.Wave)
		l.core.WaveRead(a, stored, err, l.node.opts.Now())
	}
}

// startTask sends a start, unless the scheduler has withdrawn it while it waited for a slot. The wait for a slot does not
// count toward the timeout of the command.
func (l *leadership) startTask(ctx context.Context, a *cell.StartAction) {
	release := l.acquireSlot(a.Command.Worker)
	defer release()
	if !l.core.StartNeeded(a, l.node.opts.Now()) {
		l.core.StartWithdrawn(a, l.node.opts.Now())
		return
	}
	reply, err := l.workers.Start(ctx, a.Command)
	l.core.StartResult(a, reply, err, l.node.opts.Now())
}

// acquireSlot waits for a command slot and returns the function that releases it. The slot is released after slotTTL at the
// latest, so that commands to silent workers do not delay those to others. A delegated command needs no slot.
func (l *leadership) acquireSlot(worker backend.WorkerRef) (release func()) {
	if l.workers.hasDelegate(worker.ID) {
		return func() {}
	}
	l.commandSlots <- struct{}{}
	releaseSlot := sync.OnceFunc(func() { <-l.commandSlots })
	timer := time.AfterFunc(slotTTL, releaseSlot)
	return func() {
		timer.Stop()
		releaseSlot()
	}
}

// pollRetryDelay is the delay after a poll of a worker that failed or was suspended.
const pollRetryDelay = 150 * time.Millisecond

// ackTimeout is how long the next poll is delayed for completions to become durable, so that it can acknowledge them.
const ackTimeout = 150 * time.Millisecond

// pollWorker extends the leases of a worker and reads its inventory, periodically until the scheduler drops the worker.
func (l *leadership) pollWorker(ctx context.Context, id string) {
	now := l.node.opts.Now
	for ctx.Err() == nil {
		sent := now()
		req, suspended, ok := l.core.PreparePoll(id, sent)
		if !ok {
			return
		}
		if suspended {
			pause(ctx, pollRetryDelay)
			continue
		}
		reply, err := l.workers.Poll(ctx, req)
		if ctx.Err() != nil {
			return
		}
		l.core.PollResult(id, sent, reply, err, now())
		if err != nil || reply.Refusal != "" {
			pause(ctx, pollRetryDelay)
			continue
		}
		l.awaitAcks(ctx, id)
	}
}

// pollOnce polls a worker once, without waiting for a completion.
func (l *leadership) pollOnce(ctx context.Context, id string) {
	now := l.node.opts.Now
	sent := now()
	req, suspended, ok := l.core.PreparePoll(id, sent)
	if !ok || suspended {
		return
	}
	req.Wait = 0
	reply, err := l.workers.Poll(ctx, req)
	if ctx.Err() == nil {
		l.core.PollResult(id, sent, reply, err, now())
	}
}

// awaitAcks waits until the completions of a worker are durable, at most ackTimeout.
func (l *leadership) awaitAcks(ctx context.Context, id string) {
	deadline := time.NewTimer(ackTimeout)
	defer deadline.Stop()
	for {
		changed, pending := l.core.AcksChanged(id)
		if !pending {
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
