// Package latency tracks how long a service takes to answer, so that timeouts follow a service that is slow.
package latency

import (
	"sync"
	"time"
)

// recentWindow is how long an answer time counts as recent.
const recentWindow = 3 * time.Second

// Peak is the longest recent answer time of a service. The zero value is ready to use, and its methods may be called concurrently.
type Peak struct {
	mu        sync.Mutex
	longest   time.Duration
	longestAt time.Duration
}

// Record records an answer that took a time and arrived at now, on any clock that does not run backwards.
func (p *Peak) Record(took, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if took >= p.longest || now > p.longestAt+recentWindow {
		p.longest, p.longestAt = took, now
	}
}

// Recent returns the longest recent answer time, 0 if there is none.
func (p *Peak) Recent(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now > p.longestAt+recentWindow {
		return 0
	}
	return p.longest
}

// Timeout returns factor times the longest recent answer time, at least shortest and at most longest.
func (p *Peak) Timeout(now time.Duration, factor int, shortest, longest time.Duration) time.Duration {
	return min(max(shortest, time.Duration(factor)*p.Recent(now)), longest)
}
