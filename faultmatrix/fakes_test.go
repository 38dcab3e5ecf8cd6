package faultmatrix

import (
	"context"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// content tells messages of one sender to one receiver apart. It holds no random identifier.
	content string
}

// String returns the message as the history of a cell lists it, with the instant of its arrival.
func (m message) String() string {
	to := m.to.name()
	if m.worker != nil {
		to = m.worker.id
	}
	return fmt.Sprintf("%s %s->%s %s %q", time.Now().Format("15:04:05.000000000"), m.from.name(), to, m.step, m.content)
}

// The time that senders wait for an answer. Each waits longer than the receiver waits for those that it asks itself.
const (
	storeTimeout  = 4 * time.Second
	peerTimeout   = 8 * time.Second
	callerTimeout = 40 * time.Second
)

// timeout returns how long the sender waits for the answer.
func (m message) timeout() time.Duration {
	switch {
	case m.from == nil:
		return callerTimeout
	case m.to != nil:
		return peerTimeout
	}
	return storeTimeout
}

// answer is what the sender of a message is told.
type answer[T any] struct {
	out T
	err error
}

// exchange delivers a request and its answer, subject to the faults that fire at its step. Messages are counted as they
// arrive; their order depends on the scenario and the seed alone, not on goroutines.
func exchange[T any](w *world, ctx context.Context, m message, do func(context.Context) (T, error)) (T, error) {
	lost := answer[T]{err: verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")}
	if !m.from.pass() {
		return lost.out, lost.err
	}
	answered := make(chan answer[T], 1)
	w.later(w.latency(m, "request"), func() { carry(w, ctx, m, do, answered) })
	select {
	case a := <-answered:
		return a.out, a.err
	case <-after(m.timeout()):
	case <-ctx.Done():
	case <-w.ctx.Done():
	}
	return lost.out, lost.err
}

// carry takes a message to its receiver and the answer back. A delivered request runs to its end whatever becomes of its
// sender, and a delayed message arrives also when its sender has died.
func carry[T any](w *world, ctx context.Context, m message, do func(context.Context) (T, error), answered chan<- answer[T]) {
	fate := w.fire(m)
	if fate.loseRequest {
		lose(w, answered)
		return
	}
	if fate.delay > 0 && !sleep(w.ctx, fate.delay) {
		return
	}
	deliver := func() answer[T] {
		inner, cancel := context.WithTimeout(context.WithoutCancel(ctx), 15*time.Second)
		defer cancel()
		if (fate.delay == 0 && !m.from.pass()) || !m.to.pass() || (m.worker != nil && !m.worker.reachable()) {
			return answer[T]{err: verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")}
		}
		out, err := do(inner)
		return answer[T]{out, err}
	}
	a := deliver()
	if fate.duplicate {
		w.later(3*time.Second, func() { deliver() })
	}
	if fate.loseAnswer {
		lose(w, answered)
		return
	}
	if !sleep(w.ctx, w.latency(m, "answer")) || !m.from.pass() || !m.to.pass() || (m.worker != nil && !m.worker.reachable()) {
		return
	}
	if m.kind != "" && a.err == nil {
		a.out = w.swap(m.kind, a.out, fate.swap).(T)
	}
	answered <- a
}

// lose tells the sender after a second that its connection broke.
func lose[T any](w *world, answered chan<- answer[T]) {
	if sleep(w.ctx, time.Second) {
		answered <- answer[T]{err: verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")}
	}
}

// latencyRange is the range of the latency of a message; its resolution is 1 ns.
const latencyRange = time.Millisecond

// latency returns how long a message or its answer is on its way. It depends on the content of the message and not on the
// order in which goroutines send, so that messages sent at one instant arrive in the same order in each run.
func (w *world) latency(m message, leg string) time.Duration {
	key := leg + "|" + m.from.name() + "|" + m.to.name() + "|" + string(m.step) + "|" + m.content
	if m.worker != nil {
		key += "|" + m.worker.id
	}
	return latencyRange + time.Duration((xxhash.Sum64String(key)^w.seed)%uint64(latencyRange))
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

// randomID matches the identifiers that the scheduler draws.
var randomID = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)

// withoutIDs removes the random identifiers from a text.
func withoutIDs(text string) string { return randomID.ReplaceAllString(text, "id") }

// contentOf returns the content of a request to a worker.
func contentOf(req any) string {
	data, err := json.Marshal(req)
	if err != nil {
		panic(err)
	}
	return withoutIDs(fmt.Sprintf("%T %s", req, data))
}

// contentOfTxn returns the content of a transaction.
func contentOfTxn(txn store.Txn) string {
	var b strings.Builder
	for _, c := range txn.Conditions {
		fmt.Fprintf(&b, "%s@%d ", c.Key, c.Version)
	}
	for _, write := range txn.Writes {
		fmt.Fprintf(&b, "%s=%s ", write.Key, write.Value)
	}
	return withoutIDs(b.String())
}

// contentOfPeer returns the content of a message between instances.
func contentOfPeer(req *peerpb.Request) string {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(req)
	if err != nil {
		panic(err)
	}
	return withoutIDs(string(data))
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
