package site

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowProcessor is by how much slower the leader's processor is than the one on which costs were measured, in TestBookingsOnASlowProcessor.
const slowProcessor = 1.75

// floor is the share of quick jobs that must be in time beside a burst.
const floor = 0.85

// Quick jobs must stay in time when the leader's processor is slower and the leader has stood still for a second: decisions that cost more
// the more steps wait do not catch up again.
func TestBookingsOnASlowProcessor(t *testing.T) {
	site := Large()
	site.CPUShare /= slowProcessor
	site.StallAt, site.StallFor = 15*time.Second, time.Second
	r := New(site, MeasuredCosts, 1).Run(30*time.Second, 5*time.Second)
	t.Log(r)
	share := r.Kinds["booking"].Share()
	assert.Assert(t, share >= floor, "%.3f of the bookings in time, by second %v", share, r.Kinds["booking"].BySecond)
}
