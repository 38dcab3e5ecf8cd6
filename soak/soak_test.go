// Package soak runs real node processes with stand-ins for the platform and injects faults from outside: signals to processes
// and disturbed connections. It checks what callers and workers observe.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/standin/wire"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed of the soak")
	seedCount = flag.Int("soak.seeds", 1, "number of seeds")
	faultTime = flag.Duration("soak.time", 8*time.Second, "time with faults for each seed")
	nodeCount = flag.Int("soak.nodes", 4, "number of node processes")
)

// failedSeed is a seed that failed in the past, with the cause. It runs in addition to the requested seeds if more than one seed is
// requested.
type failedSeed struct {
	seed  uint64
	cause string
}

const formerLeaderCause = "a former leader shows a job as running from its memory after its successor has shown it as completed"

// failedSeeds and failedCrashSeeds are the failed seeds of TestSoak and of TestSoakWithCrashingTasks.
var (
	failedSeeds      = []failedSeed{}
	failedCrashSeeds = []failedSeed{
		{2100, "tasks started on a restarted worker by the capacity in the registry entry of its former boot"},
		{300, formerLeaderCause},
	}
)

const (
	// recoveryTimeout bounds the recovery after the last fault. It covers the suspension of a former leader and the leases of
	// workers.
	recoveryTimeout = 25 * time.Second
	// clientCount is the number of clients, each of which submits its jobs one after the other.
	clientCount = 4
	// tasksPerJob is the number of tasks of each job.
	tasksPerJob = 3
	// crashingClient is the number of the client whose jobs have one task each, which crashes the workers that start it. Its pauses
	// between jobs are crashingPauseFactor times as long as those of others.
	crashingClient, crashingPauseFactor = 0xc, 20
)

// crashesWorkers reports whether a job or task id is that of the crashing client.
func crashesWorkers(id string) bool {
	return len(id) >= 12 && id[8:12] == fmt.Sprintf("%04x", crashingClient)
}

// TestSoak guards against accepted jobs that are lost, refused jobs that run, and violations that workers observe, under
// random faults.
func TestSoak(t *testing.T) {
	for _, seed := range seedsToRun(failedSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed, clientNumbers()) })
	}
}

// seedsToRun returns the requested seeds and, if there are several, the failed ones.
func seedsToRun(failed []failedSeed) []uint64 {
	var seeds []uint64
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	if *seedCount > 1 {
		for _, f := range failed {
			seeds = append(seeds, f.seed)
		}
	}
	return seeds
}

// TestSoakWithCrashingTasks guards against the same while some tasks crash the workers that start them, and against such tasks
// that are started without end.
func TestSoakWithCrashingTasks(t *testing.T) {
	for _, seed := range seedsToRun(failedCrashSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed, append(clientNumbers(), crashingClient)) })
	}
}

// clientNumbers returns the numbers of the clients with ordinary jobs.
func clientNumbers() []int {
	var numbers []int
	for client := range clientCount {
		numbers = append(numbers, client)
	}
	return numbers
}

// answerRecord records the answers that clients received.
type answerRecord struct {
	mu       sync.Mutex
	accepted map[string]bool
	// refused holds the jobs for which the last answer said that the job never runs, whatever became of earlier attempts.
	refused map[string]bool
	shown   shownRecord
}

func newAnswerRecord() *answerRecord {
	return &answerRecord{accepted: map[string]bool{}, refused: map[string]bool{}, shown: newShownRecord()}
}

// runSeed runs the load of some clients and faults with one seed, then stops both and checks the promises.
func runSeed(t *testing.T, seed uint64, clients []int) {
	runSeedOn(t, newCluster(t, *nodeCount, 6), seed, clients)
}

// runSeedOn is runSeed on a cluster.
func runSeedOn(t *testing.T, c *cluster, seed uint64, clients []int) {
	time.Sleep(1500 * time.Millisecond)
	answers := newAnswerRecord()
	stop := make(chan struct{})
	var load sync.WaitGroup
	for _, client := range clients {
		load.Add(1)
		go func() {
			defer load.Done()
			c.submitJobs(seed, client, answers, stop)
		}()
	}
	c.readStates(seed, answers, stop, &load)
	load.Go(func() { c.changeCapacities(rand.New(rand.NewPCG(seed, 2)), stop) })
	configs := &configHistory{cluster: c}
	load.Go(func() { configs.run(seed, stop) })
	c.injectFaults(rand.New(rand.NewPCG(seed, 1)), *faultTime)
	close(stop)
	load.Wait()
	c.checkPromises(answers)
	configs.checkInForce()
}

// submitJobs submits jobs to random nodes until stop is closed. It sends each job up to four times until a node accepts it.
func (c *cluster) submitJobs(seed uint64, client int, answers *answerRecord, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, uint64(client)+100))
	tasks, pauseUnit := tasksPerJob, time.Millisecond
	if client == crashingClient {
		tasks, pauseUnit = 1, crashingPauseFactor*time.Millisecond
	}
	body := wire.JobBody(tasks, model.Resources{CPUMilli: 1000, MemoryMiB: 100}, taskTime)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+rng.IntN(200)) * pauseUnit):
		}
		c.submit(rng, fmt.Sprintf("%08x%04x%04x", uint32(seed), client, i), body, answers)
	}
}

// submit sends a job to random nodes, up to four times until one accepts it, and returns whether one did.
func (c *cluster) submit(rng *rand.Rand, id, body string, answers *answerRecord) bool {
	refused := false
	for range 4 {
		status, _ := c.call(c.nodes[rng.IntN(len(c.nodes))], http.MethodPost, id, body)
		if status == http.StatusOK {
			answers.record(id, true)
			return true
		}
		refused = status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		time.Sleep(200 * time.Millisecond)
	}
	if refused {
		answers.record(id, false)
	}
	return false
}

// record records whether a job was accepted. An acceptance overrides refusals.
func (l *answerRecord) record(id string, accepted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if accepted {
		if !l.accepted[id] {
			l.shown.unfinished = append(l.shown.unfinished, id)
		}
		l.accepted[id] = true
		delete(l.refused, id)
	} else if !l.accepted[id] {
		l.refused[id] = true
	}
}

// changeCapacities lets random workers shrink, also to nothing, and grow until stop is closed. Then all have their whole capacity.
func (c *cluster) changeCapacities(rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			for i := range c.workerLinks {
				c.setCores(i, coresPerWorker)
			}
			return
		case <-time.After(time.Duration(100+rng.IntN(600)) * time.Millisecond):
			c.setCores(rng.IntN(len(c.workerLinks)), rng.IntN(coresPerWorker+1))
		}
	}
}

// injectFaults injects random faults for a period, some of them overlapping, and returns when all of them have ended.
func (c *cluster) injectFaults(rng *rand.Rand, period time.Duration) {
	var faults sync.WaitGroup
	processLocks := map[int]*sync.Mutex{}
	for i := range c.nodes {
		processLocks[i] = &sync.Mutex{}
	}
	for end := time.Now().Add(period); time.Now().Before(end); {
		time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
		i := rng.IntN(len(c.nodes))
		n := c.nodes[i]
		faultKind, duration := rng.IntN(6), time.Duration(300+rng.IntN(2500))*time.Millisecond
		link := c.workerLinks[rng.IntN(len(c.workerLinks))]
		linkFaultKind := linkFault(1 + rng.IntN(int(linkFaultCount)-1))
		c.t.Logf("%v: fault kind %d on %s, link fault %d, for %v", time.Since(c.startedAt).Round(time.Millisecond), faultKind, n.name, linkFaultKind, duration)
		faults.Add(1)
		go func() {
			defer faults.Done()
			if faultKind <= 2 {
				// Only one fault at a time sends signals to a process.
				processLocks[i].Lock()
				defer processLocks[i].Unlock()
			}
			switch faultKind {
			case 0:
				c.restart(n, syscall.SIGKILL, duration/2)
			case 1:
				c.restart(n, syscall.SIGTERM, duration/4)
			case 2:
				n.signal(syscall.SIGSTOP)
				time.Sleep(duration)
				n.signal(syscall.SIGCONT)
			case 3, 4:
				n.storeLink.setFault(linkFaultKind)
				time.Sleep(duration)
				n.storeLink.setFault(linkHealthy)
			case 5:
				link.setFault(linkFaultKind)
				time.Sleep(duration)
				link.setFault(linkHealthy)
			}
		}()
	}
	faults.Wait()
}

// finalState returns the state in which an accepted job must end; that of a service job is the one in which it must be.
func finalState(id string) job.State {
	switch {
	case crashesWorkers(id):
		return job.Failed
	case isService(id):
		return job.Running
	case kindOf(id) != nil:
		return kindOf(id).finalState()
	}
	return job.Completed
}

// tasksOf returns the names of the tasks of a job.
func tasksOf(id string) []string {
	count := tasksPerJob
	switch {
	case crashesWorkers(id):
		count = 1
	case isLong(id):
		count = tasksPerLongJob
	case isService(id):
		count = tasksPerService
	case kindOf(id) != nil:
		return kindOf(id).tasksOf(id)
	}
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("%s.0.0.%d", id, i))
	}
	return names
}

// endedAsExpected reports whether an answer shows a job in the state in which it must end, or as failed if a task has failed as often as
// the queues allow.
func (c *cluster) endedAsExpected(id, answer string) bool {
	return strings.Contains(answer, string(finalState(id))) || strings.Contains(answer, string(job.Failed)) && c.failedOften(id)
}

// checkPromises checks that accepted jobs end as they must, that refused jobs never ran, that callers were shown jobs as completed,
// and that workers observed no violation.
func (c *cluster) checkPromises(answers *answerRecord) {
	c.history.recordTraffic(history.ChangeEnd)
	shownDuringFaults := c.workers.ShownCompleted()
	pending := map[string]bool{}
	for id := range answers.accepted {
		pending[id] = true
	}
	lastAnswers := map[string]string{}
	for end := time.Now().Add(recoveryTimeout); len(pending) > 0 && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for id := range pending {
			status, answer := c.readState(c.nodes[0], id, answers)
			lastAnswers[id] = fmt.Sprint(status, " ", answer)
			if status == http.StatusOK && c.endedAsExpected(id, answer) {
				delete(pending, id)
			}
		}
	}
	for id := range pending {
		c.t.Errorf("accepted job %s is not %s within %v, last answer: %s", id, finalState(id), recoveryTimeout, lastAnswers[id])
	}
	for id := range answers.refused {
		for i := range tasksPerJob {
			if n := c.workers.Starts(fmt.Sprintf("%s.0.0.%d", id, i)); n > 0 {
				c.t.Errorf("refused job %s ran: %d starts of its task %d", id, n, i)
			}
		}
	}
	c.t.Logf("%d jobs accepted, %d refused, %d shown as completed, %d of them during faults, %d crashes of workers",
		len(answers.accepted), len(answers.refused), c.workers.ShownCompleted(), shownDuringFaults, c.workers.WorkerCrashes())
	assert.Assert(c.t, shownDuringFaults > 0, "the readers saw no completed job during the faults")
	assert.DeepEqual(c.t, c.workers.Violations(), []string(nil))
}
