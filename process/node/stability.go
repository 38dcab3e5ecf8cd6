package node

import (
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/version/cell"
)

// Each new leader reads all rows and the inventories of all workers. If leaders are lost again and again, that alone can keep the
// next one from serving, so takeovers are delayed more and more until one lasts.

const (
	// leaderChangeWindow is the time within which changes of the leader count as a series.
	leaderChangeWindow = 20 * time.Second
	// maxQuickTakeovers is the number of takeovers within the window that are not delayed. Resignations do not count.
	maxQuickTakeovers = 4
	// takeoverBackoff is the delay of the first takeover beyond that; each further one doubles it, up to maxTakeoverBackoff.
	takeoverBackoff    = 500 * time.Millisecond
	maxTakeoverBackoff = 4 * time.Second
)

// leaderChanges are the takeovers that this instance has observed within leaderChangeWindow, without those that followed a
// resignation. The mutex of the node protects it.
type leaderChanges struct {
	takeovers []cell.Instant
	epoch     uint64
	resigned  bool
}

// record records a new value of the leader row.
func (c *leaderChanges) record(row leaderRow, now cell.Instant) {
	if c.epoch != 0 && row.Epoch > c.epoch && !c.resigned {
		c.takeovers = append(c.takeovers, now)
	}
	c.epoch, c.resigned = row.Epoch, row.Resigned
}

// count returns the number of takeovers within leaderChangeWindow.
func (c *leaderChanges) count(now cell.Instant) int {
	c.takeovers = slices.DeleteFunc(c.takeovers, func(at cell.Instant) bool { return now > at+leaderChangeWindow })
	return len(c.takeovers)
}

// unstableDelay returns the delay of a takeover after a series of others.
func (n *Node) unstableDelay() time.Duration {
	n.mu.Lock()
	takeovers := n.leaderChanges.count(n.opts.Now())
	n.mu.Unlock()
	delay := takeoverDelayAfter(takeovers)
	if delay > 0 {
		n.opts.Log.WithFields(map[string]any{
			"event": "leadership_unstable", "takeovers": takeovers, "delay_ms": delay.Milliseconds(),
		}).Warn("the leader changes often; the next takeover is delayed")
	}
	return delay
}

// takeoverDelayAfter returns the delay of a takeover after a number of others within leaderChangeWindow.
func takeoverDelayAfter(takeovers int) time.Duration {
	if takeovers <= maxQuickTakeovers {
		return 0
	}
	delay := takeoverBackoff
	for range takeovers - maxQuickTakeovers - 1 {
		delay = min(2*delay, maxTakeoverBackoff)
	}
	return delay
}
