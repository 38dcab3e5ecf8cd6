package check

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/lentiltide/lentiltide/history"
)

// operation is a call about a job with its answer.
type operation struct {
	operation history.Operation
	verdict   history.Verdict
	state     history.State
	sent      ref
	// answered is unknown if there is no answer: the call may take effect at any later time.
	answered ref
}

// maxReads is the number of state calls of a job that are kept for the check. Later ones are left out.
const maxReads = 200

// maxLinearTime is how long the check of one job may take.
const maxLinearTime = 200 * time.Millisecond

// recordOperation keeps an answer for the check at the end of the history. Left out are answers without effect, and those that the
// rules allow to be outdated, or that another sentence covers: see bindingRead.
func (k *checker) recordOperation(c *call, a *history.Answer) {
	o := operation{operation: c.Operation, verdict: a.Verdict, state: a.State, sent: c.sent, answered: k.now}
	if a.Verdict == history.VerdictNoAnswer {
		o.answered = ref{}
	}
	switch {
	case a.Verdict == history.VerdictNoQueue || c.job.archived:
		return
	case c.Operation != history.OperationSubmit && a.Verdict == history.VerdictRefused:
		return
	case c.Operation == history.OperationState:
		if !k.bindingRead(c, a) || c.job.reads >= maxReads {
			return
		}
		c.job.reads++
	}
	c.job.operations = append(c.job.operations, o)
}

// bindingRead reports whether the answer to a state call must fit the order. States that are not final, and that a job is not
// found, may be outdated if the instance is not in touch. LOST covers accepted jobs that are not found, and jobs that are shown as
// cancelled without a cancellation.
func (k *checker) bindingRead(c *call, a *history.Answer) bool {
	switch {
	case a.State == history.StateCancelled:
		return c.job.cancelSent.known()
	case a.Verdict == history.VerdictState && a.State.Final():
		return true
	case a.Verdict == history.VerdictState:
		return k.inTouchSince(c.Instance, c.sent.at)
	case a.Verdict == history.VerdictNotFound:
		return k.inTouchSince(c.Instance, c.sent.at) && !c.job.accepted.known()
	}
	return false
}

// linearizable: there is an order of the calls about a job, in which each takes effect between its sending and its answer, that
// explains all answers.
func linearizable(k *checker, _ *result) {
	for _, c := range k.calls {
		if c.job != nil && (c.Operation == history.OperationSubmit || c.Operation == history.OperationCancel) {
			c.job.operations = append(c.job.operations, operation{operation: c.Operation, verdict: history.VerdictNoAnswer, sent: c.sent})
		}
	}
	for _, j := range k.sortedJobs() {
		k.checkLinearizable(j)
	}
}

// recordOrder checks the operations on a job and records the result.
func (k *checker) recordOrder(r *result, operations []operation) {
	switch checkOperations(operations, noLine) {
	case porcupine.Unknown:
		r.undecided++
	case porcupine.Illegal:
		k.broken(r, "the answers about a job fit no order", shortestIllegal(operations)...)
	}
}

// noLine is a line beyond every history.
const noLine = 1<<62 - 1

// shortestIllegal returns the calls and answers of the shortest prefix of the history that fits no order.
func shortestIllegal(operations []operation) []ref {
	var lines []int
	for _, o := range operations {
		if o.answered.known() {
			lines = append(lines, o.answered.line)
		}
	}
	slices.Sort(lines)
	last := noLine
	for _, line := range lines {
		if checkOperations(operations, line) == porcupine.Illegal {
			last = line
			break
		}
	}
	var out []ref
	for _, o := range operations {
		for _, r := range []ref{o.sent, o.answered} {
			if r.known() && r.line <= last {
				out = append(out, r)
			}
		}
	}
	return out
}

// checkOperations checks the operations as far as they were observed up to a line.
func checkOperations(operations []operation, last int) porcupine.CheckResult {
	var out []porcupine.Operation
	for i, o := range operations {
		if o.sent.line > last {
			continue
		}
		if o.answered.line > last || !o.answered.known() {
			if o.operation == history.OperationState {
				continue
			}
			o.verdict, o.answered.line = history.VerdictNoAnswer, noLine
		}
		out = append(out, porcupine.Operation{ClientId: i, Input: o, Call: int64(o.sent.line), Return: int64(o.answered.line)})
	}
	return porcupine.CheckOperationsTimeout(acceptance, out, maxLinearTime)
}

// jobModel is the state of a job in the sequential model.
type jobModel struct {
	accepted, cancelled bool
	// final is the final state that was shown.
	final history.State
	// refusedAt is the line of the last call that was refused; earlier attempts to submit the job have no effect afterwards.
	refusedAt int
}

// acceptance is the sequential model of a job.
var acceptance = porcupine.Model{
	Init:  func() any { return jobModel{} },
	Step:  func(state, input, _ any) (bool, any) { return stepJob(state.(jobModel), input.(operation)) },
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, _ any) string {
		o := input.(operation)
		return fmt.Sprintf("%s %s %s", o.operation, o.verdict, o.state)
	},
}

func stepJob(m jobModel, o operation) (bool, jobModel) {
	switch o.operation {
	case history.OperationSubmit:
		return stepSubmission(m, o)
	case history.OperationCancel:
		// A cancellation that did not find the job may hold for a later attempt to submit it.
		m.cancelled = true
		return o.verdict != history.VerdictNotFound || !m.accepted, m
	}
	if o.verdict == history.VerdictNotFound {
		return !m.accepted, m
	}
	return stepState(m, o)
}

// stepSubmission is an attempt to submit the job. A refusal is allowed only for a job that does not exist, and excludes the
// attempts before it.
func stepSubmission(m jobModel, o operation) (bool, jobModel) {
	switch {
	case o.verdict == history.VerdictRefused:
		m.refusedAt = max(m.refusedAt, o.sent.line)
		return !m.accepted, m
	case o.sent.line < m.refusedAt:
		return m.accepted || o.verdict == history.VerdictNoAnswer, m
	}
	m.accepted = true
	return true, m
}

// stepState is an answer that shows a state. A final state does not change, and a job is cancelled only by a cancellation.
func stepState(m jobModel, o operation) (bool, jobModel) {
	if !m.accepted || m.final != "" && m.final != o.state || o.state == history.StateCancelled && !m.cancelled {
		return false, m
	}
	if o.state.Final() {
		m.final = o.state
	}
	return true, m
}
