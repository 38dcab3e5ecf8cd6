// Package node runs one instance of a cell: it accepts jobs and answers queries about them, follows the configuration, and
// schedules the cell while it is the leader. All instances run the same program; durable state is in the table service.
package node

import (
	"cmp"
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
	"github.com/lentiltide/lentiltide/request/recovery"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// Sources names the rows that the node reads but other programs write.
type Sources struct {
	// Config is the row with the newest configuration.
	Config backend.RowKey
	// Workers is the table with an entry for each worker, in the shard with the empty name.
	Workers string
}

// Options configures a Node.
type Options struct {
	// Instance is the name of the instance. A restarted process keeps it.
	Instance string
	// PeerAddress is the host:port at which other instances reach this one.
	PeerAddress string
	// Peers sends messages to other instances; ServePeers serves their requests until ctx ends.
	Peers      peer.Caller
	ServePeers func(ctx context.Context, handle peer.Handler) error
	Tables     backend.Tables
	Workers    backend.Workers
	Advisor    backend.Advisor
	// Machines is nil if the platform has no machine service.
	Machines backend.Machines
	Decoder  backend.Decoder
	Sources  Sources
	Log      logrus.FieldLogger
	// Panics records panics; nil means a recorder that writes to Log.
	Panics *recovery.Recorder
	// OnDecision is called with each decision of the scheduler; see cell.Options.
	OnDecision func(cell.Decision)
	// OnAnswer, if not nil, is called for each answer to a caller.
	OnAnswer func(event string, v verdict.Verdict, took time.Duration)
	// Lease is the duration of leases on workers, StopTimeout limits a stop, and Retention is how long the state of a
	// finished job can be queried.
	Lease, StopTimeout, Retention time.Duration
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// ConfigDeadline is the time within which a change of the configuration must be in force; 0 means the default.
	ConfigDeadline time.Duration
	// KeyDeadline is the time from the withdrawal of a key after which no call with it may be accepted, even by an instance
	// without contact; 0 means that a key is accepted as long as the configuration in force has it.
	KeyDeadline time.Duration
	// OnRefusedKey, if not nil, is called with the reason for each call that is not authorized.
	OnRefusedKey func(reason string)
	// CPUShare is the number of CPU cores of this instance, which may be a fraction; larger instances are preferred as
	// leaders.
	CPUShare float64
	// Zone is the availability zone of this instance.
	Zone string
	// LinkMbps is the bandwidth of this instance's link in Mbit/s; 0 means unknown. Instances with slow links get changes of the
	// configuration from others.
	LinkMbps float64
	// DelegateFrom is the number of workers from which a leader makes its calls to workers through other instances; 0 means
	// the default.
	DelegateFrom int
	// JobMemoryBytes is the memory that this instance may use for the steps and tasks of jobs while it leads; 0 means the default.
	JobMemoryBytes int64
	// TakeoverDelay is an additional delay before this instance takes over, so that other instances can do so first.
	TakeoverDelay time.Duration
	// Now returns the time since boot, including the time in which the machine was suspended.
	Now func() cell.Instant
}

// Node is one instance of a cell.
//
// Locking: mu protects the fields below it. It is held briefly and never during a call to the store or a peer.
type Node struct {
	opts Options
	// direct calls the table service from this instance only; tables can also relay calls through other instances.
	direct  *observedTables
	tables  relayedTables
	inserts *inserter
	// results are those of the calls to workers that this instance makes for the leader.
	results resultBatches
	// joinNow triggers a join at once, after the leader has changed.
	joinNow chan struct{}
	// configWake wakes followConfig after the leader has announced a change.
	configWake chan struct{}
	// checkNow ends the pause between two checks of the leadership.
	checkNow chan struct{}
	leaving  atomic.Bool
	// createdAt is when New was called.
	createdAt cell.Instant

	mu     sync.Mutex
	config job.Config
	// waves are the operator's maintenance requests.
	waves      []backend.MaintenanceWave
	configAge  configAge
	configFeed configFeed
	// announced is what the leader has said about the operator's table.
	announced configAnnouncement
	// configDeltas are the last changes of the configuration, for instances that get them from this one.
	configDeltas []job.ConfigDelta
	// configChanged is closed and replaced when the configuration or the maintenance requests change.
	configChanged chan struct{}
	leader        leaderView
	// leaderChanges are the recent changes of the leader.
	leaderChanges leaderChanges
	// leadership is set while this instance leads.
	leadership *leadership
	// commandsEndedAt is when the last leadership of this instance ended, at first when this process started: a name stands for one process
	// at a time, so that its former process has ended before.
	commandsEndedAt cell.Instant
	// waitingJobs is the number of waiting jobs of each queue, as sent by the leader.
	waitingJobs map[string]uint32
	// waitingJobsReceivedAt is when the leader last sent waitingJobs.
	waitingJobsReceivedAt cell.Instant
	// leaderHint is the leader's address according to another instance. It is used while this instance cannot reach the
	// leader that it has read from the store.
	leaderHint string
	// members are the addresses of the instances that have joined the leader.
	members []string
	// replica holds the results that the leader could not store yet.
	replica resultReplica
	// placements are the starts of leaders that this instance holds.
	placements placementReplicas
	// candidate is set if this instance uses the short takeover timeout. In a large fleet the leader selects a few
	// candidates.
	candidate bool
	// leaderLost is set if the last join was not answered.
	leaderLost bool
	// noTakeoverUntil is when this instance may lead again after its leadership has failed.
	noTakeoverUntil cell.Instant
}

// New returns an instance, which is inactive until Run is called.
func New(opts Options) *Node {
	if opts.Panics == nil {
		opts.Panics = recovery.NewRecorder(opts.Log, nil)
	}
	opts.ConfigDeadline = cmp.Or(opts.ConfigDeadline, defaultConfigDeadline)
	opts.recoverBackends()
	n := &Node{
		opts: opts, createdAt: opts.Now(), joinNow: make(chan struct{}, 1), checkNow: make(chan struct{}, 1),
		configWake: make(chan struct{}, 1), configChanged: make(chan struct{}), candidate: true,
	}
	n.commandsEndedAt = n.createdAt
	n.direct = observeTables(opts.Tables, opts.Now, n.logStoreContact)
	n.tables = relayedTables{n.direct, n}
	n.inserts = newInserter(n.tables)
	n.results.node = n
	return n
}

// Run runs the instance until ctx ends or serving the peers fails.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.opts.ServePeers(ctx, n.handlePeer) })
	for _, loop := range []func(context.Context){n.followConfig, n.followLeadership, n.joinLeader, n.direct.probeDownShards} {
		group.Go(func() error { n.runAgain(ctx, loop); return nil })
	}
	return group.Wait()
}

// BootClock returns the time since boot, including the time in which the machine was suspended.
func BootClock() cell.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All supported kernels have CLOCK_BOOTTIME.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// logStoreContact logs that a shard of the table service became unreachable or reachable again.
func (n *Node) logStoreContact(shard string, down bool, cause string) {
	n.opts.Log.WithFields(map[string]any{"event": "store_contact", "part": shard, "lost": down, "error": cause}).Warn("contact to the table service lost or restored")
}

// currentLeadership returns the leadership that this instance holds, or nil.
func (n *Node) currentLeadership() *leadership {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leadership
}

// leaderAddress returns the peer address and the epoch of the leader as known to this instance. The address is empty if no
// leader is known or if this instance leads.
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

// pause waits for d and returns true, or returns false as soon as ctx ends.
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

// unavailable returns the error for a request that was not executed and can be retried.
func unavailable(cause error, message string) error {
	if cause == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "%s", message).WithRetryAfter(retryAfter)
	}
	return verdict.Wrap(cause, verdict.NotRun, verdict.CodeUnavailable, "%s", message).WithRetryAfter(retryAfter)
}

// retryAfter is the delay after which a rejected caller should retry: the time that a change of leader takes.
const retryAfter = time.Second
