// Package backends provides in-memory implementations of the interfaces of package backend for tests: a table service,
// workers and a placement policy. They honor the contracts of the interfaces, support fault injection, and record the
// calls they receive, so that tests check the scheduler by its observable effects and not by its internal state.
package backends

import (
	"context"
	"encoding/base64"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Fault is the fault that a table service injects into one call.
type Fault uint8

// The faults that can be injected.
const (
	// FaultNone serves the call normally.
	FaultNone Fault = iota
	// FaultRefused rejects the call with the verdict NotRun; it has no effect.
	FaultRefused
	// FaultNoAnswer blocks until the caller's context ends; the call has no effect.
	FaultNoAnswer
	// FaultAnswerLost executes a commit but blocks until the caller's context ends, as if the answer was lost. Reads are
	// served normally.
	FaultAnswerLost
	// FaultLate executes a commit lateWriteDelay later, if its expectations hold then, and blocks until the caller's context ends.
	// Reads are served normally.
	FaultLate
)

// lateWriteDelay is the time from a commit with FaultLate to its execution.
const lateWriteDelay = 2 * time.Second

// Tables is an in-memory table service. Use NewTables to create one; the zero value is not usable.
//
// Locking: mu protects all fields and is not held while a call blocks.
type Tables struct {
	mu   sync.Mutex
	rows map[backend.RowKey]backend.Row
	// history holds all changes after trimmedVersion, oldest first.
	history []backend.Row
	// trimmedVersion is the version up to which the history has been dropped.
	trimmedVersion uint64
	version        uint64
	// changed is closed and replaced by each write.
	changed     chan struct{}
	chooseFault func(write bool) Fault
	calls       int
	// faults records the faults of the calls.
	faults faultLog
}

var _ backend.Tables = (*Tables)(nil)

// NewTables returns an empty table service.
func NewTables() *Tables {
	return &Tables{rows: map[backend.RowKey]backend.Row{}, changed: make(chan struct{})}
}

// SetFault sets the function that selects the fault of each later call; nil injects none.
func (t *Tables) SetFault(choose func(write bool) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chooseFault = choose
	t.faults.end()
}

// Calls returns the number of calls so far, including those that failed. A feed that times out counts twice.
func (t *Tables) Calls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// TrimHistory drops the history, so that a feed from an earlier version fails with CodeExpired and its reader must
// read the table again.
func (t *Tables) TrimHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history = nil
	t.trimmedVersion = t.version
}

// Put writes a row unconditionally, on behalf of writers other than the scheduler.
func (t *Tables) Put(key backend.RowKey, value []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(backend.Txn{Put: []backend.Row{{RowKey: key, Value: value}}})
}

// Delete removes a row unconditionally.
func (t *Tables) Delete(key backend.RowKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(backend.Txn{Remove: []backend.RowKey{key}})
}

// Commit implements backend.Tables.
func (t *Tables) Commit(ctx context.Context, txn backend.Txn) (uint64, error) {
	fault := t.recordCall(true)
	if err := injectFault(ctx, fault); err != nil {
		return 0, err
	}
	if fault == FaultLate {
		// Nobody learns the result of a commit that is executed late.
		time.AfterFunc(lateWriteDelay, func() { _, _ = t.commit(txn) })
		<-ctx.Done()
		return 0, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "the commit is late")
	}
	version, err := t.commit(txn)
	if fault == FaultAnswerLost {
		<-ctx.Done()
		return 0, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")
	}
	return version, err
}

// Limits of the table service.
const (
	// MaxRowBytes limits the value of a row, MaxTxnEntries the entries of a transaction, and MaxTxnBytes its values in base64.
	MaxRowBytes   = 65_536
	MaxTxnEntries = 100
	MaxTxnBytes   = 1 << 20
)

// checkLimits returns the error for a transaction that the service never accepts.
func checkLimits(txn backend.Txn) error {
	if n := len(txn.Expected) + len(txn.Put) + len(txn.Remove); n > MaxTxnEntries {
		return verdict.Invalid("transaction", "%d entries", n)
	}
	total := 0
	for _, row := range txn.Put {
		if len(row.Value) > MaxRowBytes {
			return verdict.Invalid("row", "%s has %d bytes", row.Key, len(row.Value))
		}
		total += base64.StdEncoding.EncodedLen(len(row.Value))
	}
	if total > MaxTxnBytes {
		return verdict.Invalid("transaction", "%d bytes", total)
	}
	return nil
}

func (t *Tables) commit(txn backend.Txn) (uint64, error) {
	if err := checkLimits(txn); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if current := t.checkExpected(txn); current != nil {
		return 0, verdict.New(verdict.NotRun, verdict.CodeConflict, "a row has another version").WithDetail(current)
	}
	return t.apply(txn), nil
}

// recordCall counts a call and returns its fault.
func (t *Tables) recordCall(write bool) Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	if t.chooseFault == nil {
		return FaultNone
	}
	fault := t.chooseFault(write)
	t.recordFault(fault)
	return fault
}

// injectFault returns the error of a fault that prevents a call, after waiting for the end of ctx if the fault is
// FaultNoAnswer.
func injectFault(ctx context.Context, fault Fault) error {
	switch fault {
	case FaultRefused:
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the stand-in refuses")
	case FaultNoAnswer:
		<-ctx.Done()
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "the stand-in is silent")
	default:
		return nil
	}
}

// checkExpected returns nil if all expected rows have their version, and otherwise those of them that exist, as they
// are now. Callers hold t.mu.
func (t *Tables) checkExpected(txn backend.Txn) []backend.Row {
	match := true
	rows := []backend.Row{}
	for _, e := range txn.Expected {
		row, ok := t.rows[e.RowKey]
		match = match && row.Version == e.Version
		if ok {
			rows = append(rows, row)
		}
	}
	if match {
		return nil
	}
	return rows
}

// apply writes a transaction without checking its expectations and returns its version. Callers hold t.mu.
func (t *Tables) apply(txn backend.Txn) uint64 {
	t.version++
	for _, row := range txn.Put {
		row.Version = t.version
		row.Value = slices.Clone(row.Value)
		t.rows[row.RowKey] = row
		t.history = append(t.history, row)
	}
	for _, key := range txn.Remove {
		delete(t.rows, key)
		t.history = append(t.history, backend.Row{RowKey: key, Version: t.version, Deleted: true})
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return t.version
}

// pageRows is the maximum number of rows in a page. It is small so that tests have to read several pages.
const pageRows = 3

// Range implements backend.Tables.
func (t *Tables) Range(ctx context.Context, table, shard, from string) (backend.Page, error) {
	if err := injectFault(ctx, t.recordCall(false)); err != nil {
		return backend.Page{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	page := backend.Page{Version: t.version}
	for _, row := range t.rows {
		if row.Table == table && row.Shard == shard && row.Key >= from {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b backend.Row) int { return strings.Compare(a.Key, b.Key) })
	page.HasMore = len(page.Rows) > pageRows
	page.Rows = page.Rows[:min(len(page.Rows), pageRows)]
	return page, nil
}

// Get implements backend.Tables.
func (t *Tables) Get(ctx context.Context, key backend.RowKey) (backend.Row, error) {
	if err := injectFault(ctx, t.recordCall(false)); err != nil {
		return backend.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[key]
	row.RowKey = key
	return row, nil
}

// Feed implements backend.Tables.
func (t *Tables) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (backend.Page, error) {
	if err := injectFault(ctx, t.recordCall(false)); err != nil {
		return backend.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, trimmed := t.changesSince(table, after)
		if trimmed {
			return backend.Page{}, verdict.New(verdict.NotRun, verdict.CodeExpired, "the history is gone")
		}
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			// Apply a fault that was set while the long poll was waiting.
			return page, injectFault(ctx, t.recordCall(false))
		case <-ctx.Done():
			return backend.Page{}, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "feed")
		}
	}
}

// changesSince returns the latest change of each row of a table after a version, and the channel that is closed by the
// next write. The last result reports whether the history does not reach back to the version.
func (t *Tables) changesSince(table string, after uint64) (backend.Page, <-chan struct{}, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.trimmedVersion {
		return backend.Page{}, nil, true
	}
	page := backend.Page{Version: t.version}
	indexOf := map[backend.RowKey]int{}
	for _, row := range t.history {
		if row.Table != table || row.Version <= after {
			continue
		}
		if i, ok := indexOf[row.RowKey]; ok {
			page.Rows[i] = row
			continue
		}
		indexOf[row.RowKey] = len(page.Rows)
		page.Rows = append(page.Rows, row)
	}
	return page, t.changed, false
}

// Rows returns a copy of all rows of a table by their Key. Rows of different shards with the same Key overwrite each
// other.
func (t *Tables) Rows(table string) map[string]backend.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := map[string]backend.Row{}
	for key, row := range maps.All(t.rows) {
		if key.Table == table {
			rows[key.Key] = row
		}
	}
	return rows
}
