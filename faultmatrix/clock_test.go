package faultmatrix

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// funcClock is the virtual clock of a synctest bubble with timers that call a function. The race detector of Go 1.26 crashes
// when a goroutine of a bubble selects on a channel timer that has already expired; time.AfterFunc with a function that
// sends to a channel avoids that.
type funcClock struct{ clockwork.Clock }

func newClock() clockwork.Clock { return funcClock{clockwork.NewRealClock()} }

// After implements clockwork.Clock.
func (funcClock) After(d time.Duration) <-chan time.Time { return after(d) }

func after(d time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	time.AfterFunc(d, func() { c <- time.Now() })
	return c
}

// NewTimer implements clockwork.Clock.
func (funcClock) NewTimer(d time.Duration) clockwork.Timer {
	t := &funcTimer{c: make(chan time.Time, 1)}
	t.timer = time.AfterFunc(d, t.fire)
	return t
}

type funcTimer struct {
	timer *time.Timer
	c     chan time.Time
}

func (t *funcTimer) fire() {
	select {
	case t.c <- time.Now():
	default:
	}
}

func (t *funcTimer) Chan() <-chan time.Time     { return t.c }
func (t *funcTimer) Reset(d time.Duration) bool { return t.timer.Reset(d) }
func (t *funcTimer) Stop() bool                 { return t.timer.Stop() }

// NewTicker implements clockwork.Clock.
func (funcClock) NewTicker(d time.Duration) clockwork.Ticker {
	t := &funcTicker{c: make(chan time.Time, 1)}
	t.Reset(d)
	return t
}

type funcTicker struct {
	timer *time.Timer
	c     chan time.Time
}

func (t *funcTicker) Chan() <-chan time.Time { return t.c }
func (t *funcTicker) Stop()                  { t.timer.Stop() }

func (t *funcTicker) Reset(d time.Duration) {
	ready := make(chan struct{})
	t.timer = time.AfterFunc(d, func() {
		<-ready
		select {
		case t.c <- time.Now():
		default:
		}
		t.timer.Reset(d)
	})
	close(ready)
}
