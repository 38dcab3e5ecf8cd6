package node

import (
	"context"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/version/cell"
)

const (
	// maxReplicatedJobs limits the completed jobs in the reply to a join, in bytes about 20 times as many.
	maxReplicatedJobs = 1024
	// maxReplicaJobs limits the completed jobs that an instance holds for the leader.
	maxReplicaJobs = 1 << 16
	// replicaAckDelay is the time until the next join after one that brought completed jobs: the next one acknowledges them.
	replicaAckDelay = 20 * time.Millisecond
	// replicaWait is how long a new leader that holds no completed jobs of its predecessor waits for those of others before it
	// starts recovered tasks. The others join it meanwhile.
	replicaWait = 400 * time.Millisecond
)

// completionReplica holds the completed jobs that a leader could not store yet, for the next leader. The mutex of the node protects
// it.
type completionReplica struct {
	// epoch is that of the leader; 0 means that there is no replica.
	epoch uint64
	// sequence is the number of the last job that the leader has sent.
	sequence uint64
	// jobs are the jobs with the sequence number up to which they were sent.
	jobs map[job.ID]uint64
	// handOver means that the leader has changed, so that the jobs are sent with the next join.
	handOver bool
}

// merge adds the jobs in a reply to a join and removes those that are durable.
func (r *completionReplica) merge(reply *peerpb.JoinReply) {
	for id, sequence := range r.jobs {
		if sequence <= reply.GetStoredSequence() {
			delete(r.jobs, id)
		}
	}
	if len(r.jobs)+len(reply.GetUnstoredJobs()) > maxReplicaJobs {
		// The leader does not report jobs beyond the sequence number as completed.
		return
	}
	for _, id := range reply.GetUnstoredJobs() {
		r.jobs[job.ID(id)] = reply.GetUnstoredSequence()
	}
	r.sequence = max(r.sequence, reply.GetUnstoredSequence())
}

// ids returns the jobs of the replica.
func (r *completionReplica) ids() []job.ID {
	ids := make([]job.ID, 0, len(r.jobs))
	for id := range r.jobs {
		ids = append(ids, id)
	}
	return ids
}

// joinRequest returns the request to join the leader.
func (n *Node) joinRequest() *peerpb.Join {
	join := &peerpb.Join{Instance: n.opts.Instance, Address: n.opts.PeerAddress, CpuShare: n.opts.CPUShare, LinkMbps: n.opts.LinkMbps}
	n.mu.Lock()
	defer n.mu.Unlock()
	join.ReplicatedEpoch, join.ReplicatedSequence = n.replica.epoch, n.replica.sequence
	if n.replica.handOver {
		for _, id := range n.replica.ids() {
			join.ReplicatedJobs = append(join.ReplicatedJobs, string(id))
		}
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
		if len(r.jobs) > 0 && len(join.GetReplicatedJobs()) == 0 {
			r.handOver = true
			return true
		}
		n.replica = completionReplica{epoch: reply.GetEpoch(), jobs: map[job.ID]uint64{}}
	}
	r.merge(reply)
	return len(reply.GetUnstoredJobs()) > 0
}

// replicate adds the completed jobs that are not durable to the reply to a join of a candidate, and records what the candidates
// hold.
func (l *leadership) replicate(join *peerpb.Join, reply *peerpb.JoinReply) {
	if ids := join.GetReplicatedJobs(); len(ids) > 0 && join.GetReplicatedEpoch() < l.epoch {
		l.adoptCompletions(join.GetInstance(), jobIDs(ids))
	}
	if !reply.GetCandidate() {
		l.recordReplica(join.GetInstance(), nil)
		return
	}
	after := uint64(0)
	if join.GetReplicatedEpoch() == l.epoch {
		after = join.GetReplicatedSequence()
	}
	l.recordReplica(join.GetInstance(), &after)
	unstored := l.core.UnstoredCompletions(after, maxReplicatedJobs, l.node.opts.Now())
	reply.UnstoredSequence, reply.StoredSequence = unstored.Sequence, unstored.StoredSequence
	for _, id := range unstored.Jobs {
		reply.UnstoredJobs = append(reply.UnstoredJobs, string(id))
	}
}

func jobIDs(ids []string) []job.ID {
	out := make([]job.ID, 0, len(ids))
	for _, id := range ids {
		out = append(out, job.ID(id))
	}
	return out
}

// adoptCompletions completes jobs that an instance holds for a former leader.
func (l *leadership) adoptCompletions(from string, ids []job.ID) {
	l.node.opts.Log.WithFields(map[string]any{
		"event": "completions_adopted", "epoch": l.epoch, "from": from, "jobs": len(ids),
	}).Info("completed jobs of a former leader received")
	l.core.AdoptCompletions(ids, l.node.opts.Now())
}

// requestJoins asks the candidates to join if completed jobs wait to be replicated.
func (l *leadership) requestJoins(ctx context.Context) {
	replicated, ok := l.replicatedSequence()
	if !ok || len(l.core.UnstoredCompletions(replicated, 1, l.node.opts.Now()).Jobs) == 0 {
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

// recordReplica records up to which sequence number a candidate holds the completed jobs; nil means that the instance is no
// candidate. Jobs that all candidates hold are replicated, whichever of them leads next.
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

// adoptReplica completes the jobs of this instance's own replica of its predecessor. Without one, as after a restart or if it was no
// candidate, it leaves the others some time to send theirs.
func (l *leadership) adoptReplica() {
	n := l.node
	n.mu.Lock()
	replicated := n.replica.epoch == l.predecessor.Epoch && n.candidate
	ids := n.replica.ids()
	n.mu.Unlock()
	if len(ids) > 0 {
		l.adoptCompletions(n.opts.Instance, ids)
	}
	if l.predecessor.Epoch != 0 && !l.predecessor.Resigned && !replicated {
		l.core.HoldRecovered(n.opts.Now() + replicaWait)
	}
}

// keepReplica makes the completed jobs that an ended leadership could not store the replica of this instance.
func (n *Node) keepReplica(l *leadership) {
	unstored := l.core.UnstoredCompletions(0, maxReplicaJobs, n.opts.Now())
	jobs := map[job.ID]uint64{}
	for _, id := range unstored.Jobs {
		jobs[id] = unstored.Sequence
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replica = completionReplica{epoch: l.epoch, sequence: unstored.Sequence, jobs: jobs}
}
