package node

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// feedLongPoll is the duration of a long poll for changes of a table that the leader follows.
const feedLongPoll = 1500 * time.Millisecond

// load reads the durable state of the cell. It returns false if the leadership ended.
func (l *leadership) load(ctx context.Context) bool {
	startedAt := l.node.opts.Now()
	var workers, writes []backend.Row
	var cancels []job.ID
	progress, jobs := newStoredProgress(), 0
	collect := func(rows *[]backend.Row) func([]backend.Row) {
		return func(page []backend.Row) { *rows = append(*rows, page...) }
	}
	// The tables can be read in parallel, since no other instance writes progress in this epoch. The records of the jobs are applied last.
	var group, before sync.WaitGroup
	before.Go(func() {
		l.workersFeedVersion, _ = l.readTable(ctx, l.node.opts.Sources.Workers, []string{""}, collect(&workers))
	})
	before.Go(func() { _, _ = l.readTable(ctx, writeTable, []string{cellShard}, collect(&writes)) })
	before.Go(func() { _, _ = l.readTable(ctx, progressTable, []string{cellShard}, progress.add) })
	group.Go(func() {
		l.cancelsFeedVersion, _ = l.readTable(ctx, cancelTable, jobShards(), func(page []backend.Row) {
			for _, row := range page {
				cancels = append(cancels, job.ID(row.Key))
			}
		})
	})
	ready := make(chan struct{})
	group.Go(func() {
		l.jobsFeedVersion, _ = l.readTableWhen(ctx, ready, jobTable, jobShards(), func(page []backend.Row) {
			jobs += len(page)
			for _, row := range page {
				progress.applyTo(l, row)
			}
		})
	})
	before.Wait()
	l.loadFleetRecord(writes)
	for _, row := range workers {
		l.applyWorkerRow(row)
	}
	close(ready)
	group.Wait()
	if ctx.Err() != nil || l.failed.Load() {
		return false
	}
	for _, id := range cancels {
		l.core.CancelJob(id, l.node.opts.Now())
	}
	l.adoptReplica()
	l.mu.Lock()
	l.loaded = true
	l.mu.Unlock()
	memory := l.core.MemoryUse()
	l.node.opts.Log.WithFields(map[string]any{
		"event": "rows_loaded", "epoch": l.epoch, "jobs": jobs, "cancels": len(cancels), "workers": len(workers), "deferred": memory.Deferred,
		"used_bytes": memory.UsedBytes, "limit_bytes": memory.LimitBytes, "took_ms": (l.node.opts.Now() - startedAt).Milliseconds(),
	}).Info("rows loaded")
	return true
}

// loadFleetRecord passes the rows of the record of the workers in use to the scheduler. The single row of an earlier program is
// merged into the others: its workers may be gone, but none in use is missed.
func (l *leadership) loadFleetRecord(rows []backend.Row) {
	var record [][]byte
	for _, row := range rows {
		if row.Key == formerFleetKey.Key {
			l.hasFormerFleetRow = true
		}
		if row.Key == formerFleetKey.Key || strings.HasPrefix(row.Key, fleetRowPrefix) {
			record = append(record, row.Value)
		}
	}
	if err := l.core.LoadFleetRecord(l.node.opts.Now(), record...); err != nil {
		l.node.opts.Log.WithError(err).WithField("event", "fleet_unreadable").Error("cannot decode the record of the workers in use")
	}
	if l.hasFormerFleetRow {
		l.core.RewriteFleetRecord()
	}
}

// applyJobRow passes the job of a row to the scheduler, with the progress that is stored for it, if any.
func (l *leadership) applyJobRow(row backend.Row, progress []byte) {
	l.addJobRow(row, progress, l.core.LoadJob)
}

// applyLookedUpRow is applyJobRow for a row that was read with its progress for a lookup.
func (l *leadership) applyLookedUpRow(row backend.Row, progress []byte) {
	l.addJobRow(row, progress, l.core.AddLookedUpJob)
}

// addJobRow passes the job of a row to add, with its progress, or to the scheduler as finished.
func (l *leadership) addJobRow(row backend.Row, progress []byte, add func(job.ID, job.Record, []byte, cell.Instant) error) {
	if row.Deleted {
		return
	}
	id, now := job.ID(row.Key), l.node.opts.Now()
	if state, _ := cell.StoredState(progress); state != "" {
		l.core.AddFinishedJob(id, state, now)
		return
	}
	record, ok := l.decodeJobRow(row)
	if !ok {
		return
	}
	if err := add(id, record, progress, now); err != nil {
		l.node.opts.Log.WithError(err).WithFields(map[string]any{"event": "progress_unreadable", "job": id}).Error("cannot decode the progress of the job")
	}
}

// decodeJobRow returns the record in a row of the jobs. ok is false if there is none.
func (l *leadership) decodeJobRow(row backend.Row) (record job.Record, ok bool) {
	record, refused, err := decodeJobRecord(row.Value)
	if refused {
		l.noteRefusal(row)
		return job.Record{}, false
	}
	if err != nil {
		l.node.opts.Log.WithError(err).WithFields(map[string]any{"event": "job_unreadable", "job": row.Key}).Error("cannot decode the job record")
		return job.Record{}, false
	}
	return record, true
}

// lookUpJob reads the rows of a job and passes them to the scheduler. found is false if there is no record of the job.
func (l *leadership) lookUpJob(ctx context.Context, id job.ID) (found bool, err error) {
	// A record that is removed after it was read would be added as a new one.
	l.removalLock.RLock()
	defer l.removalLock.RUnlock()
	record, err := l.node.readRow(ctx, id, jobKey)
	if err != nil || record.Version == 0 {
		return false, err
	}
	progress, err := l.node.tables.Get(ctx, progressKey(id))
	if err != nil {
		return false, err
	}
	cancel, err := l.node.readRow(ctx, id, cancelKey)
	if err != nil {
		return false, err
	}
	if cancel.Version != 0 {
		l.applyCancelRow(cancel)
	}
	l.applyLookedUpRow(record, progress.Value)
	return true, nil
}

func (l *leadership) applyCancelRow(row backend.Row) {
	if !row.Deleted {
		l.core.CancelJob(job.ID(row.Key), l.node.opts.Now())
	}
}

// applyWorkerRow passes an entry of the worker registry to the scheduler. The registry has other writers; an entry that
// cannot be decoded counts as absent.
func (l *leadership) applyWorkerRow(row backend.Row) {
	now := l.node.opts.Now()
	if row.Deleted {
		l.core.RemoveWorker(row.Key, now)
		return
	}
	info, err := l.node.opts.Decoder.Worker(row)
	if err != nil {
		l.logUnusableEntry(row.Key, err)
		l.core.RemoveWorker(row.Key, now)
		return
	}
	l.core.SetWorker(info, now)
}

// logUnusableEntry logs a registry entry that does not describe a worker, once for each key.
func (l *leadership) logUnusableEntry(key string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, logged := l.loggedUnusable[key]; logged || len(l.loggedUnusable) >= maxLoggedUnusable {
		return
	}
	l.loggedUnusable[key] = struct{}{}
	l.node.opts.Log.WithError(err).WithFields(map[string]any{"event": "registry_entry_ignored", "key": key}).Warn("registry entry does not describe a worker and is ignored")
}

// maxLoggedUnusable limits the unusable entries that are logged and remembered in one leadership.
const maxLoggedUnusable = 200

func (l *leadership) followJobs(ctx context.Context) {
	apply := func(row backend.Row) { l.applyJobRow(row, nil) }
	l.followFeed(ctx, feed{table: jobTable, version: &l.jobsFeedVersion, shards: jobShards(), apply: apply, hasRetention: true})
}

func (l *leadership) followCancels(ctx context.Context) {
	l.followFeed(ctx, feed{table: cancelTable, version: &l.cancelsFeedVersion, shards: jobShards(), apply: l.applyCancelRow, hasRetention: true})
}

func (l *leadership) followWorkers(ctx context.Context) {
	l.followFeed(ctx, feed{
		table: l.node.opts.Sources.Workers, version: &l.workersFeedVersion, shards: []string{""}, apply: l.applyWorkerRow, prune: l.pruneWorkers,
	})
}

// pruneWorkers removes the workers whose keys are missing in a full read of the registry.
func (l *leadership) pruneWorkers(keys map[string]struct{}) {
	for _, id := range l.core.WorkerIDs() {
		if _, ok := keys[id]; !ok {
			l.core.RemoveWorker(id, l.node.opts.Now())
		}
	}
}

// feed describes how the leader follows a table.
type feed struct {
	table string
	// version is the version up to which the feed was read.
	version *uint64
	shards  []string
	apply   func(backend.Row)
	// hasRetention is set if the leader removes rows of the table after the retention.
	hasRetention bool
	// prune, if not nil, is called with all keys after the whole table was read again.
	prune func(map[string]struct{})
}

// feedInterval is the pause between two feed calls. Changes accumulate in it, so that a busy table takes few calls. New jobs
// and cancellations do not wait for it: the leader is also notified of them by message.
const feedInterval = 150 * time.Millisecond

// followFeed applies the rows of a table as they change. If the store has dropped the history after the feed's version, the
// whole table is read again.
func (l *leadership) followFeed(ctx context.Context, f feed) {
	failing := false
	for pause(ctx, feedInterval) {
		page, err := l.node.tables.Feed(ctx, f.table, *f.version, feedLongPoll)
		if ctx.Err() != nil {
			return
		}
		if failing != (err != nil) {
			failing = err != nil
			l.node.opts.Log.WithFields(map[string]any{"event": "feed", "table": f.table, "lost": failing, "error": errText(err)}).Warn("table feed lost or restored")
		}
		if err != nil {
			if verdict.From(err).Code == verdict.CodeExpired {
				l.reloadTable(ctx, f)
			}
			continue
		}
		for _, row := range page.Rows {
			f.apply(row)
		}
		*f.version = max(*f.version, page.Version)
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// reloadTable reads and applies a whole table after the store has dropped its change history.
func (l *leadership) reloadTable(ctx context.Context, f feed) {
	if f.hasRetention {
		l.removalLock.RLock()
		defer l.removalLock.RUnlock()
	}
	keys := map[string]struct{}{}
	version, ok := l.readTable(ctx, f.table, f.shards, func(page []backend.Row) {
		for _, row := range page {
			f.apply(row)
			if f.prune != nil {
				keys[row.Key] = struct{}{}
			}
		}
	})
	if !ok {
		return
	}
	if f.prune != nil {
		f.prune(keys)
	}
	*f.version = version
}
