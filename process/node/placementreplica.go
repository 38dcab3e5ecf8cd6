package node

import (
	"context"
	"maps"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// An instance that holds the starts of a leader keeps them by epoch, since a successor may be lost before its own starts are held. When it has
// handed them over it takes no more of earlier leaders: what a leader starts afterwards is not sent, and what it has sent is in the replica.

const (
	// maxHeldPlacements limits the starts of one leader that an instance holds. An entry takes about 150 bytes.
	maxHeldPlacements = 1 << 17
	// placementFetchTimeout limits the request of a new leader for the starts of its predecessor, which goes on while it reads its rows. It sends
	// no starts meanwhile.
	placementFetchTimeout = 400 * time.Millisecond
)

// placementReplicas are the starts of leaders that an instance holds. The mutex of the node protects it.
type placementReplicas struct {
	byEpoch map[uint64]*placementReplica
	// sealed is the epoch of the latest leader that has asked: starts of earlier ones are not taken any longer.
	sealed uint64
}

// placementReplica holds the starts of one leader.
type placementReplica struct {
	// sequence is the number of the last change that the replica has.
	sequence uint64
	workers  map[placementKey]string
}

type placementKey struct {
	task string
	run  int64
}

// handlePlacementUpdate applies changes to the replica of a leader.
func (n *Node) handlePlacementUpdate(update *peerpb.PlacementUpdate) (*peerpb.PlacementAck, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := &n.placements
	epoch := update.GetEpoch()
	if epoch < r.sealed || epoch < n.leader.row.Epoch || n.leadership != nil && epoch <= n.leadership.epoch {
		return nil, verdict.New(verdict.NotRun, verdict.CodeWrongOwner, "a later leader is known")
	}
	if err := checkPlacements(update.GetChanges()); err != nil {
		n.opts.Log.WithError(err).WithFields(map[string]any{"event": "placements_refused", "epoch": epoch}).Error("update of the starts of the leader refused")
		delete(r.byEpoch, epoch)
		return nil, err
	}
	if r.byEpoch == nil {
		r.byEpoch = map[uint64]*placementReplica{}
	}
	maps.DeleteFunc(r.byEpoch, func(e uint64, _ *placementReplica) bool { return e < update.GetCoveredEpoch() })
	replica := r.byEpoch[epoch]
	switch {
	case update.GetSnapshot() && (replica == nil || update.GetSequence() >= replica.sequence):
		replica = &placementReplica{workers: map[placementKey]string{}}
		r.byEpoch[epoch] = replica
		replica.apply(update)
	case replica == nil || update.GetAfter() > replica.sequence:
		return &peerpb.PlacementAck{NeedsSnapshot: true}, nil
	case update.GetAfter() == replica.sequence:
		replica.apply(update)
	}
	if len(replica.workers) > maxHeldPlacements {
		delete(r.byEpoch, epoch)
		n.opts.Log.WithFields(map[string]any{"event": "placements_refused", "epoch": epoch, "placements": len(replica.workers)}).Error("the leader has too many starts to hold")
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "more than %d starts", maxHeldPlacements)
	}
	return &peerpb.PlacementAck{Sequence: replica.sequence}, nil
}

// checkPlacements returns an error if a change names no run of a task.
func checkPlacements(changes []*peerpb.PlacementChange) error {
	for _, c := range changes {
		if c.GetTask() == "" || c.GetRun() <= 0 {
			return verdict.New(verdict.NotRun, verdict.CodeInvalid, "a change without a task or a run number")
		}
	}
	return nil
}

func (r *placementReplica) apply(update *peerpb.PlacementUpdate) {
	for _, c := range update.GetChanges() {
		key := placementKey{c.GetTask(), c.GetRun()}
		if c.GetWorker() == "" {
			delete(r.workers, key)
			continue
		}
		r.workers[key] = c.GetWorker()
	}
	r.sequence = update.GetSequence()
}

// handlePlacementFetch hands over the starts of a former leader to its successor.
func (n *Node) handlePlacementFetch(fetch *peerpb.PlacementFetch) *peerpb.HeldPlacements {
	placements, found := n.sealPlacements(fetch.GetEpoch(), fetch.GetSuccessor())
	reply := &peerpb.HeldPlacements{Found: found}
	for _, p := range placements {
		reply.Placements = append(reply.Placements, placementToProto(p, false))
	}
	return reply
}

// sealPlacements returns the starts of a former leader that this instance holds. From then on it takes none of leaders before the successor.
func (n *Node) sealPlacements(epoch, successor uint64) (placements []cell.TaskPlacement, found bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.placements.sealed = max(n.placements.sealed, successor)
	replica := n.placements.byEpoch[epoch]
	if replica == nil {
		return nil, false
	}
	for key, worker := range replica.workers {
		placements = append(placements, cell.TaskPlacement{Task: key.task, Run: key.run, Worker: worker})
	}
	return placements, true
}

func placementToProto(p cell.TaskPlacement, ended bool) *peerpb.PlacementChange {
	out := &peerpb.PlacementChange{Task: p.Task, Run: p.Run, Worker: p.Worker}
	if ended {
		out.Worker = ""
	}
	return out
}

// fetchedPlacements are the starts of a former leader, as an instance has handed them over.
type fetchedPlacements struct {
	found      bool
	from       string
	placements []cell.TaskPlacement
	// at is when the answer arrived, and took how long it took. From then on the former leader gets no answers from the holder.
	at   cell.Instant
	took time.Duration
}

// startFetchingPlacements requests the starts of the former leader from the instances that hold them. Nothing is sent on the channel but the
// outcome.
func (l *leadership) startFetchingPlacements(ctx context.Context) <-chan fetchedPlacements {
	out := make(chan fetchedPlacements, 1)
	startedAt := l.node.opts.Now()
	go func() {
		fetched := fetchedPlacements{}
		l.guard(func() { fetched = l.fetchPlacements(ctx) })
		fetched.at = l.node.opts.Now()
		fetched.took = fetched.at - startedAt
		out <- fetched
	}()
	return out
}

// loadPlacements passes the starts of the former leader to the scheduler, whose rows are loaded. It reports whether they are known.
func (l *leadership) loadPlacements(fetched fetchedPlacements) bool {
	if fetched.found {
		l.core.LoadPlacements(fetched.placements, l.node.opts.Now())
	}
	if fetched.found && l.inherited.Epoch == l.predecessor.Epoch {
		l.endFormerLeader(l.predecessor.Instance, fetched.at+holderContactTimeout+holderContactMargin)
	}
	l.node.opts.Log.WithFields(map[string]any{
		"event": "placements_read", "epoch": l.epoch, "of_epoch": l.inherited.Epoch, "holders": len(l.inherited.Holders), "from": fetched.from,
		"found": fetched.found, "placements": len(fetched.placements), "took_ms": fetched.took.Milliseconds(),
	}).Info("starts of the former leader")
	return fetched.found
}

// fetchPlacements returns the starts of the former leader from this instance or from one of those that hold them.
func (l *leadership) fetchPlacements(ctx context.Context) fetchedPlacements {
	n, cover := l.node, l.inherited
	own, ownFound := n.sealPlacements(cover.Epoch, l.epoch)
	if _, holds := cover.Holders[n.opts.Instance]; holds && ownFound {
		return fetchedPlacements{found: true, from: n.opts.Instance, placements: own}
	}
	ctx, cancel := context.WithTimeout(ctx, placementFetchTimeout)
	defer cancel()
	answers := make(chan fetchedPlacements, len(cover.Holders))
	for name, address := range cover.Holders {
		go func() {
			answer := fetchedPlacements{}
			l.guard(func() { answer = l.fetchPlacementsFrom(ctx, name, address) })
			answers <- answer
		}()
	}
	for range cover.Holders {
		if answer := <-answers; answer.found {
			return answer
		}
	}
	return fetchedPlacements{}
}

// fetchPlacementsFrom requests the starts of the former leader from one instance.
func (l *leadership) fetchPlacementsFrom(ctx context.Context, name, address string) fetchedPlacements {
	request := &peerpb.PlacementFetch{Epoch: l.inherited.Epoch, Successor: l.epoch}
	reply, err := l.node.opts.Peers.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_PlacementFetch{PlacementFetch: request}})
	if err != nil {
		l.node.opts.Log.WithError(err).WithFields(map[string]any{"event": "placements_not_read", "epoch": l.epoch, "holder": name}).Info("no starts from a holder")
		return fetchedPlacements{}
	}
	held := reply.GetHeldPlacements()
	if err := checkPlacements(held.GetPlacements()); err != nil {
		l.node.opts.Log.WithError(err).WithFields(map[string]any{"event": "placements_refused", "epoch": l.epoch, "holder": name}).Error("starts of the former leader refused")
		return fetchedPlacements{}
	}
	out := fetchedPlacements{found: held.GetFound(), from: name}
	for _, p := range held.GetPlacements() {
		out.placements = append(out.placements, cell.TaskPlacement{Task: p.GetTask(), Run: p.GetRun(), Worker: p.GetWorker()})
	}
	return out
}
