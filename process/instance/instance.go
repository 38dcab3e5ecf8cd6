// Package instance assembles one entry instance: it connects the rack and intent cores with the table, the workers and the
// other instances, and executes the effects that the cores return. An Instance exists as long as the process.
package instance

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/membership"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/config"
	"github.com/lentiltide/lentiltide/version/intent"
	"github.com/lentiltide/lentiltide/version/ownership"
	"github.com/lentiltide/lentiltide/worker"
)

// Options are the dependencies and settings of an Instance.
type Options struct {
	Settings settings.Settings
	Clock    clockwork.Clock
	Table    store.Table
	Objects  store.Objects
	Members  store.InstanceList
	Workers  worker.Dialer
	Peers    peer.Caller
	Log      logrus.FieldLogger
	// Seed seeds the random choices.
	Seed uint64
	// NewID generates the identifiers of plans, tickets and configuration plans; nil generates random UUIDs.
	NewID func() string
	// Quotas returns the quotas in force; nil uses those of the configuration.
	Quotas intent.Quotas
	// IntentPartitions are the intent partitions that the cell uses; nil means all.
	IntentPartitions []int
}

// Instance is one running entry instance.
type Instance struct {
	opts   Options
	owners *ownership.Manager
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// closeMu protects closed, so that no goroutine is added to wg after Close has begun to wait.
	closeMu sync.Mutex
	closed  bool

	// mu protects racks, intents and cachedView; it is never held while a method of a core runs.
	mu      sync.Mutex
	racks   map[string]*rackRunner
	intents map[int]*intentRunner
	rng     *rand.Rand
	// keyLimiter limits the rate at which this instance records new idempotency keys.
	keyLimiter     *rate.Limiter
	forwardHandler forwardHandler
	cachedView     cellView

	usages      *usageTable
	members     *membership.View
	summaries   summaryStore
	config      *config.View
	configHooks configHooks
	router      *router
}

// New returns an instance that does nothing until Start.
func New(opts Options) *Instance {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.NewID == nil {
		opts.NewID = uuid.NewString
	}
	if opts.IntentPartitions == nil {
		for n := range model.IntentPartitions {
			opts.IntentPartitions = append(opts.IntentPartitions, n)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	in := &Instance{
		opts: opts, ctx: ctx, cancel: cancel,
		racks: map[string]*rackRunner{}, intents: map[int]*intentRunner{},
		members: membership.New(), summaries: summaryStore{latest: map[string]timedSummary{}},
		rng: rand.New(rand.NewPCG(opts.Seed, 0)), keyLimiter: rate.NewLimiter(keysPerSecond, keyBurst), usages: newUsageTable(opts.Clock.Now),
	}
	in.config = config.NewView(in.onConfigApplied)
	in.router = newRouter(opts.Clock.Now, opts.Seed)
	if opts.Quotas == nil {
		in.opts.Quotas = configQuotas{in.config}
	}
	in.OnConfig(in.router.configure)
	in.OnConfig(in.applyPolicies)
	s := opts.Settings
	in.owners = ownership.New(ownership.Options{
		Instance: s.Instance, Address: s.PeerAddress, Region: s.Region, Zone: s.Zone,
		Table: opts.Table, Clock: opts.Clock, Hooks: in, Log: opts.Log, Partitions: in.partitions,
		RenewInterval: s.SessionRenewInterval(), SessionTTL: s.SessionTTL(),
		Avoid: in.isLeaving, RegionOf: in.rackRegion, ConfigVersion: func() uint64 { return in.config.Current().Version },
	})
	return in
}

// Start begins to acquire partitions and to serve them.
func (in *Instance) Start() {
	in.refreshMembers()
	in.spawn(func() { in.owners.Run(in.ctx) })
	in.spawn(in.watchMembers)
	in.spawn(in.watchConfig)
	in.spawn(in.broadcastSummaries)
	in.spawn(in.broadcastUsages)
}

// Close stops the instance at once, without releasing its partitions or its session, as in a crash.
func (in *Instance) Close() {
	in.cancel()
	in.closeMu.Lock()
	in.closed = true
	in.closeMu.Unlock()
	in.wg.Wait()
}

// spawn starts f on a goroutine that Close waits for. After Close it does nothing.
func (in *Instance) spawn(f func()) {
	in.closeMu.Lock()
	defer in.closeMu.Unlock()
	if in.closed {
		return
	}
	in.wg.Add(1)
	go func() {
		defer in.wg.Done()
		f()
	}()
}

// runEvery calls f once per period until ctx is cancelled.
func (in *Instance) runEvery(ctx context.Context, period time.Duration, f func()) {
	ticker := in.opts.Clock.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			f()
		case <-ctx.Done():
			return
		}
	}
}

const (
	// retryDelay is the time between attempts to send a message to a peer or a worker.
	retryDelay = 100 * time.Millisecond
	// peerTimeout bounds one message to a peer.
	peerTimeout = 2 * time.Second
)

// Acquired implements ownership.Hooks.
func (in *Instance) Acquired(p ownership.Partition, epoch, rowVersion uint64) {
	switch p.Kind {
	case ownership.KindRack:
		in.acquireRack(p.Name, epoch, rowVersion)
	case ownership.KindIntent:
		in.router.openPartition(partitionNumber(p))
		in.acquireIntent(p, epoch, rowVersion)
	}
}

// ReadyToHandOver implements ownership.Hooks. An intent partition is handed over only when no request on it is in flight.
func (in *Instance) ReadyToHandOver(p ownership.Partition) bool {
	return p.Kind != ownership.KindIntent || in.router.closeIfIdle(in.opts.Clock.Now(), partitionNumber(p))
}

// Release implements ownership.Hooks. For an intent partition it returns the write that stores the ticket tables for the
// next owner.
func (in *Instance) Release(p ownership.Partition) *store.Write {
	defer in.Lost(p)
	if p.Kind != ownership.KindIntent {
		return nil
	}
	r, err := in.loadedIntentRunner(partitionNumber(p))
	if err != nil {
		return nil
	}
	data, err := json.Marshal(r.core.Freeze())
	if err != nil {
		return nil
	}
	return &store.Write{Key: handoverKey(r.partition()), Value: data}
}

// Lost implements ownership.Hooks.
func (in *Instance) Lost(p ownership.Partition) {
	defer in.router.notify()
	in.mu.Lock()
	defer in.mu.Unlock()
	switch p.Kind {
	case ownership.KindRack:
		if r := in.racks[p.Name]; r != nil {
			r.cancel()
			delete(in.racks, p.Name)
		}
	case ownership.KindIntent:
		n := partitionNumber(p)
		if r := in.intents[n]; r != nil {
			r.cancel()
			delete(in.intents, n)
		}
	}
}

// OwnersChanged implements ownership.Hooks.
func (in *Instance) OwnersChanged() { in.router.notify() }

// rackRunner returns the runner of a rack, or a NotRun error with CodeWrongOwner if this instance does not serve the rack.
func (in *Instance) rackRunner(name string) (*rackRunner, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if r := in.racks[name]; r != nil {
		return r, nil
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeWrongOwner, "rack %q is not served here", name).WithRetryAfter(retryDelay)
}

// loadedIntentRunner returns the runner of an intent partition, or a NotRun error with CodeWrongOwner if this instance does
// not serve the partition or has not loaded it yet.
func (in *Instance) loadedIntentRunner(n int) (*intentRunner, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if r := in.intents[n]; r != nil && r.loaded {
		return r, nil
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeWrongOwner, "intent partition %d is not served here", n).WithRetryAfter(retryDelay)
}

// callOwner sends a message to the owner of a partition, which may be this instance. When the owner has changed, it
// refreshes the view of the owners and sends the message once more, to the new owner.
func (in *Instance) callOwner(ctx context.Context, p ownership.Partition, req *peerpb.Request) (*peerpb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	loc, ok := in.owners.Locate(p)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "partition %s has no owner", p).WithRetryAfter(retryDelay)
	}
	reply, err := in.sendTo(ctx, loc, req)
	if !ownerChanged(err) {
		return reply, err
	}
	in.refreshOwner(ctx, p)
	current, ok := in.owners.Locate(p)
	if !ok || current.Address == loc.Address {
		return reply, err
	}
	return in.sendTo(ctx, current, req)
}

// sendTo sends a message to the instance at loc. A local one is called directly.
func (in *Instance) sendTo(ctx context.Context, loc ownership.Location, req *peerpb.Request) (*peerpb.Reply, error) {
	if loc.Local {
		reply := in.HandlePeer(ctx, req)
		return reply, peer.ErrorFromProto(reply.GetError())
	}
	return in.opts.Peers.Call(ctx, loc.Address, req)
}

// PeerServer serves the messages of other instances that arrive on a listener.
type PeerServer interface {
	Serve(ctx context.Context, l net.Listener, handle peer.Handler) error
}

// ServePeers serves other instances until the listener is closed.
func (in *Instance) ServePeers(t PeerServer, l net.Listener) error {
	return t.Serve(in.ctx, l, in.HandlePeer)
}
