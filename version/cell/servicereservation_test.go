package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a service task that stays away after the store is well again, because each start that the slow store withdrew has lost its room to short
// tasks, and because no room is kept for it meanwhile.
func TestServiceReturnsSoonAfterASlowStore(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
		for _, runTime := range []time.Duration{800 * time.Millisecond, 3 * time.Second, 7 * time.Second} {
			for phase := range 3 {
				t.Run(fmt.Sprint(delay, runTime, phase), func(t *testing.T) { testServiceAfterSlowStore(t, delay, runTime, phase) })
			}
		}
	}
}

func testServiceAfterSlowStore(t *testing.T, delay, runTime time.Duration, phase int) {
	fc := newFullCell(t, runTime, phase)
	fc.storeDelay = delay
	task := fc.failService()
	failedAt := fc.now
	fc.rounds(100 + 5*phase)
	fc.storeDelay = 0
	wellAt, during := fc.now, len(*fc.refused)
	fc.batchAt = min(fc.batchAt, fc.now+50*time.Millisecond)
	for fc.startedAt[task] <= failedAt && fc.now < wellAt+time.Minute {
		fc.round()
	}
	age := fc.core.jobs["service"].occurrences[0].steps[0].reservationAge
	t.Logf("reserved %s, paused until %s after the store was well", age.reserved, age.pausedUntil-wellAt)
	t.Logf("away for %s, of which %s with the store well; %d starts withdrawn while it was slow, %d later", fc.startedAt[task]-failedAt,
		max(0, fc.startedAt[task]-wellAt), during, len(*fc.refused)-during)
	assert.Assert(t, fc.now <= wellAt+maxServiceAway)
}

// Guards against a service task that stays away because the time for which room was kept for it in its earlier waits counts, so that none is kept any longer.
func TestReservationsOfEarlierWaitsDoNotPauseAService(t *testing.T) {
	fc := newFullCell(t, 7*time.Second, 0)
	var waits []time.Duration
	for range 8 {
		task := fc.failService()
		failedAt := fc.now
		waits = append(waits, fc.awaitService(task, failedAt).Round(10*time.Millisecond))
		fc.rounds(80)
	}
	t.Logf("waits: %v", waits)
	assert.Assert(t, slices.Max(waits) <= maxServiceAway, "%v", waits)
}

// Guards against a service for which no room is kept when it fails, because the time for which it has run since its last wait counts as time for which
// room was kept.
func TestTimeOfRunsDoesNotCountAsReserved(t *testing.T) {
	fc := newFullCell(t, 7*time.Second, 0)
	s := fc.core.jobs["service"].occurrences[0].steps[0]
	task := fc.failService()
	failedAt := fc.now
	fc.awaitService(task, failedAt)
	before := s.reservationAge.reserved
	fc.rounds(200)
	fc.failService()
	for range 5 {
		fc.round()
	}
	assert.Check(t, !s.reservationAge.paused(fc.now), "no room is kept for %s", s.reservationAge.pausedUntil-fc.now)
	assert.Check(t, s.reservationAge.reserved <= before+time.Second, "reserved for %s before and %s after the run", before, s.reservationAge.reserved)
}
