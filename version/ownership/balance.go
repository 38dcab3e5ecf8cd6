package ownership

import (
	"context"
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/platform"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// takeBatch bounds the partitions of one transaction.
	takeBatch = 16
	// moveBatch bounds the partitions that one step moves to another live instance.
	moveBatch = 4
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

// move is a partition with its row and the session that should have it.
type move struct {
	partition Partition
	row       ownerRow
	to        Session
}

// balance takes ownerless partitions and hands those over that another live instance should own.
func (m *Manager) balance(ctx context.Context) error {
	take, give := m.choose()
	for len(take) > 0 {
		n := min(takeBatch, len(take))
		if err := m.take(ctx, take[:n]); err != nil && !isConflict(err) {
			return err
		}
		take = take[n:]
	}
	for _, g := range give {
		if err := m.handOver(ctx, g); err != nil && !isConflict(err) {
			return err
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
		case m.draining || place < 0:
		case row.Session == m.session.ID && !have:
			take = append(take, move{p, row, m.session})
		case ownerless && int64(waited) >= int64(place)*2*int64(m.opts.RenewEvery) && m.reachable(p):
			take = append(take, move{p, row, m.session})
		case have && place > 0 && len(give) < moveBatch && m.settled():
			give = append(give, move{p, row, order[0].Session})
		}
	}
	return take, give
}

// take raises the epochs of partitions in one transaction. A partition that its former owner has handed to this session
// is served in the epoch that the hand-over has raised.
func (m *Manager) take(ctx context.Context, batch []move) error {
	m.mu.Lock()
	s, sessionVersion := m.session, m.row
	var rest []move
	for _, t := range batch {
		if t.row.Session == s.ID && t.row.Epoch > m.dropped[t.partition] {
			m.mine[t.partition] = t.row.Epoch
			defer m.acquired(t.partition, t.row)
			continue
		}
		rest = append(rest, t)
	}
	m.mu.Unlock()
	if len(rest) == 0 {
		return nil
	}
	conditions := []platform.Condition{{Key: sessionPrefix + s.Instance, Version: sessionVersion}}
	var writes []platform.Write
	for i, t := range rest {
		key := partitionPrefix + t.partition.String()
		conditions = append(conditions, platform.Condition{Key: key, Version: t.row.version})
		rest[i].row.Owner = Owner{Session: s.ID, Address: s.Address, Epoch: t.row.Epoch + 1}
		data, err := json.Marshal(rest[i].row.Owner)
		if err != nil {
			return err
		}
		writes = append(writes, platform.Write{Key: key, Value: data})
	}
	versions, err := m.commit(ctx, conditions, append(writes, directoryWrite(s.Instance)))
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
	m.directory = 0
}

// handOver stops serving a partition and then, in one transaction, names its successor and raises its epoch. Without a
// successor the partition becomes ownerless.
func (m *Manager) handOver(ctx context.Context, g move) error {
	m.mu.Lock()
	delete(m.mine, g.partition)
	m.dropped[g.partition] = g.row.Epoch
	m.mu.Unlock()
	m.opts.Hooks.Lost(g.partition)
	owner := Owner{Epoch: g.row.Epoch}
	if g.to.ID != "" {
		owner = Owner{Session: g.to.ID, Address: g.to.Address, Epoch: g.row.Epoch + 1}
	}
	data, err := json.Marshal(owner)
	if err != nil {
		return err
	}
	key := partitionPrefix + g.partition.String()
	versions, err := m.commit(ctx, []platform.Condition{{Key: key, Version: g.row.version}},
		[]platform.Write{{Key: key, Value: data}, directoryWrite(m.opts.Instance)})
	if err != nil {
		m.forceRead()
		return err
	}
	m.mu.Lock()
	m.owners[g.partition] = ownerRow{Owner: owner, version: versions[0]}
	m.mu.Unlock()
	m.opts.Log.WithFields(logrus.Fields{"partition": g.partition.String(), "epoch": owner.Epoch}).Info("partition handed over")
	return nil
}

// Drain hands all partitions over to the instances that should own them and ends the session, for a graceful shutdown.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	live := m.candidates()
	var give []move
	for p := range m.mine {
		var to Session
		for _, w := range ranked(p, m.region(p), live) {
			if w.ID != m.session.ID {
				to = w.Session
				break
			}
		}
		give = append(give, move{p, m.owners[p], to})
	}
	m.mu.Unlock()
	for _, g := range give {
		if err := m.handOver(ctx, g); err != nil && !isConflict(err) {
			return err
		}
	}
	m.mu.Lock()
	key, version := sessionPrefix+m.opts.Instance, m.row
	m.mu.Unlock()
	_, err := m.commit(ctx, []platform.Condition{{Key: key, Version: version}},
		[]platform.Write{{Key: key, Delete: true}, directoryWrite(m.opts.Instance)})
	return err
}

// unknown reports whether a transaction may have taken effect.
func unknown(err error) bool { return verdict.Of(err) == verdict.MayHaveRun }
