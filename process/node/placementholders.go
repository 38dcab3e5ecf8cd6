package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
)

// The starts of a leader are replicated to each of its holders by a loop of its own, with one update in flight at a time.

const (
	// maxPlacementHolders is the number of instances that hold the starts of a leader: one may be lost together with it.
	maxPlacementHolders = 2
	// placementUpdateTimeout limits the replication of starts to one holder. After that the holder is given up.
	placementUpdateTimeout = 150 * time.Millisecond
	// maxUpdateLateness is the time that this process has lost during an update above which a missing answer says nothing about the holder.
	maxUpdateLateness = 50 * time.Millisecond
	// holderRetryDelay is the time until an instance that has failed may hold starts again, and requiredHolderRetryDelay that of one for which
	// starts wait: without the store no renewal can do without it.
	holderRetryDelay         = 2 * time.Second
	requiredHolderRetryDelay = 200 * time.Millisecond
	// holderContactInterval is the longest time between two updates of a holder, which carry the ends of runs if there are no starts.
	holderContactInterval = 250 * time.Millisecond
	// minContactPause is the shortest pause between two looks at what a holder needs: timers and the clock that counts suspension may differ,
	// so that an update can be due slightly after its timer.
	minContactPause = 2 * time.Millisecond
	// holderContactTimeout is how long a leader sends commands after the last update that each of its holders has answered, so that its
	// successor knows when leases end. Successors add holderContactMargin, for the drift of clocks. While the store answers, a lost holder is
	// left out of the next renewal long before.
	holderContactTimeout = time.Second
	holderContactMargin  = 300 * time.Millisecond
)

// placementHolder is an instance to which the leader replicates its starts.
type placementHolder struct {
	name, address string
	// acked is the sequence number up to which it has the changes; synced means that it has had a snapshot.
	acked  uint64
	synced bool
	// failed means that an update was not answered.
	failed bool
	wake   chan struct{}
	cancel func()
}

// chooseHolders replaces the holders that have failed or left.
func (s *startCover) chooseHolders(ctx context.Context) {
	members := s.leadership.possibleHolders()
	ranked := s.leadership.rankHolders(members)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranked = ranked
	required := s.required()
	s.removeHolders(members, required)
	now := s.leadership.node.opts.Now()
	for _, name := range s.ranked {
		_, needed := required[name]
		if s.holders[name] == nil && now >= s.retryAt[name] && (needed || len(s.holders) < maxPlacementHolders) {
			s.addHolder(ctx, name, members[name].address)
		}
	}
}

// removeHolders removes the holders that have failed or left, and those beyond the limit for which no start waits. Callers hold s.mu.
func (s *startCover) removeHolders(members map[string]member, required map[string]struct{}) {
	now := s.leadership.node.opts.Now()
	preferred := s.preferred()
	for name, h := range s.holders {
		_, needed := required[name]
		m, present := members[name]
		// One that answers updates is there, whether its joins are handled in time or not.
		lost := h.failed || present && m.address != h.address
		if !lost && (needed || len(s.holders) <= maxPlacementHolders || slices.Contains(preferred, name)) {
			continue
		}
		h.cancel()
		delete(s.holders, name)
		s.retryAt[name] = now + holderRetryDelay
		if needed {
			s.retryAt[name] = now + requiredHolderRetryDelay
		}
	}
}

// addHolder begins to replicate to an instance. Callers hold s.mu.
func (s *startCover) addHolder(ctx context.Context, name, address string) {
	ctx, cancel := context.WithCancel(ctx)
	h := &placementHolder{name: name, address: address, wake: make(chan struct{}, 1), cancel: cancel}
	s.holders[name] = h
	go s.leadership.guard(func() { s.replicateTo(ctx, h) })
}

// possibleHolders returns the other instances that have joined lately.
func (l *leadership) possibleHolders() map[string]member {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.node.opts.Now()
	out := map[string]member{}
	for name, m := range l.members {
		if name != l.node.opts.Instance && now-m.joinedAt <= memberTTL {
			out[name] = m
		}
	}
	return out
}

// rankHolders orders instances: those in the availability zone of the leader first, where replication takes least, then larger ones.
func (l *leadership) rankHolders(members map[string]member) []string {
	return slices.SortedFunc(maps.Keys(members), func(a, b string) int {
		zoneA, zoneB := members[a].zone != l.node.opts.Zone, members[b].zone != l.node.opts.Zone
		switch {
		case zoneA != zoneB && zoneB:
			return -1
		case zoneA != zoneB:
			return 1
		}
		return cmp.Or(cmp.Compare(members[b].cpuShare, members[a].cpuShare), cmp.Compare(a, b))
	})
}

// trim drops the changes that all holders have.
func (s *startCover) trim() {
	s.mu.Lock()
	names := nameSet(s.holders)
	upTo := s.ackedByAll(names)
	s.mu.Unlock()
	if len(names) == 0 {
		upTo = s.leadership.core.LastPlacement()
	}
	s.leadership.core.TrimPlacements(upTo)
}

// wake makes the holders get the starts of the last scheduling round.
func (s *startCover) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holders {
		signal(h.wake)
	}
}

// replicateTo replicates the starts to a holder until it fails or ctx ends. Each scheduling round wakes it.
func (s *startCover) replicateTo(ctx context.Context, h *placementHolder) {
	now := s.leadership.node.opts.Now
	due := now()
	for ctx.Err() == nil {
		if update := s.nextUpdate(h, now() >= due); update != nil {
			due = now() + holderContactInterval
			if !s.sendUpdate(ctx, h, update) {
				return
			}
		}
		select {
		case <-h.wake:
		case <-time.After(max(due-now(), minContactPause)):
		case <-ctx.Done():
		}
	}
}

// nextUpdate returns the next update of a holder, or nil if it has all starts and no update is due.
func (s *startCover) nextUpdate(h *placementHolder, due bool) *peerpb.PlacementUpdate {
	core := s.leadership.core
	s.mu.Lock()
	after, synced, covered := h.acked, h.synced, s.confirmed.Epoch
	s.mu.Unlock()
	update := &peerpb.PlacementUpdate{Epoch: s.leadership.epoch, After: after, CoveredEpoch: covered}
	if synced && !due && !core.HasStartsAfter(after) {
		return nil
	}
	if synced {
		changes, last, ok := core.PlacementChanges(after)
		if ok {
			update.Sequence = last
			for _, c := range changes {
				update.Changes = append(update.Changes, placementToProto(c.TaskPlacement, c.Ended))
			}
			return update
		}
	}
	placements, last := core.AllPlacements()
	update.Sequence, update.Snapshot = last, true
	for _, p := range placements {
		update.Changes = append(update.Changes, placementToProto(p, false))
	}
	return update
}

// sendUpdate sends an update to a holder and records the answer. It returns false if the holder has failed.
func (s *startCover) sendUpdate(ctx context.Context, h *placementHolder, update *peerpb.PlacementUpdate) bool {
	sentAt, lost := s.leadership.node.opts.Now(), s.leadership.workers.lateness.lost()
	call, cancel := context.WithTimeout(ctx, placementUpdateTimeout)
	reply, err := s.leadership.node.opts.Peers.Call(call, h.address, &peerpb.Request{Body: &peerpb.Request_PlacementUpdate{PlacementUpdate: update}})
	cancel()
	ack := reply.GetPlacementAck()
	s.mu.Lock()
	switch {
	case ctx.Err() != nil:
		s.mu.Unlock()
		return false
	case err != nil && s.leadership.workers.lateness.lost()-lost >= maxUpdateLateness:
		// The answer may have waited for this process. The update is repeated.
		signal(h.wake)
	case err != nil || ack == nil:
		h.failed = true
	case ack.GetNeedsSnapshot():
		h.synced, h.acked = false, 0
		signal(h.wake)
	default:
		h.synced, h.acked = true, ack.GetSequence()
		s.contactAt[h.name] = sentAt
	}
	failed := h.failed
	s.mu.Unlock()
	if failed {
		s.leadership.node.opts.Log.WithFields(map[string]any{
			"event": "placement_holder_lost", "epoch": s.leadership.epoch, "holder": h.name, "error": errText(err),
		}).Info("an instance does not hold the starts of the leader any longer")
	}
	s.updateGate()
	return !failed
}
