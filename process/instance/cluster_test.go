package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
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

// testCluster runs several instances in one process, without sockets and on the virtual clock of the synctest bubble.
type testCluster struct {
	table   *standinplatform.Table
	members *standinplatform.InstanceList
	agents  map[string]*standinworker.Agent

	mu    sync.Mutex
	nodes map[string]*node
}

// node is one instance of a testCluster. Faults can be injected into its table, its list of members and its connections.
type node struct {
	*Instance
	cluster *testCluster
	table   *faultyTable
	members *faultyMemberList
	address string
	// handle is the handler of all requests that this instance serves.
	handle func(context.Context) error

	mu sync.Mutex
	// isolated makes all calls from and to this instance fail.
	isolated bool
	// forwardsReceived counts the requests forwarded to this instance.
	forwardsReceived atomic.Int64
}

// faultyTable injects faults for one instance.
type faultyTable struct {
	store.Table

	mu sync.Mutex
	// unavailable makes every request fail without effect.
	unavailable bool
	// losesAnswer is called for each committed transaction; if it returns true, the answer is lost.
	losesAnswer func(store.Txn) bool
	// acquisitionLatency is the time from the commit of an acquisition to its answer.
	acquisitionLatency time.Duration
	// stale contains the outdated rows, by key, that Get returns instead of the current ones.
	stale map[string]store.Row
}

func (f *faultyTable) setFaults(change func(*faultyTable)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *faultyTable) unavailableErr() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the table is unavailable")
	}
	return nil
}

func (f *faultyTable) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	if err := f.unavailableErr(); err != nil {
		return nil, err
	}
	versions, err := f.Table.Commit(ctx, txn)
	f.mu.Lock()
	latency := f.acquisitionLatency
	f.mu.Unlock()
	if strings.HasPrefix(txn.Writes[0].Key, "partition/") {
		time.Sleep(latency)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && f.losesAnswer != nil && f.losesAnswer(txn) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")
	}
	return versions, err
}

func (f *faultyTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := f.unavailableErr(); err != nil {
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
	if err := f.unavailableErr(); err != nil {
		return nil, err
	}
	return f.Table.Scan(ctx, prefix)
}

// faultyMemberList is one instance's access to the platform's list of members.
type faultyMemberList struct {
	store.InstanceList

	mu sync.Mutex
	// override is called instead of reading the list if it is not nil.
	override func() ([]store.Member, error)
}

func (f *faultyMemberList) setOverride(answer func() ([]store.Member, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.override = answer
}

func (f *faultyMemberList) List(ctx context.Context) ([]store.Member, error) {
	f.mu.Lock()
	answer := f.override
	f.mu.Unlock()
	if answer != nil {
		return answer()
	}
	return f.InstanceList.List(ctx)
}

// Dial implements worker.Dialer; the address of a worker is its id.
func (m *testCluster) Dial(address string) worker.Agent { return m.agents[address] }

// memoryCaller is the peer.Caller of one instance. It calls the other instances directly.
type memoryCaller struct{ from *node }

var _ peer.Caller = memoryCaller{}

func (c memoryCaller) Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Reply, error) {
	c.from.cluster.mu.Lock()
	to := c.from.cluster.nodes[address]
	c.from.cluster.mu.Unlock()
	if to == nil || to.unreachable() || c.from.unreachable() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "peer %s cannot be reached", address)
	}
	if req.GetForward() != nil {
		to.forwardsReceived.Add(1)
	}
	reply := to.HandlePeer(ctx, req)
	return reply, peer.ErrorFromProto(reply.GetError())
}

func (c memoryCaller) Send(ctx context.Context, address string, req *peerpb.Request) error {
	_, err := c.Call(ctx, address, req)
	return err
}

// handleForwarded serves a forwarded request and replies with the address of this instance.
func (n *node) handleForwarded(ctx context.Context, f *peerpb.Forward) *peerpb.ForwardReply {
	reply := &peerpb.ForwardReply{Status: http.StatusOK}
	err := n.Serve(ctx, Request{Partition: int(f.GetPartition())}, func(ctx context.Context) error {
		reply.Body = append(f.GetBody(), n.address...)
		return n.handle(ctx)
	})
	if err != nil {
		reply.Status = int32(jsonhttp.HTTPStatus(verdict.From(err).Code))
		reply.Body, _ = json.Marshal(jsonhttp.NewErrorBody(err))
	}
	return reply
}

// request dispatches a request for a partition and returns the address of the instance that served it.
func (n *node) request(ctx context.Context, partition int) (servedBy string, err error) {
	return n.dispatchRequest(ctx, Request{Partition: partition})
}

func (n *node) dispatchRequest(ctx context.Context, req Request) (servedBy string, err error) {
	reply, err := n.Dispatch(ctx, req, func() *peerpb.Forward { return &peerpb.Forward{} }, n.handle)
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
	return n.isolated
}

// setIsolated disconnects an instance from its peers, or connects it again.
func (n *node) setIsolated(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = down
}

func newTestCluster(workers, perRack int) *testCluster {
	cluster := &testCluster{
		table: standinplatform.NewTable(), members: standinplatform.NewInstanceList(),
		agents: map[string]*standinworker.Agent{}, nodes: map[string]*node{},
	}
	capacity := model.Resources{CPUMilli: 16_000, MemoryMiB: 65_536, Slots: 8, Connections: 60}
	for i := range workers {
		id := fmt.Sprintf("worker-%03d", i)
		cluster.agents[id] = standinworker.New(standinworker.Options{ID: id, Capacity: capacity, Clock: clockwork.NewRealClock()})
		cluster.members.Set(store.Member{
			ID: id, Role: store.RoleWorker, State: store.MemberLive, Region: "estonia", Zone: "maardu",
			Rack: fmt.Sprintf("rack-%02d", i/perRack), Address: id, Capacity: capacity,
		})
	}
	return cluster
}

// startInstance starts another instance, which is closed at the end of the test.
func (m *testCluster) startInstance(t testing.TB, name string) *node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := settings.Default()
	s.Instance, s.Region, s.Zone, s.PeerAddress = name, "estonia", "maardu", name
	n := &node{cluster: m, table: &faultyTable{Table: m.table}, address: name, members: &faultyMemberList{InstanceList: m.members},
		handle: func(context.Context) error { return nil }}
	n.Instance = New(Options{
		Settings: s, Clock: clockwork.NewRealClock(), Table: n.table, Objects: standinplatform.NewObjects(),
		Members: n.members, Workers: m, Peers: memoryCaller{n}, Log: log, Seed: uint64(len(m.nodes)),
	})
	n.SetCallHandler(n.handleForwarded)
	m.mu.Lock()
	m.nodes[name] = n
	m.mu.Unlock()
	t.Cleanup(n.Close)
	n.Start()
	return n
}

const (
	// settleTime is how long instances need until each serves partitions.
	settleTime = 15 * time.Second
	// betweenPeriods is the time from the settled cluster to the first action of a test. All periods of the instances are multiples
	// of 50 ms: an action at the instant of a renewal would run before or after it in random order.
	betweenPeriods = 30 * time.Millisecond
)

// startTestCluster starts instances and waits until each serves partitions and none of their periodic tasks is due.
func startTestCluster(t testing.TB, instances, workers int) (*testCluster, []*node) {
	cluster := newTestCluster(workers, 2)
	var nodes []*node
	for i := range instances {
		nodes = append(nodes, cluster.startInstance(t, fmt.Sprintf("entry-%d", i)))
	}
	time.Sleep(settleTime + betweenPeriods)
	return cluster, nodes
}
