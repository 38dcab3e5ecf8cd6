package backends

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
)

// A stand-in that executes a late commit at once, or whatever became of its rows meanwhile, would hide faults of writers or report faults
// that the table service does not have.
func TestLateCommitsKeepTheirExpectations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := NewTables()
		key := func(name string) backend.RowKey { return backend.RowKey{Table: "t", Shard: "s", Key: name} }
		commit := func(name string) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			_, err := tables.Commit(ctx, backend.Txn{
				Expected: []backend.Row{{RowKey: key(name)}}, Put: []backend.Row{{RowKey: key(name), Value: []byte("late")}},
			})
			assert.ErrorContains(t, err, "late")
		}
		tables.SetFault(func(bool) Fault { return FaultLate })
		commit("a")
		commit("b")
		tables.SetFault(nil)
		tables.Put(key("b"), []byte("other"))
		assert.Equal(t, len(tables.Rows("t")), 1)
		time.Sleep(lateWriteDelay)
		synctest.Wait()
		rows := tables.Rows("t")
		assert.Equal(t, string(rows["a"].Value), "late")
		assert.Equal(t, string(rows["b"].Value), "other")
	})
}
