package node

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/recovery"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// panicAtEvent makes an instance, or any one if its name is empty, panic when it logs an event, as often as times says.
type panicAtEvent struct {
	instance, event string
	times           int
}

// panicHook panics for testCell.panicking. The events of the scheduler are logged in the middle of its decisions.
type panicHook struct {
	c    *testCell
	name string
}

// Levels implements logrus.Hook.
func (panicHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h panicHook) Fire(entry *logrus.Entry) error {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	p := &h.c.panicking
	if p.times > 0 && (p.instance == "" || p.instance == h.name) && (entry.Message == p.event || entry.Data["event"] == p.event) {
		p.times--
		panic("at " + p.event)
	}
	return nil
}

// recordPanic counts a recovered panic, and fails the test unless it was injected.
func (c *testCell) recordPanic(place string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.panics[place]++
	if c.panicking.event == "" && (c.injected == nil || c.injected.fault != faultPanics) {
		c.t.Errorf("unexpected panic: %s", place)
	}
}

// placePeer is the place of panics in the handling of a peer's message.
const placePeer = "peer_request"

// handlePeer handles a message like the transport, which answers a request that panics.
func (c *testCell) handlePeer(ctx context.Context, n *testNode, req *peerpb.Request) (reply *peerpb.Reply) {
	if !n.opts.Panics.Run(placePeer, func() { reply = n.handlePeer(ctx, req) }) {
		return &peerpb.Reply{Error: peer.ErrorToProto(recovery.Error())}
	}
	return reply
}

// requirePanics checks how often the calls at the given places have panicked, and that no others have.
func (c *testCell) requirePanics(want map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.DeepEqual(c.t, c.panics, want)
}

// panicCount returns the number of panics at all places.
func (c *testCell) panicCount() (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.panics {
		count += n
	}
	return count
}

// panicAt makes an instance panic at the next log line of an event.
func (c *testCell) panicAt(instance, event string, times int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.panicking = panicAtEvent{instance, event, times}
}

// cutOffFromStore makes all paths of an instance to the store fail for a second.
func (c *testCell) cutOffFromStore(name string) {
	c.setStoreFault(name, backends.FaultRefused)
	c.isolate(name)
	time.Sleep(time.Second)
	c.setStoreFault(name, backends.FaultNone)
	c.isolate("")
}

// TestPanicEndsTheLeadership guards against a panic in the leader that ends its process, leaves the scheduler locked, or lets it
// go on with state that is applied in part: another instance must take over soon, and every accepted task must run once.
func TestPanicEndsTheLeadership(t *testing.T) {
	cases := []struct {
		event string
		// provoke causes the event, if new and running tasks do not.
		provoke func(c *testCell, leader string)
	}{
		{"job_added", nil}, {"advice_asked", nil}, {"advice_answered", nil}, {"task_started", nil}, {"run_ended", nil},
		{"job_finished", nil},
		{"wave_added", func(c *testCell, _ string) {
			data, err := json.Marshal(backend.MaintenanceWave{Number: 1})
			assert.NilError(c.t, err)
			c.tables.Put(backend.RowKey{Table: "config", Key: "wave1"}, data)
		}},
		{"renewal_failed", (*testCell).cutOffFromStore}, {"feed", (*testCell).cutOffFromStore},
	}
	for _, tc := range cases {
		t.Run(tc.event, func(t *testing.T) {
			runInCell(t, func(t *testing.T, c *testCell) {
				former := c.leader()
				assert.NilError(t, c.submit(c.follower(), "a", 4, smallTask(1400*time.Millisecond), nil))
				time.Sleep(200 * time.Millisecond)
				c.panicAt(former, tc.event, 1)
				assert.NilError(t, c.submit(c.follower(), "b", 4, smallTask(time.Second), nil))
				if tc.provoke != nil {
					tc.provoke(c, former)
				}
				time.Sleep(3 * time.Second)
				assert.Equal(t, c.panicCount(), 1)
				assert.Assert(t, c.leader() != "" && c.leader() != former, "leader %q", c.leader())
				time.Sleep(6 * time.Second)
				for _, id := range []string{"a", "b"} {
					c.requireState(c.nodes[former], id, job.Completed)
					assert.Equal(t, c.workers.Starts(id+".0.0.0"), 1)
				}
			})
		})
	}
}

// TestOnlyInstanceLeadsAgainAfterPanic guards against a cell that stays without a leader because the leadership of its only
// instance has failed.
func TestOnlyInstanceLeadsAgainAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 1, 2)
		defer c.stop()
		c.panicAt("i0", "task_started", 1)
		assert.NilError(t, c.submit(c.nodes["i0"], "a", 2, smallTask(time.Second), nil))
		time.Sleep(time.Second)
		assert.Equal(t, c.leader(), "")
		time.Sleep(failedLeadershipPause + 2*time.Second)
		c.requireState(c.nodes["i0"], "a", job.Completed)
		assert.DeepEqual(t, c.workers.Violations(), []string(nil))
	})
}

// TestPanicInTheWriterDuringResignation guards against a leadership that does not end because its writer panics again.
func TestPanicInTheWriterDuringResignation(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		former := c.leader()
		c.panicAt(former, "leadership_resigned", 2)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		c.nodes[former].Leave(ctx)
		time.Sleep(3 * time.Second)
		c.requirePanics(map[string]int{placeLeadership: 2})
		assert.Assert(t, c.leader() != "" && c.leader() != former, "leader %q", c.leader())
	})
}

// TestPanicInOtherLoopsIsRecovered guards against an instance that ends, or stops to follow the leader or the configuration, after
// a panic in one of its loops.
func TestPanicInOtherLoopsIsRecovered(t *testing.T) {
	for _, event := range []string{"config_applied", "leader_seen", "leader_contact"} {
		t.Run(event, func(t *testing.T) {
			runInCell(t, func(t *testing.T, c *testCell) {
				c.panicAt("", event, 1)
				c.writeConfig([]byte("2"))
				c.kill(c.leader())
				time.Sleep(4 * time.Second)
				n := c.follower()
				c.requirePanics(map[string]int{placeNode: 1})
				assert.Equal(t, n.Status().Config, uint64(2))
				assert.Equal(t, n.Status().Leader, c.leader())
				assert.Equal(t, c.nodes[c.leader()].Status().Members, 1)
				c.writeConfig([]byte("3"))
				c.kill(c.leader())
				time.Sleep(4 * time.Second)
				assert.Equal(t, c.leader(), n.opts.Instance)
				assert.Equal(t, n.Status().Config, uint64(3))
				assert.NilError(t, c.submit(n, "a", 2, smallTask(time.Second), nil))
				time.Sleep(3 * time.Second)
				c.requireState(n, "a", job.Completed)
			})
		})
	}
}

// TestPanicInBackendBecomesError guards against a call of a backend that passes a panic on, or whose error excludes that the
// call ran.
func TestPanicInBackendBecomesError(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	// The methods of these values panic, since the embedded interfaces are nil.
	o := Options{
		Workers: struct{ backend.Workers }{}, Tables: struct{ backend.Tables }{}, Advisor: struct{ backend.Advisor }{},
		Machines: struct{ backend.Machines }{}, Decoder: struct{ backend.Decoder }{}, Panics: recovery.NewRecorder(log, nil),
	}
	o.recoverBackends()
	ctx := t.Context()
	calls := map[string]func() error{
		"Workers.Start":     func() error { _, err := o.Workers.Start(ctx, backend.StartCommand{}); return err },
		"Workers.Stop":      func() error { _, err := o.Workers.Stop(ctx, backend.Command{}); return err },
		"Workers.Throttle":  func() error { _, err := o.Workers.Throttle(ctx, backend.Command{}, 0); return err },
		"Workers.Poll":      func() error { _, err := o.Workers.Poll(ctx, backend.PollRequest{}); return err },
		"Tables.Commit":     func() error { _, err := o.Tables.Commit(ctx, backend.Txn{}); return err },
		"Tables.Range":      func() error { _, err := o.Tables.Range(ctx, "", "", ""); return err },
		"Tables.Get":        func() error { _, err := o.Tables.Get(ctx, backend.RowKey{}); return err },
		"Tables.Feed":       func() error { _, err := o.Tables.Feed(ctx, "", 0, 0); return err },
		"Advisor.Advise":    func() error { _, _, err := o.Advisor.Advise(ctx, "", nil); return err },
		"Machines.List":     func() error { _, err := o.Machines.List(ctx); return err },
		"Machines.Maintain": func() error { _, err := o.Machines.Maintain(ctx, backend.Leader{}, "", 0); return err },
		"Decoder.Config":    func() error { _, err := o.Decoder.Config(backend.Row{}); return err },
		"Decoder.Worker":    func() error { _, err := o.Decoder.Worker(backend.Row{}); return err },
		"Decoder.Wave":      func() error { _, _, err := o.Decoder.Wave(backend.Row{}); return err },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, verdict.Of(call()), verdict.MayHaveRun)
		})
	}
}

// panickingValue is the value of a registry entry on which the decoder panics.
const panickingValue = "panic"

// TestMalformedRegistryEntryCostsOnlyItsWorker guards against a leader that gives up because of one entry of the registry.
func TestMalformedRegistryEntryCostsOnlyItsWorker(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		leader := c.leader()
		c.panicAt("", "none", 0)
		c.tables.Put(backend.RowKey{Table: "workers", Key: "w99"}, []byte(panickingValue))
		time.Sleep(time.Second)
		assert.NilError(t, c.submit(c.follower(), "a", 4, smallTask(time.Second), nil))
		time.Sleep(2 * time.Second)
		c.requireState(c.follower(), "a", job.Completed)
		assert.Equal(t, c.leader(), leader)
		c.requirePanics(map[string]int{placeDecoder: 1})
	})
}

// newIdleNode returns an instance that does not run and whose backends and peers panic, except for those in opts, and the count
// of its panics by place.
func newIdleNode(opts Options) (*Node, map[string]int) {
	log, _ := logtest.NewNullLogger()
	var mu sync.Mutex
	panics := map[string]int{}
	opts.Log, opts.Now = log, BootClock
	opts.Panics = recovery.NewRecorder(log, func(place string) {
		mu.Lock()
		defer mu.Unlock()
		panics[place]++
	})
	return New(opts), panics
}

// TestPanicInRelayedCall guards against a call to the store through another instance whose panic ends the process, or excludes
// that the call ran.
func TestPanicInRelayedCall(t *testing.T) {
	tables := backends.NewTables()
	tables.SetFault(func(bool) backends.Fault { return backends.FaultRefused })
	n, panics := newIdleNode(Options{Tables: tables, Peers: struct{ peer.Caller }{}})
	n.members = []string{"a", "b"}
	_, err := n.tables.Commit(t.Context(), backend.Txn{})
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	assert.DeepEqual(t, panics, map[string]int{placeRelay: 2})
}

// TestPanicInDelegatedCall guards against an instance that ends because a call that it makes for the leader panics, and against
// NotRun for that call.
func TestPanicInDelegatedCall(t *testing.T) {
	received := make(chan *peerpb.WorkerResults, 1)
	n, panics := newIdleNode(Options{Peers: resultReceiverPeers{received: received}})
	// The body without a message makes the decoding of the first call panic, the missing client of the workers the second one.
	calls := []*peerpb.WorkerCall{
		{Id: 7, Call: (*peerpb.WorkerCall_Start)(nil)},
		{Id: 8, Call: &peerpb.WorkerCall_Poll{Poll: &peerpb.WorkerPoll{}}},
	}
	n.handleWorkerCalls(t.Context(), &peerpb.WorkerCalls{Leader: "leader", Calls: calls})
	var ids []uint64
	for len(ids) < len(calls) {
		for _, result := range (<-received).GetResults() {
			ids = append(ids, result.GetId())
			assert.Equal(t, verdict.Of(peer.ErrorFromProto(result.GetError())), verdict.MayHaveRun)
		}
	}
	slices.Sort(ids)
	assert.DeepEqual(t, ids, []uint64{7, 8})
	assert.DeepEqual(t, panics, map[string]int{placeWorkerCall: 1, placeWorker: 1})
}

// resultReceiverPeers passes the results that are sent to a channel.
type resultReceiverPeers struct {
	peer.Caller
	received chan *peerpb.WorkerResults
}

// Send implements peer.Caller.
func (p resultReceiverPeers) Send(_ context.Context, _ string, req *peerpb.Request) error {
	p.received <- req.GetWorkerResults()
	return nil
}
