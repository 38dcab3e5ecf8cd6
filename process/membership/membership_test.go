package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/store"
)

var start = time.Unix(1000, 0)

func testWorkers(n int) []store.Member {
	var members []store.Member
	for i := range n {
		members = append(members, store.Member{
			ID: fmt.Sprintf("worker-%d", i), Role: store.RoleWorker, State: store.MemberLive,
			Rack: fmt.Sprintf("rack-%d", i/4), Address: fmt.Sprint(i),
		})
	}
	return members
}

// TestIncompleteListKeepsWorkers guards against workers that are removed because of an empty, short or malformed list.
func TestIncompleteListKeepsWorkers(t *testing.T) {
	for name, list := range map[string][]store.Member{
		"empty": nil, "one worker": testWorkers(1), "no racks": {{ID: "x", Role: store.RoleWorker}}, "half": testWorkers(4),
	} {
		v := New()
		v.ApplyList(start, testWorkers(8))
		for i := range 100 {
			v.ApplyList(start.Add(time.Duration(i)*time.Second), list)
		}
		assert.Equal(t, len(v.AllWorkers()), 8, name)
		assert.DeepEqual(t, v.Racks(), []string{"rack-0", "rack-1"})
	}
}

// TestListDoesNotChangeWorkerRack guards against a wrong list that makes the owner of a second rack fence a worker.
func TestListDoesNotChangeWorkerRack(t *testing.T) {
	v := New()
	v.ApplyList(start, testWorkers(8))
	moved := testWorkers(8)
	moved[0].Rack = "rack-1"
	v.ApplyList(start.Add(time.Second), moved)
	assert.Equal(t, len(v.Workers("rack-0")), 4)
	assert.Equal(t, v.Workers("rack-0")[0].ID, "worker-0")
}

// TestOlderListDoesNotClearLeaving guards against new work on a leaving worker after a response from a replica of the list
// that lags further behind.
func TestOlderListDoesNotClearLeaving(t *testing.T) {
	v := New()
	v.ApplyList(start, testWorkers(4))
	leaving := testWorkers(4)
	leaving[2].State = store.MemberLeaving
	left, changed := v.ApplyList(start.Add(time.Second), leaving)
	assert.Assert(t, changed)
	assert.Equal(t, len(left), 1)
	assert.Equal(t, left[0].ID, "worker-2")
	left, changed = v.ApplyList(start.Add(2*time.Second), leaving)
	assert.Assert(t, len(left) == 0 && !changed)
	v.ApplyList(start.Add(3*time.Second), testWorkers(4))
	assert.Assert(t, v.IsLeaving("worker-2"))
	assert.Equal(t, v.Workers("rack-0")[2].State, store.MemberLeaving)
	v.ApplyList(start.Add(3*time.Second+leavingTTL), testWorkers(4))
	assert.Equal(t, v.Workers("rack-0")[2].State, store.MemberLive)
}

// TestLeavingReportedByPeer guards against new work on a worker that only a peer's list shows as leaving.
func TestLeavingReportedByPeer(t *testing.T) {
	v := New()
	v.ApplyList(start, testWorkers(4))
	v.MarkLeaving(start, []string{"worker-1", "unknown"})
	v.ApplyList(start.Add(time.Second), testWorkers(4))
	assert.Equal(t, v.Workers("rack-0")[1].State, store.MemberLeaving)
	assert.Equal(t, len(v.AllWorkers()), 4)
}

// TestMissingWorkerIsRemovedAfterTTL guards against memory use that grows with each replaced worker.
func TestMissingWorkerIsRemovedAfterTTL(t *testing.T) {
	v := New()
	v.ApplyList(start, testWorkers(8))
	v.ApplyList(start.Add(missingWorkerTTL+time.Second), testWorkers(7))
	assert.Equal(t, len(v.AllWorkers()), 7)
}
