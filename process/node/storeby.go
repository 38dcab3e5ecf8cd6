package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// storeByPeers is how many other instances are asked to store a row.
	storeByPeers = 2
	// storeByTimeout bounds one of these questions.
	storeByTimeout = 700 * time.Millisecond
)

// storeResult is the outcome of one way to store a row.
type storeResult struct {
	existing []byte
	err      error
}

// store writes the record of a job, or its cancellation if the record is empty, unless a row exists, whose value it returns
// then. If the usual part does not answer, the second part and other instances are tried at the same time: inserts are
// idempotent, so the row may be written more than once. The error has the verdict NotRun only if no attempt can have written
// the row.
func (n *Node) store(ctx context.Context, id job.ID, record []byte) ([]byte, error) {
	parts := partsOf(id)
	existing, err := n.insertInto(ctx, id, parts[0], record)
	if err == nil {
		return existing, nil
	}
	v := verdict.Of(err)
	results := n.storeElsewhere(ctx, id, parts[1], record)
	for range cap(results) {
		select {
		case r := <-results:
			if r.err == nil {
				return r.existing, nil
			}
			if verdict.Of(r.err) != verdict.NotRun {
				v = verdict.MayHaveRun
			}
		case <-ctx.Done():
			return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "store the request")
		}
	}
	return nil, verdict.Wrap(err, v, verdict.From(err).Code, "store the request").After(retryAfter)
}

// storeElsewhere tries the second part and other instances. The channel receives one result for each of its slots.
func (n *Node) storeElsewhere(ctx context.Context, id job.ID, part string, record []byte) <-chan storeResult {
	peers := n.peersToAsk()
	results := make(chan storeResult, len(peers)+1)
	go func() {
		existing, err := n.insertInto(ctx, id, part, record)
		results <- storeResult{existing, err}
	}()
	for _, address := range peers {
		go func() {
			existing, err := n.storeBy(ctx, address, id, record)
			results <- storeResult{existing, err}
		}()
	}
	return results
}

func (n *Node) insertInto(ctx context.Context, id job.ID, part string, record []byte) ([]byte, error) {
	if len(record) == 0 {
		return n.inserts.Insert(ctx, cancelKey(id, part), []byte("{}"))
	}
	return n.inserts.Insert(ctx, jobKey(id, part), record)
}

// readRow reads a row that may be in either part of a job. A row with version 0 is certainly in neither.
func (n *Node) readRow(ctx context.Context, id job.ID, key func(job.ID, string) backend.RowKey) (backend.Row, error) {
	var failed error
	for _, part := range partsOf(id) {
		if n.tables.Down(part) {
			failed = unavailable(nil, "the store does not answer")
			continue
		}
		row, err := n.tables.Get(ctx, key(id, part))
		if err == nil && row.Version != 0 {
			return row, nil
		}
		if err != nil {
			failed = unavailable(err, "the store cannot be read")
		}
	}
	return backend.Row{}, failed
}

// peersToAsk returns the leader and other instances, at most storeByPeers.
func (n *Node) peersToAsk() []string {
	leader, _ := n.leaderAddress()
	t := n.currentTerm()
	n.mu.Lock()
	members := n.members
	n.mu.Unlock()
	if t != nil {
		members = t.memberAddresses()
	}
	var out []string
	if leader != "" {
		out = append(out, leader)
	}
	for _, i := range rand.Perm(len(members)) {
		if address := members[i]; address != n.opts.PeerAddress && address != leader && len(out) < storeByPeers {
			out = append(out, address)
		}
	}
	return out
}

func (n *Node) storeBy(ctx context.Context, address string, id job.ID, record []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, storeByTimeout)
	defer cancel()
	reply, err := n.opts.Peers.Call(ctx, address, &peerpb.Request{
		Body: &peerpb.Request_StoreRow{StoreRow: &peerpb.StoreRow{Job: string(id), Record: record}},
	})
	if err != nil {
		return nil, err
	}
	stored := reply.GetStoreRow()
	if !stored.GetExisted() {
		return nil, nil
	}
	return append([]byte{}, stored.GetExisting()...), nil
}

// answerStoreRow stores a row for another instance and tells the leader.
func (n *Node) answerStoreRow(ctx context.Context, req *peerpb.StoreRow, reply *peerpb.Reply) error {
	id := job.ID(req.GetJob())
	parts := partsOf(id)
	existing, err := n.insertInto(ctx, id, parts[0], req.GetRecord())
	if err != nil {
		first := err
		if existing, err = n.insertInto(ctx, id, parts[1], req.GetRecord()); err != nil && verdict.Of(first) != verdict.NotRun {
			err = first
		}
	}
	if err != nil {
		return err
	}
	n.tellStored(ctx, id, req.GetRecord())
	reply.Body = &peerpb.Reply_StoreRow{StoreRow: &peerpb.StoreRowReply{Existed: existing != nil, Existing: existing}}
	return nil
}
