package site

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/version/cell"
)

const (
	service = "desk"
	// callDelay is the time of one direction of a call to a worker: the batch of calls through a delegate and two messages.
	callDelay = 9 * time.Millisecond
	// storeDelay is the time of a write, and writeInterval the shortest time between two of them.
	storeDelay, writeInterval = 5 * time.Millisecond, 12 * time.Millisecond
	// adviceDelay is the time of the messages of a request for advice.
	adviceDelay = 3 * time.Millisecond
	// minStepInterval and maxStepInterval are the times between scheduling rounds of process/node.
	minStepInterval, maxStepInterval = 2 * time.Millisecond, 50 * time.Millisecond
	// ackTimeout is how long process/node delays a poll for an acknowledgement.
	ackTimeout = 150 * time.Millisecond
	// startTime is the time at which the simulation begins; the clocks of workers must not be 0.
	startTime = time.Hour
	// leaseDuration is the duration of the leases on workers.
	leaseDuration = 6 * time.Second
	// workersPerRack is the number of workers on a rack.
	workersPerRack = 12
)

// workerCapacity is the capacity of each worker.
var workerCapacity = model.Resources{CPUMilli: 16_000, MemoryMiB: 64_000}

// Simulation is a run of a site.
type Simulation struct {
	site  Site
	costs Costs
	seed  uint64
	now   time.Duration

	events     eventQueue
	eventCount int

	// leader is the present leader, or the lost one until the next has taken over; formerLeaders are those before it.
	leader        *leader
	formerLeaders []*leader
	store         *store

	workers []*worker
	byID    map[string]*worker
	kinds   map[string]Kind
	jobs    map[job.ID]*Job
	lastJob int

	// endedAt holds when tasks ended whose completions the scheduler has not read.
	endedAt map[string]time.Duration
	// services holds the service tasks of accepted jobs.
	services *serviceTasks

	report *Report
}

// Job is what became of a job. Times are since the start of the simulation.
type Job struct {
	Kind        string
	SubmittedAt time.Duration
	// StartedAt is when its first task started, and FinishedAt when it was complete; 0 before that.
	StartedAt, FinishedAt time.Duration
	// work is the duration of the longest task of each step.
	work map[string]time.Duration
	// addedAt, askedAt and answeredAt are when the scheduler had the job, and when it first asked for advice and had an answer; commandAt is
	// when a worker first had a start.
	addedAt, askedAt, answeredAt, commandAt time.Duration
}

// inTime reports whether a job was in time: within its objective and the stretch of what its longest tasks took, or, for one that runs
// until the end, started within its objective.
func (j *Job) inTime(k Kind) bool {
	if k.LongRunning {
		return j.StartedAt > 0 && j.StartedAt-j.SubmittedAt <= k.Objective
	}
	if j.FinishedAt == 0 {
		return false
	}
	work := time.Duration(0)
	for _, d := range j.work {
		work += d
	}
	return j.FinishedAt-j.SubmittedAt <= k.Objective+time.Duration(k.Stretch*float64(work))
}

// New returns a simulation of a site whose leader has only its own share of a processor.
func New(site Site, costs Costs, seed uint64) *Simulation {
	s := &Simulation{
		site: site, costs: costs, seed: seed, now: startTime, byID: map[string]*worker{}, kinds: map[string]Kind{},
		jobs: map[job.ID]*Job{}, endedAt: map[string]time.Duration{}, report: &Report{stages: map[string]*stageTimes{}},
	}
	s.store, s.services = newStore(), newServiceTasks(s)
	for _, k := range site.Kinds {
		s.kinds[k.Name] = k
		s.report.stages[k.Name] = &stageTimes{}
	}
	s.leader = s.newLeader(1)
	for i := range site.Workers {
		s.addWorker(i)
	}
	return s
}

// addWorker adds a worker, which the leader polls from a random moment of the first second on.
func (s *Simulation) addWorker(i int) {
	w := &worker{id: fmt.Sprintf("w%05d", i), index: i, running: map[string]runningTask{}}
	s.workers = append(s.workers, w)
	s.byID[w.id] = w
	l := s.leader
	l.core.SetWorker(s.registryEntry(w), s.now)
	s.after(time.Duration(s.draw("poll", w.id).Int64N(int64(time.Second))), func() { l.pollWorker(w) })
}

// registryEntry returns the entry of a worker in the registry.
func (s *Simulation) registryEntry(w *worker) backend.WorkerInfo {
	return backend.WorkerInfo{
		ID: w.id, Address: w.id, Service: service, Labels: []string{"k", fmt.Sprintf("r%d", w.index/workersPerRack)}, StartedMS: 1,
		Capacity: workerCapacity,
	}
}

// warmUp is the time before the first arrivals, in which the workers are read and recorded.
const warmUp = 3 * time.Second

// Run runs the load for a time, and the rest of the work for up to drain, and returns the report.
func (s *Simulation) Run(length, drain time.Duration) *Report {
	s.leader.run()
	s.scheduleDisturbances()
	s.after(warmUp, s.services.sample)
	if s.site.StallFor > 0 {
		s.after(warmUp+s.site.StallAt, func() {
			p := &s.leader.processor
			p.submit(func() (time.Duration, func()) { return time.Duration(float64(s.site.StallFor) * p.share), nil })
		})
	}
	for _, k := range s.site.Kinds {
		s.arrive(k, s.draw("arrivals", k.Name), warmUp, warmUp+length)
	}
	s.runUntil(startTime + warmUp + length + drain)
	s.report.finish(s, length)
	return s.report
}

// elapsed returns the time since the start of the load.
func (s *Simulation) elapsed() time.Duration { return s.now - startTime - warmUp }

// arrive schedules the next arrival of a kind, until the end of the load.
func (s *Simulation) arrive(k Kind, rng *rand.Rand, after, end time.Duration) {
	at := k.nextArrival(rng, after-warmUp) + warmUp
	if at >= end {
		return
	}
	s.after(startTime+at-s.now, func() {
		s.submit(k)
		s.arrive(k, rng, at, end)
	})
}

// submit hands in a job.
func (s *Simulation) submit(k Kind) {
	s.lastJob++
	id := job.ID(fmt.Sprintf("%016x", s.lastJob))
	s.jobs[id] = &Job{Kind: k.Name, SubmittedAt: s.elapsed(), work: map[string]time.Duration{}}
	steps := k.steps(s.draw("steps", string(id)))
	record := job.Record{Queue: k.queue(), Epoch: s.leader.epoch, Spec: job.Spec{Payload: "p", Steps: steps}}
	s.after(s.writeTime(), func() {
		s.store.addJob(id, record)
		s.services.addJob(id, k, steps)
		s.leader.addJob(id, record)
	})
}

// draw returns the random numbers of a thing, which do not depend on the order of events.
func (s *Simulation) draw(purpose, name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(purpose))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(s.seed, h.Sum64()))
}

// permits reports whether the placement policy permits a step on a worker, if it permits a share of the workers.
func (s *Simulation) permits(step, worker string, share float64) bool {
	return s.draw(step, worker).Float64() < share
}

// stepOf returns the name of the step of a task.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// jobOf returns the job of a task or a step, by its name.
func (s *Simulation) jobOf(name string) *Job {
	id, _, _ := strings.Cut(name, ".")
	return s.jobs[job.ID(id)]
}

// recordDecision records the first start and the completion of each job.
func (s *Simulation) recordDecision(d cell.Decision) {
	j := s.jobs[d.Job]
	if j == nil {
		return
	}
	switch d.Event {
	case "job_added":
		setOnce(&j.addedAt, s.elapsed())
	case "advice_asked":
		setOnce(&j.askedAt, s.elapsed())
	case "advice_answered":
		setOnce(&j.answeredAt, s.elapsed())
	case "run_ended":
		s.recordCompletion(j, d)
	case "task_started":
		s.report.starts++
		setOnce(&j.StartedAt, s.elapsed())
	case "job_finished":
		j.FinishedAt = s.elapsed()
	}
}

// setOnce sets a time that is not set yet.
func setOnce(at *time.Duration, now time.Duration) {
	if *at == 0 {
		*at = now
	}
}

// recordCompletion records how long the scheduler did not know of the end of a run.
func (s *Simulation) recordCompletion(j *Job, d cell.Decision) {
	task, _ := d.Fields["task"].(string)
	if endedAt, ok := s.endedAt[task]; ok {
		delete(s.endedAt, task)
		s.report.stages[j.Kind].record(StagePoll, s.now-endedAt)
	}
}
