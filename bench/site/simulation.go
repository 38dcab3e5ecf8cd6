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
	// workersPerRack is the number of workers on a rack.
	workersPerRack = 12
)

// Simulation is a run of a site.
type Simulation struct {
	site  Site
	costs Costs
	seed  uint64
	core  *cell.Core
	now   time.Duration

	events     eventQueue
	eventCount int
	processor  processor

	workers []*worker
	byID    map[string]*worker
	kinds   map[string]Kind
	jobs    map[job.ID]*Job
	lastJob int

	// lastRoundAt is when the last round began; roundQueued means that the next one waits for the processor or its time.
	lastRoundAt time.Duration
	roundQueued bool
	// awaitingAck are the workers whose next poll waits for completions to become durable.
	awaitingAck []*ackWait

	// endedAt holds when tasks ended whose completions the scheduler has not read.
	endedAt map[string]time.Duration

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

// ackWait is a worker whose next poll is delayed.
type ackWait struct {
	worker *worker
	done   bool
}

// New returns a simulation of a site whose leader has only its own share of a processor.
func New(site Site, costs Costs, seed uint64) *Simulation {
	s := &Simulation{
		site: site, costs: costs, seed: seed, now: startTime, byID: map[string]*worker{}, kinds: map[string]Kind{},
		jobs: map[job.ID]*Job{}, endedAt: map[string]time.Duration{}, report: &Report{stages: map[string]*stageTimes{}},
	}
	s.processor = processor{sim: s, share: site.CPUShare}
	s.core = cell.New(cell.Options{
		Epoch: 1, LeaseDuration: 6 * time.Second, Retention: 2 * time.Minute, StopTimeout: 400 * time.Millisecond, OnDecision: s.recordDecision,
	}, s.now)
	cfg := job.Config{Version: 1}
	for _, k := range site.Kinds {
		s.kinds[k.Name] = k
		s.report.stages[k.Name] = &stageTimes{}
		cfg.Queues = append(cfg.Queues, k.queue())
	}
	s.core.SetConfig(cfg)
	var advisers []string
	for i := range site.Instances {
		advisers = append(advisers, fmt.Sprintf("i%04d", i))
	}
	s.core.SetAdvisers(advisers)
	for i := range site.Workers {
		s.addWorker(i)
	}
	return s
}

// addWorker adds a worker, which the leader polls from a random moment of the first second on.
func (s *Simulation) addWorker(i int) {
	w := &worker{id: fmt.Sprintf("w%05d", i), running: map[string]runningTask{}}
	s.workers = append(s.workers, w)
	s.byID[w.id] = w
	s.core.SetWorker(backend.WorkerInfo{
		ID: w.id, Address: w.id, Service: service, Labels: []string{"k", fmt.Sprintf("r%d", i/workersPerRack)}, StartedMS: 1,
		Capacity: model.Resources{CPUMilli: 16_000, MemoryMiB: 64_000},
	}, s.now)
	s.after(time.Duration(s.draw("poll", w.id).Int64N(int64(time.Second))), func() { s.pollWorker(w) })
}

// warmUp is the time before the first arrivals, in which the workers are read and recorded.
const warmUp = 3 * time.Second

// Run runs the load for a time, and the rest of the work for up to drain, and returns the report.
func (s *Simulation) Run(length, drain time.Duration) *Report {
	s.after(0, s.wakeScheduler)
	s.after(0, s.write)
	if s.site.StallFor > 0 {
		s.after(warmUp+s.site.StallAt, func() {
			s.processor.submit(func() (time.Duration, func()) {
				return time.Duration(float64(s.site.StallFor) * s.processor.share), nil
			})
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
	record := job.Record{Queue: k.queue(), Epoch: 1, Spec: job.Spec{Payload: "p", Steps: k.steps(s.draw("steps", string(id)))}}
	s.after(storeDelay, func() {
		s.processor.submit(func() (time.Duration, func()) {
			s.core.AddJob(id, record, s.now)
			return s.costs.Job, nil
		})
	})
}

// wakeScheduler queues a scheduling round if the core asks for one or the last one is long ago.
func (s *Simulation) wakeScheduler() {
	if s.roundQueued {
		return
	}
	select {
	case <-s.core.Wake():
	default:
		if s.now < s.lastRoundAt+maxStepInterval {
			return
		}
	}
	s.roundQueued = true
	s.after(s.lastRoundAt+minStepInterval-s.now, func() { s.processor.submit(s.round) })
}

// round is a scheduling round.
func (s *Simulation) round() (time.Duration, func()) {
	s.lastRoundAt, s.roundQueued = s.now, false
	actions := s.core.Step(s.now, s.now.Milliseconds())
	cost := s.costs.Round
	for _, a := range actions {
		switch a.(type) {
		case *cell.StartAction:
			cost += s.costs.Start
		case *cell.AdviseAction:
			cost += s.costs.Advice
		}
	}
	s.after(maxStepInterval, s.wakeScheduler)
	return cost, func() {
		for _, a := range actions {
			s.execute(a)
		}
	}
}

// execute executes an action of the scheduler.
func (s *Simulation) execute(action cell.Action) {
	switch a := action.(type) {
	case *cell.StartAction:
		s.after(callDelay, func() { s.startTask(a) })
	case *cell.StopAction:
		s.after(callDelay, func() { s.stopTask(a) })
	case *cell.AdviseAction:
		s.after(a.Expected+adviceDelay, func() { s.answerAdvice(a) })
	case *cell.PollAction:
		s.pollOnce(s.byID[a.Worker])
	}
}

func (s *Simulation) startTask(a *cell.StartAction) {
	w := s.byID[a.Command.Worker.ID]
	j := s.jobOf(a.Command.Task)
	k := s.kinds[j.Kind]
	duration := k.taskTime(s.draw("task", a.Command.Task))
	step := a.Command.Task[:strings.LastIndexByte(a.Command.Task, '.')]
	j.work[step] = max(j.work[step], duration)
	setOnce(&j.commandAt, s.elapsed())
	s.start(w, a.Command, duration, k.LongRunning)
	reply := backend.Reply{ClockMS: clockMS(s.now)}
	s.after(callDelay, func() {
		s.processor.submit(func() (time.Duration, func()) {
			s.core.StartResult(a, reply, nil, s.now)
			return 0, nil
		})
		s.wakeAckWaits()
	})
}

func (s *Simulation) stopTask(a *cell.StopAction) {
	w := s.byID[a.Command.Worker.ID]
	s.end(w, a.Command.Task, a.Command.Run, backend.ResultStopped)
	reply := backend.Reply{ClockMS: clockMS(s.now)}
	s.after(callDelay, func() {
		s.processor.submit(func() (time.Duration, func()) {
			s.core.StopResult(a, reply, nil, s.now)
			return 0, nil
		})
	})
}

// answerAdvice answers a request for advice. The decision about a step and a worker does not change.
func (s *Simulation) answerAdvice(a *cell.AdviseAction) {
	k := s.kinds[s.jobOf(a.Step).Kind]
	var tickets []backend.Ticket
	for _, id := range a.Workers {
		if s.draw(a.Step, id).Float64() < k.Approved {
			tickets = append(tickets, backend.Ticket{Worker: id, Ticket: "t"})
		}
	}
	s.report.adviceCalls++
	s.processor.submit(func() (time.Duration, func()) {
		s.core.AdviceResult(a, tickets, time.Duration(k.Advice.ValidityMS)*time.Millisecond, nil, s.now)
		return 0, nil
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

// jobOf returns the job of a task or a step, by its name.
func (s *Simulation) jobOf(name string) *Job {
	id, _, _ := strings.Cut(name, ".")
	return s.jobs[job.ID(id)]
}

// pollWorker sends the next long poll of a worker.
func (s *Simulation) pollWorker(w *worker) {
	s.processor.submit(func() (time.Duration, func()) {
		req, _, ok := s.core.PreparePoll(w.id, s.now)
		if !ok {
			return 0, nil
		}
		sentAt := s.now
		return 0, func() {
			s.after(callDelay, func() { s.receivePoll(w, req, sentAt) })
		}
	})
}

// pollOnce polls a worker at once, beside its long poll.
func (s *Simulation) pollOnce(w *worker) {
	if w.poll != nil {
		s.after(callDelay, func() { s.answerPoll(w) })
	}
}

// leaderReceivesPoll passes the result of a poll to the scheduler, and sends the next poll once its completions are durable.
func (s *Simulation) leaderReceivesPoll(w *worker, sentAt time.Duration, reply backend.PollReply) {
	s.report.polls++
	s.processor.submit(func() (time.Duration, func()) {
		s.core.PollResult(w.id, sentAt, reply, nil, s.now)
		cost := s.costs.Poll + time.Duration(len(reply.Finished))*s.costs.Completion
		return cost, func() { s.awaitAcks(w) }
	})
}

// awaitAcks polls a worker again when its completions are durable, after ackTimeout at the latest.
func (s *Simulation) awaitAcks(w *worker) {
	if _, pending := s.core.AcksChanged(w.id); !pending {
		s.pollWorker(w)
		return
	}
	wait := &ackWait{worker: w}
	s.awaitingAck = append(s.awaitingAck, wait)
	s.after(ackTimeout, func() {
		if !wait.done {
			wait.done = true
			s.pollWorker(w)
		}
	})
}

// wakeAckWaits polls the workers whose completions have become durable.
func (s *Simulation) wakeAckWaits() {
	kept := s.awaitingAck[:0]
	for _, wait := range s.awaitingAck {
		if wait.done {
			continue
		}
		if _, pending := s.core.AcksChanged(wait.worker.id); pending {
			kept = append(kept, wait)
			continue
		}
		wait.done = true
		s.pollWorker(wait.worker)
	}
	s.awaitingAck = kept
}

// write writes the progress that waits, one batch after the other.
func (s *Simulation) write() {
	s.processor.submit(func() (time.Duration, func()) {
		batch := s.core.CollectBatch(maxBatchRows)
		if batch.Empty() {
			return 0, func() { s.after(writeInterval, s.write) }
		}
		s.report.writes++
		return s.costs.Batch, func() { s.after(storeDelay, func() { s.stored(batch) }) }
	})
}

// maxBatchRows limits the rows of one write, as in process/node.
const maxBatchRows = 80

func (s *Simulation) stored(batch cell.Batch) {
	s.processor.submit(func() (time.Duration, func()) {
		s.core.BatchStored(batch, true, s.now)
		return 0, func() {
			s.wakeAckWaits()
			s.after(writeInterval, s.write)
		}
	})
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
