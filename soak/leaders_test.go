package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/standin/wire"
)

const (
	// heartbeatInterval is the time between check-ins of a worker, and missedHeartbeats how many must be missing before its entry expires.
	heartbeatInterval = 1500 * time.Millisecond
	missedHeartbeats  = 3
	// longTaskTime is the run time of the tasks of clients with long jobs. It is longer than leases and takeovers.
	longTaskTime = 9 * time.Second
	// tasksPerLongJob is the number of tasks of such jobs.
	tasksPerLongJob = 2
	// longClient is the number of the first client with long jobs.
	longClient = 0x10
)

// isLong reports whether a task id is that of a client with long jobs.
func isLong(id string) bool { return len(id) >= 12 && id[8:10] == "00" && id[10] == '1' }

// TestSoakWithLostLeaders guards against tasks that run twice when leaders are lost in series while workers are cut off and the store is
// not available: to all instances, to single ones, or in parts.
func TestSoakWithLostLeaders(t *testing.T) {
	for _, seed := range seedsToRun(nil) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, *nodeCount, 6)
			time.Sleep(1500 * time.Millisecond)
			answers := newAnswerRecord()
			stop := make(chan struct{})
			var load sync.WaitGroup
			for client := range 2 {
				load.Go(func() { c.submitJobs(seed, client, answers, stop) })
				load.Go(func() { c.submitLongJobs(seed, longClient+client, answers, stop) })
			}
			c.readStates(seed, answers, stop, &load)
			c.loseLeaders(rand.New(rand.NewPCG(seed, 3)), *faultTime)
			close(stop)
			load.Wait()
			c.checkPromises(answers)
		})
	}
}

// submitLongJobs submits jobs whose tasks run longer than a takeover takes, each to one node.
func (c *cluster) submitLongJobs(seed uint64, client int, answers *answerRecord, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, uint64(client)+100))
	body := wire.JobBody(tasksPerLongJob, model.Resources{CPUMilli: 1000, MemoryMiB: 100}, longTaskTime)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(1500+rng.IntN(3000)) * time.Millisecond):
		}
		id := fmt.Sprintf("%08x%04x%04x", uint32(seed), client, i)
		if status, _ := c.call(c.nodes[rng.IntN(len(c.nodes))], http.MethodPost, id, body); status == http.StatusOK {
			answers.record(id, true)
		}
	}
}

// leaderRow returns the epoch of the leader and the name of its node according to the store; 0 and empty if there is none.
func (c *cluster) leaderRow() (epoch uint64, node string) {
	var row struct {
		Epoch    uint64
		Instance string
	}
	if err := json.Unmarshal(c.tables.Rows("leader")["leader"].Value, &row); err != nil {
		return 0, ""
	}
	return row.Epoch, row.Instance
}

// leader returns the node that leads according to the store, or any one.
func (c *cluster) leader() *nodeProcess {
	_, name := c.leaderRow()
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	return c.nodes[0]
}

// cutOffWorker cuts a worker off from everybody for a while. Its registry entry expires meanwhile.
func (c *cluster) cutOffWorker(worker int, duration time.Duration) {
	link := c.workerLinks[worker]
	link.setFault(linkBlackhole)
	expiry := time.AfterFunc(missedHeartbeats*heartbeatInterval-heartbeatInterval/2, func() { c.removeRegistryEntry(workerName(worker)) })
	time.Sleep(duration)
	expiry.Stop()
	link.setFault(linkHealthy)
	c.writeRegistryEntry(c.workers.Info(workerName(worker)))
}

// loseLeaders injects overlapping faults for a period, most of them at the leader, and returns when all have ended.
func (c *cluster) loseLeaders(rng *rand.Rand, period time.Duration) {
	var faults sync.WaitGroup
	var signals, store sync.Mutex
	workers := make([]sync.Mutex, len(c.workerLinks))
	for end := time.Now().Add(period); time.Now().Before(end); {
		kind, duration := rng.IntN(8), time.Duration(500+rng.IntN(3500))*time.Millisecond
		worker, other := rng.IntN(len(c.workerLinks)), c.nodes[rng.IntN(len(c.nodes))]
		storeFault := []backends.Fault{backends.FaultRefused, backends.FaultNoAnswer, backends.FaultAnswerLost}[rng.IntN(3)]
		link := linkFault(1 + rng.IntN(int(linkFaultCount)-1))
		c.t.Logf("%v: fault kind %d for %v, worker %d, store fault %d, link fault %d", time.Since(c.startedAt).Round(time.Millisecond), kind, duration, worker, storeFault, link)
		faults.Go(func() {
			switch kind {
			case 0, 1:
				signals.Lock()
				defer signals.Unlock()
				c.restart(c.leader(), syscall.SIGKILL, duration/4)
			case 2:
				signals.Lock()
				defer signals.Unlock()
				c.restart(c.leader(), syscall.SIGTERM, duration/4)
			case 3:
				signals.Lock()
				defer signals.Unlock()
				for _, n := range []*nodeProcess{c.leader(), other} {
					n.signal(syscall.SIGSTOP)
					defer n.signal(syscall.SIGCONT)
				}
				time.Sleep(duration)
			case 4, 5:
				workers[worker].Lock()
				defer workers[worker].Unlock()
				if kind == 5 {
					// The leader is lost while the leases of the worker last.
					faults.Go(func() {
						time.Sleep(duration / 4)
						signals.Lock()
						defer signals.Unlock()
						c.restart(c.leader(), syscall.SIGKILL, duration/4)
					})
				}
				c.cutOffWorker(worker, 3*time.Second+duration)
			case 6:
				store.Lock()
				defer store.Unlock()
				c.tables.SetFault(func(write bool) backends.Fault { return storeFault })
				time.Sleep(duration)
				c.tables.SetFault(nil)
			case 7:
				n := c.leader()
				n.storeLink.setFault(link)
				time.Sleep(duration)
				n.storeLink.setFault(linkHealthy)
			}
		})
		time.Sleep(time.Duration(200+rng.IntN(1200)) * time.Millisecond)
	}
	faults.Wait()
}
