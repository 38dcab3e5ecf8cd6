package instance

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/store"
)

// maxLeavingDelay is the specified time after which a leaving worker gets no new work.
const maxLeavingDelay = 3 * time.Second

// rackOwners returns the names of the instances that serve each rack.
func rackOwners(cluster *testCluster) map[string][]string {
	owners := map[string][]string{}
	for name, n := range cluster.nodes {
		n.Instance.mu.Lock()
		for rack := range n.racks {
			owners[rack] = append(owners[rack], name)
		}
		n.Instance.mu.Unlock()
	}
	return owners
}

// freeSlots returns the free slots in the rack's summary at its owner, or -1 if the rack has no owner.
func freeSlots(cluster *testCluster, rack string) int64 {
	for _, n := range cluster.nodes {
		if r, err := n.rackRunner(rack); err == nil {
			return r.core.Summary().Free.Slots
		}
	}
	return -1
}

// setState changes the state of a member in the platform's list.
func setState(t *testing.T, cluster *testCluster, id string, state store.MemberState) {
	t.Helper()
	members, err := cluster.members.List(context.Background())
	assert.NilError(t, err)
	for _, member := range members {
		if member.ID == id {
			member.State = state
			cluster.members.Set(member)
		}
	}
}

// TestLeavingWorkerGetsNoWork guards against new work on a worker 3 s after the platform listed it as leaving, even if the
// list of the rack's owner is unavailable, stale or empty and only its peers have read the change.
func TestLeavingWorkerGetsNoWork(t *testing.T) {
	for name, answer := range map[string]func(old []store.Member) ([]store.Member, error){
		"own list": nil,
		"down":     func([]store.Member) ([]store.Member, error) { return nil, errors.New("down") },
		"stale":    func(old []store.Member) ([]store.Member, error) { return old, nil },
		"empty":    func([]store.Member) ([]store.Member, error) { return nil, nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster, _ := startTestCluster(t, 3, 4)
				assert.Equal(t, freeSlots(cluster, "rack-01"), int64(16))
				old, err := cluster.members.List(context.Background())
				assert.NilError(t, err)
				owner := cluster.nodes[rackOwners(cluster)["rack-01"][0]]
				if answer != nil {
					owner.members.setOverride(func() ([]store.Member, error) { return answer(old) })
				}
				setState(t, cluster, "worker-002", store.MemberLeaving)
				time.Sleep(maxLeavingDelay)
				assert.Equal(t, freeSlots(cluster, "rack-01"), int64(8))
				time.Sleep(20 * time.Second)
				assert.Equal(t, freeSlots(cluster, "rack-01"), int64(8))
			})
		})
	}
}

// TestDifferingMemberListsKeepRackOwners guards against a rack with two owners or none while the instances read different
// lists of members.
func TestDifferingMemberListsKeepRackOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, nodes := startTestCluster(t, 4, 8)
		before := rackOwners(cluster)
		nodes[0].members.setOverride(func() ([]store.Member, error) { return nil, nil })
		nodes[1].members.setOverride(func() ([]store.Member, error) {
			return []store.Member{{ID: "worker-000", Role: store.RoleWorker, Rack: "rack-03", Address: "worker-000"}}, nil
		})
		nodes[2].members.setOverride(func() ([]store.Member, error) { return nil, errors.New("down") })
		for range 30 {
			time.Sleep(time.Second)
			assert.DeepEqual(t, rackOwners(cluster), before)
		}
		assert.Equal(t, freeSlots(cluster, "rack-00"), int64(16))
	})
}

// TestLeavingEntryGetsNoPartitions guards against partitions that remain on an instance that the platform is about to stop.
func TestLeavingEntryGetsNoPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, _ := startTestCluster(t, 3, 8)
		cluster.members.Set(store.Member{ID: "entry-1", Role: store.RoleEntry, State: store.MemberLeaving})
		time.Sleep(10 * time.Second)
		owners := rackOwners(cluster)
		assert.Equal(t, len(owners), 4)
		for rack, names := range owners {
			assert.Assert(t, len(names) == 1 && names[0] != "entry-1", "rack %s is served by %v", rack, names)
		}
	})
}
