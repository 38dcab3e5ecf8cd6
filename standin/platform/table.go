// Package platform provides in-memory stand-ins for the platform's table service, object store and instance list. The
// data is lost when the process ends. Faults of the table are injected through Faults.
package platform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
)

// retryDelay is the delay before a retry that the table suggests when the context of an operation has ended.
const retryDelay = time.Second

// Faults selects the faults to inject. A nil function injects none.
type Faults struct {
	// Before is called before an operation; an error prevents the operation.
	Before func(op string) error
	// After is called after a commit took effect; an error replaces its result.
	After func(op string) error
}

// Table is an in-memory transactional table.
//
// Locking: mu protects all fields and is not held while a function of Faults runs.
type Table struct {
	mu          sync.Mutex
	rows        map[string]store.Row
	version     uint64
	faults      Faults
	rowsRead    uint64
	rowsWritten uint64
}

var _ store.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]store.Row{}} }

// SetFaults replaces the faults to inject.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Counts returns the numbers of rows read and written so far. Each condition and each requested key counts as a read,
// whether or not the row exists; a scan counts one read more than it returns rows.
func (t *Table) Counts() (reads, writes uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rowsRead, t.rowsWritten
}

// injectFault returns the error that Faults selects before or after an operation.
func (t *Table) injectFault(op string, after bool) error {
	t.mu.Lock()
	hook := t.faults.Before
	if after {
		hook = t.faults.After
	}
	t.mu.Unlock()
	if hook == nil {
		return nil
	}
	return hook(op)
}

// Commit implements store.Table.
func (t *Table) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	if err := t.beginOperation(ctx, "commit"); err != nil {
		return nil, err
	}
	versions, err := t.commit(txn)
	if err != nil {
		return nil, err
	}
	if err := t.injectFault("commit", true); err != nil {
		return nil, err
	}
	return versions, nil
}

// beginOperation returns an error if ctx has ended or a fault prevents the operation.
func (t *Table) beginOperation(ctx context.Context, op string) error {
	if err := ctx.Err(); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "table").WithRetryAfter(retryDelay)
	}
	return t.injectFault(op, false)
}

func (t *Table) commit(txn store.Txn) ([]uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Conditions {
		t.rowsRead++
		if t.rows[c.Key].Version != c.Version {
			return nil, verdict.New(verdict.NotRun, verdict.CodeConflict, "row %q has version %d, expected %d", c.Key, t.rows[c.Key].Version, c.Version)
		}
	}
	versions := make([]uint64, 0, len(txn.Writes))
	for _, w := range txn.Writes {
		t.version++
		t.rowsWritten++
		versions = append(versions, t.version)
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = store.Row{Key: w.Key, Version: t.version, TxnID: txn.ID, Value: append([]byte(nil), w.Value...)}
	}
	return versions, nil
}

// Get implements store.Table.
func (t *Table) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := t.beginOperation(ctx, "get"); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []store.Row
	for _, key := range keys {
		t.rowsRead++
		if row, ok := t.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Scan implements store.Table.
func (t *Table) Scan(ctx context.Context, prefix string) ([]store.Row, error) {
	if err := t.beginOperation(ctx, "scan"); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []store.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	t.rowsRead += uint64(len(rows)) + 1
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}
