package cell

import "time"

// maxReservationAge is how long capacity is reserved for one step. Afterwards the step waits as long without a reservation, so
// that others get their turn.
const maxReservationAge = 15 * time.Second

// reservationAge counts the time in which capacity is reserved for a step. Time in which others have the turn does not count.
type reservationAge struct {
	reserved time.Duration
	// countedAt is the time up to which the present reservation has been counted; 0 without one.
	countedAt Instant
	// pausedUntil is the time before which no capacity may be reserved.
	pausedUntil Instant
}

// mayReserve reports whether capacity may be reserved now, and counts the time since the last call.
func (a *reservationAge) mayReserve(now Instant) bool {
	if a.paused(now) {
		return false
	}
	if a.countedAt != 0 {
		a.reserved += now - a.countedAt
	}
	a.countedAt = now
	if a.reserved < maxReservationAge {
		return true
	}
	*a = reservationAge{pausedUntil: now + maxReservationAge}
	return false
}

// endReservation ends the reservation of a step that makes progress or does not wait any longer. The next one may last as long again.
func (c *Core) endReservation(s *step) {
	c.dropPlan(s)
	s.reservationAge = reservationAge{}
}

// interrupt stops counting until capacity is reserved again.
func (a *reservationAge) interrupt() { a.countedAt = 0 }

// paused reports whether the reservation has expired and the next one may not start yet.
func (a *reservationAge) paused(now Instant) bool { return now < a.pausedUntil }
