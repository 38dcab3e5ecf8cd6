package faultmatrix

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentiltide/lentiltide/request/verdict"
)

// message is one request on its way.
type message struct {
	step   step
	from   *node
	to     *node
	worker *backend
	// kind groups messages whose answers a swap can exchange; empty where the transport matches answers by connection.
	kind string
	// content tells messages of one sender to one receiver apart. It holds no random identifier.
	content string
}

// String returns the message as the history of a cell lists it, with the instant of its arrival.
func (m message) String() string {
	to := m.to.name()
	if m.worker != nil {
		to = m.worker.id
	}
	return fmt.Sprintf("%s %s->%s %s %q", time.Now().Format("15:04:05.000000000"), m.from.name(), to, m.step, m.content)
}

// The time that senders wait for an answer. Each waits longer than the receiver waits for those that it asks itself.
const (
	storeTimeout  = 4 * time.Second
	peerTimeout   = 8 * time.Second
	callerTimeout = 40 * time.Second
)

// timeout returns how long the sender waits for the answer.
func (m message) timeout() time.Duration {
	switch {
	case m.from == nil:
		return callerTimeout
	case m.to != nil:
		return peerTimeout
	}
	return storeTimeout
}

// answer is what the sender of a message is told.
type answer[T any] struct {
	out T
	err error
}

// exchange delivers a request and its answer, subject to the faults that fire at its step. Messages are counted as they
// arrive; their order depends on the scenario and the seed alone, not on goroutines.
func exchange[T any](w *world, ctx context.Context, m message, do func(context.Context) (T, error)) (T, error) {
	lost := answer[T]{err: verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")}
	if !m.from.pass() {
		return lost.out, lost.err
	}
	answered := make(chan answer[T], 1)
	w.later(w.latency(m, "request"), func() { carry(w, ctx, m, do, answered) })
	select {
	case a := <-answered:
		return a.out, a.err
	case <-after(m.timeout()):
	case <-ctx.Done():
	case <-w.ctx.Done():
	}
	return lost.out, lost.err
}

// carry takes a message to its receiver and the answer back. A delivered request runs to its end whatever becomes of its
// sender, and a delayed message arrives also when its sender has died.
func carry[T any](w *world, ctx context.Context, m message, do func(context.Context) (T, error), answered chan<- answer[T]) {
	delivery := w.fire(m)
	if delivery.loseRequest {
		lose(w, answered)
		return
	}
	if delivery.delay > 0 && !sleep(w.ctx, delivery.delay) {
		return
	}
	deliver := func() answer[T] {
		inner, cancel := context.WithTimeout(context.WithoutCancel(ctx), 15*time.Second)
		defer cancel()
		if (delivery.delay == 0 && !m.from.pass()) || !m.to.pass() || (m.worker != nil && !m.worker.reachable()) {
			return answer[T]{err: verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")}
		}
		out, err := do(inner)
		return answer[T]{out, err}
	}
	a := deliver()
	if delivery.duplicate {
		w.later(3*time.Second, func() { deliver() })
	}
	if delivery.loseAnswer {
		lose(w, answered)
		return
	}
	if !sleep(w.ctx, w.latency(m, "answer")) || !m.from.pass() || !m.to.pass() || (m.worker != nil && !m.worker.reachable()) {
		return
	}
	if m.kind != "" && a.err == nil {
		a.out = w.swap(m.kind, a.out, delivery.swap).(T)
	}
	answered <- a
}

// lose tells the sender after a second that its connection broke.
func lose[T any](w *world, answered chan<- answer[T]) {
	if sleep(w.ctx, time.Second) {
		answered <- answer[T]{err: verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")}
	}
}

// latencyRange is the range of the latency of a message; its resolution is 1 ns.
const latencyRange = time.Millisecond

// latency returns how long a message or its answer is on its way. It depends on the content of the message and not on the
// order in which goroutines send, so that messages sent at one instant arrive in the same order in each run.
func (w *world) latency(m message, leg string) time.Duration {
	key := leg + "|" + m.from.name() + "|" + m.to.name() + "|" + string(m.step) + "|" + m.content
	if m.worker != nil {
		key += "|" + m.worker.id
	}
	return latencyRange + time.Duration((xxhash.Sum64String(key)^w.seed)%uint64(latencyRange))
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-after(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// swap returns the previous answer of a kind instead of this one.
func (w *world) swap(kind string, out any, swapped bool) any {
	w.mu.Lock()
	defer w.mu.Unlock()
	before, ok := w.previous[kind]
	w.previous[kind] = out
	if swapped && ok {
		return before
	}
	return out
}
