package instance

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// drainShare is the fraction of the shutdown's time in which requests in flight may finish before their partitions are
// handed over.
const drainShare = 0.5

// Shutdown stops the instance gracefully within the deadline of ctx. Partitions accept no further requests, which wait or
// are sent to the next owner, and the requests in flight finish. Then all partitions are handed over and the session ends.
// The instance continues to forward requests until Close.
func (in *Instance) Shutdown(ctx context.Context) error {
	in.closePartitions()
	in.awaitIdle(ctx)
	in.flushJournals(ctx)
	err := in.owners.Drain(ctx)
	in.router.notify()
	return err
}

// closePartitions rejects new requests on all partitions served here and prevents them from being opened again.
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

// awaitIdle waits until no request is in flight, for at most drainShare of the time until the deadline of ctx.
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

// flushJournals writes the pending outcomes. An outcome that cannot be written remains unacknowledged on its worker, and
// the next owner reads it there.
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
		in.opts.Log.WithError(err).Warn("could not write all pending outcomes before the handover")
	}
}
