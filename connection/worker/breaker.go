package worker

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// failureThreshold is the number of consecutive failures after which the breaker opens. A single lost reply does
	// not mean that the worker is down.
	failureThreshold = 3
	// baseBackoff and maxBackoff bound the time for which the breaker stays open. The maximum is far below the lease
	// duration, so that a worker that returns is synchronised before the leases of its tasks expire.
	baseBackoff = 100 * time.Millisecond
	maxBackoff  = 2 * time.Second
	// maxBreakers is the number of addresses above which idle breakers are dropped.
	maxBreakers = 4096
)

// breaker is the circuit breaker for requests to one worker.
type breaker struct {
	// mu protects the fields below. failures counts consecutive failures. probing is set while a request that probes
	// the worker is in progress.
	mu         sync.Mutex
	failures   int
	openUntil  time.Time
	probing    bool
	lastUsedAt time.Time
}

// allow returns nil if a request may be sent, and a NotRun error while the breaker is open. After the backoff, it
// allows one request at a time until the worker replies.
func (b *breaker) allow(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastUsedAt = now
	if b.failures < failureThreshold {
		return nil
	}
	if wait := b.openUntil.Sub(now); wait > 0 {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the worker failed to answer %d times", b.failures).WithRetryAfter(wait)
	}
	if b.probing {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the worker is being probed").WithRetryAfter(baseBackoff)
	}
	b.probing = true
	return nil
}

// recordCancelled records that the caller cancelled an allowed request, which indicates nothing about the worker.
func (b *breaker) recordCancelled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

// recordResult records whether the worker replied to an allowed request.
func (b *breaker) recordResult(now time.Time, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if answered {
		b.failures = 0
		return
	}
	b.failures++
	if b.failures < failureThreshold {
		return
	}
	wait := min(maxBackoff, baseBackoff<<min(b.failures-failureThreshold, 10))
	b.openUntil = now.Add(wait/2 + rand.N(wait/2))
}

// idle reports whether the breaker can be dropped: it was unused for a minute, which is longer than maxBackoff, so that
// it is no longer open.
func (b *breaker) idle(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.lastUsedAt) > time.Minute
}

// isAnswer reports whether err is the result of a request to which the worker replied, with or without an error.
func isAnswer(err error) bool {
	return err == nil || verdict.From(err).Code != verdict.CodeUnavailable
}
