package site

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// Kind is a kind of request: what its jobs are like and how many arrive.
type Kind struct {
	Name string
	// PerSecond is the mean rate of arrivals; between BurstFrom and BurstUntil it is BurstFactor times as high.
	PerSecond             float64
	BurstFactor           float64
	BurstFrom, BurstUntil time.Duration
	// MinWidth and MaxWidth, if set, limit the width of a step, which is uniform between them then.
	MinWidth, MaxWidth int
	// Steps, Width, TaskTime and CPUMilli are means; the steps of a job run one after the other.
	Steps, Width float64
	TaskTime     time.Duration
	CPUMilli     int64
	MemoryMiB    int64
	// LongRunning marks tasks that run until the end.
	LongRunning bool
	// Checkpoints marks tasks that may be preempted.
	Checkpoints bool
	Priority    int
	Objective   time.Duration
	Stretch     float64
	Advice      job.Advice
	// Approved is the share of workers that the placement policy permits for a step.
	Approved float64
}

// Site is a deployment.
type Site struct {
	Instances, Workers int
	// CPUShare is the part of a processor that the leader has.
	CPUShare float64
	Kinds    []Kind
	// StallAt is when the leader stands still for StallFor, as after the loss of many instances.
	StallAt, StallFor time.Duration
	// Disturbances are what else goes wrong.
	Disturbances Disturbances
}

// Large is a deployment of 1,100 workers with quick jobs that come in a burst beside batches and services.
func Large() Site {
	return Site{
		Instances: 147, Workers: 1100, CPUShare: 0.8,
		Kinds: []Kind{
			{
				Name: "booking", PerSecond: 62, BurstFactor: 1.9, BurstFrom: 8 * time.Second, BurstUntil: 12 * time.Second,
				Steps: 1.6, Width: 13, TaskTime: 540 * time.Millisecond, CPUMilli: 3500, MemoryMiB: 7200,
				Priority: 0, Objective: 250 * time.Millisecond, Stretch: 1.5,
				Advice: job.Advice{DecisionMS: 29.9, PerWorkerMS: 0.416, ValidityMS: 2500}, Approved: 0.7,
			},
			{
				Name: "fleet-audit", PerSecond: 6.6, BurstFactor: 1.6, BurstFrom: 21 * time.Second, BurstUntil: 25 * time.Second,
				Steps: 2, Width: 26, TaskTime: 5100 * time.Millisecond, CPUMilli: 4500, MemoryMiB: 13000, Checkpoints: true,
				Priority: 2, Objective: 1200 * time.Millisecond, Stretch: 2.2,
				Advice: job.Advice{DecisionMS: 559, PerWorkerMS: 7.93, ValidityMS: 2500}, Approved: 0.35,
			},
			{
				Name: "repair-watch", PerSecond: 0.46, BurstFactor: 1,
				Steps: 1, Width: 40, TaskTime: 45 * time.Second, CPUMilli: 4500, MemoryMiB: 13000, LongRunning: true,
				Priority: 1, Objective: 2500 * time.Millisecond, Stretch: 2.2,
				Advice: job.Advice{DecisionMS: 416, PerWorkerMS: 5.98, ValidityMS: 2500}, Approved: 0.35,
			},
		},
	}
}

// Scaled returns the site with a multiple of its instances, workers and arrivals.
func (s Site) Scaled(factor float64) Site {
	out := s
	out.Instances = max(1, int(math.Round(float64(s.Instances)*factor)))
	out.Workers = max(1, int(math.Round(float64(s.Workers)*factor)))
	out.Kinds = append([]Kind(nil), s.Kinds...)
	for i := range out.Kinds {
		out.Kinds[i].PerSecond *= factor
	}
	return out
}

// rate returns the arrivals per second at a time.
func (k Kind) rate(at time.Duration) float64 {
	if at >= k.BurstFrom && at < k.BurstUntil {
		return k.PerSecond * k.BurstFactor
	}
	return k.PerSecond
}

// nextArrival returns when the job after one at a time arrives.
func (k Kind) nextArrival(rng *rand.Rand, at time.Duration) time.Duration {
	return at + time.Duration(rng.ExpFloat64()/k.rate(at)*float64(time.Second))
}

// queue returns the queue of the kind.
func (k Kind) queue() job.Queue {
	advice := k.Advice
	return job.Queue{
		Name: k.Name, Service: service, Priority: k.Priority, MaxAttempts: 4, Stretch: k.Stretch, ObjectiveMS: k.Objective.Milliseconds(),
		Advice: &advice,
	}
}

const (
	// maxSteps and maxWidth limit the steps of a job and their tasks.
	maxSteps, maxWidth = 5, 200
	// taskTimeSpread is how far the duration of a task may differ from its mean, as a share of it.
	taskTimeSpread = 0.5
	// slowTasks is the share of tasks that take slowFactor times as long.
	slowTasks, slowFactor = 0.03, 7.0
)

// steps draws the steps of a job.
func (k Kind) steps(rng *rand.Rand) []job.Step {
	n := 1
	for n < maxSteps && rng.Float64() < 1-1/k.Steps {
		n++
	}
	steps := make([]job.Step, n)
	for i := range steps {
		steps[i] = job.Step{
			Count:       k.width(rng),
			TaskDemand:  k.demand(),
			EstimateMS:  k.TaskTime.Milliseconds(),
			LongRunning: k.LongRunning, Checkpoints: k.Checkpoints,
		}
		if i > 0 {
			steps[i].DependsOn = []int{i - 1}
		}
	}
	return steps
}

// width draws the number of tasks of a step.
func (k Kind) width(rng *rand.Rand) int {
	if k.MaxWidth > 0 {
		return k.MinWidth + rng.IntN(k.MaxWidth-k.MinWidth+1)
	}
	return min(maxWidth, 1+int(rng.ExpFloat64()*(k.Width-1)))
}

// demand returns the demand of a task.
func (k Kind) demand() model.Resources {
	return model.Resources{CPUMilli: k.CPUMilli, MemoryMiB: k.MemoryMiB}
}

// taskTime draws the duration of a task.
func (k Kind) taskTime(rng *rand.Rand) time.Duration {
	d := float64(k.TaskTime) * (1 - taskTimeSpread + 2*taskTimeSpread*rng.Float64())
	if rng.Float64() < slowTasks {
		d *= slowFactor
	}
	return time.Duration(d)
}
