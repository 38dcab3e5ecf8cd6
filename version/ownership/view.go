package ownership

import (
	"context"
	"encoding/json"

	"github.com/lentiltide/lentiltide/store"
)

// ReadSessions reads all session rows from the table, including those of expired sessions.
func (m *Manager) ReadSessions(ctx context.Context) ([]Session, error) {
	rows, err := m.opts.Table.Scan(ctx, sessionPrefix)
	if err != nil {
		return nil, err
	}
	sessions := make([]Session, 0, len(rows))
	for _, row := range rows {
		var s Session
		if err := json.Unmarshal(row.Value, &s); err != nil {
			return nil, err
		}
		sessions = append(sessions, s)
	}
	return sessions, nil
}

// SessionExpired reports whether this instance has read the row of a session unchanged for Options.SessionTTL.
func (m *Manager) SessionExpired(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[id] != nil && m.expired(id)
}

// RefreshOwner reads the owner of one partition from the table, between the periodic reads. It neither acquires a partition nor
// reports one as lost.
func (m *Manager) RefreshOwner(ctx context.Context, p Partition) error {
	rows, err := m.opts.Table.Get(ctx, partitionPrefix+p.String())
	if err != nil {
		return err
	}
	if m.recordOwners(rows) {
		m.opts.Hooks.OwnersChanged()
	}
	return nil
}

// recordOwners records the rows of partitions that this session does not serve; the rows of the others are left to Step.
func (m *Manager) recordOwners(rows []store.Row) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	var notOwned []store.Row
	for _, row := range rows {
		p, ok := parsePartition(row.Key[len(partitionPrefix):])
		if _, owned := m.ownedEpochs[p]; ok && !owned {
			notOwned = append(notOwned, row)
		}
	}
	return m.observePartitions(notOwned)
}

// VerifyOwnership reads the row of a partition and reports whether this session still owns it in the epoch in which it serves it.
func (m *Manager) VerifyOwnership(ctx context.Context, p Partition) (bool, error) {
	rows, err := m.opts.Table.Get(ctx, partitionPrefix+p.String())
	if err != nil {
		return false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, owned := m.ownedEpochs[p]
	return owned && len(rows) == 1 && rows[0].Version == m.owners[p].version, nil
}
