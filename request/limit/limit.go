// Package limit implements admission control for the requests of an instance: concurrency limits for each client and
// team, a bounded queue for each class, load shedding that starts with the lowest class, and a retry budget. A Limiter
// lives as long as the process; an admission lives for one request.
package limit

import (
	"container/list"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// rateWindow is the length of the window over which the completion rate is measured. It is short, so that the
	// estimate of the queue delay follows a change in load within a fraction of a second.
	rateWindow = 250 * time.Millisecond
	// stallFactor times MaxExpectedWait is the maximum time in a queue. It takes effect when requests no longer complete.
	stallFactor = 4
	// minRetryAfter and maxRetryAfter bound the expected wait from which the retry delay of a refusal is computed.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Settings are the limits that a Limiter enforces.
type Settings struct {
	// MaxInFlight bounds the admitted requests that have not been released.
	MaxInFlight int
	// MaxClientInFlight and MaxTeamInFlight bound the requests of one client and of one team, admitted or queued.
	MaxClientInFlight, MaxTeamInFlight int
	// MaxExpectedWait is the expected wait above which requests are shed.
	MaxExpectedWait time.Duration
	// MaxQueued bounds the queued requests of each class.
	MaxQueued [model.NumClasses]int
}

// Key identifies the limits that apply to a request. No limit applies to an empty Client or Team.
type Key struct {
	Class  model.Class
	Client string
	// Team identifies the account and the team, in any form that is unique.
	Team string
}

// Limiter admits, queues or refuses requests.
//
// A request beyond MaxInFlight is queued by class. When the expected wait exceeds MaxExpectedWait, the newest queued
// request of the lowest class is refused immediately, or the arriving request if no lower class has queued requests. While
// requests are shed, each class is served last in, first out, since the callers of the oldest requests are the first to
// time out; work for callers that no longer wait would prolong an overload after its cause has ended.
//
// Locking: a single mutex, which is not held while a request waits.
type Limiter struct {
	now func() time.Time

	mu       sync.Mutex
	rng      *rand.Rand
	settings Settings
	inFlight int
	// activeByClient and activeByTeam count the requests that are admitted or queued.
	activeByClient map[string]int
	activeByTeam   map[string]int
	queues         [model.NumClasses]*list.List
	queued         int
	lastShedAt     time.Time
	completionRate rateMeter
	counts         Counts
}

// Counts holds the numbers of requests since the limiter was created. Refused includes Shed.
type Counts struct {
	Admitted, Refused, Shed uint64
}

// waiter is a queued request. result receives nil for an admission and an error for a refusal.
type waiter struct {
	key      Key
	queuedAt time.Time
	result   chan error
	// element is the waiter's element in its queue; nil once the request has been admitted or refused.
	element *list.Element
}

// New returns a limiter. now must return monotonic times.
func New(now func() time.Time, seed uint64, s Settings) *Limiter {
	l := &Limiter{
		now: now, rng: rand.New(rand.NewPCG(seed, 2)), settings: s, activeByClient: map[string]int{}, activeByTeam: map[string]int{},
	}
	for i := range l.queues {
		l.queues[i] = list.New()
	}
	return l
}

// Configure replaces the limits. It does not refuse requests that are already admitted or queued.
func (l *Limiter) Configure(s Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = s
	l.admitQueued(l.now())
}

// Counts returns the numbers of requests since the limiter was created.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// InFlight returns the numbers of admitted and of queued requests.
func (l *Limiter) InFlight() (inFlight, queued int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight, l.queued
}

// Acquire admits a request, waits in a queue until it is admitted, or refuses it. The error is a NotRun *verdict.Error
// with a retry delay. The caller must call release once the request has been answered; further calls have no effect.
func (l *Limiter) Acquire(ctx context.Context, key Key) (release func(), err error) {
	w, err := l.admitOrQueue(key)
	if err != nil {
		return nil, err
	}
	if w != nil {
		if err := l.waitForAdmission(ctx, w); err != nil {
			return nil, err
		}
	}
	var once sync.Once
	return func() { once.Do(func() { l.release(key) }) }, nil
}

// admitOrQueue admits the request and returns nil, queues it and returns its waiter, or refuses it with an error.
func (l *Limiter) admitOrQueue(key Key) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if key.Client != "" && l.activeByClient[key.Client] >= l.settings.MaxClientInFlight {
		return nil, l.refuse(now, "the client has %d requests in flight", l.settings.MaxClientInFlight)
	}
	if key.Team != "" && l.activeByTeam[key.Team] >= l.settings.MaxTeamInFlight {
		return nil, l.refuse(now, "the team has %d requests in flight", l.settings.MaxTeamInFlight)
	}
	if l.inFlight < l.settings.MaxInFlight && l.queued == 0 {
		l.addActive(key, 1)
		l.inFlight++
		l.counts.Admitted++
		return nil, nil
	}
	if !l.shedLowerClasses(now, key.Class) {
		return nil, l.refuse(now, "too many requests of class %s and above wait", key.Class)
	}
	l.addActive(key, 1)
	w := &waiter{key: key, queuedAt: now, result: make(chan error, 1)}
	w.element = l.queues[key.Class].PushBack(w)
	l.queued++
	return w, nil
}

// shedLowerClasses sheds queued requests of lower classes until a request of the class can be queued. It returns false
// if the request itself must be refused. Callers hold l.mu.
func (l *Limiter) shedLowerClasses(now time.Time, class model.Class) bool {
	if l.queues[class].Len() >= l.settings.MaxQueued[class] {
		return false
	}
	for l.expectedWait(now, l.queued+1) > l.settings.MaxExpectedWait {
		lowestClass := l.lowestQueuedClass()
		if lowestClass <= class {
			// No lower class is queued. The request is queued only if its own expected wait is within the limit.
			return l.expectedWait(now, l.queuedAtOrAbove(class)+1) <= l.settings.MaxExpectedWait
		}
		l.shed(now, l.queues[lowestClass].Back())
	}
	return true
}

// lowestQueuedClass returns the lowest class with queued requests, or class 0 if there is none. Callers hold l.mu.
func (l *Limiter) lowestQueuedClass() model.Class {
	for c := model.NumClasses - 1; c > 0; c-- {
		if l.queues[c].Len() > 0 {
			return c
		}
	}
	return 0
}

// queuedAtOrAbove returns the number of queued requests of a class and of all higher classes. Callers hold l.mu.
func (l *Limiter) queuedAtOrAbove(class model.Class) int {
	n := 0
	for c := model.Class(0); c <= class; c++ {
		n += l.queues[c].Len()
	}
	return n
}

// expectedWait returns how long the last of n queued requests waits at the current completion rate, or 0 if the rate is
// unknown. Callers hold l.mu.
func (l *Limiter) expectedWait(now time.Time, n int) time.Duration {
	perSecond := l.completionRate.perSecond(now)
	if perSecond <= 0 {
		// The rate is unknown. The queues are bounded, and requests that wait too long are shed by stopWaiting.
		return 0
	}
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

// shed removes a queued request from its queue and refuses it. Callers hold l.mu.
func (l *Limiter) shed(now time.Time, element *list.Element) {
	w := element.Value.(*waiter)
	l.dequeue(w)
	l.addActive(w.key, -1)
	l.lastShedAt = now
	l.counts.Shed++
	w.result <- l.refuse(now, "requests of class %s are shed", w.key.Class)
}

// dequeue removes a waiter from its queue. Callers hold l.mu.
func (l *Limiter) dequeue(w *waiter) {
	l.queues[w.key.Class].Remove(w.element)
	w.element = nil
	l.queued--
}

// refuse counts a refused request and returns the error for it. Callers hold l.mu.
func (l *Limiter) refuse(now time.Time, format string, args ...any) error {
	l.counts.Refused++
	retryAfter := min(maxRetryAfter, max(minRetryAfter, l.expectedWait(now, l.queued)))
	// Jitter keeps callers that were refused at the same time from retrying at the same time.
	retryAfter = retryAfter/2 + time.Duration(l.rng.Int64N(int64(retryAfter)))
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, format, args...).WithRetryAfter(retryAfter)
}

// waitForAdmission waits until the request is admitted or refused, has waited for the maximum time, or ctx ends.
func (l *Limiter) waitForAdmission(ctx context.Context, w *waiter) error {
	l.mu.Lock()
	maxWait := stallFactor * l.settings.MaxExpectedWait
	l.mu.Unlock()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case err := <-w.result:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	return l.stopWaiting(ctx, w)
}

// stopWaiting ends the wait of a request whose context has ended or that has waited too long. If the request was
// admitted or refused in the meantime, it returns that result.
func (l *Limiter) stopWaiting(ctx context.Context, w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.element == nil {
		return <-w.result
	}
	if ctx.Err() == nil {
		l.shed(l.now(), w.element)
		return <-w.result
	}
	l.dequeue(w)
	l.addActive(w.key, -1)
	return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeOverloaded, "the request waited until its deadline").WithRetryAfter(minRetryAfter)
}

// release records the completion of a request and admits queued requests.
func (l *Limiter) release(key Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.completionRate.record(now)
	l.inFlight--
	l.addActive(key, -1)
	l.admitQueued(now)
}

// admitQueued admits queued requests up to MaxInFlight, the highest class first. Callers hold l.mu.
func (l *Limiter) admitQueued(now time.Time) {
	for l.inFlight < l.settings.MaxInFlight && l.queued > 0 {
		w := l.nextWaiter(now)
		l.dequeue(w)
		l.inFlight++
		l.counts.Admitted++
		w.result <- nil
	}
}

// nextWaiter returns the waiter to admit from the highest class with queued requests: the oldest, or the newest while
// requests are shed. Callers hold l.mu.
func (l *Limiter) nextWaiter(now time.Time) *waiter {
	shedding := !l.lastShedAt.IsZero() && now.Sub(l.lastShedAt) < rateWindow
	for _, q := range l.queues {
		switch {
		case q.Len() == 0:
		case shedding:
			return q.Back().Value.(*waiter)
		default:
			return q.Front().Value.(*waiter)
		}
	}
	return nil
}

// addActive adds n to the active requests of a client and a team. Callers hold l.mu.
func (l *Limiter) addActive(key Key, n int) {
	add := func(m map[string]int, name string) {
		if name == "" {
			return
		}
		if m[name] += n; m[name] == 0 {
			delete(m, name)
		}
	}
	add(l.activeByClient, key.Client)
	add(l.activeByTeam, key.Team)
}

// rateMeter measures the rate of completions over one to two windows: the previous window and the current one so far.
type rateMeter struct {
	windowStart                 time.Time
	currentCount, previousCount int
	// hasFullWindow is set once a full window has been measured since the meter was last idle for two windows.
	hasFullWindow bool
}

func (r *rateMeter) record(now time.Time) {
	r.advance(now)
	r.currentCount++
}

func (r *rateMeter) advance(now time.Time) {
	switch age := now.Sub(r.windowStart); {
	case age < rateWindow:
	case age < 2*rateWindow:
		r.windowStart, r.previousCount, r.currentCount, r.hasFullWindow = r.windowStart.Add(rateWindow), r.currentCount, 0, true
	default:
		r.windowStart, r.previousCount, r.currentCount, r.hasFullWindow = now, 0, 0, false
	}
}

// perSecond returns the completions per second, or 0 while the rate is unknown.
func (r *rateMeter) perSecond(now time.Time) float64 {
	r.advance(now)
	if !r.hasFullWindow {
		return 0
	}
	measured := rateWindow + now.Sub(r.windowStart)
	return float64(r.previousCount+r.currentCount) / measured.Seconds()
}
