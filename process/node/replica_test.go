package node

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
)

// Guards against a replica that acknowledges completed jobs which it does not hold, and against one that keeps durable ones.
func TestReplicaHoldsWhatItAcknowledges(t *testing.T) {
	r := newResultReplica(1)
	r.merge(&peerpb.JoinReply{Epoch: 1, UnstoredJobs: []string{"a", "b"}, UnstoredSequence: 2})
	assert.Equal(t, r.sequence, uint64(2))
	assert.Equal(t, r.size(), 2)
	tooMany := make([]string, maxReplicaJobs)
	for i := range tooMany {
		tooMany[i] = fmt.Sprint(i)
	}
	r.merge(&peerpb.JoinReply{Epoch: 1, UnstoredJobs: tooMany, UnstoredSequence: maxReplicaJobs + 2})
	assert.Equal(t, r.sequence, uint64(2))
	assert.Equal(t, r.size(), 2)
	r.merge(&peerpb.JoinReply{Epoch: 1, UnstoredJobs: []string{"c"}, UnstoredSequence: 3, StoredSequence: 2})
	completed, _ := r.messages()
	assert.DeepEqual(t, completed, []string{"c"})
	assert.Equal(t, r.sequence, uint64(3))
}

// Guards against results of a former leader that an instance forgets before the leader that has adopted them has stored them.
func TestReplicaKeepsWhatTheLeaderHasAdopted(t *testing.T) {
	former := newResultReplica(1)
	former.merge(&peerpb.JoinReply{Epoch: 1, UnstoredJobs: []string{"a"}, UnstoredCrashes: []*peerpb.JobProgress{{Job: "b"}}, UnstoredSequence: 2})
	r := newResultReplica(2)
	r.carryOver(former, 5)
	r.merge(&peerpb.JoinReply{Epoch: 2, StoredSequence: 4, AdoptedSequence: 5})
	assert.Equal(t, r.size(), 2)
	assert.Assert(t, !r.whole)
	r.merge(&peerpb.JoinReply{Epoch: 2, StoredSequence: 5, AdoptedSequence: 5, ResultsWhole: true})
	assert.Equal(t, r.size(), 0)
	assert.Assert(t, r.whole)
}
