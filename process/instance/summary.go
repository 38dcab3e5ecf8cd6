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
	// summaryInterval is the time between looks for summaries that changed.
	summaryInterval = 500 * time.Millisecond
	// summaryRefreshInterval is the time after which an unchanged summary is sent again, so that its age stays a sign of lost
	// contact to its owner.
	summaryRefreshInterval = 15 * time.Second
	// summaryBytesPerSecond bounds the bytes of summaries that an instance sends in a second, headers included. An instance receives
	// about as much as it sends, so that both together stay below the budget of 3 KB/s.
	summaryBytesPerSecond = 1200
	// summaryBurstBytes is how many bytes may be sent at once after a quiet time.
	summaryBurstBytes = 8 << 10
	// messageOverheadBytes is the size of the headers of yamux, TLS, TCP and IP of one message.
	messageOverheadBytes = 90
	// summaryChangeDivisor is the relative change of an amount, as a divisor, from which on a summary is sent again.
	summaryChangeDivisor = 4
)

// summaryStore keeps the newest summary of each rack and what was sent to each peer.
//
// Locking: mu protects latest; sender is used by one goroutine only.
type summaryStore struct {
	mu     sync.Mutex
	latest map[string]timedSummary

	sender summarySender
}

// timedSummary is a summary and the time on this instance's clock at which it was taken.
type timedSummary struct {
	rack.Summary
	at time.Time
}

// summarySender sends changed summaries within a byte rate. It serves the peers in turn, so that a peer that had to wait
// is the first of the next round.
type summarySender struct {
	tokens     float64
	refilledAt time.Time
	nextPeer   string
	// sent holds the last summaries sent, by session and rack.
	sent map[string]map[string]timedSummary
}

// update keeps a summary unless a newer epoch of its rack is known.
func (s *summaryStore) update(now time.Time, sum rack.Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sum.Epoch >= s.latest[sum.Rack].Epoch {
		s.latest[sum.Rack] = timedSummary{Summary: sum, at: now}
	}
}

// get returns the newest summary of a rack and its age.
func (s *summaryStore) get(now time.Time, name string) (sum rack.Summary, age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.latest[name]
	return k.Summary, now.Sub(k.at), ok
}

// broadcastSummaries sends the summaries of the racks served here to all other instances when they have changed.
func (in *Instance) broadcastSummaries() {
	in.runEvery(in.ctx, summaryInterval, in.broadcastSummariesOnce)
}

func (in *Instance) broadcastSummariesOnce() {
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

// sendRound sends each peer what changed for it, as far as the byte rate allows.
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

func (s *summarySender) refill(now time.Time) {
	if s.refilledAt.IsZero() {
		s.tokens = summaryBurstBytes
	} else {
		s.tokens = min(summaryBurstBytes, s.tokens+now.Sub(s.refilledAt).Seconds()*summaryBytesPerSecond)
	}
	s.refilledAt = now
}

// dropEndedSessions drops what was sent to sessions that have ended.
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

// delta returns the summaries that a peer does not have.
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

func (s *summarySender) recordSent(now time.Time, session string, sent []rack.Summary) {
	for _, sum := range sent {
		s.sent[session][sum.Rack] = timedSummary{Summary: sum, at: now}
	}
}

// materialChange reports whether the difference of two summaries of a rack can change a choice of racks.
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

// amountChanged reports a relative change of at least 1/summaryChange, or one from or to zero.
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

func (in *Instance) handleSummaries(msg *peerpb.Summaries) {
	now := in.opts.Clock.Now()
	for _, s := range msg.GetItems() {
		in.summaries.update(now, summaryFromProto(s))
	}
	if len(msg.GetLeaving()) > 0 && in.members.Leaving(now, msg.GetLeaving()) {
		in.membersChanged()
	}
}
