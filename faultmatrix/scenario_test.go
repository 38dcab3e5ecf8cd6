package faultmatrix

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/instance"
	"github.com/lentiltide/lentiltide/request/api"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
)

const (
	// retryPeriod is how long a caller repeats a request before it abandons it.
	retryPeriod = 100 * time.Second
	// settleTimeout bounds the wait for tasks to finish after the last fault, and then for each intent to be recorded as done.
	settleTimeout = 100 * time.Second
	// maxStartDelayAfterLeave is how long tasks may still start on a worker after the platform has announced that it leaves
	// (P6).
	maxStartDelayAfterLeave = 3 * time.Second
)

// maxCommitDelay exceeds the time for which an instance collects writes for one commit.
const maxCommitDelay = 25 * time.Millisecond

// call is one call of a caller and the result that the caller received.
type call struct {
	payload string
	// singleAttempt means that the caller does not repeat the request.
	singleAttempt bool
	// draining means that the call was in flight on an instance that shut down gracefully.
	draining bool
	reply    api.CallReply
	err      error
	// answeredAt is the time of the last answer; it is set only for calls made with retries.
	answeredAt time.Time
}

// job is one confirmed intent.
type job struct {
	intent    model.Intent
	cancelled bool
}

// scenario is the load that the callers of one account create, and the record of what they received.
type scenario struct {
	sim *simulation

	mu                   sync.Mutex
	calls                []*call
	jobs                 []*job
	refusedConfirmations []string
	problems             []string
	leavingWorker        string
	leaveAnnouncedAt     time.Time
}

// problemf records a broken promise or a failure of the scenario.
func (s *scenario) problemf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// inProcessTransport passes callers' HTTP requests to the handler of one instance without sockets.
type inProcessTransport struct {
	sim *simulation
	n   *node
}

// RoundTrip implements http.RoundTripper.
func (t inProcessTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	m := message{step: stepOfPath(req.URL.Path), to: t.n, content: contentOfCallerRequest(req)}
	return exchange(t.sim, req.Context(), m, func(ctx context.Context) (*http.Response, error) {
		recorder := httptest.NewRecorder()
		t.n.api.HTTP().ServeHTTP(recorder, req.Clone(ctx))
		return recorder.Result(), nil
	})
}

// contentOfCallerRequest returns the method, path and body of a caller's request, without random identifiers.
func contentOfCallerRequest(req *http.Request) string {
	var body []byte
	if req.GetBody != nil {
		if r, err := req.GetBody(); err == nil {
			body, _ = io.ReadAll(r)
		}
	}
	return maskRandomIDs(req.Method + " " + req.URL.Path + " " + string(body))
}

// post sends one request to one instance and decodes the answer into out.
func (s *scenario) post(n *node, path string, header http.Header, body string, out any) error {
	client := jsonhttp.NewClient("http://"+n.id, inProcessTransport{s.sim, n})
	_, err := client.Do(s.sim.ctx, http.MethodPost, path, header, []byte(body), out)
	return err
}

// awaitIntentsDone waits until the scheduler reports each batch intent whose tasks have all finished as done, and records a
// problem for an intent that is not reported in time.
func (s *scenario) awaitIntentsDone() {
	for _, j := range s.jobs {
		if j.cancelled || j.intent.Spec.Kind != model.KindBatch || len(s.unfinishedTasks(j)) > 0 {
			continue
		}
		var status struct{ Intent model.Intent }
		for start := time.Now(); time.Since(start) < settleTimeout && status.Intent.State != model.IntentDone; {
			if live := s.sim.liveNodes(); len(live) > 0 {
				client := jsonhttp.NewClient("http://"+live[0].id, inProcessTransport{s.sim, live[0]})
				_, _ = client.Do(s.sim.ctx, http.MethodGet, "/v1/intents/"+j.intent.ID, nil, nil, &status)
			}
			sleep(s.sim.ctx, time.Second)
		}
		if status.Intent.State != model.IntentDone {
			s.problemf("lost: all tasks of %s have finished, but its state is %q", j.intent.Spec.Name, status.Intent.State)
		}
	}
}

// postWithRetries repeats a request, each time at the next instance, until it succeeds, fails with an error that is not
// retryable, or retryPeriod is over.
func (s *scenario) postWithRetries(caller int, path string, header http.Header, body string, out any) (err error) {
	for start := time.Now(); time.Since(start) < retryPeriod; {
		live := s.sim.liveNodes()
		if len(live) > 0 {
			err = s.post(live[caller%len(live)], path, header, body, out)
			if err == nil || !retryable(err) {
				return err
			}
		}
		caller++
		if !sleep(s.sim.ctx, 500*time.Millisecond) {
			return err
		}
	}
	return err
}

// retryable reports whether a caller repeats a request that failed with err.
func retryable(err error) bool {
	switch verdict.From(err).Code {
	case verdict.CodeUnavailable, verdict.CodeOverloaded, verdict.CodeWrongOwner, verdict.CodeInternal:
		return true
	}
	return false
}

// intentSpec returns the JSON body of a request to plan an intent. Only batch intents are preemptible and idempotent.
func intentSpec(name string, kind model.Kind, tasks int, run time.Duration) string {
	return fmt.Sprintf(`{"account":%q,"team":%q,"name":%q,"kind":%q,"tasks":%d,"run_time_ms":%d,"payload":%q,`+
		`"preemptible":%v,"idempotent":%v,"each":{"cpu_milli":2000,"memory_mib":1024}}`,
		account, team, name, kind, tasks, run.Milliseconds(), name, kind == model.KindBatch, kind == model.KindBatch)
}

// startIntent plans and confirms an intent. Two callers confirm the same plan at the same time. If the plan is stale, the
// intent is planned again, up to ten times.
func (s *scenario) startIntent(name string, kind model.Kind, tasks int, run time.Duration) *job {
	for range 10 {
		var plan model.Plan
		if err := s.postWithRetries(0, "/v1/plans", nil, intentSpec(name, kind, tasks, run), &plan); err != nil {
			s.problemf("plan %s: %v", name, err)
			return nil
		}
		if intent := s.confirmConcurrently(plan); intent != nil {
			j := &job{intent: *intent}
			s.mu.Lock()
			s.jobs = append(s.jobs, j)
			s.mu.Unlock()
			return j
		}
		sleep(s.sim.ctx, 5*time.Second)
	}
	s.problemf("no plan for %s could be confirmed", name)
	return nil
}

// confirmConcurrently confirms a plan by two callers at the same time. It returns nil if both received a stale-plan error.
func (s *scenario) confirmConcurrently(plan model.Plan) *model.Intent {
	var wg sync.WaitGroup
	var answers [2]model.Intent
	var errs [2]error
	for caller := range answers {
		wg.Go(func() {
			errs[caller] = s.postWithRetries(caller, "/v1/plans/"+plan.ID+"/confirm", nil, "{}", &answers[caller])
		})
	}
	wg.Wait()
	stale := 0
	for caller, err := range errs {
		switch {
		case err != nil && verdict.From(err).Code == verdict.CodeStalePlan:
			stale++
		case err != nil || answers[caller].ID != plan.IntentID:
			s.problemf("P3: caller %d confirmed plan %s and received intent %q, error %v", caller, plan.ID, answers[caller].ID, err)
		}
	}
	if stale == 2 {
		return nil
	}
	// One caller may receive a stale-plan error before the confirmation of the other is written.
	return &model.Intent{ID: plan.IntentID, Spec: plan.Spec}
}

// confirmWithoutRetry confirms a plan without repeating the request. If the answer is NotRun, the intent must never start
// (P4).
func (s *scenario) confirmWithoutRetry(name string) {
	var plan model.Plan
	if err := s.postWithRetries(1, "/v1/plans", nil, intentSpec(name, model.KindBatch, 1, time.Second), &plan); err != nil {
		s.problemf("plan %s: %v", name, err)
		return
	}
	live := s.sim.liveNodes()
	if len(live) == 0 {
		return
	}
	if err := s.post(live[0], "/v1/plans/"+plan.ID+"/confirm", nil, "{}", nil); verdict.Of(err) == verdict.NotRun {
		s.mu.Lock()
		s.refusedConfirmations = append(s.refusedConfirmations, name)
		s.mu.Unlock()
	}
}

// requestTickets requests tickets for calls of a job.
func (s *scenario) requestTickets(j *job, count int) []string {
	var reply api.TicketsReply
	path := "/v1/intents/" + j.intent.ID + "/tickets"
	if err := s.postWithRetries(0, path, nil, fmt.Sprintf(`{"count":%d}`, count), &reply); err != nil || len(reply.Tickets) != count {
		s.problemf("request %d tickets of intent %s: %d received, error %v", count, j.intent.ID, len(reply.Tickets), err)
		return nil
	}
	return reply.Tickets
}

// makeCall makes one call and records its result.
func (s *scenario) makeCall(caller int, j *job, header http.Header, payload string, singleAttempt bool) *call {
	c := &call{payload: payload, singleAttempt: singleAttempt}
	s.mu.Lock()
	s.calls = append(s.calls, c)
	s.mu.Unlock()
	path, body := "/v1/intents/"+j.intent.ID+"/calls", fmt.Sprintf(`{"payload":%q}`, payload)
	if live := s.sim.liveNodes(); singleAttempt && len(live) > 0 {
		c.err = s.post(live[caller%len(live)], path, header, body, &c.reply)
		return c
	}
	c.err = s.postWithRetries(caller, path, header, body, &c.reply)
	c.answeredAt = time.Now()
	return c
}

// ticketHeader returns the header of a call that is made with a ticket.
func ticketHeader(ticket string) http.Header { return http.Header{api.HeaderTicket: {ticket}} }

// callWithTickets makes calls with tickets in parallel. The callers of tickets with an even index send the request once, the
// others retry; each ticket with an odd index is used by two callers at the same time with the same payload.
func (s *scenario) callWithTickets(j *job, phase string, tickets []string) {
	var wg sync.WaitGroup
	for i, ticket := range tickets {
		payload := fmt.Sprintf("%s-%d", phase, i)
		wg.Go(func() { s.makeCall(i, j, ticketHeader(ticket), payload, i%2 == 0) })
		if i%2 == 1 {
			wg.Go(func() { s.makeCall(i+1, j, ticketHeader(ticket), payload, false) })
		}
	}
	wg.Wait()
}

// callWithKeys makes calls with idempotency keys, each by two callers at the same time, and then one call that reuses a key
// with another payload, which must not run.
func (s *scenario) callWithKeys(j *job) {
	var wg sync.WaitGroup
	for i := range 3 {
		// Calls that one commit releases run in any order. The pause puts the calls into different commits.
		sleep(s.sim.ctx, 2*maxCommitDelay)
		payload := fmt.Sprintf("keyed-%d", i)
		for caller := range 2 {
			wg.Go(func() { s.makeCall(i+caller, j, keyHeader(payload), payload, false) })
		}
	}
	wg.Wait()
	s.makeCall(0, j, keyHeader("keyed-0"), "other-payload", false)
}

// keyHeader returns the header of a call that is made with an idempotency key.
func keyHeader(key string) http.Header { return http.Header{api.HeaderIdempotencyKey: {key}} }

// cancel cancels a job by two callers at the same time.
func (s *scenario) cancel(j *job) {
	j.cancelled = true
	var wg sync.WaitGroup
	for caller := range 2 {
		wg.Go(func() {
			if err := s.postWithRetries(caller, "/v1/intents/"+j.intent.ID+"/cancel", nil, "{}", nil); err != nil {
				s.problemf("cancel %s: %v", j.intent.ID, err)
			}
		})
	}
	wg.Wait()
}

// preempt stops the first task of a job after a checkpoint, as a displacement does, if a worker has accepted its start.
func (s *scenario) preempt(j *job) {
	id := model.NewTaskID(j.intent.ID, 0, 0)
	s.sim.mu.Lock()
	r, ok := s.sim.acceptedStarts[id]
	s.sim.mu.Unlock()
	if !ok {
		return
	}
	req := &peerpb.Request{Body: &peerpb.Request_StopTask{StopTask: &peerpb.StopTask{
		Rack: r.rack, Task: string(id), Token: peer.TokenToProto(r.token), Checkpoint: true,
	}}}
	for _, n := range s.sim.liveNodes() {
		_, _ = exchange(s.sim, s.sim.ctx, message{step: stepPreempt, to: n}, func(ctx context.Context) (*peerpb.Reply, error) {
			return n.core.HandlePeer(ctx, req), nil
		})
	}
}

// handOver shuts an instance down gracefully while calls are in flight on it, and replaces it. It prefers an instance that
// owns intents.
func (s *scenario) handOver(j *job, tickets []string) {
	live := s.sim.liveNodes()
	if len(live) == 0 {
		return
	}
	n := live[len(live)-1]
	for _, other := range live {
		if len(other.core.Dump(1).Intents) > 0 {
			n = other
		}
	}
	var wg sync.WaitGroup
	for i, ticket := range tickets {
		c := &call{payload: fmt.Sprintf("drain-%d", i), singleAttempt: true, draining: true}
		s.calls = append(s.calls, c)
		wg.Go(func() {
			c.err = s.post(n, "/v1/intents/"+j.intent.ID+"/calls", ticketHeader(ticket), fmt.Sprintf(`{"payload":%q}`, c.payload), &c.reply)
		})
	}
	sleep(s.sim.ctx, 50*time.Millisecond)
	s.sim.setHandingOver(true)
	ctx, cancel := context.WithTimeout(s.sim.ctx, 20*time.Second)
	defer cancel()
	_ = n.core.Shutdown(ctx)
	wg.Wait()
	s.sim.setHandingOver(false)
	s.sim.crash(n)
}

// setHandingOver sets whether commits to partition rows count as the hand-over step instead of the take-over step.
func (sim *simulation) setHandingOver(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.handingOver = on
}

// announceLeaving marks a worker as leaving in the platform's member list.
func (s *scenario) announceLeaving(id string) {
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	for i := range s.sim.members {
		if s.sim.members[i].ID == id {
			s.sim.members[i].State = store.MemberLeaving
		}
	}
	s.leavingWorker, s.leaveAnnouncedAt = id, time.Now()
}

// run runs the scenario. Every step of the matrix occurs in it.
func (s *scenario) run() {
	// Wait until the instances have distributed the partitions among themselves.
	sleep(s.sim.ctx, 8*time.Second)
	calls := s.startIntent("hold", model.KindCall, 1, 300*time.Millisecond)
	batch := s.startIntent("audit", model.KindBatch, 4, 3*time.Second)
	if calls == nil || batch == nil {
		return
	}
	s.callWithTickets(calls, "first", s.requestTickets(calls, 6))
	s.callWithKeys(calls)
	s.confirmWithoutRetry("single")
	// Wait so that a delayed confirmation arrives before the ownership of the partition changes.
	sleep(s.sim.ctx, messageDelay)
	toPreempt := s.startIntent("rebuild", model.KindBatch, 2, 8*time.Second)
	toCancel := s.startIntent("report", model.KindBatch, 2, 8*time.Second)
	if toPreempt == nil || toCancel == nil {
		return
	}
	sleep(s.sim.ctx, 2*time.Second)
	s.preempt(toPreempt)
	s.cancel(toCancel)
	unusedTickets := s.requestTickets(calls, 4)
	s.handOver(calls, s.requestTickets(calls, 3))
	s.callWithTickets(calls, "kept", unusedTickets)
	s.announceLeaving("worker-3")
	if live := s.sim.liveNodes(); len(live) > 1 {
		unusedTickets = s.requestTickets(calls, 4)
		s.sim.crash(live[0])
		s.callWithTickets(calls, "old", unusedTickets)
	}
	s.callWithTickets(calls, "last", s.requestTickets(calls, 4))
	s.callWithKeys(calls)
	version := s.changeConfig()
	s.awaitTasksFinished()
	s.awaitIntentsDone()
	s.checkConfig(version)
}

// changeConfig increments the weight of the class "long" and returns the version of the confirmed configuration, or 0 if none
// was confirmed.
func (s *scenario) changeConfig() uint64 {
	live := s.sim.liveNodes()
	if len(live) == 0 {
		return 0
	}
	document := live[0].core.Config().Document
	document.Classes = maps.Clone(document.Classes)
	long := document.Classes["long"]
	long.Weight++
	document.Classes["long"] = long
	body, err := json.Marshal(document)
	if err != nil {
		s.problemf("encode the configuration: %v", err)
		return 0
	}
	var plan instance.ConfigPlan
	var status instance.ConfigStatus
	if err := s.postWithRetries(0, "/v1/config/plans", nil, string(body), &plan); err != nil {
		s.problemf("plan the configuration: %v", err)
		return 0
	}
	if err := s.postWithRetries(1, "/v1/config/plans/"+plan.ID+"/confirm", nil, "{}", &status); err != nil {
		s.problemf("confirm configuration plan %s: %v", plan.ID, err)
	}
	return status.Version
}

// checkConfig checks that, after the faults, every live instance that answers applies at least the confirmed configuration
// version (P8).
func (s *scenario) checkConfig(version uint64) {
	sleep(s.sim.ctx, outage+5*time.Second)
	for _, n := range s.sim.liveNodes() {
		var reply api.ConfigReply
		client := jsonhttp.NewClient("http://"+n.id, inProcessTransport{s.sim, n})
		_, err := client.Do(s.sim.ctx, http.MethodGet, "/v1/config", nil, nil, &reply)
		if err == nil && reply.Version < version {
			s.problemf("P8: instance %s applies configuration version %d, but version %d was confirmed", n.id, reply.Version, version)
		}
	}
}

// awaitTasksFinished waits until all confirmed tasks have finished, at most settleTimeout.
func (s *scenario) awaitTasksFinished() {
	for start := time.Now(); time.Since(start) < settleTimeout && !s.allTasksFinished(); {
		sleep(s.sim.ctx, time.Second)
	}
}

// allTasksFinished reports whether every confirmed batch task that was not cancelled has finished on a worker.
func (s *scenario) allTasksFinished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if len(s.unfinishedTasks(j)) > 0 {
			return false
		}
	}
	return true
}

// unfinishedTasks returns the tasks of a batch job that have not finished on a worker, or none for a cancelled job. Callers
// hold s.mu, or run when no other goroutine uses the scenario.
func (s *scenario) unfinishedTasks(j *job) []model.TaskID {
	var unfinished []model.TaskID
	if j.cancelled || j.intent.Spec.Kind != model.KindBatch {
		return nil
	}
	for i := range j.intent.Spec.Tasks {
		id := model.NewTaskID(j.intent.ID, 0, i)
		if s.sim.observer.Finished(id) == 0 {
			unfinished = append(unfinished, id)
		}
	}
	return unfinished
}
