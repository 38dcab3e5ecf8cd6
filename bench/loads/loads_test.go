package loads

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model/job"
)

// loadPattern is a load with the figure by which it is judged; lower is better.
type loadPattern struct {
	name string
	// run returns the figure that the callers feel, and the one of those who pay for it.
	run func(f *fleet) (metric, cost time.Duration)
}

// maxCostRatio is the largest multiple of the naive price: what is urgent may cost the others a tenth of their time.
const maxCostRatio = 1.1

var patterns = []loadPattern{
	{"BurstOfShortOverLong", burstOfShort},
	{"BurstOfAudits", burstOfAudits},
	{"AdviceBacklog", adviceBacklog},
	{"HalfARackGone", halfRackUnresponsive},
	{"CancelWave", cancelWave},
}

// burstOfShort: the workers are full of long tasks, more wait, and then bookings come at once. The figure is the time until
// 95 of 100 bookings have started; the price is the time until half of the long jobs are done.
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

// burstOfAudits: bookings arrive steadily when audits come at once that fill all workers several times over. The figure is
// the time until 95 of 100 bookings are done; the price is that of the slowest audit.
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

// adviceBacklog: many bookings come at once, each of which needs advice about its workers, which one instance answers for one
// booking at a time. The figure is the time until 95 of 100 have started; the price is that of the slowest.
func adviceBacklog(f *fleet) (time.Duration, time.Duration) {
	for range 100 {
		f.submit("short", 4, 1, 200*time.Millisecond)
	}
	f.advance(time.Minute)
	return f.quantile("short", 0.95, firstStart), f.quantile("short", 1, completion)
}

// halfRackUnresponsive: half of a rack of twelve workers die without a word while bookings run on them. The figure is the time until
// 95 of 100 bookings are done; the price is the median.
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

// cancelWave: audits fill the workers and the wait, bookings wait behind them, and then most audits are cancelled. The figure
// is the time until 95 of 100 bookings have started; the price is the time until half of the audits have ended.
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

// TestLoads guards the order of the product on the heaviest loads: each is played with it and in the order of arrival, with
// advice asked by one instance and without copies.
func TestLoads(t *testing.T) {
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			productMetric, productCost := p.run(newFleet(t, product, 24))
			naiveMetric, naiveCost := p.run(newFleet(t, naive, 24))
			t.Logf("%s: product %v, naive %v; price: product %v, naive %v", p.name, productMetric, naiveMetric, productCost, naiveCost)
			assert.Assert(t, productMetric < naiveMetric)
			assert.Assert(t, float64(productCost) <= maxCostRatio*float64(naiveCost))
		})
	}
}
