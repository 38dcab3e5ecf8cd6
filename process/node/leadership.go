package node

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"time"

	"github.com/google/uuid"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// The rows of the cell. The leadership, its renewals and the progress of jobs share a part, so that one transaction can be
// conditional on the leadership. Jobs and cancellations are spread over parts by the job's id.
const (
	leaderTable   = "leader"
	progressTable = "progress"
	jobTable      = "jobs"
	cancelTable   = "cancels"
	writeTable    = "writes"
	cellShard     = "cell"
)

var (
	leaderKey  = backend.RowKey{Table: leaderTable, Part: cellShard, Key: "leader"}
	renewalKey = backend.RowKey{Table: leaderTable, Part: cellShard, Key: "renewal"}
	// writeKey names the newest write of the leader. Its table is not followed, since it changes with each write.
	writeKey = backend.RowKey{Table: writeTable, Part: cellShard, Key: "newest"}
	// fleetKey names the record of the workers in use.
	fleetKey = backend.RowKey{Table: writeTable, Part: cellShard, Key: "fleet"}
)

const (
	// renewalInterval is the time between renewals of the leadership.
	renewalInterval = 400 * time.Millisecond
	// candidateTakeoverTimeout is how long the renewals must have stopped before another instance takes over: four of them.
	candidateTakeoverTimeout = 1700 * time.Millisecond
	// standbyTakeoverTimeout is how long they must have stopped for an instance that the leader has not chosen as a candidate.
	standbyTakeoverTimeout = 3500 * time.Millisecond
	// standbyCheckInterval is the time between checks of the leadership by such an instance.
	standbyCheckInterval = 900 * time.Millisecond
	// lostLeaderTakeoverTimeout is how long they must have stopped if the leader does not answer its peers either.
	lostLeaderTakeoverTimeout = 800 * time.Millisecond
	// leaderLongPoll is the long poll on the leadership. It is short, so that a silent connection is noticed within a takeover.
	leaderLongPoll = time.Second
	// takeoverLongPoll is the wait while a takeover may be due.
	takeoverLongPoll = 150 * time.Millisecond
	// suspendAfter is how long a leader goes on without a renewal. Its successor waits for it before it counts leases of
	// unreachable workers as lapsed.
	suspendAfter = 6 * time.Second
	// storeRetryDelay is the time between attempts to reach the table service.
	storeRetryDelay = 150 * time.Millisecond
	// recentStartWindow is how long an instance counts as just started; others wait longRunningDelay in a takeover.
	recentStartWindow        = 20 * time.Second
	longRunningTakeoverDelay = 120 * time.Millisecond
	// smallCPUShare is the share of a core below which an instance waits smallDelay in a takeover, longer than all other
	// delays together, and gives way to one that is twice as large.
	smallCPUShare      = 0.3
	smallTakeoverDelay = 900 * time.Millisecond
	// isolatedTakeoverDelay keeps an instance back in a takeover that does not reach half of the sampledPeers ones; sampleTimeout bounds the
	// question.
	isolatedTakeoverDelay = 600 * time.Millisecond
	peerSampleTimeout     = 150 * time.Millisecond
	peerSampleSize        = 6
	// maxTakeoverJitter spreads the instances that try to take over at the same time.
	maxTakeoverJitter = 60 * time.Millisecond
)

// leaderRow is the value of the leader row. Its epoch is the fencing token.
type leaderRow struct {
	Epoch    uint64 `json:"epoch"`
	Instance string `json:"instance"`
	Address  string `json:"address"`
	// Claim is unique for each attempt to take over, to recognise a write whose answer was lost.
	Claim    string `json:"claim"`
	Resigned bool   `json:"resigned,omitempty"`
}

// leaderView is what this instance has seen of the leadership.
type leaderView struct {
	row        leaderRow
	rowVersion uint64
	// renewalVersion is the version of the renewal row.
	renewalVersion uint64
	// unchangedSince is when a change was seen last, or when the table service could not be read last: only an uninterrupted
	// observation shows that the renewals have stopped.
	unchangedSince cell.Instant
	// feedVersion is the version up to which the feed was read.
	feedVersion       uint64
	feedPositionKnown bool
}

// followLeadership watches the leadership, takes over when its holder is gone, and leads until the leadership is lost.
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

// pauseStandby spares the store checks by instances that would not take over soon.
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

// leaderFeedWait returns how long to wait for a change: not past the moment at which a takeover is due.
func (n *Node) leaderFeedWait() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	due := n.leader.unchangedSince + lostLeaderTakeoverTimeout - n.opts.Now()
	if due <= 0 {
		due = takeoverLongPoll
	}
	return min(leaderLongPoll, due)
}

// applyLeaderRow notes a row of the leader table. Callers hold n.mu.
func (n *Node) applyLeaderRow(row backend.Row) {
	if row.RowKey == renewalKey {
		n.leader.renewalVersion = max(n.leader.renewalVersion, row.Version)
	}
	if row.RowKey != leaderKey || row.Version <= n.leader.rowVersion {
		return
	}
	var value leaderRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		n.opts.Log.WithError(err).Error("leader row cannot be read")
		return
	}
	n.leader.row, n.leader.rowVersion = value, row.Version
	n.leaderLost, n.leaderHint = false, ""
	select {
	case n.joinNow <- struct{}{}:
	default:
	}
	n.opts.Log.WithFields(map[string]any{
		"event": "leader_seen", "leader": value.Instance, "epoch": value.Epoch, "resigned": value.Resigned,
	}).Info("leader changed")
}

// restartObservation makes the observation start anew after the table service could not be read.
func (n *Node) restartObservation(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leader.unchangedSince = n.opts.Now()
	if verdict.From(err).Code == verdict.CodeExpired {
		n.leader.feedPositionKnown = false
	}
}

// mayTakeOver reports whether the leadership is free for this instance.
func (n *Node) mayTakeOver() bool {
	if n.leaving.Load() || n.direct.Down(cellShard) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &n.leader
	if l.rowVersion == 0 || l.row.Resigned || l.row.Instance == n.opts.Instance {
		return true
	}
	if !n.candidate && n.opts.Now()-l.unchangedSince < standbyTakeoverTimeout {
		return false
	}
	return n.opts.Now()-l.unchangedSince >= n.takeoverTimeout()
}

// takeoverTimeout returns how long the renewals must have stopped before a takeover. Callers hold n.mu.
func (n *Node) takeoverTimeout() time.Duration {
	if n.leaderLost {
		return lostLeaderTakeoverTimeout
	}
	return candidateTakeoverTimeout
}

// takeoverJitter spreads instances by name, so that the first to try usually succeeds before the others do.
func takeoverJitter(name string, epoch uint64) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{byte(epoch)})
	return time.Duration(h.Sum32()%uint32(maxTakeoverJitter/time.Millisecond)) * time.Millisecond
}

// takeOver tries to become the leader in the next epoch. It returns nil if another instance was faster.
func (n *Node) takeOver(ctx context.Context) *leadership {
	n.mu.Lock()
	old := n.leader
	n.mu.Unlock()
	restarted := old.row.Instance == n.opts.Instance && !old.row.Resigned
	if old.rowVersion != 0 && !restarted {
		pause(ctx, n.opts.TakeoverDelay+n.smallInstanceDelay()+n.longRunningDelay()+takeoverJitter(n.opts.Instance, old.row.Epoch))
		if !n.reachesHalf(ctx) {
			pause(ctx, isolatedTakeoverDelay)
		}
		// A resignation needs no second read: the takeover is conditional on its version.
		if !old.row.Resigned && n.changedSince(ctx, old) {
			return nil
		}
	}
	row := leaderRow{
		Epoch: old.row.Epoch + 1, Instance: n.opts.Instance, Address: n.opts.PeerAddress, Claim: uuid.NewString(),
	}
	value, err := json.Marshal(row)
	if err != nil {
		n.opts.Log.WithError(err).Error("leader row cannot be encoded")
		return nil
	}
	txn := backend.Txn{
		Expected: []backend.Row{{RowKey: leaderKey, Version: old.rowVersion}},
		Put:      []backend.Row{{RowKey: leaderKey, Value: value}},
	}
	version, err := n.tables.Commit(ctx, txn)
	if err != nil {
		version = n.resolveTakeover(ctx, row, err)
	}
	if version == 0 {
		return nil
	}
	return &leadership{node: n, epoch: row.Epoch, row: row, rowVersion: version, predecessor: old.row}
}

// smallInstanceDelay keeps small instances back, whose processor does not carry the leadership of a large cell.
func (n *Node) smallInstanceDelay() time.Duration {
	if n.opts.CPUShare >= smallCPUShare {
		return 0
	}
	return smallTakeoverDelay
}

// longRunningDelay keeps instances back that have run for long: in a rolling restart, those that have just started are the last
// to be stopped.
func (n *Node) longRunningDelay() time.Duration {
	if n.opts.Now()-n.createdAt < recentStartWindow {
		return 0
	}
	return longRunningTakeoverDelay
}

// reachesHalf reports whether at least half of some instances that this one knows answer it.
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
			// A refusal because the other instance does not lead is an answer, too.
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

// changedSince reads the leadership once more before a takeover. The feed may be late or have been cut while the store
// forgot its history; this read is not.
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

// resolveTakeover settles a takeover without a clear answer by reading the row back. Only the claim tells whether it took effect; a
// write that arrives later finds another version or gives this instance an epoch that it does not use.
func (n *Node) resolveTakeover(ctx context.Context, row leaderRow, cause error) uint64 {
	n.opts.Log.WithError(cause).WithField("event", "takeover_unclear").Info("takeover has no clear answer")
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
