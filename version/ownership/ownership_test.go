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

// recorder notes what a manager tells.
type recorder struct {
	epochs map[Partition]uint64
	lost   int
}

func (r *recorder) Acquired(p Partition, epoch, _ uint64) { r.epochs[p] = epoch }
func (r *recorder) Lost(p Partition)                      { r.lost++ }
func (r *recorder) Yield(Partition) bool                  { return true }

func (r *recorder) Release(p Partition) *store.Write {
	r.Lost(p)
	return nil
}
func (r *recorder) OwnersChanged() {}

// lossy loses answers to commits and fails reads while broken is set.
type lossy struct {
	store.Table
	broken bool
}

func (l *lossy) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	versions, err := l.Table.Commit(ctx, txn)
	if l.broken && err == nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "answer lost")
	}
	return versions, err
}

func (l *lossy) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if l.broken {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "down")
	}
	return l.Table.Get(ctx, keys...)
}

func newTestManager(name string, table store.Table, clock clockwork.Clock) (*Manager, *recorder) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &recorder{epochs: map[Partition]uint64{}}
	return New(Options{
		Instance: name, Address: name, Table: table, Clock: clock, Hooks: r, Log: log,
		Partitions: func() []Partition { return []Partition{Intent(1), Rack("a")} },
		RenewEvery: time.Second, Term: 4 * time.Second,
	}), r
}

// TestLostAnswerToRenewalKeepsSession guards against a session that ends itself, with all its partitions, because its next
// renewal conflicts with an earlier one whose answer was lost.
func TestLostAnswerToRenewalKeepsSession(t *testing.T) {
	ctx, clock := context.Background(), clockwork.NewFakeClock()
	table := &lossy{Table: standinplatform.NewTable()}
	m, r := newTestManager("entry-1", table, clock)
	assert.NilError(t, m.Step(ctx))
	assert.Equal(t, len(r.epochs), 2)
	table.broken = true
	clock.Advance(time.Second)
	assert.Assert(t, m.Step(ctx) != nil)
	table.broken = false
	clock.Advance(time.Second)
	assert.NilError(t, m.Step(ctx))
	assert.Equal(t, r.lost, 0)
}

// TestLostAnswerToTakeIsServed guards against a partition that nobody serves because the answer to its take was lost.
func TestLostAnswerToTakeIsServed(t *testing.T) {
	ctx, clock := context.Background(), clockwork.NewFakeClock()
	table := &lossy{Table: standinplatform.NewTable()}
	m, r := newTestManager("entry-1", table, clock)
	assert.NilError(t, m.renew(ctx))
	assert.NilError(t, m.read(ctx))
	table.broken = true
	assert.Assert(t, m.balance(ctx) != nil)
	assert.Equal(t, len(r.epochs), 0)
	table.broken = false
	clock.Advance(time.Second)
	assert.NilError(t, m.Step(ctx))
	assert.Equal(t, r.epochs[Intent(1)], uint64(1))
}

// TestExpiredSessionIsTakenOver guards against partitions that stay without an owner after a death, and against a former
// owner that goes on.
func TestExpiredSessionIsTakenOver(t *testing.T) {
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
	assert.Equal(t, lost.lost, 2)
}

// TestDrainEndsTheSession guards against a drain that fails because a renewal changes the session row meanwhile, and
// against a step after it that starts a new session for an instance that has left.
func TestDrainEndsTheSession(t *testing.T) {
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
	assert.Equal(t, r.lost, 2)
	rows, err := table.Scan(ctx, sessionPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
}

// TestRackPrefersItsRegion guards against racks that are owned across regions while an instance of their own region
// lives: a region that is cut off would lose the control of its own work.
func TestRackPrefersItsRegion(t *testing.T) {
	var live []*watchedSession
	for _, s := range []Session{
		{ID: "1", Instance: "a-1", Region: "a"}, {ID: "2", Instance: "b-1", Region: "b"}, {ID: "3", Instance: "b-2", Region: "b"},
	} {
		live = append(live, &watchedSession{Session: s})
	}
	for _, rack := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"} {
		assert.Equal(t, ranked(Rack(rack), "a", live)[0].Region, "a")
		assert.Equal(t, ranked(Rack(rack), "b", live)[0].Region, "b")
	}
}
