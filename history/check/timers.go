package check

import (
	"container/heap"
	"time"
)

// timer is a check that is due at a time.
type timer struct {
	at  time.Duration
	run func()
}

// timers is a heap of timers by their time.
type timers []timer

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// add runs f when the history has gone beyond at.
func (t *timers) add(at time.Duration, f func()) { heap.Push(t, timer{at, f}) }

// runUntil runs the timers that are due before the time. Each is preceded by a call of setNow.
func (t *timers) runUntil(at time.Duration, setNow func(time.Duration)) {
	for len(*t) > 0 && (*t)[0].at < at {
		next := heap.Pop(t).(timer)
		setNow(next.at)
		next.run()
	}
}

// repeat runs f a period later. Nothing changes between two events, so that a check that repeats itself skips most of a long time
// without events.
func (k *checker) repeat(period time.Duration, f func()) {
	k.timers.add(max(k.now.at+period, k.event.At()-2*period), f)
}
