package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

const (
	// joinInterval is the time between joins. It is below maxWaitingJobsAge, since a join also returns the counts of waiting
	// jobs.
	joinInterval = 300 * time.Millisecond
	// joinRetryDelay is the delay after a failed join, for instance while a new leader loads its state.
	joinRetryDelay = 100 * time.Millisecond
	// joinTimeout limits a join. Several renewals of the leadership fall into it.
	joinTimeout = 450 * time.Millisecond
	// adviceTimeoutMargin is added to one and a half times the expected duration of a request for advice to get its timeout.
	adviceTimeoutMargin = 600 * time.Millisecond
)

// joinLeader joins the leader periodically. The replies contain what this instance answers to callers by itself.
func (n *Node) joinLeader(ctx context.Context) {
	wait := joinInterval
	for ctx.Err() == nil {
		select {
		case <-n.joinNow:
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		wait = joinInterval
		address := n.joinAddress()
		if address == "" {
			continue
		}
		call, cancel := context.WithTimeout(ctx, joinTimeout)
		join, sentAt := n.joinRequest(), n.opts.Now()
		reply, err := n.opts.Peers.Call(call, address, &peerpb.Request{Body: &peerpb.Request_Join{Join: join}})
		cancel()
		replicated := n.handleJoinReply(address, join, sentAt, reply, err)
		switch {
		case err != nil:
			wait = joinRetryDelay
		case replicated:
			wait = replicaAckDelay
		}
	}
}

// handleJoinReply applies the answer to a join. It reports whether the leader waits for the next join, to learn what this instance
// holds.
func (n *Node) handleJoinReply(address string, join *peerpb.Join, sentAt cell.Instant, reply *peerpb.Reply, err error) (replicated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// A leader that is still loading its state rejects the join, but it is reachable.
	lost := err != nil && (verdict.From(err).Code != verdict.CodeWrongOwner || address != n.leader.row.Address)
	if lost != n.leaderLost {
		n.leaderLost = lost
		n.opts.Log.WithFields(map[string]any{"event": "leader_contact", "leader": address, "lost": lost, "error": errText(err)}).Info("contact to the leader lost or restored")
	}
	if lost {
		n.updateLeaderHint(address, err)
		signal(n.checkNow)
	}
	if err != nil {
		return false
	}
	n.candidate = reply.GetJoin().GetCandidate()
	n.waitingJobs = reply.GetJoin().GetWaiting()
	if n.waitingJobs == nil {
		n.waitingJobs = map[string]uint32{}
	}
	n.waitingJobsReceivedAt = n.opts.Now()
	n.members = reply.GetJoin().GetMembers()
	n.recordAnnouncement(reply.GetJoin(), sentAt)
	return n.updateReplica(join, reply.GetJoin())
}

// joinAddress returns the leader's address or, if no leader is known or it does not answer, possibly that of a random
// member: it may know a new leader that this instance cannot read from the store.
func (n *Node) joinAddress() string {
	leader, _ := n.leaderAddress()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership != nil || (leader != "" && !n.leaderLost) || len(n.members) == 0 || rand.IntN(2) == 0 {
		return leader
	}
	return n.members[rand.IntN(len(n.members))]
}

// updateLeaderHint sets the hint to the leader that an instance named in its error, or clears the hint if the instance at
// that address does not answer. Callers hold n.mu.
func (n *Node) updateLeaderHint(address string, err error) {
	if owner := verdict.From(err).Owner; owner != "" {
		n.leaderHint = owner
		return
	}
	if address == n.leaderHint {
		n.leaderHint = ""
	}
}

// loadedLeadership returns the leadership that this instance holds, or nil if there is none or its state is not loaded yet.
func (n *Node) loadedLeadership() *leadership {
	l := n.currentLeadership()
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return nil
	}
	return l
}

// handlePeer handles a request of another instance.
func (n *Node) handlePeer(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
	reply := &peerpb.Reply{Id: req.GetId()}
	if err := n.answerPeer(ctx, req, reply); err != nil {
		reply.Error = peer.ErrorToProto(verdict.From(err))
	}
	return reply
}

func (n *Node) answerPeer(ctx context.Context, req *peerpb.Request, reply *peerpb.Reply) error {
	if body := req.GetAdvise(); body != nil {
		return n.handleAdvise(ctx, body, reply)
	}
	if page, err, ok := n.handleTables(ctx, req); ok {
		reply.Body = &peerpb.Reply_TablePage{TablePage: page}
		return err
	}
	switch body := req.GetBody().(type) {
	case *peerpb.Request_WorkerCalls:
		n.handleWorkerCalls(ctx, body.WorkerCalls)
		return nil
	case *peerpb.Request_ConfigFetch:
		reply.Body = &peerpb.Reply_ConfigUpdate{ConfigUpdate: n.handleConfigFetch(ctx, body.ConfigFetch)}
		return nil
	case *peerpb.Request_JoinNow:
		signal(n.joinNow)
		return nil
	case *peerpb.Request_PlacementUpdate:
		ack, err := n.handlePlacementUpdate(body.PlacementUpdate)
		reply.Body = &peerpb.Reply_PlacementAck{PlacementAck: ack}
		return err
	case *peerpb.Request_PlacementFetch:
		reply.Body = &peerpb.Reply_HeldPlacements{HeldPlacements: n.handlePlacementFetch(body.PlacementFetch)}
		return nil
	case *peerpb.Request_WorkerResults:
		if l := n.currentLeadership(); l != nil {
			l.workers.deliver(body.WorkerResults)
		}
		return nil
	}
	l := n.loadedLeadership()
	if l == nil {
		return n.notLeader()
	}
	switch body := req.GetBody().(type) {
	case *peerpb.Request_Join:
		if l.core.Failed() {
			// The sender keeps the results that it would hand over.
			return n.notLeader()
		}
		reply.Body = &peerpb.Reply_Join{Join: l.handleJoin(body.Join)}
	case *peerpb.Request_JobStored:
		l.applyNotification(job.ID(body.JobStored.GetJob()), body.JobStored.GetRecord())
	case *peerpb.Request_JobStatus:
		state := l.jobState(ctx, job.ID(body.JobStatus.GetJob()))
		reply.Body = &peerpb.Reply_JobStatus{JobStatus: &peerpb.JobStatusReply{State: string(state)}}
	default:
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "unknown request")
	}
	return nil
}

// notLeader returns the error for a request that only the leader can answer. It contains the address of the leader, if it is
// known.
func (n *Node) notLeader() error {
	e := verdict.New(verdict.NotRun, verdict.CodeWrongOwner, "this instance does not lead").WithRetryAfter(retryAfter)
	e.Owner, _ = n.leaderAddress()
	return e
}

// applyNotification applies a job, or with an empty record a cancellation, of which the instance that stored it notified the
// leader.
func (l *leadership) applyNotification(id job.ID, record []byte) {
	key := backend.RowKey{Key: string(id)}
	if len(record) == 0 {
		l.applyCancelRow(backend.Row{RowKey: key})
		return
	}
	l.applyJobRow(backend.Row{RowKey: key, Value: record}, nil)
}

// requestAdvice requests placement advice through the instance a.Adviser. It returns the advised workers with their tickets
// and the duration for which they are valid.
func (l *leadership) requestAdvice(ctx context.Context, a *cell.AdviseAction) ([]backend.Ticket, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, a.Expected+a.Expected/2+adviceTimeoutMargin)
	defer cancel()
	if a.Adviser == l.node.opts.Instance {
		return l.node.opts.Advisor.Advise(ctx, a.Step, a.Workers)
	}
	l.mu.Lock()
	address := l.members[a.Adviser].address
	l.mu.Unlock()
	reply, err := l.node.opts.Peers.Call(ctx, address, &peerpb.Request{
		Body: &peerpb.Request_Advise{Advise: &peerpb.Advise{Step: a.Step, Workers: a.Workers}},
	})
	if err != nil {
		return nil, 0, err
	}
	var good []backend.Ticket
	for _, g := range reply.GetAdvise().GetGood() {
		good = append(good, backend.Ticket{Worker: g.GetWorker(), Ticket: g.GetTicket()})
	}
	return good, time.Duration(reply.GetAdvise().GetValidityMs()) * time.Millisecond, nil
}

// handleAdvise requests advice from the placement policy on behalf of the leader.
func (n *Node) handleAdvise(ctx context.Context, req *peerpb.Advise, reply *peerpb.Reply) error {
	good, validity, err := n.opts.Advisor.Advise(ctx, req.GetStep(), req.GetWorkers())
	if err != nil {
		return err
	}
	out := &peerpb.AdviseReply{ValidityMs: validity.Milliseconds()}
	for _, g := range good {
		out.Good = append(out.Good, &peerpb.Ticket{Worker: g.Worker, Ticket: g.Ticket})
	}
	reply.Body = &peerpb.Reply_Advise{Advise: out}
	return nil
}
