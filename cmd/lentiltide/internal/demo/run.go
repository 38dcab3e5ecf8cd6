package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide"
	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/standin/cell"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
)

const (
	// sessionRenewInterval and sessionTTL are shorter than in production, so that the takeover after the killed instance
	// fits into a short demo.
	sessionRenewInterval = 300 * time.Millisecond
	sessionTTL           = 1500 * time.Millisecond
	// finishTimeout is how long confirmed work may take to finish after the last call.
	finishTimeout = 8 * time.Second
	// cancelTimeout is how long cancelled work may continue to run.
	cancelTimeout = 3 * time.Second
	// progressInterval is the interval between progress lines.
	progressInterval = time.Second
	// pollInterval is the interval at which the observer is polled.
	pollInterval = 50 * time.Millisecond
)

// confirmedIntent is an intent that the demo has confirmed.
type confirmedIntent struct {
	id   string
	spec model.IntentSpec
}

// taskIDs returns the ids of the intent's tasks, or nil for kinds whose tasks start only after the confirmation, on calls
// or a schedule.
func (c confirmedIntent) taskIDs() []model.TaskID {
	if c.spec.Kind.IsTemplate() {
		return nil
	}
	ids := make([]model.TaskID, c.spec.Tasks)
	for i := range ids {
		ids[i] = model.NewTaskID(c.id, 0, i)
	}
	return ids
}

// deploymentRun is one run of a deployment.
type deploymentRun struct {
	deployment deployment
	printer    *printer
	cell       *cell.Cell
	client     *client
	history    *history.Recorder
	intents    []confirmedIntent
	// lost is the number of entries of missingWork at the end of the run.
	lost int

	// mu protects the fields below.
	mu            sync.Mutex
	answeredCalls map[string]string // payload to the wrong answer, or to "" if the answer was right
	calls         callCounts
	callErrors    map[string]string // verdict and code to the message of one such error
}

func (r *deploymentRun) printf(format string, args ...any) {
	r.printer.printLine(r.deployment.Name, format, args...)
}

// run runs the deployment: it confirms the intents, sends the calls while an instance is killed, and reports the results.
func (r *deploymentRun) run(ctx context.Context) error {
	instances, err := r.start()
	defer r.stop(instances)
	if err != nil {
		return err
	}
	callIntent, err := r.confirmAll(ctx)
	if err != nil {
		return err
	}
	stopProgress := r.startProgress()
	killTimer := time.AfterFunc(time.Duration(r.deployment.KillInstanceAfterMS)*time.Millisecond, func() {
		r.killBusiestInstance(instances)
	})
	r.sendCalls(ctx, callIntent)
	killTimer.Stop()
	r.waitUntilEmpty(finishTimeout, r.missingWork)
	stopProgress()
	r.reportResults()
	r.explainUnfinished(ctx)
	return r.cancelServices(ctx)
}

// start starts the cell and its instances. On an error it returns the instances that are running, which must be stopped.
func (r *deploymentRun) start() ([]*lentiltide.Instance, error) {
	d := r.deployment
	c, err := cell.Start(cell.Options{
		Workers: d.Workers, PerRack: d.WorkersPerRack, Zones: d.Zones, Region: d.Region, Capacity: d.Capacity, Behave: taskBehavior,
		History: r.history, Name: d.Name,
	})
	if err != nil {
		return nil, err
	}
	c.Observer.SetNameOf(workID)
	r.cell = c
	log := logrus.New()
	log.SetOutput(io.Discard)
	var instances []*lentiltide.Instance
	var urls []string
	for i := range d.Instances {
		s := settings.Default()
		s.Instance, s.Region, s.Zone = instanceName(i), d.Region, d.Zones[i%len(d.Zones)]
		s.HTTPAddress, s.PeerAddress, s.PlatformURL = "127.0.0.1:0", "127.0.0.1:0", c.URL
		s.SessionRenewMS, s.SessionTermMS = sessionRenewInterval.Milliseconds(), sessionTTL.Milliseconds()
		in, err := lentiltide.Start(lentiltide.Options{Settings: s, Log: log, Seed: uint64(i)})
		if err != nil {
			return instances, err
		}
		r.recordInstance(s.Instance, history.ChangeBoot)
		instances, urls = append(instances, in), append(urls, in.URL())
	}
	r.client = newClient(urls)
	r.printf("%d instances, %d workers in %d availability zones", d.Instances, d.Workers, len(d.Zones))
	return instances, nil
}

// stop kills all instances and closes the cell. It may kill an instance a second time, which is harmless.
func (r *deploymentRun) stop(instances []*lentiltide.Instance) {
	var wg sync.WaitGroup
	for _, in := range instances {
		wg.Add(1)
		go func() {
			defer wg.Done()
			in.Kill()
		}()
	}
	wg.Wait()
	if r.cell != nil {
		r.cell.Close()
	}
}

// instanceName returns the name of the i-th instance.
func instanceName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// killBusiestInstance kills the instance that serves the most partitions.
func (r *deploymentRun) killBusiestInstance(instances []*lentiltide.Instance) {
	busiest, mostPartitions := 0, -1
	for i, in := range instances {
		if d := in.Dump(); len(d.Intents)+len(d.Racks) > mostPartitions {
			busiest, mostPartitions = i, len(d.Intents)+len(d.Racks)
		}
	}
	r.printf("killing instance %s, which serves %d partitions", instanceName(busiest), mostPartitions)
	name := instanceName(busiest)
	r.recordKill(name, history.ChangeBegin)
	instances[busiest].Kill()
	r.recordInstance(name, history.ChangeEnded)
	r.recordKill(name, history.ChangeEnd)
}

// taskBehavior makes calls answer with text that contains their payload; other tasks run as their spec declares.
func taskBehavior(task model.Task) standinworker.Behavior {
	b := standinworker.DefaultBehavior(task)
	if task.Kind == model.KindCall {
		b.Answer = []byte(answerFor(string(task.Payload)))
	}
	return b
}

func answerFor(payload string) string { return "done: " + payload }

// workID identifies a call by its payload, which is unique, and other work by its task id.
func workID(task model.Task) string {
	if task.Kind == model.KindCall {
		return string(task.Payload)
	}
	return string(task.ID)
}

// confirmAll plans and confirms the intents in order and returns the one that the calls use.
func (r *deploymentRun) confirmAll(ctx context.Context) (confirmedIntent, error) {
	var callIntent confirmedIntent
	for _, name := range r.deployment.Intents {
		c, err := r.confirm(ctx, r.deployment.specs[name])
		if err != nil {
			return callIntent, errors.Wrapf(err, "intent %s", name)
		}
		r.intents = append(r.intents, c)
		if name == r.deployment.Calls.Intent {
			callIntent = c
		}
	}
	return callIntent, nil
}

// confirm plans one intent, prints the plan and confirms it. If the plan has become stale, the intent is planned again.
func (r *deploymentRun) confirm(ctx context.Context, spec model.IntentSpec) (confirmedIntent, error) {
	for {
		plan, err := r.client.plan(ctx, spec)
		if err != nil {
			return confirmedIntent{}, err
		}
		r.printPlan(plan)
		c := confirmedIntent{id: plan.IntentID, spec: spec}
		now := time.Now()
		for _, id := range c.taskIDs() {
			r.cell.Observer.RecordSubmission(string(id), now)
		}
		r.recordJob(c.id, spec)
		call := r.recordCall(history.OperationSubmit, c.id)
		in, err := r.client.confirm(ctx, plan.ID)
		r.recordAnswer(call, err, history.VerdictAccepted)
		if isStale(err) {
			r.printf("the plan of %s is stale; stating the intent again", spec.Name)
			continue
		}
		if err != nil {
			return confirmedIntent{}, err
		}
		r.printf("confirmed %s as intent %s", spec.Name, in.ID)
		c.id = in.ID
		return c, nil
	}
}

func (r *deploymentRun) printPlan(p model.Plan) {
	placed, workers := 0, map[string]bool{}
	for _, placement := range p.Placements {
		if !placement.MustWait {
			placed++
			workers[placement.Worker] = true
		}
	}
	r.printf("plan for %s %q: %d of %d tasks start now on %d workers, %d wait, displaces %d",
		p.Spec.Kind, p.Spec.Name, placed, len(p.Placements), len(workers), len(p.Placements)-placed, len(p.Displacements))
}

// startProgress prints the observer's counts at intervals until the returned function is called.
func (r *deploymentRun) startProgress() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				counts, calls := r.cell.Observer.Counts(), r.callCounts()
				r.printf("started %d, finished %d; calls sent %d, answered %d", counts.TasksStarted, counts.TasksFinished, calls.sent, calls.ran)
			case <-done:
				return
			}
		}
	}()
	return func() {
		close(done)
		wg.Wait()
	}
}

// waitUntilEmpty polls until pending returns no entries or the timeout has passed.
func (r *deploymentRun) waitUntilEmpty(timeout time.Duration, pending func() []string) {
	for deadline := time.Now().Add(timeout); len(pending()) > 0 && time.Now().Before(deadline); {
		time.Sleep(pollInterval)
	}
}

// missingWork describes confirmed tasks and answered calls that have not finished according to the observer, calls with a
// wrong answer, and service tasks that are not running.
func (r *deploymentRun) missingWork() []string {
	var descriptions []string
	for _, c := range r.intents {
		for _, id := range c.taskIDs() {
			if c.spec.Kind.Restarts() && r.cell.Observer.Running(id) == 0 {
				descriptions = append(descriptions, fmt.Sprintf("%s task %s does not run", c.spec.Kind, id))
			}
			if !c.spec.Kind.Restarts() && r.cell.Observer.Finished(id) == 0 {
				descriptions = append(descriptions, fmt.Sprintf("%s task %s has not finished", c.spec.Kind, id))
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for payload, wrongAnswer := range r.answeredCalls {
		if r.cell.Observer.Finished(model.TaskID(payload)) == 0 {
			descriptions = append(descriptions, fmt.Sprintf("call %s was answered but has not finished", payload))
		}
		if wrongAnswer != "" {
			descriptions = append(descriptions, fmt.Sprintf("call %s got the answer %q of another", payload, wrongAnswer))
		}
	}
	return descriptions
}

// reportResults counts lost work and prints the faults and counts of the observer and the callers.
func (r *deploymentRun) reportResults() {
	lost := r.missingWork()
	r.lost = len(lost)
	for _, line := range append(lost[:min(len(lost), 10)], r.cell.Observer.Faults()...) {
		r.printf("FAULT: %s", line)
	}
	counts, calls := r.cell.Observer.Counts(), r.callCounts()
	r.printf("calls: %d sent, %d ran, %d did not run, %d may have run", calls.sent, calls.ran, calls.notRun, calls.mayHaveRun)
	r.mu.Lock()
	for key, example := range r.callErrors {
		r.printf("  %s, for example: %s", key, example)
	}
	r.mu.Unlock()
	r.printf("observer: started %d, finished %d, double runs %d, overcommits %d, lost %d, wait p50 %.1f ms, p99 %.1f ms",
		counts.TasksStarted, counts.TasksFinished, counts.DoubleRuns+counts.Reruns, counts.Overcommits, r.lost,
		counts.WaitP50MS, counts.WaitP99MS)
}

// explainUnfinished prints the scheduler's explanation for the first unfinished task of each intent.
func (r *deploymentRun) explainUnfinished(ctx context.Context) {
	for _, c := range r.intents {
		for _, id := range c.taskIDs() {
			if c.spec.Kind.Restarts() || r.cell.Observer.Finished(id) > 0 {
				continue
			}
			e, err := r.client.explain(ctx, c.id, id)
			if err != nil {
				r.printf("explain %s: %v", id, err)
				break
			}
			r.printf("%s is %s: %s", id, e.Task.State, strings.Join(e.Reasons, "; "))
			break
		}
	}
}

// cancelServices cancels the intents of service tasks, which would run for ever, and waits for at most cancelTimeout until
// no task runs.
func (r *deploymentRun) cancelServices(ctx context.Context) error {
	for _, c := range r.intents {
		if !c.spec.Kind.Restarts() {
			continue
		}
		call := r.recordCall(history.OperationCancel, c.id)
		err := r.client.cancel(ctx, c.id)
		r.recordAnswer(call, err, history.VerdictCancelled)
		if err != nil {
			return err
		}
		r.printf("cancelled %s", c.spec.Name)
	}
	r.waitUntilEmpty(cancelTimeout, func() []string {
		var running []string
		for _, c := range r.intents {
			for _, id := range c.taskIDs() {
				if r.cell.Observer.Running(id) > 0 {
					running = append(running, string(id))
				}
			}
		}
		return running
	})
	return nil
}
