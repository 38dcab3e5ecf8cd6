package cell

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against a service task that stays away after the store is well again, because each start that the slow store withdrew has lost its room to short
// tasks, and because no room is kept for it meanwhile.
func TestServiceReturnsSoonAfterASlowStore(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
		for _, runTime := range []time.Duration{800 * time.Millisecond, 3 * time.Second, 7 * time.Second} {
			for phase := range 3 {
				t.Run(fmt.Sprint(delay, runTime, phase), func(t *testing.T) { testServiceAfterSlowStore(t, delay, runTime, phase) })
			}
		}
	}
}

// fullCell is a cell whose workers are full of short tasks, with a service of which only two workers are allowed.
type fullCell struct {
	*serviceCluster
	storeDelay time.Duration
	batch      Batch
	batchAt    Instant
	refused    *[]map[string]any
	round      func()
}

// failService ends the run of the service as failed and returns its task.
func (fc *fullCell) failService() string {
	for worker, runs := range fc.running {
		i := slices.IndexFunc(runs, func(r backend.ActiveRun) bool { return strings.HasPrefix(r.Task, "service") })
		if i < 0 {
			continue
		}
		fc.running[worker] = slices.Delete(slices.Clone(runs), i, i+1)
		fc.poll(worker, fc.completion(worker, runs[i].Task, runs[i].Run, backend.ResultFailed))
		return runs[i].Task
	}
	fc.t.Fatal("the service does not run")
	return ""
}

func newFullCell(t *testing.T, runTime time.Duration, phase int) *fullCell {
	const workers = 8
	sc := newServiceCluster(t, 1)
	refused := sc.recordDecisions("start_refused")
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		sc.boots[id] = 1000
		sc.listWorker(id, nil)
	}
	sc.core.SetAdvisers([]string{"i1", "i2"})
	sc.round()
	isAllowed := func(id string) bool { return id == "w2" || id == "w5" }
	endsAt := map[string]Instant{}
	fc := &fullCell{serviceCluster: sc, refused: refused}
	store := func() {
		if fc.storeDelay == 0 && fc.batch.Empty() {
			sc.storeBatches()
			return
		}
		if !fc.batch.Empty() {
			if sc.now < fc.batchAt {
				return
			}
			sc.core.BatchStored(fc.batch, true, sc.now)
			fc.batch = Batch{}
		}
		if b := sc.core.CollectBatch(80); !b.Empty() {
			fc.batch, fc.batchAt = b, sc.now+fc.storeDelay
		}
	}
	round := func() {
		for range 5 {
			sc.advance(20 * time.Millisecond)
			for _, a := range sc.starts {
				sc.startedAt[a.Command.Task] = sc.now
				if !strings.HasPrefix(a.Command.Task, "service") {
					endsAt[a.Command.Task] = sc.now + runTime
				}
			}
			for id, runs := range sc.confirmStarts() {
				sc.running[id] = append(sc.running[id], runs...)
			}
			var due []*AdviseAction
			for _, a := range sc.adviceRequests {
				if sc.now >= a.request.dueAt {
					var tickets []backend.Ticket
					for _, id := range a.Workers {
						if isAllowed(id) {
							tickets = append(tickets, backend.Ticket{Worker: id, Ticket: "t"})
						}
					}
					sc.core.AdviceResult(a, tickets, 2*time.Second, nil, sc.now)
					due = append(due, a)
				}
			}
			sc.adviceRequests = slices.DeleteFunc(sc.adviceRequests, func(a *AdviseAction) bool { return slices.Contains(due, a) })
			for id, runs := range sc.running {
				for i := range runs {
					// The progress is exact.
					if end := endsAt[runs[i].Task]; end != 0 {
						runs[i].ProgressPercent = min(99, 100-int(100*max(0, end-sc.now)/runTime))
					} else {
						runs[i].ProgressPercent = 100
					}
				}
				i := slices.IndexFunc(runs, func(r backend.ActiveRun) bool { return endsAt[r.Task] != 0 && sc.now >= endsAt[r.Task] })
				if i >= 0 {
					sc.running[id] = slices.Delete(slices.Clone(runs), i, i+1)
					sc.poll(id, sc.completion(id, runs[i].Task, runs[i].Run, backend.ResultDone))
				}
			}
			sc.poll("")
			store()
		}
	}
	fc.round = round
	sc.addJob("service", "long", 1, stepWithTasks(1, func(s *job.Step) { s.LongRunning, s.TaskDemand.CPUMilli = true, 3000 }))
	for range 100 {
		round()
	}
	worker := ""
	for id, runs := range sc.running {
		if len(runs) > 0 {
			worker = id
		}
	}
	assert.Assert(t, isAllowed(worker), "the service has not started")
	for i := range 40 {
		sc.addJob(fmt.Sprintf("short%02d", i), "plain", 1, stepWithTasks(100, func(s *job.Step) { s.EstimateMS = runTime.Milliseconds() }))
	}
	for range 30 + 7*phase {
		round()
	}
	return fc
}

func testServiceAfterSlowStore(t *testing.T, delay, runTime time.Duration, phase int) {
	fc := newFullCell(t, runTime, phase)
	fc.storeDelay = delay
	task := fc.failService()
	failedAt := fc.now
	for range 100 + 5*phase {
		fc.round()
	}
	fc.storeDelay = 0
	wellAt, during := fc.now, len(*fc.refused)
	fc.batchAt = min(fc.batchAt, fc.now+50*time.Millisecond)
	for fc.startedAt[task] <= failedAt && fc.now < wellAt+time.Minute {
		fc.round()
	}
	age := fc.core.jobs["service"].occurrences[0].steps[0].reservationAge
	t.Logf("reserved %s, paused until %s after the store was well", age.reserved, age.pausedUntil-wellAt)
	t.Logf("away for %s, of which %s with the store well; %d starts withdrawn while it was slow, %d later", fc.startedAt[task]-failedAt,
		max(0, fc.startedAt[task]-wellAt), during, len(*fc.refused)-during)
	assert.Assert(t, fc.now <= wellAt+maxServiceAway)
}

// Guards against a service task that stays away because the time for which room was kept for it in its earlier waits counts, so that none is kept any longer.
func TestReservationsOfEarlierWaitsDoNotPauseAService(t *testing.T) {
	fc := newFullCell(t, 7*time.Second, 0)
	var waits []time.Duration
	for range 8 {
		task := fc.failService()
		failedAt := fc.now
		for fc.startedAt[task] <= failedAt && fc.now < failedAt+time.Minute {
			fc.round()
		}
		waits = append(waits, (fc.now - failedAt).Round(10*time.Millisecond))
		for range 80 {
			fc.round()
		}
	}
	t.Logf("waits: %v", waits)
	assert.Assert(t, slices.Max(waits) <= maxServiceAway, "%v", waits)
}

// Guards against a service for which no room is kept when it fails, because the time for which it has run since its last wait counts as time for which
// room was kept.
func TestTimeOfRunsDoesNotCountAsReserved(t *testing.T) {
	fc := newFullCell(t, 7*time.Second, 0)
	s := fc.core.jobs["service"].occurrences[0].steps[0]
	task := fc.failService()
	failedAt := fc.now
	for fc.startedAt[task] <= failedAt && fc.now < failedAt+time.Minute {
		fc.round()
	}
	before := s.reservationAge.reserved
	for range 200 {
		fc.round()
	}
	fc.failService()
	for range 5 {
		fc.round()
	}
	assert.Check(t, !s.reservationAge.paused(fc.now), "no room is kept for %s", s.reservationAge.pausedUntil-fc.now)
	assert.Check(t, s.reservationAge.reserved <= before+time.Second, "reserved for %s before and %s after the run", before, s.reservationAge.reserved)
}
