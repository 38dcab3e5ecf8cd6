package peer

import "time"

const (
	// observationInterval is the time between observations of a wait. An observation that is later than observationTolerance is
	// late: this process could not run.
	observationInterval  = 100 * time.Millisecond
	observationTolerance = 50 * time.Millisecond
	// maxLateFactor bounds a wait on a process that is always late to this multiple of its limit.
	maxLateFactor = 2
)

// waitLimit is a limit on a wait for a peer that does not count the time in which this process could not run: what the peer sent in
// that time is read only later.
type waitLimit struct {
	limit time.Duration
	// waited is the time that counts, and observedAt the latest observation.
	waited     time.Duration
	observedAt time.Time
}

// exhausted records an observation, which should follow the last one by observationInterval, and reports whether the wait is over.
// It is not over after a late observation, so that what has arrived meanwhile is read first.
func (p *waitLimit) exhausted(now time.Time) bool {
	elapsed := now.Sub(p.observedAt)
	p.observedAt = now
	p.waited += min(elapsed, observationInterval)
	late := elapsed > observationInterval+observationTolerance
	return p.waited >= p.limit && !late || p.waited >= maxLateFactor*p.limit
}

// awaitPeer waits until done is closed, and returns false if that takes longer than limit, as far as this process could run.
func awaitPeer(done <-chan struct{}, limit time.Duration) bool {
	ticker := time.NewTicker(observationInterval)
	defer ticker.Stop()
	p := waitLimit{limit: limit, observedAt: time.Now()}
	for {
		select {
		case <-done:
			return true
		case <-ticker.C:
			if p.exhausted(time.Now()) {
				return false
			}
		}
	}
}
