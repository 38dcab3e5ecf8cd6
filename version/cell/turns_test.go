package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against gangs that never start on idle workers because many services, for which the workers that suit them have no room, keep all planning turns.
func TestServicesWithoutRoomDoNotTakeTheTurnOfGangs(t *testing.T) {
	for _, services := range []int{0, maxReservingSteps + 5} {
		t.Run(fmt.Sprint(services), func(t *testing.T) { testServicesWithoutRoom(t, services) })
	}
}

func testServicesWithoutRoom(t *testing.T, services int) {
	sc := newServiceCluster(t, 1, "w1", "w2", "w3")
	for id, label := range map[string]string{"w1": "lane", "w2": "other", "w3": "other"} {
		sc.listWorker(id, func(info *backend.WorkerInfo) { info.Labels = []string{label, "r1"} })
	}
	sc.core.SetAdvisers([]string{"i1", "i2"})
	sc.round()
	sc.addJob("full", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.RequiredLabel, s.TaskDemand.CPUMilli, s.EstimateMS = "lane", 4000, 600_000 }))
	for range 5 {
		sc.round()
	}
	for i := range services {
		step := serviceStep()
		step.RequiredLabel, step.TaskDemand.CPUMilli = "lane", 10
		sc.addJob(fmt.Sprintf("s%02d", i), "short", 1, step)
	}
	for range 50 {
		sc.round()
	}
	sc.addJob("gang", "plain", 1, stepWithTasks(2, func(s *job.Step) { s.Gang, s.RequiredLabel = true, "other" }))
	addedAt := sc.now
	for sc.startedAt["gang.0.0.0"] == 0 && sc.now < addedAt+time.Minute {
		sc.round()
	}
	assert.Assert(t, sc.now <= addedAt+10*time.Second, "started %v, after %s", sc.startedAt["gang.0.0.0"] != 0, sc.now-addedAt)
}
