package intent

import (
	"slices"
	"sort"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// ticketWindow bounds the number of tickets of one epoch that can still be used; older ones have expired. It bounds the
	// memory of a ticket table and the size of its row.
	ticketWindow = 16_384
	// maxTicketTables bounds the number of epochs whose tickets are handed over with a partition; the oldest are dropped
	// first.
	maxTicketTables = 16
)

// ticketTable records which tickets of one epoch were used.
type ticketTable struct {
	// issued is the number of tickets issued; their sequence numbers are 1 to issued.
	issued uint64
	// expired is the sequence number up to which every ticket was used or has expired.
	expired uint64
	// usedBy maps the used sequence numbers above expired to the task that each started, or to "" if the task is unknown.
	usedBy map[uint64]model.TaskID
}

func newTicketTable() *ticketTable { return &ticketTable{usedBy: map[uint64]model.TaskID{}} }

// markUsed marks a ticket as used by a task and advances expired over used tickets. isWaiting reports whether a task still
// waits to be granted; the entry of such a task is kept, because its ticket counts as unused again when the partition is
// handed over.
func (t *ticketTable) markUsed(sequence uint64, task model.TaskID, isWaiting func(model.TaskID) bool) {
	t.usedBy[sequence] = task
	for {
		oldest, used := t.usedBy[t.expired+1]
		if !used || isWaiting(oldest) {
			return
		}
		t.expireNext()
	}
}

// issue issues the next ticket and expires those outside ticketWindow. It returns the ticket's sequence number.
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
	// Expired is the sequence number up to which every ticket was used or has expired.
	Expired uint64 `json:"expired"`
	// Used lists the used sequence numbers above Expired, in ascending order.
	Used []uint64 `json:"used,omitempty"`
}

// Handover is the state that an owner stores for the next owner in the transaction that releases the partition.
type Handover struct {
	// Epoch is the epoch that ended. Only the owner of the very next epoch may rely on the ticket tables, since an owner in
	// between may have used tickets after the tables were written.
	Epoch   uint64        `json:"epoch"`
	Tickets []TicketTable `json:"tickets"`
}

// Freeze ends the epoch at this owner and returns the state to hand over with the partition. From then on no start is
// granted, no call is accepted and no ticket is issued, so that the returned tables stay complete. A call that waits has not
// been granted and will not run at this owner, so its ticket counts as unused.
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

// RestoreTickets restores the ticket tables that the previous owner stored. It returns false if there was another owner in
// between; tickets of earlier epochs are then answered from recorded outcomes only.
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

// isWaiting reports whether a task waits to be granted. Callers hold c.mu.
func (c *Core) isWaiting(id model.TaskID) bool {
	t := c.tasks[id]
	return t != nil && t.phase == phaseWaiting
}

// frozenError returns the error for requests to a core whose partition is being handed over.
func (c *Core) frozenError() error {
	return verdict.New(verdict.NotRun, verdict.CodeWrongOwner, "intent partition %d moves to another owner", c.partition).WithRetryAfter(unplacedRetryDelay)
}
