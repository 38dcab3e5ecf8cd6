package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// retryBase is the first wait before a retry; it doubles with each further one.
	retryBase = 20 * time.Millisecond
	// maxAttempts bounds the attempts of one request, the first included.
	maxAttempts = 3
	// budgetBurst bounds the retries that quiet times save up.
	budgetBurst = 20
)

// Budget bounds retries to a share of fresh traffic, so that retries cannot multiply an overload.
type Budget struct {
	mu     sync.Mutex
	rng    *rand.Rand
	share  float64
	tokens float64
}

// NewBudget returns a budget of percent retries for each 100 fresh requests.
func NewBudget(percent int, seed uint64) *Budget {
	return &Budget{rng: rand.New(rand.NewPCG(seed, 3)), share: float64(percent) / 100, tokens: budgetBurst}
}

// SetPercent replaces the share.
func (b *Budget) SetPercent(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = float64(percent) / 100
}

func (b *Budget) fresh() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetBurst, b.tokens+b.share)
}

func (b *Budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.share <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wait returns the wait before the next attempt: a doubling time, at least the retry time that the error names, with
// jitter upwards.
func (b *Budget) wait(attempt int, after time.Duration) time.Duration {
	d := max(after, retryBase<<attempt)
	b.mu.Lock()
	defer b.mu.Unlock()
	return d + time.Duration(b.rng.Int64N(int64(d)/2+1))
}

// Do runs one fresh request and repeats it while it certainly did not run, the error names a time to retry, the budget
// allows it and the caller's deadline leaves time for the wait. sleep waits and returns false when ctx has ended.
func (b *Budget) Do(ctx context.Context, sleep func(context.Context, time.Duration) bool, attempt func() error) error {
	b.fresh()
	for n := 0; ; n++ {
		err := attempt()
		if err == nil || n+1 >= maxAttempts || !retryable(err) {
			return err
		}
		wait := b.wait(n, verdict.From(err).RetryAfter)
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
			return err
		}
		if !b.take() || !sleep(ctx, wait) {
			return err
		}
	}
}

// retryable says whether a repetition may help. An overloaded peer gets no retries from the system: its clients are told
// when to come back.
func retryable(err error) bool {
	e := verdict.From(err)
	return e.Verdict == verdict.NotRun && e.Code == verdict.CodeUnavailable && e.RetryAfter > 0
}
