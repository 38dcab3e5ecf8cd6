package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// storeByPeers is how many other instances are asked to store a row.
	storeByPeers = 2
	// storeByTimeout bounds one of these questions.
	storeByTimeout = 900 * time.Millisecond
)

// store writes the record of a job, or its cancellation if the record is empty, unless a row exists, whose value it returns
// then. If this instance cannot reach the store, another one is asked: inserts are idempotent, so the row may be written by
// both. The error has the verdict NotRun only if no attempt can have written the row.
func (n *Node) store(ctx context.Context, id job.ID, record []byte) ([]byte, error) {
	existing, err := n.insertRow(ctx, id, record)
	if err == nil {
		return existing, nil
	}
	v := verdict.Of(err)
	for _, address := range n.peersToAsk() {
		if ctx.Err() != nil {
			break
		}
		existing, byErr := n.storeBy(ctx, address, id, record)
		if byErr == nil {
			n.opts.Log.WithFields(map[string]any{"event": "stored_by_peer", "job": id, "peer": address}).Info("another instance stored the row")
			return existing, nil
		}
		if verdict.Of(byErr) != verdict.NotRun {
			v = verdict.MayHaveRun
		}
	}
	return nil, verdict.Wrap(err, v, verdict.From(err).Code, "store the request").After(retryAfter)
}

// insertRow writes a row by this instance's own access to the store.
func (n *Node) insertRow(ctx context.Context, id job.ID, record []byte) ([]byte, error) {
	if len(record) == 0 {
		return n.inserts.Insert(ctx, cancelKey(id), []byte("{}"))
	}
	return n.inserts.Insert(ctx, jobKey(id), record)
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
	existing, err := n.insertRow(ctx, id, req.GetRecord())
	if err != nil {
		return err
	}
	n.tellStored(ctx, id, req.GetRecord())
	reply.Body = &peerpb.Reply_StoreRow{StoreRow: &peerpb.StoreRowReply{Existed: existing != nil, Existing: existing}}
	return nil
}
