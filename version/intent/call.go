package intent

import (
	"fmt"
	"strings"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Tickets issues count tickets, which are idempotency keys for calls. A ticket can be used in this epoch, and in later
// ones as long as each change of owner is a graceful handover.
func (c *Core) Tickets(count int) ([]model.StartToken, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if count < 1 || count > c.policy.MaxTickets {
		return nil, verdict.Invalid("count", "expected 1 to %d", c.policy.MaxTickets)
	}
	if c.frozen {
		return nil, c.frozenError()
	}
	table := c.tickets[c.epoch]
	tickets := make([]model.StartToken, count)
	for i := range tickets {
		tickets[i] = model.StartToken{Partition: c.partition, Epoch: c.epoch, Sequence: table.issue()}
	}
	return tickets, nil
}

// CallResult is the result of Call.
type CallResult struct {
	Task    model.Task
	Effects []Effect
	// Outcome is set if the call has already ended.
	Outcome *model.Outcome
}

// Call starts a call of a call intent, or returns the call that the ticket started before. A zero ticket is allowed only
// if the intent is idempotent; the task ID is then derived from unique.
func (c *Core) Call(now time.Time, intentID string, ticket model.StartToken, unique string, payload []byte) (CallResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen {
		return CallResult{}, c.frozenError()
	}
	st := c.intents[intentID]
	if st == nil {
		return CallResult{}, notFoundError("intent", intentID)
	}
	if st.intent.Spec.Kind != model.KindCall {
		return CallResult{}, verdict.Invalid("id", "intent %q is of kind %q, expected %q", intentID, st.intent.Spec.Kind, model.KindCall)
	}
	if st.intent.State != model.IntentConfirmed {
		return CallResult{}, verdict.New(verdict.NotRun, verdict.CodeConflict, "intent %q is %s", intentID, st.intent.State)
	}
	if c.tasks[TicketTaskID(intentID, ticket)] == nil && !c.evictEndedTasks(now, 1) {
		return CallResult{}, overloadedError(c.policy.MaxTasks)
	}
	if ticket.IsZero() {
		if !st.intent.Spec.Idempotent {
			return CallResult{}, verdict.Invalid("Lentiltide-Ticket", "a call that is not idempotent needs a ticket or an Idempotency-Key")
		}
		return c.newCall(now, st, model.TaskID(fmt.Sprintf("%s/u-%s", intentID, unique)), payload), nil
	}
	return c.ticketCall(now, st, ticket, payload)
}

// ticketCall starts the call of a ticket, at most once per ticket. Callers hold c.mu.
func (c *Core) ticketCall(now time.Time, st *intentState, ticket model.StartToken, payload []byte) (CallResult, error) {
	id := TicketTaskID(st.intent.ID, ticket)
	if t := c.tasks[id]; t != nil {
		res := CallResult{Task: t.task}
		if t.ended() {
			out := t.outcome
			res.Outcome = &out
		}
		return res, nil
	}
	if ticket.Partition != c.partition {
		return CallResult{}, verdict.Invalid("Lentiltide-Ticket", "the ticket was not issued by this partition")
	}
	table := c.tickets[ticket.Epoch]
	if table == nil {
		return CallResult{}, c.unknownTicketEpochError(ticket.Epoch)
	}
	usedBy, found := table.usedBy[ticket.Sequence]
	switch {
	case ticket.Sequence > table.issued:
		return CallResult{}, verdict.Invalid("Lentiltide-Ticket", "the ticket was not issued by this partition")
	case found && usedBy != "" && usedBy != id:
		return CallResult{}, verdict.New(verdict.NotRun, verdict.CodeConflict, "the ticket was used for task %s", usedBy)
	case found || ticket.Sequence <= table.expired:
		if ticket.Epoch < c.epoch && !c.inventoriesComplete {
			return CallResult{}, c.unknownTicketEpochError(ticket.Epoch)
		}
		return CallResult{}, verdict.New(verdict.MayHaveRun, verdict.CodeExpired, "the ticket or its call is past its retention")
	}
	res := c.newCall(now, st, id, payload)
	table.markUsed(ticket.Sequence, id, c.isWaiting)
	return res, nil
}

// unknownTicketEpochError returns the error for a ticket of an epoch whose ticket table is not known here, or whose calls
// have not all been listed by the racks yet. Callers hold c.mu.
func (c *Core) unknownTicketEpochError(epoch uint64) error {
	switch {
	case epoch > c.epoch:
		// A later owner issued the ticket and may have run the call; this instance has not noticed the change of owner yet.
		return verdict.New(verdict.MayHaveRun, verdict.CodeWrongOwner, "the ticket belongs to epoch %d, this instance knows %d", epoch, c.epoch).WithRetryAfter(unplacedRetryDelay)
	case !c.inventoriesComplete:
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the racks have not yet listed the calls of epoch %d", epoch).WithRetryAfter(unplacedRetryDelay)
	default:
		return verdict.New(verdict.MayHaveRun, verdict.CodeExpired, "the ticket belongs to epoch %d, the current one is %d", epoch, c.epoch)
	}
}

// RestoreCalls adds the calls whose outcomes were recorded. Calls have no rows of their own, so this is what lets a
// repeated call of an earlier epoch be answered. Outcomes that belong to no known call intent are ignored.
func (c *Core) RestoreCalls(now time.Time, outcomes map[model.TaskID]model.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, out := range outcomes {
		name, _, _ := strings.Cut(string(id), "/")
		st := c.intents[name]
		if st == nil || st.intent.Spec.Kind != model.KindCall || c.tasks[id] != nil {
			continue
		}
		task := NewTask(st.intent, c.partition, 0, 0, now)
		task.ID = id
		t := c.addTask(st, task)
		t.token = out.Token
		c.finishTask(now, t, lastPhase(out), out)
	}
}

// TicketTaskID returns the ID of the task that a ticket starts.
func TicketTaskID(intentID string, ticket model.StartToken) model.TaskID {
	return model.TaskID(fmt.Sprintf("%s/t-%d-%d", intentID, ticket.Epoch, ticket.Sequence))
}

func (c *Core) newCall(now time.Time, st *intentState, id model.TaskID, payload []byte) CallResult {
	task := NewTask(st.intent, c.partition, 0, 0, now)
	task.ID, task.Payload = id, payload
	c.setTaskWaiting(now, c.addTask(st, task), time.Time{})
	return CallResult{Task: task, Effects: c.dispatch(now)}
}
