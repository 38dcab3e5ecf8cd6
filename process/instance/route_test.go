package instance

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/limit"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/ownership"
)

// ownedPartition returns an intent partition that a node serves.
func ownedPartition(t *testing.T, n *node) int {
	t.Helper()
	for p := range model.IntentPartitions {
		if _, err := n.loadedIntentRunner(p); err == nil {
			return p
		}
	}
	t.Fatalf("%s serves no intent partition", n.address)
	return -1
}

// TestAnyInstanceServesAnyRequest guards against requests that only some instances accept, and against requests that are
// forwarded more than once while the owners do not change.
func TestAnyInstanceServesAnyRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startTestCluster(t, 8, 0)
		for p := range model.IntentPartitions {
			first, err := nodes[0].request(context.Background(), p)
			assert.NilError(t, err)
			for _, n := range nodes[1:] {
				servedBy, err := n.request(context.Background(), p)
				assert.NilError(t, err)
				assert.Equal(t, servedBy, first)
			}
		}
		forwards := int64(0)
		for _, n := range nodes {
			forwards += n.forwardsReceived.Load()
		}
		assert.Equal(t, forwards, int64(model.IntentPartitions*(len(nodes)-1)))
	})
}

// TestRequestsWaitForHandover guards against requests that fail at any instance while one of them shuts down.
func TestRequestsWaitForHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startTestCluster(t, 4, 2)
		var wg sync.WaitGroup
		for _, n := range nodes {
			n.handle = func(context.Context) error { time.Sleep(30 * time.Millisecond); return nil }
		}
		for _, n := range nodes {
			for p := range model.IntentPartitions {
				wg.Go(func() {
					for range 50 {
						ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
						if _, err := n.request(ctx, p); err != nil {
							t.Errorf("%s partition %d: %v", n.address, p, err)
						}
						cancel()
						time.Sleep(100 * time.Millisecond)
					}
				})
			}
		}
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		assert.NilError(t, nodes[1].Shutdown(ctx))
		wg.Wait()
	})
}

// TestForwardedRequestWaitsForAcquisition guards against a new owner that refuses the requests of instances that have read
// its acquisition of a partition before the answer to that acquisition has reached the new owner itself.
func TestForwardedRequestWaitsForAcquisition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startTestCluster(t, 3, 0)
		entry, formerOwner, newOwner := nodes[0], nodes[1], nodes[2]
		var owned []int
		for p := range model.IntentPartitions {
			if _, err := formerOwner.loadedIntentRunner(p); err == nil {
				owned = append(owned, p)
			}
		}
		newOwner.table.setFaults(func(f *faultyTable) { f.acquisitionLatency = 200 * time.Millisecond })
		assert.NilError(t, formerOwner.owners.Drain(context.Background()))
		var wg sync.WaitGroup
		var servedByNewOwner atomic.Int64
		for _, p := range owned {
			wg.Go(func() {
				servedBy, err := entry.request(context.Background(), p)
				assert.Check(t, err, "partition %d", p)
				if servedBy == newOwner.address {
					servedByNewOwner.Add(1)
				}
			})
		}
		wg.Wait()
		assert.Assert(t, servedByNewOwner.Load() > 0)
	})
}

// TestStaleOwnerViewForwardsOnceToNewOwner guards against a request that fails because the instance that received it has an
// outdated view of the owners. The refusal of the former owner names the new one, which receives the request once.
func TestStaleOwnerViewForwardsOnceToNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startTestCluster(t, 3, 0)
		entry, formerOwner := nodes[0], nodes[1]
		var owned []int
		for p := range model.IntentPartitions {
			if _, err := formerOwner.loadedIntentRunner(p); err == nil {
				owned = append(owned, p)
			}
		}
		entry.table.setFaults(func(f *faultyTable) { f.unavailable = true })
		assert.NilError(t, formerOwner.owners.Drain(context.Background()))
		time.Sleep(3 * time.Second)
		// The entry instance cannot acquire partitions, since the table is unavailable to it.
		p := slices.IndexFunc(owned, func(p int) bool {
			loc, _ := formerOwner.owners.Locate(ownership.Intent(p))
			return loc.Address == nodes[2].address
		})
		assert.Assert(t, p >= 0)
		p = owned[p]
		servedBy, err := entry.request(context.Background(), p)
		assert.NilError(t, err)
		assert.Equal(t, servedBy, nodes[2].address)
		assert.Equal(t, formerOwner.forwardsReceived.Load(), int64(1))
		assert.Equal(t, nodes[2].forwardsReceived.Load(), int64(1))
	})
}

// TestLongCallWithTicketIsAnsweredByNextOwner guards against a call that fails because it runs longer than the shutdown of
// its owner. With a ticket it is answered by the next owner; without one the error is MayHaveRun.
func TestLongCallWithTicketIsAnsweredByNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startTestCluster(t, 3, 0)
		formerOwner := nodes[1]
		p := ownedPartition(t, formerOwner)
		r, err := formerOwner.loadedIntentRunner(p)
		assert.NilError(t, err)
		formerOwner.handle = func(context.Context) error {
			<-r.ctx.Done()
			return verdict.New(verdict.MayHaveRun, verdict.CodeWrongOwner, "the partition moved")
		}
		var wg sync.WaitGroup
		for _, entry := range nodes[:2] {
			wg.Go(func() {
				servedBy, err := entry.dispatchRequest(context.Background(), Request{Partition: p, Repeatable: true})
				assert.Check(t, err)
				assert.Check(t, servedBy != formerOwner.address)
			})
			wg.Go(func() {
				_, err := entry.dispatchRequest(context.Background(), Request{Partition: p})
				assert.Check(t, verdict.Of(err) == verdict.MayHaveRun)
			})
		}
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		assert.NilError(t, formerOwner.Shutdown(ctx))
		wg.Wait()
	})
}

// TestConflictAfterMoveGoesToNewOwner guards against a conflict that callers receive because the partition has moved and its
// former owner has not noticed yet.
func TestConflictAfterMoveGoesToNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startTestCluster(t, 2, 0)
		formerOwner, newOwner := nodes[0], nodes[1]
		p := ownedPartition(t, formerOwner)
		formerOwner.table.setFaults(func(f *faultyTable) { f.unavailable = true })
		time.Sleep(10 * time.Second)
		_, err := newOwner.loadedIntentRunner(p)
		assert.NilError(t, err)
		_, err = formerOwner.loadedIntentRunner(p)
		assert.NilError(t, err)
		formerOwner.table.setFaults(func(f *faultyTable) { f.unavailable = false })
		// A renewal that is due at this instant runs now. There must be none, since it would report the move.
		synctest.Wait()
		conflicts := 0
		formerOwner.handle = func(ctx context.Context) error {
			if owns, err := formerOwner.owners.VerifyOwnership(ctx, ownership.Intent(p)); err != nil || owns {
				return err
			}
			conflicts++
			return verdict.New(verdict.NotRun, verdict.CodeConflict, "the row of the partition has another version")
		}
		servedBy, err := formerOwner.request(context.Background(), p)
		assert.NilError(t, err)
		assert.Equal(t, servedBy, newOwner.address)
		assert.Equal(t, conflicts, 1)
	})
}

// TestRequestsWaitingForOwnerAreBounded guards against an unlimited number of requests that wait for an owner, and against
// unlimited waiting.
func TestRequestsWaitingForOwnerAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(0, 2)
		n := cluster.startInstance(t, "entry-0")
		n.table.setFaults(func(f *faultyTable) { f.unavailable = true })
		n.router.retryBudget.SetPercent(0)
		began := time.Now()
		_, err := n.request(context.Background(), 7)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.Assert(t, verdict.From(err).RetryAfter > 0)
		assert.Assert(t, time.Since(began) <= maxOwnerWait)
		n.router.waiters = maxWaitingRequests
		began = time.Now()
		_, err = n.request(context.Background(), 7)
		assert.Equal(t, verdict.From(err).Code, verdict.CodeOverloaded)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// TestCancelledRequestReleasesOwner guards against a request that still runs, or occupies the limiter, at the owner after
// its caller has cancelled it.
func TestCancelledRequestReleasesOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startTestCluster(t, 2, 0)
		owner := nodes[1]
		p := ownedPartition(t, owner)
		owner.handle = func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		_, err := nodes[0].request(ctx, p)
		assert.Assert(t, err != nil)
		synctest.Wait()
		working, queued := owner.router.ownerLimiter.InFlight()
		assert.Equal(t, working+queued+len(owner.router.inFlight), 0)
	})
}

// TestLimitsFollowConfiguration guards against limits that do not change with the configuration.
func TestLimitsFollowConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startTestCluster(t, 2, 0)
		confirmConfig(t, nodes[0], `{"limits":{"client_in_flight":1}}`)
		time.Sleep(maxConfigPropagation)
		key := limit.Key{Client: "desk"}
		release, err := nodes[1].Admit(context.Background(), key)
		assert.NilError(t, err)
		_, err = nodes[1].Admit(context.Background(), key)
		assert.Equal(t, verdict.From(err).Code, verdict.CodeOverloaded)
		release()
	})
}

// TestRefusalAfterUnknownAttempt guards against NotRun for a request whose first attempt may have run: the partition moved
// during that attempt, and the next owner refused the second one.
func TestRefusalAfterUnknownAttempt(t *testing.T) {
	refusal := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many requests").WithRetryAfter(time.Second)
	_, err := adjustRetryResult(true, nil, refusal)
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	assert.Equal(t, verdict.From(err).RetryAfter, time.Second)
	assert.Equal(t, verdict.Of(refusal), verdict.NotRun)
	body, marshalErr := json.Marshal(jsonhttp.NewErrorBody(refusal))
	assert.NilError(t, marshalErr)
	_, err = adjustRetryResult(true, &peerpb.ForwardReply{Status: 429, Body: body}, nil)
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	_, err = adjustRetryResult(false, nil, refusal)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
}
