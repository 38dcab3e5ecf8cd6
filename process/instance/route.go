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
	// maxOwnerWait bounds the time that a request waits for a handover to finish. After a graceful handover the partition is
	// served again within 2 s.
	maxOwnerWait = 2500 * time.Millisecond
	// maxWaitingRequests bounds the number of requests that wait for handovers.
	maxWaitingRequests = 1024
	// noOwnerRetryDelay is the retry delay sent to clients when a partition has no owner after maxOwnerWait.
	noOwnerRetryDelay = time.Second
	// changeCheckInterval is the time after which the owners are checked again without a notification of a change.
	changeCheckInterval = time.Second
	// minRefreshInterval is the minimum time between the reads of one partition's owner that requests cause.
	minRefreshInterval = 100 * time.Millisecond
)

// Request describes a client's request for routing and limits.
type Request struct {
	Partition int
	// Intent is the id of the intent that is called, or empty.
	Intent string
	// Spec is the submitted intent, or nil.
	Spec *model.IntentSpec
	// Class is the class of the request if neither an intent nor a spec determines it.
	Class model.Class
	// Repeatable is set for a request with a ticket or an idempotency key: another owner can answer it again without a second
	// run.
	Repeatable bool
}

// router holds the limits and the state of requests that routing needs in addition to the owners.
type router struct {
	// entryLimiter limits the client requests that this instance receives; ownerLimiter limits the work on partitions served
	// here. With one limiter for both, two instances full of requests for each other would deadlock.
	entryLimiter, ownerLimiter *limit.Limiter
	retryBudget                *limit.RetryBudget
	now                        func() time.Time

	// mu protects the fields below.
	mu sync.Mutex
	// changed is closed and replaced when an owner or the set of partitions served here changes, and when a closed partition
	// becomes idle.
	changed chan struct{}
	// waiters counts the requests that wait for an owner.
	waiters int
	// refreshedAt is when the owner of a partition was last read because of a request or a message.
	refreshedAt map[ownership.Partition]time.Time
	// inFlight counts the running requests by partition; partitions in closing accept no further ones.
	inFlight map[int]int
	closing  map[int]bool
	// stopping is set once the instance shuts down: closed partitions are not opened again.
	stopping bool
	// pausedUntil is the time until which a partition accepts no requests because it is about to be handed over.
	pausedUntil map[int]time.Time
}

func newRouter(now func() time.Time, seed uint64) *router {
	limits := limitSettings(config.Default())
	return &router{
		entryLimiter: limit.New(now, seed, limits), ownerLimiter: limit.New(now, seed+1, limits),
		retryBudget: limit.NewRetryBudget(config.Default().Limits.RetryPercent, seed),
		changed:     make(chan struct{}), refreshedAt: map[ownership.Partition]time.Time{}, inFlight: map[int]int{}, closing: map[int]bool{},
		pausedUntil: map[int]time.Time{}, now: now,
	}
}

// limitSettings returns the limits of a configuration document.
func limitSettings(d config.Document) limit.Settings {
	s := limit.Settings{
		MaxInFlight: d.Limits.MaxInFlight, MaxClientInFlight: d.Limits.ClientInFlight, MaxTeamInFlight: d.Limits.TeamInFlight,
		MaxExpectedWait: time.Duration(d.Limits.QueueDelayMS) * time.Millisecond,
	}
	for c := range s.MaxQueued {
		s.MaxQueued[c] = d.Class(model.Class(c)).MaxQueued
	}
	return s
}

// configure applies the limits of a configuration.
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

// awaitChange waits for at most changeCheckInterval until an owner or the set of partitions served here has changed. It
// returns false when ctx is cancelled.
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

// Admit applies the entry limits to a client request. The caller must call release when the request has been answered.
func (in *Instance) Admit(ctx context.Context, key limit.Key) (release func(), err error) {
	return in.router.entryLimiter.Acquire(ctx, key)
}

// Dispatch serves a request here if this instance owns its partition, and otherwise forwards it to the owner. The reply is
// nil when local has served the request. The request is sent once more, to the new owner, if the first attempt certainly did
// not run because the owner has changed, or if the partition moved while the request ran and a ticket or an idempotency key
// prevents a second run. Each search for an owner waits for at most maxOwnerWait for a handover to
// finish.
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

// adjustRetryResult turns NotRun into MayHaveRun in the result of a second attempt if the first attempt may have run: a
// refusal of the second attempt says nothing about the first.
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

// ownerChanged reports whether err means that the request certainly did not run and another owner may serve it.
func ownerChanged(err error) bool {
	if err == nil {
		return false
	}
	e := verdict.From(err)
	return e.Verdict == verdict.NotRun && (e.Code == verdict.CodeWrongOwner || e.Code == verdict.CodeUnavailable)
}

// movedDuringRequest reports whether err means that the partition moved to another owner while the request ran.
func movedDuringRequest(err error) bool {
	if err == nil {
		return false
	}
	e := verdict.From(err)
	return e.Verdict == verdict.MayHaveRun && e.Code == verdict.CodeWrongOwner
}

// nextOwner returns the owner for the second attempt; tried is the address of the owner that refused the first. An
// unreachable owner remains the owner until the table contains another one.
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

// findOwner returns the owner of a partition. If refused is not empty, it is the address of an owner that refused the request
// and is not returned again. findOwner waits for at most maxOwnerWait until there is an owner to return.
func (in *Instance) findOwner(ctx context.Context, n int, refused string) (address string, here bool, err error) {
	err = in.waitUntilReady(ctx, n, func() bool {
		loc, ok := in.owners.Locate(ownership.Intent(n))
		address, here = loc.Address, loc.Local
		if here {
			_, notServed := in.loadedIntentRunner(n)
			return notServed == nil && !in.router.isClosed(n)
		}
		return ok && loc.Address != refused
	})
	return address, here, err
}

// waitUntilReady waits for at most maxOwnerWait until ready returns true, and reads the owner of the partition meanwhile. It
// fails at once when maxWaitingRequests requests wait already.
func (in *Instance) waitUntilReady(ctx context.Context, n int, ready func() bool) error {
	r := in.router
	r.mu.Lock()
	changed := r.changed
	r.mu.Unlock()
	if ready() {
		return nil
	}
	if !r.addWaiter() {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%d requests wait for partitions that move", maxWaitingRequests).WithRetryAfter(noOwnerRetryDelay)
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
			return verdict.New(verdict.NotRun, verdict.CodeWrongOwner, "intent partition %d has no owner that serves it", n).WithRetryAfter(noOwnerRetryDelay)
		case <-ctx.Done():
			return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeUnavailable, "wait for the owner of intent partition %d", n)
		case <-in.ctx.Done():
			return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the instance has stopped").WithRetryAfter(noOwnerRetryDelay)
		}
		r.mu.Lock()
		changed = r.changed
		r.mu.Unlock()
	}
	return nil
}

// addWaiter counts a waiting request. It returns false when maxWaitingRequests wait already.
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

// refreshOwner reads the owner of a partition from the table, unless a request or a message has done so within
// minRefreshInterval.
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
		// On an error the view remains as it is until the next periodic read.
		_ = in.owners.RefreshOwner(ctx, p)
	}
}

// forward sends a request to an owner. A refusal before the owner's handler ran arrives as an error. A refusal by the
// handler, while the owner changes, arrives as an HTTP response; if its code is CodeWrongOwner, forward returns an error too.
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

// handleForward serves a request that another instance forwarded. It does not forward the request again: a sender with an
// outdated view receives the owner in this instance's view. A sender can also read the new owner before the answer to the
// acquisition arrives here; its request waits for that answer.
func (in *Instance) handleForward(ctx context.Context, f *peerpb.Forward) (*peerpb.ForwardReply, error) {
	n := int(f.GetPartition())
	acquired := func() bool { return !in.owners.Acquiring(ownership.Intent(n)) }
	if err := in.waitUntilReady(ctx, n, acquired); err != nil {
		return nil, err
	}
	if loc, ok := in.owners.Locate(ownership.Intent(n)); !loc.Local {
		err := verdict.New(verdict.NotRun, verdict.CodeWrongOwner, "intent partition %d is not served here", n).WithRetryAfter(retryDelay)
		if ok {
			err.Owner = loc.Address
		}
		return nil, err
	}
	return in.forwardHandler(ctx, f), nil
}

// Serve runs a request on a partition that this instance owns, within the limits of its class and team. The request waits
// while the partition is being loaded. If the partition is being handed over, the error is NotRun with CodeWrongOwner.
func (in *Instance) Serve(ctx context.Context, req Request, local func(context.Context) error) error {
	err := in.waitUntilReady(ctx, req.Partition, func() bool {
		_, notServed := in.loadedIntentRunner(req.Partition)
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
		return verdict.New(verdict.NotRun, verdict.CodeWrongOwner, "intent partition %d moves to another owner", req.Partition).WithRetryAfter(retryDelay)
	}
	defer in.router.endRequest(req.Partition)
	return in.conflictToWrongOwner(ctx, req.Partition, local(ctx))
}

// conflictToWrongOwner turns a write conflict into CodeWrongOwner if the partition has moved to another owner that is not in
// this instance's view yet, so that the request is sent there. The partition accepts no requests here until it is acquired
// again.
func (in *Instance) conflictToWrongOwner(ctx context.Context, n int, err error) error {
	if err == nil {
		return nil
	}
	e := verdict.From(err)
	if e.Verdict != verdict.NotRun || e.Code != verdict.CodeConflict {
		return err
	}
	if owns, readErr := in.owners.VerifyOwnership(ctx, ownership.Intent(n)); readErr != nil || owns {
		return err
	}
	in.router.closePartition(n)
	return verdict.Wrap(err, verdict.NotRun, verdict.CodeWrongOwner, "intent partition %d has moved to another owner", n).WithRetryAfter(retryDelay)
}

// ownerLimitKey returns the key of the limits that apply to a request at the owner of its partition.
func (in *Instance) ownerLimitKey(req Request) limit.Key {
	spec := req.Spec
	if r, err := in.loadedIntentRunner(req.Partition); err == nil && spec == nil && req.Intent != "" {
		if known, err := r.core.Intent(req.Intent); err == nil {
			spec = &known.Spec
		}
	}
	if spec == nil {
		return limit.Key{Class: req.Class}
	}
	// A request that manages work of a lower class, such as a cancellation, keeps its own class.
	return limit.Key{Class: min(req.Class, spec.EffectiveClass()), Team: spec.Account + "\x00" + spec.Team}
}

const (
	// handoverPause is how long a partition that is about to be handed over accepts no requests while those in flight
	// finish. It is below maxOwnerWait, so that requests that wait meanwhile are still served.
	handoverPause = 1200 * time.Millisecond
	// handoverRetryInterval is the time from the end of a pause in which the partition did not become idle to the next pause.
	handoverRetryInterval = 30 * time.Second
)

// closeIfIdle closes a partition that is about to be handed over if no request is in flight on it, and reports whether it
// did. Otherwise the partition accepts no requests for handoverPause and is open again after that, whether or not the handover
// is still wanted.
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

// openPartition allows requests on a partition that this instance has acquired.
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

// isClosedLocked reports whether a partition accepts no requests. Callers hold r.mu.
func (r *router) isClosedLocked(n int) bool { return r.closing[n] || r.now().Before(r.pausedUntil[n]) }

func (r *router) isClosed(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isClosedLocked(n)
}

// closePartition rejects requests on a partition until openPartition is called.
func (r *router) closePartition(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closing[n] = true
}

// beginRequest counts a request on a partition. It returns false if the partition is closed.
func (r *router) beginRequest(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosedLocked(n) {
		return false
	}
	r.inFlight[n]++
	return true
}

// endRequest ends a request that beginRequest counted, and wakes the waiters when a closed partition becomes idle.
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
