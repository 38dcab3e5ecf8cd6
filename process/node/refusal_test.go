package node

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// A second attempt meets the first one, whose answer was lost, in one of these states.
const (
	firstStored    = "stored"
	firstInFlight  = "in flight"
	firstNeverSent = "never sent"
)

// submitAt submits a job at an idle instance that has a configuration.
func submitAt(ctx context.Context, n *Node, id job.ID) error {
	spec := job.Spec{Steps: []job.Step{{Count: 1}}}
	return n.Submit(ctx, job.Queue{Name: "q"}, "", id, spec)
}

// lateWrite is the write of a first attempt, which the store executes only later.
func lateWrite(id job.ID) backend.Txn {
	key := jobKey(id, shardsOf(id)[0])
	return backend.Txn{Expected: []backend.Row{{RowKey: key}}, Put: []backend.Row{{RowKey: key, Value: []byte("{}")}}}
}

// TestRefusalAfterLostAnswer guards against "never runs" about a job that runs: the answer to the first attempt was lost, and the
// second one reaches an instance that cannot accept submissions.
func TestRefusalAfterLostAnswer(t *testing.T) {
	cases := []struct {
		first, second string
		fault         backends.Fault
		want          verdict.Verdict
	}{
		{first: firstStored, second: "behind", want: verdict.Ran},
		{first: firstInFlight, second: "behind", want: verdict.NotRun},
		{first: firstNeverSent, second: "behind", want: verdict.NotRun},
		{first: firstStored, second: "cut off", fault: backends.FaultRefused, want: verdict.MayHaveRun},
		{first: firstInFlight, second: "behind and cut off", fault: backends.FaultRefused, want: verdict.MayHaveRun},
		{first: firstStored, second: "starting", want: verdict.Ran},
		{first: firstInFlight, second: "starting", want: verdict.NotRun},
		{first: firstStored, second: "draining", want: verdict.Ran},
	}
	for _, tc := range cases {
		t.Run(tc.first+", "+tc.second, func(t *testing.T) {
			tables := backends.NewTables()
			n, _ := newIdleNode(Options{Tables: tables, Peers: struct{ peer.Caller }{}})
			if tc.first == firstStored {
				_, err := tables.Commit(t.Context(), lateWrite("a"))
				assert.NilError(t, err)
			}
			tables.SetFault(func(bool) backends.Fault { return tc.fault })
			err := secondAttempt(t.Context(), n, tc.second)
			assert.Equal(t, verdict.Of(err), tc.want, "%v", err)
			tables.SetFault(nil)
			_, late := tables.Commit(t.Context(), lateWrite("a"))
			if tc.want != verdict.MayHaveRun {
				assert.Assert(t, late != nil, "the write of the first attempt takes effect after the answer")
			}
		})
	}
}

// secondAttempt submits the job at an instance in the given state.
func secondAttempt(ctx context.Context, n *Node, state string) error {
	switch state {
	case "starting":
		_, err := n.Queue("h", "/q/")
		return n.Refuse(ctx, "a", err)
	case "behind", "behind and cut off":
		n.configAge.newerSince = n.opts.Now() - time.Minute
	case "draining":
		n.leaving.Store(true)
	}
	return submitAt(ctx, n, "a")
}

// TestRefusedJobCanBeSubmittedAgain guards against a refusal that outlasts its reason, and against an attempt that began before the
// refusal and takes effect after it.
func TestRefusedJobCanBeSubmittedAgain(t *testing.T) {
	tables := backends.NewTables()
	n, _ := newIdleNode(Options{Tables: tables, Peers: struct{ peer.Caller }{}})
	seen := n.direct.NewestVersion()
	assert.Equal(t, verdict.Of(n.Refuse(t.Context(), "a", errOutdated())), verdict.NotRun)
	_, err := n.storeJob(t.Context(), "a", []byte("{}"), seen)
	assert.Equal(t, verdict.Of(err), verdict.NotRun, "the attempt began before the refusal")
	_, err = n.State(t.Context(), job.Queue{}, "a")
	assert.Equal(t, verdict.From(err).Code, verdict.CodeExpired)
	assert.NilError(t, submitAt(t.Context(), n, "a"))
	assert.NilError(t, n.Refuse(t.Context(), "a", errOutdated()), "the job exists")
	state, err := n.State(t.Context(), job.Queue{}, "a")
	assert.NilError(t, err)
	assert.Equal(t, state, job.Queued)
}

// TestRepeatedRefusalCoversEarlierAttempts guards against "never runs" about a job that runs: the job had been refused before, another
// attempt began after that, and it is on its way when the job is refused again.
func TestRepeatedRefusalCoversEarlierAttempts(t *testing.T) {
	tables := backends.NewTables()
	n, _ := newIdleNode(Options{Tables: tables, Peers: struct{ peer.Caller }{}})
	assert.Equal(t, verdict.Of(n.Refuse(t.Context(), "a", errOutdated())), verdict.NotRun)
	seen := n.direct.NewestVersion()
	assert.Equal(t, verdict.Of(n.Refuse(t.Context(), "a", errOutdated())), verdict.NotRun)
	_, err := n.storeJob(t.Context(), "a", []byte("{}"), seen)
	assert.Equal(t, verdict.Of(err), verdict.NotRun, "the attempt began before the second refusal")
	_, err = n.State(t.Context(), job.Queue{}, "a")
	assert.Equal(t, verdict.From(err).Code, verdict.CodeExpired)
	assert.NilError(t, submitAt(t.Context(), n, "a"), "an attempt that begins after both is accepted")
}

// TestRefusalOfALateInstanceCoversNewerAttempts guards against "never runs" about a job that runs: an instance that knows only old versions
// of the store finds a refusal newer than its attempt, while another attempt is on its way that began after that refusal.
func TestRefusalOfALateInstanceCoversNewerAttempts(t *testing.T) {
	tables := backends.NewTables()
	n, _ := newIdleNode(Options{Tables: tables, Peers: struct{ peer.Caller }{}})
	late := n.direct.NewestVersion()
	assert.Equal(t, verdict.Of(n.Refuse(t.Context(), "a", errOutdated())), verdict.NotRun)
	seen := n.direct.NewestVersion()
	_, err := n.storeJob(t.Context(), "a", []byte("{}"), late)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	_, err = n.storeJob(t.Context(), "a", []byte("{}"), seen)
	assert.Equal(t, verdict.Of(err), verdict.NotRun, "the attempt began before the second refusal")
}

// TestRefusalThroughAnotherInstanceCoversBothShards guards against "never runs" about a job that runs: an instance that reaches the store
// only through others refused it in one shard, and an earlier attempt is stored in the other one.
func TestRefusalThroughAnotherInstanceCoversBothShards(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		n := c.follower()
		c.setStoreFault(n.opts.Instance, backends.FaultRefused)
		time.Sleep(3 * time.Second)
		assert.Assert(t, n.direct.Silent())
		assert.Equal(t, verdict.Of(n.Refuse(t.Context(), "a", errOutdated())), verdict.NotRun)
		for _, shard := range shardsOf("a") {
			row, err := c.tables.Get(t.Context(), jobKey("a", shard))
			assert.NilError(t, err)
			assert.Assert(t, isRefused(row.Value), "shard %s", shard)
		}
	})
}

// TestRefusalsAreRemoved guards against refusals that fill the store, and against the removal of a job that has replaced one.
func TestRefusalsAreRemoved(t *testing.T) {
	tables := backends.NewTables()
	n, _ := newIdleNode(Options{Tables: tables, Peers: struct{ peer.Caller }{}})
	now := time.Hour
	n.opts.Now = func() time.Duration { return now }
	l := &leadership{node: n, refusals: map[backend.RowKey]storedRefusal{}}
	for _, id := range []job.ID{"a", "b"} {
		assert.Assert(t, n.Refuse(t.Context(), id, errOutdated()) != nil)
	}
	for _, row := range tables.Rows(jobTable) {
		l.applyJobRow(row, nil)
	}
	assert.NilError(t, submitAt(t.Context(), n, "b"))
	now += refusalRetention / 2
	l.removeRefusals(t.Context())
	assert.Equal(t, len(tables.Rows(jobTable)), 2)
	now += refusalRetention
	l.removeRefusals(t.Context())
	row, err := n.readRow(t.Context(), "b", jobKey)
	assert.NilError(t, err)
	assert.Assert(t, row.Version != 0)
	assert.Equal(t, len(l.refusals), 0)
}

// Guards against refusals that come faster than they are removed, as when a backlog is full: the leader keeps an entry for each.
func TestManyRefusalsAreRemoved(t *testing.T) {
	tables := backends.NewTables()
	n, _ := newIdleNode(Options{Tables: tables, Peers: struct{ peer.Caller }{}})
	now := time.Hour
	n.opts.Now = func() time.Duration { return now }
	l := &leadership{node: n, refusals: map[backend.RowKey]storedRefusal{}}
	const refusals = 500
	for i := range refusals {
		assert.Assert(t, n.Refuse(t.Context(), job.ID(fmt.Sprintf("%016x", i)), errOutdated()) != nil)
	}
	rows := 0
	read := n.newTableRead(jobTable, jobShards(), func(page []backend.Row) {
		rows += len(page)
		for _, row := range page {
			l.applyJobRow(row, nil)
		}
	})
	_, err := read.run(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, rows, 2*refusals)
	assert.NilError(t, submitAt(t.Context(), n, "0000000000000007"))
	now += 2 * refusalRetention
	l.removeRefusals(t.Context())
	left := slices.Collect(maps.Keys(tables.Rows(jobTable)))
	assert.DeepEqual(t, left, []string{"0000000000000007"})
	assert.Equal(t, len(l.refusals), 0)
}
