package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/latency"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

const (
	// minSilenceTimeout is the time without an answer to a call after which its shard counts as silent, unless the store has
	// been slow recently: then it is slowAnswerFactor times the longest recent answer time, up to maxSilenceTimeout, which
	// exceeds the time that a transaction waits for a shard of a store that is slow by a factor of 150.
	minSilenceTimeout = 800 * time.Millisecond
	maxSilenceTimeout = 4 * time.Second
	slowAnswerFactor  = 3
	// maxFailureDuration is how long calls must have failed, without a success, before a shard counts as down. While the store
	// is slow, it is slowAnswerFactor times the longest recent answer time.
	maxFailureDuration = 250 * time.Millisecond
	// maxAnswerAge is the time since the last answer of the store after which a read is sent ahead of a call. Renewals of
	// the leadership arrive more often. While the store is slow, the time is twice its longest recent answer time.
	maxAnswerAge = 600 * time.Millisecond
	// probeInterval is the time between probes while a shard is down.
	probeInterval = 200 * time.Millisecond
	// probeWait is how long a call waits for the probe of its shard. The probe itself goes on until probeTimeout, since a late
	// answer shows that the store is slow and not down.
	probeWait    = 500 * time.Millisecond
	probeTimeout = 2500 * time.Millisecond
	// probeRepeatInterval is the time after which another probe is sent beside one without an answer: a probe that meets a silent store is
	// never answered.
	probeRepeatInterval = 500 * time.Millisecond
)

// observedTables forwards calls to the table service and tracks for each shard whether it answers this instance: the service
// may be unavailable as a whole, for some shards, or for some instances.
//
// Locking: mu protects the fields below it and is not held during a call.
type observedTables struct {
	backend.Tables
	now func() cell.Instant
	// onChange is called, without holding mu, when a shard is lost or restored while others answer, and with allShards when
	// that happens to the service as a whole.
	onChange func(shard string, down bool, cause string)

	mu     sync.Mutex
	shards map[string]*shardHealth
	// probes holds the latest probe in flight of each shard.
	probes     map[string]*storeProbe
	lastCallID uint64
	// answeredAt is when the service last answered any call; failedAt is when a call last failed.
	answeredAt, failedAt cell.Instant
	// answerTimes are the times until the answers to calls other than feeds.
	answerTimes latency.Peak
	// newestVersion is the highest version of the service in an answer.
	newestVersion uint64
	// loggedSilent is set if the last change reported for the service as a whole was its loss.
	loggedSilent bool
}

// allShards denotes the service as a whole in place of the name of a shard.
const allShards = "(all)"

// shardHealth is the observed health of one shard.
type shardHealth struct {
	// pending holds the calls in flight by their ids.
	pending     map[uint64]*pendingTableCall
	succeededAt cell.Instant
	// failingSince is when the current series of failures began, 0 if the last call was answered.
	failingSince cell.Instant
	lastError    string
	// loggedDown is set if the last change reported for the shard was its loss.
	loggedDown bool
}

// pendingTableCall is a call in flight.
type pendingTableCall struct {
	sentAt cell.Instant
	// progressedAt is when a part of the response last arrived, 0 if none has.
	progressedAt cell.Instant
}

// lastSignAt returns when the store last showed that it serves the call, at the earliest when it was sent.
func (c *pendingTableCall) lastSignAt() cell.Instant { return max(c.sentAt, c.progressedAt) }

func observeTables(tables backend.Tables, now func() cell.Instant, onChange func(shard string, down bool, cause string)) *observedTables {
	return &observedTables{Tables: tables, now: now, onChange: onChange, shards: map[string]*shardHealth{}, probes: map[string]*storeProbe{}, answeredAt: now()}
}

// shard returns the health of a shard. Callers hold o.mu.
func (o *observedTables) shard(name string) *shardHealth {
	health := o.shards[name]
	if health == nil {
		health = &shardHealth{pending: map[uint64]*pendingTableCall{}}
		o.shards[name] = health
	}
	return health
}

// shardOfTxn returns the shard that a transaction writes to.
func shardOfTxn(txn backend.Txn) string {
	switch {
	case len(txn.Put) > 0:
		return txn.Put[0].Shard
	case len(txn.Remove) > 0:
		return txn.Remove[0].Shard
	default:
		return ""
	}
}

// Commit implements backend.Tables.
func (o *observedTables) Commit(ctx context.Context, txn backend.Txn) (uint64, error) {
	shard := shardOfTxn(txn)
	ctx, callID := o.beginCall(ctx, shard)
	version, err := o.Tables.Commit(ctx, txn)
	o.endCall(shard, callID, err)
	o.recordVersion(version)
	return version, err
}

// Get implements backend.Tables.
func (o *observedTables) Get(ctx context.Context, key backend.RowKey) (backend.Row, error) {
	ctx, callID := o.beginCall(ctx, key.Shard)
	row, err := o.Tables.Get(ctx, key)
	o.endCall(key.Shard, callID, err)
	return row, err
}

// Range implements backend.Tables.
func (o *observedTables) Range(ctx context.Context, table, shard, from string) (backend.Page, error) {
	ctx, callID := o.beginCall(ctx, shard)
	page, err := o.Tables.Range(ctx, table, shard, from)
	o.endCall(shard, callID, err)
	o.recordVersion(page.Version)
	return page, err
}

// feedsShard is the name under which the health of the feeds is tracked. A feed spans all shards.
const feedsShard = "(feeds)"

// Feed implements backend.Tables. A waiting feed does not show whether the service answers, so only the arrival of its
// response and its result are recorded.
func (o *observedTables) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (backend.Page, error) {
	page, err := o.Tables.Feed(backend.WithProgress(ctx, o.recordFeedProgress), table, after, wait)
	if ctx.Err() == nil {
		o.endCall(feedsShard, 0, err)
	}
	o.recordVersion(page.Version)
	return page, err
}

// recordVersion records a version of the service that was in an answer.
func (o *observedTables) recordVersion(version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newestVersion = max(o.newestVersion, version)
}

// NewestVersion returns the highest version of the service that this instance knows of. Rows with a lower version were written
// before.
func (o *observedTables) NewestVersion() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newestVersion
}

// beginCall records a call that is about to be sent. It returns the context for the call, which records its progress, and the
// id of the call.
func (o *observedTables) beginCall(ctx context.Context, shard string) (context.Context, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastCallID++
	call := &pendingTableCall{sentAt: o.now()}
	o.shard(shard).pending[o.lastCallID] = call
	return backend.WithProgress(ctx, func() { o.recordProgress(call) }), o.lastCallID
}

// recordProgress records that a part of the response to a call has arrived. The first part ends its answer time.
func (o *observedTables) recordProgress(call *pendingTableCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	if call.progressedAt == 0 {
		o.answerTimes.Record(now-call.sentAt, now)
	}
	call.progressedAt, o.answeredAt = now, now
}

// recordFeedProgress records that a part of the response to a feed has arrived.
func (o *observedTables) recordFeedProgress() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answeredAt = o.now()
}

// isOverload reports whether the store refused a call for the backlog of its shard, which shows that it serves this instance. A store
// that refuses an instance altogether answers none of its calls. Callers hold o.mu.
func (o *observedTables) isOverload(err error) bool {
	return err != nil && verdict.From(err).Code == verdict.CodeOverloaded && o.now()-o.answeredAt <= o.maxAnswerAge()
}

// IsOverload is isOverload for callers that do not hold o.mu.
func (o *observedTables) IsOverload(err error) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isOverload(err)
}

// maxAnswerAge returns the time without an answer after which the store is suspect. Callers hold o.mu.
func (o *observedTables) maxAnswerAge() time.Duration {
	return max(maxAnswerAge, 2*o.answerTimes.Recent(o.now()))
}

// isAnswer reports whether a call was answered. The rejection of a condition or of a version is an answer, and so is that of a
// malformed or too large request, which is the same each time and on each path.
func isAnswer(err error) bool {
	if err == nil {
		return true
	}
	code := verdict.From(err).Code
	return code == verdict.CodeConflict || code == verdict.CodeExpired || code == verdict.CodeInvalid
}

// endCall records the outcome of a call.
func (o *observedTables) endCall(shard string, callID uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	health := o.shard(shard)
	now := o.now()
	call := health.pending[callID]
	if call != nil && call.progressedAt == 0 && isAnswer(err) {
		o.answerTimes.Record(now-call.sentAt, now)
	}
	delete(health.pending, callID)
	if o.isOverload(err) {
		return
	}
	if call != nil && call.sentAt < health.succeededAt && !isAnswer(err) {
		// The shard has answered a later call, so that this one, which may have met a silent store, does not count.
		return
	}
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

// Down reports whether a shard does not answer this instance, and calls onChange for changes since the last report.
func (o *observedTables) Down(shard string) bool {
	o.mu.Lock()
	health := o.shard(shard)
	silent := o.silent()
	since := o.downSince(health)
	down := silent || since != 0
	silentChanged := silent != o.loggedSilent
	o.loggedSilent = silent
	// A shard is reported as lost only if the service has answered in the meantime; otherwise it may be unavailable as a
	// whole.
	lost := down && !silent && o.answeredAt > since
	shardChanged := lost != health.loggedDown && (lost || !down)
	if shardChanged {
		health.loggedDown = lost
	}
	cause := health.lastError
	o.mu.Unlock()
	if silentChanged {
		o.onChange(allShards, silent, cause)
	}
	if shardChanged {
		o.onChange(shard, lost, cause)
	}
	return down
}

// downSince returns the start of the period without an answer if it is long enough for the shard to count as down, otherwise
// 0. Callers hold o.mu.
func (o *observedTables) downSince(health *shardHealth) cell.Instant {
	now := o.now()
	if health.failingSince != 0 && now-health.failingSince > max(maxFailureDuration, slowAnswerFactor*o.answerTimes.Recent(now)) {
		return health.failingSince
	}
	since := cell.Instant(0)
	for _, call := range health.pending {
		sign := call.lastSignAt()
		if now-sign > o.answerTimeout() && health.succeededAt < sign && (since == 0 || sign < since) {
			since = sign
		}
	}
	return since
}

// Silent reports whether the service as a whole has not answered any call for longer than AnswerTimeout and a call has
// failed since its last answer.
func (o *observedTables) Silent() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.silent()
}

// silent implements Silent. Callers hold o.mu.
func (o *observedTables) silent() bool {
	return o.failedAt > o.answeredAt && o.now()-o.answeredAt > o.answerTimeout()
}

// AnswerTimeout returns the time without an answer after which a call counts as unanswered.
func (o *observedTables) AnswerTimeout() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answerTimeout()
}

// answerTimeout implements AnswerTimeout. Callers hold o.mu.
func (o *observedTables) answerTimeout() time.Duration {
	return o.answerTimes.Timeout(o.now(), slowAnswerFactor, minSilenceTimeout, maxSilenceTimeout)
}

// Check probes a shard ahead of a call if the last call to the shard failed or the service has not answered for
// maxAnswerAge. This avoids writes with an unknown outcome. The error has the verdict NotRun.
func (o *observedTables) Check(ctx context.Context, shard string) error {
	o.mu.Lock()
	suspect := o.shard(shard).failingSince != 0 || o.now()-o.answeredAt > o.maxAnswerAge()
	slow := o.answerTimes.Recent(o.now()) > probeWait
	o.mu.Unlock()
	if !suspect {
		return nil
	}
	if o.Down(shard) {
		return unavailable(nil, "the store does not answer")
	}
	if slow {
		// The probe would take as long as the call.
		return nil
	}
	if err := o.probeShard(ctx, shard); err != nil {
		return unavailable(err, "the store does not answer")
	}
	return nil
}

// storeProbe is a probe of a shard in flight.
type storeProbe struct {
	sentAt cell.Instant
	// done is closed when the probe has ended, with err as its outcome.
	done chan struct{}
	err  error
}

// probeShard waits up to probeWait for the outcome of a probe of a shard. The probe goes on after that. Another one is sent beside
// it at most every probeRepeatInterval, since frequent probes would add to the load of a slow store.
func (o *observedTables) probeShard(ctx context.Context, shard string) error {
	probe := o.startProbe(shard)
	timeout := time.NewTimer(probeWait)
	defer timeout.Stop()
	select {
	case <-probe.done:
		return probe.err
	case <-timeout.C:
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no answer to a probe within %s", probeWait)
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeUnavailable, "wait for a probe")
	}
}

// startProbe returns the latest probe of a shard that is in flight, or starts one if there is none or that one has no answer for
// probeRepeatInterval.
func (o *observedTables) startProbe(shard string) *storeProbe {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	if probe := o.probes[shard]; probe != nil && now < probe.sentAt+probeRepeatInterval {
		return probe
	}
	probe := &storeProbe{sentAt: now, done: make(chan struct{})}
	o.probes[shard] = probe
	go func() {
		defer close(probe.done)
		probe.err = o.readProbe(shard)
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.probes[shard] == probe {
			delete(o.probes, shard)
		}
	}()
	return probe
}

// probeKey is the key of the row that probes read. It does not exist.
const probeKey = "probe"

// readProbe reads a row of a shard. Get records the outcome.
func (o *observedTables) readProbe(shard string) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if shard == feedsShard {
		// A feed spans all shards. The platform's own shard, which has the empty name, is probed in its place.
		shard = ""
	}
	_, err := o.Get(ctx, backend.RowKey{Table: writeTable, Shard: shard, Key: probeKey})
	if err == nil {
		o.endCall(feedsShard, 0, nil)
	}
	return err
}

// probeDownShards probes the shards that are down until ctx ends: one at a time, since calls are charged even while the
// store is unavailable, and all the others as soon as one answers.
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
			o.startProbe(shard)
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
