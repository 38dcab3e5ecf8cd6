package node

import (
	"context"
	"maps"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/version/cell"
)

const (
	// maxReplicatedJobs limits the jobs in the reply to a join, in bytes about 20 times as many.
	maxReplicatedJobs = 1024
	// maxReplicaJobs limits the jobs that an instance holds for the leader.
	maxReplicaJobs = 1 << 16
	// replicaAckDelay is the time until the next join after one that brought results: the next one acknowledges them.
	replicaAckDelay = 20 * time.Millisecond
	// replicaWait is how long a new leader that holds no results of its predecessor waits for those of others before it
	// starts recovered tasks. The others join it meanwhile.
	replicaWait = 400 * time.Millisecond
)

// resultReplica holds the results that a leader could not store yet, for the next leader: completed jobs, and crashes of workers.
// The mutex of the node protects it.
type resultReplica struct {
	// epoch is that of the leader; 0 means that there is no replica.
	epoch uint64
	// sequence is the number of the last result that the leader has sent.
	sequence uint64
	// completed are the completed jobs with the sequence number up to which they were sent.
	completed map[job.ID]uint64
	// crashes is the progress of jobs with crashes of workers.
	crashes map[job.ID]replicatedProgress
	// handOver means that the leader has changed, so that the results are sent with the next join.
	handOver bool
	// whole means that the leader has sent all results of its own predecessors, and had waited for those that other instances held.
	whole bool
}

// replicatedProgress is the progress of a job with the sequence number up to which it was sent.
type replicatedProgress struct {
	sequence uint64
	data     []byte
}

func newResultReplica(epoch uint64) resultReplica {
	return resultReplica{epoch: epoch, completed: map[job.ID]uint64{}, crashes: map[job.ID]replicatedProgress{}}
}

// size returns the number of results.
func (r *resultReplica) size() int { return len(r.completed) + len(r.crashes) }

// merge adds the results in a reply to a join and removes those that are durable.
func (r *resultReplica) merge(reply *peerpb.JoinReply) {
	stored := reply.GetStoredSequence()
	maps.DeleteFunc(r.completed, func(_ job.ID, sequence uint64) bool { return sequence <= stored })
	maps.DeleteFunc(r.crashes, func(_ job.ID, p replicatedProgress) bool { return p.sequence <= stored })
	if r.size()+len(reply.GetUnstoredJobs())+len(reply.GetUnstoredCrashes()) > maxReplicaJobs {
		// The leader does not rely on results beyond the sequence number.
		return
	}
	for _, id := range reply.GetUnstoredJobs() {
		r.completed[job.ID(id)] = reply.GetUnstoredSequence()
	}
	for _, p := range reply.GetUnstoredCrashes() {
		r.crashes[job.ID(p.GetJob())] = replicatedProgress{reply.GetUnstoredSequence(), p.GetData()}
	}
	r.sequence = max(r.sequence, reply.GetUnstoredSequence())
	r.whole = reply.GetResultsWhole()
}

// carryOver adds the results of a replica for a former leader, which the leader has adopted. They are kept until the leader has stored
// what it had adopted: it may be lost before it sends them back.
func (r *resultReplica) carryOver(former resultReplica, adopted uint64) {
	for id := range former.completed {
		r.completed[id] = adopted
	}
	for id, p := range former.crashes {
		r.crashes[id] = replicatedProgress{adopted, p.data}
	}
}

// messages returns the results as they are sent to the leader.
func (r *resultReplica) messages() (completed []string, crashes []*peerpb.JobProgress) {
	for id := range r.completed {
		completed = append(completed, string(id))
	}
	for id, p := range r.crashes {
		crashes = append(crashes, &peerpb.JobProgress{Job: string(id), Data: p.data})
	}
	return completed, crashes
}

// joinRequest returns the request to join the leader.
func (n *Node) joinRequest() *peerpb.Join {
	join := &peerpb.Join{Instance: n.opts.Instance, Address: n.opts.PeerAddress, CpuShare: n.opts.CPUShare, LinkMbps: n.opts.LinkMbps, Zone: n.opts.Zone}
	n.mu.Lock()
	defer n.mu.Unlock()
	join.ReplicatedEpoch, join.ReplicatedSequence = n.replica.epoch, n.replica.sequence
	if n.leadership == nil {
		join.FollowsEpoch = n.leader.row.Epoch
		join.CommandsEndedMsAgo = (n.opts.Now() - n.commandsEndedAt).Milliseconds()
	}
	if n.replica.handOver {
		join.ReplicatedJobs, join.ReplicatedCrashes = n.replica.messages()
	}
	return join
}

// updateReplica updates the replica with the reply to a join. A replica of a former leader is kept until a later leader has received
// it. It reports whether the leader waits for the next join. Callers hold n.mu.
func (n *Node) updateReplica(join *peerpb.Join, reply *peerpb.JoinReply) (replicated bool) {
	r := &n.replica
	if reply.GetEpoch() < r.epoch {
		return false
	}
	if reply.GetEpoch() > r.epoch {
		if r.size() > 0 && len(join.GetReplicatedJobs())+len(join.GetReplicatedCrashes()) == 0 {
			r.handOver = true
			return true
		}
		former := n.replica
		n.replica = newResultReplica(reply.GetEpoch())
		r.carryOver(former, reply.GetAdoptedSequence())
	}
	r.merge(reply)
	return len(reply.GetUnstoredJobs())+len(reply.GetUnstoredCrashes()) > 0
}

// replicate adds the results that are not durable to the reply to a join of a candidate, and records what the candidates
// hold. Other instances learn up to which number the results are durable.
func (l *leadership) replicate(join *peerpb.Join, reply *peerpb.JoinReply) {
	if join.GetReplicatedEpoch() < l.epoch {
		l.adoptResults(join.GetInstance(), join.GetReplicatedJobs(), join.GetReplicatedCrashes())
	}
	after, limit := uint64(0), maxReplicatedJobs
	if join.GetReplicatedEpoch() == l.epoch {
		after = join.GetReplicatedSequence()
	}
	held := &after
	if !reply.GetCandidate() {
		// The instance gets no results. It keeps those that it has handed over until they are stored.
		limit, held = 0, nil
	}
	l.recordReplica(join.GetInstance(), held)
	unstored := l.core.UnstoredResults(after, limit, l.node.opts.Now())
	reply.UnstoredSequence, reply.StoredSequence = unstored.Sequence, unstored.StoredSequence
	reply.AdoptedSequence = unstored.AdoptedSequence
	reply.ResultsWhole = reply.GetCandidate() && l.resultsWhole(l.node.opts.Now()) &&
		max(unstored.Sequence, unstored.StoredSequence) >= unstored.AdoptedSequence
	for _, id := range unstored.Completed {
		reply.UnstoredJobs = append(reply.UnstoredJobs, string(id))
	}
	for _, p := range unstored.Crashes {
		reply.UnstoredCrashes = append(reply.UnstoredCrashes, &peerpb.JobProgress{Job: string(p.Job), Data: p.Data})
	}
}

func jobIDs(ids []string) []job.ID {
	out := make([]job.ID, 0, len(ids))
	for _, id := range ids {
		out = append(out, job.ID(id))
	}
	return out
}

// adoptResults passes the results that an instance holds for a former leader to the scheduler.
func (l *leadership) adoptResults(from string, completed []string, crashes []*peerpb.JobProgress) {
	if len(completed)+len(crashes) == 0 {
		return
	}
	l.node.opts.Log.WithFields(map[string]any{
		"event": "results_adopted", "epoch": l.epoch, "from": from, "completed": len(completed), "crashes": len(crashes),
	}).Info("results of a former leader received")
	now := l.node.opts.Now()
	l.core.AdoptCompletions(jobIDs(completed), now)
	for _, p := range crashes {
		if err := l.core.AdoptCrashes(job.ID(p.GetJob()), p.GetData(), now); err != nil {
			l.node.opts.Log.WithError(err).WithFields(map[string]any{"event": "replica_unreadable", "job": p.GetJob()}).Error("cannot decode replicated progress")
		}
	}
}

// requestJoins asks the candidates to join if results wait to be replicated.
func (l *leadership) requestJoins(ctx context.Context) {
	replicated, ok := l.replicatedSequence()
	if !ok || l.core.UnstoredResults(replicated, 1, l.node.opts.Now()).Empty() {
		return
	}
	for _, address := range l.candidateAddresses() {
		go l.guard(func() {
			// The next regular join replicates the jobs if the message is lost.
			_ = l.node.opts.Peers.Send(ctx, address, &peerpb.Request{Body: &peerpb.Request_JoinNow{JoinNow: &peerpb.JoinNow{}}})
		})
	}
}

// candidateAddresses returns the addresses of the candidates.
func (l *leadership) candidateAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var addresses []string
	for _, m := range l.members {
		if m.isCandidate(l.node.opts.Now()) {
			addresses = append(addresses, m.address)
		}
	}
	return addresses
}

// isCandidate reports whether a member has joined lately as a candidate.
func (m member) isCandidate(now cell.Instant) bool {
	return m.replica != nil && now-m.joinedAt <= memberTTL
}

// recordReplica records up to which sequence number a candidate holds the results; nil means that the instance is no
// candidate. Results that all candidates hold are replicated, whichever of them leads next.
func (l *leadership) recordReplica(name string, sequence *uint64) {
	l.mu.Lock()
	m := l.members[name]
	m.replica = sequence
	l.members[name] = m
	l.mu.Unlock()
	if replicated, ok := l.replicatedSequence(); ok {
		l.core.SetReplicated(replicated)
	}
}

// replicatedSequence returns the lowest sequence number that a candidate holds. ok is false if there is none.
func (l *leadership) replicatedSequence() (sequence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.node.opts.Now()
	for _, m := range l.members {
		if m.isCandidate(now) && (!ok || *m.replica < sequence) {
			sequence, ok = *m.replica, true
		}
	}
	return sequence, ok
}

// adoptReplica adopts the results in this instance's own replica of its predecessor. Unless that is whole, or the predecessor has stored
// all before it resigned, it leaves the others some time to send theirs.
func (l *leadership) adoptReplica() {
	n := l.node
	n.mu.Lock()
	epoch, whole := n.replica.epoch, n.replica.whole && n.candidate
	completed, crashes := n.replica.messages()
	n.mu.Unlock()
	l.adoptResults(n.opts.Instance, completed, crashes)
	replicated := epoch == l.predecessor.Epoch && whole
	waits := l.predecessor.Epoch != 0 && (l.predecessor.Unstored || !l.predecessor.Resigned && !replicated)
	if waits {
		until := n.opts.Now() + replicaWait
		l.core.HoldRecovered(until)
		l.mu.Lock()
		l.resultsHeldUntil = until
		l.mu.Unlock()
	}
	n.opts.Log.WithFields(map[string]any{
		"event": "replica_checked", "epoch": l.epoch, "predecessor_epoch": l.predecessor.Epoch, "replica_epoch": epoch, "whole": whole,
		"completed": len(completed), "crashes": len(crashes), "waits": waits,
	}).Info("own replica of the results of the former leader")
}

// resultsWhole reports whether the leadership does not wait for results of its predecessors any longer.
func (l *leadership) resultsWhole(now cell.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now >= l.resultsHeldUntil
}

// keepReplica makes the results that an ended leadership could not store the replica of this instance. A leadership that has not read its
// rows, or whose scheduler has failed, knows none: what the instance held before it stays.
func (n *Node) keepReplica(l *leadership) {
	if !l.isLoaded() || l.core.Failed() {
		return
	}
	unstored := l.core.AllUnstoredResults()
	replica := newResultReplica(l.epoch)
	replica.sequence, replica.whole = unstored.Sequence, l.resultsWhole(n.opts.Now())
	for _, id := range unstored.Completed {
		replica.completed[id] = unstored.Sequence
	}
	for _, p := range unstored.Crashes {
		replica.crashes[p.Job] = replicatedProgress{unstored.Sequence, p.Data}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replica = replica
}
