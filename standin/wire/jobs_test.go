package wire

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model"
)

// TestHistoryHasWhatTheClientSubmits guards against a history by which a start counts as allowed that the submitted job does not allow.
func TestHistoryHasWhatTheClientSubmits(t *testing.T) {
	begin := time.UnixMilli(1_700_000_000_000)
	each := model.Resources{CPUMilli: 1000, MemoryMiB: 100}
	demand := history.Resources{CPUMilli: 1000, MemoryMB: 100}
	job, err := HistoryJob(Job{
		Steps: []Step{
			{Tasks: 2, Each: each, Service: true},
			{Tasks: 3, Each: each, DependsOn: []int{0}, RequiredLabel: "r1", MaxPerWorker: 1, Speculative: true, Gang: true},
		},
		Repetitions: 2, StartAt: begin.Add(1500 * time.Millisecond), Interval: 700 * time.Millisecond,
	}.Body(), begin)
	assert.NilError(t, err)
	assert.DeepEqual(t, job, history.Job{
		Payload: "soak", Repetitions: 2, StartAtUS: 1_500_000, IntervalUS: 700_000,
		Steps: []history.Step{
			{Count: 2, Demand: demand, LongRunning: true},
			{Count: 3, Demand: demand, DependsOn: []int{0}, RequiredLabel: "r1", MaxPerWorker: 1, Speculative: true, Gang: true},
		},
	})
	_, err = HistoryJob("no job", begin)
	assert.ErrorContains(t, err, "decode job")
}
