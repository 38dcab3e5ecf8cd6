package rack

import (
	"container/list"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// queuedOffer is an offer with the time it arrived.
type queuedOffer struct {
	Offer
	since time.Time
}

// queue holds the offers of one class in order of arrival. The caller's lock protects it.
type queue struct {
	order *list.List
	byID  map[model.TaskID]*list.Element
}

func newQueue() queue {
	return queue{order: list.New(), byID: map[model.TaskID]*list.Element{}}
}

// add appends an offer. A repeated offer keeps its place. It returns false when the queue is full.
func (q *queue) add(o Offer, now time.Time, limit int) bool {
	if e, ok := q.byID[o.Task.ID]; ok {
		e.Value.(*queuedOffer).Offer = o
		return true
	}
	if len(q.byID) >= limit {
		return false
	}
	q.byID[o.Task.ID] = q.order.PushBack(&queuedOffer{Offer: o, since: now})
	return true
}

func (q *queue) remove(id model.TaskID) {
	if e, ok := q.byID[id]; ok {
		q.order.Remove(e)
		delete(q.byID, id)
	}
}

// head returns up to limit offers in order.
func (q *queue) head(limit int) []*queuedOffer {
	offers := make([]*queuedOffer, 0, min(limit, len(q.byID)))
	for e := q.order.Front(); e != nil && len(offers) < limit; e = e.Next() {
		offers = append(offers, e.Value.(*queuedOffer))
	}
	return offers
}

func (q *queue) len() int { return len(q.byID) }
