package node

import (
	"context"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// configLongPoll is the duration of a long poll for configuration changes. A silent connection is only detected when it
// ends, so it is shorter than the time within which a configuration must be in force.
const configLongPoll = time.Second

// configFeed is the position of this instance in the feed of the operator's table. The mutex of the node protects it.
type configFeed struct {
	// version is the version of the table service up to which the table was read.
	version uint64
	// known means that the changes after version can be read. Otherwise the whole table is read.
	known bool
	// failing means that the last read failed.
	failing bool
}

// followConfig applies every change of the configuration until ctx ends: as other instances announce it, or else as it is read from
// the table service.
func (n *Node) followConfig(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.followsSources() {
			n.readConfigUntilAnnounced(ctx)
			continue
		}
		n.awaitAnnouncement(ctx)
		if !n.fetchConfig(ctx) {
			n.readConfig(ctx)
		}
	}
}

// readConfig reads changes of the operator's table from the table service, or the whole table, and applies them.
func (n *Node) readConfig(ctx context.Context) {
	key := n.opts.Sources.Config
	n.mu.Lock()
	feed := n.configFeed
	n.mu.Unlock()
	startedAt := n.opts.Now()
	var page backend.Page
	var err error
	if feed.known {
		// A response that has begun contains a change, unless the long poll has just ended.
		page, err = n.tables.Feed(backend.WithProgress(ctx, n.noticeNewerConfig), key.Table, feed.version, configLongPoll)
	} else {
		page.Rows, page.Version, err = n.readRows(ctx, key.Table, key.Shard)
	}
	if ctx.Err() != nil {
		return
	}
	if feed.failing != (err != nil) {
		n.opts.Log.WithFields(map[string]any{"event": "config_feed", "lost": err != nil, "error": errText(err)}).Warn("configuration feed lost or restored")
	}
	if err == nil {
		n.applyConfigRows(page.Rows, key)
	}
	n.recordConfigRead(page.Version, startedAt, err)
	if err != nil {
		pause(ctx, storeRetryDelay)
	}
}

// recordConfigRead records the outcome of a read of the operator's table up to a version, which began at an instant.
func (n *Node) recordConfigRead(version uint64, startedAt cell.Instant, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := &n.configFeed
	f.failing = err != nil
	if err != nil {
		f.known = f.known && verdict.From(err).Code != verdict.CodeExpired
		return
	}
	f.known, f.version = true, max(f.version, version)
	n.configAge.confirm(n.opts.Now())
	n.configAge.verify(startedAt)
}

// applyConfigRows applies the maintenance requests and the newest configuration among the rows.
func (n *Node) applyConfigRows(rows []backend.Row, key backend.RowKey) {
	for _, row := range rows {
		n.applyWaveRow(row)
		if row.RowKey != key || row.Deleted {
			continue
		}
		cfg, err := n.opts.Decoder.Config(row)
		if err != nil {
			n.opts.Log.WithError(err).WithField("event", "config_unreadable").Error("cannot decode the configuration row")
			continue
		}
		n.applyConfig(cfg)
	}
}

// applyConfig puts a configuration in force unless the current one is at least as new. Only followConfig calls it.
func (n *Node) applyConfig(cfg job.Config) {
	n.mu.Lock()
	newer := cfg.Version > n.config.Version
	n.mu.Unlock()
	if !newer {
		return
	}
	cfg.BuildIndex()
	n.keepDelta(cfg)
	n.mu.Lock()
	n.config = cfg
	n.notifyConfigChange()
	l := n.leadership
	n.mu.Unlock()
	n.opts.Log.WithFields(map[string]any{"event": "config_applied", "config": cfg.Version, "queues": len(cfg.Queues)}).Info("configuration applied")
	if l != nil {
		l.core.SetConfig(cfg)
	}
}

// applyWaveRow passes a maintenance request to the scheduler. Every instance stores the requests, in case it becomes the
// leader.
func (n *Node) applyWaveRow(row backend.Row) {
	wave, ok, err := n.opts.Decoder.Wave(row)
	if err != nil {
		n.opts.Log.WithError(err).WithField("event", "wave_unreadable").Error("cannot decode the maintenance request")
	}
	if ok && err == nil {
		n.applyWave(wave)
	}
}

// applyWave keeps a maintenance request and passes it to the scheduler.
func (n *Node) applyWave(wave backend.MaintenanceWave) {
	n.mu.Lock()
	// A request can arrive twice: the whole table is read again when the store has dropped its change history.
	if !slices.ContainsFunc(n.waves, func(w backend.MaintenanceWave) bool { return w.Number == wave.Number }) {
		n.waves = append(n.waves, wave)
		n.notifyConfigChange()
	}
	l := n.leadership
	n.mu.Unlock()
	if l != nil {
		l.core.SetWave(wave, n.opts.Now())
	}
}
