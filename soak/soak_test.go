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
	soakTime  = flag.Duration("soak.time", 8*time.Second, "time with faults for each seed")
	nodeCount = flag.Int("soak.nodes", 4, "number of node processes")
)

// failedSeeds are seeds that failed once, with the cause. They run with each soak of more than one seed.
var failedSeeds = []struct {
	seed  uint64
	cause string
}{}

const (
	// settleTime bounds the recovery after the last fault: the suspension of a former leader and the leases of workers.
	settleTime = 25 * time.Second
	// clients hand jobs in, each one after the other.
	clients = 4
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
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed) })
	}
}

// ledger is what the callers were told.
type ledger struct {
	mu       sync.Mutex
	accepted map[string]bool
	// refused are jobs of which every answer said that they never run.
	refused map[string]bool
}

// soak runs one seed: load and faults, then quiet, then the judgement.
func soak(t *testing.T, seed uint64) {
	c := newCluster(t, *nodeCount, 6)
	time.Sleep(1500 * time.Millisecond)
	told := &ledger{accepted: map[string]bool{}, refused: map[string]bool{}}
	stop := make(chan struct{})
	var load sync.WaitGroup
	for client := range clients {
		load.Add(1)
		go func() {
			defer load.Done()
			c.handIn(seed, client, told, stop)
		}()
	}
	c.disturb(rand.New(rand.NewPCG(seed, 1)), *soakTime)
	close(stop)
	load.Wait()
	c.judge(told)
}

// handIn hands jobs in at random nodes until stop is closed.
func (c *cluster) handIn(seed uint64, client int, told *ledger, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, uint64(client)+100))
	body := wire.JobBody(tasksPerJob, model.Resources{CPUMilli: 1000, MemoryMiB: 100}, taskTime)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+rng.IntN(200)) * time.Millisecond):
		}
		id := fmt.Sprintf("%08x%04x%04x", uint32(seed), client, i)
		certain := true
		for range 4 {
			status, _ := c.call(c.nodes[rng.IntN(len(c.nodes))], http.MethodPost, id, body)
			if status == http.StatusOK {
				told.note(id, true)
				break
			}
			if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
				certain = false
			}
			time.Sleep(200 * time.Millisecond)
		}
		if certain {
			told.note(id, false)
		}
	}
}

func (l *ledger) note(id string, accepted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if accepted {
		l.accepted[id] = true
		delete(l.refused, id)
	} else if !l.accepted[id] {
		l.refused[id] = true
	}
}

// disturb injects faults for a time, in series and overlapping, and mends all of them at the end.
func (c *cluster) disturb(rng *rand.Rand, total time.Duration) {
	var running sync.WaitGroup
	busy := map[int]*sync.Mutex{}
	for i := range c.nodes {
		busy[i] = &sync.Mutex{}
	}
	for end := time.Now().Add(total); time.Now().Before(end); {
		time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
		i := rng.IntN(len(c.nodes))
		n := c.nodes[i]
		kind, length := rng.IntN(6), time.Duration(300+rng.IntN(2500))*time.Millisecond
		link := c.links[rng.IntN(len(c.links))]
		fault := linkFault(1 + rng.IntN(int(linkFaults)-1))
		c.t.Logf("%v: fault %d on %s, link fault %d, for %v", time.Since(c.began).Round(time.Millisecond), kind, n.name, fault, length)
		running.Add(1)
		go func() {
			defer running.Done()
			if kind <= 2 {
				// One process is not signalled twice at a time.
				busy[i].Lock()
				defer busy[i].Unlock()
			}
			switch kind {
			case 0:
				c.restart(n, syscall.SIGKILL, length/2)
			case 1:
				c.restart(n, syscall.SIGTERM, length/4)
			case 2:
				n.signal(syscall.SIGSTOP)
				time.Sleep(length)
				n.signal(syscall.SIGCONT)
			case 3, 4:
				n.store.set(fault)
				time.Sleep(length)
				n.store.set(linkSound)
			case 5:
				link.set(fault)
				time.Sleep(length)
				link.set(linkSound)
			}
		}()
	}
	running.Wait()
}

// judge checks the promises: what was accepted completes, what was refused never ran, and the workers saw no violation.
func (c *cluster) judge(told *ledger) {
	open := map[string]bool{}
	for id := range told.accepted {
		open[id] = true
	}
	last := map[string]string{}
	for end := time.Now().Add(settleTime); len(open) > 0 && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for id := range open {
			status, answer := c.call(c.nodes[0], http.MethodGet, id, "")
			last[id] = fmt.Sprint(status, " ", answer)
			if status == http.StatusOK && strings.Contains(answer, "completed") {
				delete(open, id)
			}
		}
	}
	for id := range open {
		c.t.Errorf("accepted job %s is not completed: %s", id, last[id])
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
