package loads

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

const (
	boundWorkers  = 24
	boundAdvisers = 6
	// perGangBound is the time in which one gang starts at the latest when its turn has come: the horizon of a plan, and two
	// rounds of advice.
	perGangBound = 6 * time.Second
)

// Each gang that fits into the empty fleet must start within a bound that depends only on the gangs before it, whatever other
// work arrives: two gangs must not keep each other's capacity, and a stream of smaller tasks must not take it.
func TestEveryGangStarts(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 1))
			f := newGangFleet(t, boundAdvisers, boundWorkers)
			f.allowed = func(string, string) bool { return true }
			gangs := 2 + rng.IntN(6)
			bound := 2*time.Second + time.Duration(gangs)*(gangDuration+perGangBound)
			for at := time.Duration(0); at < bound; at += 50 * time.Millisecond {
				f.after(at, func() {
					f.submitStep(batchQueue, job.Step{Count: 1 + rng.IntN(6), Checkpoints: true, EstimateMS: 500 + rng.Int64N(2500),
						TaskDemand: model.Resources{CPUMilli: 2000 + rng.Int64N(10_000), MemoryMiB: 1000}})
				})
			}
			f.advance(2 * time.Second)
			// Each worker holds at least two members, so that the widest gang fits.
			for range gangs {
				f.submitGang(4+rng.IntN(2*boundWorkers-4), int64(8+rng.IntN(24)))
			}
			f.advance(bound)
			for id, s := range f.jobs {
				if s.queue == gangQueue {
					assert.Assert(t, s.startedAt != 0, "gang %s has not started within %v", id, bound)
				}
			}
		})
	}
}
