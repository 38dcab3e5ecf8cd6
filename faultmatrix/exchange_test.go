package faultmatrix

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentiltide/lentiltide/request/verdict"
)

// message is a request in transit between callers, instances, the table service and workers. A nil from is a caller; a nil
// to is a worker or the table service.
type message struct {
	step   step
	from   *node
	to     *node
	worker *workerStub
	// swapGroup names the messages whose answers the answer-swapped fault may exchange. It is empty where the transport
	// matches answers to requests by connection.
	swapGroup string
	// content distinguishes messages of one sender to one receiver. It contains no random identifiers.
	content string
}

// String returns the entry of the message in the history of a simulation, with the current time as the time of arrival.
func (m message) String() string {
	to := m.to.idOrEmpty()
	if m.worker != nil {
		to = m.worker.id
	}
	return fmt.Sprintf("%s %s->%s %s %q", time.Now().Format("15:04:05.000000000"), m.from.idOrEmpty(), to, m.step, m.content)
}

// How long senders wait for an answer. Each timeout exceeds the timeout of the requests that the receiver sends in turn.
const (
	storeTimeout  = 4 * time.Second
	peerTimeout   = 8 * time.Second
	callerTimeout = 40 * time.Second
)

// timeout returns how long the sender of m waits for the answer.
func (m message) timeout() time.Duration {
	switch {
	case m.from == nil:
		return callerTimeout
	case m.to != nil:
		return peerTimeout
	}
	return storeTimeout
}

// result is the answer or the error that the sender of a message receives.
type result[T any] struct {
	value T
	err   error
}

// exchange delivers a request and its answer, subject to the faults that fire at its step. Messages are counted when they
// arrive; their order depends only on the scenario and the seed, not on how goroutines are scheduled.
func exchange[T any](sim *simulation, ctx context.Context, m message, handle func(context.Context) (T, error)) (T, error) {
	lostAnswer := result[T]{err: verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")}
	if !m.from.awaitRunning() {
		return lostAnswer.value, lostAnswer.err
	}
	results := make(chan result[T], 1)
	sim.runAfter(sim.latency(m, "request"), func() { transmit(sim, ctx, m, handle, results) })
	select {
	case res := <-results:
		return res.value, res.err
	case <-after(m.timeout()):
	case <-ctx.Done():
	case <-sim.ctx.Done():
	}
	return lostAnswer.value, lostAnswer.err
}

// transmit delivers a message to its receiver and the answer to its sender. A delivered request runs to completion even if
// its sender stops waiting, and a delayed message arrives even if its sender has died.
func transmit[T any](sim *simulation, ctx context.Context, m message, handle func(context.Context) (T, error), results chan<- result[T]) {
	delivery := sim.applyFaults(m)
	if delivery.loseRequest {
		reportLostAnswer(sim, results)
		return
	}
	if delivery.delay > 0 && !sleep(sim.ctx, delivery.delay) {
		return
	}
	handleOnce := func() result[T] {
		handlerCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 15*time.Second)
		defer cancel()
		if (delivery.delay == 0 && !m.from.awaitRunning()) || !m.to.awaitRunning() || (m.worker != nil && !m.worker.reachable()) {
			return result[T]{err: verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")}
		}
		out, err := handle(handlerCtx)
		return result[T]{out, err}
	}
	res := handleOnce()
	if delivery.duplicate {
		sim.runAfter(3*time.Second, func() { handleOnce() })
	}
	if delivery.loseAnswer {
		reportLostAnswer(sim, results)
		return
	}
	if !sleep(sim.ctx, sim.latency(m, "answer")) || !m.from.awaitRunning() || !m.to.awaitRunning() || (m.worker != nil && !m.worker.reachable()) {
		return
	}
	if m.swapGroup != "" && res.err == nil {
		res.value = sim.recordAnswer(m.swapGroup, res.value, delivery.swapAnswer).(T)
	}
	results <- res
}

// reportLostAnswer returns an error of a broken connection to the sender after one second.
func reportLostAnswer[T any](sim *simulation, results chan<- result[T]) {
	if sleep(sim.ctx, time.Second) {
		results <- result[T]{err: verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")}
	}
}

// baseLatency is the minimum latency of a message. The hash of the message adds less than baseLatency, in steps of 1 ns.
const baseLatency = time.Millisecond

// latency returns the transit time of a message or its answer. It depends on the content of the message and not on the order
// in which goroutines send, so that messages sent at the same instant arrive in the same order in each run.
func (sim *simulation) latency(m message, leg string) time.Duration {
	key := leg + "|" + m.from.idOrEmpty() + "|" + m.to.idOrEmpty() + "|" + string(m.step) + "|" + m.content
	if m.worker != nil {
		key += "|" + m.worker.id
	}
	return baseLatency + time.Duration((xxhash.Sum64String(key)^sim.seed)%uint64(baseLatency))
}

// sleep waits for d and reports whether ctx was still active at the end.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-after(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// recordAnswer stores answer as the latest of its group and returns it, or the previous answer of the group if swapped is
// set and there is one.
func (sim *simulation) recordAnswer(group string, answer any, swapped bool) any {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	previous, ok := sim.previousAnswers[group]
	sim.previousAnswers[group] = answer
	if swapped && ok {
		return previous
	}
	return answer
}
