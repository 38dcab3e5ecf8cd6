package node

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// newTestCover returns the cover of a leadership of epoch 5, whose rows are loaded, and its clock.
func newTestCover(inherited placementCover, known bool) (*startCover, *cell.Instant) {
	now := time.Hour
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{opts: Options{Instance: "self", Log: logrus.NewEntry(log), Now: func() cell.Instant { return now }}}
	l := &leadership{node: n, epoch: 5, inherited: inherited, members: map[string]member{}}
	l.core = cell.New(cell.Options{Epoch: 5, LeaseDuration: 4 * time.Second, Retention: time.Hour}, now)
	if err := l.core.LoadFleetRecord(now); err != nil {
		panic(err)
	}
	l.cover = newStartCover(l, inherited)
	l.cover.begin(known)
	return l.cover, &now
}

// hold makes an instance a holder that has the changes up to a sequence number.
func (s *startCover) hold(name string, acked uint64) {
	if !slices.Contains(s.ranked, name) {
		s.ranked = append(s.ranked, name)
	}
	s.contactAt[name] = s.leadership.node.opts.Now()
	s.holders[name] = &placementHolder{name: name, address: name, synced: true, acked: acked, wake: make(chan struct{}, 1), cancel: func() {}}
}

// heldGate is the gate of a leadership whose holders have answered now, and have the starts up to a sequence number.
func heldGate(held uint64) cell.CommandGate {
	return cell.CommandGate{Held: held, Until: time.Hour + holderContactTimeout}
}

// round does what run does periodically.
func (s *startCover) round() {
	if s.propose() {
		s.updateGate()
		s.recordGated()
	}
	s.updateGate()
}

// renew writes a renewal, and returns the holders that it names; nil if it names none.
func (s *startCover) renew() map[string]string {
	field := s.field()
	s.renewalStored()
	if field.Placements == nil {
		return nil
	}
	return field.Placements.Holders
}

// Guards against starts that are sent while a successor would ask for those of a former leader.
func TestStartsWaitForACoverOfTheirOwn(t *testing.T) {
	former := placementCover{Epoch: 4, Holders: map[string]string{"x": "x"}}
	s, _ := newTestCover(former, true)
	s.round()
	assert.DeepEqual(t, s.gate(), cell.CommandGate{Closed: true})
	assert.DeepEqual(t, s.renew(), former.Holders)
	s.hold("a", 0)
	s.round()
	assert.DeepEqual(t, s.gate(), cell.CommandGate{Closed: true})
	assert.DeepEqual(t, s.renew(), map[string]string{"a": "a"})
	assert.DeepEqual(t, s.gate(), heldGate(0))

	s, now := newTestCover(former, true)
	*now += coverTimeout
	s.round()
	assert.DeepEqual(t, s.gate(), cell.CommandGate{Closed: true})
	assert.Assert(t, s.renew() == nil)
	assert.DeepEqual(t, s.gate(), cell.CommandGate{Open: true})

	s, _ = newTestCover(former, false)
	s.round()
	assert.Assert(t, s.renew() == nil, "waits for holders although the starts of the former leader are lost")
}

// Guards against a renewal that names a holder which does not have a start that was sent before.
func TestCoverIsPublishedWhenItsHoldersHaveAllStarts(t *testing.T) {
	s, _ := newTestCover(placementCover{}, false)
	assert.DeepEqual(t, s.gate(), cell.CommandGate{Open: true})
	core := s.leadership.core
	assert.NilError(t, core.LoadFleetRecord(time.Hour, []byte(`{"w1":"w1:1"}`)))
	core.LoadPlacements([]cell.TaskPlacement{{Task: "a.0.0.0", Run: 1, Worker: "w1"}}, time.Hour)
	s.hold("a", 0)
	assert.Assert(t, s.propose())
	assert.Equal(t, s.gate(), heldGate(0), "starts are sent without the holder that is proposed")
	assert.Assert(t, !s.isRenewalDue(), "published before the starts that were sent meanwhile are counted")
	s.recordGated()
	assert.Assert(t, !s.isRenewalDue())
	assert.Assert(t, s.renew() == nil)
	s.hold("a", core.LastPlacement())
	assert.Assert(t, s.isRenewalDue())
	assert.DeepEqual(t, s.renew(), map[string]string{"a": "a"})
	assert.DeepEqual(t, s.gate(), heldGate(core.LastPlacement()))
}

// Guards against starts that are sent without a holder which a successor may still ask.
func TestStartsWaitForAFormerHolderUntilTheRenewalIsDurable(t *testing.T) {
	s, _ := newTestCover(placementCover{}, false)
	s.hold("a", 7)
	s.hold("b", 7)
	s.round()
	assert.DeepEqual(t, s.renew(), map[string]string{"a": "a", "b": "b"})
	assert.DeepEqual(t, s.gate(), heldGate(7))
	delete(s.holders, "b")
	s.hold("a", 9)
	s.round()
	assert.Equal(t, s.gate(), heldGate(0), "starts are sent without b")
	// The renewal without b has no answer.
	s.field()
	assert.DeepEqual(t, s.gate(), heldGate(0))
	assert.DeepEqual(t, s.renew(), map[string]string{"a": "a"})
	assert.DeepEqual(t, s.gate(), heldGate(9))
	// A holder in a renewal without an answer may be in the row.
	s.hold("c", 8)
	s.round()
	s.field()
	delete(s.holders, "c")
	s.round()
	assert.DeepEqual(t, s.gate(), heldGate(0))
	assert.DeepEqual(t, s.renew(), map[string]string{"a": "a"})
	assert.DeepEqual(t, s.gate(), heldGate(9))
	// Without any holder a renewal says so before starts go on.
	delete(s.holders, "a")
	s.round()
	assert.DeepEqual(t, s.gate(), heldGate(0))
	assert.Assert(t, s.renew() == nil)
	assert.DeepEqual(t, s.gate(), cell.CommandGate{Open: true})
}

// Guards against a leader that says that its starts are known while it does not know those of its predecessor.
func TestCoverWaitsForTheInventories(t *testing.T) {
	s, now := newTestCover(placementCover{}, false)
	assert.NilError(t, s.leadership.core.LoadFleetRecord(*now, []byte(`{"w1":"w1:1"}`)))
	s.hold("a", 0)
	s.round()
	assert.Assert(t, s.renew() == nil)
	assert.DeepEqual(t, s.gate(), cell.CommandGate{Open: true})
	s.leadership.core.LoadPlacements(nil, *now)
	s.round()
	assert.DeepEqual(t, s.renew(), map[string]string{"a": "a"})
}

// Guards against an instance that relies on starts which it held once, and of which it has missed later ones.
func TestFormerHolderDoesNotUseItsReplica(t *testing.T) {
	s, _ := newTestCover(placementCover{Epoch: 4, Holders: map[string]string{}}, false)
	l := s.leadership
	l.node.placements.byEpoch = map[uint64]*placementReplica{4: {workers: map[placementKey]string{{"a.0.0.0", 1}: "w1"}}}
	assert.Assert(t, !l.fetchPlacements(t.Context()).found)
	l.inherited.Holders["self"] = "self"
	fetched := l.fetchPlacements(t.Context())
	assert.Assert(t, fetched.found)
	assert.DeepEqual(t, fetched.placements, []cell.TaskPlacement{{Task: "a.0.0.0", Run: 1, Worker: "w1"}})
}

// Guards against a successor that does not pass on who holds the starts of its predecessor, although it has sent none itself.
func TestTakeoverPassesTheCoverOn(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		cover := decodeRenewal(c.tables.Rows(leaderTable)[renewalKey.Key].Value).Placements
		assert.Assert(t, cover != nil && len(cover.Holders) > 0)
		old := c.leader()
		c.kill(old)
		c.awaitLeaderOtherThan(old)
		var row leaderRow
		assert.NilError(t, json.Unmarshal(c.tables.Rows(leaderTable)[leaderKey.Key].Value, &row))
		assert.Equal(t, row.Epoch, cover.Epoch+1)
		assert.DeepEqual(t, row.Placements, cover)
	})
}

// unansweredPeers answer nothing. onCall is called for each call.
type unansweredPeers struct{ onCall func() }

func (p unansweredPeers) Call(context.Context, string, *peerpb.Request) (*peerpb.Reply, error) {
	p.onCall()
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "no answer")
}

func (p unansweredPeers) Send(context.Context, string, *peerpb.Request) error { return nil }

// Guards against a leader that gives up its holders, and holds all starts meanwhile, because its own processor is full.
func TestLateLeaderKeepsItsHolders(t *testing.T) {
	for late, failed := range map[bool]bool{false: true, true: false} {
		s, now := newTestCover(placementCover{}, false)
		l := s.leadership
		l.workers = newDelegatedWorkers(l.node, l.epoch)
		l.workers.lateness.observe()
		l.node.opts.Peers = unansweredPeers{func() {
			for range 10 {
				*now += latenessInterval
				if !late {
					l.workers.lateness.observe()
				}
			}
		}}
		s.hold("a", 0)
		assert.Equal(t, s.sendUpdate(t.Context(), s.holders["a"], s.nextUpdate(s.holders["a"], true)), !failed)
		assert.Equal(t, s.holders["a"].failed, failed)
	}
}
