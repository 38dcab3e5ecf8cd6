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

// faultPeers carries messages between instances.
type faultPeers struct {
	w *world
	n *node
}

func (p *faultPeers) Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Reply, error) {
	p.w.mu.Lock()
	to := p.w.nodes[address]
	p.w.mu.Unlock()
	if to == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no instance at %s", address)
	}
	m := message{step: stepOfPeer(req), from: p.n, to: to, content: contentOfPeer(req)}
	if req.GetForward() != nil {
		m.kind = "forward"
	}
	reply, err := exchange(p.w, ctx, m, func(ctx context.Context) (*peerpb.Reply, error) {
		return to.core.HandlePeer(ctx, proto.Clone(req).(*peerpb.Request)), nil
	})
	if err != nil {
		return nil, err
	}
	return reply, peer.ErrorFromProto(reply.GetError())
}

// Send implements peer.Caller.
func (p *faultPeers) Send(ctx context.Context, address string, req *peerpb.Request) error {
	p.w.later(0, func() { _, _ = p.Call(context.WithoutCancel(ctx), address, req) })
	return nil
}

// faultTable is the table service as one instance sees it.
type faultTable struct {
	w *world
	n *node
}

// deliver delivers one request to the table service.
func deliver[T any](t *faultTable, ctx context.Context, s step, content string, do func(context.Context) (T, error)) (T, error) {
	t.w.mu.Lock()
	down, slow := t.w.storeDown > 0, t.w.storeSlow > 0
	t.w.mu.Unlock()
	if slow {
		sleep(ctx, 1500*time.Millisecond)
	}
	if down {
		var zero T
		return zero, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the store is down").After(time.Second)
	}
	return exchange(t.w, ctx, message{step: s, from: t.n, content: content}, do)
}

func (t *faultTable) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	return deliver(t, ctx, t.w.stepOfTxn(txn), contentOfTxn(txn), func(ctx context.Context) ([]uint64, error) { return t.w.table.Commit(ctx, txn) })
}

func (t *faultTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	return deliver(t, ctx, "", withoutIDs(fmt.Sprint("get", keys)), func(ctx context.Context) ([]store.Row, error) { return t.w.table.Get(ctx, keys...) })
}

func (t *faultTable) Scan(ctx context.Context, prefix string) ([]store.Row, error) {
	return deliver(t, ctx, "", "scan "+prefix, func(ctx context.Context) ([]store.Row, error) { return t.w.table.Scan(ctx, prefix) })
}

// faultList is the platform's list as one instance sees it.
type faultList struct {
	w *world
	n *node
}

func (l *faultList) List(context.Context) ([]store.Member, error) {
	if !l.n.pass() {
		return nil, context.Canceled
	}
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	if l.w.frozen != nil {
		return l.w.frozen, nil
	}
	return append([]store.Member(nil), l.w.members...), nil
}

// faultDialer reaches the workers from one instance.
type faultDialer struct {
	w *world
	n *node
}

func (d *faultDialer) Dial(address string) worker.Agent {
	b := d.w.workers[address]
	var agent worker.Agent = &faultAgent{w: d.w, n: d.n, b: b}
	if d.w.mutate.agent != nil {
		agent = d.w.mutate.agent(agent, b)
	}
	return agent
}

// faultAgent is one worker as one instance sees it.
type faultAgent struct {
	w *world
	n *node
	b *backend
}

// message returns the message that carries a request to the worker.
func (a *faultAgent) message(s step, req any) message {
	return message{step: s, from: a.n, worker: a.b, content: contentOf(req)}
}

func (a *faultAgent) Fence(ctx context.Context, req worker.FenceRequest) (worker.Inventory, error) {
	return exchange(a.w, ctx, a.message(stepTakeOver, req), func(ctx context.Context) (worker.Inventory, error) {
		return a.b.agent.Fence(ctx, req)
	})
}

func (a *faultAgent) Start(ctx context.Context, req worker.StartRequest) (worker.StartReply, error) {
	return exchange(a.w, ctx, a.message(stepStart, req), func(ctx context.Context) (worker.StartReply, error) {
		reply, err := a.b.agent.Start(ctx, req)
		if err == nil {
			a.w.mu.Lock()
			a.w.running[req.Task.ID] = runningTask{rack: req.Rack, token: req.Token}
			a.w.mu.Unlock()
		}
		return reply, err
	})
}

func (a *faultAgent) Sync(ctx context.Context, req worker.SyncRequest) (worker.SyncReply, error) {
	s := step("")
	if a.b.agent.Busy() {
		s = stepRun
	}
	return exchange(a.w, ctx, a.message(s, req), func(ctx context.Context) (worker.SyncReply, error) { return a.b.agent.Sync(ctx, req) })
}

func (a *faultAgent) Stop(ctx context.Context, req worker.StopRequest) error {
	s := stepCancel
	if req.Checkpoint {
		s = stepPreempt
	}
	_, err := exchange(a.w, ctx, a.message(s, req), func(ctx context.Context) (struct{}, error) { return struct{}{}, a.b.agent.Stop(ctx, req) })
	return err
}

func (a *faultAgent) Throttle(ctx context.Context, req worker.ThrottleRequest) error {
	return a.b.agent.Throttle(ctx, req)
}
