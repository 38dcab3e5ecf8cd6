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

func settings(inFlight int) Settings {
	s := Settings{MaxInFlight: inFlight, ClientInFlight: 1000, TeamInFlight: 1000, QueueDelay: 50 * time.Millisecond}
	for c := range s.MaxQueued {
		s.MaxQueued[c] = 100
	}
	return s
}

func newLimiter(s Settings) *Limiter { return New(time.Now, 1, s) }

// load sends requests of a class at a rate that take a service time each, and returns how many were answered and refused,
// with the longest time until a refusal.
func load(l *Limiter, class model.Class, perSecond int, service, length time.Duration) (served, refused int, slowest time.Duration) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range int(length.Seconds() * float64(perSecond)) {
		wg.Go(func() {
			began := time.Now()
			release, err := l.Acquire(context.Background(), Key{Class: class})
			mu.Lock()
			if err != nil {
				refused++
				slowest = max(slowest, time.Since(began))
			} else {
				served++
			}
			mu.Unlock()
			if err == nil {
				time.Sleep(service)
				release()
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return served, refused, slowest
}

// TestLowestClassIsShedFirst guards against an overload by long work that takes short work down with it.
func TestLowestClassIsShedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(settings(10))
		// 10 places of 10 ms each serve 1,000 requests/s; 300 short ones and 2,000 long ones arrive.
		var wg sync.WaitGroup
		var shortRefused, longServed, longRefused int
		var slowest time.Duration
		wg.Go(func() {
			longServed, longRefused, slowest = load(l, model.ClassLong, 2000, 10*time.Millisecond, 5*time.Second)
		})
		wg.Go(func() { _, shortRefused, _ = load(l, model.ClassShort, 300, 10*time.Millisecond, 5*time.Second) })
		wg.Wait()
		assert.Equal(t, shortRefused, 0)
		assert.Assert(t, longRefused > 5000 && longServed > 3000, "served %d refused %d", longServed, longRefused)
		assert.Assert(t, slowest <= stallFactor*50*time.Millisecond, "refused after %v", slowest)
	})
}

// TestRecoversAtOnce guards against a metastable state: after three times the capacity nothing is refused any more.
func TestRecoversAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(settings(10))
		_, refused, _ := load(l, model.ClassShort, 3000, 10*time.Millisecond, 5*time.Second)
		assert.Assert(t, refused > 5000, "%d", refused)
		served, refused, _ := load(l, model.ClassShort, 900, 10*time.Millisecond, time.Second)
		assert.Equal(t, refused, 0)
		assert.Equal(t, served, 900)
	})
}

// TestStalledBackendRefuses guards against requests that wait for ever behind ones that do not end.
func TestStalledBackendRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(settings(1))
		release, err := l.Acquire(context.Background(), Key{})
		assert.NilError(t, err)
		_, err = l.Acquire(context.Background(), Key{})
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.Assert(t, verdict.From(err).RetryAfter > 0)
		release()
		release()
		working, queued := l.InFlight()
		assert.Equal(t, working+queued, 0)
	})
}

// TestClientAndTeamLimits guards against one client or team that takes all places, and against counts that leak.
func TestClientAndTeamLimits(t *testing.T) {
	s := settings(100)
	s.ClientInFlight, s.TeamInFlight = 2, 3
	l := newLimiter(s)
	var releases []func()
	take := func(client, team string) error {
		release, err := l.Acquire(context.Background(), Key{Client: client, Team: team})
		if err == nil {
			releases = append(releases, release)
		}
		return err
	}
	assert.NilError(t, take("a", "x"))
	assert.NilError(t, take("a", "x"))
	assert.Equal(t, verdict.From(take("a", "y")).Code, verdict.CodeOverloaded)
	assert.NilError(t, take("b", "x"))
	assert.Equal(t, verdict.From(take("c", "x")).Code, verdict.CodeOverloaded)
	assert.NilError(t, take("c", "y"))
	for _, release := range releases {
		release()
	}
	assert.Equal(t, len(l.clients)+len(l.teams), 0)
	assert.NilError(t, take("a", "x"))
}

// TestGoneCallerLeavesQueue guards against places that are given to callers who have gone away.
func TestGoneCallerLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(settings(1))
		release, err := l.Acquire(context.Background(), Key{})
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, err = l.Acquire(ctx, Key{Client: "gone"})
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		release()
		working, queued := l.InFlight()
		assert.Equal(t, working+queued+len(l.clients), 0)
	})
}

// sleepFor sleeps on the clock of the bubble.
func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// TestRetriesStayInBudget guards against retries that multiply an overload.
func TestRetriesStayInBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(10, 1)
		attempts := 0
		for range 1000 {
			_ = b.Do(context.Background(), sleepFor, func() error {
				attempts++
				return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "down").After(time.Millisecond)
			})
		}
		assert.Assert(t, attempts <= 1000+100+budgetBurst, "%d attempts", attempts)
		assert.Assert(t, attempts >= 1100, "%d attempts", attempts)
	})
}

// TestOnlyNotRunIsRetried guards against a second run of a request that may have run, and against retries beyond the
// caller's deadline or against an overloaded owner.
func TestOnlyNotRunIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		for name, test := range map[string]struct {
			ctx  context.Context
			err  error
			want int
		}{
			"may have run":  {context.Background(), verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "").After(1), 1},
			"ran":           {context.Background(), verdict.New(verdict.Ran, verdict.CodeFailed, "").After(1), 1},
			"no verdict":    {context.Background(), errors.New("x"), 1},
			"overloaded":    {context.Background(), verdict.New(verdict.NotRun, verdict.CodeOverloaded, "").After(1), 1},
			"past deadline": {short, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "").After(time.Second), 1},
			"not run":       {context.Background(), verdict.New(verdict.NotRun, verdict.CodeUnavailable, "").After(1), maxAttempts},
		} {
			attempts := 0
			err := NewBudget(100, 1).Do(test.ctx, sleepFor, func() error { attempts++; return test.err })
			assert.Assert(t, errors.Is(err, test.err), name)
			assert.Equal(t, attempts, test.want, name)
		}
	})
}
