package node

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// cutOffLeader cuts the leader off from the store, also on paths through other instances, and splits the workers between it and the other
// instances. It returns the name of the leader.
func (c *testCell) cutOffLeader(workers ...string) string {
	old := c.leader()
	c.mu.Lock()
	c.relaysFail = true
	for _, name := range append(workers, old) {
		c.sides[name] = 1
	}
	c.mu.Unlock()
	c.setStoreFault(old, backends.FaultNoAnswer)
	return old
}

// cutOffStore makes the store refuse an instance, also on paths through other instances.
func (c *testCell) cutOffStore(name string) {
	c.setStoreFault(name, backends.FaultRefused)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relaysFail = true
}

// rejoinLeader ends cutOffLeader and cutOffStore.
func (c *testCell) rejoinLeader(old string) {
	c.setStoreFault(old, backends.FaultNone)
	c.mu.Lock()
	clear(c.sides)
	c.relaysFail = false
	c.mu.Unlock()
}

// awaitLeaderOtherThan waits until another instance leads.
func (c *testCell) awaitLeaderOtherThan(old string) string {
	for range 1000 {
		for name, n := range c.nodes {
			if name != old && n.loadedLeadership() != nil {
				return name
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("no other instance leads")
	return ""
}

// claimLate writes a takeover of an instance, which does not lead by it, as the store does that executes a write seconds after it was sent.
func (c *testCell) claimLate(name string) {
	current := c.tables.Rows(leaderTable)[leaderKey.Key]
	var row leaderRow
	assert.NilError(c.t, json.Unmarshal(current.Value, &row))
	row = leaderRow{Epoch: row.Epoch + 1, Instance: name, Address: name, Claim: "late", leaseExtensionFields: leaseExtensionFields{LeaseExtensionMS: suspendAfter.Milliseconds()}}
	value, err := json.Marshal(row)
	assert.NilError(c.t, err)
	_, err = c.tables.Commit(c.t.Context(), backend.Txn{
		Expected: []backend.Row{{RowKey: leaderKey, Version: current.Version}}, Put: []backend.Row{{RowKey: leaderKey, Value: value}},
	})
	assert.NilError(c.t, err)
}

// Guards against tasks that run twice because a leader accounts only for the leases of the leader just before it: one that is cut off
// from the store and from the instances extends leases for some seconds, whoever leads meanwhile.
func TestLeasesOfLeadersBeforeThePredecessor(t *testing.T) {
	cases := map[string]func(c *testCell, old string){
		"the next leader resigns": func(c *testCell, old string) {
			next := c.awaitLeaderOtherThan(old)
			c.nodes[next].Leave(c.t.Context())
		},
		"the next leader restarts": func(c *testCell, old string) {
			next := c.awaitLeaderOtherThan(old)
			c.kill(next)
			c.start(next)
		},
		"a takeover takes effect after it was given up": func(c *testCell, old string) {
			time.Sleep(time.Second)
			for name := range c.nodes {
				if name != old {
					c.claimLate(name)
					return
				}
			}
		},
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			runInCell(t, func(t *testing.T, c *testCell) {
				c.useLongLeases()
				assert.NilError(t, c.submit(c.follower(), "a", 8, smallTask(20*time.Second), nil))
				time.Sleep(time.Second)
				assert.Assert(t, c.workers.Running("w00") > 0)
				old := c.cutOffLeader("w00", "w01")
				lose(c, old)
				time.Sleep(12 * time.Second)
				c.rejoinLeader(old)
				time.Sleep(50 * time.Second)
				c.requireState(c.follower(), "a", job.Completed)
			})
		})
	}
}

// Guards against a leader that extends leases for longer than its successors assume, because a write that waits for the store keeps it
// from noticing that its leadership is not renewed. It does not count as isolated, since another instance is cut off with it.
func TestLeaderStopsCommandsDuringALongWrite(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		c.useLongLeases()
		assert.NilError(t, c.submit(c.follower(), "a", 8, smallTask(30*time.Second), nil))
		time.Sleep(time.Second)
		assert.Assert(t, c.workers.Running("w00") > 0)
		c.mu.Lock()
		c.callTimeout = 15 * time.Second
		c.mu.Unlock()
		old := c.cutOffLeader("w00", "w01")
		beside := c.follower().opts.Instance
		c.setStoreFault(beside, backends.FaultNoAnswer)
		c.mu.Lock()
		c.islands = map[string]int{old: 1, beside: 1}
		c.mu.Unlock()
		time.Sleep(25 * time.Second)
		c.mu.Lock()
		c.islands = nil
		c.mu.Unlock()
		c.setStoreFault(beside, backends.FaultNone)
		c.rejoinLeader(old)
		time.Sleep(60 * time.Second)
		c.requireState(c.follower(), "a", job.Completed)
	})
}

// Guards against commands of a leader that has resigned: its successor expects none, also if the store answers a write that was on its way
// when it resigned.
func TestResigningLeaderSendsNoCommands(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		l := c.nodes[c.leader()].loadedLeadership()
		l.core.EndCommands()
		l.core.AllowCommandsUntil(l.node.opts.Now() + time.Hour)
		_, paused, ok := l.core.PreparePoll("w00", l.node.opts.Now())
		assert.Assert(t, paused && ok)
	})
}

// Guards against recovered tasks that wait for leases which no leader extends: a leader that stood still has ended its leadership and joined,
// but it did not lead just before the present leader.
func TestEachFormerLeaderEndsItsExtension(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		assert.NilError(t, c.submit(c.follower(), "a", 4, smallTask(time.Minute), nil))
		time.Sleep(time.Second)
		c.loseWorkerOf("a.0.0.0")
		old, lostAt := c.cutOffLeader(), c.now()
		next := c.awaitLeaderOtherThan(old)
		c.kill(next)
		c.start(next)
		time.Sleep(500 * time.Millisecond)
		c.rejoinLeader(old)
		c.awaitRun("a.0.0.0", lostAt+time.Minute)
		// One lease of 4 s with its margins after the return of the former leader, about 2.5 s after its loss.
		assert.Assert(t, c.now() < lostAt+8*time.Second, "the task started again after %s", c.now()-lostAt)
	})
}

// Guards against recovered tasks that wait for leases which a killed leader can't have granted: its next process joins the new leader late, but
// it had replaced the former one long before.
func TestRecoveryCountsFromTheEndOfTheFormerProcess(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		assert.NilError(t, c.submit(c.follower(), "a", 4, smallTask(time.Minute), nil))
		time.Sleep(time.Second)
		c.loseWorkerOf("a.0.0.0")
		old, killedAt := c.leader(), c.now()
		c.kill(old)
		c.cutOffStore(old)
		time.Sleep(200 * time.Millisecond)
		c.start(old)
		c.awaitLeaderOtherThan(old)
		time.Sleep(time.Second)
		c.rejoinLeader(old)
		c.awaitRun("a.0.0.0", killedAt+time.Minute)
		// One lease of 4 s with its margins after the start of the next process.
		assert.Assert(t, c.now() < killedAt+5500*time.Millisecond, "the task started again after %s", c.now()-killedAt)
	})
}

// Guards against rows whose lists of former leaders are not understood by a program of before, or whose lists it does not write.
func TestFormerLeadersOfRows(t *testing.T) {
	const now, seen, ownEnd = time.Hour, time.Hour - time.Second, time.Hour - 2*time.Second
	former := formerLeaders{"i1": seen + 3*time.Second, "i2": seen - time.Second, "i3": seen - 2*time.Minute}
	value, err := json.Marshal(leaderRow{Epoch: 3, Instance: "i4", Claim: "c", leaseExtensionFields: former.fields(seen)})
	assert.NilError(t, err)
	view := leaderView{rowSeenAt: seen, renewal: renewalRow{Claim: "earlier"}, renewalSeenAt: seen}
	assert.NilError(t, json.Unmarshal(value, &view.row))
	assert.Equal(t, view.row.LeaseExtensionMS, int64(3000))
	assert.DeepEqual(t, view.formerLeaders("i5", ownEnd, now),
		formerLeaders{"i1": seen + 3*time.Second, "i2": seen - time.Second, "i4": now + suspendAfter})
	assert.DeepEqual(t, view.formerLeaders("i1", ownEnd, now), formerLeaders{"i1": ownEnd, "i2": seen - time.Second, "i4": now + suspendAfter})
	view.renewal = decodeRenewal([]byte(`{"claim":"c","lease_extension_ms":2000}`))
	assert.DeepEqual(t, view.formerLeaders("i4", ownEnd, now), formerLeaders{unnamedLeader: seen + 2*time.Second, "i4": ownEnd})
	view.row.Resigned = true
	assert.DeepEqual(t, view.formerLeaders("i5", ownEnd, now), formerLeaders{"i1": seen + 3*time.Second, "i2": seen - time.Second})
	view.row.leaseExtensionFields = leaseExtensionFields{LeaseExtensionMS: -1}
	assert.DeepEqual(t, view.formerLeaders("i5", ownEnd, now), formerLeaders{unnamedLeader: seen})

	// A former program reads the old field, for which all commands have ended at the takeover at the latest.
	assert.Equal(t, formerLeaders{"i1": now - time.Second}.fields(now).LeaseExtensionMS, int64(0))
	assert.Equal(t, formerLeaders{}.end(now), now-formerLeaderRetention)
}
