package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/recovery"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/version/cell"
)

// testCell runs several instances against simulated backends on the clock of a synctest bubble.
type testCell struct {
	t         *testing.T
	startedAt time.Time
	tables    *backends.Tables
	workers   *backends.Workers
	machines  fakeMachines
	nodes     map[string]*testNode
	behaviors map[string]backends.TaskBehavior

	mu sync.Mutex
	// storeFaults holds the faults of the table service for single instances.
	storeFaults map[string]backends.Fault
	// cpuShares are the CPU shares of instances; the default is 1.
	cpuShares map[string]float64
	// key is the key of the callers.
	key string
	// keyDeadline is the option of that name of all instances.
	keyDeadline time.Duration
	// delegateFrom is the option of that name of all instances.
	delegateFrom int
	// lease is the duration of leases.
	lease time.Duration
	// jobMemory is the option JobMemoryBytes of all instances.
	jobMemory int64
	// startsBy counts the starts that each instance sent to workers. mute is an instance whose results of delegated calls are
	// lost.
	startsBy map[string]int
	mute     string
	// pollsBy counts the polls that each instance sent to workers.
	pollsBy map[string]int
	// resultsHeldUntil is when the results of delegated calls that are sent before it reach the leader.
	resultsHeldUntil time.Duration
	// suspendedNS is how long the processes could not run, in nanoseconds. Their clock counts it.
	suspendedNS atomic.Int64
	// unavailableShard is the shard of the table service that fails for all instances.
	unavailableShard string
	// silentFeed is the table whose change feed does not answer. rangesPerFault is the number of range reads of which one fails,
	// 0 for none; ranges counts them.
	silentFeed             string
	rangesPerFault, ranges int
	down                   map[string]bool
	// transferTimes are how long instances with slow links take to read rows of a feed.
	transferTimes map[string]time.Duration
	// links are the bandwidths of the links of instances; the default is 0, unknown. configReads counts the long polls of each
	// instance for the configuration.
	links       map[string]float64
	configReads map[string]int
	// isolated is an instance that cannot reach any other one.
	isolated string
	// islands are the groups of instances that cannot reach each other; the default is 0.
	islands map[string]int
	log     strings.Builder
	// silentWorkers do not answer any call; inFlight counts the starts and stops in flight to the other workers, and
	// maxInFlight is its maximum.
	silentWorkers map[string]bool
	// sides are the sides of a partition on which instances and workers are, by their names. An instance reaches the workers on its side.
	sides map[string]int
	// relaysFail makes calls to the table service through other instances fail.
	relaysFail bool
	// callTimeout, if not 0, is the timeout of calls to the table service.
	callTimeout           time.Duration
	inFlight, maxInFlight int
	// slow are the times that the table service takes.
	slow slowStore
	// injected is the fault of a fault matrix case; lateCalls are the calls that are executed in the background.
	// holdNoStarts means that the instances refuse to hold the starts of the leader.
	holdNoStarts bool
	injected     *injectedFault
	lateCalls    sync.WaitGroup
	// panicking is an event at whose first log line an instance panics; panics counts the panics by place.
	panicking panicAtEvent
	panics    map[string]int
	history   *cellHistory
}

type testNode struct {
	*Node
	cancel context.CancelFunc
	done   chan struct{}
}

const testQueue, testService = "bookings", "desk"

// testLease is the default duration of leases.
const testLease = 4 * time.Second

// newTestCell starts instances and workers and waits long enough for a leader to take over.
func newTestCell(t *testing.T, instances, workers int) *testCell {
	return newTestCellWith(t, instances, workers, 0)
}

// newTestCellWith starts a cell whose leader delegates its calls from a number of workers on; 0 means the default.
func newTestCellWith(t *testing.T, instances, workers, delegateFrom int) *testCell {
	c := &testCell{
		delegateFrom: delegateFrom, lease: testLease, startsBy: map[string]int{}, pollsBy: map[string]int{},
		t: t, startedAt: time.Now(), tables: backends.NewTables(), nodes: map[string]*testNode{},
		behaviors: map[string]backends.TaskBehavior{}, panics: map[string]int{}, storeFaults: map[string]backends.Fault{}, down: map[string]bool{}, silentWorkers: map[string]bool{}, sides: map[string]int{}, cpuShares: map[string]float64{},
		transferTimes: map[string]time.Duration{}, links: map[string]float64{}, configReads: map[string]int{},
	}
	c.history = newCellHistory(c)
	c.workers = backends.NewWorkers(c.now, c.behaviorOf)
	c.workers.SetHistory(c.history.Recorder)
	c.tables.SetHistory(c.history.Recorder)
	c.writeConfig([]byte("1"))
	for i := range workers {
		c.addWorker(fmt.Sprintf("w%02d", i))
	}
	for i := range instances {
		c.start(fmt.Sprintf("i%d", i))
	}
	time.Sleep(2 * time.Second)
	return c
}

func (c *testCell) now() time.Duration { return time.Since(c.startedAt) }

// bootClock is the clock of the instances, which counts the time in which they could not run.
func (c *testCell) bootClock() time.Duration {
	return c.now() + time.Duration(c.suspendedNS.Load())
}

// behaviorOf returns the behavior of a task, which is registered under the id of its job.
func (c *testCell) behaviorOf(task string) backends.TaskBehavior {
	id, _, _ := strings.Cut(task, ".")
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.behaviors[id]
}

// workerInfo describes a worker that starts now.
func (c *testCell) workerInfo(id string) backend.WorkerInfo {
	return backend.WorkerInfo{
		ID: id, Address: id + ":1", Service: testService, Zone: "a", Labels: []string{"k", "r1"},
		StartedMS: time.Now().UnixMilli(),
		Capacity:  model.Resources{CPUMilli: 4000, MemoryMiB: 8000},
	}
}

func (c *testCell) addWorker(id string) {
	info := c.workerInfo(id)
	c.workers.Add(info)
	c.writeRegistryEntry(info)
}

// writeRegistryEntry writes the entry of a worker to the registry table.
func (c *testCell) writeRegistryEntry(entry backend.WorkerInfo) {
	data, err := json.Marshal(entry)
	assert.NilError(c.t, err)
	c.tables.Put(backend.RowKey{Table: "workers", Key: entry.ID}, data)
	c.history.Record(backends.RegistryEvent(entry))
}

// testConfig is the value of the configuration row; a row may also hold the version alone.
type testConfig struct {
	Version uint64
	Teams   map[string]job.Team
}

// testDecoder decodes the rows that the tests write.
type testDecoder struct{}

func (testDecoder) Worker(row backend.Row) (backend.WorkerInfo, error) {
	var info backend.WorkerInfo
	if string(row.Value) == panickingValue {
		panic("the decoder")
	}
	err := json.Unmarshal(row.Value, &info)
	return info, err
}

func (testDecoder) Wave(row backend.Row) (backend.MaintenanceWave, bool, error) {
	if !strings.HasPrefix(row.Key, "wave") {
		return backend.MaintenanceWave{}, false, nil
	}
	var wave backend.MaintenanceWave
	err := json.Unmarshal(row.Value, &wave)
	return wave, err == nil, err
}

func (testDecoder) WaveStatus(number int, completed bool) backend.Row {
	key := backend.RowKey{Table: "status", Key: fmt.Sprint(number)}
	return backend.Row{RowKey: key, Value: []byte(fmt.Sprint(completed))}
}

func (d testDecoder) IsWaveCompleted(row backend.Row) bool {
	return string(row.Value) == string(d.WaveStatus(0, true).Value)
}

func (testDecoder) Config(row backend.Row) (job.Config, error) {
	var value testConfig
	if err := json.Unmarshal(row.Value, &value.Version); err != nil {
		if err := json.Unmarshal(row.Value, &value); err != nil {
			return job.Config{}, err
		}
	}
	return job.Config{
		Version: value.Version, Teams: value.Teams,
		Services: map[string]job.Service{testService: {Name: testService}},
		Queues: []job.Queue{{
			Name: testQueue, Host: "h", Prefix: "/b/", Service: testService, MaxAttempts: 3, Stretch: 2, ObjectiveMS: 250,
			Advice: &job.Advice{DecisionMS: 20, PerWorkerMS: 0.3, ValidityMS: 2500},
		}},
	}, nil
}

// nodeWorkers are the workers as one instance sees them. They do not answer an instance that is down.
type nodeWorkers struct {
	backend.Workers
	c    *testCell
	name string
}

// commandLatency is the duration of a command to a healthy worker; silentWorkerTimeout is the timeout of a call to a worker
// that does not answer.
const (
	commandLatency      = 2 * time.Millisecond
	silentWorkerTimeout = 1500 * time.Millisecond
)

// contactWorker fails if the instance is down or, after silentWorkerTimeout, if the worker is silent.
func (n nodeWorkers) contactWorker(worker string) error {
	n.c.mu.Lock()
	n.c.recordFaults()
	down, silent := n.c.down[n.name], n.c.silentWorkers[worker] || n.c.sides[n.name] != n.c.sides[worker]
	n.c.mu.Unlock()
	if down {
		return backends.ErrNoAnswer
	}
	if silent {
		time.Sleep(silentWorkerTimeout)
		return backends.ErrNoAnswer
	}
	return nil
}

// sendCommand simulates the latency of a command and counts it while it is in flight, unless the worker is silent.
func (n nodeWorkers) sendCommand(worker string) error {
	n.c.mu.Lock()
	if !n.c.silentWorkers[worker] {
		n.c.inFlight++
		n.c.maxInFlight = max(n.c.maxInFlight, n.c.inFlight)
		defer func() {
			n.c.mu.Lock()
			defer n.c.mu.Unlock()
			n.c.inFlight--
		}()
	}
	n.c.mu.Unlock()
	time.Sleep(commandLatency)
	return n.contactWorker(worker)
}

func (n nodeWorkers) Start(ctx context.Context, o backend.StartCommand) (backend.Reply, error) {
	if err := n.sendCommand(o.Worker.ID); err != nil {
		return backend.Reply{}, err
	}
	n.c.mu.Lock()
	n.c.startsBy[n.name]++
	n.c.mu.Unlock()
	ctx = backends.WithSender(ctx, backends.Sender{Instance: n.name})
	return callWithFault(ctx, n.c, pointStart, func(ctx context.Context) (backend.Reply, error) { return n.Workers.Start(ctx, o) })
}

func (n nodeWorkers) Stop(ctx context.Context, o backend.Command) (backend.Reply, error) {
	if err := n.sendCommand(o.Worker.ID); err != nil {
		return backend.Reply{}, err
	}
	return callWithFault(ctx, n.c, pointStop, func(ctx context.Context) (backend.Reply, error) { return n.Workers.Stop(ctx, o) })
}

func (n nodeWorkers) Poll(ctx context.Context, req backend.PollRequest) (backend.PollReply, error) {
	n.c.mu.Lock()
	n.c.pollsBy[n.name]++
	n.c.mu.Unlock()
	ctx = backends.WithSender(ctx, backends.Sender{Instance: n.name})
	if err := n.contactWorker(req.Worker.ID); err != nil {
		return backend.PollReply{}, err
	}
	return callWithFault(ctx, n.c, pointPoll, func(ctx context.Context) (backend.PollReply, error) { return n.Workers.Poll(ctx, req) })
}

// start starts an instance; its name is also its address.
func (c *testCell) start(name string) {
	log := logrus.New()
	log.SetOutput(lockedWriter{&c.mu, &c.log})
	log.SetFormatter(&logrus.JSONFormatter{})
	log.AddHook(panicHook{c, name})
	entry := log.WithField("instance", name)
	n := New(Options{
		Instance: name, PeerAddress: name, Peers: testPeers{c, name},
		ServePeers: func(ctx context.Context, _ peer.Handler) error { <-ctx.Done(); return nil },
		Tables:     nodeTables{slowTables{c.tables, c}, c, name}, Workers: nodeWorkers{c.workers, c, name},
		Advisor:  &faultyAdvisor{backends.Advisor{Delay: 25 * time.Millisecond, Validity: 2500 * time.Millisecond}, c},
		Machines: &c.machines, Decoder: testDecoder{},
		Sources: Sources{Config: backend.RowKey{Table: "config", Key: "current"}, Workers: "workers"},
		Log:     entry, Panics: recovery.NewRecorder(entry, c.recordPanic),
		OnDecision: func(d cell.Decision) {
			entry.WithFields(d.Fields).WithField("job", d.Job).WithField("at", c.now()).Info(d.Event)
		},
		CPUShare: c.cpuShareOf(name), LinkMbps: c.links[name], DelegateFrom: c.delegateFrom, KeyDeadline: c.keyDeadline, JobMemoryBytes: c.jobMemory,
		Lease: c.lease, MaxLease: backends.MaxLease, StopTimeout: 400 * time.Millisecond, Retention: time.Minute, Now: c.bootClock,
	})
	ctx, cancel := context.WithCancel(c.t.Context())
	node := &testNode{Node: n, cancel: cancel, done: make(chan struct{})}
	c.mu.Lock()
	c.nodes[name] = node
	delete(c.down, name)
	c.recordFaults()
	c.mu.Unlock()
	c.recordInstance(name, history.ChangeBoot)
	go func() {
		defer close(node.done)
		if err := n.Run(ctx); err != nil && ctx.Err() == nil {
			c.t.Errorf("instance %s: %v", name, err)
		}
	}()
}

func (c *testCell) cpuShareOf(name string) float64 {
	if share, ok := c.cpuShares[name]; ok {
		return share
	}
	return 1
}

// lockedWriter holds a lock during each write.
type lockedWriter struct {
	mu *sync.Mutex
	w  io.Writer
}

func (l lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// kill stops an instance without a graceful shutdown.
func (c *testCell) kill(name string) {
	c.mu.Lock()
	c.down[name] = true
	c.recordFaults()
	n := c.nodes[name]
	c.mu.Unlock()
	n.cancel()
	<-n.done
	c.recordInstance(name, history.ChangeEnded)
}

// stop checks the history of the cell, stops all instances and waits for their goroutines, which must have ended when the bubble does.
func (c *testCell) stop() {
	assert.Check(c.t, c.history.Close())
	defer checkHistory(c.t, c.history.written.Bytes())
	for _, n := range c.nodes {
		n.cancel()
	}
	for _, n := range c.nodes {
		<-n.done
	}
	// An insert can run for up to callTimeout after its caller has returned.
	time.Sleep(2 * slowCallTimeout)
	if c.t.Failed() {
		c.t.Log(c.logText())
	}
}

// setStoreFault sets the fault of the table service for one instance.
func (c *testCell) setStoreFault(name string, fault backends.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeFaults[name] = fault
}

// isolate disconnects an instance from all others.
func (c *testCell) isolate(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated = name
}

// setUnavailableShard makes a shard of the table service fail for all instances.
func (c *testCell) setUnavailableShard(shard string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailableShard = shard
}

// leader returns the name of the leader, or "" if none has loaded its state.
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

// follower returns an instance that does not lead.
func (c *testCell) follower() *testNode {
	leader := c.leader()
	for name, n := range c.nodes {
		if name != leader && !c.down[name] {
			return n
		}
	}
	return nil
}

// smallTask describes a task that uses one core for the duration d.
func smallTask(d time.Duration) backends.TaskBehavior {
	return backends.TaskBehavior{Resources: model.Resources{CPUMilli: 1000, MemoryMiB: 100}, Duration: d}
}
