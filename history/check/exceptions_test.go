package check

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/history"
)

// TestShrunkenWorker guards against a start that is reported although the former capacity of its worker still counts, and against
// one that is not reported when it does no longer.
func TestShrunkenWorker(t *testing.T) {
	for shrunkAt, want := range map[int64][]string{2950: nil, 2850: {"LIMIT capacity"}} {
		s := validScript()
		change := func(ms, memoryMB int64) {
			s.add(ms, history.Event{Kind: history.KindWorker, Worker: &history.Worker{
				Worker: "w2", Change: history.ChangeCapacity, Capacity: history.Resources{CPUMilli: 4000, MemoryMB: memoryMB},
			}})
		}
		// The second task on w2 starts at 7.4 s.
		change(shrunkAt, 1500)
		change(7410, 4000)
		r := checkText(t, s.text(t))
		assert.DeepEqual(t, r.BrokenSentences(), want)
	}
}

// TestCancellationBeforeItsJob guards against an answer that is reported because a client cancelled a job before it was accepted: that
// the job was not found does not say that the cancellation has no effect on a later attempt.
func TestCancellationBeforeItsJob(t *testing.T) {
	s := validScript()
	s.cancel(24_000, "x", history.VerdictNotFound)
	s.job(24_100, history.Job{ID: "x", Steps: []history.Step{{Count: 1, Demand: small}}})
	s.state(24_200, "x", history.StateCancelled)
	r := checkText(t, s.text(t))
	assert.Equal(t, len(r.BrokenSentences()), 0, "%+v", breakOf(r))
}
