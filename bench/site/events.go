package site

import (
	"container/heap"
	"time"
)

// event is a function that runs at a time. Events at the same time run in the order in which they were added.
type event struct {
	at     time.Duration
	number int
	run    func()
}

// eventQueue is a heap of events.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].number < q[j].number)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// after adds an event.
func (s *Simulation) after(d time.Duration, run func()) {
	s.eventCount++
	heap.Push(&s.events, event{s.now + max(d, 0), s.eventCount, run})
}

// runUntil runs the events up to a time.
func (s *Simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}
