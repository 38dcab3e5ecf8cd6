package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/standin/wire"
)

const (
	testHost, testPrefix, testService = "desk.example", "/jobs/", "desk"
	// taskTime is the run time of a task.
	taskTime = 400 * time.Millisecond
	// coresPerWorker is the capacity of a worker that has not shrunk. A task needs one core.
	coresPerWorker = 4
	// crashDelay is the time from the start of a task that crashes its worker to the crash, and crashDowntime how long the worker
	// is away.
	crashDelay, crashDowntime = 20 * time.Millisecond, 3 * time.Second
)

// maxIdleConns is the number of open connections to each node that clients keep, whether or not it answers.
const maxIdleConns = 64

// cluster is a set of real node processes that use stand-ins for the platform, which run in the test process.
type cluster struct {
	t *testing.T
	// memoryMB is the memory of each node, in megabytes.
	memoryMB  int64
	dir       string
	binary    string
	startedAt time.Time
	tables    *backends.Tables
	workers   *backends.Workers
	nodes     []*nodeProcess
	// workerLinks are the proxies to the workers, in the order of the workers.
	workerLinks []*proxy
	http        *http.Client
	history     *cellHistory
	// key is the key that calls carry; empty for none.
	key string
	// servicesFail says that service tasks fail at their age.
	servicesFail atomic.Bool

	// mu protects the teams of the next configuration.
	mu    sync.Mutex
	teams []wire.Team
}

// nodeProcess is a node that is started as a process and may be restarted.
type nodeProcess struct {
	name          string
	settings      string
	callerAddress string
	// storeLink is the proxy to the table service.
	storeLink *proxy

	history *cellHistory
	// restarting is held while the process is restarted.
	restarting sync.Mutex

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// buildNode builds the node program once per test process and returns its path.
var buildNode = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "lentiltide-soak")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "lentiltide-node")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/lentiltide-node").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build lentiltide-node: %w: %s", err, out)
	}
	return binary, nil
})

func newCluster(t *testing.T, nodes, workers int) *cluster {
	return newClusterWithMemory(t, nodes, workers, usualMemoryMB)
}

// usualMemoryMB is the memory of a node unless a test asks for another.
const usualMemoryMB = 256

func newClusterWithMemory(t *testing.T, nodes, workers int, memoryMB int64) *cluster {
	return startCluster(t, nodes, workers, nil, memoryMB)
}

// newClusterWithTeams starts a cluster whose nodes fail closed, with teams that may be nil. Calls carry the first key of the first.
func newClusterWithTeams(t *testing.T, nodes, workers int, teams []wire.Team) *cluster {
	return startCluster(t, nodes, workers, teams, usualMemoryMB)
}

func startCluster(t *testing.T, nodes, workers int, teams []wire.Team, memoryMB int64) *cluster {
	binary, err := buildNode()
	assert.NilError(t, err)
	c := &cluster{t: t, dir: t.TempDir(), binary: binary, startedAt: time.Now(), tables: backends.NewTables(), http: newClient(), teams: teams, memoryMB: memoryMB}
	c.history = newCellHistory(t, c.dir, c.startedAt)
	c.tables.SetHistory(c.history.Recorder)
	if len(teams) > 0 {
		c.key = teams[0].Keys[0]
	}
	each := model.Resources{CPUMilli: 1000, MemoryMiB: 100}
	c.workers = backends.NewWorkers(func() time.Duration { return time.Since(c.startedAt) }, func(task string) backends.TaskBehavior {
		behavior := backends.TaskBehavior{Resources: each, Duration: taskTime}
		switch {
		case isLong(task):
			behavior.Duration = longTaskTime
		case isMedium(task):
			behavior.Duration = mediumTaskTime
		case isService(task):
			return c.serviceBehavior(task, each)
		case kindOf(task) != nil:
			return kindOf(task).behavior(each)
		}
		if crashesWorkers(task) {
			behavior.Crash = &backends.Crash{Delay: crashDelay, Downtime: crashDowntime}
		}
		return behavior
	})
	c.workers.SetHistory(c.history.Recorder)
	c.workers.SetInstanceOf(c.leaderOf)
	c.workers.SetRegistry(backends.Registry{Write: c.writeRegistryEntry, Remove: c.removeRegistryEntry})
	c.writeConfig(1, testPrefix)
	for i := range workers {
		c.addWorker(workerName(i), rackLabel(i))
	}
	storeAddress := c.serve(wire.Tables(c.tables))
	adviceAddress := c.serve(wire.Advisor(&backends.Advisor{Delay: 10 * time.Millisecond, Validity: 2500 * time.Millisecond}))
	for i := range nodes {
		n := c.newNode(fmt.Sprintf("n%d", i), linkOf(i), storeAddress, adviceAddress)
		c.nodes = append(c.nodes, n)
		c.start(n)
	}
	t.Cleanup(c.close)
	return c
}

// newClient returns an HTTP client that keeps its connections to a node until the process closes them or is gone.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}
}

// writeConfig writes a configuration with queues of some prefixes and the teams.
func (c *cluster) writeConfig(version uint64, prefixes ...string) {
	c.mu.Lock()
	teams := c.teams
	c.mu.Unlock()
	key, value := wire.ConfigRowWithTeams(version, testHost, testService, teams, prefixes...)
	c.history.recordConfig(history.ChangeWritten, version, prefixes)
	c.tables.Put(key, value)
	c.history.recordConfig(history.ChangeConfirmed, version, prefixes)
}

// serve starts an HTTP server for handler and returns its address.
func (c *cluster) serve(handler http.Handler) string {
	server, address, err := wire.Serve(handler)
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { _ = server.Close() })
	return address
}

// addWorker adds a stand-in worker with the label of its rack, which nodes reach through a proxy.
func (c *cluster) addWorker(id, rack string) {
	info := backend.WorkerInfo{
		ID: id, Service: testService, Zone: "a", Labels: []string{"k", rack}, StartedMS: time.Now().UnixMilli(),
		Capacity: capacityOf(coresPerWorker),
	}
	link := newProxy(c.t, c.serve(wire.Worker(c.workers, id)), func(f linkFault) { c.history.recordLink(id, "", f) })
	c.workerLinks = append(c.workerLinks, link)
	info.Address = link.address()
	c.workers.Add(info)
	c.writeRegistryEntry(info)
}

func (c *cluster) writeRegistryEntry(info backend.WorkerInfo) {
	key, value := wire.RegistryRow(info)
	c.tables.Put(key, value)
	c.history.recordEntry(info)
}

func (c *cluster) removeRegistryEntry(id string) {
	key, _ := wire.RegistryRow(backend.WorkerInfo{ID: id})
	c.tables.Delete(key)
	c.history.recordRemoval(id)
}

func capacityOf(cores int) model.Resources {
	return model.Resources{CPUMilli: 1000 * int64(cores), MemoryMiB: 8000}
}

// setCores changes the capacity of a running worker and its registry entry.
func (c *cluster) setCores(worker, cores int) {
	id := workerName(worker)
	c.t.Logf("%v: worker %s has %d cores", time.Since(c.startedAt).Round(time.Millisecond), id, cores)
	c.writeRegistryEntry(c.workers.SetCapacity(id, capacityOf(cores), backends.ShrinkGrace))
}

func workerName(i int) string { return fmt.Sprintf("w%02d", i) }

// rackCount is the number of racks, over which the workers are spread.
const rackCount = 2

func rackLabel(worker int) string { return fmt.Sprintf("r%d", 1+worker%rackCount) }

const (
	// firstNodePort and nodePorts are the range of the ports of nodes. It is outside the range from which the system chooses ports
	// of connections and of listeners without a fixed port, so that none of them occupies the port of a node that is down.
	firstNodePort, nodePorts = 20000, 12000
)

// lastNodePort is the number, within the range, of the last port that freeAddress has tried. It starts at a random one because
// other test processes use the same range.
var lastNodePort = func() *atomic.Int64 {
	number := &atomic.Int64{}
	number.Store(rand.Int64N(nodePorts))
	return number
}()

// freeAddress returns a loopback address with a port that was free during the call and that no other call returns.
func freeAddress(t *testing.T) string {
	for range nodePorts {
		port := firstNodePort + lastNodePort.Add(1)%nodePorts
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

// newNode writes the settings of a node, which reaches the table service through its own proxy.
func (c *cluster) newNode(name string, linkMbps int, storeAddress, adviceAddress string) *nodeProcess {
	n := &nodeProcess{name: name, callerAddress: freeAddress(c.t), history: c.history}
	n.storeLink = newProxy(c.t, storeAddress, func(f linkFault) { c.history.recordLink(name, storeName, f) })
	settings := map[string]any{
		"instance": name, "region": "r", "zone": "a", "caller_address": n.callerAddress, "ready_address": freeAddress(c.t),
		"peer_address": freeAddress(c.t), "store_address": n.storeLink.address(), "advice_address": adviceAddress,
		"cpu_share": 0.5, "link_mbps": linkMbps, "memory_mb": c.memoryMB, "max_lease_ms": 6000, "grace_s": 4,
	}
	if len(c.teams) > 0 {
		settings["fail_closed"], settings["key_deadline_ms"] = true, keyDeadline.Milliseconds()
	}
	data, err := json.Marshal(settings)
	assert.NilError(c.t, err)
	n.settings = filepath.Join(c.dir, name+".json")
	assert.NilError(c.t, os.WriteFile(n.settings, data, 0o600))
	return n
}

// start starts the process of a node and appends its log to a file that close keeps if the test fails.
func (c *cluster) start(n *nodeProcess) {
	log, err := os.OpenFile(filepath.Join(c.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	c.startWith(n, log)
}

// startWith starts the process of a node with log as its standard output and error. It closes log when the process exits.
func (c *cluster) startWith(n *nodeProcess, log *os.File) {
	cmd := exec.Command(c.binary, "--settings", n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(c.t, cmd.Start())
	c.history.endFaults(history.TargetInstance, n.name, "")
	c.history.recordInstance(n.name, history.ChangeBoot)
	exited := make(chan struct{})
	go func() {
		// An error is expected, because the tests kill the process.
		_ = cmd.Wait()
		c.history.recordInstance(n.name, history.ChangeEnded)
		_ = log.Close()
		close(exited)
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd, n.exited = cmd, exited
}

// signal sends a signal to the process of the node.
func (n *nodeProcess) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.history.recordSignal(n.name, s)
	// The error of a process that has exited is ignored.
	_ = n.cmd.Process.Signal(s)
	if s == syscall.SIGCONT {
		n.history.endFaults(history.TargetInstance, n.name, "", history.FaultFreeze)
	}
}

// restart sends a signal to the process of a node, waits for its exit, and starts it again after downtime. A process that does
// not exit within 10 s fails the test and is killed.
func (c *cluster) restart(n *nodeProcess, s syscall.Signal, downtime time.Duration) {
	n.restarting.Lock()
	defer n.restarting.Unlock()
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	n.signal(s)
	select {
	case <-exited:
	case <-time.After(10 * time.Second):
		c.t.Errorf("node %s did not exit within 10s of signal %v", n.name, s)
		n.signal(syscall.SIGKILL)
		<-exited
	}
	time.Sleep(downtime)
	c.start(n)
}

// close checks the history, kills the node processes and, if the test failed, copies the history and their logs to a directory that
// outlives it.
func (c *cluster) close() {
	c.checkHistory()
	for _, n := range c.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	if !c.t.Failed() {
		return
	}
	logDir, err := os.MkdirTemp("", "lentiltide-soak-logs")
	if err == nil {
		err = os.CopyFS(logDir, os.DirFS(c.dir))
	}
	c.t.Logf("logs of the nodes and history: %s (copy error: %v)", logDir, err)
}

// call sends a request for a job to a node and returns the status and the body of the answer. If there is no answer, the
// status is 0 and answer is the error.
func (c *cluster) call(n *nodeProcess, method, id, body string) (status int, answer string) {
	return c.callPath(n, method, testPrefix+id, body)
}

// callPath sends a request to a node and returns the status and the body of the response, or status 0 and an error.
func (c *cluster) callPath(n *nodeProcess, method, path, body string) (status int, answer string) {
	return c.callWithKey(n, method, path, c.key, body)
}

// callWithKey is callPath with a key, which may be empty. The history has only requests with the key of the cluster.
func (c *cluster) callWithKey(n *nodeProcess, method, path, key, body string) (status int, answer string) {
	if key != c.key {
		return c.send(n, method, path, key, body)
	}
	call := c.history.recordCall(n, method, path, body)
	status, answer = c.send(n, method, path, key, body)
	c.history.recordAnswer(call, status, answer)
	return status, answer
}

// send is callWithKey without a record in the history.
func (c *cluster) send(n *nodeProcess, method, path, key, body string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = testHost
	req.Header.Set("Remaining-Time", "3000")
	if key != "" {
		req.Header.Set("Key", key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}
