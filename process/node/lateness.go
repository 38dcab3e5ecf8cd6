package node

import (
	"context"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/version/cell"
)

const (
	// latenessInterval is the time between observations of a lateness.
	latenessInterval = 20 * time.Millisecond
	// latenessTolerance is the delay of an observation that is usual.
	latenessTolerance = 5 * time.Millisecond
)

// lateness measures for how long this process could not run when it should: its processor was busy, or the process was suspended. What
// others did in that time is handled later, so a limit on their answers must not count it.
type lateness struct {
	now func() cell.Instant

	mu sync.Mutex
	// observedAt is when the process last ran on time or late, 0 before the first observation. total is the time lost up to then.
	observedAt cell.Instant
	total      time.Duration
}

// run observes the process until ctx ends.
func (l *lateness) run(ctx context.Context) {
	l.observe()
	for pause(ctx, latenessInterval) {
		l.observe()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observedAt = 0
}

// observe records that the process runs, which it should do every latenessInterval.
func (l *lateness) observe() {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total += l.overdue(now)
	l.observedAt = now
}

// lost returns the time that the process has lost since it was first observed.
func (l *lateness) lost() time.Duration {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total + l.overdue(now)
}

// overdue returns by how much the next observation is late. Callers hold l.mu.
func (l *lateness) overdue(now cell.Instant) time.Duration {
	if l.observedAt == 0 {
		return 0
	}
	overdue := now - l.observedAt - latenessInterval
	if overdue <= latenessTolerance {
		return 0
	}
	return overdue
}
