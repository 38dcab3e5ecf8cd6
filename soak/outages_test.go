package soak

import (
	"strings"
	"time"

	"github.com/lentiltide/lentiltide/standin/backends"
)

// storeOutage is a period in which the store did not work. Times are since the start of the cluster.
type storeOutage struct {
	fault      backends.Fault
	begin, end time.Duration
	// loss names what was lost during the outage.
	loss string
}

// storeFaults are the ways in which the store does not work during an outage.
var storeFaults = []backends.Fault{backends.FaultRefused, backends.FaultNoAnswer, backends.FaultAnswerLost, backends.FaultLate}

// faultNames are the names of storeFaults in logs.
var faultNames = map[backends.Fault]string{
	backends.FaultRefused: "refuses", backends.FaultNoAnswer: "is silent", backends.FaultAnswerLost: "loses answers", backends.FaultLate: "writes late",
}

// beginOutage begins an outage of the store.
func (l *lostCells) beginOutage(fault backends.Fault, loss string) {
	l.outages = append(l.outages, storeOutage{fault: fault, begin: time.Since(l.cluster.startedAt), loss: loss})
	l.logf("outage: the store %s; loss of %s", faultNames[fault], loss)
	l.cluster.tables.SetFault(func(bool) backends.Fault { return fault })
}

// endOutage ends the outage of the store and returns its fault.
func (l *lostCells) endOutage() backends.Fault {
	l.cluster.tables.SetFault(nil)
	last := &l.outages[len(l.outages)-1]
	last.end = time.Since(l.cluster.startedAt)
	l.logf("outage ended")
	return last.fault
}

// endOf returns when the last task of a job first ended as done, and whether all of them did.
func (c *cluster) endOf(id string) (at time.Duration, ok bool) {
	for _, task := range tasksOf(id) {
		end, done := c.workers.DoneAt(task)
		if !done {
			return 0, false
		}
		at = max(at, end)
	}
	return at, true
}

// checkOutages logs how many jobs ended during each outage of the store and fails the test if none did in any: such a run says
// nothing of answers that rest on memory.
func (l *lostCells) checkOutages(answers *answerRecord) {
	counts, total := make([]int, len(l.outages)), 0
	for id := range answers.accepted {
		at, ok := l.cluster.endOf(id)
		for i, o := range l.outages {
			if ok && o.begin <= at && at <= o.end {
				counts[i]++
				total++
			}
		}
	}
	l.cluster.t.Logf("jobs that ended during outages of the store: %d of %d accepted", total, len(answers.accepted))
	for i, o := range l.outages {
		l.cluster.t.Logf("%8v to %8v, store %-13s loss of %-26s %3d %s", o.begin.Round(time.Millisecond), o.end.Round(time.Millisecond),
			faultNames[o.fault]+",", o.loss+":", counts[i], strings.Repeat("#", counts[i]))
	}
	if total == 0 {
		l.cluster.t.Errorf("no job ended during the %d outages of the store, so the run has not tried what outlasts them", len(l.outages))
	}
}
