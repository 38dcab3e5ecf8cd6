package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Guards against large pages that are requested through other instances as well while the direct call receives them over a
// slow link: the copies come over the same link.
func TestTransferInProgressIsNotRelayed(t *testing.T) {
	cases := map[string]struct {
		progressInterval time.Duration
		wantRelayed      bool
	}{
		"data arrives":    {100 * time.Millisecond, false},
		"nothing arrives": {time.Hour, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runInCell(t, func(t *testing.T, cell *testCell) {
				transfer := func(ctx context.Context) (int, error) {
					end := time.After(5 * time.Second)
					for {
						select {
						case <-end:
							return 1, nil
						case <-time.After(c.progressInterval):
							backend.ReportProgress(ctx)
						case <-ctx.Done():
							return 0, ctx.Err()
						}
					}
				}
				var relayed atomic.Bool
				viaPeer := func(context.Context, string) (int, error) {
					relayed.Store(true)
					return 2, nil
				}
				_, err := relay(t.Context(), cell.follower().tables, cellShard, transfer, viaPeer)
				assert.NilError(t, err)
				assert.Equal(t, relayed.Load(), c.wantRelayed)
				synctest.Wait()
			})
		})
	}
}

// Guards against a conflict with the verdict NotRun although the write may have been executed on another path: the conflict
// may be with the caller's own write.
func TestConflictAfterSeveralPathsIsUncertain(t *testing.T) {
	conflict := verdict.New(verdict.NotRun, verdict.CodeConflict, "a row has another version").WithDetail("rows")
	answerAfter := func(d time.Duration) func(context.Context) (int, error) {
		return func(context.Context) (int, error) {
			time.Sleep(d)
			return 0, conflict
		}
	}
	cases := map[string]struct {
		directDelay time.Duration
		want        verdict.Verdict
	}{
		"direct path only":      {time.Millisecond, verdict.NotRun},
		"direct path and peers": {2 * time.Second, verdict.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runInCell(t, func(t *testing.T, cell *testCell) {
				n := cell.follower()
				viaPeer := func(ctx context.Context, _ string) (int, error) { return answerAfter(10 * time.Millisecond)(ctx) }
				_, err := relay(t.Context(), n.tables, cellShard, answerAfter(c.directDelay), viaPeer)
				e := verdict.From(err)
				assert.Equal(t, e.Verdict, c.want)
				assert.Equal(t, e.Code, verdict.CodeConflict)
				assert.Equal(t, e.Detail, "rows")
				time.Sleep(3 * time.Second)
				synctest.Wait()
			})
		})
	}
}
