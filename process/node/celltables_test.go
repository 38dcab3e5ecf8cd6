package node

import (
	"context"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// nodeTables is the table service as one instance sees it, with the faults that are set for the instance or a shard.
type nodeTables struct {
	backend.Tables
	c    *testCell
	name string
}

func (n nodeTables) checkFault(ctx context.Context, shard string) error {
	n.c.mu.Lock()
	n.c.recordFaults()
	fault, down := n.c.storeFaults[n.name], n.c.down[n.name]
	unavailable := shard != "" && shard == n.c.unavailableShard
	n.c.mu.Unlock()
	if unavailable {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the shard is unavailable")
	}
	if down || fault == backends.FaultNoAnswer {
		<-ctx.Done()
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "silent")
	}
	if fault == backends.FaultRefused {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "refused")
	}
	return nil
}

// callTimeout is the timeout of a call in the client of the platform.
const callTimeout = 1500 * time.Millisecond

// slowCallTimeout is the timeout of a call while the store is slow.
const slowCallTimeout = 2500 * time.Millisecond

func (n nodeTables) callTimeout() time.Duration {
	n.c.mu.Lock()
	timeout := n.c.callTimeout
	n.c.mu.Unlock()
	if timeout > 0 {
		return timeout
	}
	if n.c.slow.isSlow() {
		return slowCallTimeout
	}
	return callTimeout
}

func (n nodeTables) Commit(ctx context.Context, txn backend.Txn) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, n.callTimeout())
	defer cancel()
	if err := n.checkFault(ctx, shardOfTxn(txn)); err != nil {
		return 0, err
	}
	return callWithFault(ctx, n.c, faultPointOf(txn), func(ctx context.Context) (uint64, error) { return n.Tables.Commit(ctx, txn) })
}

func (n nodeTables) Get(ctx context.Context, key backend.RowKey) (backend.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, n.callTimeout())
	defer cancel()
	if err := n.checkFault(ctx, key.Shard); err != nil {
		return backend.Row{}, err
	}
	return n.Tables.Get(ctx, key)
}

func (n nodeTables) Range(ctx context.Context, table, shard, from string) (backend.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, n.callTimeout())
	defer cancel()
	if err := n.checkRangeFault(ctx, shard); err != nil {
		return backend.Page{}, err
	}
	return n.Tables.Range(ctx, table, shard, from)
}

func (n nodeTables) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (backend.Page, error) {
	n.countConfigRead(table)
	call, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	if err := n.checkFeedFault(call, table); err != nil {
		return backend.Page{}, err
	}
	page, err := n.Tables.Feed(call, table, after, wait)
	if err != nil {
		return page, err
	}
	// A transfer in progress is limited by its progress, not by the timeout of the long poll.
	return page, n.transfer(ctx, page)
}
