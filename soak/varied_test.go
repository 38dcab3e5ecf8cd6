package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/standin/wire"
)

const (
	// variedClient is the number of the first client with varied jobs; each kind of job has a client.
	variedClient = 0x40
	// calmLoadTime is how long the load goes on after the faults, so that all instances are in touch.
	calmLoadTime = 8 * time.Second
	// drainRemaining is how long a worker drains, drainDowntime the time until it is back, and drainPause the time between two drains.
	drainRemaining, drainDowntime, drainPause = 3 * time.Second, 500 * time.Millisecond, 1500 * time.Millisecond
	// longestCancelDelay is the longest time from the acceptance of a job to its cancellation by its client. Every second job is cancelled
	// at once, while its tasks start.
	longestCancelDelay = 900 * time.Millisecond
	// firstDue and occurrenceInterval are the times of the occurrences of jobs with times, and occurrences their number.
	firstDue, occurrenceInterval, occurrences = 800 * time.Millisecond, 700 * time.Millisecond, 2
	// missingLabel is a label that no worker has.
	missingLabel = "none"
)

// variedKind is a kind of job beside the ordinary ones.
type variedKind struct {
	// steps are the steps of a job, of tasks of one core.
	steps []wire.Step
	// repetitions is the number of its occurrences; 0 for a job without times.
	repetitions int
	// fails means that its tasks fail, cancels that the client cancels each job soon after its acceptance, and waits that it submits
	// one job and cancels it when the load ends.
	fails, cancels, waits bool
	// overdue means that all occurrences are due when the job is submitted.
	overdue bool
	// taskTime is the run time of its tasks, and estimate what clients say of it; 0 for the run time.
	taskTime, estimate time.Duration
}

// variedKinds are the kinds, in the order of the numbers of their clients.
var variedKinds = []variedKind{
	{steps: []wire.Step{{Tasks: 2}, {Tasks: 1, DependsOn: []int{0}}}, taskTime: taskTime},
	{steps: []wire.Step{{Tasks: 1}}, repetitions: occurrences, taskTime: taskTime},
	{steps: []wire.Step{{Tasks: 3, RequiredLabel: rackLabel(0), MaxPerWorker: 1}}, taskTime: taskTime},
	{steps: []wire.Step{{Tasks: 1}}, fails: true, taskTime: taskTime},
	{steps: []wire.Step{{Tasks: 2}}, cancels: true, taskTime: longTaskTime},
	{steps: []wire.Step{{Tasks: 1, RequiredLabel: missingLabel}}, waits: true},
	{steps: []wire.Step{{Tasks: 1, Speculative: true}}, taskTime: mediumTaskTime, estimate: mediumTaskTime / 10},
	{steps: []wire.Step{{Tasks: 3, Gang: true}}, taskTime: taskTime},
}

// kindOf returns the kind of a job or task of a client with varied jobs, or nil.
func kindOf(id string) *variedKind {
	if len(id) < 12 || id[8:10] != "00" {
		return nil
	}
	switch id[10] {
	case '4':
		return &variedKinds[id[11]-'0']
	case '5':
		return &backlogKinds[id[11]-'0']
	}
	return nil
}

// finalState returns the state in which a job of the kind must end.
func (k *variedKind) finalState() job.State {
	switch {
	case k.fails:
		return job.Failed
	case k.cancels || k.waits:
		return job.Cancelled
	}
	return job.Completed
}

// tasksOf returns the names of the tasks of a job of the kind.
func (k *variedKind) tasksOf(id string) []string {
	var names []string
	for occurrence := range max(1, k.repetitions) {
		for step, s := range k.steps {
			for index := range s.Tasks {
				names = append(names, fmt.Sprintf("%s.%d.%d.%d", id, occurrence, step, index))
			}
		}
	}
	return names
}

// behavior returns how workers run the tasks of the kind. Only kinds of one step have copies or gangs.
func (k *variedKind) behavior(each model.Resources) backends.TaskBehavior {
	behavior := backends.TaskBehavior{
		Resources: each, Duration: k.taskTime, Speculative: k.steps[0].Speculative, FailsOn: func(string) bool { return k.fails },
	}
	if k.steps[0].Gang {
		behavior.Gang = k.steps[0].Tasks
	}
	return behavior
}

// body returns the request body that submits a job of the kind now.
func (k *variedKind) body() string {
	j := wire.Job{Steps: make([]wire.Step, len(k.steps)), Repetitions: k.repetitions}
	for i, s := range k.steps {
		s.Each, s.Estimate = model.Resources{CPUMilli: 1000, MemoryMiB: 100}, cmp.Or(k.estimate, k.taskTime)
		j.Steps[i] = s
	}
	if k.repetitions > 0 {
		j.StartAt, j.Interval = time.Now().Add(firstDue), occurrenceInterval
	}
	if k.overdue {
		j.StartAt = time.Now().Add(-time.Duration(k.repetitions) * j.Interval)
	}
	return j.Body()
}

// TestSoakWithVariedJobs guards against the same as TestSoak with jobs of dependent steps, with times, with labels and a limit for each
// worker, of gangs and copies, with tasks that fail, and with cancellations, while workers drain; and against rules that instances in
// touch break: the load goes on after the faults.
func TestSoakWithVariedJobs(t *testing.T) {
	for _, seed := range seedsToRun(nil) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, *nodeCount, 8)
			time.Sleep(1500 * time.Millisecond)
			answers := newAnswerRecord()
			stop := make(chan struct{})
			var load sync.WaitGroup
			load.Go(func() { c.submitJobs(seed, 0, answers, stop) })
			for i := range variedKinds {
				load.Go(func() { c.submitVaried(seed, i, answers, stop) })
			}
			c.readStates(seed, answers, stop, &load)
			load.Go(func() { c.drainWorkers(rand.New(rand.NewPCG(seed, 8)), stop) })
			load.Go(func() { c.readWaiting(stop) })
			c.injectFaults(rand.New(rand.NewPCG(seed, 9)), *faultTime/2)
			time.Sleep(calmLoadTime)
			close(stop)
			load.Wait()
			c.checkPromises(answers)
		})
	}
}

// submitVaried submits jobs of a kind to random nodes until stop is closed, and cancels them as the kind says.
func (c *cluster) submitVaried(seed uint64, kind int, answers *answerRecord, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, uint64(variedClient+kind)+100))
	k := &variedKinds[kind]
	var cancellations sync.WaitGroup
	defer cancellations.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(randomTime(rng, 200*time.Millisecond, 800*time.Millisecond)):
		}
		id := fmt.Sprintf("%08x%04x%04x", uint32(seed), variedClient+kind, i)
		accepted := c.submit(rng, id, k.body(), answers)
		switch {
		case accepted && k.waits:
			<-stop
			c.cancel(id)
			return
		case accepted && k.cancels:
			delay := time.Duration(i%2) * randomTime(rng, 0, longestCancelDelay)
			cancellations.Go(func() {
				time.Sleep(delay)
				c.cancel(id)
			})
		}
	}
}

// cancel cancels a job at one node after the other until one says that it is cancelled.
func (c *cluster) cancel(id string) {
	for i, end := 0, time.Now().Add(recoveryTimeout); time.Now().Before(end); i++ {
		if status, _ := c.call(c.nodes[i%len(c.nodes)], http.MethodDelete, id, ""); status == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Errorf("no node cancels job %s within %v", id, recoveryTimeout)
}

// drainWorkers lets random workers drain, one after the other, until stop is closed.
func (c *cluster) drainWorkers(rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(drainPause):
			id := workerName(rng.IntN(len(c.workerLinks)))
			c.t.Logf("%v: worker %s drains", time.Since(c.startedAt).Round(time.Millisecond), id)
			c.workers.Drain(id, drainRemaining, drainDowntime)
		}
	}
}

// readWaiting asks one node after the other for the number of waiting jobs until stop is closed.
func (c *cluster) readWaiting(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
			c.callPath(c.nodes[i%len(c.nodes)], http.MethodGet, testPrefix, "")
		}
	}
}
