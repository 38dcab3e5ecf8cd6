package node

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// holders returns the instances that hold the starts of the leader, by the last renewal.
func (c *testCell) holders() []string {
	var names []string
	if cover := decodeRenewal(c.tables.Rows(leaderTable)[renewalKey.Key].Value).Placements; cover != nil {
		for name := range cover.Holders {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// submitBacklog submits jobs whose tasks fill the workers twice over.
func (c *testCell) submitBacklog(jobs int, duration time.Duration) {
	for i := range jobs {
		assert.NilError(c.t, c.submit(c.follower(), fmt.Sprintf("job%02d", i), 4, smallTask(duration), nil))
	}
}

// requireBacklogCompleted fails the test unless the jobs of submitBacklog are completed.
func (c *testCell) requireBacklogCompleted(jobs int) {
	c.t.Helper()
	for i := range jobs {
		c.requireState(c.follower(), fmt.Sprintf("job%02d", i), job.Completed)
	}
}

// totalStarts returns the number of runs of the tasks of submitBacklog.
func (c *testCell) totalStarts(jobs int) int {
	n := 0
	for i := range jobs {
		for task := range 4 {
			n += c.workers.Starts(fmt.Sprintf("job%02d.0.0.%d", i, task))
		}
	}
	return n
}

// Guards against batch tasks that wait after a takeover for the leases of a worker on which they were never started.
func TestTasksDoNotWaitForWorkersTheyWereNotStartedOn(t *testing.T) {
	const jobs = 16
	for _, lost := range []string{"leader", "leader and a holder"} {
		t.Run(lost, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 5, 8)
				defer c.stop()
				c.useLongLeases()
				c.submitBacklog(jobs, 4*time.Second)
				time.Sleep(500 * time.Millisecond)
				holders := c.holders()
				assert.Equal(t, len(holders), maxPlacementHolders)
				old := c.leader()
				c.cutOff("w00")
				c.kill(old)
				if lost != "leader" {
					c.kill(holders[0])
				}
				c.awaitLeaderOtherThan(old)
				// By then the tasks on the other workers have ended, whose capacity is free.
				time.Sleep(5 * time.Second)
				assert.Assert(t, c.totalStarts(jobs) > 50, "%d of 64 tasks have started", c.totalStarts(jobs))
				time.Sleep(30 * time.Second)
				c.requireBacklogCompleted(jobs)
				assert.DeepEqual(t, c.workers.Violations(), []string(nil))
			})
		})
	}
}

// Guards against tasks that run twice because a successor takes starts for known that it does not know: the holders are lost with the leader, or
// refuse to hold any, or an instance takes over that was a holder and was given up.
func TestTasksWaitForUnreadWorkersWithoutTheStarts(t *testing.T) {
	const jobs = 8
	cases := map[string]func(c *testCell, old string){
		"holders lost with the leader": func(c *testCell, _ string) {
			for _, name := range c.holders() {
				c.kill(name)
			}
		},
		"holders restart at once": func(c *testCell, _ string) {
			for _, name := range c.holders() {
				c.kill(name)
				c.start(name)
			}
		},
		"former holder takes over": func(c *testCell, _ string) {
			given := c.holders()[0]
			c.isolate(given)
			time.Sleep(3 * time.Second)
			assert.Assert(c.t, !slices.Contains(c.holders(), given))
			c.submitBacklog(jobs, 9*time.Second)
			time.Sleep(200 * time.Millisecond)
			for _, name := range c.holders() {
				c.kill(name)
			}
			c.isolate("")
		},
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 5, 4)
				defer c.stop()
				c.useLongLeases()
				if name != "former holder takes over" {
					c.submitBacklog(jobs, 9*time.Second)
					time.Sleep(300 * time.Millisecond)
				}
				old := c.leader()
				lose(c, old)
				c.cutOff("w00")
				c.kill(old)
				time.Sleep(5 * time.Second)
				c.start(old)
				time.Sleep(70 * time.Second)
				c.requireBacklogCompleted(jobs)
				assert.DeepEqual(t, c.workers.Violations(), []string(nil))
			})
		})
	}
}

// Guards against tasks that do not start, or run twice, in a cell with instances of an earlier program, which hold no starts.
func TestInstancesOfAnEarlierProgramHoldNoStarts(t *testing.T) {
	const jobs = 8
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 3, 4)
		defer c.stop()
		c.mu.Lock()
		c.holdNoStarts = true
		c.mu.Unlock()
		c.useLongLeases()
		c.submitBacklog(jobs, 3*time.Second)
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, len(c.holders()), 0)
		assert.Assert(t, c.totalStarts(jobs) > 8)
		old := c.leader()
		c.cutOff("w00")
		c.kill(old)
		c.awaitLeaderOtherThan(old)
		time.Sleep(50 * time.Second)
		c.requireBacklogCompleted(jobs)
		assert.DeepEqual(t, c.workers.Violations(), []string(nil))
	})
}

// Guards against starts that wait for an instance that does not answer any longer: its successor as a holder, or a renewal without it, follows.
func TestStartsGoOnWithoutALostHolder(t *testing.T) {
	const jobs = 8
	for _, lost := range []int{1, 2} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 3, 4)
				defer c.stop()
				holders := c.holders()
				assert.Equal(t, len(holders), 2)
				for _, name := range holders[:lost] {
					c.kill(name)
				}
				c.submitBacklogThrough(c.leader(), jobs, 300*time.Millisecond)
				time.Sleep(3 * time.Second)
				assert.Equal(t, c.totalStarts(jobs), 4*jobs)
				assert.Assert(t, !slices.Contains(c.holders(), holders[0]))
			})
		})
	}
}

// submitBacklogThrough is submitBacklog through one instance.
func (c *testCell) submitBacklogThrough(name string, jobs int, duration time.Duration) {
	for i := range jobs {
		assert.NilError(c.t, c.submit(c.node(name), fmt.Sprintf("job%02d", i), 4, smallTask(duration), nil))
	}
}

// Guards against tasks that run twice, or never, when a message that replicates starts or hands them over is lost, late or repeated, or the
// leader is lost with it, while a worker is cut off and the leader is lost afterwards.
func TestFaultsOfReplicatedStarts(t *testing.T) {
	const jobs = 6
	faults := []callFault{faultRefused, faultSilent, faultAnswerLost, faultDelayed, faultRepeated, faultLeaderDies, faultDelegateDies}
	for _, point := range []faultPoint{pointReplicate, pointStart, pointHandOver} {
		for _, fault := range faults {
			for _, nth := range []int{1, 3, 8} {
				if point == pointHandOver && nth > 1 {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/%d", point, fault, nth), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						playReplicationFault(t, jobs, &injectedFault{point: point, fault: fault, nth: nth})
					})
				})
			}
		}
	}
}

func playReplicationFault(t *testing.T, jobs int, injected *injectedFault) {
	c := newTestCell(t, 4, 4)
	defer c.lateCalls.Wait()
	defer c.stop()
	c.useLongLeases()
	c.mu.Lock()
	c.injected = injected
	c.mu.Unlock()
	for i := range jobs {
		// A submission whose leader is lost may fail, and is repeated.
		for c.submit(c.follower(), fmt.Sprintf("job%02d", i), 4, smallTask(2*time.Second), nil) != nil {
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
	}
	w := c.workers.Info("w01")
	c.cutOff("w01")
	if old := c.leader(); old != "" {
		c.kill(old)
		time.Sleep(4 * time.Second)
		c.start(old)
	}
	time.Sleep(6 * time.Second)
	c.rejoin(w)
	time.Sleep(30 * time.Second)
	c.requireBacklogCompleted(jobs)
	assert.DeepEqual(t, c.workers.Violations(), []string(nil))
}

// Guards against a replica that loses starts, or takes them from a leader that has ended, by updates that are repeated, late, malformed or too
// large.
func TestPlacementReplica(t *testing.T) {
	start := func(task string, run int64) *peerpb.PlacementChange {
		return &peerpb.PlacementChange{Task: task, Run: run, Worker: "w"}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &Node{opts: Options{Log: logrus.NewEntry(log)}}
	update := func(epoch, after, sequence uint64, snapshot bool, changes ...*peerpb.PlacementChange) (*peerpb.PlacementAck, error) {
		return c.handlePlacementUpdate(&peerpb.PlacementUpdate{Epoch: epoch, After: after, Sequence: sequence, Snapshot: snapshot, Changes: changes, CoveredEpoch: 2})
	}
	tasks := func(epoch uint64) int {
		if r := c.placements.byEpoch[epoch]; r != nil {
			return len(r.workers)
		}
		return -1
	}
	ack, err := update(2, 0, 1, false, start("a", 1))
	assert.NilError(t, err)
	assert.Assert(t, ack.GetNeedsSnapshot(), "changes without a snapshot")
	ack, err = update(2, 0, 3, true, start("a", 1), start("b", 1))
	assert.NilError(t, err)
	assert.Equal(t, ack.GetSequence(), uint64(3))
	for range 2 {
		ack, err = update(2, 3, 5, false, start("c", 1), &peerpb.PlacementChange{Task: "a", Run: 1})
		assert.NilError(t, err)
		assert.Equal(t, ack.GetSequence(), uint64(5))
		assert.Equal(t, tasks(2), 2)
	}
	_, err = update(2, 0, 3, true, start("a", 1))
	assert.NilError(t, err)
	assert.Equal(t, tasks(2), 2, "a late snapshot replaces a later state")
	ack, err = update(2, 9, 10, false, start("d", 1))
	assert.NilError(t, err)
	assert.Assert(t, ack.GetNeedsSnapshot(), "a gap")
	_, err = update(3, 0, 1, true)
	assert.NilError(t, err)
	assert.Equal(t, tasks(2), 2, "the starts that a successor would ask for are dropped")

	held := c.handlePlacementFetch(&peerpb.PlacementFetch{Epoch: 2, Successor: 4})
	assert.Assert(t, held.GetFound())
	assert.Equal(t, len(held.GetPlacements()), 2)
	_, err = update(3, 1, 2, false, start("e", 1))
	assert.Equal(t, verdict.From(err).Code, verdict.CodeWrongOwner, "a leader before the successor goes on")
	assert.Assert(t, !c.handlePlacementFetch(&peerpb.PlacementFetch{Epoch: 9, Successor: 10}).GetFound())

	_, err = update(11, 0, 1, true, start("", 1))
	assert.Equal(t, verdict.From(err).Code, verdict.CodeInvalid)
	_, err = update(11, 0, 1, true, start("a", 0))
	assert.Equal(t, verdict.From(err).Code, verdict.CodeInvalid)
	var many []*peerpb.PlacementChange
	for i := range maxHeldPlacements + 1 {
		many = append(many, start(fmt.Sprint(i), 1))
	}
	_, err = update(11, 0, 1, true, many...)
	assert.Equal(t, verdict.From(err).Code, verdict.CodeOverloaded)
	assert.Equal(t, tasks(11), -1)
}

// Guards against starts that stand still for an outage of the store because a holder has restarted, which no renewal can leave out.
func TestStartsGoOnWhenAHolderReturnsDuringAnOutage(t *testing.T) {
	const jobs = 8
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 5, 2)
		defer c.stop()
		c.submitBacklog(jobs, 400*time.Millisecond)
		for name := range c.nodes {
			c.setStoreFault(name, backends.FaultRefused)
		}
		holder := c.holders()[0]
		c.kill(holder)
		time.Sleep(300 * time.Millisecond)
		c.start(holder)
		c.setStoreFault(holder, backends.FaultRefused)
		before := c.totalStarts(jobs)
		time.Sleep(2500 * time.Millisecond)
		assert.Assert(t, c.totalStarts(jobs) >= before+12, "%d tasks have started in 2.5 s", c.totalStarts(jobs)-before)
		for name := range c.nodes {
			c.setStoreFault(name, backends.FaultNone)
		}
		time.Sleep(10 * time.Second)
		c.requireBacklogCompleted(jobs)
		assert.DeepEqual(t, c.workers.Violations(), []string(nil))
	})
}

// BenchmarkPlacementReplica reports the memory of an instance that holds 100,000 starts, and the time that an update of 10 starts takes there.
func BenchmarkPlacementReplica(b *testing.B) {
	const held, perUpdate = 100_000, 10
	log := logrus.New()
	log.SetOutput(io.Discard)
	change := func(i int) *peerpb.PlacementChange {
		return &peerpb.PlacementChange{Task: fmt.Sprintf("%016x.0.0.%d", i/perUpdate, i%perUpdate), Run: 1, Worker: fmt.Sprintf("i-%08x", i%350)}
	}
	heapBytes := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heapBytes()
	n := &Node{opts: Options{Log: logrus.NewEntry(log)}}
	var all []*peerpb.PlacementChange
	for i := range held {
		all = append(all, change(i))
	}
	_, err := n.handlePlacementUpdate(&peerpb.PlacementUpdate{Epoch: 1, Sequence: held, Snapshot: true, Changes: all})
	assert.NilError(b, err)
	all = nil
	memory := heapBytes() - before
	sequence := uint64(held)
	for i := 0; b.Loop(); i++ {
		update := &peerpb.PlacementUpdate{Epoch: 1, After: sequence, Sequence: sequence + perUpdate}
		for k := range perUpdate {
			c := change((i*perUpdate + k) % held)
			update.Changes = append(update.Changes, c)
		}
		_, err := n.handlePlacementUpdate(update)
		assert.NilError(b, err)
		sequence += perUpdate
	}
	b.ReportMetric(float64(memory)/(1<<20), "MB")
	runtime.KeepAlive(n)
}
