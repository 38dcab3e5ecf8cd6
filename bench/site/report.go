package site

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lentiltide/lentiltide/version/cell"
)

// Report is the outcome of a run.
type Report struct {
	// Kinds are the outcomes by kind of request.
	Kinds map[string]KindReport
	// Effort is what the decisions examined, and Processor the share of its processor that the leader used during the load.
	Effort    cell.Effort
	Processor float64
	// LongestWait is the longest time for which a call waited for the processor.
	LongestWait time.Duration
	// Services are the service tasks, those with the longest time without a run first.
	Services []ServiceTask

	// stages are the durations of the stages by kind of request.
	stages map[string]*stageTimes

	starts, polls, writes, adviceCalls int
}

// KindReport is the outcome of the jobs of one kind.
type KindReport struct {
	Jobs, InTime, Unfinished int
	// StartP50 and StartP99 are quantiles of the time from the submission to the first start.
	StartP50, StartP99 time.Duration
	// BySecond are the jobs, and those in time, by the second of their submission.
	BySecond [][2]int
}

// Share returns the share of the jobs that were in time.
func (k KindReport) Share() float64 { return float64(k.InTime) / float64(max(k.Jobs, 1)) }

// Starts returns the number of started tasks.
func (r *Report) Starts() int { return r.starts }

// ExaminedPerStart returns the number of workers that decisions examined for each started task.
func (r *Report) ExaminedPerStart() float64 {
	return float64(r.Effort.Examined()) / float64(max(r.starts, 1))
}

// finish fills in the outcome after a load of a length.
func (r *Report) finish(s *Simulation, length time.Duration) {
	for _, l := range append(s.formerLeaders, s.leader) {
		r.Effort = sum(r.Effort, l.core.Load().Effort)
		r.Processor += l.processor.used.Seconds() / length.Seconds() / l.processor.share
		r.LongestWait = max(r.LongestWait, l.processor.longestWait)
	}
	r.Services = s.services.outcome()
	r.Kinds = map[string]KindReport{}
	starts := map[string][]time.Duration{}
	for _, k := range s.site.Kinds {
		r.Kinds[k.Name] = KindReport{BySecond: make([][2]int, int(length/time.Second)+1)}
	}
	for _, j := range s.jobs {
		k := r.Kinds[j.Kind]
		k.Jobs++
		second := &k.BySecond[int(j.SubmittedAt/time.Second)]
		second[0]++
		if j.inTime(s.kinds[j.Kind]) {
			k.InTime++
			second[1]++
		}
		if j.FinishedAt == 0 && !s.kinds[j.Kind].LongRunning {
			k.Unfinished++
		}
		r.recordStages(j)
		if j.StartedAt > 0 {
			starts[j.Kind] = append(starts[j.Kind], j.StartedAt-j.SubmittedAt)
		}
		r.Kinds[j.Kind] = k
	}
	for name, times := range starts {
		slices.Sort(times)
		k := r.Kinds[name]
		k.StartP50, k.StartP99 = quantile(times, 0.5), quantile(times, 0.99)
		r.Kinds[name] = k
	}
}

// sum returns the effort of two leaders.
func sum(a, b cell.Effort) cell.Effort {
	return cell.Effort{
		Rounds: a.Rounds + b.Rounds, Placement: a.Placement + b.Placement, Advice: a.Advice + b.Advice,
		Planning: a.Planning + b.Planning, Preemption: a.Preemption + b.Preemption, Sweep: a.Sweep + b.Sweep,
	}
}

// BrokenServices returns the service tasks that were without a run for longer than the rule allows, whatever room there was.
func (r *Report) BrokenServices() []ServiceTask {
	var broken []ServiceTask
	for _, t := range r.Services {
		if t.BrokenAt > 0 {
			broken = append(broken, t)
		}
	}
	return broken
}

// recordStages records the stages of a job up to the start of its first task.
func (r *Report) recordStages(j *Job) {
	stages := r.stages[j.Kind]
	ends := []struct {
		stage Stage
		at    time.Duration
	}{{StageRecord, j.addedAt}, {StageQueue, j.askedAt}, {StageAdvice, j.answeredAt}, {StageDecision, j.StartedAt}, {StageCommand, j.commandAt}}
	from := j.SubmittedAt
	for _, e := range ends {
		if e.at == 0 {
			return
		}
		stages.record(e.stage, max(0, e.at-from))
		from = max(from, e.at)
	}
}

// Stage returns the p50 and p99 of a stage of a kind of request.
func (r *Report) Stage(kind string, s Stage) (p50, p99 time.Duration) {
	return r.stages[kind].quantiles(s)
}

func quantile(sorted []time.Duration, share float64) time.Duration {
	return sorted[int(share*float64(len(sorted)-1))]
}

// String returns the report as text.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "processor %.2f of its share, longest wait %v, %d starts, %d polls, %d writes, %d requests for advice\n",
		r.Processor, r.LongestWait.Round(time.Millisecond), r.starts, r.polls, r.writes, r.adviceCalls)
	fmt.Fprintf(&b, "workers examined for each start: %.0f (%+v)\n", r.ExaminedPerStart(), r.Effort)
	names := make([]string, 0, len(r.Kinds))
	for name := range r.Kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		k := r.Kinds[name]
		fmt.Fprintf(&b, "%-14s %5d jobs, %.3f in time, %d unfinished, first start p50 %v, p99 %v\n", name, k.Jobs, k.Share(), k.Unfinished,
			k.StartP50.Round(time.Millisecond), k.StartP99.Round(time.Millisecond))
		fmt.Fprintf(&b, "  stages, p50 and p99: %s\n", r.stages[name])
	}
	if len(r.Services) > 0 {
		fmt.Fprintf(&b, "%d service tasks, %d without a run for too long; longest absence: %s\n", len(r.Services), len(r.BrokenServices()), r.Services[0])
	}
	return b.String()
}
