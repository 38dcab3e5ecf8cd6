package intent

import "time"

// Policy holds the settings of an intent core.
type Policy struct {
	// PlanTTL is how long a plan can be confirmed after it was drafted.
	PlanTTL time.Duration
	// MaxPlans bounds the number of plans that wait for a confirmation.
	MaxPlans int
	// OfferTTL is how long the first offer of a task is valid before the task is also offered elsewhere. The duration
	// doubles with each further offer, up to MaxOfferTTL; for urgent and short tasks it does not grow.
	OfferTTL, MaxOfferTTL time.Duration
	// ReoffersPerSecond bounds the rate of repeated offers of the partition, so that the number of messages does not grow
	// with the number of waiting tasks; each task waits longer for its next offer instead.
	ReoffersPerSecond float64
	// OfferBatch bounds the number of tasks in one offer message.
	OfferBatch int
	// MaxOfferedRacks bounds the number of racks that a task is offered to at the same time.
	MaxOfferedRacks int
	// EvenSpreadOffers is the number of offers of a service task that respect the even share of each availability zone. Later
	// offers only prevent one zone from running all tasks.
	EvenSpreadOffers int
	// MaxAttempts is the number of distinct workers on which a task may fail before it is stopped. MaxFailures bounds the
	// total number of failures, for tasks that fit only one worker.
	MaxAttempts, MaxFailures int
	// RestartBackoff is the first delay before a task that ended or failed is started again. The delay doubles each time, up
	// to MaxRestartBackoff, and is reset by a run of at least StableRun.
	RestartBackoff, MaxRestartBackoff, StableRun time.Duration
	// Retention is how long ended tasks and intents stay in memory and can be queried.
	Retention time.Duration
	// MaxTasks bounds the number of tasks in memory. Ended tasks are evicted early to stay within it; if that is not enough,
	// new work is refused.
	MaxTasks int
	// MaxTickets bounds the number of tickets that one request can obtain.
	MaxTickets int
	// GangReservationTTL is the time to live of a gang's reservation at a rack. A reservation that is kept is renewed after a
	// third of it.
	GangReservationTTL time.Duration
	// GangReservationRetry is the time between attempts of a gang that retains a partial reservation.
	GangReservationRetry time.Duration
	// MaxGangReservation is how long a gang retains a partial reservation before it releases it and lets other gangs go first.
	MaxGangReservation time.Duration
	// GangBackoff is the first delay of a gang whose members could not all be reserved. It doubles up to MaxGangBackoff, with
	// jitter.
	GangBackoff, MaxGangBackoff time.Duration
	// ReclaimAfter is how long tasks within their team's share wait before borrowed capacity is reclaimed for them.
	ReclaimAfter time.Duration
}

// DefaultPolicy returns the policy that applies unless the configuration sets other values.
func DefaultPolicy() Policy {
	return Policy{
		PlanTTL: 10 * time.Minute, MaxPlans: 10_000,
		OfferTTL: 2 * time.Second, MaxOfferTTL: 16 * time.Second, ReoffersPerSecond: 200, OfferBatch: 256, MaxOfferedRacks: 6,
		EvenSpreadOffers: 5, MaxAttempts: 3, MaxFailures: 10,
		RestartBackoff: time.Second, MaxRestartBackoff: 5 * time.Minute, StableRun: time.Minute,
		Retention: 10 * time.Minute, MaxTasks: 100_000, MaxTickets: 1000,
		GangReservationTTL: 5 * time.Second, GangReservationRetry: 400 * time.Millisecond, MaxGangReservation: 5 * time.Minute,
		GangBackoff: 200 * time.Millisecond, MaxGangBackoff: 10 * time.Second,
		ReclaimAfter: 5 * time.Second,
	}
}

// SetPolicy replaces the policy. It applies to plans, offers and failures from then on.
func (c *Core) SetPolicy(p Policy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy = p
}

// backoff returns first, doubled n times, but at most limit.
func backoff(first, limit time.Duration, n int) time.Duration {
	d := first
	for range n {
		if d >= limit {
			return limit
		}
		d *= 2
	}
	return min(d, limit)
}
