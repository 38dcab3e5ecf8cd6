package node

import (
	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/version/cell"
)

// maxLoadedProgressBytes limits the progress that a new leader holds until it has read the records of the jobs.
const maxLoadedProgressBytes = 8 << 20

// storedProgress holds the progress of jobs while a new leader reads their records, or how to treat the jobs whose progress it leaves in the
// store.
type storedProgress struct {
	// rows are those of unfinished jobs, and bytes is their size.
	rows  map[job.ID][]byte
	bytes int
	// final are the states of finished jobs.
	final map[job.ID]job.State
	// unread are the unfinished jobs whose rows would exceed maxLoadedProgressBytes.
	unread map[job.ID]struct{}
}

func newStoredProgress() *storedProgress {
	return &storedProgress{rows: map[job.ID][]byte{}, final: map[job.ID]job.State{}, unread: map[job.ID]struct{}{}}
}

// add adds a page of rows.
func (p *storedProgress) add(rows []backend.Row) {
	for _, row := range rows {
		id := job.ID(row.Key)
		if state, _ := cell.StoredState(row.Value); state != "" {
			p.final[id] = state
			continue
		}
		if p.bytes += len(row.Value); p.bytes > maxLoadedProgressBytes {
			p.unread[id] = struct{}{}
			continue
		}
		p.rows[id] = row.Value
	}
}

// applyTo passes the job of a row to the scheduler, with its progress.
func (p *storedProgress) applyTo(l *leadership, row backend.Row) {
	id := job.ID(row.Key)
	if state, finished := p.final[id]; finished {
		l.core.AddFinishedJob(id, state, l.node.opts.Now())
		return
	}
	if _, unread := p.unread[id]; !unread {
		l.applyJobRow(row, p.rows[id])
		return
	}
	if record, ok := l.decodeJobRow(row); ok {
		l.core.DeferJob(id, record, l.node.opts.Now())
	}
}
