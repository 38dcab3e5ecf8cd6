package rack

import (
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// ClassPolicy holds the settings for one class.
type ClassPolicy struct {
	// Weight is the share weight among the service, batch and long classes. Urgent and short work precede them.
	Weight float64 `json:"weight"`
	// MaxShare is the largest share of the rack that the class may use, from 0 to 1.
	MaxShare float64 `json:"max_share"`
	// QueueLimit is the maximum number of queued offers of the class.
	QueueLimit int `json:"queue_limit"`
}

// ShortPolicy holds the settings for the capacity that is reserved for short work.
type ShortPolicy struct {
	// MinShare and MaxShare bound the reserved share of the rack, from 0 to 1.
	MinShare float64 `json:"min_share"`
	MaxShare float64 `json:"max_share"`
	// Headroom is the ratio of the reserved capacity to the demand of running and queued short work.
	Headroom float64 `json:"headroom"`
	// Decay is the time constant with which the reserved capacity shrinks.
	Decay time.Duration `json:"decay"`
	// ShortUntil is the run time from which a task counts as batch work.
	ShortUntil time.Duration `json:"short_until"`
	// LongAfter is the run time from which a task counts as long work.
	LongAfter time.Duration `json:"long_after"`
}

// WorkerReservationPolicy holds the settings for worker reservations and displacement.
type WorkerReservationPolicy struct {
	// After is how long an offer waits before a worker is reserved for it. Offers past their latest start time do not
	// have to wait.
	After time.Duration `json:"after"`
	// TTL is the maximum duration of a reservation.
	TTL time.Duration `json:"term"`
	// MaxShare bounds the share of reserved workers, from 0 to 1; one reservation is always allowed.
	MaxShare float64 `json:"max_share"`
	// VictimMargin is the minimum time between a displacement and the latest start time of the displaced task.
	VictimMargin time.Duration `json:"victim_margin"`
}

// QuarantinePolicy holds the settings for the quarantine of workers on which jobs fail.
type QuarantinePolicy struct {
	// Jobs is the number of distinct jobs that must fail on a worker, without a finished task in between.
	Jobs int `json:"jobs"`
	// ProbeAfter is the time to the first probe; it doubles with each failed probe up to ProbeMax.
	ProbeAfter time.Duration `json:"probe_after"`
	ProbeMax   time.Duration `json:"probe_max"`
}

// Policy holds the settings of a rack core.
type Policy struct {
	// LeaseDuration is the duration by which a renewal extends leases.
	LeaseDuration time.Duration
	// DriftFraction is the largest relative difference between the clocks of a worker and its owner.
	DriftFraction float64
	// DriftFloor is added to the drift margin, for clock granularity.
	DriftFloor time.Duration
	// OrphanLimit is how long an owner without contact to the table continues to renew leases.
	OrphanLimit time.Duration
	// WakeLimit bounds the blocked groups of one queue that one decision examines again.
	WakeLimit int
	// Classes holds the settings by class.
	Classes [model.NumClasses]ClassPolicy
	// TeamWeights are the weights of teams within a class; a team that is not listed has weight 1.
	TeamWeights       map[string]float64
	Short             ShortPolicy
	WorkerReservation WorkerReservationPolicy
	Quarantine        QuarantinePolicy
	// Jobs bounds the jobs whose observed usage, run time and failures are retained.
	Jobs int
	// StartedGangRetention is how long a started gang reservation is retained, so that a repeated start gets the same
	// reply.
	StartedGangRetention time.Duration
}

// DefaultPolicy returns the policy that applies unless the settings change it.
func DefaultPolicy() Policy {
	p := Policy{
		LeaseDuration: 15 * time.Second, DriftFraction: 0.01, DriftFloor: 100 * time.Millisecond,
		OrphanLimit: 2 * time.Hour, WakeLimit: 64,
		Short: ShortPolicy{
			MinShare: 0, MaxShare: 0.7, Headroom: 1.1, Decay: 30 * time.Second,
			ShortUntil: 10 * time.Second, LongAfter: 10 * time.Minute,
		},
		WorkerReservation: WorkerReservationPolicy{
			After: 30 * time.Second, TTL: 10 * time.Minute, MaxShare: 0.125, VictimMargin: time.Minute,
		},
		Quarantine: QuarantinePolicy{Jobs: 3, ProbeAfter: 10 * time.Second, ProbeMax: 10 * time.Minute},
		Jobs:       4096, StartedGangRetention: time.Hour,
	}
	weights := [model.NumClasses]float64{8, 8, 4, 2, 1}
	for i := range p.Classes {
		p.Classes[i] = ClassPolicy{Weight: weights[i], MaxShare: 1, QueueLimit: 20_000}
	}
	return p
}

// Check returns an error that names the first invalid field, or nil.
func (p Policy) Check() error {
	rules := []struct {
		ok              bool
		field, expected string
	}{
		{p.LeaseDuration > 0, "lease_term", "a positive duration"},
		{p.WakeLimit > 0, "wake_limit", "at least 1"},
		{p.Jobs > 0, "jobs", "at least 1"},
		{isFraction(p.Short.MinShare), "short.min_share", "0 to 1"},
		{isFraction(p.Short.MaxShare) && p.Short.MaxShare >= p.Short.MinShare, "short.max_share", "min_share to 1"},
		{p.Short.Headroom >= 1, "short.headroom", "at least 1"},
		{p.Short.Decay > 0, "short.decay", "a positive duration"},
		{p.Short.ShortUntil > 0, "short.short_until", "a positive duration"},
		{p.Short.LongAfter > p.Short.ShortUntil, "short.long_after", "more than short_until"},
		{p.WorkerReservation.After >= 0, "reserve.after", "a duration of at least 0"},
		{p.WorkerReservation.TTL > 0, "reserve.term", "a positive duration"},
		{isFraction(p.WorkerReservation.MaxShare), "reserve.max_share", "0 to 1"},
		{p.WorkerReservation.VictimMargin >= 0, "reserve.victim_margin", "a duration of at least 0"},
		{p.Quarantine.Jobs >= 2, "quarantine.jobs", "at least 2"},
		{p.Quarantine.ProbeAfter > 0, "quarantine.probe_after", "a positive duration"},
		{p.Quarantine.ProbeMax >= p.Quarantine.ProbeAfter, "quarantine.probe_max", "at least probe_after"},
	}
	for _, r := range rules {
		if !r.ok {
			return verdict.Invalid("policy."+r.field, "expected %s", r.expected)
		}
	}
	for class, cp := range p.Classes {
		path := "policy.classes." + model.Class(class).String()
		switch {
		case !(cp.Weight > 0):
			return verdict.Invalid(path+".weight", "expected more than 0, got %g", cp.Weight)
		case !isFraction(cp.MaxShare) || cp.MaxShare == 0:
			return verdict.Invalid(path+".max_share", "expected more than 0, up to 1, got %g", cp.MaxShare)
		case cp.QueueLimit < 1:
			return verdict.Invalid(path+".queue_limit", "expected at least 1, got %d", cp.QueueLimit)
		}
	}
	for team, w := range p.TeamWeights {
		if !(w > 0) {
			return verdict.Invalid("policy.team_weights."+team, "expected more than 0, got %g", w)
		}
	}
	return nil
}

// isFraction reports whether v is from 0 to 1; it is false for NaN.
func isFraction(v float64) bool { return v >= 0 && v <= 1 }

// expiryMargin returns the time after the end of a lease from which it has provably expired, whatever the drift between
// the clocks of the worker and its owner.
func (p Policy) expiryMargin() time.Duration {
	return time.Duration(float64(p.LeaseDuration)*p.DriftFraction) + p.DriftFloor
}

// teamWeight returns the weight of a team within a class.
func (p Policy) teamWeight(team string) float64 {
	if w, ok := p.TeamWeights[team]; ok {
		return w
	}
	return 1
}

// classForRunTime returns the class in which a task counts after a run time. Services keep their class, since they run
// until they are stopped.
func (p Policy) classForRunTime(class model.Class, ran time.Duration) model.Class {
	switch {
	case class == model.ClassService || class == model.ClassLong:
		return class
	case ran >= p.Short.LongAfter:
		return model.ClassLong
	case ran >= p.Short.ShortUntil:
		return max(class, model.ClassBatch)
	}
	return class
}
