package cell

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// ticketValidity is the validity of the tickets in the tests of gangs.
const ticketValidity = 1500 * time.Millisecond

// adviceSent records when the test has first seen the open advice requests.
type adviceSent map[*AdviseAction]Instant

// answer answers the requests whose expected duration is over with tickets for the workers that are permitted.
func (sent adviceSent) answer(tc *testCluster, permitted func(a *AdviseAction, worker string) bool) {
	tc.adviceRequests = slices.DeleteFunc(tc.adviceRequests, func(a *AdviseAction) bool {
		if _, known := sent[a]; !known {
			sent[a] = tc.now
		}
		if tc.now < sent[a]+a.Expected {
			return false
		}
		tc.answerAdvice(a, ticketValidity, func(i int) bool { return permitted(a, a.Workers[i]) })
		return true
	})
}

// pollWithOverdueRuns answers polls of the given number of workers. The runs that started at startedAt seem to end within
// seconds at any time, and do not.
func (tc *testCluster) pollWithOverdueRuns(workers int, running map[string][]backend.ActiveRun, startedAt Instant) {
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		for j := range running[id] {
			if tc.now > startedAt+time.Second {
				running[id][j].ProgressPercent = 60 + int((tc.now-startedAt)/time.Second)
			}
		}
		tc.answerPoll(id, running[id], nil)
	}
}

func permitEverywhere(*AdviseAction, string) bool { return true }

// A wide gang whose members share few workers must not put off the request for new tickets with each plan, and never start.
func TestWideGangOnFewWorkersRenewsItsTickets(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorkers(10)
	workers := []string{"w00", "w01", "w02", "w03", "w04", "w05", "w06", "w07", "w08", "w09"}
	tc.core.SetAdvisers([]string{"i1", "i2", "i3"})
	tc.addJob("blocker", "plain", 1, stepWithTasks(40, func(s *job.Step) { s.EstimateMS = 4000 }))
	tc.step()
	assert.Equal(t, len(tc.starts), 40)
	running := tc.confirmStarts()
	tc.addJob("gang", "long", 1, job.Step{
		Count: 100, TaskDemand: model.Resources{CPUMilli: 200, MemoryMiB: 50}, EstimateMS: 1000, Gang: true,
	})
	sent := adviceSent{}
	for end := tc.now + 3500*time.Millisecond; tc.now < end; tc.step() {
		for _, w := range workers {
			tc.answerPoll(w, running[w], nil)
		}
		sent.answer(tc, permitEverywhere)
	}
	assert.Equal(t, len(tc.starts), 0)
	for _, w := range workers {
		var completions []backend.FinishedRun
		for _, r := range running[w] {
			completions = append(completions, tc.completion(w, r.Task, r.Run, backend.ResultDone))
		}
		tc.answerPoll(w, nil, completions)
	}
	freedAt := tc.now
	for tc.now < freedAt+5*time.Second && len(tc.starts) == 0 {
		for _, w := range workers {
			tc.answerPoll(w, nil, nil)
		}
		sent.answer(tc, permitEverywhere)
		tc.step()
	}
	assert.Equal(t, len(tc.starts), 100)
	// One request for new tickets, and the time until the next plan.
	assert.Assert(t, tc.now <= freedAt+1500*time.Millisecond, "started after %v", tc.now-freedAt)
}

// A gang that cannot start must not keep those behind it from starting, whatever it lacks.
func TestGangsThatCannotStartLeaveTheirTurn(t *testing.T) {
	gang := func(tasks int, memoryMiB int64) job.Step {
		return job.Step{
			Count: tasks, TaskDemand: model.Resources{CPUMilli: 1000, MemoryMiB: memoryMiB}, EstimateMS: 1000, Gang: true,
		}
	}
	tests := []struct {
		name  string
		queue string
		// blocked is the gang that cannot start, and permitted the number of workers that the policy allows for it.
		blocked   job.Step
		permitted int
		bound     time.Duration
	}{
		{name: "too few workers are large enough", queue: "plain", blocked: gang(20, 5000), bound: time.Second},
		{name: "too few workers are allowed", queue: "long", blocked: gang(20, 100), permitted: 2, bound: 3 * time.Second},
		{name: "its reservation has expired", queue: "plain", blocked: gang(40, 100), bound: maxReservationAge + time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tc := newTestCluster(t, 1)
			tc.addWorkers(10)
			tc.core.SetAdvisers([]string{"i1", "i2", "i3"})
			tc.addJob("overdue", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.EstimateMS = 100 }))
			tc.step()
			running := tc.confirmStarts()
			tc.addJob("a-blocked", test.queue, 1, test.blocked)
			tc.addJob("b-small", test.queue, 1, gang(4, 100))
			sent, startedAt := adviceSent{}, tc.now
			for tc.now < startedAt+test.bound && len(tc.starts) == 0 {
				tc.pollWithOverdueRuns(10, running, startedAt)
				sent.answer(tc, func(a *AdviseAction, worker string) bool {
					return !strings.HasPrefix(a.Step, "a-blocked") || worker < fmt.Sprintf("w%02d", test.permitted)
				})
				tc.step()
			}
			assert.Equal(t, len(tc.starts), 4)
			assert.Assert(t, strings.HasPrefix(tc.starts[0].Command.Task, "b-small"))
		})
	}
}

// A gang that gets its turn back from more urgent ones must not find its reservation expired in the meantime.
func TestReservationAgesOnlyWhileItHolds(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorkers(10)
	tc.core.SetAdvisers([]string{"i1", "i2", "i3"})
	tc.addJob("overdue", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.EstimateMS = 100 }))
	tc.step()
	running := tc.confirmStarts()
	whole := func() job.Step { return stepWithTasks(40, func(s *job.Step) { s.Gang = true }) }
	sent, startedAt := adviceSent{}, tc.now
	advance := func(d time.Duration) {
		for end := tc.now + d; tc.now < end; tc.step() {
			tc.pollWithOverdueRuns(10, running, startedAt)
			sent.answer(tc, permitEverywhere)
		}
	}
	reserved := func(id job.ID) bool {
		for _, w := range tc.core.workers {
			if slices.ContainsFunc(w.reservations, func(r capacityReservation) bool { return r.step.job.id == id }) {
				return true
			}
		}
		return false
	}
	tc.addJob("patient", "plain", 1, whole())
	advance(time.Second)
	assert.Assert(t, reserved("patient"))
	tc.addJob("urgent", "short", 1, whole())
	advance(maxReservationAge - 500*time.Millisecond)
	assert.Assert(t, reserved("urgent"))
	assert.Assert(t, !reserved("patient"))
	// The urgent gang's own reservation expires.
	advance(2 * time.Second)
	assert.Assert(t, !reserved("urgent"))
	assert.Assert(t, reserved("patient"))
}
