package intent

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// newCallCore returns a core of the given epoch with one confirmed call intent that is not idempotent.
func newCallCore(epoch uint64) *Core {
	c := New(3, epoch, DefaultPolicy())
	c.SetRacks(testNow, rackViews(1, 1, 8))
	c.Restore(testNow, model.Intent{
		ID: "i3-c", State: model.IntentConfirmed, Spec: model.IntentSpec{Kind: model.KindCall, Tasks: 1},
	}, nil)
	return c
}

func call(c *Core, ticket model.StartToken) error {
	_, err := c.Call(testNow, "i3-c", ticket, "", nil)
	return err
}

// TestTicketsMoveWithThePartition guards against losing tickets in a graceful handover, and against a second run of a call
// whose ticket was used before it: the next owner accepts unused tickets, but no used ones.
func TestTicketsMoveWithThePartition(t *testing.T) {
	previous := newCallCore(4)
	tickets, err := previous.Tickets(3)
	assert.NilError(t, err)
	assert.NilError(t, call(previous, tickets[0]))
	assert.NilError(t, call(previous, tickets[1]))
	_, granted := previous.Claim(testNow, TicketTaskID("i3-c", tickets[0]), "rack-0", 1)
	assert.Assert(t, granted)
	handover := previous.Freeze()

	// The previous owner no longer accepts calls and does not grant the call that waits.
	assert.Equal(t, verdict.From(call(previous, tickets[2])).Code, verdict.CodeWrongOwner)
	_, granted = previous.Claim(testNow, TicketTaskID("i3-c", tickets[1]), "rack-0", 1)
	assert.Assert(t, !granted)

	next := newCallCore(5)
	assert.Assert(t, next.RestoreTickets(handover))
	next.AllRacksListed(testNow)
	assert.Equal(t, verdict.Of(call(next, tickets[0])), verdict.MayHaveRun)
	assert.NilError(t, call(next, tickets[1]))
	assert.NilError(t, call(next, tickets[2]))
	for _, ticket := range tickets[1:] {
		_, granted = next.Claim(testNow, TicketTaskID("i3-c", ticket), "rack-0", 1)
		assert.Assert(t, granted)
	}
	// The ticket tables, in which all three tickets are used now, can be handed over again.
	assert.Assert(t, newCallCore(6).RestoreTickets(next.Freeze()))
}

// TestTicketTablesOfAnEarlierOwnerAreRefused guards against a second run: an owner in between, whose epoch ended without a
// handover, may have used the tickets.
func TestTicketTablesOfAnEarlierOwnerAreRefused(t *testing.T) {
	previous := newCallCore(4)
	tickets, err := previous.Tickets(1)
	assert.NilError(t, err)
	handover := previous.Freeze()
	later := newCallCore(6)
	assert.Assert(t, !later.RestoreTickets(handover))
	later.AllRacksListed(testNow)
	assert.Equal(t, verdict.Of(call(later, tickets[0])), verdict.MayHaveRun)
}

// TestTicketWindow guards against a ticket table that grows without bound: tickets outside the window expire, and used
// entries are removed up to the first one whose task still waits.
func TestTicketWindow(t *testing.T) {
	table := newTicketTable()
	for range ticketWindow + 10 {
		table.issue()
	}
	assert.Equal(t, table.expired, uint64(10))
	waits := map[model.TaskID]bool{"first": true}
	table.markUsed(11, "first", func(id model.TaskID) bool { return waits[id] })
	for s := uint64(12); s <= table.issued; s++ {
		table.markUsed(s, "other", func(id model.TaskID) bool { return waits[id] })
	}
	assert.Equal(t, len(table.usedBy), ticketWindow)
	waits["first"] = false
	table.issue()
	table.markUsed(table.issued, "other", func(id model.TaskID) bool { return waits[id] })
	assert.Equal(t, len(table.usedBy), 0)
	assert.Equal(t, table.expired, table.issued)
}
