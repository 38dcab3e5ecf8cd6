// Package ownership maintains this instance's session in the platform's table and decides which instance owns which
// partition. Sessions and epochs are stored in the table, which is the only authority. A Manager lives as long as the
// process; each ownership lasts for one epoch.
package ownership

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
)

const (
	sessionPrefix   = "session/"
	partitionPrefix = "partition/"
	// ownersKey and sessionsKey are the directory rows. ownersKey is written with each change of an owner, sessionsKey with
	// each start or end of a session and each change of its configuration version. Between periodic full reads, an instance
	// reads all partitions or sessions only after the version of the directory row has changed.
	ownersKey   = "directory/owners"
	sessionsKey = "directory/sessions"
)

// Kind is the kind of a partition.
type Kind string

// The kinds of partitions.
const (
	KindRack   Kind = "rack"
	KindIntent Kind = "intent"
)

// Partition identifies a unit of ownership.
type Partition struct {
	Kind Kind
	Name string
}

// Rack returns the partition of a rack.
func Rack(name string) Partition { return Partition{KindRack, name} }

// Intent returns an intent partition.
func Intent(n int) Partition { return Partition{KindIntent, fmt.Sprint(n)} }

// String returns kind/name, as used in table keys.
func (p Partition) String() string { return string(p.Kind) + "/" + p.Name }

func parsePartition(s string) (Partition, bool) {
	kind, name, ok := strings.Cut(s, "/")
	return Partition{Kind(kind), name}, ok
}

// Session is the value of a session row.
type Session struct {
	// ID is unique for each process start.
	ID       string `json:"id"`
	Instance string `json:"instance"`
	// Address is host:port for peers.
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	// ConfigVersion is the configuration version in force on the instance.
	ConfigVersion uint64 `json:"config_version"`
	// Leaving is set while the instance shuts down; it acquires no further partitions.
	Leaving bool `json:"leaving,omitempty"`
}

// Owner is the value of a partition row.
type Owner struct {
	// Session is the owning session; empty after a release.
	Session string `json:"session"`
	Address string `json:"address"`
	Epoch   uint64 `json:"epoch"`
}

// Hooks are notified of ownership changes. Calls are made one at a time and must not block.
type Hooks interface {
	// Acquired is called when this instance owns the partition in the given epoch. rowVersion is the version of the
	// partition row; every durable write for the partition is conditional on it.
	Acquired(p Partition, epoch, rowVersion uint64)
	// Release stops serving a partition that this instance releases. It returns the state for the next owner, which is
	// written in the transaction that releases the partition, or nil if there is none.
	Release(p Partition) *store.Write
	// Lost is called when this instance no longer owns the partition.
	Lost(p Partition)
	// ReadyToHandOver asks whether a partition can be handed over to another live instance now. It returns false while requests
	// are in progress there; the partition then pauses new requests, and the manager calls it again.
	ReadyToHandOver(p Partition) bool
	// OwnersChanged is called when the view of sessions and owners, other instances included, has changed.
	OwnersChanged()
}

// Options configures a Manager.
type Options struct {
	Instance string
	Address  string
	Region   string
	Zone     string
	Table    store.Table
	Clock    clockwork.Clock
	Hooks    Hooks
	Log      logrus.FieldLogger
	// Partitions returns all partitions of the cell.
	Partitions func() []Partition
	// Avoid reports whether an instance should acquire no further partitions although its session is not marked as leaving.
	Avoid func(instance string) bool
	// ConfigVersion returns the configuration version in force.
	ConfigVersion func() uint64
	// Reachable reports whether this instance can reach the workers of a rack; if nil, all racks count as reachable. An
	// unreachable rack is left to other instances.
	Reachable func(rack string) bool
	// RegionOf returns the region of a rack, or "" if it is unknown. Instances in that region are preferred as owners.
	RegionOf func(rack string) string
	// RenewInterval is the time between session renewals; SessionTTL is how long a session row must stay unchanged before the
	// session expires.
	RenewInterval time.Duration
	SessionTTL    time.Duration
}

// Manager maintains the session and the partition ownerships of one process.
type Manager struct {
	opts Options

	// stepLock is a channel that serves as a lock, held during a step and during a drain, so that no renewal changes the
	// session row between the releases and the deletion of the row. It protects sessionEnded, which Drain sets.
	stepLock     chan struct{}
	sessionEnded bool

	// mu protects all fields below.
	mu             sync.Mutex
	session        Session
	sessionVersion uint64
	sessions       map[string]*sessionRow
	owners         map[Partition]ownerRow
	ownedEpochs    map[Partition]uint64
	// acquiring holds the partitions whose acquisition was sent and may have taken effect, but was not confirmed yet. Other
	// instances may read this instance as their owner already.
	acquiring   map[Partition]struct{}
	lastRenewal time.Time
	draining    bool
	// releasedEpochs holds the epochs that this session has released. If the row still shows such an epoch, the partition is
	// acquired in a new one, since the state of the old epoch is gone.
	releasedEpochs map[Partition]uint64
	// ownerlessSince is when each partition without an owner was first seen without one.
	ownerlessSince map[Partition]time.Time
	// ownersRowVersion and sessionsRowVersion are the versions of the directory rows at the last full read of partitions and
	// of sessions; ownersReadAt and sessionsReadAt are the times of these reads.
	ownersRowVersion, sessionsRowVersion uint64
	ownersReadAt, sessionsReadAt         time.Time
	// sessionsChangedAt is when the set of sessions last changed.
	sessionsChangedAt time.Time
	// announcedConfigVersion is the configuration version in the session row as last written.
	announcedConfigVersion uint64
}

// sessionRow is a session as read from the table.
type sessionRow struct {
	Session
	version uint64
	// unchangedSince is when the row was first read with this version, lastReadAt when it was last read with it.
	unchangedSince, lastReadAt time.Time
}

type ownerRow struct {
	Owner
	version uint64
}

// New returns a manager. It does not access the table before Run or Step is called.
func New(opts Options) *Manager {
	if opts.Avoid == nil {
		opts.Avoid = func(string) bool { return false }
	}
	if opts.ConfigVersion == nil {
		opts.ConfigVersion = func() uint64 { return 0 }
	}
	return &Manager{
		opts: opts, sessions: map[string]*sessionRow{}, owners: map[Partition]ownerRow{}, ownedEpochs: map[Partition]uint64{},
		releasedEpochs: map[Partition]uint64{}, ownerlessSince: map[Partition]time.Time{}, acquiring: map[Partition]struct{}{},
		stepLock: make(chan struct{}, 1),
	}
}

// Run renews the session and balances partitions until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := m.opts.Clock.NewTicker(m.opts.RenewInterval)
	defer ticker.Stop()
	for {
		if err := m.Step(ctx); err != nil && ctx.Err() == nil {
			m.opts.Log.WithError(err).Warn("failed to renew the session or update partition ownership")
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// Step renews the session once, reads sessions and partitions, deletes expired sessions, and acquires or hands over
// partitions.
func (m *Manager) Step(ctx context.Context) error {
	select {
	case m.stepLock <- struct{}{}:
		defer func() { <-m.stepLock }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if m.sessionEnded {
		// Until it stops, the instance still forwards requests and needs the current owners for that.
		return m.refreshView(ctx)
	}
	if err := m.renew(ctx); err != nil {
		return err
	}
	if err := m.refreshView(ctx); err != nil {
		return err
	}
	if err := m.deleteExpiredSessions(ctx); err != nil {
		return err
	}
	return m.balance(ctx)
}

// Location is where a partition is served.
type Location struct {
	Address string
	Epoch   uint64
	// Local is set when this instance is the owner.
	Local bool
	// RowVersion is the version of the partition row.
	RowVersion uint64
}

// Locate returns the owner of a partition as last read. ok is false when no owner is known.
func (m *Manager) Locate(p Partition) (loc Location, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.owners[p]
	if !ok || row.Session == "" {
		return Location{}, false
	}
	_, local := m.ownedEpochs[p]
	return Location{Address: row.Address, Epoch: row.Epoch, Local: local, RowVersion: row.version}, true
}

// Acquiring reports whether this instance may own a partition that it does not serve yet, since the answer to the acquisition
// is outstanding.
func (m *Manager) Acquiring(p Partition) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.acquiring[p]
	return ok
}

// Sessions returns the sessions that have not expired, as last read.
func (m *Manager) Sessions() []Session {
	m.mu.Lock()
	defer m.mu.Unlock()
	var live []Session
	for id, s := range m.sessions {
		if !m.expired(id) {
			live = append(live, s.Session)
		}
	}
	return live
}

// LastRenewal returns when the last successful write of the session row was sent.
func (m *Manager) LastRenewal() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastRenewal
}

func isConflict(err error) bool { return err != nil && verdict.From(err).Code == verdict.CodeConflict }
