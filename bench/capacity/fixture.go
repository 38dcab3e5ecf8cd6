package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/intent"
	"github.com/lentiltide/lentiltide/version/rack"
	"github.com/lentiltide/lentiltide/worker"
)

var startTime = time.Unix(1_800_000_000, 0)

// retainedHeapBytes returns the size of the heap that the value returned by build keeps reachable.
func retainedHeapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	retained := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// fencedRack returns a rack core with n fenced workers of the size that Crease Union uses.
func fencedRack(n int) *rack.Core {
	c := rack.New(startTime, "rack-0", 1, rack.DefaultPolicy())
	members := make([]store.Member, n)
	for i := range members {
		members[i] = store.Member{
			ID: fmt.Sprintf("worker-%05d", i), Role: store.RoleWorker, State: store.MemberLive, Zone: "osu", Rack: "rack-0",
			Address:  fmt.Sprintf("http://10.0.%d.%d:80", i/250, i%250),
			Capacity: model.Resources{CPUMilli: 64_000, MemoryMiB: 262_144, Slots: 8, Connections: 60},
		}
	}
	c.SetMembers(startTime, members)
	for _, m := range members {
		c.FenceResult(startTime, m.ID, worker.Inventory{BootID: m.ID + "-boot", Now: 1})
	}
	return c
}

// newOffers returns the offers of all n tasks of one batch intent.
func newOffers(n int, demand model.Resources) []rack.Offer {
	in := model.Intent{ID: "i17-715e9427-b4a3-4ed8-b957-095020fd521b", Spec: model.IntentSpec{
		Account: "crease-union", Team: "osu-lanes", Name: "roster", Kind: model.KindBatch, Tasks: n, TaskDemand: demand, RunTimeMS: 60_000,
	}}
	out := make([]rack.Offer, n)
	for i := range out {
		out[i] = rack.Offer{Task: intent.NewTask(in, 17, 0, i, startTime), IntentEpoch: 1}
	}
	return out
}

// startAll executes the effects of a rack core, with an intent owner that grants every claim and workers that start every
// task, until no more tasks start. It returns the number of tasks started.
func startAll(c *rack.Core, effects []rack.Effect) int {
	sequence := uint64(0)
	if len(effects) == 0 {
		effects = c.Tick(startTime)
	}
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		switch e := e.(type) {
		case rack.ClaimTask:
			sequence++
			token := model.StartToken{Partition: 17, Epoch: 1, Sequence: sequence}
			effects = append(effects, c.ClaimResult(startTime, e.Task.ID, true, token)...)
		case rack.StartTask:
			effects = append(effects, c.StartResult(startTime, e.Request.Task.ID, e.Request.Token, verdict.Ran)...)
		}
		if len(effects) == 0 {
			effects = c.Tick(startTime)
		}
	}
	return int(sequence)
}

// newCoreWithIntent returns an intent core with one confirmed batch intent of n tasks.
func newCoreWithIntent(n int) *intent.Core {
	c := intent.New(17, 1, intent.DefaultPolicy())
	c.Confirmed(startTime, model.Intent{
		ID: "i17-715e9427-b4a3-4ed8-b957-095020fd521b", State: model.IntentConfirmed, Spec: model.IntentSpec{
			Account: "crease-union", Team: "osu-lanes", Name: "roster", Kind: model.KindBatch, Tasks: n,
			TaskDemand: model.Resources{CPUMilli: 1000, MemoryMiB: 1024}, RunTimeMS: 60_000,
		},
	})
	return c
}

// newTask returns the first task of an intent.
func newTask(in model.Intent) model.Task { return intent.NewTask(in, 17, 0, 0, startTime) }
