package limit

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

func testSettings(inFlight int) Settings {
	s := Settings{MaxInFlight: inFlight, MaxClientInFlight: 1000, MaxTeamInFlight: 1000, MaxExpectedWait: 50 * time.Millisecond}
	for c := range s.MaxQueued {
		s.MaxQueued[c] = 100
	}
	return s
}

func newLimiter(s Settings) *Limiter { return New(time.Now, 1, s) }

// sendLoad sends requests of a class at a constant rate for a duration; each admitted request takes serviceTime. It
// returns the numbers of served and refused requests and the longest time until a refusal.
func sendLoad(l *Limiter, class model.Class, perSecond int, serviceTime, duration time.Duration) (served, refused int, longestRefusal time.Duration) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range int(duration.Seconds() * float64(perSecond)) {
		wg.Go(func() {
			start := time.Now()
			release, err := l.Acquire(context.Background(), Key{Class: class})
			mu.Lock()
			if err != nil {
				refused++
				longestRefusal = max(longestRefusal, time.Since(start))
			} else {
				served++
			}
			mu.Unlock()
			if err == nil {
				time.Sleep(serviceTime)
				release()
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return served, refused, longestRefusal
}

// TestLowestClassIsShedFirst guards against an overload by requests of a low class that delays or refuses requests of a
// higher class.
func TestLowestClassIsShedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(testSettings(10))
		// 10 requests in flight at 10 ms each make 1,000 requests/s; 300 short and 2,000 long ones arrive each second.
		var wg sync.WaitGroup
		var shortRefused, longServed, longRefused int
		var longestRefusal time.Duration
		wg.Go(func() {
			longServed, longRefused, longestRefusal = sendLoad(l, model.ClassLong, 2000, 10*time.Millisecond, 5*time.Second)
		})
		wg.Go(func() { _, shortRefused, _ = sendLoad(l, model.ClassShort, 300, 10*time.Millisecond, 5*time.Second) })
		wg.Wait()
		assert.Equal(t, shortRefused, 0)
		assert.Assert(t, longRefused > 5000 && longServed > 3000, "served %d and refused %d long requests", longServed, longRefused)
		assert.Assert(t, longestRefusal <= stallFactor*50*time.Millisecond, "longest time until a refusal: %v", longestRefusal)
	})
}

// TestRecoversImmediatelyAfterOverload guards against a metastable overload: once a load of three times the capacity
// has ended, no request may be refused.
func TestRecoversImmediatelyAfterOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(testSettings(10))
		_, refused, _ := sendLoad(l, model.ClassShort, 3000, 10*time.Millisecond, 5*time.Second)
		assert.Assert(t, refused > 5000, "refused %d requests during the overload", refused)
		served, refused, _ := sendLoad(l, model.ClassShort, 900, 10*time.Millisecond, time.Second)
		assert.Equal(t, refused, 0)
		assert.Equal(t, served, 900)
	})
}

// TestQueuedRequestIsRefusedWhenNothingCompletes guards against requests that wait forever behind requests that never
// complete.
func TestQueuedRequestIsRefusedWhenNothingCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(testSettings(1))
		release, err := l.Acquire(context.Background(), Key{})
		assert.NilError(t, err)
		_, err = l.Acquire(context.Background(), Key{})
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.Assert(t, verdict.From(err).RetryAfter > 0)
		release()
		release()
		inFlight, queued := l.InFlight()
		assert.Equal(t, inFlight+queued, 0)
	})
}

// TestClientAndTeamLimits guards against one client or team that uses the whole capacity, and against counts that are
// not decremented on release.
func TestClientAndTeamLimits(t *testing.T) {
	s := testSettings(100)
	s.MaxClientInFlight, s.MaxTeamInFlight = 2, 3
	l := newLimiter(s)
	var releases []func()
	acquire := func(client, team string) error {
		release, err := l.Acquire(context.Background(), Key{Client: client, Team: team})
		if err == nil {
			releases = append(releases, release)
		}
		return err
	}
	assert.NilError(t, acquire("a", "x"))
	assert.NilError(t, acquire("a", "x"))
	assert.Equal(t, verdict.From(acquire("a", "y")).Code, verdict.CodeOverloaded)
	assert.NilError(t, acquire("b", "x"))
	assert.Equal(t, verdict.From(acquire("c", "x")).Code, verdict.CodeOverloaded)
	assert.NilError(t, acquire("c", "y"))
	for _, release := range releases {
		release()
	}
	assert.Equal(t, len(l.activeByClient)+len(l.activeByTeam), 0)
	assert.NilError(t, acquire("a", "x"))
}

// TestCancelledWaiterLeavesQueue guards against the admission of requests whose callers no longer wait.
func TestCancelledWaiterLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(testSettings(1))
		release, err := l.Acquire(context.Background(), Key{})
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, err = l.Acquire(ctx, Key{Client: "gone"})
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		release()
		inFlight, queued := l.InFlight()
		assert.Equal(t, inFlight+queued+len(l.activeByClient), 0)
	})
}

// sleepFor sleeps on the fake clock of the synctest bubble. It returns false if ctx ends first.
func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// TestRetriesStayInBudget guards against retries that amplify an overload.
func TestRetriesStayInBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewRetryBudget(10, 1)
		attempts := 0
		for range 1000 {
			_ = b.Do(context.Background(), sleepFor, func() error {
				attempts++
				return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "down").WithRetryAfter(time.Millisecond)
			})
		}
		assert.Assert(t, attempts <= 1000+100+budgetBurst, "%d attempts", attempts)
		assert.Assert(t, attempts >= 1100, "%d attempts", attempts)
	})
}

// TestOnlyNotRunIsRetried guards against a second run of a request that may have run, and against retries that start
// after the caller's deadline or go to an overloaded owner.
func TestOnlyNotRunIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shortCtx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		for name, test := range map[string]struct {
			ctx  context.Context
			err  error
			want int
		}{
			"may have run":  {context.Background(), verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "").WithRetryAfter(1), 1},
			"ran":           {context.Background(), verdict.New(verdict.Ran, verdict.CodeFailed, "").WithRetryAfter(1), 1},
			"no verdict":    {context.Background(), errors.New("x"), 1},
			"overloaded":    {context.Background(), verdict.New(verdict.NotRun, verdict.CodeOverloaded, "").WithRetryAfter(1), 1},
			"past deadline": {shortCtx, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "").WithRetryAfter(time.Second), 1},
			"not run":       {context.Background(), verdict.New(verdict.NotRun, verdict.CodeUnavailable, "").WithRetryAfter(1), maxAttempts},
		} {
			attempts := 0
			err := NewRetryBudget(100, 1).Do(test.ctx, sleepFor, func() error { attempts++; return test.err })
			assert.Assert(t, errors.Is(err, test.err), name)
			assert.Equal(t, attempts, test.want, name)
		}
	})
}
