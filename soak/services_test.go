package soak

import (
	"flag"
	"fmt"
	"hash/crc32"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/standin/wire"
)

var serviceModeName = flag.String("soak.mode", "", "mode of TestSoakWithServices; empty for one that the seed chooses")

const (
	// serviceClient is the number of the client with service jobs, and serviceJobs how many it submits, of tasksPerService tasks each.
	serviceClient, serviceJobs, tasksPerService = 0x30, 6, 2
	// serviceWorkers is the number of workers. All tasks fit those that are left, with room for a task that is away twice over.
	serviceWorkers = 10
	// mostLostWorkers is the number of workers that are lost at most, and lostForGood a downtime that no run outlasts.
	mostLostWorkers = 3
	lostForGood     = time.Hour
	// restartedWorkers is the number of workers that restart before some of them are lost, and workerDowntime how long that takes.
	restartedWorkers, workerDowntime = 5, 300 * time.Millisecond
	// leaderPause is how long a leader stands still, and leaderDowntime the time from the end of its process to the next one.
	leaderPause, leaderDowntime = 4 * time.Second, 200 * time.Millisecond
	// shortestServiceRun and serviceRunSpread are the range of the ages at which service tasks fail.
	shortestServiceRun, serviceRunSpread = 1500 * time.Millisecond, 3500 * time.Millisecond
	// shortestWorkerFailure and longestWorkerFailure are the range of the times for which workers fail all that they run.
	shortestWorkerFailure, longestWorkerFailure = 4 * time.Second, 8 * time.Second
	// mostLostLeaders is the number of leaders that are lost at most meanwhile.
	mostLostLeaders = 5
)

// Time bounds of the rule on service tasks: nothing of a task runs, from restartTime after its last run, for standstillTime, and this time
// and calmTime before it are without any disturbance.
const (
	restartTime    = 6 * time.Second
	standstillTime = 3 * time.Second
	calmTime       = 4 * time.Second
	// finishTime is how long after the end of the traffic jobs are asked for, and no job that could run stands still any more.
	finishTime = 14 * time.Second
)

// serviceMode is the way in which TestSoakWithServices loses workers and leaders.
type serviceMode struct {
	name string
	// pauses means that the first leader is paused instead of killed, and fails that service tasks fail meanwhile.
	pauses, fails bool
	// restarts means that the workers restart shortly before they are lost, and refuses that the store refuses meanwhile.
	restarts, refuses bool
	// failsWorkers means that instead of the losses of workers, half of them or more fail all that they run while leaders are lost and
	// two clients submit jobs, one of which goes on afterwards.
	failsWorkers bool
}

// serviceModes are the modes in the order in which successive seeds choose them.
var serviceModes = []serviceMode{
	{name: "killed"},
	{name: "paused", pauses: true},
	{name: "restarted", restarts: true},
	{name: "failing", fails: true},
	{name: "refused", refuses: true},
}

// failingWorkersMode is not among the modes that seeds choose, so that each seed keeps the mode in which it failed or passed before.
var failingWorkersMode = serviceMode{name: "failing-workers", failsWorkers: true}

// serviceCase is a seed of TestSoakWithServices with a fixed mode.
type serviceCase struct {
	mode serviceMode
	seed uint64
}

// name returns the name of the test of the case.
func (s serviceCase) name() string { return s.mode.name + "-" + fmt.Sprint(s.seed) }

// fixedServiceCases run beside the seeds of each run without a requested mode.
var fixedServiceCases = []serviceCase{{failingWorkersMode, 7301}}

// failedServiceSeeds are the failed seeds of TestSoakWithServices.
var failedServiceSeeds = []failedSeed{
	{2, "a task of workers that have restarted and are lost waits for leases that are counted from the latest takeover"},
}

// isService reports whether a job or task id is that of a client with service jobs.
func isService(id string) bool { return len(id) >= 12 && id[8:10] == "00" && id[10] == '3' }

// serviceBehavior returns the behavior of a service task. While services fail, its runs fail at an age that depends on its name.
func (c *cluster) serviceBehavior(task string, each model.Resources) backends.TaskBehavior {
	age := shortestServiceRun + time.Duration(crc32.ChecksumIEEE([]byte(task)))*time.Millisecond%serviceRunSpread
	return backends.TaskBehavior{Resources: each, Service: true, Duration: age, FailsOn: func(string) bool { return c.servicesFail.Load() }}
}

// TestSoakWithServices guards against service tasks that stay away, which no longer run although nothing is disturbed and there is room,
// after workers are lost for good, or fail all that they run, and leaders are lost in series.
func TestSoakWithServices(t *testing.T) {
	for _, seed := range seedsToRun(failedServiceSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runServices(t, serviceModeOf(t, seed), seed) })
	}
	if *serviceModeName != "" {
		return
	}
	for _, fixed := range fixedServiceCases {
		t.Run(fixed.name(), func(t *testing.T) { runServices(t, fixed.mode, fixed.seed) })
	}
}

// runServices runs service jobs, the load of a client and the faults of a mode with one seed, and checks that the service tasks return.
func runServices(t *testing.T, mode serviceMode, seed uint64) {
	c := newCluster(t, *nodeCount, serviceWorkers)
	time.Sleep(1500 * time.Millisecond)
	answers := newAnswerRecord()
	faultsEnded, stopLoad, stop := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var load, readers sync.WaitGroup
	load.Go(func() { c.submitJobs(seed, 0, answers, stopLoad) })
	if mode.failsWorkers {
		// Workers that are full fail several runs at once.
		load.Go(func() { c.submitJobs(seed, 1, answers, faultsEnded) })
	}
	c.readStates(seed, answers, stop, &readers)
	watch := newServiceWatch(c)
	c.submitServices(seed, answers, watch)
	readers.Go(func() { watch.run(stop) })
	(&serviceFaults{cluster: c, watch: watch, rng: rand.New(rand.NewPCG(seed, 7))}).run(mode)
	close(faultsEnded)
	if mode.failsWorkers {
		time.Sleep(calmLoadTime)
	}
	close(stopLoad)
	load.Wait()
	trafficEnd := time.Now()
	c.checkPromises(answers)
	time.Sleep(time.Until(trafficEnd.Add(finishTime)))
	c.askAgain(answers)
	watch.awaitRuns()
	close(stop)
	readers.Wait()
	watch.report(mode)
	assert.DeepEqual(t, c.workers.Violations(), []string(nil))
}

// serviceModeOf returns the requested mode, or the one that a seed chooses.
func serviceModeOf(t *testing.T, seed uint64) serviceMode {
	if *serviceModeName == "" {
		return serviceModes[seed%uint64(len(serviceModes))]
	}
	modes := append(slices.Clone(serviceModes), failingWorkersMode)
	i := slices.IndexFunc(modes, func(m serviceMode) bool { return m.name == *serviceModeName })
	if i < 0 {
		t.Fatalf("no mode %q", *serviceModeName)
	}
	return modes[i]
}

// submitServices submits the service jobs, each until a node accepts it, and watches their tasks.
func (c *cluster) submitServices(seed uint64, answers *answerRecord, watch *serviceWatch) {
	each := model.Resources{CPUMilli: 1000, MemoryMiB: 100}
	body := wire.Job{Steps: []wire.Step{{Tasks: tasksPerService, Each: each, Estimate: time.Second, Service: true}}}.Body()
	for i := range serviceJobs {
		id := fmt.Sprintf("%08x%04x%04x", uint32(seed), serviceClient, i)
		c.submitUntilAccepted(c.nodes[i%len(c.nodes)], id, body)
		answers.record(id, true)
		watch.add(tasksOf(id))
	}
}

// askAgain fails the test if a node does not know an accepted job.
func (c *cluster) askAgain(answers *answerRecord) {
	i := 0
	for id := range answers.accepted {
		n := c.nodes[i%len(c.nodes)]
		if status, answer := c.readState(n, id, answers); status != http.StatusOK {
			c.t.Errorf("%s does not know job %s %v after the end of the traffic: %d %s", n.name, id, finishTime, status, answer)
		}
		i++
	}
}

// serviceFaults loses workers and leaders under service tasks.
type serviceFaults struct {
	cluster *cluster
	watch   *serviceWatch
	rng     *rand.Rand
}

// run loses some workers for good, or lets them fail, and leaders in series, and returns when nothing is disturbed any more.
func (f *serviceFaults) run(mode serviceMode) {
	c := f.cluster
	c.pause(f.rng, 3*time.Second, 5*time.Second)
	if mode.failsWorkers {
		f.failWorkers()
		return
	}
	c.servicesFail.Store(mode.fails)
	candidates := c.workers.IDs()
	if mode.restarts {
		candidates = f.choose(candidates, restartedWorkers)
		f.disturb(fmt.Sprintf("restart of workers %v", candidates), func() { c.workers.Crash(backends.Crash{Downtime: workerDowntime}, candidates...) })
		c.pause(f.rng, 700*time.Millisecond, 2*time.Second)
	}
	lost := f.choose(candidates, 1+f.rng.IntN(mostLostWorkers))
	if mode.refuses {
		f.disturb("refusals of the store", func() {
			c.tables.SetFault(func(bool) backends.Fault { return backends.FaultRefused })
			f.lose(mode, lost)
			c.tables.SetFault(nil)
		})
	} else {
		f.lose(mode, lost)
	}
	c.servicesFail.Store(false)
}

// choose returns some of the workers at random, those with service tasks first.
func (f *serviceFaults) choose(workers []string, count int) []string {
	f.rng.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	services := f.watch.tasksByWorker()
	slices.SortStableFunc(workers, func(a, b string) int { return min(services[b], 1) - min(services[a], 1) })
	return slices.Clone(workers[:count])
}

// lose loses workers for good and leaders in series soon after.
func (f *serviceFaults) lose(mode serviceMode, lost []string) {
	c := f.cluster
	f.disturb(fmt.Sprintf("loss of workers %v", lost), func() { c.workers.Crash(backends.Crash{Downtime: lostForGood}, lost...) })
	c.pause(f.rng, 0, 1500*time.Millisecond)
	kills := 1 + f.rng.IntN(2)
	if mode.pauses {
		kills = f.rng.IntN(3)
		n := c.leader()
		f.disturb("pause of "+n.name, func() {
			n.signal(syscall.SIGSTOP)
			time.Sleep(leaderPause)
			n.signal(syscall.SIGCONT)
		})
	}
	for i := range kills {
		if i > 0 {
			c.pause(f.rng, 500*time.Millisecond, 2500*time.Millisecond)
		}
		f.loseLeader()
	}
}

// failWorkers lets half of the workers or more fail all that they run for some time, in which leaders are lost in series.
func (f *serviceFaults) failWorkers() {
	c := f.cluster
	all := c.workers.IDs()
	failing := f.choose(all, len(all)/2+f.rng.IntN(len(all)-len(all)/2+1))
	duration := randomTime(f.rng, shortestWorkerFailure, longestWorkerFailure)
	f.disturb(fmt.Sprintf("failures of all runs on workers %v for %v", failing, duration), func() {
		for _, id := range failing {
			c.history.beginFault(history.Fault{Kind: history.FaultFailing, Target: history.TargetWorker, Name: id})
		}
		c.workers.SetFailing(true, failing...)
		end := time.Now().Add(duration)
		for range 1 + f.rng.IntN(mostLostLeaders) {
			pause := randomTime(f.rng, 500*time.Millisecond, 2500*time.Millisecond)
			if time.Until(end) < pause {
				break
			}
			time.Sleep(pause)
			f.loseLeader()
		}
		time.Sleep(time.Until(end))
		c.workers.SetFailing(false, failing...)
		for _, id := range failing {
			c.history.endFaults(history.TargetWorker, id, "", history.FaultFailing)
		}
	})
}

// loseLeader kills the process of the leader, which starts again a little later.
func (f *serviceFaults) loseLeader() {
	n := f.cluster.leader()
	f.disturb("loss of "+n.name, func() { f.cluster.restart(n, syscall.SIGKILL, leaderDowntime) })
}

// disturb logs a fault and tells the watch when it ends.
func (f *serviceFaults) disturb(name string, fault func()) {
	c := f.cluster
	c.t.Logf("%v: %s", time.Since(c.startedAt).Round(time.Millisecond), name)
	f.watch.disturbed(1)
	fault()
	f.watch.disturbed(-1)
}

// serviceWatch watches whether service tasks run.
type serviceWatch struct {
	cluster *cluster

	// mu protects the fields below.
	mu sync.Mutex
	// lastRun is when each task was last seen running, or its job was accepted.
	lastRun map[string]time.Time
	// faults counts the faults in progress, and calmSince is when the last one ended.
	faults    int
	calmSince time.Time
	// late holds for how long each task that was late did not run, and longest is the longest time of any task.
	late    map[string]time.Duration
	longest time.Duration
}

func newServiceWatch(c *cluster) *serviceWatch {
	return &serviceWatch{cluster: c, lastRun: map[string]time.Time{}, calmSince: time.Now(), late: map[string]time.Duration{}}
}

// add watches the tasks of a job that was accepted.
func (w *serviceWatch) add(tasks []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, task := range tasks {
		w.lastRun[task] = time.Now()
	}
}

// tasksByWorker returns how many service tasks each worker runs.
func (w *serviceWatch) tasksByWorker() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	for task := range w.lastRun {
		for _, worker := range w.cluster.workers.RunningOn(task) {
			counts[worker]++
		}
	}
	return counts
}

// disturbed records that a fault begins (1) or has ended (-1).
func (w *serviceWatch) disturbed(change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults += change
	w.calmSince = time.Now()
}

// run looks at the tasks until stop is closed.
func (w *serviceWatch) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
			w.look()
		}
	}
}

// look records for how long each task has not run, and which of them are late. It returns whether all of them run.
func (w *serviceWatch) look() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := true
	for task, last := range w.lastRun {
		now := time.Now()
		if len(w.cluster.workers.RunningOn(task)) > 0 {
			w.lastRun[task] = now
			continue
		}
		all = false
		away := now.Sub(last)
		w.longest = max(w.longest, away)
		if _, late := w.late[task]; late || w.faults == 0 && away >= restartTime+standstillTime && now.Sub(w.calmSince) >= calmTime+standstillTime {
			w.late[task] = away
		}
	}
	return all
}

// awaitRuns waits until a job that stands still would be noticed and all tasks run, but no longer than recoveryTimeout.
func (w *serviceWatch) awaitRuns() {
	time.Sleep(standstillTime + time.Second)
	for end := time.Now().Add(recoveryTimeout); !w.look(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			w.logAbsences()
			return
		}
	}
}

// logAbsences logs which tasks do not run.
func (w *serviceWatch) logAbsences() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, task := range slices.Sorted(maps.Keys(w.lastRun)) {
		if len(w.cluster.workers.RunningOn(task)) == 0 {
			w.cluster.t.Logf("service task %s (%d starts) does not run, last %v ago", task, w.cluster.workers.Starts(task),
				time.Since(w.lastRun[task]).Round(time.Millisecond))
		}
	}
}

// report fails the test if a task was late.
func (w *serviceWatch) report(mode serviceMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, task := range slices.Sorted(maps.Keys(w.late)) {
		w.cluster.t.Errorf("service task %s (%d starts) did not run for %v", task, w.cluster.workers.Starts(task), w.late[task].Round(time.Millisecond))
	}
	w.cluster.t.Logf("mode %s: %d of %d service tasks late, longest time without a run %v", mode.name, len(w.late), len(w.lastRun),
		w.longest.Round(time.Millisecond))
}
