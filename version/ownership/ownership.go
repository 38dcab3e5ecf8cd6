// Package ownership keeps this instance's session in the platform's table and decides which instance owns which
// partition. Sessions and epochs live in the table; the table is the only authority. A Manager lives as long as the
// process; each ownership lives for one epoch.
package ownership

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/platform"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	sessionPrefix   = "session/"
	partitionPrefix = "partition/"
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
	// Lost: this instance no longer owns the partition.
	Lost(p Partition)
	// OwnersChanged: the view of owners, in which other instances appear, has changed.
	OwnersChanged()
}

// Options configures a Manager.
type Options struct {
	Instance string
	Address  string
	Region   string
	Zone     string
	Table    platform.Table
	Clock    clockwork.Clock
	Hooks    Hooks
	Log      logrus.FieldLogger
	// Partitions returns all partitions of the cell.
	Partitions func() []Partition
	// Avoid reports whether an instance should get no further partitions although its session does not say so.
	Avoid func(instance string) bool
	// ConfigVersion returns the configuration version in force.
	ConfigVersion func() uint64
	// RenewEvery is the time between renewals; Term is how long a session row must stay unchanged before it has expired.
	RenewEvery time.Duration
	Term       time.Duration
}

// Manager keeps the session and the ownerships of one process.
type Manager struct {
	opts Options

	mu       sync.Mutex
	session  Session
	row      uint64
	watched  map[string]*watchedSession
	owners   map[Partition]ownerRow
	mine     map[Partition]uint64
	renewed  time.Time
	draining bool
}

type watchedSession struct {
	Session
	version uint64
	since   time.Time
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
		opts: opts, watched: map[string]*watchedSession{}, owners: map[Partition]ownerRow{}, mine: map[Partition]uint64{},
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
	if err := m.renew(ctx); err != nil {
		return err
	}
	if err := m.read(ctx); err != nil {
		return err
	}
	return m.balance(ctx)
}

// renew writes the session row. A conflict means that another instance has ended the session.
func (m *Manager) renew(ctx context.Context) error {
	m.mu.Lock()
	if m.session.ID == "" {
		m.session = Session{
			ID: uuid.NewString(), Instance: m.opts.Instance, Address: m.opts.Address, Region: m.opts.Region, Zone: m.opts.Zone,
		}
	}
	m.session.ConfigVersion = m.opts.ConfigVersion()
	m.session.Leaving = m.draining
	s, version := m.session, m.row
	m.mu.Unlock()

	key := sessionPrefix + s.Instance
	if version == 0 {
		rows, err := m.opts.Table.Get(ctx, key)
		if err != nil {
			return err
		}
		if len(rows) == 1 {
			version = rows[0].Version
		}
	}
	versions, err := m.write(ctx, []platform.Condition{{Key: key, Version: version}}, key, s)
	if isConflict(err) {
		m.endSession()
		return err
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.row, m.renewed = versions, m.opts.Clock.Now()
	m.mu.Unlock()
	return nil
}

// write commits one row and reads it back when the answer was lost.
func (m *Manager) write(ctx context.Context, conditions []platform.Condition, key string, value any) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	txn := platform.Txn{ID: uuid.NewString(), Conditions: conditions, Writes: []platform.Write{{Key: key, Value: data}}}
	versions, err := m.opts.Table.Commit(ctx, txn)
	if err == nil {
		return versions[0], nil
	}
	if verdict.Of(err) != verdict.MayHaveRun {
		return 0, err
	}
	rows, readErr := m.opts.Table.Get(ctx, key)
	if readErr == nil && len(rows) == 1 && rows[0].TxnID == txn.ID {
		return rows[0].Version, nil
	}
	return 0, err
}

// endSession drops all partitions and forgets the session, so that the next step starts a new one.
func (m *Manager) endSession() {
	m.mu.Lock()
	lost := m.mine
	m.mine = map[Partition]uint64{}
	m.session, m.row = Session{}, 0
	m.mu.Unlock()
	for p := range lost {
		m.opts.Hooks.Lost(p)
	}
}

// read refreshes the view of sessions and partitions.
func (m *Manager) read(ctx context.Context) error {
	sessions, err := m.opts.Table.Scan(ctx, sessionPrefix)
	if err != nil {
		return err
	}
	partitions, err := m.opts.Table.Scan(ctx, partitionPrefix)
	if err != nil {
		return err
	}
	m.mu.Lock()
	changed := m.observeSessions(sessions)
	changed = m.observePartitions(partitions) || changed
	lost := m.lostPartitions()
	m.mu.Unlock()
	for _, p := range lost {
		m.opts.Hooks.Lost(p)
	}
	if changed {
		m.opts.Hooks.OwnersChanged()
	}
	return nil
}

// observeSessions notes how long each session row has stayed unchanged. Callers hold m.mu.
func (m *Manager) observeSessions(rows []platform.Row) (changed bool) {
	now := m.opts.Clock.Now()
	seen := map[string]*watchedSession{}
	for _, row := range rows {
		var s Session
		if json.Unmarshal(row.Value, &s) != nil {
			continue
		}
		w := m.watched[s.ID]
		if w == nil || w.version != row.Version {
			changed = changed || w == nil
			w = &watchedSession{Session: s, version: row.Version, since: now}
		}
		seen[s.ID] = w
	}
	changed = changed || len(seen) != len(m.watched)
	m.watched = seen
	return changed
}

// observePartitions notes the owners. Callers hold m.mu.
func (m *Manager) observePartitions(rows []platform.Row) (changed bool) {
	for _, row := range rows {
		p, ok := parsePartition(strings.TrimPrefix(row.Key, partitionPrefix))
		var o Owner
		if !ok || json.Unmarshal(row.Value, &o) != nil {
			continue
		}
		if old, known := m.owners[p]; !known || old.version < row.Version {
			m.owners[p] = ownerRow{Owner: o, version: row.Version}
			changed = true
		}
	}
	return changed
}

// lostPartitions removes and returns the partitions that another session owns now. Callers hold m.mu.
func (m *Manager) lostPartitions() []Partition {
	var lost []Partition
	for p := range m.mine {
		if m.owners[p].Session != m.session.ID {
			delete(m.mine, p)
			lost = append(lost, p)
		}
	}
	return lost
}

// expired reports whether a session has ended or its row has stayed unchanged for the whole term. Callers hold m.mu.
func (m *Manager) expired(id string) bool {
	w := m.watched[id]
	return w == nil || (id != m.session.ID && m.opts.Clock.Since(w.since) >= m.opts.Term)
}

// candidates returns the live sessions that take partitions. Sessions to avoid count when there are no others, so that a
// wrong sign of leaving never leaves the partitions without an owner. Callers hold m.mu.
func (m *Manager) candidates() []*watchedSession {
	var live, avoided []*watchedSession
	for id, w := range m.watched {
		switch {
		case m.expired(id) || w.Leaving:
		case m.opts.Avoid(w.Instance):
			avoided = append(avoided, w)
		default:
			live = append(live, w)
		}
	}
	if len(live) == 0 {
		return avoided
	}
	return live
}

// preferred returns the session that should own a partition: the highest rendezvous hash of instance and partition.
func preferred(p Partition, live []*watchedSession) string {
	best, id := uint64(0), ""
	for _, w := range live {
		if h := xxhash.Sum64String(w.Instance + "|" + p.String()); id == "" || h > best {
			best, id = h, w.ID
		}
	}
	return id
}

// balance takes ownerless partitions that this instance should own and releases those that another should own.
func (m *Manager) balance(ctx context.Context) error {
	for _, p := range m.opts.Partitions() {
		m.mu.Lock()
		live := m.candidates()
		want := preferred(p, live)
		row := m.owners[p]
		mine := m.session.ID
		_, have := m.mine[p]
		// A partition that the table gives to this session but that is not served, after a lost answer, is taken again
		// with a new epoch: the state of the old epoch is gone.
		ownerless := row.Session == "" || m.expired(row.Session) || (row.Session == mine && !have)
		dead := m.watched[row.Session]
		if row.Session == mine {
			dead = nil
		}
		draining := m.draining
		m.mu.Unlock()
		var err error
		switch {
		case want == mine && ownerless && !draining:
			err = m.take(ctx, p, row, dead)
		case have && want != "" && want != mine:
			err = m.release(ctx, p, row)
		}
		if err != nil && !isConflict(err) {
			return err
		}
	}
	return nil
}

// take raises the epoch of a partition. The same transaction deletes the expired session row, so that its holder's next
// renewal fails.
func (m *Manager) take(ctx context.Context, p Partition, row ownerRow, dead *watchedSession) error {
	m.mu.Lock()
	s := m.session
	sessionVersion := m.row
	m.mu.Unlock()
	owner := Owner{Session: s.ID, Address: s.Address, Epoch: row.Epoch + 1}
	data, err := json.Marshal(owner)
	if err != nil {
		return err
	}
	key := partitionPrefix + p.String()
	txn := platform.Txn{
		ID:         uuid.NewString(),
		Conditions: []platform.Condition{{Key: key, Version: row.version}, {Key: sessionPrefix + s.Instance, Version: sessionVersion}},
		Writes:     []platform.Write{{Key: key, Value: data}},
	}
	if dead != nil {
		deadKey := sessionPrefix + dead.Instance
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: deadKey, Version: dead.version})
		txn.Writes = append(txn.Writes, platform.Write{Key: deadKey, Delete: true})
	}
	versions, err := m.opts.Table.Commit(ctx, txn)
	if err != nil {
		return err
	}
	m.mu.Lock()
	if dead != nil {
		delete(m.watched, dead.ID)
	}
	m.owners[p] = ownerRow{Owner: owner, version: versions[0]}
	m.mine[p] = owner.Epoch
	m.mu.Unlock()
	m.opts.Log.WithFields(logrus.Fields{"partition": p.String(), "epoch": owner.Epoch}).Info("partition taken")
	m.opts.Hooks.Acquired(p, owner.Epoch, versions[0])
	return nil
}

// release gives a partition up without a successor.
func (m *Manager) release(ctx context.Context, p Partition, row ownerRow) error {
	m.mu.Lock()
	delete(m.mine, p)
	m.mu.Unlock()
	m.opts.Hooks.Lost(p)
	key := partitionPrefix + p.String()
	version, err := m.write(ctx, []platform.Condition{{Key: key, Version: row.version}}, key, Owner{Epoch: row.Epoch})
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.owners[p] = ownerRow{Owner: Owner{Epoch: row.Epoch}, version: version}
	m.mu.Unlock()
	m.opts.Log.WithFields(logrus.Fields{"partition": p.String(), "epoch": row.Epoch}).Info("partition released")
	return nil
}

// Drain releases all partitions and ends the session, for a graceful shutdown.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	var owned []Partition
	for p := range m.mine {
		owned = append(owned, p)
	}
	m.mu.Unlock()
	for _, p := range owned {
		m.mu.Lock()
		row := m.owners[p]
		m.mu.Unlock()
		if err := m.release(ctx, p, row); err != nil && !isConflict(err) {
			return err
		}
	}
	m.mu.Lock()
	key, version := sessionPrefix+m.opts.Instance, m.row
	m.mu.Unlock()
	_, err := m.opts.Table.Commit(ctx, platform.Txn{
		ID: uuid.NewString(), Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes: []platform.Write{{Key: key, Delete: true}},
	})
	return err
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
	_, local := m.mine[p]
	return Location{Address: row.Address, Epoch: row.Epoch, Local: local, RowVersion: row.version}, true
}

// Sessions returns the sessions that have not expired, as last read.
func (m *Manager) Sessions() []Session {
	m.mu.Lock()
	defer m.mu.Unlock()
	var live []Session
	for id, w := range m.watched {
		if !m.expired(id) {
			live = append(live, w.Session)
		}
	}
	return live
}

// LastRenewal returns when the session row was last written successfully.
func (m *Manager) LastRenewal() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewed
}

func isConflict(err error) bool { return err != nil && verdict.From(err).Code == verdict.CodeConflict }
