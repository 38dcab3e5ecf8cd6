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
	cellPart      = "cell"
)

var (
	leaderKey  = backend.RowKey{Table: leaderTable, Part: cellPart, Key: "leader"}
	renewalKey = backend.RowKey{Table: leaderTable, Part: cellPart, Key: "renewal"}
	// writeKey names the newest write of the leader. Its table is not followed, since it changes with each write.
	writeKey = backend.RowKey{Table: writeTable, Part: cellPart, Key: "newest"}
	// fleetKey names the record of the workers in use.
	fleetKey = backend.RowKey{Table: writeTable, Part: cellPart, Key: "fleet"}
)

const (
	// renewEvery is the time between renewals of the leadership.
	renewEvery = 400 * time.Millisecond
	// takeoverAfter is how long the renewals must have stopped before another instance takes over: four of them.
	takeoverAfter = 1700 * time.Millisecond
	// takeoverReserve is how long they must have stopped for an instance that the leader has not chosen as a candidate.
	takeoverReserve = 3500 * time.Millisecond
	// reservePause is the time between checks of the leadership by such an instance.
	reservePause = 900 * time.Millisecond
	// takeoverLost is how long they must have stopped if the leader does not answer its peers either.
	takeoverLost = 800 * time.Millisecond
	// leaderWait is the long poll on the leadership. It is short, so that a silent connection is noticed within a takeover.
	leaderWait = time.Second
	// leaderPoll is the wait while a takeover may be due.
	leaderPoll = 150 * time.Millisecond
	// suspendAfter is how long a leader goes on without a renewal. Its successor waits for it before it counts leases of
	// unreachable workers as lapsed.
	suspendAfter = 6 * time.Second
	// readRetry is the time between attempts to reach the table service.
	readRetry = 150 * time.Millisecond
	// recentStart is how long an instance counts as just started; others wait longRunningDelay in a takeover.
	recentStart      = 20 * time.Second
	longRunningDelay = 120 * time.Millisecond
	// smallShare is the share of a core below which an instance waits smallDelay in a takeover, longer than all other
	// delays together, and gives way to one that is twice as large.
	smallShare = 0.3
	smallDelay = 900 * time.Millisecond
	// isolatedDelay keeps an instance back in a takeover that does not reach half of the sampledPeers ones; sampleTimeout bounds the
	// question.
	isolatedDelay = 600 * time.Millisecond
	sampleTimeout = 150 * time.Millisecond
	sampledPeers  = 6
	// takeoverJitter spreads the instances that try to take over at the same time.
	takeoverJitter = 60 * time.Millisecond
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

// leadership is what this instance has seen of the leadership.
type leadership struct {
	row     leaderRow
	version uint64
	// renewal is the version of the renewal row.
	renewal uint64
	// changed is when a change was seen last, or when the table service could not be read last: only an uninterrupted
	// observation shows that the renewals have stopped.
	changed cell.Instant
	// read is the version up to which the feed was read.
	read  uint64
	known bool
}

// followLeadership watches the leadership, takes over when its holder is gone, and leads until the leadership is lost.
func (n *Node) followLeadership(ctx context.Context) {
	for ctx.Err() == nil {
		if err := n.observeLeadership(ctx); err != nil {
			n.observationGap(err)
			pause(ctx, readRetry)
			continue
		}
		if !n.mayTakeOver() {
			n.pauseReserve(ctx)
			continue
		}
		if t := n.takeOver(ctx); t != nil {
			n.lead(ctx, t)
		}
	}
}

// pauseReserve spares the store checks by instances that would not take over soon.
func (n *Node) pauseReserve(ctx context.Context) {
	n.mu.Lock()
	reserve := !n.candidate && n.leader.known && !n.leaderLost
	n.mu.Unlock()
	if !reserve {
		return
	}
	select {
	case <-time.After(reservePause):
	case <-n.checkNow:
	case <-ctx.Done():
	}
}

// observeLeadership reads the leadership, or waits for its next change.
func (n *Node) observeLeadership(ctx context.Context) error {
	n.mu.Lock()
	known, read := n.leader.known, n.leader.read
	n.mu.Unlock()
	var page backend.Page
	var err error
	if known {
		page, err = n.tables.Feed(ctx, leaderTable, read, n.leadershipWait())
	} else {
		page, err = n.tables.Range(ctx, leaderTable, cellPart, "")
	}
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	l := &n.leader
	if !l.known {
		l.changed = now
	}
	l.known = true
	l.read = max(l.read, page.Version)
	for _, row := range page.Rows {
		l.changed = now
		n.enterLeaderRow(row)
	}
	return nil
}

// leadershipWait returns how long to wait for a change: not past the moment at which a takeover is due.
func (n *Node) leadershipWait() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	due := n.leader.changed + takeoverLost - n.opts.Now()
	if due <= 0 {
		due = leaderPoll
	}
	return min(leaderWait, due)
}

// enterLeaderRow notes a row of the leader table. Callers hold n.mu.
func (n *Node) enterLeaderRow(row backend.Row) {
	if row.RowKey == renewalKey {
		n.leader.renewal = max(n.leader.renewal, row.Version)
	}
	if row.RowKey != leaderKey || row.Version <= n.leader.version {
		return
	}
	var value leaderRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		n.opts.Log.WithError(err).Error("leader row cannot be read")
		return
	}
	n.leader.row, n.leader.version = value, row.Version
	n.leaderLost, n.leaderHint = false, ""
	select {
	case n.joinNow <- struct{}{}:
	default:
	}
	n.opts.Log.WithFields(map[string]any{
		"event": "leader_seen", "leader": value.Instance, "epoch": value.Epoch, "resigned": value.Resigned,
	}).Info("leader changed")
}

// observationGap makes the observation start anew after the table service could not be read.
func (n *Node) observationGap(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leader.changed = n.opts.Now()
	if verdict.From(err).Code == verdict.CodeExpired {
		n.leader.known = false
	}
}

// mayTakeOver reports whether the leadership is free for this instance.
func (n *Node) mayTakeOver() bool {
	if n.leaving.Load() || n.own.Down(cellPart) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &n.leader
	if l.version == 0 || l.row.Resigned || l.row.Instance == n.opts.Instance {
		return true
	}
	if !n.candidate && n.opts.Now()-l.changed < takeoverReserve {
		return false
	}
	return n.opts.Now()-l.changed >= n.takeoverTimeout()
}

// takeoverTimeout returns how long the renewals must have stopped before a takeover. Callers hold n.mu.
func (n *Node) takeoverTimeout() time.Duration {
	if n.leaderLost {
		return takeoverLost
	}
	return takeoverAfter
}

// jitterOf spreads instances by name, so that the first to try usually succeeds before the others do.
func jitterOf(name string, epoch uint64) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{byte(epoch)})
	return time.Duration(h.Sum32()%uint32(takeoverJitter/time.Millisecond)) * time.Millisecond
}

// takeOver tries to become the leader in the next epoch. It returns nil if another instance was faster.
func (n *Node) takeOver(ctx context.Context) *term {
	n.mu.Lock()
	old := n.leader
	n.mu.Unlock()
	restarted := old.row.Instance == n.opts.Instance && !old.row.Resigned
	if old.version != 0 && !restarted {
		pause(ctx, n.opts.TakeoverDelay+n.smallDelay()+n.longRunningDelay()+jitterOf(n.opts.Instance, old.row.Epoch))
		if !n.reachesMost(ctx) {
			pause(ctx, isolatedDelay)
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
		Expected: []backend.Row{{RowKey: leaderKey, Version: old.version}},
		Put:      []backend.Row{{RowKey: leaderKey, Value: value}},
	}
	version, err := n.tables.Commit(ctx, txn)
	if err != nil {
		version = n.claimed(ctx, row, err)
	}
	if version == 0 {
		return nil
	}
	return &term{node: n, epoch: row.Epoch, row: row, rowVersion: version, previous: old.row}
}

// smallDelay keeps small instances back, whose processor does not carry the leadership of a large cell.
func (n *Node) smallDelay() time.Duration {
	if n.opts.CPUShare >= smallShare {
		return 0
	}
	return smallDelay
}

// longRunningDelay keeps instances back that have run for long: in a rolling restart, those that have just started are the last
// to be stopped.
func (n *Node) longRunningDelay() time.Duration {
	if n.opts.Now()-n.started < recentStart {
		return 0
	}
	return longRunningDelay
}

// reachesMost reports whether at least half of some instances that this one knows answer it.
func (n *Node) reachesMost(ctx context.Context) bool {
	asked := n.peersToAsk(sampledPeers)
	answers := make(chan bool, len(asked))
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	for _, address := range asked {
		go func() {
			_, err := n.opts.Peers.Call(ctx, address, &peerpb.Request{
				Body: &peerpb.Request_JobStatus{JobStatus: &peerpb.JobStatus{}},
			})
			// A refusal because the other instance does not lead is an answer, too.
			answers <- err == nil || verdict.From(err).Code == verdict.CodeWrongOwner
		}()
	}
	yes := 0
	for i := range asked {
		if <-answers {
			yes++
		}
		if 2*yes >= len(asked) {
			return true
		}
		if left := len(asked) - i - 1; 2*(yes+left) < len(asked) {
			return false
		}
	}
	return true
}

// changedSince reads the leadership once more before a takeover. The feed may be late or have been cut while the store
// forgot its history; this read is not.
func (n *Node) changedSince(ctx context.Context, old leadership) bool {
	page, err := n.tables.Range(ctx, leaderTable, cellPart, "")
	if err != nil {
		n.observationGap(err)
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	seen := n.leader.renewal
	for _, row := range page.Rows {
		n.enterLeaderRow(row)
	}
	renewed := n.leader.renewal > seen
	if renewed {
		n.leader.changed = n.opts.Now()
	}
	return renewed || n.leader.version != old.version || n.leader.changed != old.changed
}

// claimed settles a takeover without a clear answer by reading the row back. Only the claim tells whether it took effect; a
// write that arrives later finds another version or gives this instance an epoch that it does not use.
func (n *Node) claimed(ctx context.Context, row leaderRow, cause error) uint64 {
	n.opts.Log.WithError(cause).WithField("event", "takeover_unclear").Info("takeover has no clear answer")
	if verdict.Of(cause) == verdict.NotRun {
		n.observationGap(cause)
		n.mu.Lock()
		n.leader.known = false
		n.mu.Unlock()
		return 0
	}
	found, err := n.tables.Get(ctx, leaderKey)
	if err != nil {
		n.observationGap(err)
		return 0
	}
	var value leaderRow
	if err := json.Unmarshal(found.Value, &value); err != nil || value.Claim != row.Claim {
		return 0
	}
	return found.Version
}
