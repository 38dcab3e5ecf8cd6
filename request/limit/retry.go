package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// retryBaseDelay is the minimum delay before the first retry; it doubles with each further retry.
	retryBaseDelay = 20 * time.Millisecond
	// maxAttempts bounds the attempts of one request, including the first.
	maxAttempts = 3
	// budgetBurst bounds the retries that can accumulate while few are used.
	budgetBurst = 20
)

// RetryBudget limits retries to a ratio of new requests, so that retries cannot amplify an overload. It is a token bucket: a
// new request adds ratio tokens, a retry uses one.
type RetryBudget struct {
	mu     sync.Mutex
	rng    *rand.Rand
	ratio  float64
	tokens float64
}

// NewRetryBudget returns a budget of percent retries for each 100 new requests.
func NewRetryBudget(percent int, seed uint64) *RetryBudget {
	return &RetryBudget{rng: rand.New(rand.NewPCG(seed, 3)), ratio: float64(percent) / 100, tokens: budgetBurst}
}

// SetPercent replaces the number of retries for each 100 new requests.
func (b *RetryBudget) SetPercent(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = float64(percent) / 100
}

func (b *RetryBudget) addTokens() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetBurst, b.tokens+b.ratio)
}

func (b *RetryBudget) acquireToken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ratio <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retryDelay returns the delay before the next attempt: an exponential backoff, but at least retryAfter, plus up to 50%
// jitter.
func (b *RetryBudget) retryDelay(attempt int, retryAfter time.Duration) time.Duration {
	delay := max(retryAfter, retryBaseDelay<<attempt)
	b.mu.Lock()
	defer b.mu.Unlock()
	return delay + time.Duration(b.rng.Int64N(int64(delay)/2+1))
}

// Do runs a new request and retries it while it certainly did not run, the error has a retry delay, the budget allows
// it and the delay ends before the deadline of ctx. sleep waits and returns false if ctx has ended.
func (b *RetryBudget) Do(ctx context.Context, sleep func(context.Context, time.Duration) bool, attempt func() error) error {
	b.addTokens()
	for n := 0; ; n++ {
		err := attempt()
		if err == nil || n+1 >= maxAttempts || !retryable(err) {
			return err
		}
		delay := b.retryDelay(n, verdict.From(err).RetryAfter)
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= delay {
			return err
		}
		if !b.acquireToken() || !sleep(ctx, delay) {
			return err
		}
	}
}

// retryable reports whether a retry may succeed. Requests refused by an overloaded peer are not retried here: their
// clients receive a retry delay instead.
func retryable(err error) bool {
	e := verdict.From(err)
	return e.Verdict == verdict.NotRun && e.Code == verdict.CodeUnavailable && e.RetryAfter > 0
}
