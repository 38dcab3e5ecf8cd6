package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// feedWait is the long poll on the tables that a leader follows.
const feedWait = 1500 * time.Millisecond

// snapshot is a consistent enough read of a table: every row that was written before it began is in it, and a feed after
// version has every later one.
type snapshot struct {
	rows    map[string]backend.Row
	version uint64
}

// readTable reads all parts of a table, in parallel.
func (n *Node) readTable(ctx context.Context, table string, parts []string) (snapshot, error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	out := snapshot{rows: map[string]backend.Row{}}
	var failed error
	for _, part := range parts {
		group.Add(1)
		go func() {
			defer group.Done()
			rows, version, err := n.readPart(ctx, table, part)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			if out.version == 0 || version < out.version {
				out.version = version
			}
			for _, row := range rows {
				out.rows[row.Key] = row
			}
		}()
	}
	group.Wait()
	return out, failed
}

// readPart reads the pages of one part. The version is that of the first page.
func (n *Node) readPart(ctx context.Context, table, part string) ([]backend.Row, uint64, error) {
	var rows []backend.Row
	version := uint64(0)
	from := ""
	for {
		page, err := n.tables.Range(ctx, table, part, from)
		if err != nil {
			return nil, 0, err
		}
		if version == 0 {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, version, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

// mustRead reads a table until it succeeds or the term ends.
func (t *term) mustRead(ctx context.Context, table string, parts []string) (snapshot, bool) {
	for ctx.Err() == nil {
		s, err := t.node.readTable(ctx, table, parts)
		if err == nil {
			return s, true
		}
		t.node.opts.Log.WithError(err).WithFields(map[string]any{"event": "table_unreadable", "table": table}).Warn("table cannot be read")
		pause(ctx, readRetry)
	}
	return snapshot{}, false
}

// load reads everything that lasts. It returns false if the term ended.
func (t *term) load(ctx context.Context) bool {
	began := t.node.opts.Now()
	// The tables are read at the same time: nobody else writes progress in this epoch.
	var workers, jobs, cancels, progress, writes snapshot
	reads := []struct {
		into  *snapshot
		table string
		parts []string
	}{
		{&workers, t.node.opts.Sources.Workers, []string{""}}, {&jobs, jobTable, jobParts()},
		{&cancels, cancelTable, jobParts()}, {&progress, progressTable, []string{cellPart}},
		{&writes, writeTable, []string{cellPart}},
	}
	var group sync.WaitGroup
	for _, r := range reads {
		group.Go(func() { *r.into, _ = t.mustRead(ctx, r.table, r.parts) })
	}
	group.Wait()
	if ctx.Err() != nil {
		return false
	}
	if err := t.core.LoadFleet(writes.rows[fleetKey.Key].Value, t.node.opts.Now()); err != nil {
		t.node.opts.Log.WithError(err).WithField("event", "fleet_unreadable").Error("record of the workers cannot be read")
	}
	for _, row := range workers.rows {
		t.enterWorker(row)
	}
	for _, row := range jobs.rows {
		t.enterJob(row, progress.rows[row.Key])
	}
	for _, row := range cancels.rows {
		t.enterCancel(row)
	}
	t.jobsAfter, t.cancelsAfter, t.workersAfter = jobs.version, cancels.version, workers.version
	t.mu.Lock()
	t.loaded = true
	t.mu.Unlock()
	t.node.opts.Log.WithFields(map[string]any{
		"event": "rows_loaded", "epoch": t.epoch, "jobs": len(jobs.rows), "cancels": len(cancels.rows),
		"workers": len(workers.rows), "took_ms": (t.node.opts.Now() - began).Milliseconds(),
	}).Info("rows loaded")
	return true
}

// enterJob adds the job of a row.
func (t *term) enterJob(row, progress backend.Row) {
	if row.Deleted {
		return
	}
	if state, _ := cell.StoredState(progress.Value); state != "" {
		t.core.AddFinished(job.ID(row.Key), state, t.node.opts.Now())
		return
	}
	var record job.Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		t.node.opts.Log.WithError(err).WithFields(map[string]any{"event": "job_unreadable", "job": row.Key}).Error("job record cannot be read")
		return
	}
	now := t.node.opts.Now()
	id := job.ID(row.Key)
	if len(progress.Value) == 0 {
		t.core.AddJob(id, record, now)
		return
	}
	if err := t.core.LoadProgress(id, record, progress.Value, now); err != nil {
		t.node.opts.Log.WithError(err).WithFields(map[string]any{"event": "progress_unreadable", "job": row.Key}).Error("progress cannot be read")
	}
}

func (t *term) enterCancel(row backend.Row) {
	if !row.Deleted {
		t.core.CancelJob(job.ID(row.Key), t.node.opts.Now())
	}
}

// enterWorker enters an entry of the registry. An entry of another writer that cannot be used counts as absent.
func (t *term) enterWorker(row backend.Row) {
	now := t.node.opts.Now()
	if row.Deleted {
		t.core.RemoveWorker(row.Key, now)
		return
	}
	info, err := t.node.opts.Decoder.Worker(row)
	if err != nil {
		t.unusableEntry(row.Key, err)
		t.core.RemoveWorker(row.Key, now)
		return
	}
	t.core.SetWorker(info, now)
}

// unusableEntry logs an entry that names no worker, once for each key.
func (t *term) unusableEntry(key string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.unusable[key]; known || len(t.unusable) >= maxUnusable {
		return
	}
	t.unusable[key] = struct{}{}
	t.node.opts.Log.WithError(err).WithFields(map[string]any{"event": "registry_entry_ignored", "key": key}).Warn("registry entry ignored")
}

// maxUnusable bounds the unusable entries that are remembered.
const maxUnusable = 200

func (t *term) followJobs(ctx context.Context) {
	enter := func(row backend.Row) { t.enterJob(row, backend.Row{}) }
	t.follow(ctx, feed{table: jobTable, after: &t.jobsAfter, parts: jobParts(), enter: enter, expires: true})
}

func (t *term) followCancels(ctx context.Context) {
	t.follow(ctx, feed{table: cancelTable, after: &t.cancelsAfter, parts: jobParts(), enter: t.enterCancel, expires: true})
}

func (t *term) followWorkers(ctx context.Context) {
	t.follow(ctx, feed{
		table: t.node.opts.Sources.Workers, after: &t.workersAfter, parts: []string{""}, enter: t.enterWorker, prune: t.pruneWorkers,
	})
}

// pruneWorkers removes workers that a full read of the registry no longer has.
func (t *term) pruneWorkers(rows map[string]backend.Row) {
	for _, id := range t.core.WorkerIDs() {
		if _, ok := rows[id]; !ok {
			t.core.RemoveWorker(id, t.node.opts.Now())
		}
	}
}

// feed is a table that a leader follows.
type feed struct {
	table string
	// after is the version up to which the feed was read.
	after *uint64
	parts []string
	enter func(backend.Row)
	// expires says that the leader removes rows of the table after the retention.
	expires bool
	// prune is given all rows after the table was read anew; nil for none.
	prune func(map[string]backend.Row)
}

// feedPause lets changes gather, so that a busy table costs few calls. Jobs and cancellations are also told by message.
const feedPause = 150 * time.Millisecond

// follow enters the rows of a table as they change. When the history is gone, the table is read anew.
func (t *term) follow(ctx context.Context, f feed) {
	failing := false
	for pause(ctx, feedPause) {
		page, err := t.node.tables.Feed(ctx, f.table, *f.after, feedWait)
		if ctx.Err() != nil {
			return
		}
		if failing != (err != nil) {
			failing = err != nil
			t.node.opts.Log.WithFields(map[string]any{"event": "feed", "table": f.table, "lost": failing, "error": errText(err)}).Warn("feed of a table")
		}
		if err != nil {
			if verdict.From(err).Code == verdict.CodeExpired {
				t.reread(ctx, f)
			}
			continue
		}
		for _, row := range page.Rows {
			f.enter(row)
		}
		*f.after = max(*f.after, page.Version)
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// reread reads a table whose history is gone.
func (t *term) reread(ctx context.Context, f feed) {
	if f.expires {
		t.rows.RLock()
		defer t.rows.RUnlock()
	}
	s, ok := t.mustRead(ctx, f.table, f.parts)
	if !ok {
		return
	}
	for _, row := range s.rows {
		f.enter(row)
	}
	if f.prune != nil {
		f.prune(s.rows)
	}
	*f.after = s.version
}
