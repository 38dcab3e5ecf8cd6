package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// silentPeers accept every message and answer none.
type silentPeers struct{ peer.Caller }

// Send implements peer.Caller.
func (silentPeers) Send(context.Context, string, *peerpb.Request) error { return nil }

// unreachableWorkers answer no call.
type unreachableWorkers struct{}

var errUnreachable = errors.New("unreachable")

// Start implements backend.Workers.
func (unreachableWorkers) Start(context.Context, backend.StartCommand) (backend.Reply, error) {
	return backend.Reply{}, errUnreachable
}

// Stop implements backend.Workers.
func (unreachableWorkers) Stop(context.Context, backend.Command) (backend.Reply, error) {
	return backend.Reply{}, errUnreachable
}

// Throttle implements backend.Workers.
func (unreachableWorkers) Throttle(context.Context, backend.Command, int) (backend.Reply, error) {
	return backend.Reply{}, errUnreachable
}

// Poll implements backend.Workers.
func (unreachableWorkers) Poll(context.Context, backend.PollRequest) (backend.PollReply, error) {
	return backend.PollReply{}, errUnreachable
}

// marshalSeed encodes a message as a seed of a fuzz target.
func marshalSeed(f *testing.F, m proto.Message) {
	data, err := proto.Marshal(m)
	assert.NilError(f, err)
	f.Add(data)
}

// FuzzWorkerCalls guards against calls of a leader that make the instance that carries them out panic.
func FuzzWorkerCalls(f *testing.F) {
	start := &peerpb.WorkerCall_Start{Start: &peerpb.WorkerStart{Task: "a.0.0.0", Run: 1, LeaseDeadlineMs: -1}}
	poll := &peerpb.WorkerCall_Poll{Poll: &peerpb.WorkerPoll{WaitMs: 1 << 62}}
	marshalSeed(f, &peerpb.WorkerCalls{Epoch: 3, Leader: "i0", Calls: []*peerpb.WorkerCall{
		{Id: 1, Worker: "w00", Call: start}, {Id: 1, Call: poll}, {Id: 2}, {Call: &peerpb.WorkerCall_Stop{}},
		{Call: &peerpb.WorkerCall_Throttle{Throttle: &peerpb.WorkerThrottle{Percent: -7}}},
	}})
	marshalSeed(f, &peerpb.WorkerCalls{Epoch: 1<<64 - 1, Calls: []*peerpb.WorkerCall{{}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		calls := &peerpb.WorkerCalls{}
		if proto.Unmarshal(data, calls) != nil {
			return
		}
		synctest.Test(t, func(t *testing.T) {
			n, panics := newIdleNode(Options{Workers: unreachableWorkers{}, Tables: backends.NewTables(), Peers: silentPeers{}})
			n.handlePeer(t.Context(), &peerpb.Request{Body: &peerpb.Request_WorkerCalls{WorkerCalls: calls}})
			time.Sleep(time.Second)
			assert.DeepEqual(t, panics, map[string]int{})
		})
	})
}

// FuzzWorkerResults guards against results of a delegate that make the leader panic or wait, and against results that complete
// other calls.
func FuzzWorkerResults(f *testing.F) {
	marshalSeed(f, &peerpb.WorkerResults{Epoch: 7, Results: []*peerpb.WorkerResult{
		{Id: 1, Refusal: "fence"}, {Id: 1}, {Id: 9}, {},
	}})
	marshalSeed(f, &peerpb.WorkerResults{Epoch: 7, Results: []*peerpb.WorkerResult{{
		Id: 1, Running: []*peerpb.WorkerRun{{Percent: -1}, {}}, Finished: []*peerpb.WorkerCompletion{{Number: -5, Result: "?"}},
		Error: &peerpb.Error{},
	}}})
	marshalSeed(f, &peerpb.WorkerResults{Epoch: 6, Results: []*peerpb.WorkerResult{{Id: 1}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		results := &peerpb.WorkerResults{}
		if proto.Unmarshal(data, results) != nil {
			return
		}
		synctest.Test(t, func(t *testing.T) {
			n, _ := newIdleNode(Options{Workers: unreachableWorkers{}, Tables: backends.NewTables(), Peers: silentPeers{}, DelegateFrom: 1})
			d := newDelegatedWorkers(n, 7)
			d.setMembers(map[string]member{"peer": {address: "peer", joinedAt: n.opts.Now(), cpuShare: 1}}, 1)
			n.leadership = &leadership{node: n, epoch: 7, workers: d}
			call := &peerpb.WorkerCall{Worker: "w00"}
			p, ok := d.enqueue(call)
			assert.Assert(t, ok)
			n.handlePeer(t.Context(), &peerpb.Request{Body: &peerpb.Request_WorkerResults{WorkerResults: results}})
			if len(p.result) == 1 {
				result := <-p.result
				assert.Equal(t, results.GetEpoch(), uint64(7))
				assert.Equal(t, result.GetId(), call.GetId())
				reply := pollReplyOf(result)
				assert.Equal(t, len(reply.Running), len(result.GetRunning()))
				assert.Equal(t, len(reply.Finished), len(result.GetFinished()))
				_ = peer.ErrorFromProto(result.GetError())
			}
			time.Sleep(time.Second)
		})
	})
}
