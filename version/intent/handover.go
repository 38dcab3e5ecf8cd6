package intent

import (
	"slices"
	"sort"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// ticketWindow bounds the tickets of one epoch that can be used: older ones have expired. It bounds the memory of a
	// table and the size of its row.
	ticketWindow = 16_384
	// maxTicketTables bounds the epochs whose tickets move along with a partition; the oldest are dropped first.
	maxTicketTables = 16
)

// ticketTable says which tickets of one epoch were used.
type ticketTable struct {
	// issued is the number of tickets issued; their sequences are 1 to issued.
	issued uint64
	// expired is the sequence up to which every ticket was used or has expired.
	expired uint64
	// usedBy holds the used sequences above expired, with the task that each started where it is known.
	usedBy map[uint64]model.TaskID
}

func newTicketTable() *ticketTable { return &ticketTable{usedBy: map[uint64]model.TaskID{}} }

// markUsed marks a ticket as used. waits reports whether a task still waits for its start; the ticket of such a task is kept,
// since it becomes unused when the partition moves.
func (t *ticketTable) markUsed(sequence uint64, task model.TaskID, isWaiting func(model.TaskID) bool) {
	t.usedBy[sequence] = task
	for {
		first, used := t.usedBy[t.expired+1]
		if !used || isWaiting(first) {
			return
		}
		t.expireNext()
	}
}

// issue adds a ticket and expires those outside the window.
func (t *ticketTable) issue() uint64 {
	t.issued++
	for t.issued-t.expired > ticketWindow {
		t.expireNext()
	}
	return t.issued
}

func (t *ticketTable) expireNext() {
	t.expired++
	delete(t.usedBy, t.expired)
}

// TicketTable is the stored form of the tickets of one epoch.
type TicketTable struct {
	Epoch  uint64 `json:"epoch"`
	Issued uint64 `json:"issued"`
	// Expired is the sequence up to which every ticket was used or has expired.
	Expired uint64 `json:"expired"`
	// Used lists the used sequences above Expired, in order.
	Used []uint64 `json:"used,omitempty"`
}

// Handover is the state that an owner leaves to the next one in the transaction that releases the partition.
type Handover struct {
	// Epoch is the epoch that ended. Only the owner of the epoch right after it may rely on the tables, since any further
	// owner may have used tickets after they were written.
	Epoch   uint64        `json:"epoch"`
	Tickets []TicketTable `json:"tickets"`
}

// Freeze ends the epoch at this owner and returns what moves with the partition. From then on no start is granted and no
// call or ticket is accepted, so that the tables stay complete. A call that waits and was not granted has not run and
// will not, so its ticket counts as unused.
func (c *Core) Freeze() Handover {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen = true
	h := Handover{Epoch: c.epoch}
	for epoch, table := range c.tickets {
		stored := TicketTable{Epoch: epoch, Issued: table.issued, Expired: table.expired}
		for sequence, id := range table.usedBy {
			if !c.isWaiting(id) {
				stored.Used = append(stored.Used, sequence)
			}
		}
		slices.Sort(stored.Used)
		if stored.Expired < stored.Issued {
			h.Tickets = append(h.Tickets, stored)
		}
	}
	sort.Slice(h.Tickets, func(i, j int) bool { return h.Tickets[i].Epoch > h.Tickets[j].Epoch })
	h.Tickets = h.Tickets[:min(len(h.Tickets), maxTicketTables)]
	return h
}

// RestoreTickets enters the tickets that the owner before has left. It reports false when another owner was in between:
// then tickets of earlier epochs are answered from recorded outcomes only.
func (c *Core) RestoreTickets(h Handover) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.Epoch+1 != c.epoch {
		return false
	}
	for _, stored := range h.Tickets {
		table := newTicketTable()
		table.issued, table.expired = stored.Issued, stored.Expired
		for _, sequence := range stored.Used {
			table.usedBy[sequence] = ""
		}
		c.tickets[stored.Epoch] = table
	}
	return true
}

// isWaiting reports whether a task waits for its start. Callers hold c.mu.
func (c *Core) isWaiting(id model.TaskID) bool {
	t := c.tasks[id]
	return t != nil && t.phase == phaseWaiting
}

// frozenError is the error of a frozen core.
func (c *Core) frozenError() error {
	return verdict.New(verdict.NotRun, verdict.CodeWrongOwner, "intent partition %d moves to another owner", c.partition).After(unplacedRetryDelay)
}
