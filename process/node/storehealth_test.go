package node

import (
	"context"
	"fmt"
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
