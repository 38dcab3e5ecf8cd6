package node

import (
	"context"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// testPeers delivers the messages of one instance to the other instances of the cell.
type testPeers struct {
	c    *testCell
	name string
}

func (p testPeers) target(address string) (*testNode, error) {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	p.c.recordFaults()
	n := p.c.nodes[address]
	if n == nil || p.c.down[address] || p.c.down[p.name] || p.c.isolated == address || p.c.isolated == p.name || p.c.islands[address] != p.c.islands[p.name] {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "peer %s cannot be reached", address)
	}
	return n, nil
}

func (p testPeers) Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Reply, error) {
	n, err := p.target(address)
	if err != nil {
		return nil, err
	}
	if p.c.failsRelay(req) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the relay does not answer")
	}
	handle := func(ctx context.Context) (*peerpb.Reply, error) {
		reply := p.c.handlePeer(ctx, n, req)
		return reply, peer.ErrorFromProto(reply.GetError())
	}
	switch req.GetBody().(type) {
	case *peerpb.Request_PlacementUpdate:
		if p.c.earlierPrograms() {
			return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "unknown request")
		}
		return callWithFault(ctx, p.c, pointReplicate, handle)
	case *peerpb.Request_PlacementFetch:
		return callWithFault(ctx, p.c, pointHandOver, handle)
	}
	return handle(ctx)
}

// earlierPrograms reports whether the instances refuse to hold starts, like those of an earlier program.
func (c *testCell) earlierPrograms() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdNoStarts
}

// failsRelay reports whether a request is a call to the table service that fails.
func (c *testCell) failsRelay(req *peerpb.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch req.GetBody().(type) {
	case *peerpb.Request_TableCommit, *peerpb.Request_TableGet, *peerpb.Request_TableRange, *peerpb.Request_TableFeed:
		return c.relaysFail
	}
	return false
}

func (p testPeers) Send(ctx context.Context, address string, req *peerpb.Request) error {
	n, err := p.target(address)
	if err != nil {
		return err
	}
	p.c.mu.Lock()
	mute := p.c.mute == p.name && req.GetWorkerResults() != nil
	held := time.Duration(0)
	if req.GetWorkerResults() != nil {
		held = p.c.resultsHeldUntil - p.c.now()
	}
	p.c.mu.Unlock()
	if mute {
		return nil
	}
	point := faultPoint("")
	switch {
	case req.GetJobStored() != nil:
		point = pointNotify
	case req.GetWorkerCalls() != nil:
		point = pointDelegate
	case req.GetWorkerResults() != nil:
		point = pointResults
	}
	p.c.lateCalls.Go(func() {
		time.Sleep(held)
		// A message has no answer.
		n.opts.Panics.Run(placePeer, func() {
			_, _ = callWithFault(context.WithoutCancel(ctx), p.c, point, func(ctx context.Context) (*peerpb.Reply, error) {
				return p.c.handlePeer(ctx, n, req), nil
			})
		})
	})
	return nil
}
