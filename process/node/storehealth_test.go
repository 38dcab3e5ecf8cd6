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

// awayTables is a table service of which some parts refuse.
type awayTables struct {
	backend.Tables
	away func(part string) bool
}

func (a *awayTables) Get(ctx context.Context, key backend.RowKey) (backend.Row, error) {
	if a.away(key.Part) {
		return backend.Row{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "away")
	}
	return a.Tables.Get(ctx, key)
}

// Guards against one log line for each part on each instance when the table service as a whole is away, and against a lost
// part that is not named when the others answer.
func TestContactIsToldOnceForAllParts(t *testing.T) {
	cases := map[string]struct {
		away func(part string) bool
		told []string
	}{
		"all parts": {func(string) bool { return true }, []string{"(all) true", "(all) false"}},
		"one part":  {func(part string) bool { return part == "p3" }, []string{"p3 true", "p3 false"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				tables := &awayTables{Tables: backends.NewTables(), away: c.away}
				var told []string
				o := observeTables(tables, func() time.Duration { return time.Since(began) + time.Hour }, func(part string, down bool, _ string) {
					told = append(told, fmt.Sprint(part, " ", down))
				})
				ask := func() {
					for range 50 {
						for i := range 20 {
							part := shardName(uint32(i))
							_, _ = o.Get(t.Context(), backend.RowKey{Table: jobTable, Part: part, Key: "k"})
							o.Down(part)
						}
						time.Sleep(50 * time.Millisecond)
					}
				}
				ask()
				tables.away = func(string) bool { return false }
				ask()
				assert.DeepEqual(t, told, c.told)
			})
		})
	}
}
