package cell

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against sweeps that take longer than the time between them: prints the cost of one with 1,000 workers, of which a share is suspect, and thousands of waiting steps. It asserts nothing
// and takes minutes, so that it runs only with REVIEW_COST=1.
func TestReviewCostOfSweeps(t *testing.T) {
	if os.Getenv("REVIEW_COST") == "" {
		t.Skip("REVIEW_COST is not set")
	}
	for _, queue := range []string{"plain", "short"} {
		for _, suspects := range []int{0, 400, 1000} {
			for _, services := range []int{0, 60, 600} {
				t.Run(fmt.Sprintf("%s/%d suspect/%d services", queue, suspects, services), func(t *testing.T) {
					tc := newTestCluster(t, 1)
					const workers = 1000
					ids := make([]string, workers)
					for i := range workers {
						ids[i] = fmt.Sprintf("w%04d", i)
						tc.listWorker(ids[i], nil)
						tc.answerPoll(ids[i], nil, nil)
					}
					tc.storeBatches()
					tc.core.SetAdvisers([]string{"i1", "i2", "i3", "i4"})
					running := map[string][]backend.ActiveRun{}
					// 16 small long runs on each worker.
					for i := range 160 {
						id := fmt.Sprintf("fill%03d", i)
						tc.addJob(id, "plain", 1, stepWithTasks(100, func(s *job.Step) { s.TaskDemand.CPUMilli, s.EstimateMS = 245, 600_000 }))
					}
					for range 40 {
						tc.step()
						for w, runs := range tc.confirmStarts() {
							running[w] = append(running[w], runs...)
						}
						tc.advance(20 * time.Millisecond)
					}
					for w, runs := range tc.confirmStarts() {
						running[w] = append(running[w], runs...)
					}
					for i := range suspects {
						tc.core.reviewSuspect(tc.core.workers[ids[i]])
					}
					for i := range services {
						tc.addJob(fmt.Sprintf("s%04d", i), queue, 1, stepWithTasks(1, func(s *job.Step) { s.LongRunning, s.TaskDemand.CPUMilli = true, 1000 }))
					}
					for i := range 3000 {
						tc.addJob(fmt.Sprintf("j%04d", i), queue, 1, stepWithTasks(2, func(s *job.Step) { s.TaskDemand.CPUMilli = 1000 + int64(i) }))
					}
					tc.step()
					var spent time.Duration
					const rounds = 30
					for range rounds {
						tc.now += 100 * time.Millisecond
						for _, id := range ids {
							tc.answerPoll(id, running[id], nil)
						}
						began := time.Now()
						tc.step()
						spent += time.Since(began)
						tc.starts = nil
					}
					n := 0
					for _, r := range running {
						n += len(r)
					}
					t.Logf("%s a sweep, %d runs, %d waiting steps", spent/rounds, n, len(tc.core.ready.ranked))
				})
			}
		}
	}
}
