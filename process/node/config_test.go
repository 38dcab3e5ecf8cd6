package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// configKey is the row of the configuration in a test cell.
var configKey = backend.RowKey{Table: "config", Key: "current"}

// setTransferTime sets how long an instance takes to read rows of the configuration: it has a slow link.
func (c *testCell) setTransferTime(name string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transferTimes[name] = d
}

// transfer simulates the transfer of rows to an instance: data arrives every 100 ms until the transfer time of the instance has
// passed.
func (n nodeTables) transfer(ctx context.Context, page backend.Page) error {
	n.c.mu.Lock()
	remaining := n.c.transferTimes[n.name]
	n.c.mu.Unlock()
	hasConfig := slices.ContainsFunc(page.Rows, func(row backend.Row) bool { return row.RowKey == configKey })
	for ; hasConfig && remaining > 0; remaining -= 100 * time.Millisecond {
		backend.ReportProgress(ctx)
		if !pause(ctx, 100*time.Millisecond) {
			return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "transfer")
		}
	}
	return nil
}

// requireOutdated checks what an instance answers that knows that its configuration is outdated.
func (c *testCell) requireOutdated(n *testNode) {
	c.t.Helper()
	for what, err := range map[string]error{
		"submission":    c.submit(n, "late", 1, smallTask(time.Second), nil),
		"count":         countWaiting(c, n),
		"unknown queue": unknownQueue(n),
	} {
		assert.Assert(c.t, err != nil, what)
		e := verdict.From(err)
		assert.Equal(c.t, e.Code, verdict.CodeUnavailable, what)
		assert.Equal(c.t, e.Verdict, verdict.NotRun, what)
		assert.Assert(c.t, e.RetryAfter > 0, what)
	}
	assert.Assert(c.t, !n.Ready())
}

// requireCurrent checks what an instance answers whose configuration may be current.
func (c *testCell) requireCurrent(n *testNode, id string) {
	c.t.Helper()
	assert.NilError(c.t, c.submit(n, id, 1, smallTask(time.Second), nil))
	assert.NilError(c.t, countWaiting(c, n))
	assert.Equal(c.t, verdict.From(unknownQueue(n)).Code, verdict.CodeNotFound)
	assert.Assert(c.t, n.Ready())
}

func countWaiting(c *testCell, n *testNode) error {
	_, err := c.waiting(n)
	return err
}

func unknownQueue(n *testNode) error {
	_, err := n.Queue("h", "/unknown/")
	return err
}

// Guards against an instance that goes on answering by a configuration of which it knows that a newer one exists: its link
// takes longer to transfer the newer one than a change may take to be in force.
func TestOutdatedConfigurationIsNotUsed(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		slow := c.follower()
		c.isolate(slow.opts.Instance)
		c.setTransferTime(slow.opts.Instance, 8*time.Second)
		c.requireCurrent(slow, "a")
		c.writeConfig([]byte("2"))
		time.Sleep(2 * time.Second)
		assert.NilError(t, c.submit(slow, "b", 1, smallTask(time.Second), nil), "the change need not be in force yet")
		time.Sleep(time.Second)
		c.requireOutdated(slow)
		_, err := c.state(slow, "a")
		assert.NilError(t, err, "the state of a job does not depend on the configuration")
		time.Sleep(6 * time.Second)
		assert.Equal(t, slow.Status().Config, uint64(2))
		assert.NilError(t, c.submit(slow, "c", 1, smallTask(time.Second), nil))
	})
}

func (n nodeTables) countConfigRead(table string) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if table == configKey.Table {
		n.c.configReads[n.name]++
	}
}

// configReadsOf returns the number of long polls of an instance for the configuration.
func (c *testCell) configReadsOf(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configReads[name]
}

// runWithSlowLinks runs a test in a cell of which two instances have fast links and two have slow ones, over which a configuration
// takes eight seconds.
func runWithSlowLinks(t *testing.T, test func(t *testing.T, c *testCell, slow *testNode)) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 0, 4)
		defer c.stop()
		c.links = map[string]float64{"fast0": 200, "fast1": 200, "slow0": 10, "slow1": 10}
		c.cpuShares = map[string]float64{"slow0": 0.2, "slow1": 0.2}
		for _, name := range []string{"fast0", "fast1", "slow0", "slow1"} {
			c.start(name)
		}
		for _, name := range []string{"slow0", "slow1"} {
			c.setTransferTime(name, 8*time.Second)
		}
		// The first configuration is read directly.
		time.Sleep(12 * time.Second)
		test(t, c, c.nodes["slow0"])
		assert.DeepEqual(t, c.workers.Violations(), []string(nil))
	})
}

// Guards against instances with slow links that read each configuration whole, which takes longer than a change may take to be in
// force, and against maintenance requests that they miss.
func TestConfigurationReachesSlowLinksThroughOthers(t *testing.T) {
	runWithSlowLinks(t, func(t *testing.T, c *testCell, slow *testNode) {
		reads := c.configReadsOf("slow0")
		for version := 2; version <= 20; version++ {
			c.writeConfig([]byte(strconv.Itoa(version)))
			time.Sleep(600 * time.Millisecond)
			assert.Equal(t, slow.Status().Config, uint64(version))
			assert.NilError(t, c.submit(slow, fmt.Sprint("job", version), 1, smallTask(100*time.Millisecond), nil))
		}
		wave, err := json.Marshal(backend.MaintenanceWave{Number: 4, Machines: []string{"m1"}, Duration: 20 * time.Second, MaxUnavailable: 1})
		assert.NilError(t, err)
		c.tables.Put(backend.RowKey{Table: configKey.Table, Key: "wave4"}, wave)
		time.Sleep(600 * time.Millisecond)
		slow.mu.Lock()
		defer slow.mu.Unlock()
		assert.Equal(t, len(slow.waves), 1)
		assert.DeepEqual(t, slow.waves[0].Machines, []string{"m1"})
		assert.Assert(t, c.configReadsOf("slow0") == reads, "the instance read the table itself")
	})
}

// Guards against an instance that stays behind because the instances from which it gets the configuration are lost or cut off.
func TestConfigurationWithoutSources(t *testing.T) {
	cases := map[string]struct {
		lose   func(c *testCell)
		within time.Duration
	}{
		"one source is lost":   {func(c *testCell) { c.kill(c.fastFollower()) }, 3 * time.Second},
		"the leader is lost":   {func(c *testCell) { c.kill(c.leader()) }, 10 * time.Second},
		"all sources are lost": {func(c *testCell) { c.kill("fast0"); c.kill("fast1") }, 14 * time.Second},
		"it is cut off":        {func(c *testCell) { c.isolate("slow0") }, 12 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runWithSlowLinks(t, func(t *testing.T, c *testCell, slow *testNode) {
				tc.lose(c)
				c.writeConfig([]byte("2"))
				time.Sleep(tc.within)
				assert.Equal(t, slow.Status().Config, uint64(2))
				assert.NilError(t, c.submit(slow, "a", 1, smallTask(time.Second), nil))
			})
		})
	}
}

// fastFollower returns the name of the instance with a fast link that does not lead.
func (c *testCell) fastFollower() string {
	if c.leader() == "fast0" {
		return "fast1"
	}
	return "fast0"
}

// Guards against a message that a peer cannot decode or that changes a configuration, and against one that is as large as the whole.
func TestConfigDeltaMessages(t *testing.T) {
	cfg := job.Config{Version: 3, MaxBodyBytes: 9, Services: map[string]job.Service{
		"s": {Name: "s", RejectsOverload: true, PoweredOff: true, HealthPath: "/health"},
	}}
	for i := range 4200 {
		cfg.Queues = append(cfg.Queues, job.Queue{
			Name: fmt.Sprintf("r-%07d", i), Host: "host07.example", Prefix: fmt.Sprintf("/pa%06d/", i), Service: "s", Priority: i % 3,
			MaxAttempts: 3, Stretch: 2.2, ObjectiveMS: 2500, Advice: &job.Advice{DecisionMS: 26, PerWorkerMS: 0.364, ValidityMS: 2000},
		})
	}
	whole := deltaToProto(job.WholeConfig(cfg))
	got, err := deltaFromProto(whole).Apply(job.Config{})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, cfg)
	next := cfg
	next.Version, next.Queues = 4, append(cfg.Queues[1:len(cfg.Queues):len(cfg.Queues)], job.Queue{Name: "new", Host: "h", Prefix: "/n/"})
	delta, ok := job.DiffConfig(cfg, next)
	assert.Assert(t, ok)
	got, err = deltaFromProto(deltaToProto(delta)).Apply(cfg)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, next)
	assert.Assert(t, proto.Size(deltaToProto(delta)) < 200, "%d bytes", proto.Size(deltaToProto(delta)))
	t.Logf("whole: %d bytes, a change: %d bytes", proto.Size(whole), proto.Size(deltaToProto(delta)))
	assert.Assert(t, proto.Size(whole) < 500_000, "%d bytes", proto.Size(whole))
}

// Guards against refusals while the store is away: without a sign of a change the last configuration stays in use, but a queue
// that it lacks may have been added.
func TestUnconfirmedConfigurationIsUsed(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		n := c.follower()
		for name := range c.nodes {
			c.setStoreFault(name, backends.FaultNoAnswer)
		}
		time.Sleep(5 * time.Second)
		_, err := n.Queue("h", "/b/x")
		assert.NilError(t, err)
		e := verdict.From(unknownQueue(n))
		assert.Equal(t, e.Code, verdict.CodeUnavailable)
		assert.Equal(t, e.Verdict, verdict.NotRun)
		assert.Assert(t, e.RetryAfter > 0)
	})
}
