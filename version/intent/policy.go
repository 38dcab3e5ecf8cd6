package intent

import "time"

// Policy holds the settings of an intent core.
type Policy struct {
	// PlanTerm is how long a plan can be confirmed.
	PlanTerm time.Duration
	// MaxPlans bounds the plans that wait for a confirmation.
	MaxPlans int
	// OfferTerm is how long the first offer stands before the task is also offered elsewhere. It doubles with each further
	// offer, up to MaxOfferTTL; urgent and short tasks keep the first term.
	OfferTerm, MaxOfferTTL time.Duration
	// ReoffersPerSecond bounds the rate of further offers of the partition, so that the messages do not grow with the number
	// of waiting tasks: each waits longer for its next offer instead.
	ReoffersPerSecond float64
	// OfferBatch bounds the tasks of one offer message.
	OfferBatch int
	// MaxOfferedRacks bounds the racks that one task is offered to at a time.
	MaxOfferedRacks int
	// EvenSpreadOffers is how many offers of a service task respect the even share of each availability zone. Later ones only
	// keep one zone from holding all tasks.
	EvenSpreadOffers int
	// MaxAttempts is on how many distinct workers a task may fail before it is stopped; MaxFailures bounds all failures, for
	// tasks that only one worker can hold.
	MaxAttempts, MaxFailures int
	// RestartBackoff is the first wait before a task that ended or failed is started again. It doubles up to
	// MaxRestartBackoff and starts anew after a run of at least StableRun.
	RestartBackoff, MaxRestartBackoff, StableRun time.Duration
	// Retention is how long ended tasks and intents stay in memory and can be asked for.
	Retention time.Duration
	// MaxTasks bounds the tasks in memory. Ended tasks are dropped early to stay below it; beyond that new work is refused.
	MaxTasks int
	// MaxTickets bounds one block of tickets.
	MaxTickets int
	// GangReservationTTL is the term of a gang's reservation at a rack; it is renewed after a third of it.
	GangReservationTTL time.Duration
	// GangReservationRetry is the time between attempts of a gang that keeps a start reservation.
	GangReservationRetry time.Duration
	// MaxGangReservation is how long a gang keeps a start reservation before it lets others go first.
	MaxGangReservation time.Duration
	// GangBackoff is the first wait of a gang that could not be held; it doubles up to MaxGangBackoff, with jitter.
	GangBackoff, MaxGangBackoff time.Duration
	// ReclaimAfter is how long tasks within their team's share wait before borrowed capacity is taken back.
	ReclaimAfter time.Duration
}

// DefaultPolicy returns the policy used when settings name none.
func DefaultPolicy() Policy {
	return Policy{
		PlanTerm: 10 * time.Minute, MaxPlans: 10_000,
		OfferTerm: 2 * time.Second, MaxOfferTTL: 16 * time.Second, ReoffersPerSecond: 200, OfferBatch: 256, MaxOfferedRacks: 6,
		EvenSpreadOffers: 5, MaxAttempts: 3, MaxFailures: 10,
		RestartBackoff: time.Second, MaxRestartBackoff: 5 * time.Minute, StableRun: time.Minute,
		Retention: 10 * time.Minute, MaxTasks: 100_000, MaxTickets: 1000,
		GangReservationTTL: 5 * time.Second, GangReservationRetry: 400 * time.Millisecond, MaxGangReservation: 5 * time.Minute,
		GangBackoff: 200 * time.Millisecond, MaxGangBackoff: 10 * time.Second,
		ReclaimAfter: 5 * time.Second,
	}
}

// SetPolicy replaces the policy. It applies to plans, offers and failures from now on.
func (c *Core) SetPolicy(p Policy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy = p
}

// backoff returns first doubled n times, at most limit.
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
