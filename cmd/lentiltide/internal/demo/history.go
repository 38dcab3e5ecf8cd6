package demo

import (
	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
)

// A history describes jobs. Of the demo it has what fits: an intent and each call is a job, a confirmation and a call submit one.
// Plans, tickets and the answers of calls are left out.

// historyName returns the name of a job or an instance of the deployment in the history.
func (r *deploymentRun) historyName(name string) string {
	return standinworker.HistoryName(r.deployment.Name, name)
}

// recordJob records what the callers submit under the name of a job.
func (r *deploymentRun) recordJob(name string, spec model.IntentSpec) {
	r.history.Record(history.Event{Kind: history.KindJob, Observer: "client", Job: &history.Job{
		ID: r.historyName(name), Steps: []history.Step{{
			Count: spec.Tasks, Demand: standinworker.HistoryResources(spec.TaskDemand), Gang: spec.Kind == model.KindGang, LongRunning: spec.Kind.Restarts(),
		}},
	}})
}

// recordCall records that a caller sends a request about a job, to an unknown instance, and returns the number of the call.
func (r *deploymentRun) recordCall(operation history.Operation, name string) uint64 {
	number := r.history.NextCall()
	r.history.Record(history.Event{Kind: history.KindCall, Observer: "client", Call: &history.Call{
		Number: number, Operation: operation, Job: r.historyName(name),
	}})
	return number
}

// recordAnswer records the last answer to a request. If it has run, the answer is success.
func (r *deploymentRun) recordAnswer(number uint64, err error, success history.Verdict) {
	answer := history.Answer{Number: number, Verdict: success}
	switch verdict.Of(err) {
	case verdict.Ran:
	case verdict.NotRun:
		answer.Verdict = history.VerdictRefused
	default:
		answer.Verdict = history.VerdictNoAnswer
	}
	r.history.Record(history.Event{Kind: history.KindAnswer, Observer: "client", Answer: &answer})
}

// recordInstance records the begin or the end of an instance.
func (r *deploymentRun) recordInstance(name string, change history.Change) {
	name = r.historyName(name)
	r.history.Record(history.Event{Kind: history.KindInstance, Observer: "demo", Instance: &history.Instance{Instance: name, Change: change}})
}

// recordKill records the begin or the end of the kill of an instance, which does not start again.
func (r *deploymentRun) recordKill(name string, change history.Change) {
	name = r.historyName(name)
	r.history.Record(history.Event{Kind: history.KindFault, Observer: "demo", Fault: &history.Fault{
		ID: name, Change: change, Kind: history.FaultKill, Target: history.TargetInstance, Name: name,
	}})
}
