package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// ticketValidity is the validity of the tickets in the tests of gangs.
const ticketValidity = 1500 * time.Millisecond

// advanceWithAdvice runs scheduling rounds in which workers answer polls and each advice request is answered after its
// expected duration, until done returns true or the duration is over.
func (tc *testCluster) advanceWithAdvice(d time.Duration, workers []string, running map[string][]backend.ActiveRun, done func() bool) {
	sentAt := map[*AdviseAction]Instant{}
	for end := tc.now + d; tc.now < end && !done(); {
		for _, w := range workers {
			tc.answerPoll(w, running[w], nil)
		}
		tc.step()
		var open []*AdviseAction
		for _, a := range tc.adviceRequests {
			if _, known := sentAt[a]; !known {
				sentAt[a] = tc.now
			}
			if tc.now < sentAt[a]+a.Expected {
				open = append(open, a)
				continue
			}
			tc.answerAdvice(a, ticketValidity, permitAll)
		}
		tc.adviceRequests = open
	}
}

// A wide gang whose members share few workers must ask for new tickets as soon as the capacity is there, though its tickets
// expired while it waited. It put the request off with each new plan before, and never started.
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
	tc.advanceWithAdvice(3500*time.Millisecond, workers, running, func() bool { return false })
	assert.Equal(t, len(tc.starts), 0)
	for _, w := range workers {
		var completions []backend.FinishedRun
		for _, r := range running[w] {
			completions = append(completions, tc.completion(w, r.Task, r.Run, backend.ResultDone))
		}
		tc.answerPoll(w, nil, completions)
	}
	freedAt := tc.now
	tc.advanceWithAdvice(5*time.Second, workers, nil, func() bool { return len(tc.starts) > 0 })
	assert.Equal(t, len(tc.starts), 100)
	// One request for new tickets, and the time until the next plan.
	assert.Assert(t, tc.now <= freedAt+1500*time.Millisecond, "started after %v", tc.now-freedAt)
}
