package backends

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/history"
)

// Crash describes the crash of a worker.
type Crash struct {
	// Delay is the time from the start of a run to the crash. With 0, the start is executed but not answered.
	Delay time.Duration
	// Downtime is the time from the crash to the next boot of the worker.
	Downtime time.Duration
	// NewID means that the worker boots under a new id at the same address, where commands for the former id are refused.
	NewID bool
}

// Registry is the registry in which the workers keep their entries. Its functions must not call the methods of Workers.
type Registry struct {
	// Write writes the entry of a worker that has booted.
	Write func(info backend.WorkerInfo)
	// Remove removes the entry of a worker that has been silent for registryLapse.
	Remove func(id string)
}

const (
	// registryLapse is how long a crashed worker keeps its registry entry.
	registryLapse = 4500 * time.Millisecond
	// crashesToGiveUp is the number of workers that may crash under a task before the scheduler must give the task up.
	crashesToGiveUp = 3
	// maxLateStarts is the number of starts of such a task that do not count as a violation, because they may have been sent
	// before the scheduler knew of the last crash.
	maxLateStarts = 2
	// maxServiceStarts is the number of starts of a service task in serviceStartWindow after crashesToGiveUp crashes. A service has
	// no limit of attempts, but its tasks have to pause.
	maxServiceStarts   = 8
	serviceStartWindow = 10 * time.Second
)

// outage is the time from the crash of a worker to its next boot. The worker refuses connections meanwhile.
type outage struct {
	bootAt time.Duration
	newID  bool
}

// crashRecord is what the workers record about the crashes.
type crashRecord struct {
	registry Registry
	// workerCrashes counts the crashes of all workers, taskCrashes those under a run of each task.
	workerCrashes int
	taskCrashes   map[string]int
	// lateStarts counts the starts of each task after crashesToGiveUp crashes.
	lateStarts map[string]int
	// serviceStarts are the times of the starts of each service task after crashesToGiveUp crashes, within serviceStartWindow.
	serviceStarts map[string][]time.Duration
	// lapses are the times at which the registry entries of crashed workers lapse, by worker id.
	lapses map[string]time.Duration
	// successors are the ids under which crashed workers have booted, by their former ids.
	successors map[string]string
}

func newCrashRecord() crashRecord {
	return crashRecord{
		taskCrashes: map[string]int{}, lateStarts: map[string]int{}, serviceStarts: map[string][]time.Duration{}, lapses: map[string]time.Duration{}, successors: map[string]string{},
	}
}

// SetRegistry sets the registry that follows the crashes and boots of the workers.
func (w *Workers) SetRegistry(r Registry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes.registry = r
}

// Crash crashes a set of workers at the same moment, as when a rack loses power. Delay is ignored. Workers that are down stay
// down until the boot that is due already.
func (w *Workers) Crash(crash Crash, ids ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, id := range ids {
		if worker := w.workers[id]; worker != nil && worker.outage == nil {
			w.crashWorker(worker, w.now(), crash)
		}
	}
}

// WorkerCrashes returns the number of crashes of all workers.
func (w *Workers) WorkerCrashes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.crashes.workerCrashes
}

// TaskCrashes returns the number of worker crashes under a run of a task, whatever their cause.
func (w *Workers) TaskCrashes(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.crashes.taskCrashes[task]
}

// IDs returns the sorted ids of the workers, including those that are down.
func (w *Workers) IDs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.workers))
}

// crashDueRun crashes a worker if a run on it crashes it by now. Runs that end before end first. Callers hold w.mu.
func (w *Workers) crashDueRun(worker *workerState, now time.Duration) {
	var first *activeRun
	for _, r := range worker.running {
		if r.behavior.Crash != nil && r.crashAt() <= now && (first == nil || r.crashAt() < first.crashAt()) {
			first = r
		}
	}
	if first == nil {
		return
	}
	w.endDueRuns(worker, first.crashAt())
	if worker.running[first.task] == first {
		w.crashWorker(worker, first.crashAt(), *first.behavior.Crash)
	}
}

func (r *activeRun) crashAt() time.Duration { return r.startedAt + r.behavior.Crash.Delay }

// crashWorker ends the process of a worker, which loses its runs, its completions and its fencing token. Callers hold w.mu.
func (w *Workers) crashWorker(worker *workerState, at time.Duration, crash Crash) {
	w.crashes.workerCrashes++
	for task := range worker.running {
		w.crashes.taskCrashes[task]++
	}
	w.recordChange(worker.info, history.ChangeCrash)
	w.takeDown(worker, outage{bootAt: at + crash.Downtime, newID: crash.NewID})
	w.crashes.lapses[worker.info.ID] = at + registryLapse
	w.advanceAfter(at + registryLapse - w.now())
}

// takeDown ends all runs on a worker without a completion, until its next boot. Callers hold w.mu.
func (w *Workers) takeDown(worker *workerState, o outage) {
	worker.running = map[string]*activeRun{}
	worker.unacknowledged = nil
	worker.outage = &o
	close(worker.changed)
	worker.changed = make(chan struct{})
	w.advanceAfter(o.bootAt - w.now())
}

// advanceAfter brings the state of the workers up to date after a delay, even if no call arrives.
func (w *Workers) advanceAfter(delay time.Duration) {
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.advance()
	})
}

// bootIfDue boots a crashed worker whose outage has ended. Callers hold w.mu.
func (w *Workers) bootIfDue(worker *workerState, now time.Duration) {
	if worker.outage == nil || worker.outage.bootAt > now {
		return
	}
	info, formerID := worker.info, worker.info.ID
	info.StartedMS += (worker.outage.bootAt - worker.startedAt).Milliseconds()
	info.Draining, info.RemainingMS = false, 0
	if worker.outage.newID {
		info.ID = fmt.Sprintf("%s.%d", formerID, info.StartedMS)
		w.replaceID(formerID, info.ID)
	} else {
		delete(w.crashes.lapses, formerID)
	}
	w.workers[info.ID] = newWorkerState(info, worker.outage.bootAt)
	w.recordChange(info, history.ChangeBoot)
	if w.crashes.registry.Write != nil {
		w.crashes.registry.Write(info)
	}
}

// replaceID makes the address of a worker refuse commands for its former ids. Callers hold w.mu.
func (w *Workers) replaceID(formerID, id string) {
	delete(w.workers, formerID)
	for former, successor := range w.crashes.successors {
		if successor == formerID {
			w.crashes.successors[former] = id
		}
	}
	w.crashes.successors[formerID] = id
}

// lapseEntries removes the registry entries of workers that have been silent for too long. Callers hold w.mu.
func (w *Workers) lapseEntries(now time.Duration) {
	for id, at := range w.crashes.lapses {
		if at > now {
			continue
		}
		delete(w.crashes.lapses, id)
		if w.crashes.registry.Remove != nil {
			w.crashes.registry.Remove(id)
		}
	}
}

// recordLateStart records a violation if a task that crashes its workers should have been given up before this start, or paused if it is
// one of a service. Callers hold w.mu.
func (w *Workers) recordLateStart(task string, service bool) {
	crashes := w.crashes.taskCrashes[task]
	if crashes < crashesToGiveUp {
		return
	}
	if service {
		w.recordServiceStart(task)
		return
	}
	w.crashes.lateStarts[task]++
	if late := w.crashes.lateStarts[task]; late > maxLateStarts {
		w.violations = append(w.violations, fmt.Sprintf("task %s was started %d times more after %d crashes, now %d crashes", task, late, crashesToGiveUp, crashes))
	}
}

// recordServiceStart records a violation if a service task that crashes its workers is started too often. Callers hold w.mu.
func (w *Workers) recordServiceStart(task string) {
	now := w.now()
	starts := slices.DeleteFunc(w.crashes.serviceStarts[task], func(at time.Duration) bool { return at <= now-serviceStartWindow })
	starts = append(starts, now)
	w.crashes.serviceStarts[task] = starts
	if len(starts) > maxServiceStarts {
		w.violations = append(w.violations, fmt.Sprintf("service task %s was started %d times within %s although its workers crash", task, len(starts), serviceStartWindow))
	}
}
