package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// TestBurstDelaysItsOwnTeamFirst answers the load in which one team submits many times its usual while the cell is full: the jobs
// of the other teams start before what it submits beyond its rate, also in less urgent queues, and no capacity stays idle.
func TestBurstDelaysItsOwnTeamFirst(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.setTeams(2, job.Team{Name: "burst", Weight: 4}, job.Team{Name: "calm", Weight: 4})
	tc.addWorker("w1")
	for i := range 32 {
		tc.addTeamJob(fmt.Sprintf("burst%02d", i), "burst", "plain", stepWithTasks(1))
	}
	tc.advance(50 * time.Millisecond)
	assert.Equal(t, len(tc.startsByJob()), 4, "the worker is full")
	tc.addTeamJob("calm", "calm", "idle", stepWithTasks(2))
	tc.advance(200 * time.Millisecond)
	tc.endRuns("w1", 2)
	tc.advance(200 * time.Millisecond)
	assert.DeepEqual(t, tc.startsByJob(), map[string]int{"calm": 2})
	for ended := 4; ended < 32; ended += 4 {
		tc.endRuns("w1", 4)
		tc.advance(200 * time.Millisecond)
		starts := 0
		for _, n := range tc.startsByJob() {
			starts += n
		}
		assert.Equal(t, starts, 4, "nothing stays idle after %d", ended)
	}
}

// TestTeamOverItsShareComesLater answers the load in which a team with many long tasks fills the cell: others of its priority get
// what comes free until they have their share.
func TestTeamOverItsShareComesLater(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.setTeams(2, job.Team{Name: "wide"}, job.Team{Name: "narrow"})
	tc.addWorker("w1")
	tc.addWorker("w2")
	tc.addTeamJob("wide", "wide", "plain", stepWithTasks(30))
	tc.advance(50 * time.Millisecond)
	assert.Equal(t, tc.startsByJob()["wide"], 8)
	// Its objective is later than that of the tasks that wait already.
	tc.addTeamJob("narrow", "narrow", "plain", stepWithTasks(8, func(s *job.Step) { s.EstimateMS = 3000 }))
	tc.advance(200 * time.Millisecond)
	tc.endRuns("w1", 2)
	tc.advance(200 * time.Millisecond)
	assert.DeepEqual(t, tc.startsByJob(), map[string]int{"narrow": 2})
	tc.endRuns("w1", 2)
	tc.endRuns("w2", 2)
	tc.advance(200 * time.Millisecond)
	assert.Assert(t, tc.startsByJob()["narrow"] >= 1)
	use, omitted := tc.core.Teams(1)
	assert.Equal(t, len(use), 1)
	assert.Equal(t, omitted, 1)
}

// TestSubmissionRate guards against a rate that punishes a team for regular submissions, and against one that a pause lifts for
// long.
func TestSubmissionRate(t *testing.T) {
	r := submissionRate{perSecond: 4}
	now := time.Hour
	within := 0
	for range 100 {
		now += 250 * time.Millisecond
		if r.take(now) {
			within++
		}
	}
	assert.Equal(t, within, 100)
	now += time.Hour
	within = 0
	for range 100 {
		if r.take(now) {
			within++
		}
	}
	assert.Equal(t, within, 4)
	unlimited := submissionRate{}
	for range 100 {
		assert.Assert(t, unlimited.take(now))
	}
}

// TestExcessEndsWithAge guards against a job beyond the rate of its team that comes last for as long as others arrive.
func TestExcessEndsWithAge(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.setTeams(2, job.Team{Name: "a", Weight: 1})
	for _, id := range []string{"first", "excess"} {
		tc.addTeamJob(id, "a", "plain", stepWithTasks(1))
	}
	rankOf := func(id job.ID) rank { return tc.core.rankOf(tc.core.jobs[id].occurrences[0].steps[0]) }
	tc.advance(100 * time.Millisecond)
	assert.Assert(t, !rankOf("first").excess && rankOf("excess").excess)
	tc.advance(maxExcessAge)
	assert.Assert(t, !rankOf("excess").excess)
}

// TestDominantShare guards against a team whose share is taken from the resource of which it uses least.
func TestDominantShare(t *testing.T) {
	capacity := model.Resources{CPUMilli: 1000, MemoryMiB: 1000, Accelerators: 10}
	assert.Equal(t, model.Resources{CPUMilli: 100, MemoryMiB: 500, Accelerators: 2}.DominantShare(capacity), 0.5)
	assert.Equal(t, model.Resources{CPUMilli: 100}.DominantShare(model.Resources{}), 0.0)
}

// TestTeamsAreOrderedOnlyIfThereAreAny guards against a change of the order in a cell without teams.
func TestTeamsAreOrderedOnlyIfThereAreAny(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(200 * time.Millisecond)
	for _, s := range tc.core.ready.ranked {
		assert.Assert(t, !s.queuePosition.rank.excess && !s.queuePosition.rank.overShare)
	}
	use, _ := tc.core.Teams(10)
	assert.Equal(t, len(use), 0)
	assert.Equal(t, len(tc.core.teams), 0)
}
