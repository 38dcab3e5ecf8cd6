package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/version/cell"
)

// The leader replicates each start to a few instances before it sends it, and its renewals name these holders. A successor relies on the renewal
// that its takeover is conditional on: each holder that it names has every start that was sent. So the leader waits for a holder until a
// renewal without it is durable, and for a new one from before the renewal that names it. A renewal that names none says that starts may have
// been sent that nobody holds.

// coverTimeout is how long a new leader that knows the starts of its predecessor waits for holders of its own before it sends starts that
// nobody holds.
const coverTimeout = 300 * time.Millisecond

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
		maps.Copy(out, nameSet(s.confirmed.Holders))
	}
	if s.proposed != nil {
		maps.Copy(out, nameSet(s.proposed.Holders))
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
	if s.inFlight.Epoch == s.leadership.epoch {
		maps.Copy(s.attempted, nameSet(s.inFlight.Holders))
	}
	return newPlacementCoverField(s.inFlight)
}

// mayPublish reports whether the holders of the proposed cover have every start that was sent before it was proposed. Callers hold s.mu.
func (s *startCover) mayPublish() bool {
	if s.proposed == nil || !s.gated {
		return false
	}
	names := nameSet(s.proposed.Holders)
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

// nameSet returns the keys of a map by instance name.
func nameSet[V any](byName map[string]V) map[string]struct{} {
	out := make(map[string]struct{}, len(byName))
	for name := range byName {
		out[name] = struct{}{}
	}
	return out
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
