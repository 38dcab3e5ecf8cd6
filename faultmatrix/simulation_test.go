// Package faultmatrix tests the whole scheduler against faults at every step. It runs instances in virtual time with
// in-memory fakes for callers, peer connections, the table service and workers, and checks what callers and workers observed.
package faultmatrix

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/instance"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/request/api"
	standinplatform "github.com/lentiltide/lentiltide/standin/platform"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

const (
	instanceCount  = 3
	rackCount      = 3
	workersPerRack = 2
	// outage is how long pauses, outages and network partitions last. It exceeds a lease (15 s) and its margin.
	outage = 20 * time.Second
	// account and team are those of all callers, as in an office that shares one account.
	account, team = "office", "fleet"
)

var workerCapacity = model.Resources{CPUMilli: 8000, MemoryMiB: 16_384, Slots: 8, Connections: 60}

// node is one instance with its API server. A nil node stands for a party that is not an instance.
type node struct {
	id   string
	core *instance.Instance
	api  *api.Server

	mu   sync.Mutex
	dead bool
	// paused is closed when the current pause ends; nil while the node is not paused.
	paused chan struct{}
	// stopped is closed at the end of the simulation.
	stopped <-chan struct{}
}

// idOrEmpty returns the ID of the node, or "" for a nil node.
func (n *node) idOrEmpty() string {
	if n == nil {
		return ""
	}
	return n.id
}

// awaitRunning blocks while the node is paused and reports whether it is alive afterwards. A nil node is always alive.
func (n *node) awaitRunning() bool {
	if n == nil {
		return true
	}
	for {
		n.mu.Lock()
		dead, paused := n.dead, n.paused
		n.mu.Unlock()
		if dead || paused == nil {
			return !dead
		}
		select {
		case <-paused:
		case <-n.stopped:
			return false
		}
	}
}

// workerStub is a stand-in worker whose connection and task results faults can change.
type workerStub struct {
	id    string
	agent *standinworker.Agent

	mu sync.Mutex
	// disconnectFaults is the number of active faults that make the worker unreachable.
	disconnectFaults int
	// failTaskFaults is the number of active faults that make every task fail.
	failTaskFaults int
}

// add changes a counter of the worker under its lock.
func (stub *workerStub) add(counter *int, by int) {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	*counter += by
}

func (stub *workerStub) reachable() bool {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	return stub.disconnectFaults == 0
}

// mutations are wrappers that disable protections of the scheduler, to show that the matrix detects their absence.
type mutations struct {
	table   func(store.Table) store.Table
	agent   func(worker.Agent, *workerStub) worker.Agent
	backend func(api.Backend) api.Backend
}

// simulation is the cluster in which one cell of the matrix runs.
type simulation struct {
	t        *testing.T
	table    *standinplatform.Table
	objects  *standinplatform.Objects
	observer *standinworker.Observer
	workers  map[string]*workerStub
	seed     uint64
	mutate   mutations

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu           sync.Mutex
	nodes        map[string]*node // by ID; only nodes that have not died
	nodesStarted int
	members      []store.Member
	// staleMembers is what the member list returns instead of members; nil while the list is up to date.
	staleMembers []store.Member
	// storeOutages and storeSlowdowns are the numbers of active faults of the store.
	storeOutages   int
	storeSlowdowns int
	armedFaults    []*armedFault
	// handingOver is set while an instance shuts down gracefully.
	handingOver bool
	// previousAnswers holds the latest answer of each swap group.
	previousAnswers map[string]any
	// history lists the messages in the order of their arrival.
	history         []string
	startsByPayload map[string]int
	// taskByPayload holds the latest task that a worker started for a payload.
	taskByPayload  map[string]model.TaskID
	acceptedStarts map[model.TaskID]acceptedStart
	startsByWorker map[string][]observedStart
}

// observedStart is a start of a task that a worker observed.
type observedStart struct {
	at   time.Time
	task model.TaskID
}

// acceptedStart is a start request that a worker accepted.
type acceptedStart struct {
	rack  string
	token model.StartToken
}

func newSimulation(t *testing.T, seed uint64, mutate mutations) *simulation {
	sim := &simulation{
		t: t, table: standinplatform.NewTable(), objects: standinplatform.NewObjects(), mutate: mutate,
		observer: standinworker.NewObserver(time.Now), workers: map[string]*workerStub{}, seed: seed,
		nodes: map[string]*node{}, previousAnswers: map[string]any{}, startsByPayload: map[string]int{}, taskByPayload: map[string]model.TaskID{},
		acceptedStarts: map[model.TaskID]acceptedStart{}, startsByWorker: map[string][]observedStart{},
	}
	sim.ctx, sim.cancel = context.WithCancel(context.Background())
	for i := range rackCount * workersPerRack {
		sim.addWorker(fmt.Sprintf("worker-%d", i), fmt.Sprintf("rack-%d", i/workersPerRack))
	}
	for range instanceCount {
		sim.addNode()
	}
	return sim
}

func (sim *simulation) addWorker(id, rack string) {
	stub := &workerStub{id: id}
	stub.agent = standinworker.New(standinworker.Options{
		ID: id, Capacity: workerCapacity, Clock: newClock(), Observer: sim.observer,
		Behave: func(task model.Task) standinworker.Behavior { return sim.taskBehavior(stub, task) },
	})
	sim.workers[id] = stub
	sim.members = append(sim.members, store.Member{
		ID: id, Role: store.RoleWorker, State: store.MemberLive, Region: "estonia", Zone: "zone-" + rack, Rack: rack,
		Address: id, Capacity: workerCapacity,
	})
}

// taskBehavior records a start of a task on a worker and returns the run time, the result and the answer of the task.
func (sim *simulation) taskBehavior(stub *workerStub, task model.Task) standinworker.Behavior {
	stub.mu.Lock()
	failing := stub.failTaskFaults > 0
	stub.mu.Unlock()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.startsByPayload[string(task.Payload)]++
	sim.taskByPayload[string(task.Payload)] = task.ID
	sim.startsByWorker[stub.id] = append(sim.startsByWorker[stub.id], observedStart{time.Now(), task.ID})
	return standinworker.Behavior{
		RunTime: time.Duration(task.RunTimeMS) * time.Millisecond, Fail: failing, Answer: expectedAnswer(string(task.Payload)),
	}
}

// expectedAnswer returns the only correct answer to a payload.
func expectedAnswer(payload string) []byte { return []byte("answer to " + payload) }

// addNode starts an instance with the next number.
func (sim *simulation) addNode() *node {
	sim.mu.Lock()
	sim.nodesStarted++
	n := &node{id: fmt.Sprintf("entry-%d", sim.nodesStarted), stopped: sim.ctx.Done()}
	sim.mu.Unlock()
	config := settings.Default()
	config.Instance, config.PeerAddress, config.Region, config.Zone = n.id, n.id, "estonia", "zone-rack-0"
	log := logrus.New()
	log.SetOutput(io.Discard)
	var table store.Table = &faultyTable{sim: sim, n: n}
	if sim.mutate.table != nil {
		table = sim.mutate.table(table)
	}
	n.core = instance.New(instance.Options{
		Settings: config, Clock: newClock(), Table: table, Objects: sim.objects, Members: &faultyMemberList{sim: sim, n: n},
		Workers: &faultyDialer{sim: sim, n: n}, Peers: &faultyPeers{sim: sim, n: n}, Log: log, Seed: sim.seed, NewID: sim.idSource(n),
		IntentPartitions: []int{model.IntentPartition(account, team)},
	})
	var b api.Backend = n.core
	if sim.mutate.backend != nil {
		b = sim.mutate.backend(b)
	}
	n.api = api.New(api.Options{Address: "127.0.0.1:0", Backend: b, Clock: newClock(), Log: log})
	n.core.SetCallHandler(n.api.HandleForward)
	sim.mu.Lock()
	sim.nodes[n.id] = n
	sim.mu.Unlock()
	n.core.Start()
	return n
}

// idSource returns a generator of identifiers for a node. It is seeded with the ID of the node and the seed of the simulation,
// so that each run gets the same identifiers.
func (sim *simulation) idSource(n *node) func() string {
	var mu sync.Mutex
	rng := rand.NewChaCha8(sha256.Sum256(fmt.Appendf(nil, "%s %d", n.id, sim.seed)))
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		return uuid.Must(uuid.NewRandomFromReader(rng)).String()
	}
}

// liveNodes returns the instances that have not died, in the order in which they were started.
func (sim *simulation) liveNodes() []*node {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var live []*node
	for i := 1; i <= sim.nodesStarted; i++ {
		if n := sim.nodes[fmt.Sprintf("entry-%d", i)]; n != nil {
			live = append(live, n)
		}
	}
	return live
}

// crash stops a node without a graceful shutdown and starts another one after 5 s. It does nothing for a node that has died.
func (sim *simulation) crash(n *node) {
	sim.mu.Lock()
	registered := sim.nodes[n.id] == n
	delete(sim.nodes, n.id)
	sim.mu.Unlock()
	if !registered {
		return
	}
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	sim.runAfter(0, n.core.Close)
	sim.runAfter(5*time.Second, func() { sim.addNode() })
}

// pause blocks all messages of a node for the length of an outage, which is longer than its leases. It does nothing for a node
// that is paused already.
func (sim *simulation) pause(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused != nil {
		return
	}
	resume := make(chan struct{})
	n.paused = resume
	sim.runAfter(outage, func() {
		n.mu.Lock()
		n.paused = nil
		n.mu.Unlock()
		close(resume)
	})
}

// runAfter runs f after a delay. If the simulation ends first, f runs only if the delay is 0.
func (sim *simulation) runAfter(d time.Duration, f func()) {
	sim.wg.Add(1)
	go func() {
		defer sim.wg.Done()
		select {
		case <-after(d):
			f()
		case <-sim.ctx.Done():
			if d == 0 {
				f()
			}
		}
	}()
}

// close stops all instances and waits for the goroutines of the simulation.
func (sim *simulation) close() {
	sim.cancel()
	for _, n := range sim.liveNodes() {
		n.mu.Lock()
		n.dead = true
		n.mu.Unlock()
		n.core.Close()
	}
	sim.wg.Wait()
}
