package check

import "github.com/lentiltide/lentiltide/history"

// sentence is a statement of the rules that a history can break.
type sentence struct {
	// name identifies the sentence in reports; it begins with the name of its rule.
	name string
	// text says what holds.
	text string
	// check is called for each event of the kinds before the event is applied.
	kinds []history.Kind
	check func(*checker, *result)
	// noted is called for each completion that is acknowledged; nil for none.
	noted func(*checker, *result, *completion)
	// final is called at the end of a complete history; nil for none.
	final func(*checker, *result)
}

// kinds is a short form for the literals below.
func kinds(k ...history.Kind) []history.Kind { return k }

// sentences are those that the checker knows. docs/rules.md lists the others.
var sentences = []sentence{
	{name: "TWICE concurrent", text: "a task without speculative copies has one run at a time", kinds: kinds(history.KindStart), check: concurrentRuns},
	{name: "TWICE done", text: "a task does not start after an end as done that is acknowledged", kinds: kinds(history.KindStart), check: startAfterDone, noted: notedAfterStart},
	{name: "TWICE known", text: "an instance in touch starts no copy of a task 1 s after its end as done was acknowledged", kinds: kinds(history.KindStart), check: startAfterKnown},
	{name: "TWICE shown", text: "an instance in touch starts no task 1 s after its job was shown as completed", kinds: kinds(history.KindStart, history.KindAnswer), check: startAfterShown},
	{name: "ORDER dependencies", text: "a task starts after all tasks that its step depends on", kinds: kinds(history.KindStart), check: dependencies},
	{name: "ORDER time", text: "an occurrence starts at most 250 ms before its time", kinds: kinds(history.KindStart), check: startTime},
	{name: "ROUTE service", text: "a task starts on a worker of a service to which a configuration sends its queue", kinds: kinds(history.KindStart), check: routeService},
	{name: "ROUTE label", text: "a task starts on a worker that has the required label", kinds: kinds(history.KindStart), check: routeLabel},
	{name: "ROUTE spread", text: "no worker runs more tasks of a step than the step allows", kinds: kinds(history.KindStart), check: routeSpread},
	{name: "LIMIT capacity", text: "no start brings a worker that does not reject overload over its capacity", kinds: kinds(history.KindStart), check: capacityLimit},
	{name: "LIMIT wave", text: "no maintenance begins while the maximum of machines of its wave is down", kinds: kinds(history.KindWave), check: waveLimit},
	{name: "BUDGET attempts", text: "a task does not start after its maximum of failed runs, if these are acknowledged", kinds: kinds(history.KindStart), check: attemptBudget, noted: notedOverBudget},
	{name: "GANG alone", text: "no member of a gang waits in vain for the others", kinds: kinds(history.KindEnd), check: gangAlone},
	{name: "UNASKED unknown", text: "workers start what a client has sent, and nothing else", kinds: kinds(history.KindStart), check: unaskedStart},
	{name: "UNASKED cancelled", text: "an instance in touch starts no task 3 s after the cancellation of its job", kinds: kinds(history.KindStart), check: startAfterCancel},
	{name: nameRunsOn, text: "the tasks of a cancelled job are gone 3.4 s later", kinds: kinds(history.KindAnswer), check: cancelledJob},
	{name: "REFUSED start", text: "no task starts of a job of which all attempts were rejected", final: refusedStart},
	{name: "MIXED completed", text: "a job is shown as completed when all of its tasks have ended as done", kinds: kinds(history.KindAnswer), check: shownCompleted},
	{name: "MIXED state", text: "the state that is shown can be read", kinds: kinds(history.KindAnswer), check: shownState},
	{name: "MIXED unknown", text: "only a job that somebody submitted is shown", kinds: kinds(history.KindAnswer), check: shownUnknown},
	{name: "MIXED waiting", text: "an instance in touch gives at least half of the waiting jobs", kinds: kinds(history.KindAnswer), check: shownWaiting},
	{name: "MIXED wave", text: "a wave is completed when the maintenance of each machine that stays has begun", kinds: kinds(history.KindWave), check: waveCompleted},
	{name: "ONE holder", text: "commands for one machine with one fencing token have one holder", kinds: kinds(history.KindWave), check: oneHolder},
	{name: "DRAIN start", text: "an instance in touch starts no task 2 s after it was acknowledged that the worker drains", kinds: kinds(history.KindStart), check: drainStart},
	{name: "LOST unknown", text: "an instance in touch knows a job 3 s after its acceptance", kinds: kinds(history.KindAnswer), check: lostJob},
	{name: "LOST verdict", text: "a job is shown as failed or cancelled with cause", kinds: kinds(history.KindAnswer), check: lostVerdict},
	{name: "LOST finish", text: "jobs are known 14 s after the end of the traffic", final: lostAtEnd},
	{name: nameIdle, text: "jobs that could run do not stand still 14 s after the end of the traffic"},
	{name: "CONFIG force", text: "an instance in touch answers by the configuration confirmed 2 s before", kinds: kinds(history.KindAnswer), check: configurationInForce},
	{name: "CONFIG regress", text: "an instance does not return to an older configuration", kinds: kinds(history.KindAnswer), check: configurationRegress},
	{name: nameLinearizable, text: "acceptances, refusals, cancellations and states of a job fit one order", final: linearizable},
}

// The names of sentences that are checked at other times than their events.
const (
	nameRunsOn       = "UNASKED runs on"
	nameIdle         = "LOST idle"
	nameLinearizable = "ANSWERS linearizable"
)

// result returns the result of a sentence.
func (k *checker) result(name string) *result {
	for _, r := range k.results {
		if r.sentence.name == name {
			return r
		}
	}
	panic("no sentence " + name)
}
