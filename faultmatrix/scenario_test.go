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
	// retryPeriod is how long a caller repeats a request before it gives up.
	retryPeriod = 100 * time.Second
	// settleTimeout is how long the cell may take to finish everything after the last fault.
	settleTimeout = 100 * time.Second
	// maxStartDelayAfterLeave is the time after which a leaving worker gets no new work (P6).
	maxStartDelayAfterLeave = 3 * time.Second
)

// maxCommitDelay is longer than the window in which an instance collects writes for one commit.
const maxCommitDelay = 25 * time.Millisecond

// call is one call of a person with what the person was told.
type call struct {
	payload string
	// singleAttempt: the person does not repeat the request.
	singleAttempt bool
	// draining: the call was in flight on an instance that shut down gracefully.
	draining bool
	reply    api.CallReply
	err      error
	// answeredAt is when the last answer arrived.
	answeredAt time.Time
}

// job is one confirmed intent.
type job struct {
	intent    model.Intent
	cancelled bool
}

// scenario is what the people of one account do.
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

func (s *scenario) problemf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// inProcessTransport serves HTTP requests of callers by one instance without sockets.
type inProcessTransport struct {
	sim *simulation
	n   *node
}

// RoundTrip implements http.RoundTripper.
func (l inProcessTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	m := message{step: stepOfPath(req.URL.Path), to: l.n, content: contentOfCallerRequest(req)}
	return exchange(l.sim, req.Context(), m, func(ctx context.Context) (*http.Response, error) {
		recorder := httptest.NewRecorder()
		l.n.api.HTTP().ServeHTTP(recorder, req.Clone(ctx))
		return recorder.Result(), nil
	})
}

// contentOfCallerRequest returns the content of a caller's request.
func contentOfCallerRequest(req *http.Request) string {
	var body []byte
	if req.GetBody != nil {
		if r, err := req.GetBody(); err == nil {
			body, _ = io.ReadAll(r)
		}
	}
	return maskRandomIDs(req.Method + " " + req.URL.Path + " " + string(body))
}

// post sends one request to one instance.
func (s *scenario) post(n *node, path string, header http.Header, body string, out any) error {
	client := jsonhttp.NewClient("http://"+n.id, inProcessTransport{s.sim, n})
	_, err := client.Do(s.sim.ctx, http.MethodPost, path, header, []byte(body), out)
	return err
}

// awaitIntentsDone waits until the scheduler has recorded the end of each job that ran.
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

// postWithRetries repeats a request until it succeeds or is refused for good.
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

// retryable reports whether a request is worth repeating.
func retryable(err error) bool {
	switch verdict.From(err).Code {
	case verdict.CodeUnavailable, verdict.CodeOverloaded, verdict.CodeWrongOwner, verdict.CodeInternal:
		return true
	}
	return false
}

func intentSpec(name string, kind model.Kind, tasks int, run time.Duration) string {
	return fmt.Sprintf(`{"account":%q,"team":%q,"name":%q,"kind":%q,"tasks":%d,"run_time_ms":%d,"payload":%q,`+
		`"preemptible":%v,"idempotent":%v,"each":{"cpu_milli":2000,"memory_mib":1024}}`,
		account, team, name, kind, tasks, run.Milliseconds(), name, kind == model.KindBatch, kind == model.KindBatch)
}

// startIntent plans and confirms an intent. Two people confirm the same plan at the same time. A plan that no longer holds is
// made again.
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

// confirmConcurrently lets two people confirm a plan. It returns nil if both were told that the plan is stale.
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
			s.problemf("P3: person %d confirmed plan %s and got intent %q, error %v", caller, plan.ID, answers[caller].ID, err)
		}
	}
	if stale == 2 {
		return nil
	}
	// A person may be told that the plan is stale before the other's confirmation is written.
	return &model.Intent{ID: plan.IntentID, Spec: plan.Spec}
}

// confirmWithoutRetry confirms a plan without repeating the request; an answer NotRun must hold (P4).
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

// requestTickets obtains tickets for calls of a job.
func (s *scenario) requestTickets(j *job, count int) []string {
	var reply api.TicketsReply
	path := "/v1/intents/" + j.intent.ID + "/tickets"
	if err := s.postWithRetries(0, path, nil, fmt.Sprintf(`{"count":%d}`, count), &reply); err != nil || len(reply.Tickets) != count {
		s.problemf("tickets: %v", err)
		return nil
	}
	return reply.Tickets
}

// makeCall makes one call with its own payload.
func (s *scenario) makeCall(caller int, j *job, header http.Header, payload string, once bool) *call {
	c := &call{payload: payload, singleAttempt: once}
	s.mu.Lock()
	s.calls = append(s.calls, c)
	s.mu.Unlock()
	path, body := "/v1/intents/"+j.intent.ID+"/calls", fmt.Sprintf(`{"payload":%q}`, payload)
	if live := s.sim.liveNodes(); once && len(live) > 0 {
		c.err = s.post(live[caller%len(live)], path, header, body, &c.reply)
		return c
	}
	c.err = s.postWithRetries(caller, path, header, body, &c.reply)
	c.answeredAt = time.Now()
	return c
}

func ticketHeader(ticket string) http.Header { return http.Header{api.HeaderTicket: {ticket}} }

// callWithTickets uses tickets in parallel: half of the people ask once, the others repeat; each second ticket is used by two
// people at the same time with the same payload.
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

// callWithKeys makes calls with the clients' own keys, each by two people at the same time, and one with a key that was used
// for another payload, which must not run.
func (s *scenario) callWithKeys(j *job) {
	var wg sync.WaitGroup
	for i := range 3 {
		// Calls that one commit releases together run in any order.
		sleep(s.sim.ctx, 2*maxCommitDelay)
		payload := fmt.Sprintf("keyed-%d", i)
		for caller := range 2 {
			wg.Go(func() { s.makeCall(i+caller, j, keyHeader(payload), payload, false) })
		}
	}
	wg.Wait()
	s.makeCall(0, j, keyHeader("keyed-0"), "other-payload", false)
}

func keyHeader(key string) http.Header { return http.Header{api.HeaderIdempotencyKey: {key}} }

// cancel cancels a job; two people do it.
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

// preempt stops a running task of a job after a checkpoint, as a displacement does.
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

// handOver shuts an instance down gracefully while calls are in flight on it, and replaces it.
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

func (sim *simulation) setHandingOver(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.handingOver = on
}

// announceLeaving lets the platform announce that a worker leaves.
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

// run runs the whole scenario. Every step of the matrix occurs in it.
func (s *scenario) run() {
	// Partitions move between the instances first.
	sleep(s.sim.ctx, 8*time.Second)
	calls := s.startIntent("hold", model.KindCall, 1, 300*time.Millisecond)
	batch := s.startIntent("audit", model.KindBatch, 4, 3*time.Second)
	if calls == nil || batch == nil {
		return
	}
	s.callWithTickets(calls, "first", s.requestTickets(calls, 6))
	s.callWithKeys(calls)
	s.confirmWithoutRetry("single")
	// A delayed confirmation arrives before the owner of the partition changes.
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

// changeConfig changes the weight of a class and returns the version that was confirmed, or 0.
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
		s.problemf("configuration: %v", err)
		return 0
	}
	var plan instance.ConfigPlan
	var status instance.ConfigStatus
	if err := s.postWithRetries(0, "/v1/config/plans", nil, string(body), &plan); err != nil {
		s.problemf("plan the configuration: %v", err)
		return 0
	}
	if err := s.postWithRetries(1, "/v1/config/plans/"+plan.ID+"/confirm", nil, "{}", &status); err != nil {
		s.problemf("confirm the configuration: %v", err)
	}
	return status.Version
}

// checkConfig requires every instance to apply the confirmed version once the faults are over.
func (s *scenario) checkConfig(version uint64) {
	sleep(s.sim.ctx, outage+5*time.Second)
	for _, n := range s.sim.liveNodes() {
		var reply api.ConfigReply
		client := jsonhttp.NewClient("http://"+n.id, inProcessTransport{s.sim, n})
		_, err := client.Do(s.sim.ctx, http.MethodGet, "/v1/config", nil, nil, &reply)
		if err == nil && reply.Version < version {
			s.problemf("P8: %s applies version %d, version %d was confirmed", n.id, reply.Version, version)
		}
	}
}

// awaitTasksFinished lets the cell finish.
func (s *scenario) awaitTasksFinished() {
	for start := time.Now(); time.Since(start) < settleTimeout && !s.allTasksFinished(); {
		sleep(s.sim.ctx, time.Second)
	}
}

// allTasksFinished reports whether every confirmed task that was not cancelled has finished on a worker.
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

// unfinishedTasks returns the tasks of a job that have not finished. Callers hold s.mu.
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
