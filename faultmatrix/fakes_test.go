package faultmatrix

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// message is one request on its way.
type message struct {
	step   step
	from   *node
	to     *node
	worker *backend
	// kind groups messages whose answers a swap can exchange; empty where the transport matches answers by connection.
	kind string
}

// exchange delivers a request and its answer, subject to the faults that fire at its step.
func exchange[T any](w *world, ctx context.Context, m message, do func(context.Context) (T, error)) (T, error) {
	var zero T
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")
	if !m.from.pass() {
		return zero, lost
	}
	fate := w.fire(m)
	// A delivered request runs to its end whatever becomes of its sender.
	deliver := func() (T, error) {
		inner, cancel := context.WithTimeout(context.WithoutCancel(ctx), 15*time.Second)
		defer cancel()
		// A delayed message is on its way and arrives also when its sender has died.
		if (fate.delay == 0 && !m.from.pass()) || !m.to.pass() || (m.worker != nil && !m.worker.reachable()) {
			return zero, lost
		}
		return do(inner)
	}
	type result struct {
		out T
		err error
	}
	answered := make(chan result, 1)
	w.later(0, func() {
		if fate.loseRequest {
			return
		}
		if fate.delay > 0 && !sleep(w.ctx, fate.delay) {
			return
		}
		out, err := deliver()
		if fate.duplicate {
			w.later(3*time.Second, func() { _, _ = deliver() })
		}
		if fate.loseAnswer || !m.from.pass() || !m.to.pass() {
			return
		}
		if m.worker != nil && !m.worker.reachable() {
			return
		}
		answered <- result{out, err}
	})
	timeout := 4 * time.Second
	if fate.loseRequest || fate.loseAnswer {
		timeout = time.Second
	}
	if m.from == nil {
		timeout = 40 * time.Second
	}
	select {
	case r := <-answered:
		out, err := r.out, r.err
		if m.kind != "" && err == nil {
			out = w.swap(m.kind, out, fate.swap).(T)
		}
		return out, err
	case <-after(timeout):
	case <-ctx.Done():
	case <-w.ctx.Done():
	}
	return zero, lost
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-after(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// swap returns the previous answer of a kind instead of this one.
func (w *world) swap(kind string, out any, swapped bool) any {
	w.mu.Lock()
	defer w.mu.Unlock()
	before, ok := w.previous[kind]
	w.previous[kind] = out
	if swapped && ok {
		return before
	}
	return out
}

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
	m := message{step: stepOfPeer(req), from: p.n, to: to}
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
func deliver[T any](t *faultTable, ctx context.Context, s step, do func(context.Context) (T, error)) (T, error) {
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
	return exchange(t.w, ctx, message{step: s, from: t.n}, do)
}

func (t *faultTable) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	return deliver(t, ctx, t.w.stepOfTxn(txn), func(ctx context.Context) ([]uint64, error) { return t.w.table.Commit(ctx, txn) })
}

func (t *faultTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	return deliver(t, ctx, "", func(ctx context.Context) ([]store.Row, error) { return t.w.table.Get(ctx, keys...) })
}

func (t *faultTable) Scan(ctx context.Context, prefix string) ([]store.Row, error) {
	return deliver(t, ctx, "", func(ctx context.Context) ([]store.Row, error) { return t.w.table.Scan(ctx, prefix) })
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

func (a *faultAgent) message(s step) message { return message{step: s, from: a.n, worker: a.b} }

func (a *faultAgent) Fence(ctx context.Context, req worker.FenceRequest) (worker.Inventory, error) {
	return exchange(a.w, ctx, a.message(stepTakeOver), func(ctx context.Context) (worker.Inventory, error) {
		return a.b.agent.Fence(ctx, req)
	})
}

func (a *faultAgent) Start(ctx context.Context, req worker.StartRequest) (worker.StartReply, error) {
	return exchange(a.w, ctx, a.message(stepStart), func(ctx context.Context) (worker.StartReply, error) {
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
	return exchange(a.w, ctx, a.message(s), func(ctx context.Context) (worker.SyncReply, error) { return a.b.agent.Sync(ctx, req) })
}

func (a *faultAgent) Stop(ctx context.Context, req worker.StopRequest) error {
	s := stepCancel
	if req.Checkpoint {
		s = stepPreempt
	}
	_, err := exchange(a.w, ctx, a.message(s), func(ctx context.Context) (struct{}, error) { return struct{}{}, a.b.agent.Stop(ctx, req) })
	return err
}

func (a *faultAgent) Throttle(ctx context.Context, req worker.ThrottleRequest) error {
	return a.b.agent.Throttle(ctx, req)
}

// stepOfPeer returns the step that a message belongs to.
func stepOfPeer(req *peerpb.Request) step {
	switch body := req.GetBody().(type) {
	case *peerpb.Request_Forward:
		return stepOfPath(body.Forward.GetPath())
	case *peerpb.Request_Offer, *peerpb.Request_Claim, *peerpb.Request_Hold:
		return stepReserve
	case *peerpb.Request_StartHeld:
		return stepStart
	case *peerpb.Request_Report:
		if body.Report.GetStarted() {
			return stepRun
		}
		return stepFinish
	case *peerpb.Request_StopTask:
		if body.StopTask.GetCheckpoint() {
			return stepPreempt
		}
		return stepCancel
	case *peerpb.Request_FenceIntent:
		return stepTakeOver
	case *peerpb.Request_Handover:
		return stepHandOver
	case *peerpb.Request_ConfigChanged:
		return stepConfig
	}
	return ""
}

func stepOfPath(path string) step {
	switch {
	case strings.HasSuffix(path, "/plans"):
		return stepPlan
	case strings.HasSuffix(path, "/confirm"):
		return stepConfirm
	case strings.HasSuffix(path, "/cancel"):
		return stepCancel
	case strings.HasSuffix(path, "/calls"):
		return stepAnswer
	case strings.Contains(path, "config"):
		return stepConfig
	}
	return ""
}

// stepOfTxn returns the step that a transaction belongs to.
func (w *world) stepOfTxn(txn store.Txn) step {
	head, _, _ := strings.Cut(txn.Writes[0].Key, "/")
	switch head {
	case "plan":
		return stepPlan
	case "intent":
		return stepCommit
	case "outcome":
		return stepFinish
	case "key":
		return stepAnswer
	case "config":
		return stepConfig
	case "partition":
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.handing {
			return stepHandOver
		}
		return stepTakeOver
	}
	return ""
}
