package site

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model/job"
)

// busySite is a cell of 100 workers with short tasks, several on each worker, beside services that come in its first seconds. With a load of 1
// the short tasks nearly fill it.
func busySite(load float64) Site {
	return Site{
		Instances: 20, Workers: 100, CPUShare: 0.8,
		Kinds: []Kind{
			{
				Name: "booking", PerSecond: 16 * load, BurstFactor: 1, Steps: 1.6, Width: 13,
				TaskTime: 540 * time.Millisecond, CPUMilli: 1750, MemoryMiB: 3600, Objective: 250 * time.Millisecond, Stretch: 1.5,
				Advice: job.Advice{DecisionMS: 29.9, PerWorkerMS: 0.416, ValidityMS: 2500}, Approved: 0.7,
			},
			{
				Name: "fleet-audit", PerSecond: 1.4 * load, BurstFactor: 1, Steps: 2, Width: 26,
				TaskTime: 5100 * time.Millisecond, CPUMilli: 2250, MemoryMiB: 6500, Checkpoints: true,
				Priority: 2, Objective: 1200 * time.Millisecond, Stretch: 2.2,
				Advice: job.Advice{DecisionMS: 559, PerWorkerMS: 7.93, ValidityMS: 2500}, Approved: 0.35,
			},
			{
				Name: "repair-watch", PerSecond: 0.01, BurstFactor: 300, BurstUntil: 3 * time.Second, Steps: 1, MinWidth: 8, MaxWidth: 20,
				TaskTime: 45 * time.Second, CPUMilli: 2500, MemoryMiB: 4000, LongRunning: true,
				Priority: 1, Objective: 2500 * time.Millisecond, Stretch: 2.2,
				Advice: job.Advice{DecisionMS: 585, PerWorkerMS: 8.45, ValidityMS: 2000}, Approved: 0.35,
			},
		},
	}
}

// checkServicesReturn checks that no service task is away for too long after a share of the workers has failed all runs for 8 s, in which two
// leaders are lost.
func checkServicesReturn(t *testing.T, load, failingWorkers float64, losses []time.Duration, seed uint64) {
	t.Run(fmt.Sprintf("failing=%g/seed=%d", failingWorkers, seed), func(t *testing.T) {
		t.Parallel()
		site := busySite(load)
		site.Disturbances = Disturbances{
			Failures: Window{10 * time.Second, 18 * time.Second}, FailingWorkers: failingWorkers, LeaderLosses: losses,
		}
		r := New(site, MeasuredCosts, seed).Run(32*time.Second, 0)
		t.Log(r)
		broken := r.BrokenServices()
		assert.Assert(t, len(broken) == 0, "%d service tasks were without a run for too long: %v", len(broken), broken)
	})
}

// Guards against service tasks that stay away after workers have failed all runs, because failures that happened together, or before a new
// leader could read them, close the workers for long.
func TestServicesReturnAfterWorkersHaveFailed(t *testing.T) {
	losses := []time.Duration{11 * time.Second, 17 * time.Second}
	checkServicesReturn(t, 1, 0.5, losses, 0)
	for seed := uint64(1); seed <= 3; seed++ {
		checkServicesReturn(t, 1, 0.97, losses, seed)
	}
}

// Guards against service tasks that stay away after workers have failed all runs in a cell with more short tasks than it can hold: the tasks of
// many services wait together, and the room goes to short tasks.
func TestServicesReturnToAnOverloadedCell(t *testing.T) {
	for seed := range uint64(3) {
		checkServicesReturn(t, 2, 0.97, []time.Duration{14 * time.Second, 16500 * time.Millisecond}, seed)
	}
}
