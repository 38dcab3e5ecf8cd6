package backends

import (
	"context"
	"time"

	"github.com/lentiltide/lentiltide/backend"
)

// Advisor is a placement policy that permits every worker unless Permits is set.
type Advisor struct {
	// Delay is the time that an answer takes.
	Delay time.Duration
	// Validity is how long the tickets are valid.
	Validity time.Duration
	// Permits reports whether a step may run on a worker; nil permits all workers.
	Permits func(step, worker string) bool
}

var _ backend.Advisor = (*Advisor)(nil)

// Advise implements backend.Advisor.
func (a *Advisor) Advise(ctx context.Context, step string, workers []string) ([]backend.Ticket, time.Duration, error) {
	timer := time.NewTimer(a.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	var permitted []backend.Ticket
	for _, id := range workers {
		if a.Permits == nil || a.Permits(step, id) {
			permitted = append(permitted, backend.Ticket{Worker: id, Ticket: step + "@" + id})
		}
	}
	return permitted, a.Validity, nil
}
