package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/request/verdict"
	standinplatform "github.com/lentiltide/lentiltide/standin/platform"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// mesh runs several instances in one process without sockets, on the clock of the synctest bubble that starts it.
type mesh struct {
	table   *standinplatform.Table
	members *standinplatform.InstanceList
	agents  map[string]*standinworker.Agent

	mu    sync.Mutex
	nodes map[string]*node
}

// node is one instance of a mesh with its own view of the table.
type node struct {
	*Instance
	mesh    *mesh
	table   *faultyTable
	list    *faultyList
	address string
	// work runs each request served here.
	work func(context.Context) error

	mu   sync.Mutex
	down bool
	// sent counts the requests forwarded to this instance.
	sent atomic.Int64
}

// faultyTable injects faults for one instance.
type faultyTable struct {
	store.Table

	mu sync.Mutex
	// cut makes every request fail without effect.
	cut bool
	// loseCommit is asked for each transaction; true loses the answer after the write took effect.
	loseCommit func(store.Txn) bool
	// stale replaces the rows of a key by older ones.
	stale map[string]store.Row
}

func (f *faultyTable) set(change func(*faultyTable)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *faultyTable) err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the table is cut off")
	}
	return nil
}

func (f *faultyTable) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	if err := f.err(); err != nil {
		return nil, err
	}
	versions, err := f.Table.Commit(ctx, txn)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && f.loseCommit != nil && f.loseCommit(txn) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")
	}
	return versions, err
}

func (f *faultyTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := f.err(); err != nil {
		return nil, err
	}
	rows, err := f.Table.Get(ctx, keys...)
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, row := range rows {
		if old, ok := f.stale[row.Key]; ok {
			rows[i] = old
		}
	}
	return rows, err
}

func (f *faultyTable) Scan(ctx context.Context, prefix string) ([]store.Row, error) {
	if err := f.err(); err != nil {
		return nil, err
	}
	return f.Table.Scan(ctx, prefix)
}

// faultyList is one instance's view of the platform's list.
type faultyList struct {
	store.InstanceList

	mu sync.Mutex
	// answer replaces the list when it is not nil.
	answer func() ([]store.Member, error)
}

func (f *faultyList) set(answer func() ([]store.Member, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer = answer
}

func (f *faultyList) List(ctx context.Context) ([]store.Member, error) {
	f.mu.Lock()
	answer := f.answer
	f.mu.Unlock()
	if answer != nil {
		return answer()
	}
	return f.InstanceList.List(ctx)
}

// Dial implements worker.Dialer.
func (m *mesh) Dial(address string) worker.Agent { return m.agents[address] }

// caller connects one instance to the others.
type caller struct{ from *node }

var _ peer.Caller = caller{}

func (c caller) Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Reply, error) {
	c.from.mesh.mu.Lock()
	to := c.from.mesh.nodes[address]
	c.from.mesh.mu.Unlock()
	if to == nil || to.unreachable() || c.from.unreachable() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "peer %s cannot be reached", address)
	}
	if req.GetForward() != nil {
		to.sent.Add(1)
	}
	reply := to.HandlePeer(ctx, req)
	return reply, peer.ErrorFromProto(reply.GetError())
}

func (c caller) Send(ctx context.Context, address string, req *peerpb.Request) error {
	_, err := c.Call(ctx, address, req)
	return err
}

// answer serves a forwarded request with the body of serve.
func (n *node) answer(ctx context.Context, f *peerpb.Forward) *peerpb.ForwardReply {
	reply := &peerpb.ForwardReply{Status: http.StatusOK}
	err := n.Serve(ctx, Request{Partition: int(f.GetPartition())}, func(ctx context.Context) error {
		reply.Body = append(f.GetBody(), n.address...)
		return n.work(ctx)
	})
	if err != nil {
		reply.Status = int32(jsonhttp.Status(verdict.From(err).Code))
		reply.Body, _ = json.Marshal(jsonhttp.ErrorBodyOf(err))
	}
	return reply
}

// request dispatches a request and returns the instance that served it.
func (n *node) request(ctx context.Context, partition int) (servedBy string, err error) {
	return n.dispatch(ctx, Request{Partition: partition})
}

func (n *node) dispatch(ctx context.Context, req Request) (servedBy string, err error) {
	reply, err := n.Dispatch(ctx, req, func() *peerpb.Forward { return &peerpb.Forward{} }, n.work)
	if err != nil || reply == nil {
		return n.address, err
	}
	if reply.GetStatus() != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", reply.GetStatus(), reply.GetBody())
	}
	return string(reply.GetBody()), nil
}

func (n *node) unreachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down
}

// isolate cuts an instance off from its peers.
func (n *node) isolate(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = down
}

func newMesh(workers, perRack int) *mesh {
	m := &mesh{
		table: standinplatform.NewTable(), members: standinplatform.NewInstanceList(),
		agents: map[string]*standinworker.Agent{}, nodes: map[string]*node{},
	}
	capacity := model.Resources{CPUMilli: 16_000, MemoryMiB: 65_536, Slots: 8, Connections: 60}
	for i := range workers {
		id := fmt.Sprintf("worker-%03d", i)
		m.agents[id] = standinworker.New(standinworker.Options{ID: id, Capacity: capacity, Clock: clockwork.NewRealClock()})
		m.members.Set(store.Member{
			ID: id, Role: store.RoleWorker, State: store.MemberLive, Region: "estonia", Zone: "maardu",
			Rack: fmt.Sprintf("rack-%02d", i/perRack), Address: id, Capacity: capacity,
		})
	}
	return m
}

// start adds an instance; it is closed at the end of the test.
func (m *mesh) start(t testing.TB, name string) *node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := settings.Default()
	s.Instance, s.Region, s.Zone, s.PeerAddress = name, "estonia", "maardu", name
	n := &node{mesh: m, table: &faultyTable{Table: m.table}, address: name, list: &faultyList{InstanceList: m.members},
		work: func(context.Context) error { return nil }}
	n.Instance = New(Options{
		Settings: s, Clock: clockwork.NewRealClock(), Table: n.table, Objects: standinplatform.NewObjects(),
		Members: n.list, Workers: m, Peers: caller{n}, Log: log, Seed: uint64(len(m.nodes)),
	})
	n.SetCallHandler(n.answer)
	m.mu.Lock()
	m.nodes[name] = n
	m.mu.Unlock()
	t.Cleanup(n.Close)
	n.Start()
	return n
}

// startMesh starts instances and waits until each serves partitions.
func startMesh(t testing.TB, instances, workers int) (*mesh, []*node) {
	m := newMesh(workers, 2)
	var nodes []*node
	for i := range instances {
		nodes = append(nodes, m.start(t, fmt.Sprintf("entry-%d", i)))
	}
	time.Sleep(15 * time.Second)
	return m, nodes
}
