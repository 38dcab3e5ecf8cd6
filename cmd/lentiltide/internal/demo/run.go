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
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/standin/cell"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
)

const (
	// sessionRenew and sessionTerm are shorter than in production, so that the takeover fits into a short demo.
	sessionRenew = 300 * time.Millisecond
	sessionTerm  = 1500 * time.Millisecond
	// finishBound is how long confirmed work may take after the last call.
	finishBound = 8 * time.Second
	// cancelBound is how long cancelled work may go on.
	cancelBound = 3 * time.Second
	// progressEvery is the time between progress lines.
	progressEvery = time.Second
	// pollEvery is the time between looks at the observer.
	pollEvery = 50 * time.Millisecond
)

// confirmed is an intent that the demo confirmed.
type confirmed struct {
	id   string
	spec model.IntentSpec
}

// tasks returns the ids of the tasks of the first run.
func (c confirmed) tasks() []model.TaskID {
	if c.spec.Kind.Standing() {
		return nil
	}
	ids := make([]model.TaskID, c.spec.Tasks)
	for i := range ids {
		ids[i] = model.NewTaskID(c.id, 0, i)
	}
	return ids
}

// run is one deployment at work.
type run struct {
	deployment deployment
	printer    *printer
	cell       *cell.Cell
	client     *client
	intents    []confirmed
	lost       int

	// mu protects the fields below.
	mu       sync.Mutex
	answered map[string]string // call name to wrong answer, empty if right
	calls    callCounts
	refusals map[string]string // verdict and code to an example
}

func (r *run) say(format string, args ...any) { r.printer.line(r.deployment.Name, format, args...) }

func (r *run) run(ctx context.Context) error {
	instances, err := r.start()
	defer r.stop(instances)
	if err != nil {
		return err
	}
	calls, err := r.confirmAll(ctx)
	if err != nil {
		return err
	}
	stopProgress := r.progress()
	kill := time.AfterFunc(time.Duration(r.deployment.KillInstanceAfterMS)*time.Millisecond, func() {
		r.kill(instances)
	})
	r.sendCalls(ctx, calls)
	kill.Stop()
	r.await(finishBound, r.missing)
	stopProgress()
	r.check()
	r.explainUnfinished(ctx)
	return r.cancelServices(ctx)
}

// start starts the cell and its instances.
func (r *run) start() ([]*lentiltide.Instance, error) {
	d := r.deployment
	c, err := cell.Start(cell.Options{
		Workers: d.Workers, PerRack: d.WorkersPerRack, Zones: d.Zones, Region: d.Region, Capacity: d.Capacity, Behave: behave,
	})
	if err != nil {
		return nil, err
	}
	c.Observer.Identify(identify)
	r.cell = c
	log := logrus.New()
	log.SetOutput(io.Discard)
	var instances []*lentiltide.Instance
	var urls []string
	for i := range d.Instances {
		s := settings.Default()
		s.Instance, s.Region, s.Zone = fmt.Sprintf("entry-%d", i+1), d.Region, d.Zones[i%len(d.Zones)]
		s.HTTPAddress, s.PeerAddress, s.PlatformURL = "127.0.0.1:0", "127.0.0.1:0", c.URL
		s.SessionRenewMS, s.SessionTermMS = sessionRenew.Milliseconds(), sessionTerm.Milliseconds()
		in, err := lentiltide.Start(lentiltide.Options{Settings: s, Log: log, Seed: uint64(i)})
		if err != nil {
			return instances, err
		}
		instances, urls = append(instances, in), append(urls, in.URL())
	}
	r.client = newClient(urls)
	r.say("%d instances, %d workers in %d availability zones", d.Instances, d.Workers, len(d.Zones))
	return instances, nil
}

// stop ends all instances and the cell. Killing an instance twice does no harm.
func (r *run) stop(instances []*lentiltide.Instance) {
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

// kill ends the instance that serves most partitions.
func (r *run) kill(instances []*lentiltide.Instance) {
	victim, most := 0, -1
	for i, in := range instances {
		if d := in.Dump(); len(d.Intents)+len(d.Racks) > most {
			victim, most = i, len(d.Intents)+len(d.Racks)
		}
	}
	r.say("killing instance entry-%d, which serves %d partitions", victim+1, most)
	instances[victim].Kill()
}

// behave runs calls with an answer that names the order, and other work as declared.
func behave(task model.Task) standinworker.Behavior {
	b := standinworker.DefaultBehavior(task)
	if task.Kind == model.KindCall {
		b.Answer = []byte(answerTo(string(task.Payload)))
	}
	return b
}

func answerTo(order string) string { return "done: " + order }

// identify names a call by its order, which the caller chose, and other work by its task id.
func identify(task model.Task) string {
	if task.Kind == model.KindCall {
		return string(task.Payload)
	}
	return string(task.ID)
}

// confirmAll states, shows and confirms the intents in order and returns the one that is called.
func (r *run) confirmAll(ctx context.Context) (confirmed, error) {
	var calls confirmed
	for _, name := range r.deployment.Intents {
		c, err := r.confirm(ctx, r.deployment.specs[name])
		if err != nil {
			return calls, errors.Wrapf(err, "intent %s", name)
		}
		r.intents = append(r.intents, c)
		if name == r.deployment.Calls.Intent {
			calls = c
		}
	}
	return calls, nil
}

// confirm states one intent, shows its plan and confirms it. A plan that has become stale is stated again.
func (r *run) confirm(ctx context.Context, spec model.IntentSpec) (confirmed, error) {
	for {
		plan, err := r.client.plan(ctx, spec)
		if err != nil {
			return confirmed{}, err
		}
		r.showPlan(plan)
		c := confirmed{id: plan.IntentID, spec: spec}
		now := time.Now()
		for _, id := range c.tasks() {
			r.cell.Observer.Submitted(string(id), now)
		}
		in, err := r.client.confirm(ctx, plan.ID)
		if isStale(err) {
			r.say("the plan of %s is stale; stating the intent again", spec.Name)
			continue
		}
		if err != nil {
			return confirmed{}, err
		}
		r.say("confirmed %s as intent %s", spec.Name, in.ID)
		c.id = in.ID
		return c, nil
	}
}

func (r *run) showPlan(p model.Plan) {
	placed, workers := 0, map[string]bool{}
	for _, pl := range p.Placements {
		if !pl.Waits {
			placed++
			workers[pl.Worker] = true
		}
	}
	r.say("plan for %s %q: %d of %d tasks start now on %d workers, %d wait, displaces %d",
		p.Spec.Kind, p.Spec.Name, placed, len(p.Placements), len(workers), len(p.Placements)-placed, len(p.Displaces))
}

// progress prints what the observer counts until the returned function is called.
func (r *run) progress() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		ticker := time.NewTicker(progressEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				counts, calls := r.cell.Observer.Counts(), r.callCounts()
				r.say("started %d, finished %d; calls sent %d, answered %d", counts.TasksStarted, counts.TasksFinished, calls.sent, calls.ran)
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

// await waits until missing returns nothing, at most bound.
func (r *run) await(bound time.Duration, missing func() []string) {
	for end := time.Now().Add(bound); len(missing()) > 0 && time.Now().Before(end); {
		time.Sleep(pollEvery)
	}
}

// missing lists confirmed work and answered calls that the observer did not see finish, and services that do not run.
func (r *run) missing() []string {
	var names []string
	for _, c := range r.intents {
		for _, id := range c.tasks() {
			if c.spec.Kind.Restarts() && r.cell.Observer.Running(id) == 0 {
				names = append(names, fmt.Sprintf("%s task %s does not run", c.spec.Kind, id))
			}
			if !c.spec.Kind.Restarts() && r.cell.Observer.Finished(id) == 0 {
				names = append(names, fmt.Sprintf("%s task %s has not finished", c.spec.Kind, id))
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for order, wrong := range r.answered {
		if r.cell.Observer.Finished(model.TaskID(order)) == 0 {
			names = append(names, fmt.Sprintf("call %s was answered but has not finished", order))
		}
		if wrong != "" {
			names = append(names, fmt.Sprintf("call %s got the answer %q of another", order, wrong))
		}
	}
	return names
}

// check counts lost work and prints what the observer saw.
func (r *run) check() {
	lost := r.missing()
	r.lost = len(lost)
	for _, line := range append(lost[:min(len(lost), 10)], r.cell.Observer.Faults()...) {
		r.say("FAULT: %s", line)
	}
	counts, calls := r.cell.Observer.Counts(), r.callCounts()
	r.say("calls: %d sent, %d ran, %d did not run, %d may have run", calls.sent, calls.ran, calls.notRun, calls.unknown)
	r.mu.Lock()
	for key, example := range r.refusals {
		r.say("  %s, for example: %s", key, example)
	}
	r.mu.Unlock()
	r.say("observer: started %d, finished %d, double runs %d, overcommits %d, lost %d, wait p50 %.1f ms, p99 %.1f ms",
		counts.TasksStarted, counts.TasksFinished, counts.DoubleRuns+counts.Reruns, counts.Overcommits, r.lost,
		counts.WaitP50MS, counts.WaitP99MS)
}

// explainUnfinished prints why the first unfinished task of each intent has not finished, as the scheduler sees it.
func (r *run) explainUnfinished(ctx context.Context) {
	for _, c := range r.intents {
		for _, id := range c.tasks() {
			if c.spec.Kind.Restarts() || r.cell.Observer.Finished(id) > 0 {
				continue
			}
			e, err := r.client.explain(ctx, c.id, id)
			if err != nil {
				r.say("explain %s: %v", id, err)
				break
			}
			r.say("%s is %s: %s", id, e.Task.State, strings.Join(e.Reasons, "; "))
			break
		}
	}
}

// cancelServices ends the work that would run for ever.
func (r *run) cancelServices(ctx context.Context) error {
	for _, c := range r.intents {
		if !c.spec.Kind.Restarts() {
			continue
		}
		if err := r.client.cancel(ctx, c.id); err != nil {
			return err
		}
		r.say("cancelled %s", c.spec.Name)
	}
	r.await(cancelBound, func() []string {
		var running []string
		for _, c := range r.intents {
			for _, id := range c.tasks() {
				if r.cell.Observer.Running(id) > 0 {
					running = append(running, string(id))
				}
			}
		}
		return running
	})
	return nil
}
