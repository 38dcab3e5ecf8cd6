package backends

import (
	"strings"
	"time"

	"github.com/lentiltide/lentiltide/backend"
)

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gangKey identifies the members of a gang that work together: those of one step and occurrence with the same run number.
type gangKey struct {
	step string
	run  int64
}

// gangMember is a run of a member and its worker.
type gangMember struct {
	worker *workerState
	run    *activeRun
}

// advanceGangs begins the work of gangs whose members are all present, and ends the runs of those that have lost a member, or have waited
// too long for one. Callers hold w.mu.
func (w *Workers) advanceGangs(now time.Duration) {
	gangs := map[gangKey][]gangMember{}
	for _, worker := range w.workers {
		for task, r := range worker.running {
			if r.behavior.Gang > 0 {
				key := gangKey{task[:strings.LastIndexByte(task, '.')], r.run}
				gangs[key] = append(gangs[key], gangMember{worker, r})
			}
		}
	}
	for _, members := range gangs {
		whole := len(members) == members[0].run.behavior.Gang
		for _, m := range members {
			switch {
			case whole && m.run.gangSince == 0:
				m.run.gangSince = now
			case !whole && m.run.gangSince > 0:
				w.end(m.worker, m.run, backend.ResultGangEnded, now)
			case !whole && now >= m.run.startedAt+gangTimeout:
				w.end(m.worker, m.run, backend.ResultGangIncomplete, now)
			}
		}
	}
}
