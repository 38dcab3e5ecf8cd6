package worker

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// breakAfter is the number of failures in a row after which the breaker opens. One lost answer is no sign of a dead
	// worker.
	breakAfter = 3
	// breakBase and breakMax bound the time for which the breaker is open. The largest is far below the term of leases, so
	// that a worker that returns is synchronised before its tasks count as lapsed.
	breakBase = 100 * time.Millisecond
	breakMax  = 2 * time.Second
	// maxBreakers is the number of addresses beyond which those without failures are forgotten.
	maxBreakers = 4096
)

// breaker is the circuit breaker of one worker.
type breaker struct {
	mu       sync.Mutex
	failures int
	openTo   time.Time
	probing  bool
	used     time.Time
}

// allow returns a NotRun error while the breaker is open. After that it allows one request at a time until one is
// answered.
func (b *breaker) allow(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = now
	if b.failures < breakAfter {
		return nil
	}
	if wait := b.openTo.Sub(now); wait > 0 {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the worker failed to answer %d times", b.failures).After(wait)
	}
	if b.probing {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the worker is being probed").After(breakBase)
	}
	b.probing = true
	return nil
}

// forget takes an allowed request whose caller gave up, which says nothing about the worker.
func (b *breaker) forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

// done takes the result of an allowed request.
func (b *breaker) done(now time.Time, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if answered {
		b.failures = 0
		return
	}
	b.failures++
	if b.failures < breakAfter {
		return
	}
	wait := min(breakMax, breakBase<<min(b.failures-breakAfter, 10))
	b.openTo = now.Add(wait/2 + rand.N(wait/2))
}

// idle reports whether nothing is lost when the breaker is forgotten.
func (b *breaker) idle(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.used) > time.Minute
}

// answered reports whether the worker has answered, be it with an error.
func answered(err error) bool {
	return err == nil || verdict.From(err).Code != verdict.CodeUnavailable
}
