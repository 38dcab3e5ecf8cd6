package site

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// The rule for service tasks: with nothing disturbed and room for it on permitted workers, a service task must not be without a run from
// restartTime after its last run for absenceTime. Nothing may be disturbed in the absenceTime and for settleTime before it.
const (
	restartTime, absenceTime, settleTime = 6 * time.Second, 3 * time.Second, 4 * time.Second
	// minRoom is the number of further tasks of its size for which there must be room all the while.
	minRoom = 2
	// serviceSampleInterval is the time between two checks of the tasks without a run.
	serviceSampleInterval = 100 * time.Millisecond
)

// ServiceTask is how long a service task has had no run.
type ServiceTask struct {
	Name string
	// HasRun reports whether it has run at all.
	HasRun bool
	// LongestAbsence is the longest time without a run, and AbsentSince when it began: at the end of a run or when the job was accepted.
	LongestAbsence, AbsentSince time.Duration
	// BrokenAt is when the rule was first broken, whatever room there was; 0 if it was not. BrokenWithRoomAt is when it was first broken
	// while the free capacity of the permitted workers sufficed, and BrokenWithSlotsAt while whole tasks fitted on them.
	BrokenAt, BrokenWithRoomAt, BrokenWithSlotsAt time.Duration
}

// String returns the task and its absence as text.
func (t ServiceTask) String() string {
	return fmt.Sprintf("%s: %v from %v on, rule broken at %v, with room at %v, with slots at %v", t.Name, t.LongestAbsence.Round(time.Millisecond),
		t.AbsentSince.Round(time.Millisecond), t.BrokenAt.Round(time.Millisecond), t.BrokenWithRoomAt.Round(time.Millisecond),
		t.BrokenWithSlotsAt.Round(time.Millisecond))
}

// serviceTask is a service task while the simulation runs.
type serviceTask struct {
	ServiceTask
	// step and approved say on which workers the task may run.
	step     string
	approved float64
	demand   model.Resources
	runs     int
	// since is when the last run ended or the job was accepted.
	since time.Duration
	// noRoomAt and noSlotsAt are when there was last no room and no slots for it.
	noRoomAt, noSlotsAt time.Duration
}

// serviceTasks are the service tasks of a simulation.
type serviceTasks struct {
	sim    *Simulation
	byName map[string]*serviceTask
	// order are the tasks in the order of their acceptance.
	order []*serviceTask
}

func newServiceTasks(s *Simulation) *serviceTasks {
	return &serviceTasks{sim: s, byName: map[string]*serviceTask{}}
}

// addJob adds the service tasks of an accepted job. Steps after the first never begin, since a service task does not end.
func (s *serviceTasks) addJob(id job.ID, k Kind, steps []job.Step) {
	if !k.LongRunning {
		return
	}
	for i := range steps[0].Count {
		name := job.TaskName{Job: id, Index: i}.String()
		t := &serviceTask{
			ServiceTask: ServiceTask{Name: name}, step: stepOf(name), approved: k.Approved, demand: k.demand(), since: s.sim.elapsed(),
		}
		s.byName[name] = t
		s.order = append(s.order, t)
	}
}

// started records the start of a run.
func (s *serviceTasks) started(name string) {
	if t := s.byName[name]; t != nil {
		s.measure(t)
		t.runs++
		t.HasRun = true
	}
}

// ended records the end of a run.
func (s *serviceTasks) ended(name string) {
	if t := s.byName[name]; t != nil {
		t.runs--
		t.since = s.sim.elapsed()
	}
}

// measure updates the longest absence of a task.
func (s *serviceTasks) measure(t *serviceTask) {
	if absence := s.sim.elapsed() - t.since; t.runs == 0 && absence > t.LongestAbsence {
		t.LongestAbsence, t.AbsentSince = absence, t.since
	}
}

// sample checks the tasks without a run, again and again.
func (s *serviceTasks) sample() {
	for _, t := range s.order {
		if t.runs == 0 {
			s.check(t)
		}
	}
	s.sim.after(serviceSampleInterval, s.sample)
}

// check checks the rule for a task without a run.
func (s *serviceTasks) check(t *serviceTask) {
	now := s.sim.elapsed()
	s.measure(t)
	room, slots := s.roomFor(t)
	if room < minRoom {
		t.noRoomAt = now
	}
	if slots < minRoom {
		t.noSlotsAt = now
	}
	calmSince := s.sim.site.Disturbances.lastEnd(now)
	if !t.HasRun || now < t.since+restartTime+absenceTime || now < calmSince+settleTime+absenceTime {
		return
	}
	setOnce(&t.BrokenAt, now)
	if now >= t.noRoomAt+absenceTime {
		setOnce(&t.BrokenWithRoomAt, now)
	}
	if now >= t.noSlotsAt+absenceTime {
		setOnce(&t.BrokenWithSlotsAt, now)
	}
}

// roomFor returns for how many tasks like this one the free capacity of the permitted workers suffices, and how many of them fit, each on
// one worker.
func (s *serviceTasks) roomFor(t *serviceTask) (room float64, slots int) {
	for _, w := range s.sim.workers {
		if !s.sim.permits(t.step, w.id, t.approved) {
			continue
		}
		free := w.free()
		fitting := min(float64(free.CPUMilli)/float64(t.demand.CPUMilli), float64(free.MemoryMiB)/float64(t.demand.MemoryMiB))
		room += fitting
		slots += int(fitting)
	}
	return room, slots
}

// outcome returns the tasks, those with the longest absence first.
func (s *serviceTasks) outcome() []ServiceTask {
	out := make([]ServiceTask, len(s.order))
	for i, t := range s.order {
		s.measure(t)
		out[i] = t.ServiceTask
	}
	slices.SortStableFunc(out, func(a, b ServiceTask) int { return cmp.Compare(b.LongestAbsence, a.LongestAbsence) })
	return out
}
