package instance

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// drainShare is the part of the time for a shutdown that requests in flight have to finish before their partitions are
// handed over.
const drainShare = 0.5

// Shutdown stops the instance gracefully within ctx: partitions take no further requests, which wait or go to the next
// owner; the requests in flight finish; then all partitions are handed over and the session ends. The instance goes on
// forwarding requests until Close.
func (in *Instance) Shutdown(ctx context.Context) error {
	in.closePartitions()
	in.awaitIdle(ctx)
	in.flushJournals(ctx)
	err := in.owners.Drain(ctx)
	in.router.notify()
	return err
}

// closePartitions keeps new requests from all partitions served here.
func (in *Instance) closePartitions() {
	in.mu.Lock()
	numbers := make([]int, 0, len(in.intents))
	for n := range in.intents {
		numbers = append(numbers, n)
	}
	in.mu.Unlock()
	r := in.router
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
	for _, n := range numbers {
		r.closing[n] = true
	}
}

// awaitIdle waits until no request is worked on, for at most finishShare of the time that ctx leaves.
func (in *Instance) awaitIdle(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(float64(remaining)*drainShare))
		defer cancel()
	}
	r := in.router
	for {
		r.mu.Lock()
		busy := 0
		for _, count := range r.inFlight {
			busy += count
		}
		changed := r.changed
		r.mu.Unlock()
		if busy == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// flushJournals writes the outcomes that wait. One that cannot be written stays on its worker, unacknowledged, and the
// next owner reads it there.
func (in *Instance) flushJournals(ctx context.Context) {
	in.mu.Lock()
	runners := make([]*intentRunner, 0, len(in.intents))
	for _, r := range in.intents {
		runners = append(runners, r)
	}
	in.mu.Unlock()
	var group errgroup.Group
	for _, r := range runners {
		group.Go(func() error { return r.journal.Flush(ctx) })
	}
	if err := group.Wait(); err != nil {
		in.opts.Log.WithError(err).Warn("outcomes were not written before the hand-over")
	}
}
