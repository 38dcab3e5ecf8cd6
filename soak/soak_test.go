// Package soak runs the real node programs against stand-ins of the platform and injects faults from outside: signals to
// processes and disturbed connections. It judges by what callers and workers see.
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

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/wire"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed of the soak")
	seedCount = flag.Int("soak.seeds", 1, "number of seeds")
	faultTime = flag.Duration("soak.time", 8*time.Second, "time with faults for each seed")
	nodeCount = flag.Int("soak.nodes", 4, "number of node processes")
)

// failedSeeds are seeds that failed once, with the cause. They run with each soak of more than one seed.
var failedSeeds = []struct {
	seed  uint64
	cause string
}{}

const (
	// recoveryTimeout bounds the recovery after the last fault: the suspension of a former leader and the leases of workers.
	recoveryTimeout = 25 * time.Second
	// clientCount hand jobs in, each one after the other.
	clientCount = 4
	// tasksPerJob is the number of tasks of each job.
	tasksPerJob = 3
)

func TestSoak(t *testing.T) {
	seeds := map[uint64]string{}
	for i := range *seedCount {
		seeds[*firstSeed+uint64(i)] = ""
	}
	if *seedCount > 1 {
		for _, f := range failedSeeds {
			seeds[f.seed] = f.cause
		}
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

// answerRecord is what the callers were told.
type answerRecord struct {
	mu       sync.Mutex
	accepted map[string]bool
	// refused are jobs of which every answer said that they never run.
	refused map[string]bool
}

// runSeed runs one seed: load and faults, then quiet, then the judgement.
func runSeed(t *testing.T, seed uint64) {
	c := newCluster(t, *nodeCount, 6)
	time.Sleep(1500 * time.Millisecond)
	answers := &answerRecord{accepted: map[string]bool{}, refused: map[string]bool{}}
	stop := make(chan struct{})
	var load sync.WaitGroup
	for client := range clientCount {
		load.Add(1)
		go func() {
			defer load.Done()
			c.submitJobs(seed, client, answers, stop)
		}()
	}
	c.injectFaults(rand.New(rand.NewPCG(seed, 1)), *faultTime)
	close(stop)
	load.Wait()
	c.checkPromises(answers)
}

// submitJobs hands jobs in at random nodes until stop is closed.
func (c *cluster) submitJobs(seed uint64, client int, answers *answerRecord, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, uint64(client)+100))
	body := wire.JobBody(tasksPerJob, model.Resources{CPUMilli: 1000, MemoryMiB: 100}, taskTime)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+rng.IntN(200)) * time.Millisecond):
		}
		id := fmt.Sprintf("%08x%04x%04x", uint32(seed), client, i)
		allRefused := true
		for range 4 {
			status, _ := c.call(c.nodes[rng.IntN(len(c.nodes))], http.MethodPost, id, body)
			if status == http.StatusOK {
				answers.record(id, true)
				break
			}
			if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
				allRefused = false
			}
			time.Sleep(200 * time.Millisecond)
		}
		if allRefused {
			answers.record(id, false)
		}
	}
}

func (l *answerRecord) record(id string, accepted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if accepted {
		l.accepted[id] = true
		delete(l.refused, id)
	} else if !l.accepted[id] {
		l.refused[id] = true
	}
}

// injectFaults injects faults for a time, in series and overlapping, and mends all of them at the end.
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
		c.t.Logf("%v: fault %d on %s, link fault %d, for %v", time.Since(c.startedAt).Round(time.Millisecond), faultKind, n.name, linkFaultKind, duration)
		faults.Add(1)
		go func() {
			defer faults.Done()
			if faultKind <= 2 {
				// One process is not signalled twice at a time.
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

// checkPromises checks the promises: what was accepted completes, what was refused never ran, and the workers saw no violation.
func (c *cluster) checkPromises(told *answerRecord) {
	pending := map[string]bool{}
	for id := range told.accepted {
		pending[id] = true
	}
	lastAnswers := map[string]string{}
	for end := time.Now().Add(recoveryTimeout); len(pending) > 0 && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for id := range pending {
			status, answer := c.call(c.nodes[0], http.MethodGet, id, "")
			lastAnswers[id] = fmt.Sprint(status, " ", answer)
			if status == http.StatusOK && strings.Contains(answer, "completed") {
				delete(pending, id)
			}
		}
	}
	for id := range pending {
		c.t.Errorf("accepted job %s is not completed: %s", id, lastAnswers[id])
	}
	for id := range told.refused {
		for i := range tasksPerJob {
			if n := c.workers.Starts(fmt.Sprintf("%s.0.0.%d", id, i)); n > 0 {
				c.t.Errorf("refused job %s ran", id)
			}
		}
	}
	assert.DeepEqual(c.t, c.workers.Violations(), []string(nil))
	c.t.Logf("%d jobs accepted and completed, %d refused", len(told.accepted), len(told.refused))
}
