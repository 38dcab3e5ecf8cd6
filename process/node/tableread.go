package node

import (
	"context"
	"maps"
	"sync"

	"github.com/lentiltide/lentiltide/backend"
)

// maxShardReads limits the shards of a table that are read at the same time. A page of rows may take a megabyte in base64, which an instance
// holds twice while it decodes it.
const maxShardReads = 16

// tableRead reads the shards of a table and passes on the rows page by page: a table may be larger than the memory of the instance.
type tableRead struct {
	node  *Node
	table string
	// apply receives the rows of one page at a time, once ready is closed; a nil channel means at once.
	apply func([]backend.Row)
	ready <-chan struct{}

	mu sync.Mutex
	// version is the oldest version of the store at the first read of a shard, so that a feed from it on misses no write.
	version uint64
	// from are the keys from which the shards that could not be read are read on.
	from map[string]string
}

// newTableRead returns the read of the shards of a table.
func (n *Node) newTableRead(table string, shards []string, apply func([]backend.Row)) *tableRead {
	r := &tableRead{node: n, table: table, apply: apply, from: make(map[string]string, len(shards))}
	for _, shard := range shards {
		r.from[shard] = ""
	}
	return r
}

// run reads what has not been read yet. It returns the number of shards that are left, with the last error.
func (r *tableRead) run(ctx context.Context) (left int, lastErr error) {
	slots := make(chan struct{}, maxShardReads)
	var group sync.WaitGroup
	for shard, from := range maps.Clone(r.from) {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if err := r.readShard(ctx, shard, from); err != nil {
				r.mu.Lock()
				defer r.mu.Unlock()
				lastErr = err
			}
		})
	}
	group.Wait()
	return len(r.from), lastErr
}

// readShard reads the pages of a shard from a key on.
func (r *tableRead) readShard(ctx context.Context, shard, from string) error {
	for {
		page, err := r.node.tables.Range(ctx, r.table, shard, from)
		if err != nil {
			return err
		}
		if err := r.awaitReady(ctx); err != nil {
			return err
		}
		last := !page.HasMore || len(page.Rows) == 0
		if !last {
			from = page.Rows[len(page.Rows)-1].Key + "\x00"
		}
		r.add(page, shard, from, last)
		if last {
			return nil
		}
	}
}

func (r *tableRead) awaitReady(ctx context.Context) error {
	if r.ready != nil {
		select {
		case <-r.ready:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// add passes on the rows of a page and records how far its shard is read.
func (r *tableRead) add(page backend.Page, shard, next string, last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version == 0 || page.Version < r.version {
		r.version = page.Version
	}
	r.apply(page.Rows)
	if last {
		delete(r.from, shard)
		return
	}
	r.from[shard] = next
}

// readTable reads a table and passes on its rows, page by page, and returns the version from which on a feed misses no write. Shards that cannot
// be read are read again until none is left: on an unreliable path to the store, a read of all shards at once would hardly ever succeed.
// It returns false if the leadership ended or has failed.
func (l *leadership) readTable(ctx context.Context, table string, shards []string, apply func([]backend.Row)) (version uint64, ok bool) {
	return l.readTableWhen(ctx, nil, table, shards, apply)
}

// readTableWhen is readTable, but passes on no rows before ready is closed, unless that is nil.
func (l *leadership) readTableWhen(ctx context.Context, ready <-chan struct{}, table string, shards []string, apply func([]backend.Row)) (version uint64, ok bool) {
	read := l.node.newTableRead(table, shards, func(rows []backend.Row) { l.guard(func() { apply(rows) }) })
	read.ready = ready
	for ctx.Err() == nil && !l.failed.Load() {
		left, err := read.run(ctx)
		if left == 0 {
			return read.version, true
		}
		l.node.opts.Log.WithError(err).WithFields(map[string]any{
			"event": "table_unreadable", "table": table, "shards": left,
		}).Warn("cannot read the table")
		pause(ctx, storeRetryDelay)
	}
	return 0, false
}

// readRows reads all rows of a shard whose table has few.
func (n *Node) readRows(ctx context.Context, table, shard string) (rows []backend.Row, version uint64, err error) {
	read := n.newTableRead(table, []string{shard}, func(page []backend.Row) { rows = append(rows, page...) })
	if _, err := read.run(ctx); err != nil {
		return nil, 0, err
	}
	return rows, read.version, nil
}
