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
	// minSilenceTimeout is how long a call may be without an answer before its part counts as silent, unless the store has been
	// slow lately: then it may take slowFactor times the longest recent answer, up to silentAtMost.
	minSilenceTimeout = 800 * time.Millisecond
	maxSilenceTimeout = 2 * time.Second
	slowAnswerFactor  = 3
	// slowAnswerWindow is how long a slow answer counts as recent.
	slowAnswerWindow = 3 * time.Second
	// maxFailureDuration is how long calls must have failed, without a success, before a part counts as down.
	maxFailureDuration = 250 * time.Millisecond
	// maxAnswerAge is how long the store may have been without any answer before a write is preceded by a read: renewals of
	// the leadership arrive more often, unless the store is slow.
	maxAnswerAge = 600 * time.Millisecond
	// probeInterval and probeTimeout are the time between questions to a part that is down and their bound.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// observedTables passes calls to the table service and observes for each part whether it answers this instance: the
// service may be away as a whole, for some parts, or for some instances.
//
// Locking: mu protects the fields below it and is not held during a call.
type observedTables struct {
	backend.Tables
	now func() cell.Instant
	// onChange is called without mu when a part is lost or regained while others answer, and with allParts when the service
	// as a whole is.
	onChange func(shard string, down bool, cause string)

	mu         sync.Mutex
	shards     map[string]*shardHealth
	lastCallID uint64
	// answeredAt is when the service answered last, by any call; failed is when a call failed last.
	answeredAt, failedAt cell.Instant
	// slowestAnswer is the longest recent time of an answer, seen at slowestAt.
	slowestAnswer   time.Duration
	slowestAnswerAt cell.Instant
	// loggedSilent is whether the service as a whole was last logged as lost.
	loggedSilent bool
}

// allShards stands for the service as a whole where parts are named.
const allShards = "(all)"

// shardHealth is what was seen of one part.
type shardHealth struct {
	pending     map[uint64]cell.Instant
	succeededAt cell.Instant
	// failingSince is when the present series of failures began, 0 if the last call was answered.
	failingSince cell.Instant
	lastError    string
	// loggedDown is whether the part was last logged as lost.
	loggedDown bool
}

func observeTables(tables backend.Tables, now func() cell.Instant, onChange func(shard string, down bool, cause string)) *observedTables {
	return &observedTables{Tables: tables, now: now, onChange: onChange, shards: map[string]*shardHealth{}, answeredAt: now()}
}

// shard returns the health of a part. Callers hold o.mu.
func (o *observedTables) shard(name string) *shardHealth {
	health := o.shards[name]
	if health == nil {
		health = &shardHealth{pending: map[uint64]cell.Instant{}}
		o.shards[name] = health
	}
	return health
}

// shardOfTxn returns the part that a transaction writes.
func shardOfTxn(txn backend.Txn) string {
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
	shard := shardOfTxn(txn)
	callID := o.beginCall(shard)
	version, err := o.Tables.Commit(ctx, txn)
	o.endCall(shard, callID, err)
	return version, err
}

// Get implements backend.Tables.
func (o *observedTables) Get(ctx context.Context, key backend.RowKey) (backend.Row, error) {
	callID := o.beginCall(key.Part)
	row, err := o.Tables.Get(ctx, key)
	o.endCall(key.Part, callID, err)
	return row, err
}

// Range implements backend.Tables.
func (o *observedTables) Range(ctx context.Context, table, shard, from string) (backend.Page, error) {
	callID := o.beginCall(shard)
	page, err := o.Tables.Range(ctx, table, shard, from)
	o.endCall(shard, callID, err)
	return page, err
}

// feedsShard names the health of the feeds, which span all parts.
const feedsShard = "(feeds)"

// Feed implements backend.Tables. A feed that waits says nothing, so only its end is noted.
func (o *observedTables) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (backend.Page, error) {
	page, err := o.Tables.Feed(ctx, table, after, wait)
	if ctx.Err() == nil {
		o.endCall(feedsShard, 0, err)
	}
	return page, err
}

func (o *observedTables) beginCall(shard string) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastCallID++
	o.shard(shard).pending[o.lastCallID] = o.now()
	return o.lastCallID
}

// isAnswer reports whether a call was answered. A refusal of a condition or of a version is an answer.
func isAnswer(err error) bool {
	if err == nil {
		return true
	}
	code := verdict.From(err).Code
	return code == verdict.CodeConflict || code == verdict.CodeExpired
}

// endCall enters the outcome of a call.
func (o *observedTables) endCall(shard string, callID uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	health := o.shard(shard)
	now := o.now()
	if sentAt, ok := health.pending[callID]; ok && isAnswer(err) && (now-sentAt >= o.slowestAnswer || now > o.slowestAnswerAt+slowAnswerWindow) {
		o.slowestAnswer, o.slowestAnswerAt = now-sentAt, now
	}
	delete(health.pending, callID)
	if isAnswer(err) {
		health.succeededAt, health.failingSince = now, 0
		o.answeredAt = now
		return
	}
	health.lastError = err.Error()
	o.failedAt = now
	if health.failingSince == 0 {
		health.failingSince = now
	}
}

// Down reports whether a part does not answer this instance.
func (o *observedTables) Down(shard string) bool {
	o.mu.Lock()
	health := o.shard(shard)
	silent := o.silent()
	since := o.downSince(health)
	down := silent || since != 0
	silentChanged := silent != o.loggedSilent
	o.loggedSilent = silent
	// A part is logged as lost only if another one has answered meanwhile; otherwise the service as a whole may be away.
	lost := down && !silent && o.answeredAt > since
	partChanged := lost != health.loggedDown && (lost || !down)
	if partChanged {
		health.loggedDown = lost
	}
	cause := health.lastError
	o.mu.Unlock()
	if silentChanged {
		o.onChange(allShards, silent, cause)
	}
	if partChanged {
		o.onChange(shard, lost, cause)
	}
	return down
}

// downSince returns since when a part has not answered long enough to count as down, 0 if it counts as up. Callers hold o.mu.
func (o *observedTables) downSince(health *shardHealth) cell.Instant {
	now := o.now()
	if health.failingSince != 0 && now-health.failingSince > maxFailureDuration {
		return health.failingSince
	}
	since := cell.Instant(0)
	for _, sentAt := range health.pending {
		if now-sentAt > o.answerTimeout() && health.succeededAt < sentAt && (since == 0 || sentAt < since) {
			since = sentAt
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
	return o.failedAt > o.answeredAt && o.now()-o.answeredAt > o.answerTimeout()
}

// AnswerTimeout returns how long a call may be without an answer before it counts as silent.
func (o *observedTables) AnswerTimeout() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answerTimeout()
}

// answerTimeout is AnswerTimeout for callers that hold o.mu.
func (o *observedTables) answerTimeout() time.Duration {
	if o.now() > o.slowestAnswerAt+slowAnswerWindow {
		return minSilenceTimeout
	}
	return min(max(minSilenceTimeout, slowAnswerFactor*o.slowestAnswer), maxSilenceTimeout)
}

// Check asks a part for an answer before a write if there is reason to doubt that it gives one, so that the write is not
// sent into the unknown. The error has the verdict NotRun.
func (o *observedTables) Check(ctx context.Context, shard string) error {
	o.mu.Lock()
	suspect := o.shard(shard).failingSince != 0 || o.now()-o.answeredAt > maxAnswerAge
	o.mu.Unlock()
	if !suspect {
		return nil
	}
	if o.Down(shard) {
		return unavailable(nil, "the store does not answer")
	}
	if err := o.probeShard(ctx, shard); err != nil {
		return unavailable(err, "the store does not answer")
	}
	return nil
}

func (o *observedTables) probeShard(ctx context.Context, shard string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if shard == feedsShard {
		// A feed spans all parts, so the platform's own part stands for it.
		shard = ""
	}
	_, err := o.Get(ctx, backend.RowKey{Table: writeTable, Part: shard, Key: "probe"})
	if err == nil {
		o.endCall(feedsShard, 0, nil)
	}
	return err
}

// probeDownShards asks whether what is down is back, until ctx ends: one part at a time, since calls are priced also while the store
// is away, and the others as soon as one answers.
func (o *observedTables) probeDownShards(ctx context.Context) {
	for pause(ctx, probeInterval) {
		down := o.downShards()
		if len(down) == 0 {
			continue
		}
		probed := down[rand.IntN(len(down))]
		if o.Silent() {
			probed = cellShard
		}
		if o.probeShard(ctx, probed) != nil {
			continue
		}
		for _, shard := range o.downShards() {
			// The outcome is noted by Get.
			go func() { _ = o.probeShard(ctx, shard) }()
		}
	}
}

func (o *observedTables) downShards() []string {
	var down []string
	for _, shard := range o.shardNames() {
		if o.Down(shard) {
			down = append(down, shard)
		}
	}
	return down
}

func (o *observedTables) shardNames() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	names := make([]string, 0, len(o.shards))
	for name := range o.shards {
		names = append(names, name)
	}
	return names
}
