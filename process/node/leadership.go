package node

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// The tables of the cell. The leader row, its renewals and the progress of jobs share a shard, so that a transaction on
// progress can be conditional on the leader row. Jobs and cancellations are spread over shards by the job's id.
const (
	leaderTable   = "leader"
	progressTable = "progress"
	jobTable      = "jobs"
	cancelTable   = "cancels"
	writeTable    = "writes"
	cellShard     = "cell"
)

var (
	leaderKey  = backend.RowKey{Table: leaderTable, Shard: cellShard, Key: "leader"}
	renewalKey = backend.RowKey{Table: leaderTable, Shard: cellShard, Key: "renewal"}
	// writeKey is the row with the id of the leader's newest write. It is in a table that no feed follows, since it changes
	// with each write.
	writeKey = backend.RowKey{Table: writeTable, Shard: cellShard, Key: "newest"}
	// formerFleetKey is the single row in which earlier programs kept the record of the workers in use. It is removed when all
	// rows of the record are written.
	formerFleetKey = backend.RowKey{Table: writeTable, Shard: cellShard, Key: "fleet"}
)

// fleetRowPrefix begins the keys of the rows of the record of the workers in use.
const fleetRowPrefix = "fleet."

func fleetKey(shard int) backend.RowKey {
	return backend.RowKey{Table: writeTable, Shard: cellShard, Key: fleetRowPrefix + strconv.Itoa(shard)}
}

// waveKey is the key of the record of a maintenance wave.
func waveKey(number int) backend.RowKey {
	return backend.RowKey{Table: writeTable, Shard: cellShard, Key: "wave." + strconv.Itoa(number)}
}

const (
	// renewalInterval is the time between renewals of the leadership.
	renewalInterval = 400 * time.Millisecond
	// candidateTakeoverTimeout is the time without a renewal after which a candidate takes over: four renewals are missing.
	candidateTakeoverTimeout = 1700 * time.Millisecond
	// standbyTakeoverTimeout is that time for an instance that the leader has not selected as a candidate.
	standbyTakeoverTimeout = 3500 * time.Millisecond
	// standbyCheckInterval is the time between checks of the leadership by an instance that is not a candidate.
	standbyCheckInterval = 900 * time.Millisecond
	// lostLeaderTakeoverTimeout is the time without a renewal after which a candidate takes over if its last join was not
	// answered either.
	lostLeaderTakeoverTimeout = 800 * time.Millisecond
	// leaderLongPoll is the duration of a long poll for changes of the leadership. It is short, so that a silent connection
	// is detected within the time of a takeover.
	leaderLongPoll = time.Second
	// takeoverLongPoll is the duration of that long poll while a takeover may be due.
	takeoverLongPoll = 150 * time.Millisecond
	// suspendAfter is how long a leader may extend leases after its last durable write, as its successors assume. It stops
	// suspendMargin before that.
	suspendAfter  = 6 * time.Second
	suspendMargin = time.Second
	// storeRetryDelay is the time between attempts of a failed call to the table service.
	storeRetryDelay = 150 * time.Millisecond
	// recentStartWindow is how long an instance counts as recently started; all others wait longRunningTakeoverDelay before
	// a takeover.
	recentStartWindow        = 20 * time.Second
	longRunningTakeoverDelay = 120 * time.Millisecond
	// smallCPUShare is the number of CPU cores below which an instance is small: it waits smallTakeoverDelay before a
	// takeover, which is longer than all other delays together, and as the leader it resigns when an instance that is at
	// least twice as large has joined.
	smallCPUShare      = 0.3
	smallTakeoverDelay = 900 * time.Millisecond
	// isolatedTakeoverDelay is waited before a takeover by an instance that does not reach half of a sample of
	// peerSampleSize peers; peerSampleTimeout limits the requests to them.
	isolatedTakeoverDelay = 600 * time.Millisecond
	peerSampleTimeout     = 150 * time.Millisecond
	peerSampleSize        = 6
	// maxTakeoverJitter limits the jitter that spreads the takeover attempts of several instances.
	maxTakeoverJitter = 60 * time.Millisecond
)

// leaderRow is the value of the leader row. The epoch is the fencing token.
type leaderRow struct {
	Epoch    uint64 `json:"epoch"`
	Instance string `json:"instance"`
	Address  string `json:"address"`
	// Claim is unique for each takeover attempt. An instance recognizes its own write by it if the answer was lost.
	Claim    string `json:"claim"`
	Resigned bool   `json:"resigned,omitempty"`
	// Unstored means that results may not be durable although the leader has resigned: its own, or those of its predecessors, which other
	// instances hold.
	Unstored bool `json:"unstored,omitempty"`
	leaseExtensionFields
	closedWorkersField
	placementCoverField
	// StartsRecordedSince is the first epoch from which on all leaders have recorded the starts of service tasks. A leader of an earlier
	// program does not write it.
	StartsRecordedSince uint64 `json:"starts_recorded_since,omitempty"`
}

// startsRecordedSince returns StartsRecordedSince for the leader of an epoch that follows the one of the row.
func (r leaderRow) startsRecordedSince(epoch uint64) uint64 {
	if r.StartsRecordedSince == 0 {
		return epoch
	}
	return r.StartsRecordedSince
}

// leaderView is the state of the leadership as this instance has observed it.
type leaderView struct {
	row        leaderRow
	rowVersion uint64
	// renewalVersion is the version of the renewal row, and renewal its value.
	renewalVersion uint64
	renewal        renewalRow
	// rowSeenAt and renewalSeenAt are when the values were read.
	rowSeenAt, renewalSeenAt cell.Instant
	// unchangedSince is the time of the last observed change, or of the last failure to read the table service if that is
	// later: only an uninterrupted observation proves that the renewals have stopped.
	unchangedSince cell.Instant
	// feedVersion is the version up to which the feed was read.
	feedVersion uint64
	// feedPositionKnown is set if the feed can continue at feedVersion; otherwise the table is read as a whole.
	feedPositionKnown bool
}

// isRenewed reports whether the renewal says more than the leader row: that of a leader that has resigned was written after its renewals.
func (v leaderView) isRenewed() bool { return !v.row.Resigned && v.renewal.Claim == v.row.Claim }

// followLeadership observes the leadership, takes over when the leader has failed or resigned, and leads until the
// leadership is lost.
func (n *Node) followLeadership(ctx context.Context) {
	for ctx.Err() == nil {
		if err := n.observeLeadership(ctx); err != nil {
			n.restartObservation(err)
			pause(ctx, storeRetryDelay)
			continue
		}
		if !n.mayTakeOver() {
			n.pauseStandby(ctx)
			continue
		}
		if l := n.takeOver(ctx); l != nil {
			n.lead(ctx, l)
		}
	}
}

// pauseStandby pauses an instance that is not a candidate, to save calls to the store, unless its last join was not
// answered.
func (n *Node) pauseStandby(ctx context.Context) {
	n.mu.Lock()
	standby := !n.candidate && n.leader.feedPositionKnown && !n.leaderLost
	n.mu.Unlock()
	if !standby {
		return
	}
	select {
	case <-time.After(standbyCheckInterval):
	case <-n.checkNow:
	case <-ctx.Done():
	}
}

// observeLeadership reads the leadership, or waits for its next change.
func (n *Node) observeLeadership(ctx context.Context) error {
	n.mu.Lock()
	feedPositionKnown, feedVersion := n.leader.feedPositionKnown, n.leader.feedVersion
	n.mu.Unlock()
	var page backend.Page
	var err error
	if feedPositionKnown {
		page, err = n.tables.Feed(ctx, leaderTable, feedVersion, n.leaderFeedWait())
	} else {
		page, err = n.tables.Range(ctx, leaderTable, cellShard, "")
	}
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	l := &n.leader
	if !l.feedPositionKnown {
		l.unchangedSince = now
	}
	l.feedPositionKnown = true
	l.feedVersion = max(l.feedVersion, page.Version)
	for _, row := range page.Rows {
		l.unchangedSince = now
		n.applyLeaderRow(row)
	}
	return nil
}

// leaderFeedWait returns the duration of the next long poll, which ends at the latest when a takeover may be due.
func (n *Node) leaderFeedWait() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	due := n.leader.unchangedSince + lostLeaderTakeoverTimeout - n.opts.Now()
	if due <= 0 {
		due = takeoverLongPoll
	}
	return min(leaderLongPoll, due)
}

// applyLeaderRow updates n.leader from a row of the leader table. Callers hold n.mu.
func (n *Node) applyLeaderRow(row backend.Row) {
	if row.RowKey == renewalKey && row.Version > n.leader.renewalVersion {
		n.leader.renewalVersion, n.leader.renewal = row.Version, decodeRenewal(row.Value)
		n.leader.renewalSeenAt = n.opts.Now()
	}
	if row.RowKey != leaderKey || row.Version <= n.leader.rowVersion {
		return
	}
	var value leaderRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		n.opts.Log.WithError(err).Error("cannot decode the leader row")
		return
	}
	n.leaderChanges.record(value, n.opts.Now())
	n.leader.row, n.leader.rowVersion, n.leader.rowSeenAt = value, row.Version, n.opts.Now()
	n.leaderLost, n.leaderHint = false, ""
	signal(n.joinNow)
	n.opts.Log.WithFields(map[string]any{
		"event": "leader_seen", "leader": value.Instance, "epoch": value.Epoch, "resigned": value.Resigned,
	}).Info("leader changed")
}

// restartObservation restarts the takeover timeout after a failed read of the table service.
func (n *Node) restartObservation(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leader.unchangedSince = n.opts.Now()
	if verdict.From(err).Code == verdict.CodeExpired {
		n.leader.feedPositionKnown = false
	}
}

// mayTakeOver reports whether this instance may try to take over the leadership.
func (n *Node) mayTakeOver() bool {
	if n.leaving.Load() || n.direct.Down(cellShard) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.opts.Now() < n.noTakeoverUntil {
		return false
	}
	l := &n.leader
	if l.rowVersion == 0 || l.row.Resigned || l.row.Instance == n.opts.Instance {
		return true
	}
	if !n.candidate && n.opts.Now()-l.unchangedSince < standbyTakeoverTimeout {
		return false
	}
	return n.opts.Now()-l.unchangedSince >= n.takeoverTimeout()
}

// takeoverTimeout returns the time without a renewal after which a candidate may take over. Callers hold n.mu.
func (n *Node) takeoverTimeout() time.Duration {
	if n.leaderLost {
		return lostLeaderTakeoverTimeout
	}
	return candidateTakeoverTimeout
}

// takeoverJitter returns a delay that depends on the name of the instance and the epoch, so that the first instance to try
// usually succeeds before the next one tries.
func takeoverJitter(name string, epoch uint64) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{byte(epoch)})
	return time.Duration(h.Sum32()%uint32(maxTakeoverJitter/time.Millisecond)) * time.Millisecond
}

// takeOver tries to become the leader in the next epoch. It returns nil if the leadership has changed meanwhile or the write
// did not take effect.
func (n *Node) takeOver(ctx context.Context) *leadership {
	n.mu.Lock()
	old := n.leader
	n.mu.Unlock()
	restarted := old.row.Instance == n.opts.Instance && !old.row.Resigned
	if old.rowVersion != 0 && !restarted {
		pause(ctx, n.opts.TakeoverDelay+n.smallInstanceDelay()+n.longRunningDelay()+n.unstableDelay()+takeoverJitter(n.opts.Instance, old.row.Epoch))
		if !n.reachesHalf(ctx) {
			pause(ctx, isolatedTakeoverDelay)
		}
		// After a resignation no second read is needed: the takeover is conditional on the version of that row.
		if !old.row.Resigned && n.changedSince(ctx, old) {
			return nil
		}
	}
	n.mu.Lock()
	// The read before the takeover may have returned a newer renewal.
	old.renewal, old.renewalVersion, old.renewalSeenAt = n.leader.renewal, n.leader.renewalVersion, n.leader.renewalSeenAt
	ownEnd := n.commandsEndedAt
	n.mu.Unlock()
	sentAt := n.opts.Now()
	row := leaderRow{
		Epoch: old.row.Epoch + 1, Instance: n.opts.Instance, Address: n.opts.PeerAddress, Claim: uuid.NewString(),
		leaseExtensionFields: old.formerLeaders(n.opts.Instance, ownEnd, sentAt).fields(sentAt),
		StartsRecordedSince:  old.row.startsRecordedSince(old.row.Epoch + 1),
		closedWorkersField:   newClosedWorkersField(old.closedWorkers(), sentAt),
		placementCoverField:  newPlacementCoverField(old.placementCover()),
	}
	value, err := json.Marshal(row)
	if err != nil {
		n.opts.Log.WithError(err).Error("cannot encode the leader row")
		return nil
	}
	txn := backend.Txn{Expected: old.takeoverConditions(), Put: []backend.Row{{RowKey: leaderKey, Value: value}}}
	version, err := n.tables.Commit(ctx, txn)
	if err != nil {
		version = n.resolveTakeover(ctx, row, err)
	}
	if version == 0 {
		return nil
	}
	return &leadership{node: n, epoch: row.Epoch, row: row, rowVersion: version, predecessor: old.row,
		storedAt: sentAt, closed: old.closedWorkers(), inherited: old.placementCover(), former: old.formerLeaders(n.opts.Instance, ownEnd, n.opts.Now())}
}

// smallInstanceDelay returns the takeover delay of a small instance, which has too little CPU to lead a large cell, or 0.
func (n *Node) smallInstanceDelay() time.Duration {
	if n.opts.CPUShare >= smallCPUShare {
		return 0
	}
	return smallTakeoverDelay
}

// longRunningDelay returns the takeover delay of an instance that was not started recently, or 0. In a rolling restart the
// recently started instances are the last to be stopped.
func (n *Node) longRunningDelay() time.Duration {
	if n.opts.Now()-n.createdAt < recentStartWindow {
		return 0
	}
	return longRunningTakeoverDelay
}

// reachesHalf reports whether at least half of a sample of the known instances answer this one.
func (n *Node) reachesHalf(ctx context.Context) bool {
	sample := n.selectPeers(peerSampleSize)
	answers := make(chan bool, len(sample))
	ctx, cancel := context.WithTimeout(ctx, peerSampleTimeout)
	defer cancel()
	for _, address := range sample {
		go func() {
			_, err := n.opts.Peers.Call(ctx, address, &peerpb.Request{
				Body: &peerpb.Request_JobStatus{JobStatus: &peerpb.JobStatus{}},
			})
			// The error of an instance that does not lead shows that it is reachable.
			answers <- err == nil || verdict.From(err).Code == verdict.CodeWrongOwner
		}()
	}
	reachable := 0
	for i := range sample {
		if <-answers {
			reachable++
		}
		if 2*reachable >= len(sample) {
			return true
		}
		if outstanding := len(sample) - i - 1; 2*(reachable+outstanding) < len(sample) {
			return false
		}
	}
	return true
}

// changedSince reads the leadership again before a takeover and reports whether it has changed or could not be read. The
// feed may lag, or lack changes whose history the store has dropped; this read does not.
func (n *Node) changedSince(ctx context.Context, old leaderView) bool {
	page, err := n.tables.Range(ctx, leaderTable, cellShard, "")
	if err != nil {
		n.restartObservation(err)
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	renewalBefore := n.leader.renewalVersion
	for _, row := range page.Rows {
		n.applyLeaderRow(row)
	}
	renewed := n.leader.renewalVersion > renewalBefore
	if renewed {
		n.leader.unchangedSince = n.opts.Now()
	}
	return renewed || n.leader.rowVersion != old.rowVersion || n.leader.unchangedSince != old.unchangedSince
}

// resolveTakeover resolves a takeover whose outcome is unknown by reading the leader row back. It returns the row's version,
// or 0 if the takeover did not take effect as far as known. The takeover took effect only if the row has its claim. If the
// write arrives later, its condition fails or it gives this instance an epoch that it does not use.
func (n *Node) resolveTakeover(ctx context.Context, row leaderRow, cause error) uint64 {
	n.opts.Log.WithError(cause).WithField("event", "takeover_unclear").Info("takeover failed or its outcome is unknown")
	if verdict.Of(cause) == verdict.NotRun {
		n.restartObservation(cause)
		n.mu.Lock()
		n.leader.feedPositionKnown = false
		n.mu.Unlock()
		return 0
	}
	stored, err := n.tables.Get(ctx, leaderKey)
	if err != nil {
		n.restartObservation(err)
		return 0
	}
	var value leaderRow
	if err := json.Unmarshal(stored.Value, &value); err != nil || value.Claim != row.Claim {
		return 0
	}
	return stored.Version
}
