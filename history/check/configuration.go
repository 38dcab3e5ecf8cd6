package check

import (
	"math"
	"time"

	"github.com/lentiltide/lentiltide/history"
)

// version is a version of the configuration.
type version struct {
	number             uint64
	queues             map[string]history.Queue
	written, confirmed ref
}

// configurations are the versions that the operator has written, in their order.
type configurations struct{ versions []*version }

func (c *configurations) apply(e *history.Configuration, now ref) {
	if e.Change == history.ChangeWritten {
		v := &version{number: e.Version, written: now, queues: map[string]history.Queue{}}
		for _, q := range e.Queues {
			v.queues[q.Name] = q
		}
		c.versions = append(c.versions, v)
		return
	}
	for _, v := range c.versions {
		if v.number == e.Version {
			setOnce(&v.confirmed, now)
		}
	}
}

// inForce returns the newest version that was confirmed by the time; nil if there is none.
func (c *configurations) inForce(at time.Duration) *version {
	var newest *version
	for _, v := range c.versions {
		if v.confirmed.known() && v.confirmed.at <= at && (newest == nil || v.number > newest.number) {
			newest = v
		}
	}
	return newest
}

// allowed returns the oldest and the newest version by which a call can have been answered so, and false if the answer does not
// show it. A version that the answer names is the only one.
func (c *configurations) allowed(call *call, a *history.Answer) (oldest, newest uint64, shown bool) {
	if a.Version > 0 {
		return a.Version, a.Version, true
	}
	if call.Queue == "" || a.Verdict == history.VerdictRefused || a.Verdict == history.VerdictNoAnswer {
		return 0, 0, false
	}
	oldest = math.MaxUint64
	for _, v := range c.versions {
		_, exists := v.queues[call.Queue]
		if exists != (a.Verdict == history.VerdictNoQueue) {
			oldest, newest, shown = min(oldest, v.number), max(newest, v.number), true
		}
	}
	return oldest, newest, shown
}

// queueVersions calls f with the queue in each version that has it.
func (c *configurations) queueVersions(name string, f func(history.Queue)) {
	for _, v := range c.versions {
		if q, ok := v.queues[name]; ok {
			f(q)
		}
	}
}

// attempts returns the smallest and the largest number of attempts that a version allows for a queue; 0 if none is known.
func (c *configurations) attempts(queue string) (smallest, largest int) {
	c.queueVersions(queue, func(q history.Queue) {
		if smallest == 0 || q.MaxAttempts < smallest {
			smallest = q.MaxAttempts
		}
		largest = max(largest, q.MaxAttempts)
	})
	return smallest, largest
}

// showVersion records the version of which an answer shows an effect.
func (k *checker) showVersion(c *call, a *history.Answer) {
	oldest, _, shown := k.allowed(c, a)
	i := k.instance(c.Instance)
	if shown && oldest > i.shown {
		i.shown, i.shownAt = oldest, k.now
	}
}

// configurationInForce: a call sent later than configurationMs after the acknowledgement of a version is handled by it.
func configurationInForce(k *checker, r *result) {
	c, a := k.call, k.event.Answer
	v := k.inForce(c.sent.at - configurationTime)
	_, newest, shown := k.allowed(c, a)
	if v == nil || !shown || !k.inTouchSince(c.Instance, c.sent.at) {
		return
	}
	r.tried++
	if newest < v.number {
		k.broken(r, "an older version answers than the one that was confirmed", v.confirmed, c.sent, k.now)
	}
}

// configurationRegress: an instance does not return to an older version than one of which an effect was seen.
func configurationRegress(k *checker, r *result) {
	c, a := k.call, k.event.Answer
	_, newest, shown := k.allowed(c, a)
	i := k.instances[c.Instance]
	if i == nil || i.shown == 0 || !shown || !k.inTouchSince(c.Instance, c.sent.at) {
		return
	}
	slack := rollbackTime
	if k.slowedSince(c.Instance, c.sent.at) {
		slack *= slowedFactor
	}
	if c.sent.at <= i.shownAt.at+slack {
		return
	}
	r.tried++
	if newest < i.shown {
		k.broken(r, "an older version answers than one of which an effect was seen", i.shownAt, c.sent, k.now)
	}
}
