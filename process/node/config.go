package node

import (
	"context"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// configLongPoll is the duration of a long poll for configuration changes. A silent connection is only detected when it
// ends, so it is shorter than the time within which a configuration must be in force.
const configLongPoll = time.Second

// followConfig reads the configuration and applies every change of it until ctx ends.
func (n *Node) followConfig(ctx context.Context) {
	version, feedPositionKnown, failing := uint64(0), false, false
	key := n.opts.Sources.Config
	for ctx.Err() == nil {
		var page backend.Page
		var err error
		if feedPositionKnown {
			// A response that has begun contains a change, unless the long poll has just ended.
			page, err = n.tables.Feed(backend.WithProgress(ctx, n.noticeNewerConfig), key.Table, version, configLongPoll)
		} else {
			page.Rows, page.Version, err = n.readShard(ctx, key.Table, key.Shard)
		}
		if ctx.Err() != nil {
			return
		}
		if failing != (err != nil) {
			failing = err != nil
			n.opts.Log.WithFields(map[string]any{"event": "config_feed", "lost": failing, "error": errText(err)}).Warn("configuration feed lost or restored")
		}
		if err != nil {
			feedPositionKnown = feedPositionKnown && verdict.From(err).Code != verdict.CodeExpired
			pause(ctx, storeRetryDelay)
			continue
		}
		feedPositionKnown, version = true, max(version, page.Version)
		n.applyConfigRows(page.Rows, key)
		n.confirmConfig(n.opts.Now())
	}
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

// applyConfig puts a configuration in force unless the current one is at least as new.
func (n *Node) applyConfig(cfg job.Config) {
	cfg.BuildIndex()
	n.mu.Lock()
	newer := cfg.Version > n.config.Version
	if newer {
		n.config = cfg
	}
	l := n.leadership
	n.mu.Unlock()
	if !newer {
		return
	}
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
	if !ok || err != nil {
		return
	}
	n.mu.Lock()
	// A request can arrive twice: the whole table is read again when the store has dropped its change history.
	if !slices.ContainsFunc(n.waves, func(w backend.MaintenanceWave) bool { return w.Number == wave.Number }) {
		n.waves = append(n.waves, wave)
	}
	l := n.leadership
	n.mu.Unlock()
	if l != nil {
		l.core.SetWave(wave, n.opts.Now())
	}
}
