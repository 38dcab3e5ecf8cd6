package node

import (
	"cmp"
	"context"
	"encoding/json"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

const (
	// statusTimeout limits the request for a job's state to the leader, after which the store is read.
	statusTimeout = 250 * time.Millisecond
	// finalStateTimeout limits the read of a final state by a leader that may have a successor. It is below statusTimeout.
	finalStateTimeout = 150 * time.Millisecond
	// maxWaitingJobsAge is the age up to which the counts of waiting jobs are returned.
	maxWaitingJobsAge = 1800 * time.Millisecond
)

// Queue returns the queue that is configured for a request's host and path. The error has CodeUnavailable if the queue may have
// been added lately.
func (n *Node) Queue(host, path string) (job.Queue, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.config.Version == 0 {
		return job.Queue{}, unavailable(nil, "no configuration is known yet")
	}
	q, ok := n.config.Match(host, path)
	if !ok {
		return job.Queue{}, n.unknownQueue()
	}
	return q, nil
}

// Submit stores a job of a team, which may be empty, and notifies the leader. The same id submitted at several instances is one
// job. An error with NotRun means that no attempt so far to submit the job takes effect.
func (n *Node) Submit(ctx context.Context, q job.Queue, team string, id job.ID, spec job.Spec) error {
	if err := validateSpec(spec); err != nil {
		return err
	}
	startedAt, seen := n.opts.Now(), n.direct.NewestVersion()
	if err := n.checkConfig(); err != nil {
		err = n.Refuse(ctx, id, err)
		n.logAnswer("job_submitted", id, startedAt, err, map[string]any{"queue": q.Name, "outdated": true})
		return err
	}
	if cause := cmp.Or(n.checkTeamLimit(team, spec), n.checkBacklog()); cause != nil {
		err := n.refuseAuthorized(ctx, id, cause)
		n.logAnswer("job_submitted", id, startedAt, err, map[string]any{"queue": q.Name, "cause": verdict.From(cause).Code})
		return err
	}
	_, epoch := n.leaderAddress()
	data, err := json.Marshal(job.Record{Queue: q, Team: team, Spec: spec, Epoch: epoch})
	if err != nil {
		return verdict.Invalid("body", "%v", err)
	}
	if len(data) > maxRecordBytes {
		return verdict.Invalid("steps", "the job takes %d bytes, expected at most %d", len(data), maxRecordBytes)
	}
	existing, err := n.storeJob(ctx, id, data, seen)
	n.logAnswer("job_submitted", id, startedAt, err, submissionFields(q, team, epoch, existing != nil))
	if err != nil {
		return err
	}
	// The leader was notified when the existing row was written, or reads it from the table.
	if existing == nil {
		n.notifyLeader(ctx, id, data)
	}
	return nil
}

const (
	// maxWaitingJobs limits the accepted jobs of all queues that have not begun, for each of which a leader needs some memory.
	maxWaitingJobs = 100_000
	// backlogRetryAfter is the delay after which a caller should retry that was refused for the backlog.
	backlogRetryAfter = 10 * time.Second
)

// checkBacklog rejects a submission that would wait behind more jobs than a leader can keep, as far as this instance knows their number.
func (n *Node) checkBacklog() error {
	waiting := 0
	for _, count := range n.waitingCounts() {
		waiting += int(count)
	}
	if waiting < maxWaitingJobs {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%d accepted jobs have not begun", waiting).WithRetryAfter(backlogRetryAfter)
}

// waitingCounts returns the numbers of waiting jobs by queue, nil if they are not known.
func (n *Node) waitingCounts() map[string]uint32 {
	if l := n.loadedLeadership(); l != nil {
		return l.waitingJobs()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.opts.Now()-n.waitingJobsReceivedAt > maxWaitingJobsAge {
		return nil
	}
	return n.waitingJobs
}

// submissionFields returns the fields of the log entry about a submission.
func submissionFields(q job.Queue, team string, epoch uint64, existing bool) map[string]any {
	fields := map[string]any{"queue": q.Name, "epoch": epoch, "existing": existing}
	if team != "" {
		fields["team"] = team
	}
	return fields
}

// checkTeamLimit rejects a job with a task, or a gang, that exceeds what its team may have running: it could never start.
func (n *Node) checkTeamLimit(team string, spec job.Spec) error {
	n.mu.Lock()
	limit := n.config.Teams[team].Limit
	n.mu.Unlock()
	for i, s := range spec.Steps {
		together := 1
		if s.Gang {
			together = s.Count
		}
		if demand := s.TaskDemand.Times(together); !demand.FitsLimit(limit) {
			return verdict.Invalid("steps", "step %d needs %d tasks at the same time, which exceed the limit of team %s", i, together, team)
		}
	}
	return nil
}

// Limits of a job; maxPayload and maxRecordBytes are in bytes. A record must fit into a row of the store.
const (
	maxTasks       = 5000
	maxPayload     = 4000
	maxRecordBytes = 60_000
)

// validateSpec rejects a specification that is malformed or exceeds the limits of a job.
func validateSpec(spec job.Spec) error {
	if len(spec.Payload) > maxPayload {
		return verdict.Invalid("specification", "expected at most %d bytes, got %d", maxPayload, len(spec.Payload))
	}
	if len(spec.Steps) == 0 || len(spec.Steps) > job.MaxSteps {
		return verdict.Invalid("steps", "expected 1 to %d steps, got %d", job.MaxSteps, len(spec.Steps))
	}
	for i, s := range spec.Steps {
		if s.Count <= 0 || s.Count > maxTasks {
			return verdict.Invalid("steps", "step %d: expected 1 to %d tasks, got %d", i, maxTasks, s.Count)
		}
		if d := s.TaskDemand; min(d.CPUMilli, d.MemoryMiB, d.Accelerators) < 0 || max(d.CPUMilli, d.MemoryMiB, d.Accelerators) > job.MaxDemand {
			return verdict.Invalid("steps", "step %d: expected demands of 0 to %d", i, int64(job.MaxDemand))
		}
		for _, p := range s.DependsOn {
			if p < 0 || p >= i {
				return verdict.Invalid("steps", "step %d: expected earlier steps in its dependencies, got %d", i, p)
			}
		}
	}
	if tasks := spec.Tasks(); tasks > maxTasks {
		return verdict.Invalid("steps", "expected at most %d tasks, got %d", maxTasks, tasks)
	}
	if spec.Repetitions < 0 || (spec.Repetitions > 0 && spec.IntervalMS < 0) {
		return verdict.Invalid("repetitions", "expected repetitions and an interval of 0 or more")
	}
	return nil
}

// notifyLeader sends a stored job to the leader or, with an empty record, a stored cancellation. The leader also follows
// the tables, so a lost message only delays the job.
func (n *Node) notifyLeader(ctx context.Context, id job.ID, record []byte) {
	if l := n.loadedLeadership(); l != nil {
		l.applyNotification(id, record)
		return
	}
	address, _ := n.leaderAddress()
	if address == "" {
		return
	}
	msg := &peerpb.Request{Body: &peerpb.Request_JobStored{JobStored: &peerpb.JobStored{Job: string(id), Record: record}}}
	if err := n.opts.Peers.Send(ctx, address, msg); err != nil {
		n.opts.Log.WithError(err).WithFields(map[string]any{"event": "leader_not_notified", "job": id, "leader": address}).Info("leader not notified; it will read the row from the table")
	}
}

// Cancel stores a cancellation and notifies the leader. The error has CodeExpired if the job does not exist; an attempt to submit it that
// is still on its way does not take effect then either.
func (n *Node) Cancel(ctx context.Context, _ job.Queue, id job.ID) error {
	startedAt := n.opts.Now()
	err := n.cancel(ctx, id)
	n.logAnswer("job_cancelled", id, startedAt, err, map[string]any{})
	return err
}

func (n *Node) cancel(ctx context.Context, id job.ID) error {
	if _, err := n.storeRequest(ctx, id, nil); err != nil {
		return err
	}
	n.notifyLeader(ctx, id, nil)
	if n.isAbsent(ctx, id) {
		return verdict.New(verdict.NotRun, verdict.CodeExpired, "there is no such job")
	}
	return nil
}

// isAbsent reports whether a job is known not to exist.
func (n *Node) isAbsent(ctx context.Context, id job.ID) bool {
	if state, err := n.leaderState(ctx, id); err == nil && state != "" {
		return false
	}
	row, err := n.readRow(ctx, id, jobKey)
	return err == nil && row.Version == 0
}

// State returns the state of a job from the leader, or from the store if the leader does not answer or does not have the
// job.
func (n *Node) State(ctx context.Context, _ job.Queue, id job.ID) (job.State, error) {
	startedAt := n.opts.Now()
	state, err := n.leaderState(ctx, id)
	if err == nil && state != "" {
		n.reportAnswer("state_asked", nil, startedAt)
		return state, nil
	}
	stored, storeErr := n.storedState(ctx, id)
	if storeErr != nil {
		n.logAnswer("state_unknown", id, startedAt, storeErr, map[string]any{"leader_error": errText(err)})
		return stored, storeErr
	}
	n.reportAnswer("state_asked", nil, startedAt)
	return stored, nil
}

// leaderState requests the state of a job from the leader. The state is empty if the leader does not have the job.
func (n *Node) leaderState(ctx context.Context, id job.ID) (job.State, error) {
	if l := n.loadedLeadership(); l != nil {
		return l.jobState(ctx, id), nil
	}
	address, _ := n.leaderAddress()
	if address == "" {
		return "", unavailable(nil, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, err := n.opts.Peers.Call(ctx, address, &peerpb.Request{
		Body: &peerpb.Request_JobStatus{JobStatus: &peerpb.JobStatus{Job: string(id)}},
	})
	if err != nil {
		return "", err
	}
	return job.State(reply.GetJobStatus().GetState()), nil
}

// jobState returns the state of a job, empty if this leader does not have the job. A leader that has not written for some time may have a
// successor that has stored a final state.
func (l *leadership) jobState(ctx context.Context, id job.ID) job.State {
	state, _ := l.core.State(id)
	if state == "" || state.Terminal() || l.isConfirmed() {
		return state
	}
	if final, ok := l.readFinalState(id); ok {
		return final
	}
	ctx, cancel := context.WithTimeout(ctx, finalStateTimeout)
	defer cancel()
	// The direct path is tried whatever is known of the store, which may have just come back, and its short timeout says nothing of it.
	progress, err := l.node.opts.Tables.Get(ctx, progressKey(id))
	if err != nil {
		// In an outage of the store the memory of the leader is all there is.
		return state
	}
	if stored, _ := cell.StoredState(progress.Value); stored != "" {
		l.keepFinalState(id, stored)
		return stored
	}
	return state
}

// maxFinalStates limits the final states that a leader keeps although it does not know that they are durable by its own writes.
const maxFinalStates = 10_000

// keepFinalState keeps a final state that was read from the store and is about to be shown. The store may be silent when the caller asks again.
func (l *leadership) keepFinalState(id job.ID, state job.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.finalStates == nil {
		l.finalStates = map[job.ID]job.State{}
	}
	if len(l.finalStates) < maxFinalStates {
		l.finalStates[id] = state
	}
}

// readFinalState returns the final state of a job that was read from the store.
func (l *leadership) readFinalState(id job.ID) (job.State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, ok := l.finalStates[id]
	return state, ok
}

// storedState derives the state of a job from its rows in the store. A stored cancellation is no final state: the leader may have
// completed the job before, which is not durable yet.
func (n *Node) storedState(ctx context.Context, id job.ID) (job.State, error) {
	row, err := n.readRow(ctx, id, jobKey)
	if err != nil {
		return "", err
	}
	if row.Version == 0 {
		return "", verdict.New(verdict.NotRun, verdict.CodeExpired, "there is no such job")
	}
	progress, err := n.tables.Get(ctx, progressKey(id))
	if err != nil {
		return "", unavailable(err, "the store cannot be read")
	}
	state, started := cell.StoredState(progress.Value)
	if state != "" {
		return state, nil
	}
	if started {
		return job.Running, nil
	}
	return job.Queued, nil
}

// WaitingJobs returns the number of jobs of a queue that have no started task.
func (n *Node) WaitingJobs(_ context.Context, q job.Queue) (int, error) {
	if err := n.checkConfig(); err != nil {
		return 0, err
	}
	if l := n.loadedLeadership(); l != nil {
		return l.core.WaitingJobs()[q.Name], nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.opts.Now()-n.waitingJobsReceivedAt > maxWaitingJobsAge || n.waitingJobs == nil {
		return 0, unavailable(nil, "the leader has not answered lately")
	}
	return int(n.waitingJobs[q.Name]), nil
}

// MaxBodyBytes returns the configured limit of a request body, as the HTTP interface for callers requires.
func (n *Node) MaxBodyBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.MaxBodyBytes
}

// logAnswer logs and reports the result of a caller's request.
func (n *Node) logAnswer(event string, id job.ID, startedAt cell.Instant, err error, fields map[string]any) {
	n.reportAnswer(event, err, startedAt)
	entry := n.opts.Log.WithFields(fields).WithFields(map[string]any{
		"event": event, "job": id, "verdict": verdict.Of(err).String(), "took_ms": (n.opts.Now() - startedAt).Milliseconds(),
	})
	if err != nil {
		entry.WithError(err).Info("request failed")
		return
	}
	entry.Info("request answered")
}

// reportAnswer passes the result of a caller's request to Options.OnAnswer.
func (n *Node) reportAnswer(event string, err error, startedAt cell.Instant) {
	if n.opts.OnAnswer != nil {
		n.opts.OnAnswer(event, verdict.Of(err), n.opts.Now()-startedAt)
	}
}
