package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/version/cell"
)

// testCell runs several instances against stand-ins on the clock of a synctest bubble.
type testCell struct {
	t       *testing.T
	began   time.Time
	tables  *backends.Tables
	workers *backends.Workers
	nodes   map[string]*testNode
	images  map[string]backends.Image

	mu sync.Mutex
	// cut names the instances that the table service does not answer.
	cut map[string]backends.Fault
	// shares are the shares of a core of instances; others have a whole one.
	shares map[string]float64
	// away is the part of the table service that answers nobody.
	away string
	down map[string]bool
	// isolated is an instance that reaches no other one.
	isolated string
	log      strings.Builder
	// mute are the workers that answer nothing; onTheirWay counts the starts and stops on their way, and most is the
	// highest count.
	mute             map[string]bool
	onTheirWay, most int
	// armed is a fault of the matrix; late are the calls that are still to be carried out.
	armed *armedFault
	late  sync.WaitGroup
}

type testNode struct {
	*Node
	cancel context.CancelFunc
	done   chan struct{}
}

const testQueue, testService = "bookings", "desk"

// newTestCell starts instances and workers and waits until the cell is led.
func newTestCell(t *testing.T, instances, workers int) *testCell {
	c := &testCell{
		t: t, began: time.Now(), tables: backends.NewTables(), nodes: map[string]*testNode{},
		images: map[string]backends.Image{}, cut: map[string]backends.Fault{}, down: map[string]bool{}, mute: map[string]bool{}, shares: map[string]float64{},
	}
	c.workers = backends.NewWorkers(c.now, c.image)
	c.tables.Put(backend.RowKey{Table: "config", Key: "current"}, []byte("1"))
	for i := range workers {
		c.addWorker(fmt.Sprintf("w%02d", i))
	}
	for i := range instances {
		c.start(fmt.Sprintf("i%d", i))
	}
	time.Sleep(2 * time.Second)
	return c
}

func (c *testCell) now() time.Duration { return time.Since(c.began) }

// image finds the description of a task by the id of its job.
func (c *testCell) image(task string) backends.Image {
	id, _, _ := strings.Cut(task, ".")
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.images[id]
}

func (c *testCell) addWorker(id string) {
	info := backend.WorkerInfo{
		ID: id, Address: id + ":1", Service: testService, Zone: "a", Labels: []string{"k", "r1"},
		StartedMS: time.Now().UnixMilli(),
		Capacity:  model.Resources{CPUMilli: 4000, MemoryMiB: 8000},
	}
	c.workers.Add(info)
	c.list(info)
}

// list writes the entry of a worker.
func (c *testCell) list(info backend.WorkerInfo) {
	data, err := json.Marshal(info)
	assert.NilError(c.t, err)
	c.tables.Put(backend.RowKey{Table: "workers", Key: info.ID}, data)
}

// testDecoder decodes the rows that this harness writes.
type testDecoder struct{}

func (testDecoder) Worker(row backend.Row) (backend.WorkerInfo, error) {
	var info backend.WorkerInfo
	err := json.Unmarshal(row.Value, &info)
	return info, err
}

func (testDecoder) Wave(row backend.Row) (backend.Wave, bool, error) {
	if !strings.HasPrefix(row.Key, "wave") {
		return backend.Wave{}, false, nil
	}
	var wave backend.Wave
	err := json.Unmarshal(row.Value, &wave)
	return wave, err == nil, err
}

func (testDecoder) WaveStatus(number int, completed bool) backend.Row {
	key := backend.RowKey{Table: "status", Key: fmt.Sprint(number)}
	return backend.Row{RowKey: key, Value: []byte(fmt.Sprint(completed))}
}

func (testDecoder) Config(row backend.Row) (job.Config, error) {
	var version uint64
	if err := json.Unmarshal(row.Value, &version); err != nil {
		return job.Config{}, err
	}
	return job.Config{
		Version:  version,
		Services: map[string]job.Service{testService: {Name: testService}},
		Queues: []job.Queue{{
			Name: testQueue, Host: "h", Prefix: "/b/", Service: testService, MaxAttempts: 3, Stretch: 2, ObjectiveMS: 250,
			Advice: &job.Advice{DecisionMS: 20, PerWorkerMS: 0.3, ValidityMS: 2500},
		}},
	}, nil
}

// nodeTables makes the table service unreachable for one instance.
type nodeTables struct {
	backend.Tables
	c    *testCell
	name string
}

func (n nodeTables) fail(ctx context.Context, part string) error {
	n.c.mu.Lock()
	fault, down := n.c.cut[n.name], n.c.down[n.name]
	away := part != "" && part == n.c.away
	n.c.mu.Unlock()
	if away {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the part is away")
	}
	if down || fault == backends.FaultSilent {
		<-ctx.Done()
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "silent")
	}
	if fault == backends.FaultRefused {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "refused")
	}
	return nil
}

// callTimeout is the bound that the client of the platform puts on a call.
const callTimeout = 1500 * time.Millisecond

func (n nodeTables) Commit(ctx context.Context, txn backend.Txn) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := n.fail(ctx, shardOfTxn(txn)); err != nil {
		return 0, err
	}
	return through(ctx, n.c, stepOf(txn), func(ctx context.Context) (uint64, error) { return n.Tables.Commit(ctx, txn) })
}

func (n nodeTables) Get(ctx context.Context, key backend.RowKey) (backend.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := n.fail(ctx, key.Part); err != nil {
		return backend.Row{}, err
	}
	return n.Tables.Get(ctx, key)
}

func (n nodeTables) Range(ctx context.Context, table, part, from string) (backend.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := n.fail(ctx, part); err != nil {
		return backend.Page{}, err
	}
	return n.Tables.Range(ctx, table, part, from)
}

func (n nodeTables) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (backend.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	if err := n.fail(ctx, ""); err != nil {
		return backend.Page{}, err
	}
	return n.Tables.Feed(ctx, table, after, wait)
}

// nodeWorkers keeps an instance that is down from the workers.
type nodeWorkers struct {
	backend.Workers
	c    *testCell
	name string
}

// orderTime is how long an order to a sound worker takes; muteTime is the bound on one to a worker that does not answer.
const (
	orderTime = 2 * time.Millisecond
	muteTime  = 1500 * time.Millisecond
)

// reach waits as long as the way to a worker takes.
func (n nodeWorkers) reach(worker string) error {
	n.c.mu.Lock()
	down, mute := n.c.down[n.name], n.c.mute[worker]
	n.c.mu.Unlock()
	if down {
		return backends.ErrSilent
	}
	if mute {
		time.Sleep(muteTime)
		return backends.ErrSilent
	}
	return nil
}

// order counts an order while it is on its way.
func (n nodeWorkers) order(worker string) error {
	n.c.mu.Lock()
	if !n.c.mute[worker] {
		n.c.onTheirWay++
		n.c.most = max(n.c.most, n.c.onTheirWay)
		defer func() {
			n.c.mu.Lock()
			defer n.c.mu.Unlock()
			n.c.onTheirWay--
		}()
	}
	n.c.mu.Unlock()
	time.Sleep(orderTime)
	return n.reach(worker)
}

func (n nodeWorkers) Start(ctx context.Context, o backend.StartOrder) (backend.Reply, error) {
	if err := n.order(o.Worker.ID); err != nil {
		return backend.Reply{}, err
	}
	return through(ctx, n.c, stepStart, func(ctx context.Context) (backend.Reply, error) { return n.Workers.Start(ctx, o) })
}

func (n nodeWorkers) Stop(ctx context.Context, o backend.Order) (backend.Reply, error) {
	if err := n.order(o.Worker.ID); err != nil {
		return backend.Reply{}, err
	}
	return through(ctx, n.c, stepStop, func(ctx context.Context) (backend.Reply, error) { return n.Workers.Stop(ctx, o) })
}

func (n nodeWorkers) Poll(ctx context.Context, req backend.PollRequest) (backend.PollReply, error) {
	if err := n.reach(req.Worker.ID); err != nil {
		return backend.PollReply{}, err
	}
	return through(ctx, n.c, stepPoll, func(ctx context.Context) (backend.PollReply, error) { return n.Workers.Poll(ctx, req) })
}

// peers delivers messages between the instances of a cell.
type peers struct {
	c    *testCell
	name string
}

func (p peers) target(address string) (*testNode, error) {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	n := p.c.nodes[address]
	if n == nil || p.c.down[address] || p.c.down[p.name] || p.c.isolated == address || p.c.isolated == p.name {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "peer %s cannot be reached", address)
	}
	return n, nil
}

func (p peers) Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Reply, error) {
	n, err := p.target(address)
	if err != nil {
		return nil, err
	}
	reply := n.handlePeer(ctx, req)
	return reply, peer.ErrorFromProto(reply.GetError())
}

func (p peers) Send(ctx context.Context, address string, req *peerpb.Request) error {
	n, err := p.target(address)
	if err != nil {
		return err
	}
	s := step("")
	if req.GetJobStored() != nil {
		s = stepNotify
	}
	p.c.late.Go(func() {
		// Nobody waits for the answer to a message.
		_, _ = through(context.WithoutCancel(ctx), p.c, s, func(ctx context.Context) (*peerpb.Reply, error) {
			return n.handlePeer(ctx, req), nil
		})
	})
	return nil
}

// start starts an instance under a name, which is also its address.
func (c *testCell) start(name string) {
	log := logrus.New()
	log.SetOutput(lockedWriter{&c.mu, &c.log})
	log.SetFormatter(&logrus.JSONFormatter{})
	entry := log.WithField("instance", name)
	n := New(Options{
		Instance: name, PeerAddress: name, Peers: peers{c, name},
		ServePeers: func(ctx context.Context, _ peer.Handler) error { <-ctx.Done(); return nil },
		Tables:     nodeTables{c.tables, c, name}, Workers: nodeWorkers{c.workers, c, name},
		Advisor: &matrixAdvisor{backends.Advisor{Delay: 25 * time.Millisecond, Validity: 2500 * time.Millisecond}, c},
		Decoder: testDecoder{},
		Sources: Sources{Config: backend.RowKey{Table: "config", Key: "current"}, Workers: "workers"},
		Log:     entry,
		Note: func(d cell.Decision) {
			entry.WithFields(d.Fields).WithField("job", d.Job).WithField("at", c.now()).Info(d.Event)
		},
		CPUShare: c.shareOf(name),
		Lease:    4 * time.Second, StopTimeout: 400 * time.Millisecond, Retention: time.Minute, Now: c.now,
	})
	ctx, cancel := context.WithCancel(c.t.Context())
	node := &testNode{Node: n, cancel: cancel, done: make(chan struct{})}
	c.mu.Lock()
	c.nodes[name] = node
	delete(c.down, name)
	c.mu.Unlock()
	go func() {
		defer close(node.done)
		if err := n.Run(ctx); err != nil && ctx.Err() == nil {
			c.t.Errorf("instance %s: %v", name, err)
		}
	}()
}

func (c *testCell) shareOf(name string) float64 {
	if share, ok := c.shares[name]; ok {
		return share
	}
	return 1
}

// lockedWriter writes to a builder under a lock.
type lockedWriter struct {
	mu *sync.Mutex
	w  io.Writer
}

func (l lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// kill ends an instance without a goodbye.
func (c *testCell) kill(name string) {
	c.mu.Lock()
	c.down[name] = true
	n := c.nodes[name]
	c.mu.Unlock()
	n.cancel()
	<-n.done
}

// stop ends all instances; the bubble must not leave goroutines behind.
func (c *testCell) stop() {
	for _, n := range c.nodes {
		n.cancel()
	}
	for _, n := range c.nodes {
		<-n.done
	}
	// Inserts outlive their callers by the bound of a call.
	time.Sleep(2 * callTimeout)
	if c.t.Failed() {
		c.t.Log(c.log.String())
	}
}

// setCut makes the table service fail for an instance.
func (c *testCell) setCut(name string, fault backends.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[name] = fault
}

// isolate cuts an instance off from the others.
func (c *testCell) isolate(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated = name
}

// setAway makes a part of the table service fail for all instances.
func (c *testCell) setAway(part string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = part
}

// leader returns the instance that leads.
func (c *testCell) leader() string {
	for name, n := range c.nodes {
		c.mu.Lock()
		down := c.down[name]
		c.mu.Unlock()
		if !down && n.loadedLeadership() != nil {
			return name
		}
	}
	return ""
}

// other returns an instance that does not lead.
func (c *testCell) other() *testNode {
	leader := c.leader()
	for name, n := range c.nodes {
		if name != leader && !c.down[name] {
			return n
		}
	}
	return nil
}

// submit hands a job of one step in at an instance.
func (c *testCell) submit(n *testNode, id string, tasks int, image backends.Image, change func(*job.Step)) error {
	c.mu.Lock()
	c.images[id] = image
	c.mu.Unlock()
	s := job.Step{Count: tasks, Each: image.Each, EstimateMS: image.Duration.Milliseconds(), Lasting: image.Lasting}
	if change != nil {
		change(&s)
	}
	q, err := n.Queue("h", "/b/"+id)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), 3*time.Second)
	defer cancel()
	return n.Submit(ctx, q, job.ID(id), job.Spec{Payload: "p", Steps: []job.Step{s}})
}

// state asks an instance for the state of a job.
func (c *testCell) state(n *testNode, id string) (job.State, error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), 3*time.Second)
	defer cancel()
	return n.State(ctx, job.Queue{Name: testQueue}, job.ID(id))
}

// small is a task that takes a core for a time.
func small(d time.Duration) backends.Image {
	return backends.Image{Each: model.Resources{CPUMilli: 1000, MemoryMiB: 100}, Duration: d}
}
