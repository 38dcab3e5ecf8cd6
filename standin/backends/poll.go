package backends

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/backend"
)

// Poll implements backend.Workers.
func (w *Workers) Poll(ctx context.Context, req backend.PollRequest) (backend.PollReply, error) {
	waitTimer := time.NewTimer(req.Wait)
	defer waitTimer.Stop()
	boot := w.bootOf(req.Worker.ID)
	for {
		if w.bootOf(req.Worker.ID) != boot {
			// The connection broke when the worker ended.
			return backend.PollReply{}, ErrNoAnswer
		}
		reply, changed, err := w.inventory(ctx, req)
		if err != nil || reply.Refusal != "" || len(reply.Finished) > 0 || req.Wait == 0 {
			return reply, err
		}
		tick := time.NewTimer(10 * time.Millisecond)
		select {
		case <-changed:
		case <-tick.C:
		case <-waitTimer.C:
			req.Wait = 0
		case <-ctx.Done():
			tick.Stop()
			return backend.PollReply{}, ctx.Err()
		}
		tick.Stop()
	}
}

// bootOf returns the state of the present boot of a worker, or nil.
func (w *Workers) bootOf(id string) *workerState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[id]
}

// inventory applies a poll request once. The channel it returns is closed when a run on the worker ends.
func (w *Workers) inventory(ctx context.Context, req backend.PollRequest) (backend.PollReply, <-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	worker, refusal, err := w.beginCommand(req.Worker, "poll", req.FencingToken)
	if err != nil {
		return backend.PollReply{}, nil, err
	}
	now := w.now()
	reply := backend.PollReply{Reply: backend.Reply{Refusal: refusal, ClockMS: worker.clockMS(now)}, StartedMS: worker.info.StartedMS}
	if refusal != "" {
		return reply, nil, nil
	}
	w.recordAcknowledgement(ctx, worker, req.AcknowledgedCompletion, worker.leaseUntil < now)
	worker.extendLease(now, req.LeaseDeadlineMS)
	worker.unacknowledged = slices.DeleteFunc(worker.unacknowledged, func(e backend.FinishedRun) bool {
		if e.Number > req.AcknowledgedCompletion {
			return false
		}
		if e.Result == backend.ResultDone && worker.endedAt[e.Number] >= worker.lapsedAt {
			w.acknowledged[e.Task] = true
			if w.lastStart[e.Task] > worker.endedAt[e.Number] && !w.behaviorOf(e.Task).Speculative {
				w.violations = append(w.violations, fmt.Sprintf("task %s was started again after the end that is acknowledged now", e.Task))
			}
		}
		delete(worker.endedAt, e.Number)
		return true
	})
	reply.Finished = slices.Clone(worker.unacknowledged[:min(len(worker.unacknowledged), backend.MaxFinishedRuns)])
	w.recordListing(ctx, worker, reply.Finished)
	for name, r := range worker.running {
		percent := 100
		if !r.behavior.Service {
			percent = int(100 * r.worked(now) / max(r.behavior.Duration, 1))
		}
		reply.Running = append(reply.Running, backend.ActiveRun{Task: name, Run: r.run, ProgressPercent: percent})
	}
	return reply, worker.changed, nil
}
