package command

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/instance"
	"github.com/lentiltide/lentiltide/request/api"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/intent"
)

// maxListedTasks is the number of tasks that are listed unless all are requested.
const maxListedTasks = 20

func printPlan(w io.Writer, p model.Plan) {
	fmt.Fprintf(w, "plan %s\n", p.ID)
	fmt.Fprintf(w, "  %s %q of %s/%s, valid until %s\n", p.Spec.Kind, p.Spec.Name, p.Spec.Account, p.Spec.Team, p.ExpiresAt.Format("15:04:05 MST"))
	for i, placement := range p.Placements {
		if i == maxListedTasks {
			fmt.Fprintf(w, "  and %d more tasks; --json lists all\n", len(p.Placements)-i)
			break
		}
		if placement.MustWait {
			fmt.Fprintf(w, "  %s waits: %s\n", taskLabel(placement.Task), placement.Reason)
			continue
		}
		fmt.Fprintf(w, "  %s on %s (%s, %s): %s\n", taskLabel(placement.Task), placement.Worker, placement.Rack, placement.Zone, placement.Reason)
	}
	for _, d := range p.Displacements {
		fmt.Fprintf(w, "  displaces %s of team %s on %s: %s\n", d.Task, d.Team, d.Worker, d.Reason)
	}
	if len(p.Displacements) == 0 {
		fmt.Fprintln(w, "  displaces nothing")
	}
	fmt.Fprintf(w, "nothing has changed yet; to run it: lentiltide confirm %s\n", p.ID)
}

// taskLabel returns a short label for a task: its id without the intent.
func taskLabel(id model.TaskID) string {
	if _, number, ok := strings.Cut(string(id), "/"); ok {
		return "task " + number
	}
	return string(id)
}

func printIntent(w io.Writer, in model.Intent) {
	fmt.Fprintf(w, "intent %s: %s %q is %s\n", in.ID, in.Spec.Kind, in.Spec.Name, in.State)
}

func printConfirmed(w io.Writer, in model.Intent) {
	printIntent(w, in)
	fmt.Fprintf(w, "to follow it: lentiltide status %s\n", in.ID)
	if in.Spec.Kind == model.KindCall {
		fmt.Fprintf(w, "to call it: lentiltide call %s PAYLOAD\n", in.ID)
	}
}

func printStatus(w io.Writer, s api.StatusReply) {
	printIntent(w, s.Intent)
	total := 0
	states := make([]string, 0, len(s.Counts))
	for state, n := range s.Counts {
		total += n
		states = append(states, fmt.Sprintf("%d %s", n, state))
	}
	sort.Strings(states)
	fmt.Fprintf(w, "%d tasks: %s\n", total, strings.Join(states, ", "))
	for _, t := range s.Tasks {
		printTask(w, t)
	}
	if s.Omitted > 0 {
		fmt.Fprintf(w, "  and %d more; --all lists up to %d\n", s.Omitted, model.MaxTasks)
	}
}

func printTask(w io.Writer, t intent.TaskStatus) {
	fmt.Fprintf(w, "  %s %s", taskLabel(t.ID), t.State)
	if t.Worker != "" {
		fmt.Fprintf(w, " on %s", t.Worker)
	}
	if t.Outcome != nil {
		fmt.Fprintf(w, " (%s)", t.Outcome.State)
	}
	if t.Reason != "" {
		fmt.Fprintf(w, ": %s", t.Reason)
	}
	fmt.Fprintln(w)
}

func printExplanations(w io.Writer, reply api.ExplainReply) {
	for _, e := range reply.Explanations {
		fmt.Fprintf(w, "%s is %s", taskLabel(e.Task.ID), e.Task.State)
		if e.Task.Worker != "" {
			fmt.Fprintf(w, " on %s", e.Task.Worker)
		}
		fmt.Fprintln(w)
		for _, reason := range e.Reasons {
			fmt.Fprintf(w, "  %s\n", reason)
		}
	}
	if len(reply.Explanations) == 0 {
		fmt.Fprintln(w, "all tasks have ended; name a task to explain it")
	}
	if reply.Omitted > 0 {
		fmt.Fprintf(w, "and %d more tasks; name one to explain it\n", reply.Omitted)
	}
}

func printTickets(w io.Writer, reply api.TicketsReply) {
	for _, t := range reply.Tickets {
		fmt.Fprintln(w, t)
	}
}

func printCall(w io.Writer, reply api.CallReply) {
	fmt.Fprintf(w, "%s %s\n%s\n", reply.Task, reply.Verdict, reply.Answer)
}

func printConfigPlan(w io.Writer, p instance.ConfigPlan) {
	fmt.Fprintf(w, "plan %s replaces version %d, valid until %s\n", p.ID, p.Base, p.ExpiresAt.Format("15:04:05 MST"))
	for _, change := range p.Changes {
		fmt.Fprintf(w, "  %s: %s -> %s\n", change.Path, orAbsent(change.From), orAbsent(change.To))
	}
	if len(p.Changes) == 0 {
		fmt.Fprintln(w, "  changes nothing")
	}
	fmt.Fprintf(w, "nothing has changed yet; to put it in force: lentiltide config confirm %s\n", p.ID)
}

func orAbsent(value string) string {
	if value == "" {
		return "(absent)"
	}
	return value
}

func printConfigStatus(w io.Writer, s instance.ConfigStatus) {
	if s.InForceEverywhere {
		fmt.Fprintf(w, "version %d is in force everywhere\n", s.Version)
		return
	}
	fmt.Fprintf(w, "version %d is not in force everywhere yet; not reported by: %s\n", s.Version, strings.Join(s.Waiting, ", "))
}

// verdictTexts explains each verdict on a failed request.
var verdictTexts = map[verdict.Verdict]string{
	verdict.NotRun:     "the request did not run",
	verdict.MayHaveRun: "the request may have run; check the status before you repeat it",
	verdict.Ran:        "the request ran",
}

func (c *command) printError(e *verdict.Error) {
	text := e.Message
	if e.Field != "" {
		text = e.Field + ": " + text
	}
	fmt.Fprintf(c.streams.Err, "lentiltide: %s: %s\n%s", e.Code, text, verdictTexts[e.Verdict])
	if e.RetryAfter > 0 {
		fmt.Fprintf(c.streams.Err, "; try again after %s", e.RetryAfter)
	}
	fmt.Fprintln(c.streams.Err)
	switch e.Code {
	case verdict.CodeStalePlan:
		c.printFreshPlan(e.Detail)
	case verdict.CodeInvalid:
		c.printProblems(e.Detail)
	}
}

// printProblems lists the problems of the input if the detail of the error has more than one.
func (c *command) printProblems(detail any) {
	var parsed struct {
		Problems []string `json:"problems"`
	}
	data, err := json.Marshal(detail)
	if err != nil || json.Unmarshal(data, &parsed) != nil || len(parsed.Problems) < 2 {
		return
	}
	fmt.Fprintln(c.streams.Err, "all problems:")
	for _, line := range parsed.Problems {
		fmt.Fprintf(c.streams.Err, "  %s\n", line)
	}
}

// printFreshPlan prints the new plan in the detail of a stale-plan error.
func (c *command) printFreshPlan(detail any) {
	data, err := json.Marshal(detail)
	var fresh model.Plan
	if err != nil || json.Unmarshal(data, &fresh) != nil || fresh.ID == "" {
		fmt.Fprintln(c.streams.Err, "state the intent again to get a fresh plan")
		return
	}
	fmt.Fprintln(c.streams.Err, "this is the fresh plan:")
	printPlan(c.streams.Err, fresh)
}
