package check

import (
	"time"

	"github.com/lentiltide/lentiltide/history"
)

// never is a time before every history.
const never = -time.Hour

// disturbance is the state of the faults of one target.
type disturbance struct {
	active int
	// ended is when the last fault ended, or when an event that counts as a fault without duration happened.
	ended time.Duration
}

// undisturbedSince reports whether no fault was active at or after the time.
func (d *disturbance) undisturbedSince(at time.Duration) bool {
	return d == nil || d.active == 0 && d.ended <= at
}

// disturbances are the faults of a history up to now.
type disturbances struct {
	// all is every fault, store those of the store, and byName those of an instance, a worker or a link of it.
	all, store disturbance
	byName     map[string]*disturbance
	// slowed is the subset of byName that makes an instance slow or delays its packets.
	slowed map[string]*disturbance
	active map[string]bool
	// clocks says that a clock has jumped.
	clocks bool
}

func newDisturbances() disturbances {
	return disturbances{
		all: disturbance{ended: never}, store: disturbance{ended: never},
		byName: map[string]*disturbance{}, slowed: map[string]*disturbance{}, active: map[string]bool{},
	}
}

func named(m map[string]*disturbance, name string) *disturbance {
	if m[name] == nil {
		m[name] = &disturbance{ended: never}
	}
	return m[name]
}

// apply records a fault. An end without its begin, or a second begin, counts as an event without duration.
func (d *disturbances) apply(f *history.Fault, at time.Duration) {
	d.clocks = d.clocks || f.Kind == history.FaultClock
	begin := f.Change == history.ChangeBegin
	change := 0
	switch {
	case begin && !d.active[f.ID]:
		change = 1
		d.active[f.ID] = true
	case !begin && d.active[f.ID]:
		change = -1
		delete(d.active, f.ID)
	}
	for _, affected := range d.affected(f) {
		affected.active += change
		affected.ended = at
	}
}

// affected returns the disturbances that f belongs to.
func (d *disturbances) affected(f *history.Fault) []*disturbance {
	out := []*disturbance{&d.all}
	if f.Target == history.TargetStore {
		return append(out, &d.store)
	}
	for _, name := range []string{f.Name, f.Peer} {
		if name == "" {
			continue
		}
		out = append(out, named(d.byName, name))
		if f.Kind == history.FaultSlow {
			out = append(out, named(d.slowed, name))
		}
	}
	return out
}

// moment records an event that counts as a fault without duration, such as a crash.
func (d *disturbances) moment(name string, at time.Duration) {
	d.all.ended = at
	named(d.byName, name).ended = at
}

// calmSince reports whether nothing was disturbed at or after the contact time before at.
func (d *disturbances) calmSince(at time.Duration) bool {
	return d.all.undisturbedSince(at - contactTime)
}

// inTouchSince reports whether an instance has been in touch since at. An instance that is not known is not in touch.
func (d *disturbances) inTouchSince(instance string, at time.Duration) bool {
	from := at - contactTime
	return instance != "" && d.store.undisturbedSince(from) && d.byName[instance].undisturbedSince(from)
}

// slowedSince reports whether an instance has been slow at or after the contact time before at.
func (d *disturbances) slowedSince(instance string, at time.Duration) bool {
	return !d.slowed[instance].undisturbedSince(at - contactTime)
}
