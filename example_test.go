package lentiltide_test

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide"
	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/settings"
	standinplatform "github.com/lentiltide/lentiltide/standin/platform"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// localWorkers dials workers of this process by their address.
type localWorkers map[string]worker.Agent

func (w localWorkers) Dial(address string) worker.Agent { return w[address] }

// Example embeds an instance with a platform and a worker in the same process, plans an intent, confirms the plan and waits
// for the tasks to finish.
func Example() {
	capacity := model.Resources{CPUMilli: 16_000, MemoryMiB: 65_536, Slots: 8, Connections: 60}
	observer := standinworker.NewObserver(time.Now)
	members := standinplatform.NewInstanceList()
	members.Set(store.Member{
		ID: "worker-1", Role: store.RoleWorker, State: store.MemberLive, Region: "estonia", Zone: "maardu",
		Rack: "rack-1", Address: "local:worker-1", Capacity: capacity,
	})
	instanceSettings := settings.Default()
	instanceSettings.Instance, instanceSettings.Region, instanceSettings.Zone = "entry-1", "estonia", "maardu"
	instanceSettings.HTTPAddress, instanceSettings.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
	instanceSettings.SessionRenewMS = 200
	log := logrus.New()
	log.SetOutput(io.Discard)
	in, err := lentiltide.Start(lentiltide.Options{
		Settings: instanceSettings, Clock: clockwork.NewRealClock(), Log: log,
		Table: standinplatform.NewTable(), Objects: standinplatform.NewObjects(), Members: members,
		Workers: localWorkers{"local:worker-1": standinworker.New(standinworker.Options{
			ID: "worker-1", Capacity: capacity, Observer: observer,
		})},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer in.Kill()

	client := jsonhttp.NewClient(in.URL(), nil)
	// retry repeats a request, which fails until the instance has acquired its partitions.
	retry := func(path string, body, out any) {
		for client.Post(context.Background(), path, body, out) != nil {
			time.Sleep(20 * time.Millisecond)
		}
	}
	var plan model.Plan
	retry("/v1/plans", model.IntentSpec{
		Account: "office", Team: "fleet", Name: "audit", Kind: model.KindBatch, Tasks: 3, RunTimeMS: 10,
		TaskDemand: model.Resources{CPUMilli: 2000, MemoryMiB: 4096},
	}, &plan)
	fmt.Println("planned", len(plan.Placements), "tasks, started", observer.Counts().TasksStarted)
	var confirmed model.Intent
	retry("/v1/plans/"+plan.ID+"/confirm", struct{}{}, &confirmed)
	for observer.Counts().TasksFinished < 3 {
		time.Sleep(10 * time.Millisecond)
	}
	counts := observer.Counts()
	fmt.Println("finished", counts.TasksFinished, "tasks, double runs", counts.DoubleRuns)
	// Output:
	// planned 3 tasks, started 0
	// finished 3 tasks, double runs 0
}
