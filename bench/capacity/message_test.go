package capacity

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	workerclient "github.com/lentiltide/lentiltide/connection/worker"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/server"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
	"github.com/lentiltide/lentiltide/worker"
)

// sampleTask returns a task with names and a payload of typical length.
func sampleTask() model.Task {
	in := model.Intent{ID: "i17-715e9427-b4a3-4ed8-b957-095020fd521b", Spec: model.IntentSpec{
		Account: "kaerutehas", Team: "rental-desk", Name: "booking", Kind: model.KindCall, Tasks: 1,
		TaskDemand: model.Resources{CPUMilli: 500, MemoryMiB: 512, Connections: 2}, RunTimeMS: 200, Payload: `{"trolley":4711}`,
	}}
	return newTask(in)
}

func sampleToken() model.StartToken {
	return model.StartToken{Partition: 17, Epoch: 9, Sequence: 123_456}
}

func sampleOutcome(task model.Task) model.Outcome {
	return model.Outcome{
		Task: task.ID, Token: sampleToken(), State: model.OutcomeFinished, Worker: "worker-042",
		Answer: []byte(`{"booking":"ok","trolley":4711}`), AnswerDigest: 1 << 60, RanMS: 200,
	}
}

// BenchmarkMessageBytes reports the encoded size of each message that one task start takes, and of the stored outcome.
func BenchmarkMessageBytes(b *testing.B) {
	task, token := sampleTask(), peer.TokenToProto(sampleToken())
	out := sampleOutcome(task)
	messages := map[string]proto.Message{
		"offer": &peerpb.Request{Id: 1000, Version: 1, Body: &peerpb.Request_Offer{Offer: &peerpb.Offer{
			Rack: "rack-07", IntentEpoch: 9, Tasks: peer.TasksToProto([]model.Task{task}),
		}}},
		"claim": &peerpb.Request{Id: 1000, Version: 1, Body: &peerpb.Request_Claim{Claim: &peerpb.Claim{
			Partition: 17, Task: string(task.ID), Rack: "rack-07", RackEpoch: 12,
		}}},
		"claim_reply": &peerpb.Reply{Id: 1000, Body: &peerpb.Reply_Claim{Claim: &peerpb.ClaimReply{Granted: true, Token: token}}},
		"report": &peerpb.Request{Id: 1000, Version: 1, Body: &peerpb.Request_Report{Report: &peerpb.Report{
			Partition: 17, Rack: "rack-07", RackEpoch: 12, Task: peer.TaskToProto(task), Outcome: peer.OutcomeToProto(out),
		}}},
		"summary": &peerpb.Request{Id: 1000, Version: 1, Body: &peerpb.Request_Summaries{Summaries: &peerpb.Summaries{Items: []*peerpb.Summary{{
			Rack: "rack-07", Epoch: 12, Free: peer.ResourcesToProto(task.DeclaredDemand), LargestFree: peer.ResourcesToProto(task.DeclaredDemand),
			Queued: []uint32{1, 2, 3, 4, 5},
		}}}}},
	}
	for name, m := range messages {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, err := proto.Marshal(m); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(m)), "bytes/message")
		})
	}
	b.Run("outcome_row", func(b *testing.B) {
		var data []byte
		for b.Loop() {
			data, _ = json.Marshal(out)
		}
		b.ReportMetric(float64(len(data)), "bytes/message")
	})
}

// BenchmarkSyncCost reports the cost of one synchronisation with a worker that runs a few tasks. It includes the stand-in
// for the worker, so the cost of the client alone is lower.
func BenchmarkSyncCost(b *testing.B) {
	agent := standinworker.New(standinworker.Options{ID: "w", Capacity: model.Resources{CPUMilli: 64_000, MemoryMiB: 1 << 18, Slots: 8}})
	s := httptest.NewServer(server.NewWorker(agent))
	defer s.Close()
	remote := workerclient.NewDialer().Dial(s.URL)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	inventory, err := remote.Fence(ctx, worker.FenceRequest{Rack: "r", Epoch: 1})
	if err != nil {
		b.Fatal(err)
	}
	leaseUntil := inventory.Now + 3_600_000
	for i := range 4 {
		task := sampleTask()
		task.ID, task.RunTimeMS = model.NewTaskID("i17-a", 0, i), 3_600_000
		token := sampleToken()
		token.Sequence += uint64(i)
		if _, err := remote.Start(ctx, worker.StartRequest{Rack: "r", Epoch: 1, Task: task, Token: token, BootID: inventory.BootID, LeaseUntil: leaseUntil}); err != nil {
			b.Fatal(err)
		}
	}
	req := worker.SyncRequest{Rack: "r", Epoch: 1, BootID: inventory.BootID, LeaseUntil: leaseUntil}
	var reply worker.SyncReply
	for b.Loop() {
		if reply, err = remote.Sync(ctx, req); err != nil {
			b.Fatal(err)
		}
	}
	sent, _ := json.Marshal(req)
	received, _ := json.Marshal(reply)
	b.ReportMetric(float64(len(sent)+len(received)), "body-bytes/sync")
}
