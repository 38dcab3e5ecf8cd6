package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// partlyDownTables is a table service of which some shards refuse reads.
type partlyDownTables struct {
	backend.Tables
	unavailable func(shard string) bool
}

func (t *partlyDownTables) Get(ctx context.Context, key backend.RowKey) (backend.Row, error) {
	if t.unavailable(key.Shard) {
		return backend.Row{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "away")
	}
	return t.Tables.Get(ctx, key)
}

// Guards against one log line for each shard on each instance when the whole table service is unavailable, and against a lost
// shard that is not reported while the others answer.
func TestContactIsLoggedOnceForAllShards(t *testing.T) {
	cases := map[string]struct {
		unavailable func(shard string) bool
		want        []string
	}{
		"all shards": {func(string) bool { return true }, []string{"(all) true", "(all) false"}},
		"one shard":  {func(shard string) bool { return shard == "p3" }, []string{"p3 true", "p3 false"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				tables := &partlyDownTables{Tables: backends.NewTables(), unavailable: c.unavailable}
				var reports []string
				o := observeTables(tables, func() time.Duration { return time.Since(startedAt) + time.Hour }, func(shard string, down bool, _ string) {
					reports = append(reports, fmt.Sprint(shard, " ", down))
				})
				callAllShards := func() {
					for range 50 {
						for i := range 20 {
							shard := shardName(uint32(i))
							_, _ = o.Get(t.Context(), backend.RowKey{Table: jobTable, Shard: shard, Key: "k"})
							o.Down(shard)
						}
						time.Sleep(50 * time.Millisecond)
					}
				}
				callAllShards()
				tables.unavailable = func(string) bool { return false }
				callAllShards()
				assert.DeepEqual(t, reports, c.want)
			})
		})
	}
}

// transferringTables is a table service whose reads of a range take transferTime, during which data arrives every
// progressInterval.
type transferringTables struct {
	backend.Tables
	transferTime, progressInterval time.Duration
}

func (t transferringTables) Range(ctx context.Context, _, _, _ string) (backend.Page, error) {
	for end := time.Now().Add(t.transferTime); time.Now().Before(end); {
		time.Sleep(t.progressInterval)
		backend.ReportProgress(ctx)
	}
	return backend.Page{}, nil
}

// Guards against a store that counts as lost while a large page of it arrives over a slow link.
func TestTransferInProgressIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		tables := transferringTables{backends.NewTables(), 6 * time.Second, 100 * time.Millisecond}
		o := observeTables(tables, func() time.Duration { return time.Since(startedAt) + time.Hour }, func(string, bool, string) {})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = o.Range(t.Context(), jobTable, "p1", "")
		}()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, !o.Down("p1"), "down after %s", time.Since(startedAt))
		}
		<-ended
		assert.Equal(t, o.AnswerTimeout(), minSilenceTimeout, "the time of a transfer is no answer time")
	})
}

// silentTables is a table service that never answers the reads that are sent while it is silent.
type silentTables struct {
	backend.Tables
	silentUntil time.Time
	reads       atomic.Int64
}

func (t *silentTables) Get(ctx context.Context, key backend.RowKey) (backend.Row, error) {
	t.reads.Add(1)
	if time.Now().Before(t.silentUntil) {
		<-ctx.Done()
		return backend.Row{}, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "wait for reply")
	}
	return t.Tables.Get(ctx, key)
}

// Guards against an instance that notices the return of a silent store seconds late, because a probe that was sent during the silence is never
// answered and keeps further ones from being sent.
func TestReturnOfASilentStoreIsNoticed(t *testing.T) {
	// A probe is sent just before the return, the next one with the next round, and answered at once.
	const bound = probeRepeatInterval + probeInterval + 10*time.Millisecond
	// No probe is sent at the moment of the return.
	for silence := 2003 * time.Millisecond; silence < 8*time.Second; silence += 230 * time.Millisecond {
		t.Run(silence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				tables := &silentTables{Tables: backends.NewTables(), silentUntil: startedAt.Add(silence)}
				o := observeTables(tables, func() time.Duration { return time.Since(startedAt) + time.Hour }, func(string, bool, string) {})
				go o.probeDownShards(ctx)
				// The first call shows the silence.
				call, cancelCall := context.WithTimeout(ctx, time.Second)
				_, err := o.Get(call, backend.RowKey{Table: jobTable, Shard: cellShard, Key: "k"})
				cancelCall()
				assert.Assert(t, err != nil)
				time.Sleep(time.Until(tables.silentUntil))
				assert.Assert(t, o.Down(cellShard))
				reads := tables.reads.Load()
				assert.Assert(t, reads <= 2+int64(silence/probeRepeatInterval), "%d reads during the silence", reads)
				time.Sleep(bound)
				assert.Check(t, !o.Down(cellShard), "still down %s after the return", bound)
				// The probes that were sent during the silence end, and change nothing.
				for end := time.Now().Add(probeTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					assert.Check(t, !o.Down(cellShard), "down again %s after the return", time.Since(tables.silentUntil))
				}
				cancel()
				time.Sleep(probeTimeout)
			})
		})
	}
}
