// Package node runs one instance of a cell: it accepts jobs and answers for them, follows the configuration, and leads the
// cell while it holds the leadership. All instances run the same program; what must last is in the table service.
package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// Sources names the rows of other writers.
type Sources struct {
	// Config is the row with the newest configuration.
	Config backend.RowKey
	// Workers is the table with an entry for each worker, in the empty part.
	Workers string
}

// Options configures a Node.
type Options struct {
	// Instance is the name of the instance, which a process that starts again on it keeps.
	Instance string
	// PeerAddress is host:port at which other instances reach this one.
	PeerAddress string
	// Peers sends messages to other instances; ServePeers answers theirs until ctx ends.
	Peers      peer.Caller
	ServePeers func(ctx context.Context, handle peer.Handler) error
	Tables     backend.Tables
	Workers    backend.Workers
	Advisor    backend.Advisor
	// Machines is nil if the platform has no such service.
	Machines backend.Machines
	Decoder  backend.Decoder
	Sources  Sources
	Log      logrus.FieldLogger
	// Note receives the decisions of the scheduler; see cell.Options.
	Note func(cell.Decision)
	// Answered receives the answers to callers; nil for none.
	Answered func(event string, v verdict.Verdict, took time.Duration)
	// Lease is the term of leases on workers, StopTimeout the bound on a stop and Retention how long a finished job can be
	// asked for.
	Lease, StopTimeout, Retention time.Duration
	// CPUShare is the share of a core of this instance; larger instances lead rather than smaller ones.
	CPUShare float64
	// TakeoverDelay keeps this instance back when another one can lead as well.
	TakeoverDelay time.Duration
	// Now returns the time since boot, including suspension.
	Now func() cell.Instant
}

// Node is one instance.
//
// Locking: mu protects the fields below it and is held for moments only, never during a call.
type Node struct {
	opts Options
	// direct is this instance's own access to the table service; tables also uses that of others.
	direct  *observedTables
	tables  relayedTables
	inserts *inserter
	// joinNow asks for a join without waiting, after the leader has changed.
	joinNow chan struct{}
	// checkNow ends a pause between checks of the leadership.
	checkNow chan struct{}
	leaving  atomic.Bool
	// createdAt is when the instance was created.
	createdAt cell.Instant

	mu     sync.Mutex
	config job.Config
	// waves are the operator's requests for maintenance.
	waves []backend.Wave
	// configConfirmedAt is when the configuration was last known to be current.
	configConfirmedAt cell.Instant
	leader            leaderView
	// leadership is set while this instance leads.
	leadership  *leadership
	waitingJobs map[string]uint32
	// waitingJobsReceivedAt is when waiting was learned from the leader.
	waitingJobsReceivedAt cell.Instant
	// leaderHint is the address of the leader that another instance named, while this one cannot reach the leader it knows.
	leaderHint string
	// members are the addresses of the instances that have joined the leader.
	members []string
	// candidate says that this instance may take over soon: the leader chooses a few in a large fleet.
	candidate bool
	// leaderLost says that the last join had no answer.
	leaderLost bool
}

// New returns an instance that does nothing before Run.
func New(opts Options) *Node {
	n := &Node{opts: opts, createdAt: opts.Now(), joinNow: make(chan struct{}, 1), checkNow: make(chan struct{}, 1), candidate: true}
	n.direct = observeTables(opts.Tables, opts.Now, n.logStoreContact)
	n.tables = relayedTables{n.direct, n}
	n.inserts = newInserter(n.tables)
	return n
}

// Run serves until ctx ends or peers cannot be served.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.opts.ServePeers(ctx, n.handlePeer) })
	group.Go(func() error { n.followConfig(ctx); return nil })
	group.Go(func() error { n.followLeadership(ctx); return nil })
	group.Go(func() error { n.joinLeader(ctx); return nil })
	group.Go(func() error { n.direct.probeDownShards(ctx); return nil })
	return group.Wait()
}

// BootClock returns the time since boot on the clock that counts suspension.
func BootClock() cell.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// logStoreContact logs that a part of the table service was lost or regained.
func (n *Node) logStoreContact(shard string, down bool, cause string) {
	n.opts.Log.WithFields(map[string]any{"event": "store_contact", "part": shard, "lost": down, "error": cause}).Warn("contact to the table service")
}

// currentLeadership returns the term in which this instance leads, or nil.
func (n *Node) currentLeadership() *leadership {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leadership
}

// leaderAddress returns the peer address and the epoch of the leader that this instance knows; the address is empty if it
// knows none or leads itself.
func (n *Node) leaderAddress() (string, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership != nil {
		return "", n.leadership.epoch
	}
	row := n.leader.row
	if n.leaderHint != "" {
		return n.leaderHint, row.Epoch
	}
	if row.Resigned || row.Instance == n.opts.Instance {
		return "", row.Epoch
	}
	return row.Address, row.Epoch
}

// pause waits, or returns false when ctx ends.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// unavailable is the refusal of a request that has not run and may be sent again.
func unavailable(cause error, message string) error {
	if cause == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "%s", message).After(retryAfter)
	}
	return verdict.Wrap(cause, verdict.NotRun, verdict.CodeUnavailable, "%s", message).After(retryAfter)
}

// retryAfter is when a refused caller should come back: after the time in which a leader is replaced.
const retryAfter = time.Second
