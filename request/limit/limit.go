// Package limit decides which requests an instance works on: limits for each client and team, bounded queues for each
// class, load shedding from the lowest class up, and a budget for retries. A Limiter lives as long as the process; an
// admission lives for one request.
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
	// rateWindow is the time over which the rate of completions is measured. It is short, so that the estimate of the queue
	// delay follows a change of load within a fraction of a second.
	rateWindow = 250 * time.Millisecond
	// stallFactor is how many times the queue delay a request may wait when nothing completes any more.
	stallFactor = 4
	// minRetryAfter and maxRetryAfter bound the retry time given with a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Settings are the limits in force.
type Settings struct {
	// MaxInFlight bounds the requests that are worked on.
	MaxInFlight int
	// ClientInFlight and TeamInFlight bound the requests of one client and of one team, worked on or queued.
	ClientInFlight, TeamInFlight int
	// QueueDelay is the expected wait above which requests are shed.
	QueueDelay time.Duration
	// MaxQueued bounds the queued requests of each class.
	MaxQueued [model.NumClasses]int
}

// Key says whose limits a request counts against. An empty Client or Team has no limit of its own.
type Key struct {
	Class  model.Class
	Client string
	// Team is the account and the team, in any form that is unique.
	Team string
}

// Limiter admits requests.
//
// A request beyond MaxInFlight is queued by class. When the expected wait exceeds QueueDelay, the newest request of the
// lowest class that waits is refused at once, or the arriving one if nothing lower waits. Within a class the newest
// request is served first while requests are shed, since the callers of the oldest are the first to give up; answers that
// nobody waits for would keep an overload going after its cause has ended.
//
// Locking: one lock; it is not held while a request waits.
type Limiter struct {
	now func() time.Time

	mu       sync.Mutex
	rng      *rand.Rand
	settings Settings
	inFlight int
	clients  map[string]int
	teams    map[string]int
	queues   [model.NumClasses]*list.List
	queued   int
	shedAt   time.Time
	rate     rateMeter
	counts   Counts
}

// Counts are the numbers of requests so far.
type Counts struct {
	Admitted, Refused, Shed uint64
}

// waiter is a queued request. grant receives nil for an admission and an error for a refusal.
type waiter struct {
	key   Key
	since time.Time
	grant chan error
	// place is the waiter's element in its queue; nil once it was granted or refused.
	place *list.Element
}

// New returns a limiter. now returns a monotonic time.
func New(now func() time.Time, seed uint64, s Settings) *Limiter {
	l := &Limiter{
		now: now, rng: rand.New(rand.NewPCG(seed, 2)), settings: s, clients: map[string]int{}, teams: map[string]int{},
	}
	for i := range l.queues {
		l.queues[i] = list.New()
	}
	return l
}

// Configure replaces the limits. Requests that are admitted or queued stay so.
func (l *Limiter) Configure(s Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = s
	l.grant(l.now())
}

// Counts returns the numbers of requests so far.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// InFlight returns the requests that are worked on and those that wait.
func (l *Limiter) InFlight() (working, queued int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight, l.queued
}

// Acquire admits a request, waits for a place, or refuses it. The error is a NotRun *verdict.Error with a retry time. The
// caller calls release exactly once when the request has been answered.
func (l *Limiter) Acquire(ctx context.Context, key Key) (release func(), err error) {
	w, err := l.enter(key)
	if err != nil {
		return nil, err
	}
	if w != nil {
		if err := l.wait(ctx, w); err != nil {
			return nil, err
		}
	}
	var once sync.Once
	return func() { once.Do(func() { l.release(key) }) }, nil
}

// enter admits the request, queues it and returns its waiter, or refuses it.
func (l *Limiter) enter(key Key) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if key.Client != "" && l.clients[key.Client] >= l.settings.ClientInFlight {
		return nil, l.refuse(now, "the client has %d requests in flight", l.settings.ClientInFlight)
	}
	if key.Team != "" && l.teams[key.Team] >= l.settings.TeamInFlight {
		return nil, l.refuse(now, "the team has %d requests in flight", l.settings.TeamInFlight)
	}
	if l.inFlight < l.settings.MaxInFlight && l.queued == 0 {
		l.count(key, 1)
		l.inFlight++
		l.counts.Admitted++
		return nil, nil
	}
	if !l.makeRoom(now, key.Class) {
		return nil, l.refuse(now, "too many requests of class %s and above wait", key.Class)
	}
	l.count(key, 1)
	w := &waiter{key: key, since: now, grant: make(chan error, 1)}
	w.place = l.queues[key.Class].PushBack(w)
	l.queued++
	return w, nil
}

// makeRoom sheds queued requests of lower classes until a request of the class can be queued. It returns false when the
// request itself has to be refused. Callers hold l.mu.
func (l *Limiter) makeRoom(now time.Time, class model.Class) bool {
	if l.queues[class].Len() >= l.settings.MaxQueued[class] {
		return false
	}
	for l.expectedWait(now, l.queued+1) > l.settings.QueueDelay {
		lowest := l.lowest()
		if lowest <= class {
			// Nothing lower waits. The request joins the queue only if those before it leave it time.
			return l.expectedWait(now, l.ahead(class)+1) <= l.settings.QueueDelay
		}
		l.shed(now, l.queues[lowest].Back())
	}
	return true
}

// lowest returns the lowest class with queued requests, or class 0. Callers hold l.mu.
func (l *Limiter) lowest() model.Class {
	for c := model.NumClasses - 1; c > 0; c-- {
		if l.queues[c].Len() > 0 {
			return c
		}
	}
	return 0
}

// ahead counts the queued requests of a class and of higher ones. Callers hold l.mu.
func (l *Limiter) ahead(class model.Class) int {
	n := 0
	for c := model.Class(0); c <= class; c++ {
		n += l.queues[c].Len()
	}
	return n
}

// expectedWait is how long the last of n queued requests waits at the rate at which requests complete now. Callers hold
// l.mu.
func (l *Limiter) expectedWait(now time.Time, n int) time.Duration {
	perSecond := l.rate.perSecond(now)
	if perSecond <= 0 {
		// Nothing is known yet. The queues are bounded, and requests that stall are shed by the time that they have waited.
		return 0
	}
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

// shed refuses a queued request. Callers hold l.mu.
func (l *Limiter) shed(now time.Time, place *list.Element) {
	w := place.Value.(*waiter)
	l.remove(w)
	l.count(w.key, -1)
	l.shedAt = now
	l.counts.Shed++
	w.grant <- l.refuse(now, "requests of class %s are shed", w.key.Class)
}

// remove takes a waiter out of its queue. Callers hold l.mu.
func (l *Limiter) remove(w *waiter) {
	l.queues[w.key.Class].Remove(w.place)
	w.place = nil
	l.queued--
}

// refuse returns the error for a refused request. Callers hold l.mu.
func (l *Limiter) refuse(now time.Time, format string, args ...any) error {
	l.counts.Refused++
	after := min(maxRetryAfter, max(minRetryAfter, l.expectedWait(now, l.queued)))
	// Callers that were refused together would otherwise come back together.
	after = after/2 + time.Duration(l.rng.Int64N(int64(after)))
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, format, args...).After(after)
}

// wait waits for a place.
func (l *Limiter) wait(ctx context.Context, w *waiter) error {
	l.mu.Lock()
	limit := stallFactor * l.settings.QueueDelay
	l.mu.Unlock()
	stalled := time.NewTimer(limit)
	defer stalled.Stop()
	select {
	case err := <-w.grant:
		return err
	case <-stalled.C:
	case <-ctx.Done():
	}
	return l.leave(ctx, w)
}

// leave ends the wait of a caller who has gone or who has waited too long, unless it was granted meanwhile.
func (l *Limiter) leave(ctx context.Context, w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.place == nil {
		return <-w.grant
	}
	if ctx.Err() == nil {
		l.shed(l.now(), w.place)
		return <-w.grant
	}
	l.remove(w)
	l.count(w.key, -1)
	return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeOverloaded, "the request waited until its deadline").After(minRetryAfter)
}

// release ends a request and admits the next one.
func (l *Limiter) release(key Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.rate.add(now)
	l.inFlight--
	l.count(key, -1)
	l.grant(now)
}

// grant admits queued requests, the highest class first. Callers hold l.mu.
func (l *Limiter) grant(now time.Time) {
	for l.inFlight < l.settings.MaxInFlight && l.queued > 0 {
		w := l.next(now)
		l.remove(w)
		l.inFlight++
		l.counts.Admitted++
		w.grant <- nil
	}
}

// next returns the waiter to admit: the oldest of the highest class, or the newest while requests are shed. Callers hold
// l.mu.
func (l *Limiter) next(now time.Time) *waiter {
	shedding := !l.shedAt.IsZero() && now.Sub(l.shedAt) < rateWindow
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

// count adds n to the counts of a request's client and team. Callers hold l.mu.
func (l *Limiter) count(key Key, n int) {
	add := func(m map[string]int, name string) {
		if name == "" {
			return
		}
		if m[name] += n; m[name] == 0 {
			delete(m, name)
		}
	}
	add(l.clients, key.Client)
	add(l.teams, key.Team)
}

// rateMeter measures the rate of completions over the last one to two windows.
type rateMeter struct {
	start          time.Time
	current, older int
	// known is set once a whole window has been measured since the last quiet time.
	known bool
}

func (r *rateMeter) add(now time.Time) {
	r.roll(now)
	r.current++
}

func (r *rateMeter) roll(now time.Time) {
	switch age := now.Sub(r.start); {
	case age < rateWindow:
	case age < 2*rateWindow:
		r.start, r.older, r.current, r.known = r.start.Add(rateWindow), r.current, 0, true
	default:
		r.start, r.older, r.current, r.known = now, 0, 0, false
	}
}

// perSecond returns 0 while the rate is not known.
func (r *rateMeter) perSecond(now time.Time) float64 {
	r.roll(now)
	if !r.known {
		return 0
	}
	covered := rateWindow + now.Sub(r.start)
	return float64(r.older+r.current) / covered.Seconds()
}
