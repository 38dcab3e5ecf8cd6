package loads

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model/job"
)

// loadPattern is a load and the metrics that judge how it is scheduled; lower is better.
type loadPattern struct {
	name string
	// run returns the metric of the jobs that the product favours, and that of the jobs that are delayed for them (the cost).
	run func(f *fleet) (metric, cost time.Duration)
}

// maxCostRatio is the upper bound of the product's cost relative to the naive one: favouring urgent jobs may delay the
// others by a tenth of their time.
const maxCostRatio = 1.1

var patterns = []loadPattern{
	{"BurstOfShortOverLong", burstOfShort},
	{"BurstOfAudits", burstOfAudits},
	{"AdviceBacklog", adviceBacklog},
	{"HalfARackGone", halfRackUnresponsive},
	{"CancelWave", cancelWave},
}

// burstOfShort fills the workers with long tasks, queues more of them, and then submits a burst of bookings. The metric is
// the time until 95 of 100 bookings have started; the cost is the time until half of the long jobs have finished.
func burstOfShort(f *fleet) (time.Duration, time.Duration) {
	for range 20 {
		f.submit("long", 14, 4, 5*time.Second)
	}
	f.advance(2 * time.Second)
	for range 40 {
		f.submit("short", 10, 2, 680*time.Millisecond)
		f.advance(20 * time.Millisecond)
	}
	f.advance(time.Minute)
	return f.quantile("short", 0.95, firstStart), f.quantile("long", 0.5, completion)
}

// burstOfAudits submits bookings at a steady rate and, at one instant, audits that would fill all workers several times
// over. The metric is the time until 95 of 100 bookings have finished; the cost is that of the slowest audit.
func burstOfAudits(f *fleet) (time.Duration, time.Duration) {
	for i := range 200 {
		if i == 20 {
			for range 40 {
				f.submit("long", 14, 4, 5*time.Second)
			}
		}
		f.submit("short", 5, 2, 680*time.Millisecond)
		f.advance(100 * time.Millisecond)
	}
	f.advance(2 * time.Minute)
	return f.quantile("short", 0.95, completion), f.quantile("long", 1, completion)
}

// adviceBacklog submits many bookings at once, each of which needs advice on its placement; an instance handles the advice
// for one booking at a time. The metric is the time until 95 of 100 have started; the cost is the time until the slowest one
// has finished.
func adviceBacklog(f *fleet) (time.Duration, time.Duration) {
	for range 100 {
		f.submit("short", 4, 1, 200*time.Millisecond)
	}
	f.advance(time.Minute)
	return f.quantile("short", 0.95, firstStart), f.quantile("short", 1, completion)
}

// halfRackUnresponsive lets half of a rack of twelve workers stop responding, without notice, while bookings run on them.
// The metric is the time until 95 of 100 bookings have finished; the cost is the median.
func halfRackUnresponsive(f *fleet) (time.Duration, time.Duration) {
	for i := range 100 {
		if i == 30 {
			for w := range 6 {
				f.workers[fmt.Sprintf("w%03d", w)].unresponsive = true
			}
		}
		f.submit("short", 4, 2, 680*time.Millisecond)
		f.advance(50 * time.Millisecond)
	}
	f.advance(time.Minute)
	return f.quantile("short", 0.95, completion), f.quantile("short", 0.5, completion)
}

// cancelWave fills the workers and the queue with audits, submits bookings that wait behind them, and then cancels most
// audits. The metric is the time until 95 of 100 bookings have started; the cost is the time until half of the audits have
// ended.
func cancelWave(f *fleet) (time.Duration, time.Duration) {
	var audits []job.ID
	for range 40 {
		audits = append(audits, f.submit("long", 14, 4, 5*time.Second))
	}
	f.advance(1500 * time.Millisecond)
	for range 20 {
		f.submit("short", 10, 2, 680*time.Millisecond)
	}
	f.advance(500 * time.Millisecond)
	for _, id := range audits[:32] {
		f.core.CancelJob(id, f.now)
	}
	f.advance(2 * time.Minute)
	return f.quantile("short", 0.95, firstStart), f.quantile("long", 0.5, completion)
}

// TestLoads checks that the product's scheduling is better than a naive one on each load pattern, at a bounded cost for the
// other jobs. The naive one serves jobs in order of arrival, requests advice from one instance and runs no speculative copies.
func TestLoads(t *testing.T) {
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			productMetric, productCost := p.run(newFleet(t, product, 24))
			naiveMetric, naiveCost := p.run(newFleet(t, naive, 24))
			t.Logf("%s: product %v, naive %v; cost: product %v, naive %v", p.name, productMetric, naiveMetric, productCost, naiveCost)
			assert.Assert(t, productMetric < naiveMetric)
			assert.Assert(t, float64(productCost) <= maxCostRatio*float64(naiveCost))
		})
	}
}
