package ownership

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
)

const (
	// maxAcquireBatch is the maximum number of partitions that one transaction acquires.
	maxAcquireBatch = 16
	// maxReleasesPerStep is the maximum number of partitions that one step hands over to other live instances.
	maxReleasesPerStep = 16
)

// rankSessions returns the sessions in order of preference as owner of a partition: those in the given region first, then
// by rendezvous hash of instance and partition.
func rankSessions(p Partition, region string, live []*sessionRow) []*sessionRow {
	weight := make(map[string]uint64, len(live))
	for _, s := range live {
		weight[s.ID] = xxhash.Sum64String(s.Instance + "|" + p.String())
	}
	order := append([]*sessionRow(nil), live...)
	sort.Slice(order, func(i, j int) bool {
		iInRegion, jInRegion := order[i].Region == region, order[j].Region == region
		if region != "" && iInRegion != jInRegion {
			return iInRegion
		}
		return weight[order[i].ID] > weight[order[j].ID]
	})
	return order
}

// rankOf returns the index of a session in order, or -1.
func rankOf(order []*sessionRow, id string) int {
	for i, s := range order {
		if s.ID == id {
			return i
		}
	}
	return -1
}

func (m *Manager) region(p Partition) string {
	if p.Kind != KindRack || m.opts.RegionOf == nil {
		return ""
	}
	return m.opts.RegionOf(p.Name)
}

func (m *Manager) reachable(p Partition) bool {
	return p.Kind != KindRack || m.opts.Reachable == nil || m.opts.Reachable(p.Name)
}

// ownershipChange is a partition to acquire or release, with its row as last read.
type ownershipChange struct {
	partition Partition
	row       ownerRow
}

// balance acquires ownerless partitions and hands over those that another live instance should own.
func (m *Manager) balance(ctx context.Context) error {
	toAcquire, toRelease := m.selectChanges()
	for len(toAcquire) > 0 {
		n := min(maxAcquireBatch, len(toAcquire))
		if err := m.acquire(ctx, toAcquire[:n]); err != nil && !isConflict(err) {
			return err
		}
		toAcquire = toAcquire[n:]
	}
	return m.handOver(ctx, toRelease)
}

const (
	// handOverPollInterval is the time between calls of Hooks.ReadyToHandOver for a busy partition; handOverTimeout limits how
	// long one step retries, so that the next session renewal is not delayed.
	handOverPollInterval = 20 * time.Millisecond
	handOverTimeout      = 600 * time.Millisecond
)

// handOver releases partitions to other instances. Busy partitions are retried for up to handOverTimeout, since the first
// call of Hooks.ReadyToHandOver makes them pause new requests; those that are still busy then are left to a later step.
func (m *Manager) handOver(ctx context.Context, pending []ownershipChange) error {
	startedAt := m.opts.Clock.Now()
	for len(pending) > 0 {
		var stillBusy []ownershipChange
		for _, c := range pending {
			if !m.opts.Hooks.ReadyToHandOver(c.partition) {
				stillBusy = append(stillBusy, c)
				continue
			}
			if err := m.release(ctx, c); err != nil && !isConflict(err) {
				return err
			}
		}
		pending = stillBusy
		if len(pending) == 0 || m.opts.Clock.Since(startedAt) >= handOverTimeout {
			return nil
		}
		select {
		case <-m.opts.Clock.After(handOverPollInterval):
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// selectChanges returns the partitions to acquire and those to hand over. The session that ranks first for a partition
// acquires it at once; each lower rank waits longer, in case the sessions before it cannot reach the partition's workers.
func (m *Manager) selectChanges() (toAcquire, toRelease []ownershipChange) {
	partitions := m.opts.Partitions()
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.candidates()
	m.resolveAcquisitions()
	for _, p := range partitions {
		row := m.owners[p]
		_, owned := m.ownedEpochs[p]
		order := rankSessions(p, m.region(p), live)
		rank := rankOf(order, m.session.ID)
		ownerlessTime := m.ownerlessFor(p, row.Session == "" || m.expired(row.Session))
		_, ownerless := m.ownerlessSince[p]
		switch {
		case m.draining || len(order) == 0:
		case owned && rank < 0 && len(toRelease) < maxReleasesPerStep:
			// This session is no candidate: the instance is about to be stopped.
			toRelease = append(toRelease, ownershipChange{p, row})
		case rank < 0:
		case row.Session == m.session.ID && !owned:
			toAcquire = append(toAcquire, ownershipChange{p, row})
		case ownerless && int64(ownerlessTime) >= int64(rank)*2*int64(m.opts.RenewInterval) && m.reachable(p):
			toAcquire = append(toAcquire, ownershipChange{p, row})
		case owned && rank > 0 && len(toRelease) < maxReleasesPerStep && m.sessionsStable():
			toRelease = append(toRelease, ownershipChange{p, row})
		}
	}
	return toAcquire, toRelease
}

// resolveAcquisitions forgets the acquisitions without an answer that have not taken effect according to the rows as last
// read. Callers hold m.mu.
func (m *Manager) resolveAcquisitions() {
	for p := range m.acquiring {
		if m.owners[p].Session != m.session.ID {
			delete(m.acquiring, p)
		}
	}
}

// acquire raises the epochs of partitions in one transaction. If a row already names this session, because the reply to an
// earlier acquisition was lost, the partition is served in that epoch, unless the session has released that epoch since.
func (m *Manager) acquire(ctx context.Context, batch []ownershipChange) error {
	m.mu.Lock()
	s, sessionVersion := m.session, m.sessionVersion
	var unowned, alreadyOwned []ownershipChange
	for _, c := range batch {
		if c.row.Session == s.ID && c.row.Epoch > m.releasedEpochs[c.partition] {
			m.ownedEpochs[c.partition] = c.row.Epoch
			delete(m.acquiring, c.partition)
			alreadyOwned = append(alreadyOwned, c)
			continue
		}
		m.acquiring[c.partition] = struct{}{}
		unowned = append(unowned, c)
	}
	m.mu.Unlock()
	for _, c := range alreadyOwned {
		m.notifyAcquired(c.partition, c.row)
	}
	if len(unowned) == 0 {
		return nil
	}
	conditions := []store.Condition{{Key: sessionPrefix + s.Instance, Version: sessionVersion}}
	var writes []store.Write
	for i, c := range unowned {
		key := partitionPrefix + c.partition.String()
		conditions = append(conditions, store.Condition{Key: key, Version: c.row.version})
		unowned[i].row.Owner = Owner{Session: s.ID, Address: s.Address, Epoch: c.row.Epoch + 1}
		data, err := json.Marshal(unowned[i].row.Owner)
		if err != nil {
			return err
		}
		writes = append(writes, store.Write{Key: key, Value: data})
	}
	versions, err := m.commit(ctx, conditions, append(writes, directoryWrite(ownersKey, s.Instance)))
	if err != nil {
		if !outcomeUnknown(err) {
			m.forgetAcquisitions(unowned)
		}
		m.forceFullRead()
		return err
	}
	for i, c := range unowned {
		c.row.version = versions[i]
		m.mu.Lock()
		m.owners[c.partition] = c.row
		m.ownedEpochs[c.partition] = c.row.Epoch
		delete(m.acquiring, c.partition)
		delete(m.ownerlessSince, c.partition)
		m.mu.Unlock()
		m.notifyAcquired(c.partition, c.row)
	}
	return nil
}

// forgetAcquisitions records that an acquisition has not taken effect.
func (m *Manager) forgetAcquisitions(batch []ownershipChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range batch {
		delete(m.acquiring, c.partition)
	}
}

func (m *Manager) notifyAcquired(p Partition, row ownerRow) {
	m.opts.Log.WithFields(logrus.Fields{"partition": p.String(), "epoch": row.Epoch}).Info("acquired partition")
	m.opts.Hooks.Acquired(p, row.Epoch, row.version)
}

// forceFullRead makes the next step read all partition rows.
func (m *Manager) forceFullRead() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownersRowVersion = 0
}

// release stops serving a partition and then clears the owner in its row; the next owner raises the epoch.
func (m *Manager) release(ctx context.Context, c ownershipChange) error {
	m.mu.Lock()
	delete(m.ownedEpochs, c.partition)
	m.releasedEpochs[c.partition] = c.row.Epoch
	m.mu.Unlock()
	handoverState := m.opts.Hooks.Release(c.partition)
	owner := Owner{Epoch: c.row.Epoch}
	data, err := json.Marshal(owner)
	if err != nil {
		return err
	}
	key := partitionPrefix + c.partition.String()
	writes := []store.Write{{Key: key, Value: data}, directoryWrite(ownersKey, m.opts.Instance)}
	if handoverState != nil {
		writes = append(writes, *handoverState)
	}
	versions, err := m.commit(ctx, []store.Condition{{Key: key, Version: c.row.version}}, writes)
	if err != nil {
		m.forceFullRead()
		return err
	}
	m.mu.Lock()
	m.owners[c.partition] = ownerRow{Owner: owner, version: versions[0]}
	m.mu.Unlock()
	m.opts.Log.WithFields(logrus.Fields{"partition": c.partition.String(), "epoch": owner.Epoch}).Info("released partition")
	return nil
}

// Drain releases all partitions and deletes the session row, for a graceful shutdown.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	select {
	case m.stepLock <- struct{}{}:
		defer func() { <-m.stepLock }()
	case <-ctx.Done():
		return ctx.Err()
	}
	m.sessionEnded = true
	m.mu.Lock()
	clear(m.acquiring)
	var owned []ownershipChange
	for p := range m.ownedEpochs {
		owned = append(owned, ownershipChange{p, m.owners[p]})
	}
	m.mu.Unlock()
	for _, c := range owned {
		if err := m.release(ctx, c); err != nil && !isConflict(err) {
			return err
		}
	}
	m.mu.Lock()
	key, version := sessionPrefix+m.opts.Instance, m.sessionVersion
	m.mu.Unlock()
	_, err := m.commit(ctx, []store.Condition{{Key: key, Version: version}},
		[]store.Write{{Key: key, Delete: true}, directoryWrite(sessionsKey, m.opts.Instance)})
	return err
}

// outcomeUnknown reports whether a transaction that returned err may have taken effect.
func outcomeUnknown(err error) bool { return verdict.Of(err) == verdict.MayHaveRun }
