package instance

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/ownership"
	"github.com/lentiltide/lentiltide/version/rack"
	"github.com/lentiltide/lentiltide/worker"
)

const (
	// rackTickInterval is the time between checks for expired leases.
	rackTickInterval = 250 * time.Millisecond
	// syncLongPoll is the duration of the long poll in a synchronisation request to a worker.
	syncLongPoll = time.Second
	// workerTimeout bounds a request to a worker, not counting the long poll.
	workerTimeout = 2 * time.Second
)

// rackRunner serves one rack for one epoch: it executes the effects of the rack's core.
type rackRunner struct {
	in   *Instance
	core *rack.Core
	// ownerCondition requires the partition row to be unchanged, so that writes fail once the rack has another owner.
	ownerCondition store.Condition
	ctx            context.Context
	cancel         context.CancelFunc

	// recordLock is held while the recorded workers are read or written. It protects recordedWorkers, which are the workers
	// in the row of the rack, and recordedVersion, the version of that row.
	recordLock      channelMutex
	recordedWorkers map[string]store.Member
	recordedVersion uint64

	// mu protects the maps below, whose keys are worker ids.
	mu     sync.Mutex
	agents map[string]worker.Agent
	// agentAddresses are the addresses at which the agents were dialled.
	agentAddresses map[string]string
	// fencing and syncing contain the workers for which fence or sync is running.
	fencing map[string]bool
	syncing map[string]bool
}

func (in *Instance) acquireRack(name string, epoch, rowVersion uint64) {
	policy := in.rackPolicy(in.config.Current().Document)
	r := &rackRunner{
		in: in, core: rack.New(in.opts.Clock.Now(), name, epoch, policy),
		ownerCondition: store.Condition{Key: "partition/" + ownership.Rack(name).String(), Version: rowVersion},
		agents:         map[string]worker.Agent{}, agentAddresses: map[string]string{}, fencing: map[string]bool{}, syncing: map[string]bool{},
	}
	r.recordLock = make(channelMutex, 1)
	r.ctx, r.cancel = context.WithCancel(in.ctx)
	in.spawn(r.serve)
}

// serve reads the epochs of the intent partitions and the recorded workers, and only then registers the rack for messages. It
// fences the workers and ticks the core until r.ctx is cancelled.
func (r *rackRunner) serve() {
	for r.fenceIntents() != nil {
		if !r.in.sleep(r.ctx, retryDelay) {
			return
		}
	}
	for r.loadRecordedWorkers() != nil {
		if !r.in.sleep(r.ctx, retryDelay) {
			return
		}
	}
	r.in.mu.Lock()
	if r.ctx.Err() == nil {
		r.in.racks[r.core.ID()] = r
	}
	r.in.mu.Unlock()
	r.setMembers(r.in.rackMembers(r.core.ID()))
	r.in.runEvery(r.ctx, rackTickInterval, func() {
		r.core.ConfirmOwnership(r.in.owners.LastRenewal())
		r.execute(r.core.Tick(r.in.opts.Clock.Now()))
		r.ensureSync()
	})
}

// ensureSync starts a synchronisation goroutine for each fenced worker that has none.
func (r *rackRunner) ensureSync() {
	r.mu.Lock()
	ids := make([]string, 0, len(r.agents))
	for id := range r.agents {
		ids = append(ids, id)
	}
	r.mu.Unlock()
	for _, id := range ids {
		if _, ok := r.core.SyncRequest(id, 0); ok && r.beginWork(r.syncing, id) {
			r.in.spawn(func() { r.sync(id) })
		}
	}
}

// fenceIntents raises the epochs of the intent partitions in the core to those in the table.
func (r *rackRunner) fenceIntents() error {
	const prefix = "partition/intent/"
	rows, err := r.in.opts.Table.Scan(r.ctx, prefix)
	if err != nil {
		return err
	}
	for _, row := range rows {
		n, err := strconv.Atoi(strings.TrimPrefix(row.Key, prefix))
		var owner ownership.Owner
		if err != nil || json.Unmarshal(row.Value, &owner) != nil {
			continue
		}
		if _, _, err := r.core.FenceIntent(r.in.opts.Clock.Now(), n, owner.Epoch); err != nil {
			return err
		}
	}
	return nil
}

// setMembers sets the workers of the rack in the core: those of the platform's list and those that an owner of the rack has
// recorded. A worker is used only after it was recorded.
func (r *rackRunner) setMembers(members []store.Member) {
	r.recordLock.Lock()
	defer r.recordLock.Unlock()
	members = r.recordWorkers(members)
	r.mu.Lock()
	for _, m := range members {
		if agent := r.agents[m.ID]; agent == nil || r.agentAddresses[m.ID] != m.Address {
			r.agents[m.ID], r.agentAddresses[m.ID] = r.in.opts.Workers.Dial(m.Address), m.Address
		}
	}
	r.mu.Unlock()
	r.execute(r.core.SetMembers(r.in.opts.Clock.Now(), members))
}

// hasWorkers reports whether the rack has a recorded worker, which may be used.
func (r *rackRunner) hasWorkers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.agents) > 0
}

func (r *rackRunner) agent(id string) worker.Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agents[id]
}

// execute runs each effect on a goroutine of its own.
func (r *rackRunner) execute(effects []rack.Effect) {
	for _, e := range effects {
		if r.ctx.Err() != nil {
			return
		}
		switch e := e.(type) {
		case rack.ClaimTask:
			r.in.spawn(func() { r.claim(e) })
		case rack.StartTask:
			r.in.spawn(func() { r.start(e) })
		case rack.StopTask:
			r.in.spawn(func() { r.stop(e) })
		case rack.FenceWorker:
			r.in.spawn(func() { r.fence(e) })
		case rack.ReportStarted:
			r.in.spawn(func() { r.reportStarted(e) })
		case rack.ReportOutcome:
			r.in.spawn(func() { r.reportOutcome(e) })
		}
	}
}

// claim repeats a claim until the owner of the intent partition answers. Claims are idempotent: the answer to a repeated
// claim is the same, so a lost answer does no harm.
func (r *rackRunner) claim(e rack.ClaimTask) {
	req := &peerpb.Request{Body: &peerpb.Request_Claim{Claim: &peerpb.Claim{
		Partition: uint32(e.Task.Partition), Task: string(e.Task.ID), Rack: r.core.ID(), RackEpoch: r.core.Epoch(),
	}}}
	for {
		reply, err := r.in.callOwner(r.ctx, ownership.Intent(e.Task.Partition), req)
		if err == nil {
			claim := reply.GetClaim()
			r.execute(r.core.ClaimResult(r.in.opts.Clock.Now(), e.Task.ID, claim.GetGranted(), peer.TokenFromProto(claim.GetToken())))
			return
		}
		if !r.in.sleep(r.ctx, retryDelay) {
			return
		}
	}
}

// start sends a start command to a worker once, unless the rack may no longer renew leases.
func (r *rackRunner) start(e rack.StartTask) {
	ctx, cancel := context.WithTimeout(r.ctx, workerTimeout)
	defer cancel()
	if !r.core.MayRenewLeases(r.in.opts.Clock.Now()) {
		r.execute(r.core.StartResult(r.in.opts.Clock.Now(), e.Request.Task.ID, e.Request.Token, verdict.NotRun))
		return
	}
	_, err := r.agent(e.Worker).Start(ctx, e.Request)
	r.execute(r.core.StartResult(r.in.opts.Clock.Now(), e.Request.Task.ID, e.Request.Token, verdict.Of(err)))
}

// stop repeats a stop command until the worker has accepted it.
func (r *rackRunner) stop(e rack.StopTask) {
	for {
		ctx, cancel := context.WithTimeout(r.ctx, workerTimeout)
		err := r.agent(e.Worker).Stop(ctx, e.Request)
		cancel()
		if err == nil || !r.in.sleep(r.ctx, retryDelay) {
			return
		}
	}
}

// fence raises the epoch at a worker once and then starts its synchronisation.
func (r *rackRunner) fence(e rack.FenceWorker) {
	if !r.beginWork(r.fencing, e.Worker) {
		return
	}
	defer r.endWork(r.fencing, e.Worker)
	ctx, cancel := context.WithTimeout(r.ctx, workerTimeout)
	defer cancel()
	inv, err := r.agent(e.Worker).Fence(ctx, e.Request)
	if err != nil {
		return
	}
	r.execute(r.core.FenceResult(r.in.opts.Clock.Now(), e.Worker, inv))
	r.ensureSync()
}

// beginWork adds a worker to set, which is r.fencing or r.syncing. It returns false if the worker was in it already.
func (r *rackRunner) beginWork(set map[string]bool, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if set[id] {
		return false
	}
	set[id] = true
	return true
}

// endWork removes a worker from a set to which beginWork added it.
func (r *rackRunner) endWork(set map[string]bool, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(set, id)
}

// sync synchronises with a worker by long polls until the worker has to be fenced again or leases may no longer be renewed.
func (r *rackRunner) sync(id string) {
	defer r.endWork(r.syncing, id)
	for {
		req, ok := r.core.SyncRequest(id, syncLongPoll)
		if !ok || r.ctx.Err() != nil || !r.core.MayRenewLeases(r.in.opts.Clock.Now()) {
			return
		}
		ctx, cancel := context.WithTimeout(r.ctx, syncLongPoll+workerTimeout)
		reply, err := r.agent(id).Sync(ctx, req)
		cancel()
		if err != nil {
			if !r.in.sleep(r.ctx, retryDelay) {
				return
			}
			continue
		}
		r.execute(r.core.SyncResult(r.in.opts.Clock.Now(), id, req, reply))
	}
}

func (r *rackRunner) reportStarted(e rack.ReportStarted) {
	r.reportUntilDurable(&peerpb.Report{
		Partition: uint32(e.Task.Partition), Rack: r.core.ID(), RackEpoch: r.core.Epoch(), Started: true,
		Task: peer.TaskToProto(e.Task), Outcome: &peerpb.Outcome{
			Task: string(e.Task.ID), Token: peer.TokenToProto(e.Token), Worker: e.Worker,
		},
	})
}

func (r *rackRunner) reportOutcome(e rack.ReportOutcome) {
	durable := r.reportUntilDurable(&peerpb.Report{
		Partition: uint32(e.Task.Partition), Rack: r.core.ID(), RackEpoch: r.core.Epoch(),
		Task: peer.TaskToProto(e.Task), Outcome: peer.OutcomeToProto(e.Outcome),
	})
	if durable && e.Sequence > 0 {
		r.core.OutcomeDurable(e.Outcome.Worker, e.BootID, e.Sequence)
	}
}

// reportUntilDurable repeats a report until the owner of the intent partition has stored it durably. It returns false if
// this instance loses the rack before that.
func (r *rackRunner) reportUntilDurable(report *peerpb.Report) bool {
	for {
		req := &peerpb.Request{Body: &peerpb.Request_Report{Report: report}}
		reply, err := r.in.callOwner(r.ctx, ownership.Intent(int(report.GetPartition())), req)
		if err == nil && reply.GetReport().GetDurable() {
			return true
		}
		if !r.in.sleep(r.ctx, retryDelay) {
			return false
		}
	}
}

// sleep waits for d. It returns false if ctx is cancelled before that.
func (in *Instance) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-in.opts.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
