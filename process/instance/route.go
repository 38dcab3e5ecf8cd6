package instance

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/limit"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/config"
	"github.com/lentiltide/lentiltide/version/ownership"
)

const (
	// maxOwnerWait is how long a request waits for the end of a hand-over. A graceful hand-over is served again within 2 s.
	maxOwnerWait = 2500 * time.Millisecond
	// maxWaitingRequests bounds the requests that wait for hand-overs.
	maxWaitingRequests = 1024
	// noOwnerRetryDelay is the retry time given when a partition has no owner after maxOwnerWait.
	noOwnerRetryDelay = time.Second
	// changeCheckInterval is the time after which the owners are looked at again without a sign of a change.
	changeCheckInterval = time.Second
	// minRefreshInterval is the shortest time between reads of one partition's owner that requests cause.
	minRefreshInterval = 100 * time.Millisecond
)

// Request names what a caller's request is about, for routing and limits.
type Request struct {
	Partition int
	// Intent is the id of the intent that is called, or empty.
	Intent string
	// Spec is the stated intent, or nil.
	Spec *model.IntentSpec
	// Class is the class of the request where neither an intent nor a spec says it.
	Class model.Class
	// Repeatable is set for a request with a ticket or a key, which the next owner answers once more without a second run.
	Repeatable bool
}

// router keeps what routing needs beside the owners.
type router struct {
	// entryLimiter limits requests of callers at the instance that they reach; ownerLimiter limits the work on partitions served here.
	// They are apart, so that two instances full of requests for each other cannot wait for each other's places.
	entryLimiter, ownerLimiter *limit.Limiter
	retryBudget                *limit.Budget
	now                        func() time.Time

	mu sync.Mutex
	// changed is closed and replaced when an owner or the partitions served here change.
	changed chan struct{}
	waiters int
	// refreshedAt is when the owner of a partition was last read because of a request or a message.
	refreshedAt map[ownership.Partition]time.Time
	// inFlight counts the requests that are worked on, by partition; closing partitions take no more.
	inFlight map[int]int
	closing  map[int]bool
	// stopping is set once the instance shuts down: closed partitions are not opened again.
	stopping bool
	// pausedUntil is until when a partition takes no requests because it is to move.
	pausedUntil map[int]time.Time
}

func newRouter(now func() time.Time, seed uint64) *router {
	limits := limitSettings(config.Default())
	return &router{
		entryLimiter: limit.New(now, seed, limits), ownerLimiter: limit.New(now, seed+1, limits),
		retryBudget: limit.NewBudget(config.Default().Limits.RetryPercent, seed),
		changed:     make(chan struct{}), refreshedAt: map[ownership.Partition]time.Time{}, inFlight: map[int]int{}, closing: map[int]bool{},
		pausedUntil: map[int]time.Time{}, now: now,
	}
}

// limitSettings returns the limits of a document.
func limitSettings(d config.Document) limit.Settings {
	s := limit.Settings{
		MaxInFlight: d.Limits.MaxInFlight, ClientInFlight: d.Limits.ClientInFlight, TeamInFlight: d.Limits.TeamInFlight,
		QueueDelay: time.Duration(d.Limits.QueueDelayMS) * time.Millisecond,
	}
	for c := range s.MaxQueued {
		s.MaxQueued[c] = d.Class(model.Class(c)).MaxQueued
	}
	return s
}

func (r *router) configure(a config.Applied) {
	s := limitSettings(a.Document)
	r.entryLimiter.Configure(s)
	r.ownerLimiter.Configure(s)
	r.retryBudget.SetPercent(a.Document.Limits.RetryPercent)
}

// notify wakes the requests that wait for a change.
func (r *router) notify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}

// awaitChange waits until an owner or the partitions served here may have changed, for at most changeCheck. It returns
// false when ctx has ended.
func (in *Instance) awaitChange(ctx context.Context) bool {
	in.router.mu.Lock()
	changed := in.router.changed
	in.router.mu.Unlock()
	select {
	case <-changed:
		return true
	case <-in.opts.Clock.After(changeCheckInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

// Admit applies the limits of the instance that a caller reached. release is called when the request has been answered.
func (in *Instance) Admit(ctx context.Context, key limit.Key) (release func(), err error) {
	return in.router.entryLimiter.Acquire(ctx, key)
}

// Dispatch serves a request here if this instance owns its partition, and otherwise forwards it to the owner. The reply
// is nil when local has served the request. After an answer that it certainly did not run because the owner has changed,
// the request is sent to the new owner once; so is one whose partition moved while it ran, if a ticket or a key keeps it
// from running twice. Requests wait briefly for the end of a hand-over.
func (in *Instance) Dispatch(
	ctx context.Context, req Request, forward func() *peerpb.Forward, local func(context.Context) error,
) (reply *peerpb.ForwardReply, err error) {
	err = in.router.retryBudget.Do(ctx, in.sleep, func() error {
		reply, err = in.dispatchOnce(ctx, req, forward, local)
		return err
	})
	return reply, err
}

func (in *Instance) dispatchOnce(
	ctx context.Context, req Request, forward func() *peerpb.Forward, local func(context.Context) error,
) (*peerpb.ForwardReply, error) {
	address, here, err := in.findOwner(ctx, req.Partition, "")
	mayHaveRun := false
	for attempts := 0; err == nil; attempts++ {
		var reply *peerpb.ForwardReply
		if here {
			err = in.Serve(ctx, req, local)
		} else {
			reply, err = in.forward(ctx, address, req.Partition, forward())
		}
		if attempts > 0 || !(ownerChanged(err) || req.Repeatable && movedDuringRequest(err)) {
			return adjustRetryResult(mayHaveRun, reply, err)
		}
		mayHaveRun = movedDuringRequest(err)
		address, here, err = in.nextOwner(ctx, req.Partition, address, err)
	}
	return adjustRetryResult(mayHaveRun, nil, err)
}

// adjustRetryResult corrects the answer to the second attempt of a request whose first attempt may have run: a refusal of the
// second says nothing about the first.
func adjustRetryResult(mayHaveRun bool, reply *peerpb.ForwardReply, err error) (*peerpb.ForwardReply, error) {
	if mayHaveRun && err == nil && reply.GetStatus() >= http.StatusBadRequest {
		var body jsonhttp.ErrorBody
		if json.Unmarshal(reply.GetBody(), &body) == nil && body.Verdict == verdict.NotRun {
			err = body.Err()
		}
	}
	if !mayHaveRun || err == nil || verdict.Of(err) != verdict.NotRun {
		return reply, err
	}
	e := *verdict.From(err)
	e.Verdict = verdict.MayHaveRun
	return nil, &e
}

// ownerChanged reports whether a request certainly did not run and another owner may serve it.
func ownerChanged(err error) bool {
	if err == nil {
		return false
	}
	e := verdict.From(err)
	return e.Verdict == verdict.NotRun && (e.Code == verdict.CodeWrongOwner || e.Code == verdict.CodeUnavailable)
}

// movedDuringRequest reports whether a partition moved to another owner while it worked on the request.
func movedDuringRequest(err error) bool {
	if err == nil {
		return false
	}
	e := verdict.From(err)
	return e.Verdict == verdict.MayHaveRun && e.Code == verdict.CodeWrongOwner
}

// nextOwner returns the owner to try after the one at an address refused. An owner that cannot be reached stays the owner
// until the table names another.
func (in *Instance) nextOwner(ctx context.Context, n int, tried string, refusal error) (address string, here bool, err error) {
	e := verdict.From(refusal)
	if e.Owner != "" && e.Owner != tried && e.Owner != in.opts.Settings.PeerAddress {
		return e.Owner, false, nil
	}
	in.refreshOwner(ctx, ownership.Intent(n))
	if loc, ok := in.owners.Locate(ownership.Intent(n)); ok && !loc.Local && loc.Address == tried && e.Code == verdict.CodeUnavailable {
		return "", false, refusal
	}
	return in.findOwner(ctx, n, tried)
}

// findOwner returns the owner of a partition other than the one that refused already, and waits for one briefly.
func (in *Instance) findOwner(ctx context.Context, n int, refused string) (address string, here bool, err error) {
	err = in.waitUntilReady(ctx, n, func() bool {
		loc, ok := in.owners.Locate(ownership.Intent(n))
		address, here = loc.Address, loc.Local
		if here {
			_, notServed := in.intentRunner(n)
			return notServed == nil && !in.router.isClosed(n)
		}
		return ok && loc.Address != refused
	})
	return address, here, err
}

// waitUntilReady waits until ready, for at most maxOwnerWait; it refuses at once when too many requests wait.
func (in *Instance) waitUntilReady(ctx context.Context, n int, ready func() bool) error {
	r := in.router
	r.mu.Lock()
	changed := r.changed
	r.mu.Unlock()
	if ready() {
		return nil
	}
	if !r.addWaiter() {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%d requests wait for partitions that move", maxWaitingRequests).After(noOwnerRetryDelay)
	}
	defer r.removeWaiter()
	in.refreshOwner(ctx, ownership.Intent(n))
	timeout := in.opts.Clock.After(maxOwnerWait)
	refresh := in.opts.Clock.NewTicker(minRefreshInterval)
	defer refresh.Stop()
	for !ready() {
		select {
		case <-changed:
		case <-refresh.Chan():
			in.refreshOwner(ctx, ownership.Intent(n))
		case <-timeout:
			return verdict.New(verdict.NotRun, verdict.CodeWrongOwner, "intent partition %d has no owner that serves it", n).After(noOwnerRetryDelay)
		case <-ctx.Done():
			return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeUnavailable, "wait for the owner of intent partition %d", n)
		case <-in.ctx.Done():
			return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the instance has stopped").After(noOwnerRetryDelay)
		}
		r.mu.Lock()
		changed = r.changed
		r.mu.Unlock()
	}
	return nil
}

func (r *router) addWaiter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiters >= maxWaitingRequests {
		return false
	}
	r.waiters++
	return true
}

func (r *router) removeWaiter() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters--
}

// refreshOwner reads the owner of a partition from the table, unless a request or a message has done so just now.
func (in *Instance) refreshOwner(ctx context.Context, p ownership.Partition) {
	now := in.opts.Clock.Now()
	r := in.router
	r.mu.Lock()
	due := now.Sub(r.refreshedAt[p]) >= minRefreshInterval
	if due {
		r.refreshedAt[p] = now
	}
	r.mu.Unlock()
	if due {
		// Without an answer the view stays as it is; the regular reads go on.
		_ = in.owners.Refresh(ctx, p)
	}
}

// forward sends a request to an owner. The owner's refusal before the handler ran comes as an error; one by the handler,
// in the moment of a change, comes as an HTTP answer.
func (in *Instance) forward(ctx context.Context, address string, n int, f *peerpb.Forward) (*peerpb.ForwardReply, error) {
	f.Partition = uint32(n)
	reply, err := in.opts.Peers.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_Forward{Forward: f}})
	if err != nil {
		return nil, err
	}
	answer := reply.GetForward()
	if answer.GetStatus() != http.StatusServiceUnavailable {
		return answer, nil
	}
	var body jsonhttp.ErrorBody
	if json.Unmarshal(answer.GetBody(), &body) == nil && body.Code == verdict.CodeWrongOwner {
		return nil, body.Err()
	}
	return answer, nil
}

// handleForward serves a request that another instance forwarded. It is not forwarded again: a sender with an old view
// gets the owner that this instance knows.
func (in *Instance) handleForward(ctx context.Context, f *peerpb.Forward) (*peerpb.ForwardReply, error) {
	n := int(f.GetPartition())
	if loc, ok := in.owners.Locate(ownership.Intent(n)); !loc.Local {
		err := verdict.New(verdict.NotRun, verdict.CodeWrongOwner, "intent partition %d is not served here", n).After(retryDelay)
		if ok {
			err.Owner = loc.Address
		}
		return nil, err
	}
	return in.forwardHandler(ctx, f), nil
}

// Serve runs a request on a partition that this instance owns, within the limits of its class and team. While the
// partition is loaded the request waits; once it moves away, the error has CodeWrongOwner and NotRun.
func (in *Instance) Serve(ctx context.Context, req Request, local func(context.Context) error) error {
	err := in.waitUntilReady(ctx, req.Partition, func() bool {
		_, notServed := in.intentRunner(req.Partition)
		loc, _ := in.owners.Locate(ownership.Intent(req.Partition))
		return notServed == nil || !loc.Local
	})
	if err != nil {
		return err
	}
	release, err := in.router.ownerLimiter.Acquire(ctx, in.ownerLimitKey(req))
	if err != nil {
		return err
	}
	defer release()
	if !in.router.beginRequest(req.Partition) {
		return verdict.New(verdict.NotRun, verdict.CodeWrongOwner, "intent partition %d moves to another owner", req.Partition).After(retryDelay)
	}
	defer in.router.endRequest(req.Partition)
	return in.conflictToWrongOwner(ctx, req.Partition, local(ctx))
}

// conflictToWrongOwner turns a conflict of a write into CodeWrongOwner when the partition has moved to another owner that this
// instance has not heard of, so that the request goes there. The partition takes no requests until the view has changed.
func (in *Instance) conflictToWrongOwner(ctx context.Context, n int, err error) error {
	if err == nil {
		return nil
	}
	e := verdict.From(err)
	if e.Verdict != verdict.NotRun || e.Code != verdict.CodeConflict {
		return err
	}
	if owns, readErr := in.owners.Owns(ctx, ownership.Intent(n)); readErr != nil || owns {
		return err
	}
	in.router.closePartition(n)
	return verdict.Wrap(err, verdict.NotRun, verdict.CodeWrongOwner, "intent partition %d has moved to another owner", n).After(retryDelay)
}

// ownerLimitKey returns the limits that apply to a request at the owner of its partition.
func (in *Instance) ownerLimitKey(req Request) limit.Key {
	spec := req.Spec
	if r, err := in.intentRunner(req.Partition); err == nil && spec == nil && req.Intent != "" {
		if known, err := r.core.Intent(req.Intent); err == nil {
			spec = &known.Spec
		}
	}
	if spec == nil {
		return limit.Key{Class: req.Class}
	}
	// A request that manages work of a low class, such as a cancellation, keeps its own higher class.
	return limit.Key{Class: min(req.Class, spec.EffectiveClass()), Team: spec.Account + "\x00" + spec.Team}
}

const (
	// handoverPause is how long a partition that is to move takes no further requests while others finish. It is below
	// maxOwnerWait, so that the requests that wait meanwhile are still served.
	handoverPause = 1200 * time.Millisecond
	// handoverRetryInterval is the time until the next try after a partition has not become idle.
	handoverRetryInterval = 30 * time.Second
)

// closeIfIdle reports whether a partition that is to move is idle, and closes it then. A busy one takes no further requests for
// yieldWait and is open again after that, also if it is no longer to move.
func (r *router) closeIfIdle(now time.Time, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.stopping:
		return false
	case r.inFlight[n] == 0:
		r.closing[n] = true
		return true
	case now.Sub(r.pausedUntil[n]) >= handoverRetryInterval:
		r.pausedUntil[n] = now.Add(handoverPause)
	}
	return false
}

// openPartition lets requests in to a partition that this instance has taken.
func (r *router) openPartition(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return
	}
	delete(r.closing, n)
	delete(r.pausedUntil, n)
	close(r.changed)
	r.changed = make(chan struct{})
}

// isClosedLocked reports whether a partition takes no requests. Callers hold r.mu.
func (r *router) isClosedLocked(n int) bool { return r.closing[n] || r.now().Before(r.pausedUntil[n]) }

func (r *router) isClosed(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isClosedLocked(n)
}

// closePartition keeps requests from a partition until open.
func (r *router) closePartition(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closing[n] = true
}

// beginRequest counts a request on a partition, unless the partition is closing.
func (r *router) beginRequest(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosedLocked(n) {
		return false
	}
	r.inFlight[n]++
	return true
}

func (r *router) endRequest(n int) {
	r.mu.Lock()
	r.inFlight[n]--
	idle := r.inFlight[n] == 0
	if idle {
		delete(r.inFlight, n)
	}
	idle = idle && r.isClosedLocked(n)
	r.mu.Unlock()
	if idle {
		r.notify()
	}
}
