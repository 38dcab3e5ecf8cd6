package node

import (
	"context"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/recovery"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// maxDelegatedCallAge is the age of a call from the leader above which it is not made any more. The leader has given it up by
// then; the instance was suspended.
const maxDelegatedCallAge = delegatedCallTimeout

// resultBatches collects the results of the calls that this instance makes for leaders.
type resultBatches struct {
	node *Node

	mu sync.Mutex
	// queued are the results that have not been sent yet.
	queued map[resultReceiver][]*peerpb.WorkerResult
}

// resultReceiver is a leader that receives results.
type resultReceiver struct {
	address string
	epoch   uint64
}

// add queues a result, which is sent after callBatchDelay.
func (b *resultBatches) add(to resultReceiver, result *peerpb.WorkerResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queued == nil {
		b.queued = map[resultReceiver][]*peerpb.WorkerResult{}
	}
	b.queued[to] = append(b.queued[to], result)
	if len(b.queued[to]) == 1 {
		time.AfterFunc(callBatchDelay, func() { b.node.opts.Panics.Run(placeBatch, func() { b.flush(to) }) })
	}
}

// flush sends the queued results to a leader. The leader counts results that it does not receive as unanswered calls.
func (b *resultBatches) flush(to resultReceiver) {
	b.mu.Lock()
	results := b.queued[to]
	delete(b.queued, to)
	b.mu.Unlock()
	message := &peerpb.Request{Body: &peerpb.Request_WorkerResults{WorkerResults: &peerpb.WorkerResults{Epoch: to.epoch, Results: results}}}
	ctx, cancel := context.WithTimeout(context.Background(), delegatedCallTimeout)
	defer cancel()
	if err := b.node.opts.Peers.Send(ctx, to.address, message); err != nil {
		b.node.opts.Log.WithError(err).WithFields(map[string]any{
			"event": "results_not_sent", "leader": to.address, "epoch": to.epoch, "results": len(results),
		}).Info("results of calls to workers not sent")
	}
}

// handleWorkerCalls makes the calls of a leader to workers. Their results are sent to the leader in batches.
func (n *Node) handleWorkerCalls(ctx context.Context, calls *peerpb.WorkerCalls) {
	receivedAt := n.opts.Now()
	to := resultReceiver{calls.GetLeader(), calls.GetEpoch()}
	for _, call := range calls.GetCalls() {
		go func() {
			result, err := recovery.Call(n.opts.Panics, placeWorkerCall, func() (*peerpb.WorkerResult, error) {
				return n.makeWorkerCall(ctx, calls.GetEpoch(), call, receivedAt), nil
			})
			if err != nil {
				result = &peerpb.WorkerResult{Error: peer.ErrorToProto(err)}
			}
			result.Id = call.GetId()
			n.results.add(to, result)
		}()
	}
}

// makeWorkerCall makes a call for the leader of an epoch. A call of an epoch that has ended is refused like the worker would
// refuse it, since a later leader may not have called the worker yet.
func (n *Node) makeWorkerCall(ctx context.Context, epoch uint64, call *peerpb.WorkerCall, receivedAt cell.Instant) *peerpb.WorkerResult {
	if n.knownEpoch() > epoch {
		return &peerpb.WorkerResult{Refusal: string(backend.RefusedFence)}
	}
	if n.opts.Now()-receivedAt > maxDelegatedCallAge {
		e := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the call was held for too long")
		return &peerpb.WorkerResult{Error: peer.ErrorToProto(e)}
	}
	command := backend.Command{Worker: backend.WorkerRef{ID: call.GetWorker(), Address: call.GetAddress(), StartedMS: call.GetStartedMs()}, FencingToken: epoch}
	switch body := call.GetCall().(type) {
	case *peerpb.WorkerCall_Start:
		command.Task, command.Run = body.Start.GetTask(), body.Start.GetRun()
		return commandResult(n.opts.Workers.Start(ctx, backend.StartCommand{
			Command: command, Payload: body.Start.GetPayload(), LeaseDeadlineMS: body.Start.GetLeaseDeadlineMs(),
			Checkpoint: body.Start.GetCheckpoint(), Ticket: body.Start.GetTicket(),
		}))
	case *peerpb.WorkerCall_Stop:
		command.Task, command.Run = body.Stop.GetTask(), body.Stop.GetRun()
		return commandResult(n.opts.Workers.Stop(ctx, command))
	case *peerpb.WorkerCall_Throttle:
		command.Task, command.Run = body.Throttle.GetTask(), body.Throttle.GetRun()
		return commandResult(n.opts.Workers.Throttle(ctx, command, int(body.Throttle.GetPercent())))
	case *peerpb.WorkerCall_Poll:
		return pollResult(n.opts.Workers.Poll(ctx, backend.PollRequest{
			Worker: command.Worker, FencingToken: epoch, LeaseDeadlineMS: body.Poll.GetLeaseDeadlineMs(),
			AcknowledgedCompletion: body.Poll.GetAcknowledgedCompletion(), Wait: time.Duration(body.Poll.GetWaitMs()) * time.Millisecond,
		}))
	default:
		return &peerpb.WorkerResult{Error: peer.ErrorToProto(verdict.New(verdict.NotRun, verdict.CodeInvalid, "unknown call to a worker"))}
	}
}

// knownEpoch returns the highest epoch that this instance has read from the leader row.
func (n *Node) knownEpoch() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader.row.Epoch
}

func commandResult(reply backend.Reply, err error) *peerpb.WorkerResult {
	if err != nil {
		return &peerpb.WorkerResult{Error: peer.ErrorToProto(err)}
	}
	return &peerpb.WorkerResult{Refusal: string(reply.Refusal), ClockMs: reply.ClockMS}
}

func pollResult(reply backend.PollReply, err error) *peerpb.WorkerResult {
	result := commandResult(reply.Reply, err)
	if err != nil {
		return result
	}
	result.StartedMs = reply.StartedMS
	for _, item := range reply.Running {
		result.Running = append(result.Running, &peerpb.WorkerRun{
			Task: item.Task, Run: item.Run, Checkpoint: item.Checkpoint, Percent: int32(item.ProgressPercent), Load: item.Load,
		})
	}
	for _, item := range reply.Finished {
		result.Finished = append(result.Finished, &peerpb.WorkerCompletion{
			Number: item.Number, Task: item.Task, Run: item.Run, Result: string(item.Result), Checkpoint: item.Checkpoint,
		})
	}
	return result
}
