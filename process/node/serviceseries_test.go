package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/history"
)

// serviceSeriesSeeds is the number of series that the test plays.
const serviceSeriesSeeds = 12

// Guards against service tasks that run twice, or do not run any longer, after a series of overlapping faults in which some of them fail.
func TestSeriesOfFaultsWithServices(t *testing.T) {
	for seed := range uint64(serviceSeriesSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 4, 4)
				defer c.stop()
				c.workers.AcceptCallsToFormerBoots(true)
				c.recordTraffic(history.ChangeBegin)
				tasks := c.submitServices(4)
				f := &faultSeries{c: c, random: rand.New(rand.NewPCG(seed, 2)), busy: map[string]bool{}}
				for end := c.now() + 35*time.Second; c.now() < end; {
					time.Sleep(time.Duration(50+f.random.IntN(250)) * time.Millisecond)
					f.healDue(false)
					switch f.random.IntN(8) {
					case 0:
						f.injectStoreFault()
					case 1, 2:
						f.injectInstanceFault()
					case 3, 4:
						f.injectWorkerFault()
					default:
						c.workers.Fail(tasks[f.random.IntN(len(tasks))])
					}
				}
				for len(f.heals) > 0 {
					f.healDue(true)
				}
				c.recordTraffic(history.ChangeEnd)
				time.Sleep(20 * time.Second)
				assert.DeepEqual(t, c.workers.Violations(), []string(nil))
				c.requireRunning(tasks)
			})
		})
	}
}
