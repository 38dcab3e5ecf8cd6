package backends

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
)

// TestGangsWorkTogether guards against a stand-in whose members of a gang work or end without the others.
func TestGangsWorkTogether(t *testing.T) {
	const duration = 2 * time.Second
	for name, c := range map[string]struct {
		// second is when the second member starts, and stop when the first one is stopped; 0 for never.
		second, stop time.Duration
		// until is the last moment at which the members run, and results how they end 1 ms later, by their workers.
		until   time.Duration
		results map[string]backend.RunResult
	}{
		"both":   {time.Second, 0, time.Second + duration - 1, map[string]backend.RunResult{"w1": backend.ResultDone, "w2": backend.ResultDone}},
		"alone":  {0, 0, gangTimeout - 1, map[string]backend.RunResult{"w1": backend.ResultGangIncomplete}},
		"broken": {time.Second, 2 * time.Second, 2*time.Second - 1, map[string]backend.RunResult{"w1": backend.ResultStopped, "w2": backend.ResultGangEnded}},
	} {
		t.Run(name, func(t *testing.T) {
			begin := time.Hour
			now := begin
			workers := NewWorkers(func() time.Duration { return now }, func(string) TaskBehavior { return TaskBehavior{Gang: 2, Duration: duration} })
			start := func(worker, task string) backend.Command {
				command := backend.Command{Worker: backend.WorkerRef{ID: worker}, Task: task, Run: 1, FencingToken: 7}
				_, err := workers.Start(t.Context(), backend.StartCommand{Command: command, LeaseDeadlineMS: 9000})
				assert.NilError(t, err)
				return command
			}
			workers.Add(backend.WorkerInfo{ID: "w1", StartedMS: 5})
			workers.Add(backend.WorkerInfo{ID: "w2", StartedMS: 5})
			first := start("w1", "a.0.0.0")
			if c.second > 0 {
				now = begin + c.second
				start("w2", "a.0.0.1")
			}
			now = begin + c.until
			assert.Equal(t, len(workers.RunningTasks()), len(c.results))
			now++
			if c.stop > 0 {
				_, err := workers.Stop(t.Context(), first)
				assert.NilError(t, err)
			}
			for worker, result := range c.results {
				poll, err := workers.Poll(t.Context(), backend.PollRequest{Worker: backend.WorkerRef{ID: worker}, FencingToken: 7})
				assert.NilError(t, err)
				assert.Equal(t, len(poll.Finished), 1, worker)
				assert.Equal(t, poll.Finished[0].Result, result, worker)
			}
		})
	}
}
