package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/recovery"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// maxRelayPeers limits the other instances through which a call is relayed at the same time.
	maxRelayPeers = 2
	// relayTimeout limits a relayed call, in addition to the wait of a feed. The store answers the other instance in this time
	// also if it is slow by a factor of 150.
	relayTimeout = 1500 * time.Millisecond
	// relayProbeTimeout limits the read by which another instance shows, ahead of a call that is also on its way directly, that the
	// store answers it at once. A store that is slow for all is not asked several times.
	relayProbeTimeout = 400 * time.Millisecond
	// maxRelayFeedWait limits the wait of a relayed feed, so that the direct path is tried again soon.
	maxRelayFeedWait = time.Second
)

// relayedTables calls the table service directly, or through other instances while the direct path fails: the service may
// reject single instances. Every transaction of this package is safe to repeat, since it is conditional or only removes
// rows.
type relayedTables struct {
	direct *observedTables
	node   *Node
}

var _ backend.Tables = relayedTables{}

// relayResult is the result of a call on one path to the table service.
type relayResult[T any] struct {
	value T
	err   error
}

// relay calls the table service directly and, if there is no answer, through peers. The error has the verdict NotRun only if
// the call cannot have been executed on any path: after calls on several paths a conflict may be with the caller's own
// write.
func relay[T any](ctx context.Context, r relayedTables, shard string, direct func(context.Context) (T, error), viaPeer func(ctx context.Context, address string) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan relayResult[T], maxRelayPeers+1)
	pending := 0
	launch := func(call func(context.Context) (T, error)) {
		pending++
		go func() {
			value, err := recovery.Call(r.node.opts.Panics, placeRelay, func() (T, error) { return call(ctx) })
			results <- relayResult[T]{value, err}
		}()
	}
	combined := verdict.NotRun
	directPending := false
	firstErr := r.direct.Check(ctx, shard)
	if firstErr == nil {
		progressed := make(chan struct{}, 1)
		launch(func(ctx context.Context) (T, error) {
			return direct(backend.WithProgress(ctx, func() { signal(progressed) }))
		})
		if out, ok := waitWhileProgressing(results, progressed, r.direct.AnswerTimeout); ok {
			if isAnswer(out.err) {
				return out.value, out.err
			}
			if r.direct.IsOverload(out.err) {
				return out.value, out.err
			}
			pending--
			firstErr, combined = out.err, verdict.Of(out.err)
		} else {
			firstErr = verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the store is silent")
			directPending = true
		}
	}
	for _, address := range r.node.selectPeers(maxRelayPeers) {
		launch(func(ctx context.Context) (T, error) {
			ctx, cancel := context.WithTimeout(ctx, relayTimeout)
			defer cancel()
			if directPending {
				if err := r.probePeer(ctx, address, shard); err != nil {
					var zero T
					return zero, err
				}
			}
			return viaPeer(ctx, address)
		})
	}
	severalPaths := pending > 1 || firstErr != nil && verdict.Of(firstErr) != verdict.NotRun
	for ; pending > 0; pending-- {
		out := <-results
		if isAnswer(out.err) {
			return out.value, uncertainIf(severalPaths, out.err)
		}
		if verdict.Of(out.err) != verdict.NotRun {
			combined = verdict.MayHaveRun
		}
	}
	var zero T
	return zero, verdict.Wrap(firstErr, combined, verdict.From(firstErr).Code, "no way to the store").WithRetryAfter(retryAfter)
}

// waitWhileProgressing waits for a result. It returns false when neither a result nor progress has come within the timeout.
func waitWhileProgressing[T any](results <-chan T, progressed <-chan struct{}, timeout func() time.Duration) (out T, ok bool) {
	for {
		select {
		case out = <-results:
			return out, true
		case <-progressed:
		case <-time.After(timeout()):
			return out, false
		}
	}
}

// signal wakes the receiver of a channel with a buffer of one, unless it has been woken already.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// uncertainIf returns the error of an answer, with the verdict MayHaveRun if the call may have been executed on another
// path.
func uncertainIf(severalPaths bool, err error) error {
	if err == nil || !severalPaths {
		return err
	}
	e := *verdict.From(err)
	e.Verdict = verdict.MayHaveRun
	return &e
}

// Commit implements backend.Tables.
func (r relayedTables) Commit(ctx context.Context, txn backend.Txn) (uint64, error) {
	return relay(ctx, r, shardOfTxn(txn),
		func(ctx context.Context) (uint64, error) { return r.direct.Commit(ctx, txn) },
		func(ctx context.Context, address string) (uint64, error) {
			page, err := r.callPeer(ctx, address, &peerpb.Request{Body: &peerpb.Request_TableCommit{TableCommit: txnToProto(txn)}})
			return page.Version, err
		})
}

// Get implements backend.Tables.
func (r relayedTables) Get(ctx context.Context, key backend.RowKey) (backend.Row, error) {
	return relay(ctx, r, key.Shard,
		func(ctx context.Context) (backend.Row, error) { return r.direct.Get(ctx, key) },
		func(ctx context.Context, address string) (backend.Row, error) {
			msg := &peerpb.TableGet{Key: rowToProto(backend.Row{RowKey: key})}
			page, err := r.callPeer(ctx, address, &peerpb.Request{Body: &peerpb.Request_TableGet{TableGet: msg}})
			if err != nil || len(page.Rows) == 0 {
				return backend.Row{RowKey: key}, err
			}
			return page.Rows[0], nil
		})
}

// Range implements backend.Tables.
func (r relayedTables) Range(ctx context.Context, table, shard, from string) (backend.Page, error) {
	return relay(ctx, r, shard,
		func(ctx context.Context) (backend.Page, error) { return r.direct.Range(ctx, table, shard, from) },
		func(ctx context.Context, address string) (backend.Page, error) {
			msg := &peerpb.TableRange{Table: table, Part: shard, From: from}
			return r.callPeer(ctx, address, &peerpb.Request{Body: &peerpb.Request_TableRange{TableRange: msg}})
		})
}

// Feed implements backend.Tables. A feed is relayed only after the direct path has failed.
func (r relayedTables) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (backend.Page, error) {
	var page backend.Page
	err := r.direct.Check(ctx, feedsShard)
	if err == nil {
		page, err = r.direct.Feed(ctx, table, after, wait)
	}
	if isAnswer(err) || ctx.Err() != nil {
		return page, err
	}
	wait = min(wait, maxRelayFeedWait)
	for _, address := range r.node.selectPeers(maxRelayPeers) {
		msg := &peerpb.TableFeed{Table: table, After: after, WaitMs: wait.Milliseconds()}
		call, cancel := context.WithTimeout(ctx, wait+relayTimeout)
		page, relayErr := r.callPeer(call, address, &peerpb.Request{Body: &peerpb.Request_TableFeed{TableFeed: msg}})
		cancel()
		if isAnswer(relayErr) {
			return page, relayErr
		}
	}
	return page, err
}

// probePeer reports with an error that another instance gets no answer from the store at once. The error has the verdict NotRun.
func (r relayedTables) probePeer(ctx context.Context, address, shard string) error {
	ctx, cancel := context.WithTimeout(ctx, relayProbeTimeout)
	defer cancel()
	key := backend.RowKey{Table: writeTable, Shard: shard, Key: probeKey}
	msg := &peerpb.TableGet{Key: rowToProto(backend.Row{RowKey: key})}
	if _, err := r.callPeer(ctx, address, &peerpb.Request{Body: &peerpb.Request_TableGet{TableGet: msg}}); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "the store does not answer %s at once", address)
	}
	return nil
}

// callPeer sends a table call to another instance.
func (r relayedTables) callPeer(ctx context.Context, address string, req *peerpb.Request) (backend.Page, error) {
	reply, err := r.node.opts.Peers.Call(ctx, address, req)
	if err != nil {
		return backend.Page{}, err
	}
	msg := reply.GetTablePage()
	page := backend.Page{HasMore: msg.GetMore(), Version: msg.GetVersion(), Rows: rowsFromProto(msg.GetRows())}
	if msg.GetConflict() {
		return page, verdict.New(verdict.NotRun, verdict.CodeConflict, "a row has another version").WithDetail(page.Rows)
	}
	return page, nil
}

// selectPeers returns the addresses of the leader, if it is known, and of random other members, at most limit in total.
func (n *Node) selectPeers(limit int) []string {
	leader, _ := n.leaderAddress()
	l := n.currentLeadership()
	n.mu.Lock()
	members := n.members
	n.mu.Unlock()
	if l != nil {
		members = l.memberAddresses(memberTTL)
	}
	var out []string
	if leader != "" {
		out = append(out, leader)
	}
	for _, i := range rand.Perm(len(members)) {
		if address := members[i]; address != n.opts.PeerAddress && address != leader && len(out) < limit {
			out = append(out, address)
		}
	}
	return out
}

// handleTables executes a table call of another instance, on the direct path only. ok is false for other requests.
func (n *Node) handleTables(ctx context.Context, req *peerpb.Request) (page *peerpb.TablePage, err error, ok bool) {
	var rows backend.Page
	switch body := req.GetBody().(type) {
	case *peerpb.Request_TableCommit:
		txn := txnFromProto(body.TableCommit)
		if err = n.direct.Check(ctx, shardOfTxn(txn)); err == nil {
			rows.Version, err = n.direct.Commit(ctx, txn)
		}
	case *peerpb.Request_TableGet:
		var row backend.Row
		key := rowFromProto(body.TableGet.GetKey()).RowKey
		if err = n.direct.Check(ctx, key.Shard); err == nil {
			row, err = n.direct.Get(ctx, key)
			rows.Rows = []backend.Row{row}
		}
	case *peerpb.Request_TableRange:
		if err = n.direct.Check(ctx, body.TableRange.GetPart()); err == nil {
			rows, err = n.direct.Range(ctx, body.TableRange.GetTable(), body.TableRange.GetPart(), body.TableRange.GetFrom())
		}
	case *peerpb.Request_TableFeed:
		wait := time.Duration(body.TableFeed.GetWaitMs()) * time.Millisecond
		if err = n.direct.Check(ctx, feedsShard); err == nil {
			rows, err = n.direct.Feed(ctx, body.TableFeed.GetTable(), body.TableFeed.GetAfter(), wait)
		}
	default:
		return nil, nil, false
	}
	page = &peerpb.TablePage{Rows: rowsToProto(rows.Rows), More: rows.HasMore, Version: rows.Version}
	if err != nil {
		if e := verdict.From(err); e.Code == verdict.CodeConflict {
			present, _ := e.Detail.([]backend.Row)
			return &peerpb.TablePage{Conflict: true, Rows: rowsToProto(present)}, nil, true
		}
	}
	return page, err, true
}

func rowToProto(r backend.Row) *peerpb.Row {
	return &peerpb.Row{Table: r.Table, Part: r.Shard, Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
}

func rowFromProto(r *peerpb.Row) backend.Row {
	return backend.Row{
		RowKey: backend.RowKey{Table: r.GetTable(), Shard: r.GetPart(), Key: r.GetKey()},
		Value:  r.GetValue(), Version: r.GetVersion(), Deleted: r.GetDeleted(),
	}
}

func rowsToProto(rows []backend.Row) []*peerpb.Row {
	out := make([]*peerpb.Row, len(rows))
	for i, r := range rows {
		out[i] = rowToProto(r)
	}
	return out
}

func rowsFromProto(rows []*peerpb.Row) []backend.Row {
	out := make([]backend.Row, len(rows))
	for i, r := range rows {
		out[i] = rowFromProto(r)
	}
	return out
}

func txnToProto(txn backend.Txn) *peerpb.TableCommit {
	out := &peerpb.TableCommit{Expected: rowsToProto(txn.Expected), Put: rowsToProto(txn.Put)}
	for _, key := range txn.Remove {
		out.Remove = append(out.Remove, rowToProto(backend.Row{RowKey: key}))
	}
	return out
}

func txnFromProto(msg *peerpb.TableCommit) backend.Txn {
	txn := backend.Txn{Expected: rowsFromProto(msg.GetExpected()), Put: rowsFromProto(msg.GetPut())}
	for _, r := range msg.GetRemove() {
		txn.Remove = append(txn.Remove, rowFromProto(r).RowKey)
	}
	return txn
}
