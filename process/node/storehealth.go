package node

import (
	"context"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

const (
	// silentAfter is how long a call may be without an answer before the store counts as silent. A store that is slow by a
	// factor of 60 answers sooner.
	silentAfter = 800 * time.Millisecond
	// failingAfter is how long calls must have failed, without a success, before the store counts as down.
	failingAfter = 250 * time.Millisecond
	// probeEvery and probeTimeout are the time between questions to a store that is down and their bound.
	probeEvery   = 200 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// observedTables passes calls to the table service and observes whether it answers this instance.
//
// Locking: mu protects the fields below it and is not held during a call.
type observedTables struct {
	backend.Tables
	now func() cell.Instant
	// changed is called without mu when the store is lost or regained.
	changed func(down bool, cause string)

	mu        sync.Mutex
	pending   map[uint64]cell.Instant
	next      uint64
	success   cell.Instant
	failing   cell.Instant
	lastError string
	down      bool
}

func observeTables(tables backend.Tables, now func() cell.Instant, changed func(down bool, cause string)) *observedTables {
	return &observedTables{Tables: tables, now: now, changed: changed, pending: map[uint64]cell.Instant{}, success: now()}
}

// Commit implements backend.Tables.
func (o *observedTables) Commit(ctx context.Context, txn backend.Txn) (uint64, error) {
	defer o.end(o.begin())
	version, err := o.Tables.Commit(ctx, txn)
	o.note(err)
	return version, err
}

// Get implements backend.Tables.
func (o *observedTables) Get(ctx context.Context, key backend.RowKey) (backend.Row, error) {
	defer o.end(o.begin())
	row, err := o.Tables.Get(ctx, key)
	o.note(err)
	return row, err
}

// Range implements backend.Tables.
func (o *observedTables) Range(ctx context.Context, table, part, from string) (backend.Page, error) {
	defer o.end(o.begin())
	page, err := o.Tables.Range(ctx, table, part, from)
	o.note(err)
	return page, err
}

// Feed implements backend.Tables. A long poll says nothing while it waits.
func (o *observedTables) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (backend.Page, error) {
	page, err := o.Tables.Feed(ctx, table, after, wait)
	if ctx.Err() == nil {
		o.note(err)
	}
	return page, err
}

func (o *observedTables) begin() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next++
	o.pending[o.next] = o.now()
	return o.next
}

func (o *observedTables) end(id uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pending, id)
}

// note enters the outcome of a call. An answer that refuses a condition or a version is an answer.
func (o *observedTables) note(err error) {
	answered := err == nil
	if err != nil {
		code := verdict.From(err).Code
		answered = code == verdict.CodeConflict || code == verdict.CodeExpired
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if answered {
		o.success = o.now()
		o.failing = 0
		return
	}
	o.lastError = err.Error()
	if o.failing == 0 {
		o.failing = o.now()
	}
}

// Down reports whether the store does not answer this instance.
func (o *observedTables) Down() bool {
	o.mu.Lock()
	now := o.now()
	down := o.failing != 0 && now-o.failing > failingAfter
	for _, began := range o.pending {
		if now-began > silentAfter && o.success < began {
			down = true
		}
	}
	if o.failing == 0 && o.success > now-failingAfter {
		down = false
	}
	changed := down != o.down
	o.down = down
	cause := o.lastError
	o.mu.Unlock()
	if changed {
		o.changed(down, cause)
	}
	return down
}

// probe asks a store that is down whether it is back, until ctx ends.
func (o *observedTables) probe(ctx context.Context) {
	for pause(ctx, probeEvery) {
		if !o.Down() {
			continue
		}
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		// The outcome is noted by Get.
		_, _ = o.Get(call, leaderKey)
		cancel()
	}
}
