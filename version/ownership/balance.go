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
	// takeBatch bounds the partitions of one transaction.
	takeBatch = 16
	// moveBatch bounds the partitions that one step releases for another live instance.
	moveBatch = 16
)

// ranked returns the sessions in the order in which they should own a partition: the region of the rack first, then by
// rendezvous hash of instance and partition.
func ranked(p Partition, region string, live []*watchedSession) []*watchedSession {
	weight := make(map[string]uint64, len(live))
	for _, w := range live {
		weight[w.ID] = xxhash.Sum64String(w.Instance + "|" + p.String())
	}
	order := append([]*watchedSession(nil), live...)
	sort.Slice(order, func(i, j int) bool {
		near, far := order[i].Region == region, order[j].Region == region
		if region != "" && near != far {
			return near
		}
		return weight[order[i].ID] > weight[order[j].ID]
	})
	return order
}

// rank returns the place of a session in an order, or -1.
func rank(order []*watchedSession, id string) int {
	for i, w := range order {
		if w.ID == id {
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

// move is a partition with its row.
type move struct {
	partition Partition
	row       ownerRow
}

// balance takes ownerless partitions and releases those that another live instance should own.
func (m *Manager) balance(ctx context.Context) error {
	take, give := m.choose()
	for len(take) > 0 {
		n := min(takeBatch, len(take))
		if err := m.take(ctx, take[:n]); err != nil && !isConflict(err) {
			return err
		}
		take = take[n:]
	}
	return m.give(ctx, give)
}

const (
	// yieldCheck is the time between two questions whether a partition may move; yieldLimit bounds the time that one step
	// waits for that, which must leave room for the next renewal.
	yieldCheck = 20 * time.Millisecond
	yieldLimit = 600 * time.Millisecond
)

// give hands partitions over. Those that are busy are asked again for a short time, since each takes no requests from the
// first question on; what is still busy then is left to a later step.
func (m *Manager) give(ctx context.Context, busy []move) error {
	began := m.opts.Clock.Now()
	for len(busy) > 0 {
		var later []move
		for _, g := range busy {
			if !m.opts.Hooks.Yield(g.partition) {
				later = append(later, g)
				continue
			}
			if err := m.release(ctx, g); err != nil && !isConflict(err) {
				return err
			}
		}
		busy = later
		if len(busy) == 0 || m.opts.Clock.Since(began) >= yieldLimit {
			return nil
		}
		select {
		case <-m.opts.Clock.After(yieldCheck):
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// choose returns the partitions to take and those to hand over. The first in the order of a partition takes it at once;
// each further one waits longer, in case the earlier ones cannot reach its workers.
func (m *Manager) choose() (take, give []move) {
	partitions := m.opts.Partitions()
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.candidates()
	for _, p := range partitions {
		row := m.owners[p]
		_, have := m.mine[p]
		order := ranked(p, m.region(p), live)
		place := rank(order, m.session.ID)
		waited := m.ownerlessFor(p, row.Session == "" || m.expired(row.Session))
		_, ownerless := m.ownerless[p]
		switch {
		case m.draining || len(order) == 0:
		case have && place < 0 && len(give) < moveBatch:
			// This instance is about to be stopped.
			give = append(give, move{p, row})
		case place < 0:
		case row.Session == m.session.ID && !have:
			take = append(take, move{p, row})
		case ownerless && int64(waited) >= int64(place)*2*int64(m.opts.RenewEvery) && m.reachable(p):
			take = append(take, move{p, row})
		case have && place > 0 && len(give) < moveBatch && m.settled():
			give = append(give, move{p, row})
		}
	}
	return take, give
}

// take raises the epochs of partitions in one transaction. A partition whose row names this session, because the answer to
// an earlier take was lost, is served in that epoch, unless the session has given the epoch up since.
func (m *Manager) take(ctx context.Context, batch []move) error {
	m.mu.Lock()
	s, sessionVersion := m.session, m.row
	var rest, given []move
	for _, t := range batch {
		if t.row.Session == s.ID && t.row.Epoch > m.dropped[t.partition] {
			m.mine[t.partition] = t.row.Epoch
			given = append(given, t)
			continue
		}
		rest = append(rest, t)
	}
	m.mu.Unlock()
	for _, t := range given {
		m.acquired(t.partition, t.row)
	}
	if len(rest) == 0 {
		return nil
	}
	conditions := []store.Condition{{Key: sessionPrefix + s.Instance, Version: sessionVersion}}
	var writes []store.Write
	for i, t := range rest {
		key := partitionPrefix + t.partition.String()
		conditions = append(conditions, store.Condition{Key: key, Version: t.row.version})
		rest[i].row.Owner = Owner{Session: s.ID, Address: s.Address, Epoch: t.row.Epoch + 1}
		data, err := json.Marshal(rest[i].row.Owner)
		if err != nil {
			return err
		}
		writes = append(writes, store.Write{Key: key, Value: data})
	}
	versions, err := m.commit(ctx, conditions, append(writes, directoryWrite(ownersKey, s.Instance)))
	if err != nil {
		m.forceRead()
		return err
	}
	for i, t := range rest {
		t.row.version = versions[i]
		m.mu.Lock()
		m.owners[t.partition] = t.row
		m.mine[t.partition] = t.row.Epoch
		delete(m.ownerless, t.partition)
		m.mu.Unlock()
		m.acquired(t.partition, t.row)
	}
	return nil
}

func (m *Manager) acquired(p Partition, row ownerRow) {
	m.opts.Log.WithFields(logrus.Fields{"partition": p.String(), "epoch": row.Epoch}).Info("partition taken")
	m.opts.Hooks.Acquired(p, row.Epoch, row.version)
}

// forceRead makes the next step read all rows.
func (m *Manager) forceRead() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownersRow = 0
}

// release stops serving a partition and then gives it up; the next owner raises its epoch.
func (m *Manager) release(ctx context.Context, g move) error {
	m.mu.Lock()
	delete(m.mine, g.partition)
	m.dropped[g.partition] = g.row.Epoch
	m.mu.Unlock()
	left := m.opts.Hooks.Release(g.partition)
	owner := Owner{Epoch: g.row.Epoch}
	data, err := json.Marshal(owner)
	if err != nil {
		return err
	}
	key := partitionPrefix + g.partition.String()
	writes := []store.Write{{Key: key, Value: data}, directoryWrite(ownersKey, m.opts.Instance)}
	if left != nil {
		writes = append(writes, *left)
	}
	versions, err := m.commit(ctx, []store.Condition{{Key: key, Version: g.row.version}}, writes)
	if err != nil {
		m.forceRead()
		return err
	}
	m.mu.Lock()
	m.owners[g.partition] = ownerRow{Owner: owner, version: versions[0]}
	m.mu.Unlock()
	m.opts.Log.WithFields(logrus.Fields{"partition": g.partition.String(), "epoch": owner.Epoch}).Info("partition released")
	return nil
}

// Drain releases all partitions and ends the session, for a graceful shutdown.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	select {
	case m.stepping <- struct{}{}:
		defer func() { <-m.stepping }()
	case <-ctx.Done():
		return ctx.Err()
	}
	m.ended = true
	m.mu.Lock()
	var give []move
	for p := range m.mine {
		give = append(give, move{p, m.owners[p]})
	}
	m.mu.Unlock()
	for _, g := range give {
		if err := m.release(ctx, g); err != nil && !isConflict(err) {
			return err
		}
	}
	m.mu.Lock()
	key, version := sessionPrefix+m.opts.Instance, m.row
	m.mu.Unlock()
	_, err := m.commit(ctx, []store.Condition{{Key: key, Version: version}},
		[]store.Write{{Key: key, Delete: true}, directoryWrite(sessionsKey, m.opts.Instance)})
	return err
}

// unknown reports whether a transaction may have taken effect.
func unknown(err error) bool { return verdict.Of(err) == verdict.MayHaveRun }
