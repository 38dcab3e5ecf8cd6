package instance

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/version/ownership"
	"github.com/lentiltide/lentiltide/version/rack"
)

// summaryOf returns a summary of epoch 1 whose free CPU and memory are both cpu.
func summaryOf(name string, cpu int64) rack.Summary {
	free := model.Resources{CPUMilli: cpu, MemoryMiB: cpu, Slots: 8}
	return rack.Summary{Rack: name, Epoch: 1, Free: free, Largest: free}
}

// sendRounds sends the summaries of racks in rounds that are summaryInterval apart. cpu chooses the free capacity of a rack
// in a round. It returns the bytes sent and how many summaries of each rack each peer received.
func sendRounds(peers, racks, rounds int, cpu func(round, rack int) int64) (bytes int, received map[string]map[string]int) {
	var sender summarySender
	var sessions []ownership.Session
	received = map[string]map[string]int{}
	for i := range peers {
		name := fmt.Sprintf("entry-%02d", i)
		sessions = append(sessions, ownership.Session{ID: name, Instance: name})
		received[name] = map[string]int{}
	}
	now := time.Unix(1000, 0)
	for n := range rounds {
		var own []rack.Summary
		for r := range racks {
			own = append(own, summaryOf(fmt.Sprintf("rack-%03d", r), cpu(n, r)))
		}
		sender.sendRound(now, own, sessions, func(s ownership.Session, msg *peerpb.Summaries) error {
			bytes += proto.Size(msg) + messageOverheadBytes
			for _, item := range msg.GetItems() {
				received[s.ID][item.GetRack()]++
			}
			return nil
		})
		now = now.Add(summaryInterval)
	}
	return bytes, received
}

// TestSummariesStayInBudget guards against summary traffic that grows with the rate of task starts: at the target size every
// rack changes in every round, and both directions together must stay below 3 KB/s per instance.
func TestSummariesStayInBudget(t *testing.T) {
	const seconds = 120
	// 122 racks on 24 instances are at most 6 racks per instance.
	bytes, received := sendRounds(23, 6, 2*seconds, func(round, _ int) int64 { return int64(1000 << (round % 2)) })
	assert.Assert(t, 2*bytes < 3000*seconds+2*summaryBurstBytes, "%d bytes sent in %d s", bytes, seconds)
	for name, racks := range received {
		for r := range 6 {
			// Each peer receives at least 8 summaries of each rack in 120 s.
			assert.Assert(t, racks[fmt.Sprintf("rack-%03d", r)] >= 8, "%s received the summaries %v, want at least 8 of rack-%03d", name, racks, r)
		}
	}
}

// TestUnchangedSummariesAreNotSent guards against messages about racks that have not changed materially.
func TestUnchangedSummariesAreNotSent(t *testing.T) {
	rounds := int(summaryRefreshInterval/summaryInterval) - 1
	_, received := sendRounds(3, 2, rounds, func(round, _ int) int64 { return 8000 + int64(round%2) })
	for _, racks := range received {
		assert.DeepEqual(t, racks, map[string]int{"rack-000": 1, "rack-001": 1})
	}
}

// TestSummaryOfOlderEpochIsIgnored guards against a summary of an earlier epoch that replaces a later one or resets its age.
func TestSummaryOfOlderEpochIsIgnored(t *testing.T) {
	s := summaryStore{latest: map[string]timedSummary{}}
	now := time.Unix(1000, 0)
	s.update(now, summaryOf("rack-a", 16_000))
	earlier := summaryOf("rack-a", 1)
	earlier.Epoch = 0
	s.update(now.Add(time.Minute), earlier)
	sum, age, _ := s.get(now.Add(time.Minute), "rack-a")
	assert.Equal(t, sum.Largest.CPUMilli, int64(16_000))
	assert.Equal(t, age, time.Minute)
}
