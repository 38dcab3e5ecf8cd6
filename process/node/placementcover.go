package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/version/cell"
)

// The leader replicates each start to a few instances before it sends it, and its renewals name these holders. A successor relies on the renewal
// that its takeover is conditional on: each holder that it names has every start that was sent. So the leader waits for a holder until a
// renewal without it is durable, and for a new one from before the renewal that names it. A renewal that names none says that starts may have
// been sent that nobody holds.

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
	// coverTimeout is how long a new leader that knows the starts of its predecessor waits for holders of its own before it sends starts that
	// nobody holds.
	coverTimeout = 300 * time.Millisecond
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

// placementCover says which instances hold the starts of a leader.
type placementCover struct {
	// Epoch is that of the leader. All leaders after it have sent no starts.
	Epoch uint64 `json:"epoch"`
	// Holders are the addresses of the instances by name.
	Holders map[string]string `json:"holders"`
}

// placementCoverField is the field of the leader row and its renewals with the cover; nil if starts may have been sent that nobody holds. A
// leader of an earlier program does not write it.
type placementCoverField struct {
	Placements *placementCover `json:"placements,omitempty"`
}

func newPlacementCoverField(cover placementCover) placementCoverField {
	if cover.Epoch == 0 {
		return placementCoverField{}
	}
	return placementCoverField{&cover}
}

// placementCover returns who holds the starts of the last leader that has sent any.
func (v leaderView) placementCover() placementCover {
	field := v.row.placementCoverField
	if v.isRenewed() {
		field = v.renewal.placementCoverField
	}
	if field.Placements == nil {
		return placementCover{}
	}
	return *field.Placements
}

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

// startCover replicates the starts of a leadership and decides which may be sent.
//
// Locking: gateMu is held while the gate is determined and passed on, so that the latest one stays. mu protects the fields below it; it may be
// acquired while gateMu is held, and is not held during a call.
type startCover struct {
	leadership *leadership
	gateMu     sync.Mutex

	mu sync.Mutex
	// confirmed is the cover in the last durable renewal, at first that of the leader row.
	confirmed placementCover
	// attempted are the holders in renewals since then that may be durable. inFlight is the cover in the renewal that is written.
	attempted map[string]struct{}
	inFlight  placementCover
	// proposed is the cover that is to be published, once its holders have every start up to proposedSequence; nil for none. Until gated is
	// set, starts may be sent without them.
	proposed         *placementCover
	proposedSequence uint64
	gated            bool
	holders          map[string]*placementHolder
	// ranked are the names of the instances that may hold starts, the preferred ones first.
	ranked []string
	// contactAt is when the last update was sent that an instance has answered.
	contactAt map[string]cell.Instant
	// retryAt is when an instance that has failed may hold starts again.
	retryAt map[string]cell.Instant
	// begun is set when the rows are loaded, at begunAt. known means that the starts of former leaders were read.
	begun   bool
	begunAt cell.Instant
	known   bool
}

func newStartCover(l *leadership, inherited placementCover) *startCover {
	return &startCover{
		leadership: l, confirmed: inherited, inFlight: inherited, attempted: map[string]struct{}{}, holders: map[string]*placementHolder{},
		contactAt: map[string]cell.Instant{}, retryAt: map[string]cell.Instant{},
	}
}

// begin records that the rows are loaded, and whether the starts of former leaders are known.
func (s *startCover) begin(known bool) {
	s.mu.Lock()
	s.begun, s.begunAt, s.known = true, s.leadership.node.opts.Now(), known
	s.mu.Unlock()
	s.updateGate()
}

// required returns the holders that must have a start before it is sent. Callers hold s.mu.
func (s *startCover) required() map[string]struct{} {
	out := maps.Clone(s.attempted)
	if s.confirmed.Epoch == s.leadership.epoch {
		for name := range s.confirmed.Holders {
			out[name] = struct{}{}
		}
	}
	if s.proposed != nil {
		for name := range s.proposed.Holders {
			out[name] = struct{}{}
		}
	}
	return out
}

// gate returns which starts may be sent. Callers hold s.mu.
func (s *startCover) gate() cell.CommandGate {
	if s.confirmed.Epoch != 0 && s.confirmed.Epoch != s.leadership.epoch {
		// A successor would ask for the starts of a former leader, and none of this one.
		return cell.CommandGate{Closed: true}
	}
	required := s.required()
	if len(required) == 0 {
		return cell.CommandGate{Open: true}
	}
	return cell.CommandGate{Held: s.ackedByAll(required), Until: s.lastContact(required) + holderContactTimeout}
}

// lastContact returns the time up to which all of the holders have answered. Callers hold s.mu.
func (s *startCover) lastContact(names map[string]struct{}) cell.Instant {
	last := s.leadership.node.opts.Now()
	for name := range names {
		last = min(last, s.contactAt[name])
	}
	return last
}

// ackedByAll returns the sequence number up to which all of the holders have the changes. Callers hold s.mu.
func (s *startCover) ackedByAll(names map[string]struct{}) uint64 {
	first := true
	lowest := uint64(0)
	for name := range names {
		acked := uint64(0)
		if h := s.holders[name]; h != nil && h.synced {
			acked = h.acked
		}
		if first || acked < lowest {
			lowest, first = acked, false
		}
	}
	return lowest
}

// updateGate passes the gate to the scheduler.
func (s *startCover) updateGate() {
	s.gateMu.Lock()
	defer s.gateMu.Unlock()
	s.mu.Lock()
	gate := s.gate()
	s.mu.Unlock()
	s.leadership.core.SetCommandGate(gate)
}

// field returns the cover for a renewal that is written now.
func (s *startCover) field() placementCoverField {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = s.confirmed
	if s.mayPublish() {
		s.inFlight = *s.proposed
	}
	for name := range s.inFlight.Holders {
		if s.inFlight.Epoch == s.leadership.epoch {
			s.attempted[name] = struct{}{}
		}
	}
	return newPlacementCoverField(s.inFlight)
}

// mayPublish reports whether the holders of the proposed cover have every start that was sent before it was proposed. Callers hold s.mu.
func (s *startCover) mayPublish() bool {
	if s.proposed == nil || !s.gated {
		return false
	}
	names := map[string]struct{}{}
	for name := range s.proposed.Holders {
		names[name] = struct{}{}
	}
	return len(names) == 0 || s.ackedByAll(names) >= s.proposedSequence && s.allSynced(names)
}

// allSynced reports whether all of the holders have had a snapshot. Callers hold s.mu.
func (s *startCover) allSynced(names map[string]struct{}) bool {
	for name := range names {
		if h := s.holders[name]; h == nil || !h.synced {
			return false
		}
	}
	return true
}

// isRenewalDue reports whether a cover waits to be published.
func (s *startCover) isRenewalDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mayPublish()
}

// renewalStored records that the renewal with the cover in flight is durable.
func (s *startCover) renewalStored() {
	s.mu.Lock()
	cover := s.inFlight
	changed := !s.confirmed.equal(cover)
	s.confirmed = cover
	clear(s.attempted)
	if s.proposed != nil && s.proposed.equal(cover) {
		s.proposed = nil
	}
	s.mu.Unlock()
	if changed {
		l := s.leadership
		l.node.opts.Log.WithFields(map[string]any{
			"event": "placement_holders", "epoch": l.epoch, "of_epoch": cover.Epoch, "holders": slices.Sorted(maps.Keys(cover.Holders)),
		}).Info("instances that hold the starts of the leader")
	}
	s.updateGate()
}

func (c placementCover) equal(other placementCover) bool {
	return c.Epoch == other.Epoch && maps.Equal(c.Holders, other.Holders)
}

// run chooses holders and proposes covers until ctx ends.
func (s *startCover) run(ctx context.Context) {
	for pause(ctx, memberCheckInterval) {
		s.chooseHolders(ctx)
		if s.propose() {
			s.updateGate()
			s.recordGated()
		}
		s.updateGate()
		s.trim()
	}
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

// preferred returns the holders that the cover should name. Callers hold s.mu.
func (s *startCover) preferred() []string {
	var names []string
	for _, name := range s.ranked {
		if h := s.holders[name]; h != nil && h.synced && !h.failed && len(names) < maxPlacementHolders {
			names = append(names, name)
		}
	}
	return names
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

// propose decides which cover is to be published next. It reports whether that has changed.
func (s *startCover) propose() bool {
	complete := s.leadership.core.ArePlacementsComplete()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun {
		return false
	}
	wanted := s.wanted(complete)
	if wanted.equal(s.confirmed) && len(s.attempted) == 0 {
		s.proposed = nil
		return false
	}
	if s.proposed != nil && s.proposed.equal(wanted) {
		return false
	}
	s.proposed, s.gated = &wanted, false
	return true
}

// recordGated records that from now on starts wait for the holders of the proposed cover. Those that were sent before have lower numbers.
func (s *startCover) recordGated() {
	last := s.leadership.core.LastPlacement()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proposedSequence, s.gated = last, true
}

// wanted returns the cover that the leadership should have. Callers hold s.mu.
func (s *startCover) wanted(complete bool) placementCover {
	own := placementCover{Epoch: s.leadership.epoch, Holders: map[string]string{}}
	for _, name := range s.preferred() {
		own.Holders[name] = s.holders[name].address
	}
	switch {
	case complete && len(own.Holders) > 0:
		return own
	case s.confirmed.Epoch == 0:
		return s.confirmed
	case s.confirmed.Epoch != s.leadership.epoch && s.known && s.leadership.node.opts.Now() < s.begunAt+coverTimeout:
		return s.confirmed
	default:
		return placementCover{}
	}
}

// trim drops the changes that all holders have.
func (s *startCover) trim() {
	s.mu.Lock()
	names := map[string]struct{}{}
	for name := range s.holders {
		names[name] = struct{}{}
	}
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
