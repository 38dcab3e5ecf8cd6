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
	// holdTime is how long a request waits for the end of a hand-over. A graceful hand-over is served again within 2 s.
	holdTime = 2500 * time.Millisecond
	// maxHeld bounds the requests that wait for hand-overs.
	maxHeld = 1024
	// heldRetry is the retry time given when a partition has no owner after holdTime.
	heldRetry = time.Second
	// changeCheck is the time after which the owners are looked at again without a sign of a change.
	changeCheck = time.Second
	// refreshEvery is the shortest time between reads of one partition's owner that requests cause.
	refreshEvery = 100 * time.Millisecond
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
	// entry limits requests of callers at the instance that they reach; owned limits the work on partitions served here.
	// They are apart, so that two instances full of requests for each other cannot wait for each other's places.
	entry, owned *limit.Limiter
	retries      *limit.Budget
	now          func() time.Time

	mu sync.Mutex
	// changed is closed and replaced when an owner or the partitions served here change.
	changed chan struct{}
	held    int
	// refreshed is when the owner of a partition was last read because of a request or a message.
	refreshed map[ownership.Partition]time.Time
	// working counts the requests that are worked on, by partition; closing partitions take no more.
	working map[int]int
	closing map[int]bool
	// stopping is set once the instance shuts down: closed partitions are not opened again.
	stopping bool
	// yieldUntil is until when a partition takes no requests because it is to move.
	yieldUntil map[int]time.Time
}

func newRouter(now func() time.Time, seed uint64) *router {
	limits := limitSettings(config.Default())
	return &router{
		entry: limit.New(now, seed, limits), owned: limit.New(now, seed+1, limits),
		retries: limit.NewBudget(config.Default().Limits.RetryPercent, seed),
		changed: make(chan struct{}), refreshed: map[ownership.Partition]time.Time{}, working: map[int]int{}, closing: map[int]bool{},
		yieldUntil: map[int]time.Time{}, now: now,
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
	r.entry.Configure(s)
	r.owned.Configure(s)
	r.retries.SetPercent(a.Document.Limits.RetryPercent)
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
	case <-in.opts.Clock.After(changeCheck):
		return true
	case <-ctx.Done():
		return false
	}
}

// Admit applies the limits of the instance that a caller reached. release is called when the request has been answered.
func (in *Instance) Admit(ctx context.Context, key limit.Key) (release func(), err error) {
	return in.router.entry.Acquire(ctx, key)
}

// Dispatch serves a request here if this instance owns its partition, and otherwise forwards it to the owner. The reply
// is nil when local has served the request. After an answer that it certainly did not run because the owner has changed,
// the request is sent to the new owner once; so is one whose partition moved while it ran, if a ticket or a key keeps it
// from running twice. Requests wait briefly for the end of a hand-over.
func (in *Instance) Dispatch(
	ctx context.Context, req Request, forward func() *peerpb.Forward, local func(context.Context) error,
) (reply *peerpb.ForwardReply, err error) {
	err = in.router.retries.Do(ctx, in.sleep, func() error {
		reply, err = in.dispatchOnce(ctx, req, forward, local)
		return err
	})
	return reply, err
}

func (in *Instance) dispatchOnce(
	ctx context.Context, req Request, forward func() *peerpb.Forward, local func(context.Context) error,
) (*peerpb.ForwardReply, error) {
	address, here, err := in.findOwner(ctx, req.Partition, "")
	unsure := false
	for tries := 0; err == nil; tries++ {
		var reply *peerpb.ForwardReply
		if here {
			err = in.Serve(ctx, req, local)
		} else {
			reply, err = in.forward(ctx, address, req.Partition, forward())
		}
		if tries > 0 || !(ownerChanged(err) || req.Repeatable && movedMeanwhile(err)) {
			return afterUnknown(unsure, reply, err)
		}
		unsure = movedMeanwhile(err)
		address, here, err = in.nextOwner(ctx, req.Partition, address, err)
	}
	return afterUnknown(unsure, nil, err)
}

// afterUnknown corrects the answer to the second attempt of a request whose first attempt may have run: a refusal of the
// second says nothing about the first.
func afterUnknown(unsure bool, reply *peerpb.ForwardReply, err error) (*peerpb.ForwardReply, error) {
	if unsure && err == nil && reply.GetStatus() >= http.StatusBadRequest {
		var body jsonhttp.ErrorBody
		if json.Unmarshal(reply.GetBody(), &body) == nil && body.Verdict == verdict.NotRun {
			err = body.Err()
		}
	}
	if !unsure || err == nil || verdict.Of(err) != verdict.NotRun {
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

// movedMeanwhile reports whether a partition moved to another owner while it worked on the request.
func movedMeanwhile(err error) bool {
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
	err = in.hold(ctx, n, func() bool {
		loc, ok := in.owners.Locate(ownership.Intent(n))
		address, here = loc.Address, loc.Local
		if here {
			_, missing := in.intentRunner(n)
			return missing == nil && !in.router.isClosing(n)
		}
		return ok && loc.Address != refused
	})
	return address, here, err
}

// hold waits until ready, for at most holdTime; it refuses at once when too many requests wait.
func (in *Instance) hold(ctx context.Context, n int, ready func() bool) error {
	r := in.router
	r.mu.Lock()
	changed := r.changed
	r.mu.Unlock()
	if ready() {
		return nil
	}
	if !r.beginHold() {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%d requests wait for partitions that move", maxHeld).After(heldRetry)
	}
	defer r.endHold()
	in.refreshOwner(ctx, ownership.Intent(n))
	timeout := in.opts.Clock.After(holdTime)
	refresh := in.opts.Clock.NewTicker(refreshEvery)
	defer refresh.Stop()
	for !ready() {
		select {
		case <-changed:
		case <-refresh.Chan():
			in.refreshOwner(ctx, ownership.Intent(n))
		case <-timeout:
			return verdict.New(verdict.NotRun, verdict.CodeWrongOwner, "intent partition %d has no owner that serves it", n).After(heldRetry)
		case <-ctx.Done():
			return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeUnavailable, "wait for the owner of intent partition %d", n)
		case <-in.ctx.Done():
			return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the instance has stopped").After(heldRetry)
		}
		r.mu.Lock()
		changed = r.changed
		r.mu.Unlock()
	}
	return nil
}

func (r *router) beginHold() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held >= maxHeld {
		return false
	}
	r.held++
	return true
}

func (r *router) endHold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held--
}

// refreshOwner reads the owner of a partition from the table, unless a request or a message has done so just now.
func (in *Instance) refreshOwner(ctx context.Context, p ownership.Partition) {
	now := in.opts.Clock.Now()
	r := in.router
	r.mu.Lock()
	due := now.Sub(r.refreshed[p]) >= refreshEvery
	if due {
		r.refreshed[p] = now
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
	return in.handler(ctx, f), nil
}

// Serve runs a request on a partition that this instance owns, within the limits of its class and team. While the
// partition is loaded the request waits; once it moves away, the error has CodeWrongOwner and NotRun.
func (in *Instance) Serve(ctx context.Context, req Request, local func(context.Context) error) error {
	err := in.hold(ctx, req.Partition, func() bool {
		_, missing := in.intentRunner(req.Partition)
		loc, _ := in.owners.Locate(ownership.Intent(req.Partition))
		return missing == nil || !loc.Local
	})
	if err != nil {
		return err
	}
	release, err := in.router.owned.Acquire(ctx, in.ownerKey(req))
	if err != nil {
		return err
	}
	defer release()
	if !in.router.enter(req.Partition) {
		return verdict.New(verdict.NotRun, verdict.CodeWrongOwner, "intent partition %d moves to another owner", req.Partition).After(retryDelay)
	}
	defer in.router.leave(req.Partition)
	return in.explainConflict(ctx, req.Partition, local(ctx))
}

// explainConflict turns a conflict of a write into CodeWrongOwner when the partition has moved to another owner that this
// instance has not heard of, so that the request goes there. The partition takes no requests until the view has changed.
func (in *Instance) explainConflict(ctx context.Context, n int, err error) error {
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
	in.router.shut(n)
	return verdict.Wrap(err, verdict.NotRun, verdict.CodeWrongOwner, "intent partition %d has moved to another owner", n).After(retryDelay)
}

// ownerKey returns the limits that apply to a request at the owner of its partition.
func (in *Instance) ownerKey(req Request) limit.Key {
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
	// yieldWait is how long a partition that is to move takes no further requests while others finish. It is below
	// holdTime, so that the requests that wait meanwhile are still served.
	yieldWait = 1200 * time.Millisecond
	// yieldRetry is the time until the next try after a partition has not become idle.
	yieldRetry = 30 * time.Second
)

// yield reports whether a partition that is to move is idle, and closes it then. A busy one takes no further requests for
// yieldWait and is open again after that, also if it is no longer to move.
func (r *router) yield(now time.Time, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.stopping:
		return false
	case r.working[n] == 0:
		r.closing[n] = true
		return true
	case now.Sub(r.yieldUntil[n]) >= yieldRetry:
		r.yieldUntil[n] = now.Add(yieldWait)
	}
	return false
}

// open lets requests in to a partition that this instance has taken.
func (r *router) open(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return
	}
	delete(r.closing, n)
	delete(r.yieldUntil, n)
	close(r.changed)
	r.changed = make(chan struct{})
}

// isClosed reports whether a partition takes no requests. Callers hold r.mu.
func (r *router) isClosed(n int) bool { return r.closing[n] || r.now().Before(r.yieldUntil[n]) }

func (r *router) isClosing(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isClosed(n)
}

// shut keeps requests from a partition until open.
func (r *router) shut(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closing[n] = true
}

// enter counts a request on a partition, unless the partition is closing.
func (r *router) enter(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed(n) {
		return false
	}
	r.working[n]++
	return true
}

func (r *router) leave(n int) {
	r.mu.Lock()
	r.working[n]--
	idle := r.working[n] == 0
	if idle {
		delete(r.working, n)
	}
	idle = idle && r.isClosed(n)
	r.mu.Unlock()
	if idle {
		r.notify()
	}
}
