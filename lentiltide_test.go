package lentiltide_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lentiltide/lentiltide"
	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/request/api"
	"github.com/lentiltide/lentiltide/standin/cell"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
	"github.com/lentiltide/lentiltide/version/intent"
)

// pollTimeout limits waits in tests; it is not a performance requirement.
const pollTimeout = time.Minute

// startCell starts a stand-in cell and a number of instances.
func startCell(t *testing.T, count int) (*cell.Cell, []*lentiltide.Instance) {
	t.Helper()
	return startCellWith(t, count, nil)
}

// startCellWith is like startCell, with the given behavior of the tasks.
func startCellWith(t *testing.T, count int, behave func(model.Task) standinworker.Behavior) (*cell.Cell, []*lentiltide.Instance) {
	t.Helper()
	c, err := cell.Start(cell.Options{
		Workers: 4, PerRack: 2, Zones: []string{"tallinn-port", "tallinn-yard"}, Region: "estonia",
		Capacity: model.Resources{CPUMilli: 16_000, MemoryMiB: 65_536, Slots: 8, Connections: 60},
		Behave:   behave,
	})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	var instances []*lentiltide.Instance
	for i := range count {
		s := settings.Default()
		s.Instance, s.Region, s.Zone = fmt.Sprintf("entry-%d", i), "estonia", "tallinn-port"
		s.HTTPAddress, s.PeerAddress, s.PlatformURL = "127.0.0.1:0", "127.0.0.1:0", c.URL
		// The session TTL is the production default. A shorter one expires when the race detector and other tests use the
		// CPUs.
		s.SessionRenewMS = 200
		in, err := lentiltide.Start(lentiltide.Options{Settings: s, Log: log, Seed: uint64(i)})
		assert.NilError(t, err)
		t.Cleanup(in.Kill)
		instances = append(instances, in)
	}
	return c, instances
}

func post(t *testing.T, in *lentiltide.Instance, path string, body, out any) error {
	t.Helper()
	return jsonhttp.NewClient(in.URL(), nil).Post(context.Background(), path, body, out)
}

// retryUntilSuccess repeats a request until it succeeds, as a caller does on verdict NotRun while partitions have no owner.
func retryUntilSuccess(t *testing.T, request func() error) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := request(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout), poll.WithDelay(50*time.Millisecond))
}

func auditSpec(tasks int) model.IntentSpec {
	return model.IntentSpec{
		Account: "office", Team: "fleet", Name: "audit", Kind: model.KindBatch, Tasks: tasks,
		TaskDemand: model.Resources{CPUMilli: 2000, MemoryMiB: 4096}, RunTimeMS: 50,
	}
}

func intentStatus(in *lentiltide.Instance, id string) (intent.Status, error) {
	var s intent.Status
	_, err := jsonhttp.NewClient(in.URL(), nil).Do(context.Background(), "GET", "/v1/intents/"+id, nil, nil, &s)
	return s, err
}

// TestPlanConfirmRun guards against tasks that run before the intent is confirmed or more than once after it, and against
// requests that only one of the instances can answer.
func TestPlanConfirmRun(t *testing.T) {
	c, instances := startCell(t, 3)
	var plan model.Plan
	retryUntilSuccess(t, func() error { return post(t, instances[0], "/v1/plans", auditSpec(6), &plan) })
	assert.Equal(t, len(plan.Placements), 6)
	assert.Equal(t, c.Observer.Counts().TasksStarted, 0)

	var in model.Intent
	retryUntilSuccess(t, func() error { return post(t, instances[1], "/v1/plans/"+plan.ID+"/confirm", struct{}{}, &in) })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s, err := intentStatus(instances[2], in.ID)
		if err != nil || s.Intent.State != model.IntentDone {
			text, _ := json.Marshal(s)
			return poll.Continue("%v %s", err, text)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
	counts := c.Observer.Counts()
	assert.Equal(t, counts.TasksStarted, 6)
	assert.Equal(t, counts.TasksFinished, 6)
	assert.Equal(t, counts.DoubleRuns, 0)
	assert.Equal(t, counts.Overcommits, 0)
}

// TestTicketCallRunsOnce guards against a call that runs twice when it is sent to two instances with the same ticket.
func TestTicketCallRunsOnce(t *testing.T) {
	c, instances := startCell(t, 2)
	spec := auditSpec(1)
	spec.Kind, spec.Name, spec.RunTimeMS = model.KindCall, "hold", 10
	var plan model.Plan
	retryUntilSuccess(t, func() error { return post(t, instances[0], "/v1/plans", spec, &plan) })
	var in model.Intent
	retryUntilSuccess(t, func() error { return post(t, instances[0], "/v1/plans/"+plan.ID+"/confirm", struct{}{}, &in) })
	var tickets api.TicketsReply
	retryUntilSuccess(t, func() error {
		return post(t, instances[1], "/v1/intents/"+in.ID+"/tickets", api.TicketsRequest{Count: 1}, &tickets)
	})
	header := map[string][]string{api.HeaderTicket: {tickets.Tickets[0]}}
	var first, second api.CallReply
	for i, reply := range []*api.CallReply{&first, &second} {
		_, err := jsonhttp.NewClient(instances[i].URL(), nil).Do(context.Background(), "POST", "/v1/intents/"+in.ID+"/calls", header, []byte(`{"payload":"lane 4"}`), reply)
		assert.NilError(t, err)
	}
	assert.Equal(t, first, second)
	assert.Equal(t, c.Observer.Counts().TasksStarted, 1)
}
