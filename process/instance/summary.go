package instance

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/version/ownership"
	"github.com/lentiltide/lentiltide/version/rack"
)

const (
	// summaryInterval is the time between checks for changed summaries.
	summaryInterval = 500 * time.Millisecond
	// summaryRefreshInterval is the time after which an unchanged summary is sent again, so that a summary's age indicates
	// lost contact with its owner.
	summaryRefreshInterval = 15 * time.Second
	// summaryBytesPerSecond limits the bytes of summaries that an instance sends, headers included. An instance receives
	// about as much as it sends, so that both together stay below the budget of 3 KB/s.
	summaryBytesPerSecond = 1200
	// summaryBurstBytes is the number of bytes that may be sent at once after an idle period.
	summaryBurstBytes = 8 << 10
	// messageOverheadBytes is the size of the yamux, TLS, TCP and IP headers of one message.
	messageOverheadBytes = 90
	// summaryChangeDivisor sets the threshold of a material change: an amount that changes by more than 1/summaryChangeDivisor
	// of the larger value causes the summary to be sent again.
	summaryChangeDivisor = 4
)

// summaryStore holds the latest summary of each rack and the state of sending summaries to the peers.
//
// Locking: mu protects latest; sender is used by one goroutine only.
type summaryStore struct {
	mu     sync.Mutex
	latest map[string]timedSummary

	sender summarySender
}

// timedSummary is a summary and the time, on this instance's clock, at which it was created, received or sent here.
type timedSummary struct {
	rack.Summary
	at time.Time
}

// summarySender sends changed summaries to the peers in turn, limited by a token bucket of bytes. A peer for which the
// tokens did not suffice is the first of the next round.
type summarySender struct {
	tokens     float64
	refilledAt time.Time
	// nextPeer is the instance name of the first peer of the next round.
	nextPeer string
	// sent holds the last summaries sent, by session and rack.
	sent map[string]map[string]timedSummary
}

// update stores a summary unless the stored one of its rack has a higher epoch.
func (s *summaryStore) update(now time.Time, sum rack.Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sum.Epoch >= s.latest[sum.Rack].Epoch {
		s.latest[sum.Rack] = timedSummary{Summary: sum, at: now}
	}
}

// get returns the latest summary of a rack and its age.
func (s *summaryStore) get(now time.Time, name string) (sum rack.Summary, age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.latest[name]
	return k.Summary, now.Sub(k.at), ok
}

// broadcastSummaries sends the summaries of the racks served here to all other instances when they have changed.
func (in *Instance) broadcastSummaries() { in.runEvery(in.ctx, summaryInterval, in.sendSummaries) }

func (in *Instance) sendSummaries() {
	in.mu.Lock()
	runners := make([]*rackRunner, 0, len(in.racks))
	for _, r := range in.racks {
		runners = append(runners, r)
	}
	in.mu.Unlock()
	now := in.opts.Clock.Now()
	own := make([]rack.Summary, 0, len(runners))
	for _, r := range runners {
		sum := r.core.Summary()
		in.summaries.update(now, sum)
		own = append(own, sum)
	}
	slices.SortFunc(own, func(a, b rack.Summary) int { return cmp.Compare(a.Rack, b.Rack) })
	in.summaries.sender.sendRound(now, own, in.otherSessions(), func(s ownership.Session, msg *peerpb.Summaries) error {
		ctx, cancel := context.WithTimeout(in.ctx, summaryInterval)
		defer cancel()
		return in.opts.Peers.Send(ctx, s.Address, &peerpb.Request{Body: &peerpb.Request_Summaries{Summaries: msg}})
	})
}

// sendRound sends each peer the summaries that have changed since the last message to it, as far as the tokens suffice.
func (s *summarySender) sendRound(now time.Time, own []rack.Summary, peers []ownership.Session, send func(ownership.Session, *peerpb.Summaries) error) {
	s.refill(now)
	s.dropEndedSessions(peers)
	slices.SortFunc(peers, func(a, b ownership.Session) int { return cmp.Compare(a.Instance, b.Instance) })
	start, _ := slices.BinarySearchFunc(peers, s.nextPeer, func(p ownership.Session, name string) int {
		return cmp.Compare(p.Instance, name)
	})
	for i := range peers {
		p := peers[(start+i)%len(peers)]
		delta := s.delta(now, p.ID, own)
		if len(delta) == 0 {
			continue
		}
		msg := &peerpb.Summaries{}
		for _, sum := range delta {
			msg.Items = append(msg.Items, summaryToProto(sum))
		}
		size := float64(proto.Size(msg) + messageOverheadBytes)
		if s.tokens < size {
			s.nextPeer = p.Instance
			return
		}
		s.tokens -= size
		if send(p, msg) == nil {
			s.recordSent(now, p.ID, delta)
		}
	}
}

// refill adds the tokens for the time since the last call, up to summaryBurstBytes.
func (s *summarySender) refill(now time.Time) {
	if s.refilledAt.IsZero() {
		s.tokens = summaryBurstBytes
	} else {
		s.tokens = min(summaryBurstBytes, s.tokens+now.Sub(s.refilledAt).Seconds()*summaryBytesPerSecond)
	}
	s.refilledAt = now
}

// dropEndedSessions deletes the records of sessions that have ended and adds empty ones for new sessions.
func (s *summarySender) dropEndedSessions(peers []ownership.Session) {
	kept := make(map[string]map[string]timedSummary, len(peers))
	for _, p := range peers {
		if sent := s.sent[p.ID]; sent != nil {
			kept[p.ID] = sent
		} else {
			kept[p.ID] = map[string]timedSummary{}
		}
	}
	s.sent = kept
}

// delta returns the summaries to send to a session: those not yet sent, changed materially or due for a refresh.
func (s *summarySender) delta(now time.Time, session string, own []rack.Summary) []rack.Summary {
	var changed []rack.Summary
	for _, sum := range own {
		last, ok := s.sent[session][sum.Rack]
		if !ok || now.Sub(last.at) >= summaryRefreshInterval || materialChange(last.Summary, sum) {
			changed = append(changed, sum)
		}
	}
	return changed
}

// recordSent records the summaries that were sent to a session.
func (s *summarySender) recordSent(now time.Time, session string, sent []rack.Summary) {
	for _, sum := range sent {
		s.sent[session][sum.Rack] = timedSummary{Summary: sum, at: now}
	}
}

// materialChange reports whether two summaries of a rack differ enough to affect the choice of racks.
func materialChange(a, b rack.Summary) bool {
	if a.Epoch != b.Epoch {
		return true
	}
	for _, p := range [][2]int64{
		{a.Largest.CPUMilli, b.Largest.CPUMilli}, {a.Largest.MemoryMiB, b.Largest.MemoryMiB},
		{a.Largest.Slots, b.Largest.Slots}, {a.Largest.Accelerators, b.Largest.Accelerators},
		{a.Free.CPUMilli, b.Free.CPUMilli}, {a.Free.MemoryMiB, b.Free.MemoryMiB},
		{a.Free.Slots, b.Free.Slots}, {a.Free.Accelerators, b.Free.Accelerators},
	} {
		if amountChanged(p[0], p[1]) {
			return true
		}
	}
	for i := range a.Queued {
		if amountChanged(int64(a.Queued[i]), int64(b.Queued[i])) {
			return true
		}
	}
	return false
}

// amountChanged reports whether an amount changed by more than 1/summaryChangeDivisor of the larger value, or from or to zero.
func amountChanged(a, b int64) bool {
	if (a <= 0) != (b <= 0) {
		return true
	}
	return summaryChangeDivisor*max(a-b, b-a) > max(a, b)
}

func summaryToProto(s rack.Summary) *peerpb.Summary {
	msg := &peerpb.Summary{
		Rack: s.Rack, Epoch: s.Epoch, Free: peer.ResourcesToProto(s.Free), LargestFree: peer.ResourcesToProto(s.Largest),
	}
	for _, n := range s.Queued {
		msg.Queued = append(msg.Queued, uint32(n))
	}
	return msg
}

func summaryFromProto(s *peerpb.Summary) rack.Summary {
	sum := rack.Summary{
		Rack: s.GetRack(), Epoch: s.GetEpoch(),
		Free: peer.ResourcesFromProto(s.GetFree()), Largest: peer.ResourcesFromProto(s.GetLargestFree()),
	}
	for i, n := range s.GetQueued() {
		if i < len(sum.Queued) {
			sum.Queued[i] = int(n)
		}
	}
	return sum
}

// handleSummaries stores the summaries of another instance and marks the workers that it reports as leaving.
func (in *Instance) handleSummaries(msg *peerpb.Summaries) {
	now := in.opts.Clock.Now()
	for _, s := range msg.GetItems() {
		in.summaries.update(now, summaryFromProto(s))
	}
	if len(msg.GetLeaving()) > 0 && in.members.MarkLeaving(now, msg.GetLeaving()) {
		in.membersChanged()
	}
}
