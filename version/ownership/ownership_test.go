package ownership

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/request/verdict"
	standinplatform "github.com/lentiltide/lentiltide/standin/platform"
	"github.com/lentiltide/lentiltide/store"
)

// recordingHooks records the acquired epochs and counts lost and released partitions.
type recordingHooks struct {
	epochs    map[Partition]uint64
	lostCount int
}

func (r *recordingHooks) Acquired(p Partition, epoch, _ uint64) { r.epochs[p] = epoch }
func (r *recordingHooks) Lost(p Partition)                      { r.lostCount++ }
func (r *recordingHooks) ReadyToHandOver(Partition) bool        { return true }

func (r *recordingHooks) Release(p Partition) *store.Write {
	r.Lost(p)
	return nil
}
func (r *recordingHooks) OwnersChanged() {}

// lossyTable discards the replies to commits and fails gets while failing is set.
type lossyTable struct {
	store.Table
	failing bool
}

func (l *lossyTable) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	versions, err := l.Table.Commit(ctx, txn)
	if l.failing && err == nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "answer lost")
	}
	return versions, err
}

func (l *lossyTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if l.failing {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "down")
	}
	return l.Table.Get(ctx, keys...)
}

func newTestManager(name string, table store.Table, clock clockwork.Clock) (*Manager, *recordingHooks) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &recordingHooks{epochs: map[Partition]uint64{}}
	return New(Options{
		Instance: name, Address: name, Table: table, Clock: clock, Hooks: r, Log: log,
		Partitions:    func() []Partition { return []Partition{Intent(1), Rack("a")} },
		RenewInterval: time.Second, SessionTTL: 4 * time.Second,
	}), r
}

// TestLostRenewalReplyKeepsSession guards against an instance that discards its session and all its partitions because a
// renewal conflicts with its own earlier renewal, whose reply was lost.
func TestLostRenewalReplyKeepsSession(t *testing.T) {
	ctx, clock := context.Background(), clockwork.NewFakeClock()
	table := &lossyTable{Table: standinplatform.NewTable()}
	m, r := newTestManager("entry-1", table, clock)
	assert.NilError(t, m.Step(ctx))
	assert.Equal(t, len(r.epochs), 2)
	table.failing = true
	clock.Advance(time.Second)
	assert.Assert(t, m.Step(ctx) != nil)
	table.failing = false
	clock.Advance(time.Second)
	assert.NilError(t, m.Step(ctx))
	assert.Equal(t, r.lostCount, 0)
}

// TestPartitionIsServedAfterLostAcquireReply guards against a partition that no instance serves because the reply to its
// acquisition was lost.
func TestPartitionIsServedAfterLostAcquireReply(t *testing.T) {
	ctx, clock := context.Background(), clockwork.NewFakeClock()
	table := &lossyTable{Table: standinplatform.NewTable()}
	m, r := newTestManager("entry-1", table, clock)
	assert.NilError(t, m.renew(ctx))
	assert.NilError(t, m.refreshView(ctx))
	table.failing = true
	assert.Assert(t, m.balance(ctx) != nil)
	assert.Equal(t, len(r.epochs), 0)
	table.failing = false
	clock.Advance(time.Second)
	assert.NilError(t, m.Step(ctx))
	assert.Equal(t, r.epochs[Intent(1)], uint64(1))
}

// TestPartitionsOfExpiredSessionAreAcquired guards against partitions that stay without an owner after an instance has
// died, and against a former owner that continues to serve them.
func TestPartitionsOfExpiredSessionAreAcquired(t *testing.T) {
	ctx, clock := context.Background(), clockwork.NewFakeClock()
	table := standinplatform.NewTable()
	first, lost := newTestManager("entry-1", table, clock)
	assert.NilError(t, first.Step(ctx))
	second, r := newTestManager("entry-2", table, clock)
	for range 4 {
		assert.NilError(t, second.Step(ctx))
		assert.Equal(t, len(r.epochs), 0)
		clock.Advance(time.Second)
	}
	assert.NilError(t, second.Step(ctx))
	assert.Equal(t, r.epochs[Intent(1)], uint64(2))
	assert.Assert(t, isConflict(first.Step(ctx)))
	assert.Equal(t, lost.lostCount, 2)
}

// TestDrainEndsSession guards against a drain that fails because a concurrent renewal changes the session row, and against
// a later step that starts a new session for an instance that has left.
func TestDrainEndsSession(t *testing.T) {
	ctx, clock := context.Background(), clockwork.NewFakeClock()
	table := standinplatform.NewTable()
	m, r := newTestManager("entry-1", table, clock)
	assert.NilError(t, m.Step(ctx))
	var steps, drain errgroup.Group
	for range 20 {
		steps.Go(func() error { return m.Step(ctx) })
	}
	drain.Go(func() error { return m.Drain(ctx) })
	assert.NilError(t, drain.Wait())
	assert.NilError(t, steps.Wait())
	assert.NilError(t, m.Step(ctx))
	assert.Equal(t, r.lostCount, 2)
	rows, err := table.Scan(ctx, sessionPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
}

// TestRackOwnerIsInRackRegion guards against racks whose owner is in another region while an instance of their own region
// is alive: a region that is cut off from the others would lose control of its own work.
func TestRackOwnerIsInRackRegion(t *testing.T) {
	var live []*sessionRow
	for _, s := range []Session{
		{ID: "1", Instance: "a-1", Region: "a"}, {ID: "2", Instance: "b-1", Region: "b"}, {ID: "3", Instance: "b-2", Region: "b"},
	} {
		live = append(live, &sessionRow{Session: s})
	}
	for _, rack := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"} {
		assert.Equal(t, rankSessions(Rack(rack), "a", live)[0].Region, "a")
		assert.Equal(t, rankSessions(Rack(rack), "b", live)[0].Region, "b")
	}
}
