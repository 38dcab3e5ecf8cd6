package node

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
)

const (
	firstKey, secondKey = "first-key-of-a", "second-key-of-a"
	testKeyDeadline     = 5 * time.Second
)

// configWithKeys returns a configuration with a team that has keys.
func configWithKeys(version uint64, keys ...string) job.Config {
	cfg := job.Config{
		Version: version, Queues: []job.Queue{{Name: "q", Host: "h", Prefix: "/q/"}},
		Teams: map[string]job.Team{"a": {Name: "a", Keys: keys, Limit: model.Resources{CPUMilli: 4000}}},
	}
	cfg.BuildIndex()
	return cfg
}

// newKeyNode returns an idle instance with a configuration that it has just verified, and its clock.
func newKeyNode(cfg job.Config) (*Node, *time.Duration) {
	n, _ := newIdleNode(Options{Tables: backends.NewTables(), Peers: struct{ peer.Caller }{}, KeyDeadline: testKeyDeadline})
	now := time.Hour
	n.opts.Now = func() time.Duration { return now }
	n.config = cfg
	n.configAge.confirm(now)
	n.configAge.verify(now)
	return n, &now
}

// TestKeys guards against a key in force that is refused, one that is not in force that is accepted, and a definite answer where it
// is not known.
func TestKeys(t *testing.T) {
	private, public := job.Queue{Name: "q"}, job.Queue{Name: "p", Public: true}
	cases := []struct {
		name    string
		queue   job.Queue
		key     string
		prepare func(n *Node, now *time.Duration)
		code    verdict.Code
		team    string
	}{
		{name: "in force", queue: private, key: secondKey, team: "a"},
		{name: "unknown", queue: private, key: "other", code: verdict.CodeUnauthorized},
		{name: "part of a key", queue: private, key: firstKey[:5], code: verdict.CodeUnauthorized},
		{name: "missing", queue: private, code: verdict.CodeUnauthorized},
		{name: "malformed", queue: private, key: strings.Repeat("k", maxKeyBytes+1), code: verdict.CodeUnauthorized},
		{name: "public queue", queue: public},
		{name: "public queue with a key", queue: public, key: "other"},
		{name: "unknown, perhaps added lately", queue: private, key: "other", code: verdict.CodeUnavailable,
			prepare: func(n *Node, now *time.Duration) { *now += n.opts.ConfigDeadline }},
		{name: "perhaps withdrawn", queue: private, key: firstKey, code: verdict.CodeUnavailable,
			prepare: func(_ *Node, now *time.Duration) { *now += testKeyDeadline - keyMargin }},
		{name: "verified recently", queue: private, key: firstKey, team: "a",
			prepare: func(_ *Node, now *time.Duration) { *now += testKeyDeadline - keyMargin - time.Millisecond }},
		{name: "a newer configuration exists", queue: private, key: firstKey, code: verdict.CodeUnavailable,
			prepare: func(n *Node, now *time.Duration) {
				n.noticeNewerConfig()
				*now += n.opts.ConfigDeadline
			}},
		{name: "public queue without contact", queue: public,
			prepare: func(_ *Node, now *time.Duration) { *now += time.Hour }},
		{name: "no teams", queue: private, code: "", prepare: func(n *Node, _ *time.Duration) {
			n.opts.KeyDeadline = 0
			n.config = job.Config{Version: 1}
		}},
		{name: "all keys of the last team withdrawn", queue: private, key: firstKey, code: verdict.CodeUnauthorized,
			prepare: func(n *Node, _ *time.Duration) { n.config = configWithKeys(2) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n, now := newKeyNode(configWithKeys(1, firstKey, secondKey))
			var reasons []string
			n.opts.OnRefusedKey = func(reason string) { reasons = append(reasons, reason) }
			if c.prepare != nil {
				c.prepare(n, now)
			}
			team, err := n.Authorize(c.queue, c.key)
			assert.Equal(t, team, c.team)
			assert.Equal(t, err != nil, c.code != "")
			if err == nil {
				return
			}
			assert.Equal(t, verdict.From(err).Code, c.code)
			assert.Equal(t, len(reasons), 1)
			assert.Assert(t, c.key == "" || !strings.Contains(err.Error(), c.key))
		})
	}
}

// TestVerificationThroughOthers guards against an instance that refuses keys although another one has verified them, and against a
// verification that counts from the answer, which may be late, or from an instance that does not know it.
func TestVerificationThroughOthers(t *testing.T) {
	n, now := newKeyNode(configWithKeys(1, firstKey))
	*now += testKeyDeadline
	sentAt := *now - time.Second
	state := &peerpb.ConfigState{Version: 1, ConfirmedMsAgo: 1000}
	n.recordAnnouncement(&peerpb.JoinReply{Config: state}, sentAt)
	_, err := n.Authorize(job.Queue{}, firstKey)
	assert.Equal(t, verdict.From(err).Code, verdict.CodeUnavailable)
	state.VerifiedMsAgo = 2000
	n.recordAnnouncement(&peerpb.JoinReply{Config: state}, sentAt)
	assert.Equal(t, n.configAge.verifiedAt, sentAt-2*time.Second)
	_, err = n.Authorize(job.Queue{}, firstKey)
	assert.NilError(t, err)
	state.Version, state.VerifiedMsAgo = 2, 1
	n.recordAnnouncement(&peerpb.JoinReply{Config: state}, *now)
	assert.Equal(t, n.configAge.verifiedAt, sentAt-2*time.Second, "the instance has another version")
}

// TestKeysAreNotShown guards against keys in the state of an instance that operators see.
func TestKeysAreNotShown(t *testing.T) {
	n, _ := newKeyNode(configWithKeys(1, firstKey))
	data, err := json.Marshal(n.Status())
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(data), firstKey))
}

// runWithKeys runs a test in a cell with a team, on instances that fail closed.
func runWithKeys(t *testing.T, test func(t *testing.T, c *testCell)) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 0, 4)
		defer c.stop()
		c.keyDeadline, c.key = testKeyDeadline, firstKey
		c.setKeys(1, firstKey, secondKey)
		for _, name := range []string{"i0", "i1", "i2"} {
			c.start(name)
		}
		time.Sleep(2 * time.Second)
		test(t, c)
		assert.Assert(t, !strings.Contains(c.logText(), firstKey))
	})
}

// setKeys writes a configuration in which the team has keys.
func (c *testCell) setKeys(version uint64, keys ...string) {
	data, err := json.Marshal(testConfig{Version: version, Teams: configWithKeys(version, keys...).Teams})
	assert.NilError(c.t, err)
	c.writeConfig(data)
}

// TestWithdrawnKeyIsRefusedEverywhere guards against a withdrawn key that an instance without contact goes on accepting, and against
// one in force that is refused meanwhile.
func TestWithdrawnKeyIsRefusedEverywhere(t *testing.T) {
	runWithKeys(t, func(t *testing.T, c *testCell) {
		cut := c.follower()
		c.isolate(cut.opts.Instance)
		c.setStoreFault(cut.opts.Instance, backends.FaultNoAnswer)
		c.setKeys(2, secondKey)
		withdrawnAt := time.Now()
		for i := range 40 {
			time.Sleep(200 * time.Millisecond)
			sentAt := time.Since(withdrawnAt)
			for _, n := range c.nodes {
				_, err := n.Authorize(job.Queue{}, firstKey)
				mustRefuse := sentAt > testKeyDeadline || (n != cut && sentAt > defaultConfigDeadline)
				assert.Assert(t, !mustRefuse || err != nil, "attempt %d after %s", i, sentAt)
				if n != cut {
					_, err = n.Authorize(job.Queue{}, secondKey)
					assert.NilError(t, err)
				}
			}
		}
		assert.Assert(t, !cut.Ready())
		c.isolate("")
		c.setStoreFault(cut.opts.Instance, backends.FaultNone)
		time.Sleep(2 * time.Second)
		_, err := cut.Authorize(job.Queue{}, firstKey)
		assert.Equal(t, verdict.From(err).Code, verdict.CodeUnauthorized)
		_, err = cut.Authorize(job.Queue{}, secondKey)
		assert.NilError(t, err)
	})
}

// TestKeysAreAcceptedWhileAnyPathConfirms guards against an instance that refuses its callers because its own path to the store is
// down, although others have one.
func TestKeysAreAcceptedWhileAnyPathConfirms(t *testing.T) {
	for name, fault := range map[string]backends.Fault{"refused": backends.FaultRefused, "silent": backends.FaultNoAnswer} {
		t.Run(name, func(t *testing.T) {
			runWithKeys(t, func(t *testing.T, c *testCell) {
				cut := c.follower()
				c.setStoreFault(cut.opts.Instance, fault)
				for range 60 {
					time.Sleep(250 * time.Millisecond)
					_, err := cut.Authorize(job.Queue{}, firstKey)
					assert.NilError(t, err)
				}
				assert.NilError(t, c.submit(cut, "a", 1, smallTask(time.Second), nil))
				time.Sleep(3 * time.Second)
				c.requireCompleted("a")
			})
		})
	}
}

// TestGangBeyondTheLimitIsRejected guards against a job that waits without end because its team may never run it.
func TestGangBeyondTheLimitIsRejected(t *testing.T) {
	runWithKeys(t, func(t *testing.T, c *testCell) {
		gang := func(s *job.Step) { s.Gang = true }
		err := c.submit(c.follower(), "wide", 5, smallTask(time.Second), gang)
		assert.Equal(t, verdict.From(err).Code, verdict.CodeInvalid)
		assert.NilError(t, c.submit(c.follower(), "fits", 4, smallTask(time.Second), gang))
		assert.NilError(t, c.submit(c.follower(), "waves", 8, smallTask(time.Second), nil))
		time.Sleep(6 * time.Second)
		c.requireCompleted("fits")
		c.requireCompleted("waves")
	})
}

// TestConfigDeltaWithTeams guards against teams and keys that are lost or kept on the way between instances.
func TestConfigDeltaWithTeams(t *testing.T) {
	from, to := configWithKeys(1, firstKey, secondKey), configWithKeys(2, secondKey)
	to.Teams["b"] = job.Team{Name: "b", Keys: []string{"b"}, Weight: 2}
	from.Teams["c"] = job.Team{Name: "c"}
	delta, ok := job.DiffConfig(from, to)
	assert.Assert(t, ok)
	for _, d := range []job.ConfigDelta{delta, job.WholeConfig(to)} {
		got, err := deltaFromProto(deltaToProto(d)).Apply(from)
		assert.NilError(t, err)
		assert.DeepEqual(t, got.Teams, to.Teams)
	}
	same, _ := job.DiffConfig(to, to)
	assert.Equal(t, len(same.ChangedTeams)+len(same.RemovedTeams), 0)
	n, _ := newKeyNode(from)
	err := n.applyConfigUpdate(&peerpb.ConfigUpdate{Deltas: []*peerpb.ConfigDelta{{From: 1, To: 2}}}, 0)
	assert.Assert(t, err != nil, "a program without teams")
}
