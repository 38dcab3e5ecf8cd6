// Package ownership keeps this instance's session in the platform's table and decides which instance owns which
// partition. Sessions and epochs live in the table; the table is the only authority. A Manager lives as long as the
// process; each ownership lives for one epoch.
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
	// ownersKey and sessionsKey are rows that are written along with each change of an owner, and with each start and end
	// of a session and each change of its configuration version. An instance reads all rows only after such a change.
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

// Partition names a unit of ownership.
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
	// Leaving is set while the instance shuts down; it takes no further partitions.
	Leaving bool `json:"leaving,omitempty"`
}

// Owner is the value of a partition row.
type Owner struct {
	// Session is the owning session; empty after a release.
	Session string `json:"session"`
	Address string `json:"address"`
	Epoch   uint64 `json:"epoch"`
}

// Hooks are told about changes of ownership. Calls are made one at a time and must not block.
type Hooks interface {
	// Acquired: this instance owns the partition in the given epoch. rowVersion is the version of the partition row; every
	// durable write for the partition is conditional on it.
	Acquired(p Partition, epoch, rowVersion uint64)
	// Release ends the service of a partition that this instance gives up. It returns the state that it leaves to the next
	// owner, which is written in the transaction that gives the partition up; nil leaves nothing.
	Release(p Partition) *store.Write
	// Lost: this instance no longer owns the partition.
	Lost(p Partition)
	// Yield asks to hand a partition over to another live instance. It returns false while requests are worked on there; a
	// later step asks again.
	Yield(p Partition) bool
	// OwnersChanged: the view of owners, in which other instances appear, has changed.
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
	// Avoid reports whether an instance should get no further partitions although its session does not say so.
	Avoid func(instance string) bool
	// ConfigVersion returns the configuration version in force.
	ConfigVersion func() uint64
	// Reachable reports whether this instance reaches workers of a rack; nil means that it reaches all. A rack that is not
	// reachable is left to other instances.
	Reachable func(rack string) bool
	// RegionOf returns the region of a rack, or an empty text if it is unknown. Instances of that region are preferred.
	RegionOf func(rack string) string
	// RenewEvery is the time between renewals; Term is how long a session row must stay unchanged before it has expired.
	RenewEvery time.Duration
	Term       time.Duration
}

// Manager keeps the session and the ownerships of one process.
type Manager struct {
	opts Options

	// stepLock is held during a step and during a drain, so that no renewal changes the session row between the releases
	// and the end of the session. It protects ended, which is set once the session was ended by a drain.
	stepLock     chan struct{}
	sessionEnded bool

	mu             sync.Mutex
	session        Session
	sessionVersion uint64
	sessions       map[string]*sessionRow
	owners         map[Partition]ownerRow
	ownedEpochs    map[Partition]uint64
	lastRenewal    time.Time
	draining       bool
	// releasedEpochs holds the epochs that this session has given up. A row that still shows such an epoch is taken with a new
	// one, since the state of the epoch is gone.
	releasedEpochs map[Partition]uint64
	// ownerlessSince is when a partition was first seen without an owner.
	ownerlessSince map[Partition]time.Time
	// ownersRowVersion and sessionsRowVersion are the versions of the directory rows when all rows were last read, ownersRead and
	// sessionsRead the times of that.
	ownersRowVersion, sessionsRowVersion uint64
	ownersReadAt, sessionsReadAt         time.Time
	// sessionsChangedAt is when the set of sessions last changed.
	sessionsChangedAt time.Time
	// announcedConfigVersion is the configuration version that the other instances know of.
	announcedConfigVersion uint64
}

type sessionRow struct {
	Session
	version uint64
	// unchangedSince is when the row was first read with this version, seen when it was last read with it.
	unchangedSince, lastReadAt time.Time
}

type ownerRow struct {
	Owner
	version uint64
}

// New returns a manager that has not contacted the table yet.
func New(opts Options) *Manager {
	if opts.Avoid == nil {
		opts.Avoid = func(string) bool { return false }
	}
	if opts.ConfigVersion == nil {
		opts.ConfigVersion = func() uint64 { return 0 }
	}
	return &Manager{
		opts: opts, sessions: map[string]*sessionRow{}, owners: map[Partition]ownerRow{}, ownedEpochs: map[Partition]uint64{},
		releasedEpochs: map[Partition]uint64{}, ownerlessSince: map[Partition]time.Time{}, stepLock: make(chan struct{}, 1),
	}
}

// Run renews the session and takes partitions until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := m.opts.Clock.NewTicker(m.opts.RenewEvery)
	defer ticker.Stop()
	for {
		if err := m.Step(ctx); err != nil && ctx.Err() == nil {
			m.opts.Log.WithError(err).Warn("ownership step failed")
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// Step renews the session once, reads sessions and partitions, and takes the partitions that this instance should own.
func (m *Manager) Step(ctx context.Context) error {
	select {
	case m.stepLock <- struct{}{}:
		defer func() { <-m.stepLock }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if m.sessionEnded {
		// The instance goes on forwarding requests until it stops, for which it needs to know the owners.
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

// LastRenewal returns when the session row was last written successfully.
func (m *Manager) LastRenewal() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastRenewal
}

func isConflict(err error) bool { return err != nil && verdict.From(err).Code == verdict.CodeConflict }
