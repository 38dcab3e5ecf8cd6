package cell

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// maxServiceAway is how long a service task may have nothing running, if there is room for it and nothing is disturbed any longer: 3 s from
// 6 s after its last run.
const maxServiceAway = 9 * time.Second

// serviceStep is a step with a service task of a quarter of a core.
func serviceStep() job.Step {
	return stepWithTasks(1, func(s *job.Step) { s.LongRunning, s.TaskDemand.CPUMilli = true, 250 })
}

// serviceCluster is a cluster with the leases of the users' platform, whose workers list what was started there until it ends.
type serviceCluster struct {
	*testCluster
	running map[string][]backend.ActiveRun
	boots   map[string]int64
	// lost are the workers that do not answer, and startedAt are the times of the last starts by task.
	lost      map[string]bool
	startedAt map[string]Instant
}

func newServiceCluster(t *testing.T, epoch uint64, workers ...string) *serviceCluster {
	sc := &serviceCluster{newTestCluster(t, epoch), map[string][]backend.ActiveRun{}, map[string]int64{}, map[string]bool{}, map[string]Instant{}}
	sc.core.opts.LeaseDuration, sc.core.opts.MaxLease, sc.core.opts.LeaseExtension = 6*time.Second, 10*time.Second, 0
	for _, id := range workers {
		sc.boots[id] = 1000
		sc.listWorker(id, nil)
	}
	return sc
}

// poll answers a poll of each worker, with the completions of one of them.
func (sc *serviceCluster) poll(worker string, ended ...backend.FinishedRun) {
	for id, boot := range sc.boots {
		if sc.lost[id] {
			sc.core.PollResult(id, sc.now, backend.PollReply{}, context.DeadlineExceeded, sc.now)
			continue
		}
		reply := backend.PollReply{Reply: backend.Reply{ClockMS: sc.clockMS()}, StartedMS: boot, Running: sc.running[id]}
		if id == worker {
			reply.Finished = ended
		}
		sc.core.PollResult(id, sc.now, reply, nil, sc.now)
	}
}

// round runs rounds for 100 ms, confirms all starts, polls the workers and stores all progress.
func (sc *serviceCluster) round() {
	sc.advance(100 * time.Millisecond)
	for _, a := range sc.starts {
		sc.startedAt[a.Command.Task] = sc.now
	}
	for id, runs := range sc.confirmStarts() {
		for _, r := range runs {
			// A service task that works reports that it is complete.
			r.ProgressPercent = 100
			sc.running[id] = append(sc.running[id], r)
		}
	}
	sc.poll("")
	sc.storeBatches()
}

// startedSince returns the number of tasks that have started since an instant.
func (sc *serviceCluster) startedSince(since Instant) int {
	n := 0
	for _, at := range sc.startedAt {
		if at > since {
			n++
		}
	}
	return n
}

// Guards against service tasks that stay away because tasks of several services have failed on all workers that suit them, which they may at any
// time. Each failure of a task that still runs there must not extend the pause of the worker.
func TestFailuresOfServicesDoNotCloseWorkers(t *testing.T) {
	for _, workers := range [][]string{{"w1"}, {"w1", "w2"}} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			sc := newServiceCluster(t, 1, workers...)
			sc.round()
			lifetimes, endedAt, longest := map[string]time.Duration{}, map[string]Instant{}, time.Duration(0)
			for i := range 4 {
				id := fmt.Sprintf("s%d", i)
				sc.addJob(id, "plain", 1, serviceStep())
				lifetimes[id+".0.0.0"] = time.Duration(20+7*i) * time.Second
			}
			for end := sc.now + 10*time.Minute; sc.now < end; sc.round() {
				for _, id := range workers {
					runs := sc.running[id]
					due := slices.IndexFunc(runs, func(r backend.ActiveRun) bool { return sc.now >= sc.startedAt[r.Task]+lifetimes[r.Task] })
					if due < 0 {
						continue
					}
					r := runs[due]
					sc.running[id] = slices.Delete(slices.Clone(runs), due, due+1)
					endedAt[r.Task] = sc.now
					sc.poll(id, sc.completion(id, r.Task, r.Run, backend.ResultFailed))
				}
				for task, at := range endedAt {
					if sc.startedAt[task] < at {
						longest = max(longest, sc.now-at)
					}
				}
			}
			assert.Assert(t, longest <= maxServiceAway, "a task was away for %s", longest)
		})
	}
}

// Guards against a service task that stays away since it avoids the only worker that suits it from the time at which a new leader reads its
// failure, which was before that leader's takeover.
func TestFailureBeforeATakeoverIsNotAvoidedAnew(t *testing.T) {
	failedAt := time.Hour
	sc := newServiceCluster(t, 2)
	sc.now = failedAt + 4500*time.Millisecond
	sc.core.epochStart, sc.core.now = sc.now, sc.now
	for id, label := range map[string]string{"w1": "lane", "w2": "other"} {
		sc.boots[id] = 1000
		sc.listWorker(id, func(info *backend.WorkerInfo) { info.Labels = []string{label, "r1"} })
	}
	assert.NilError(t, sc.core.LoadFleetRecord(sc.now, []byte(`{"w1":"w1:1","w2":"w2:1"}`)))
	step := serviceStep()
	step.RequiredLabel = "lane"
	sc.addJob("a", "plain", 1, step)
	sc.poll("w1", sc.completion("w1", "a.0.0.0", 1, backend.ResultFailed))
	for sc.startedSince(failedAt) == 0 && sc.now < failedAt+time.Minute {
		sc.round()
	}
	assert.Assert(t, sc.now <= failedAt+maxServiceAway, "the task was away for %s", sc.now-failedAt)
}

// Guards against service tasks that stay away after one crash of their worker, because tasks of different jobs with a crash start one after
// the other on each worker.
func TestServicesOfACrashedWorkerReturnTogether(t *testing.T) {
	sc := newServiceCluster(t, 1, "w1")
	sc.round()
	const services = 16
	for i := range services {
		sc.addJob(fmt.Sprintf("s%02d", i), "plain", 1, serviceStep())
	}
	for range 20 {
		sc.round()
	}
	assert.Equal(t, len(sc.running["w1"]), services)
	for _, id := range []string{"w2", "w3"} {
		sc.boots[id] = 1000
		sc.listWorker(id, nil)
	}
	sc.round()
	crashedAt := sc.now
	sc.boots["w1"], sc.running["w1"] = 2000, nil
	sc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 2000 })
	for sc.startedSince(crashedAt) < services && sc.now < crashedAt+time.Minute {
		sc.round()
	}
	assert.Assert(t, sc.now <= crashedAt+maxServiceAway, "the last of the tasks was away for %s", sc.now-crashedAt)
}

// Guards against tasks that have ended as done and run again, because all leases of former leaders ended before the epoch: the workers list the
// completions all the same.
func TestCompletionsAreReadThoughAllLeasesHaveEnded(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.core.opts.LeaseExtension = -20 * time.Second
	assert.NilError(t, tc.core.LoadFleetRecord(tc.now, []byte(`{"w1":"w1:1","w2":"w2:1"}`)))
	tc.listWorker("w1", nil)
	tc.listWorker("w2", nil)
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.step()
	tc.answerPoll("w2", nil, nil)
	tc.storeBatches()
	// The first poll of w1 is not answered.
	tc.advance(time.Second)
	tc.answerPoll("w2", nil, nil)
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultDone)})
	tc.step()
	assert.Equal(t, len(tc.starts), 0, "a task that was done started again")
}

// Guards against a service task that stays away for a longest lease because its worker is lost within a second after it has first answered a
// new leader.
func TestServiceReturnsFromAWorkerLostAfterATakeover(t *testing.T) {
	sc := newServiceCluster(t, 2, "w1", "w2")
	assert.NilError(t, sc.core.LoadFleetRecord(sc.now, []byte(`{"w1":"w1:1","w2":"w2:1"}`)))
	sc.addJob("a", "plain", 1, serviceStep())
	sc.running["w1"] = []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}}
	for range 3 {
		sc.round()
	}
	lostAt := sc.now
	sc.lost["w1"] = true
	for sc.startedSince(lostAt) == 0 && sc.now < lostAt+time.Minute {
		sc.round()
	}
	assert.Assert(t, sc.now <= lostAt+maxServiceAway, "the task was away for %s", sc.now-lostAt)
}

// Guards against tasks of a worker that has restarted and is lost, which stay away for a longest lease from each takeover of a series.
func TestLongLeasesCountFromTheRestart(t *testing.T) {
	sc := newServiceCluster(t, 1, "w1", "w2")
	sc.round()
	sc.boots["w1"] = 2000
	restartedAt := sc.now
	sc.round()
	var fleet [][]byte
	sc.core.RewriteFleetRecord()
	for _, b := range sc.storeBatches() {
		for _, row := range b.Fleet {
			fleet = append(fleet, row.Data)
		}
	}
	for epoch := uint64(2); epoch <= 3; epoch++ {
		next := newServiceCluster(t, epoch)
		next.now = restartedAt + time.Duration(epoch-1)*4*time.Second
		next.core.epochStart, next.core.now = next.now, next.now
		assert.NilError(t, next.core.LoadFleetRecord(next.now, fleet...))
		end := next.core.leasesEnd(next.core.workers["w1"])
		known := restartedAt + maxLocalDuration(10*time.Second+lateCallAllowance)
		assert.Check(t, end <= known+500*time.Millisecond, "epoch %d assumes leases for %s after the restart, %s are possible", epoch,
			end-restartedAt, known-restartedAt)
	}
}

// Guards against a worker that is closed to all tasks because service tasks of two jobs, which a former leader had started long ago, fail there
// just after a takeover.
func TestFailuresOfAdoptedServicesDoNotCloseWorkers(t *testing.T) {
	sc := newServiceCluster(t, 2, "w1")
	assert.NilError(t, sc.core.LoadFleetRecord(sc.now, []byte(`{"w1":"w1:1"}`)))
	var ended []backend.FinishedRun
	for _, id := range []string{"a", "b"} {
		sc.addJob(id, "plain", 1, serviceStep())
		sc.running["w1"] = append(sc.running["w1"], backend.ActiveRun{Task: id + ".0.0.0", Run: 1, ProgressPercent: 100})
		ended = append(ended, sc.completion("w1", id+".0.0.0", 1, backend.ResultFailed))
	}
	sc.round()
	sc.running["w1"] = nil
	sc.poll("w1", ended...)
	assert.Assert(t, sc.core.workers["w1"].health.suspicion.pausedUntil <= sc.now)
}

// Guards against a service task that stays away in a full cell: short tasks take the room on the workers that the placement policy allows, one
// quarter after the other, and none is kept for the service, whose objective has passed long ago.
func TestServiceGetsRoomAmongShortTasks(t *testing.T) {
	fc := newFullCell(t, 800*time.Millisecond, 0)
	away := fc.awaitService(fc.failService(), fc.now)
	assert.Assert(t, away <= maxServiceAway, "the task was away for %s", away)
}
