package ownership

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/lentiltide/lentiltide/store"
)

const (
	// maxWatchedSessions is how many session rows each instance watches, and so how many instances watch each row. With one
	// watcher per row, the simultaneous loss of two neighbours would go unnoticed until the next full read.
	maxWatchedSessions = 3
	// sessionsReadRenewals and ownersReadRenewals are the numbers of renewals between full reads of sessions and of partitions
	// while the directory rows do not change. The first limits how long the simultaneous loss of neighbours stays unnoticed;
	// the second is larger, since at the target size a full read of the partitions by all instances takes 4,500 reads.
	sessionsReadRenewals = 10
	ownersReadRenewals   = 60
	// stableRenewals is the number of renewal intervals without a session start or end after which partitions move between
	// live instances.
	stableRenewals = 3
)

// renew writes the session row. On a conflict, the row is read back: if it still holds this session, an earlier renewal
// took effect although its reply was lost, and the write is repeated; otherwise another instance has ended the session.
func (m *Manager) renew(ctx context.Context) error {
	m.mu.Lock()
	if m.session.ID == "" {
		m.session = Session{
			ID: uuid.NewString(), Instance: m.opts.Instance, Address: m.opts.Address, Region: m.opts.Region, Zone: m.opts.Zone,
		}
	}
	m.session.ConfigVersion = m.opts.ConfigVersion()
	m.session.Leaving = m.draining
	s, version := m.session, m.sessionVersion
	m.mu.Unlock()

	sentAt := m.opts.Clock.Now()
	version, err := m.writeSession(ctx, s, version)
	if isConflict(err) {
		storedVersion, found, readErr := m.findOwnSession(ctx, s)
		switch {
		case readErr != nil:
			return readErr
		case !found:
			m.resetSession()
			return err
		}
		version, err = m.writeSession(ctx, s, storedVersion)
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.sessionVersion, m.lastRenewal, m.announcedConfigVersion = version, sentAt, s.ConfigVersion
	m.mu.Unlock()
	return nil
}

// writeSession writes the session row. Version 0 starts a session and replaces the row of an earlier process of the same
// instance.
func (m *Manager) writeSession(ctx context.Context, s Session, version uint64) (uint64, error) {
	key := sessionPrefix + s.Instance
	data, err := json.Marshal(s)
	if err != nil {
		return 0, err
	}
	writes := []store.Write{{Key: key, Value: data}}
	newSession := version == 0
	if newSession {
		rows, err := m.opts.Table.Get(ctx, key)
		if err != nil {
			return 0, err
		}
		if len(rows) == 1 {
			version = rows[0].Version
		}
	}
	m.mu.Lock()
	announced := m.announcedConfigVersion
	m.mu.Unlock()
	if newSession || s.ConfigVersion != announced {
		writes = append(writes, directoryWrite(sessionsKey, s.Instance))
	}
	versions, err := m.commit(ctx, []store.Condition{{Key: key, Version: version}}, writes)
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// findOwnSession returns the version of the session row; found is false if the row does not hold session s.
func (m *Manager) findOwnSession(ctx context.Context, s Session) (version uint64, found bool, err error) {
	rows, err := m.opts.Table.Get(ctx, sessionPrefix+s.Instance)
	if err != nil || len(rows) == 0 {
		return 0, false, err
	}
	var stored Session
	if json.Unmarshal(rows[0].Value, &stored) != nil || stored.ID != s.ID {
		return 0, false, nil
	}
	return rows[0].Version, true, nil
}

// resetSession discards the session and reports all its partitions as lost, so that the next step starts a new session.
func (m *Manager) resetSession() {
	m.mu.Lock()
	lost := m.ownedEpochs
	m.ownedEpochs, m.releasedEpochs = map[Partition]uint64{}, map[Partition]uint64{}
	clear(m.acquiring)
	m.session, m.sessionVersion, m.ownersRowVersion, m.sessionsRowVersion = Session{}, 0, 0, 0
	m.mu.Unlock()
	for p := range lost {
		m.opts.Hooks.Lost(p)
	}
}

func directoryWrite(key, changedBy string) store.Write {
	return store.Write{Key: key, Value: []byte(changedBy)}
}

// refreshView updates the view of sessions and partitions. It reads the directory rows and the watched session rows, and
// all sessions or partitions if their directory row has changed or a full read is due.
func (m *Manager) refreshView(ctx context.Context) error {
	rows, err := m.opts.Table.Get(ctx, append([]string{ownersKey, sessionsKey}, m.watchedSessionKeys()...)...)
	if err != nil {
		return err
	}
	var ownersVersion, sessionsVersion uint64
	for len(rows) > 0 && (rows[0].Key == ownersKey || rows[0].Key == sessionsKey) {
		if rows[0].Key == ownersKey {
			ownersVersion = rows[0].Version
		} else {
			sessionsVersion = rows[0].Version
		}
		rows = rows[1:]
	}
	m.mu.Lock()
	m.observeSessions(rows)
	readOwners := ownersVersion != m.ownersRowVersion || m.readDue(m.ownersReadAt, ownersReadRenewals)
	readSessions := sessionsVersion != m.sessionsRowVersion || m.readDue(m.sessionsReadAt, sessionsReadRenewals)
	m.mu.Unlock()
	changed := false
	if readSessions {
		if changed, err = m.readSessions(ctx, sessionsVersion); err != nil {
			return err
		}
	}
	if readOwners {
		ownersChanged, err := m.readOwners(ctx, ownersVersion)
		if err != nil {
			return err
		}
		changed = changed || ownersChanged
	}
	if changed {
		m.opts.Hooks.OwnersChanged()
	}
	return nil
}

// readDue reports whether the given number of renewal intervals has passed since last. Callers hold m.mu.
func (m *Manager) readDue(last time.Time, renewals int) bool {
	return last.IsZero() || m.opts.Clock.Since(last) >= time.Duration(renewals)*m.opts.RenewInterval
}

// readSessions reads all sessions. version is the version of the directory row as read before, so that a change between
// the two reads is seen by the next step.
func (m *Manager) readSessions(ctx context.Context, version uint64) (changed bool, err error) {
	rows, err := m.opts.Table.Scan(ctx, sessionPrefix)
	if err != nil {
		return false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	changed = m.observeSessions(rows)
	changed = m.removeMissingSessions(rows) || changed
	m.sessionsRowVersion, m.sessionsReadAt = version, m.opts.Clock.Now()
	return changed, nil
}

// readOwners reads all partition rows; version is as for readSessions.
func (m *Manager) readOwners(ctx context.Context, version uint64) (changed bool, err error) {
	rows, err := m.opts.Table.Scan(ctx, partitionPrefix)
	if err != nil {
		return false, err
	}
	m.mu.Lock()
	changed = m.observePartitions(rows)
	m.ownersRowVersion, m.ownersReadAt = version, m.opts.Clock.Now()
	lost := m.lostPartitions()
	m.mu.Unlock()
	for _, p := range lost {
		m.opts.Hooks.Lost(p)
	}
	return changed, nil
}

// watchedSessionKeys returns the keys of the session rows that this instance watches: those of the instances that follow it
// in the order of their names.
func (m *Manager) watchedSessionKeys() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, s := range m.sessions {
		if s.ID != m.session.ID {
			names = append(names, s.Instance)
		}
	}
	sort.Strings(names)
	first := sort.SearchStrings(names, m.opts.Instance)
	keys := make([]string, 0, maxWatchedSessions)
	for i := range min(maxWatchedSessions, len(names)) {
		keys = append(keys, sessionPrefix+names[(first+i)%len(names)])
	}
	return keys
}

// observeSessions updates the known sessions and how long each session row has stayed unchanged. It reports whether there
// is a new session. Callers hold m.mu.
func (m *Manager) observeSessions(rows []store.Row) (changed bool) {
	now := m.opts.Clock.Now()
	for _, row := range rows {
		var s Session
		if json.Unmarshal(row.Value, &s) != nil {
			continue
		}
		if known := m.sessions[s.ID]; known != nil && known.version == row.Version {
			known.lastReadAt = now
			continue
		} else if known == nil {
			changed = true
		}
		m.sessions[s.ID] = &sessionRow{Session: s, version: row.Version, unchangedSince: now, lastReadAt: now}
	}
	if changed {
		m.sessionsChangedAt = now
	}
	return changed
}

// removeMissingSessions removes the known sessions that are not among rows. Callers hold m.mu.
func (m *Manager) removeMissingSessions(rows []store.Row) (changed bool) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		var s Session
		if json.Unmarshal(row.Value, &s) == nil {
			present[s.ID] = true
		}
	}
	for id := range m.sessions {
		if !present[id] {
			delete(m.sessions, id)
			changed = true
		}
	}
	if changed {
		m.sessionsChangedAt = m.opts.Clock.Now()
	}
	return changed
}

// expired reports whether a session has ended, or its row has been read unchanged for SessionTTL. Only reads of the row
// count: time without a read does not make a session expire. Callers hold m.mu.
func (m *Manager) expired(id string) bool {
	s := m.sessions[id]
	return s == nil || (id != m.session.ID && s.lastReadAt.Sub(s.unchangedSince) >= m.opts.SessionTTL)
}

// deleteExpiredSessions deletes the rows of expired sessions, so that the next renewals of their instances fail and all
// instances see that their partitions have no owner.
func (m *Manager) deleteExpiredSessions(ctx context.Context) error {
	m.mu.Lock()
	var expired []*sessionRow
	for id, s := range m.sessions {
		if m.expired(id) {
			expired = append(expired, s)
		}
	}
	m.mu.Unlock()
	for _, s := range expired {
		key := sessionPrefix + s.Instance
		_, err := m.commit(ctx, []store.Condition{{Key: key, Version: s.version}},
			[]store.Write{{Key: key, Delete: true}, directoryWrite(sessionsKey, m.opts.Instance)})
		if err != nil && !isConflict(err) {
			return err
		}
		m.mu.Lock()
		delete(m.sessions, s.ID)
		m.sessionsChangedAt = m.opts.Clock.Now()
		m.mu.Unlock()
	}
	if len(expired) > 0 {
		return m.refreshView(ctx)
	}
	return nil
}

// commit applies a transaction. If the outcome is unknown, it reads the first row back to see whether the transaction took
// effect.
func (m *Manager) commit(ctx context.Context, conditions []store.Condition, writes []store.Write) ([]uint64, error) {
	txn := store.Txn{ID: uuid.NewString(), Conditions: conditions, Writes: writes}
	versions, err := m.opts.Table.Commit(ctx, txn)
	if err == nil || !outcomeUnknown(err) {
		return versions, err
	}
	key := writes[0].Key
	rows, readErr := m.opts.Table.Get(ctx, key)
	if readErr == nil && len(rows) == 1 && rows[0].TxnID == txn.ID {
		return m.writtenVersions(ctx, txn)
	}
	return nil, err
}

// writtenVersions returns the versions of the rows that a transaction has written, or 0 for a row that was written again
// since. That may be the directory row, whose version is not needed.
func (m *Manager) writtenVersions(ctx context.Context, txn store.Txn) ([]uint64, error) {
	keys := make([]string, len(txn.Writes))
	for i, w := range txn.Writes {
		keys[i] = w.Key
	}
	rows, err := m.opts.Table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	versions := make([]uint64, len(keys))
	for i, key := range keys {
		for _, row := range rows {
			if row.Key == key && row.TxnID == txn.ID {
				versions[i] = row.Version
			}
		}
	}
	return versions, nil
}

// observePartitions records the owners in rows and reports whether any row is new or has changed. Callers hold m.mu.
func (m *Manager) observePartitions(rows []store.Row) (changed bool) {
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

// lostPartitions removes and returns the partitions whose rows no longer name this session in the served epoch. Callers
// hold m.mu.
func (m *Manager) lostPartitions() []Partition {
	var lost []Partition
	for p, epoch := range m.ownedEpochs {
		if row := m.owners[p]; row.Session != m.session.ID || row.Epoch != epoch {
			delete(m.ownedEpochs, p)
			lost = append(lost, p)
		}
	}
	return lost
}

// candidates returns the live sessions that may acquire partitions. Sessions to avoid are returned only if there are no
// others, so that a false report that instances are leaving never leaves partitions without an owner. Callers hold m.mu.
func (m *Manager) candidates() []*sessionRow {
	var live, avoided []*sessionRow
	for id, s := range m.sessions {
		switch {
		case m.expired(id) || s.Leaving:
		case m.opts.Avoid != nil && m.opts.Avoid(s.Instance):
			avoided = append(avoided, s)
		default:
			live = append(live, s)
		}
	}
	if len(live) == 0 {
		return avoided
	}
	return live
}

// sessionsStable reports whether the set of sessions has not changed for stableRenewals renewal intervals; only then are
// partitions handed over to live instances that rank higher. Callers hold m.mu.
func (m *Manager) sessionsStable() bool {
	return m.opts.Clock.Since(m.sessionsChangedAt) >= stableRenewals*m.opts.RenewInterval
}

// ownerlessFor records whether a partition has no owner and returns for how long that has been so. Callers hold m.mu.
func (m *Manager) ownerlessFor(p Partition, ownerless bool) time.Duration {
	if !ownerless {
		delete(m.ownerlessSince, p)
		return 0
	}
	since, ok := m.ownerlessSince[p]
	if !ok {
		since = m.opts.Clock.Now()
		m.ownerlessSince[p] = since
	}
	return m.opts.Clock.Since(since)
}
