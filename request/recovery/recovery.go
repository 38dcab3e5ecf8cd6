// Package recovery handles panics in code that processes input of other programs, so that one unexpected message does not end
// the process.
package recovery

import (
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/request/verdict"
)

// logInterval is the shortest time between two log lines about panics at the same place.
const logInterval = 10 * time.Second

// Catch calls f and reports whether it panicked. report, if not nil, is called with the value and the stack of the panic.
func Catch(report func(value any, stack []byte), f func()) (panicked bool) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		panicked = true
		if report != nil {
			report(value, debug.Stack())
		}
	}()
	f()
	return false
}

// Error returns the error of a request that panicked. The request may have taken effect before.
func Error() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the request failed unexpectedly")
}

// Recorder logs and counts panics.
type Recorder struct {
	log logrus.FieldLogger
	// count is called for each panic.
	count func(place string)

	// mu protects places.
	mu     sync.Mutex
	places map[string]*placeLog
}

// placeLog is the state of the log lines about one place.
type placeLog struct {
	loggedAt time.Time
	// suppressed is the number of panics since loggedAt.
	suppressed int
}

// NewRecorder returns a recorder that writes to log. count, if not nil, is called for each panic with the place of the call
// that panicked.
func NewRecorder(log logrus.FieldLogger, count func(place string)) *Recorder {
	if count == nil {
		count = func(string) {}
	}
	return &Recorder{log: log, count: count, places: map[string]*placeLog{}}
}

// Run calls f and reports whether it returned without a panic. A panic is recorded. place is a fixed name.
func (r *Recorder) Run(place string, f func()) (ok bool) {
	return !Catch(func(value any, stack []byte) { r.Record(place, value, stack) }, f)
}

// Call calls f. A panic in f is recorded and returned as an error with the verdict MayHaveRun.
func Call[T any](r *Recorder, place string, f func() (T, error)) (result T, err error) {
	if !r.Run(place, func() { result, err = f() }) {
		var zero T
		return zero, Error()
	}
	return result, err
}

// Record counts a panic and logs it, unless one at the same place was logged within logInterval.
func (r *Recorder) Record(place string, value any, stack []byte) {
	r.count(place)
	suppressed, due := r.logDue(place, time.Now())
	if !due {
		return
	}
	r.log.WithFields(logrus.Fields{
		"event": "panic_recovered", "place": place, "panic": fmt.Sprint(value), "stack": string(stack), "suppressed": suppressed,
	}).Error("unexpected failure")
}

// logDue reports whether a panic is to be logged, and how many at the same place were not logged before.
func (r *Recorder) logDue(place string, now time.Time) (suppressed int, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.places[place]
	if p == nil {
		p = &placeLog{}
		r.places[place] = p
	}
	if !p.loggedAt.IsZero() && now.Sub(p.loggedAt) < logInterval {
		p.suppressed++
		return 0, false
	}
	suppressed = p.suppressed
	p.loggedAt, p.suppressed = now, 0
	return suppressed, true
}
