package faultmatrix

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// faultyPeers delivers messages from one instance to the others.
type faultyPeers struct {
	sim *simulation
	n   *node
}

// Call implements peer.Caller.
func (p *faultyPeers) Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Reply, error) {
	p.sim.mu.Lock()
	to := p.sim.nodes[address]
	p.sim.mu.Unlock()
	if to == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no instance at %s", address)
	}
	m := message{step: stepOfPeerRequest(req), from: p.n, to: to, content: contentOfPeerRequest(req)}
	if req.GetForward() != nil {
		m.swapGroup = "forward"
	}
	reply, err := exchange(p.sim, ctx, m, func(ctx context.Context) (*peerpb.Reply, error) {
		return to.core.HandlePeer(ctx, proto.Clone(req).(*peerpb.Request)), nil
	})
	if err != nil {
		return nil, err
	}
	return reply, peer.ErrorFromProto(reply.GetError())
}

// Send implements peer.Caller.
func (p *faultyPeers) Send(ctx context.Context, address string, req *peerpb.Request) error {
	p.sim.runAfter(0, func() { _, _ = p.Call(context.WithoutCancel(ctx), address, req) })
	return nil
}

// faultyTable is one instance's access to the table service.
type faultyTable struct {
	sim *simulation
	n   *node
}

// tableRequest delivers one request to the table service. It fails while the store is unavailable and takes 1.5 s longer
// while the store is slow.
func tableRequest[T any](t *faultyTable, ctx context.Context, s step, content string, send func(context.Context) (T, error)) (T, error) {
	t.sim.mu.Lock()
	down, slow := t.sim.storeOutages > 0, t.sim.storeSlowdowns > 0
	t.sim.mu.Unlock()
	if slow {
		sleep(ctx, 1500*time.Millisecond)
	}
	if down {
		var zero T
		return zero, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the store is down").WithRetryAfter(time.Second)
	}
	return exchange(t.sim, ctx, message{step: s, from: t.n, content: content}, send)
}

func (t *faultyTable) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	return tableRequest(t, ctx, t.sim.stepOfTxn(txn), contentOfTxn(txn), func(ctx context.Context) ([]uint64, error) { return t.sim.table.Commit(ctx, txn) })
}

func (t *faultyTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	return tableRequest(t, ctx, "", maskRandomIDs(fmt.Sprint("get", keys)), func(ctx context.Context) ([]store.Row, error) { return t.sim.table.Get(ctx, keys...) })
}

func (t *faultyTable) Scan(ctx context.Context, prefix string) ([]store.Row, error) {
	return tableRequest(t, ctx, "", "scan "+prefix, func(ctx context.Context) ([]store.Row, error) { return t.sim.table.Scan(ctx, prefix) })
}

// faultyMemberList is one instance's view of the platform's member list, which a fault can make stale.
type faultyMemberList struct {
	sim *simulation
	n   *node
}

func (l *faultyMemberList) List(context.Context) ([]store.Member, error) {
	if !l.n.awaitRunning() {
		return nil, context.Canceled
	}
	l.sim.mu.Lock()
	defer l.sim.mu.Unlock()
	if l.sim.staleMembers != nil {
		return l.sim.staleMembers, nil
	}
	return append([]store.Member(nil), l.sim.members...), nil
}

// faultyDialer connects one instance to the workers.
type faultyDialer struct {
	sim *simulation
	n   *node
}

func (d *faultyDialer) Dial(address string) worker.Agent {
	stub := d.sim.workers[address]
	var agent worker.Agent = &faultyAgent{sim: d.sim, n: d.n, stub: stub}
	if d.sim.mutate.agent != nil {
		agent = d.sim.mutate.agent(agent, stub)
	}
	return agent
}

// faultyAgent is one instance's connection to one worker.
type faultyAgent struct {
	sim  *simulation
	n    *node
	stub *workerStub
}

// message wraps a request to the worker.
func (a *faultyAgent) message(s step, req any) message {
	return message{step: s, from: a.n, worker: a.stub, content: contentOfWorkerRequest(req)}
}

func (a *faultyAgent) Fence(ctx context.Context, req worker.FenceRequest) (worker.Inventory, error) {
	return exchange(a.sim, ctx, a.message(stepTakeOver, req), func(ctx context.Context) (worker.Inventory, error) {
		return a.stub.agent.Fence(ctx, req)
	})
}

func (a *faultyAgent) Start(ctx context.Context, req worker.StartRequest) (worker.StartReply, error) {
	return exchange(a.sim, ctx, a.message(stepStart, req), func(ctx context.Context) (worker.StartReply, error) {
		reply, err := a.stub.agent.Start(ctx, req)
		if err == nil {
			a.sim.mu.Lock()
			a.sim.acceptedStarts[req.Task.ID] = acceptedStart{rack: req.Rack, token: req.Token}
			a.sim.mu.Unlock()
		}
		return reply, err
	})
}

func (a *faultyAgent) Sync(ctx context.Context, req worker.SyncRequest) (worker.SyncReply, error) {
	s := step("")
	if a.stub.agent.Busy() {
		s = stepRun
	}
	return exchange(a.sim, ctx, a.message(s, req), func(ctx context.Context) (worker.SyncReply, error) { return a.stub.agent.Sync(ctx, req) })
}

func (a *faultyAgent) Stop(ctx context.Context, req worker.StopRequest) error {
	s := stepCancel
	if req.Checkpoint {
		s = stepPreempt
	}
	_, err := exchange(a.sim, ctx, a.message(s, req), func(ctx context.Context) (struct{}, error) { return struct{}{}, a.stub.agent.Stop(ctx, req) })
	return err
}

func (a *faultyAgent) Throttle(ctx context.Context, req worker.ThrottleRequest) error {
	return a.stub.agent.Throttle(ctx, req)
}
