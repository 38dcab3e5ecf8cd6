package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

const (
	// silentAfter is how long a call may be without an answer before its part counts as silent, unless the store has been
	// slow lately: then it may take slowFactor times the longest recent answer, up to silentAtMost.
	silentAfter  = 800 * time.Millisecond
	silentAtMost = 2 * time.Second
	slowFactor   = 3
	// slowMemory is how long a slow answer counts as recent.
	slowMemory = 3 * time.Second
	// failingAfter is how long calls must have failed, without a success, before a part counts as down.
	failingAfter = 250 * time.Millisecond
	// quietAfter is how long the store may have been without any answer before a write is preceded by a read: renewals of
	// the leadership arrive more often, unless the store is slow.
	quietAfter = 600 * time.Millisecond
	// probeEvery and probeTimeout are the time between questions to a part that is down and their bound.
	probeEvery   = 200 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// observedTables passes calls to the table service and observes for each part whether it answers this instance: the
// service may be away as a whole, for some parts, or for some instances.
//
// Locking: mu protects the fields below it and is not held during a call.
type observedTables struct {
	backend.Tables
	now func() cell.Instant
	// changed is called without mu when a part is lost or regained while others answer, and with allParts when the service
	// as a whole is.
	changed func(part string, down bool, cause string)

	mu    sync.Mutex
	parts map[string]*partHealth
	next  uint64
	// answered is when the service answered last, by any call; failed is when a call failed last.
	answered, failed cell.Instant
	// slowest is the longest recent time of an answer, seen at slowestAt.
	slowest   time.Duration
	slowestAt cell.Instant
	// loggedSilent is whether the service as a whole was last logged as lost.
	loggedSilent bool
}

// allParts stands for the service as a whole where parts are named.
const allParts = "(all)"

// partHealth is what was seen of one part.
type partHealth struct {
	pending map[uint64]cell.Instant
	success cell.Instant
	// failing is when the present series of failures began, 0 if the last call was answered.
	failing   cell.Instant
	lastError string
	// loggedDown is whether the part was last logged as lost.
	loggedDown bool
}

func observeTables(tables backend.Tables, now func() cell.Instant, changed func(part string, down bool, cause string)) *observedTables {
	return &observedTables{Tables: tables, now: now, changed: changed, parts: map[string]*partHealth{}, answered: now()}
}

// part returns the health of a part. Callers hold o.mu.
func (o *observedTables) part(name string) *partHealth {
	p := o.parts[name]
	if p == nil {
		p = &partHealth{pending: map[uint64]cell.Instant{}}
		o.parts[name] = p
	}
	return p
}

// partOfTxn returns the part that a transaction writes.
func partOfTxn(txn backend.Txn) string {
	switch {
	case len(txn.Put) > 0:
		return txn.Put[0].Part
	case len(txn.Remove) > 0:
		return txn.Remove[0].Part
	default:
		return ""
	}
}

// Commit implements backend.Tables.
func (o *observedTables) Commit(ctx context.Context, txn backend.Txn) (uint64, error) {
	part := partOfTxn(txn)
	id := o.begin(part)
	version, err := o.Tables.Commit(ctx, txn)
	o.end(part, id, err)
	return version, err
}

// Get implements backend.Tables.
func (o *observedTables) Get(ctx context.Context, key backend.RowKey) (backend.Row, error) {
	id := o.begin(key.Part)
	row, err := o.Tables.Get(ctx, key)
	o.end(key.Part, id, err)
	return row, err
}

// Range implements backend.Tables.
func (o *observedTables) Range(ctx context.Context, table, part, from string) (backend.Page, error) {
	id := o.begin(part)
	page, err := o.Tables.Range(ctx, table, part, from)
	o.end(part, id, err)
	return page, err
}

// feedHealth names the health of the feeds, which span all parts.
const feedHealth = "(feeds)"

// Feed implements backend.Tables. A feed that waits says nothing, so only its end is noted.
func (o *observedTables) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (backend.Page, error) {
	page, err := o.Tables.Feed(ctx, table, after, wait)
	if ctx.Err() == nil {
		o.end(feedHealth, 0, err)
	}
	return page, err
}

func (o *observedTables) begin(part string) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next++
	o.part(part).pending[o.next] = o.now()
	return o.next
}

// isAnswer reports whether a call was answered. A refusal of a condition or of a version is an answer.
func isAnswer(err error) bool {
	if err == nil {
		return true
	}
	code := verdict.From(err).Code
	return code == verdict.CodeConflict || code == verdict.CodeExpired
}

// end enters the outcome of a call.
func (o *observedTables) end(part string, id uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.part(part)
	now := o.now()
	if began, ok := p.pending[id]; ok && isAnswer(err) && (now-began >= o.slowest || now > o.slowestAt+slowMemory) {
		o.slowest, o.slowestAt = now-began, now
	}
	delete(p.pending, id)
	if isAnswer(err) {
		p.success, p.failing = now, 0
		o.answered = now
		return
	}
	p.lastError = err.Error()
	o.failed = now
	if p.failing == 0 {
		p.failing = now
	}
}

// Down reports whether a part does not answer this instance.
func (o *observedTables) Down(part string) bool {
	o.mu.Lock()
	p := o.part(part)
	silent := o.silent()
	since := o.downSince(p)
	down := silent || since != 0
	silentChanged := silent != o.loggedSilent
	o.loggedSilent = silent
	// A part is logged as lost only if another one has answered meanwhile; otherwise the service as a whole may be away.
	lost := down && !silent && o.answered > since
	partChanged := lost != p.loggedDown && (lost || !down)
	if partChanged {
		p.loggedDown = lost
	}
	cause := p.lastError
	o.mu.Unlock()
	if silentChanged {
		o.changed(allParts, silent, cause)
	}
	if partChanged {
		o.changed(part, lost, cause)
	}
	return down
}

// downSince returns since when a part has not answered long enough to count as down, 0 if it counts as up. Callers hold o.mu.
func (o *observedTables) downSince(p *partHealth) cell.Instant {
	now := o.now()
	if p.failing != 0 && now-p.failing > failingAfter {
		return p.failing
	}
	since := cell.Instant(0)
	for _, began := range p.pending {
		if now-began > o.answerTimeout() && p.success < began && (since == 0 || began < since) {
			since = began
		}
	}
	return since
}

// Silent reports whether the service as a whole has not answered for a while although it was asked.
func (o *observedTables) Silent() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.silent()
}

// silent is Silent for callers that hold o.mu.
func (o *observedTables) silent() bool {
	return o.failed > o.answered && o.now()-o.answered > o.answerTimeout()
}

// AnswerTimeout returns how long a call may be without an answer before it counts as silent.
func (o *observedTables) AnswerTimeout() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answerTimeout()
}

// answerTimeout is AnswerTimeout for callers that hold o.mu.
func (o *observedTables) answerTimeout() time.Duration {
	if o.now() > o.slowestAt+slowMemory {
		return silentAfter
	}
	return min(max(silentAfter, slowFactor*o.slowest), silentAtMost)
}

// Check asks a part for an answer before a write if there is reason to doubt that it gives one, so that the write is not
// sent into the unknown. The error has the verdict NotRun.
func (o *observedTables) Check(ctx context.Context, part string) error {
	o.mu.Lock()
	doubt := o.part(part).failing != 0 || o.now()-o.answered > quietAfter
	o.mu.Unlock()
	if !doubt {
		return nil
	}
	if o.Down(part) {
		return unavailable(nil, "the store does not answer")
	}
	if err := o.probePart(ctx, part); err != nil {
		return unavailable(err, "the store does not answer")
	}
	return nil
}

func (o *observedTables) probePart(ctx context.Context, part string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if part == feedHealth {
		// A feed spans all parts, so the platform's own part stands for it.
		part = ""
	}
	_, err := o.Get(ctx, backend.RowKey{Table: writeTable, Part: part, Key: "probe"})
	if err == nil {
		o.end(feedHealth, 0, nil)
	}
	return err
}

// probe asks whether what is down is back, until ctx ends: one part at a time, since calls are priced also while the store
// is away, and the others as soon as one answers.
func (o *observedTables) probe(ctx context.Context) {
	for pause(ctx, probeEvery) {
		down := o.downParts()
		if len(down) == 0 {
			continue
		}
		first := down[rand.IntN(len(down))]
		if o.Silent() {
			first = cellPart
		}
		if o.probePart(ctx, first) != nil {
			continue
		}
		for _, part := range o.downParts() {
			// The outcome is noted by Get.
			go func() { _ = o.probePart(ctx, part) }()
		}
	}
}

func (o *observedTables) downParts() []string {
	var down []string
	for _, part := range o.partNames() {
		if o.Down(part) {
			down = append(down, part)
		}
	}
	return down
}

func (o *observedTables) partNames() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	names := make([]string, 0, len(o.parts))
	for name := range o.parts {
		names = append(names, name)
	}
	return names
}
