package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/standin/wire"
)

const (
	// backlogClient is the number of the first client with a backlog; each kind has a client.
	backlogClient = 0x50
	// backlogMemoryMB is the memory of the nodes beside backlogs, and backlogJobs the number of jobs of each kind.
	backlogMemoryMB, backlogJobs = 96, 12
	// overdueRepetitions is the number of occurrences that are due at once.
	overdueRepetitions = 20_000
	// memorySampleInterval is the time between two looks at the memory of the processes.
	memorySampleInterval = 20 * time.Millisecond
)

// backlogKinds are kinds of jobs that each ask for more than the workers do during a run, or that can never start. Their clients cancel them in the
// end.
var backlogKinds = []variedKind{
	{steps: []wire.Step{{Tasks: 5000, RequiredLabel: missingLabel}}, waits: true, taskTime: taskTime},
	{steps: []wire.Step{{Tasks: 5000}}, waits: true, taskTime: taskTime},
	{steps: []wire.Step{{Tasks: 1}}, repetitions: overdueRepetitions, overdue: true, waits: true, taskTime: taskTime},
	{steps: []wire.Step{{Tasks: 1}, {Tasks: 1, DependsOn: []int{0}}}, repetitions: overdueRepetitions, overdue: true, waits: true, taskTime: taskTime},
}

// TestSoakWithBacklogs guards against a node that exceeds its memory, and against ordinary jobs that are not done, beside accepted work that takes many
// times the memory of a leader: wide jobs, schedules that are due for long, and rows that no leader can hold, while leaders are lost.
func TestSoakWithBacklogs(t *testing.T) {
	for _, seed := range seedsToRun(nil) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newClusterWithMemory(t, *nodeCount, 8, backlogMemoryMB)
			time.Sleep(1500 * time.Millisecond)
			answers := newAnswerRecord()
			stop := make(chan struct{})
			var load sync.WaitGroup
			load.Go(func() { c.watchMemory(backlogMemoryMB, stop) })
			c.storeImpossibleJob()
			for kind := range backlogKinds {
				load.Go(func() { c.submitBacklog(seed, kind, answers, stop) })
			}
			for client := range 2 {
				load.Go(func() { c.submitJobs(seed, client, answers, stop) })
			}
			c.readStates(seed, answers, stop, &load)
			c.loseLeaders(rand.New(rand.NewPCG(seed, 12)), *faultTime)
			time.Sleep(calmLoadTime)
			close(stop)
			load.Wait()
			c.checkPromises(answers)
		})
	}
}

// submitBacklog submits the jobs of a kind at once and cancels them when the load ends.
func (c *cluster) submitBacklog(seed uint64, kind int, answers *answerRecord, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, uint64(backlogClient+kind)+100))
	var accepted []string
	for i := range backlogJobs {
		id := fmt.Sprintf("%08x%04x%04x", uint32(seed), backlogClient+kind, i)
		if c.submit(rng, id, backlogKinds[kind].body(), answers) {
			accepted = append(accepted, id)
		}
	}
	<-stop
	for _, id := range accepted {
		c.cancel(id)
	}
}

// storeImpossibleJob writes the row of a job whose counts overflow, as an earlier version of the program accepted it.
func (c *cluster) storeImpossibleJob() {
	step := fmt.Sprintf(`{"n":%d,"each":{"cpu_milli":1000,"memory_mib":100}}`, math.MaxInt64)
	record := fmt.Sprintf(`{"queue":{"name":"q","service":%q},"spec":{"payload":"soak","steps":[%s,%s]},"epoch":1}`, testService, step, step)
	c.tables.Put(backend.RowKey{Table: "jobs", Shard: "p7", Key: "00000000000000ff"}, []byte(record))
}

// watchMemory reports and kills processes of nodes whose resident memory exceeds a limit, as the platform does, until stop is closed.
func (c *cluster) watchMemory(limitMB int64, stop <-chan struct{}) {
	highest := map[string]int64{}
	for {
		select {
		case <-stop:
			c.t.Logf("highest resident memory in MB: %v", highest)
			return
		case <-time.After(memorySampleInterval):
		}
		for _, n := range c.nodes {
			n.mu.Lock()
			resident := residentMB(n.cmd.Process.Pid)
			n.mu.Unlock()
			if resident > limitMB {
				c.t.Errorf("%s uses %d MB of %d and is killed", n.name, resident, limitMB)
				n.signal(syscall.SIGKILL)
			}
			highest[n.name] = max(highest[n.name], resident)
		}
	}
}

// residentMB returns the resident memory of a process in megabytes, 0 if it is gone.
func residentMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()) >> 20
}
