package backends

import (
	"bytes"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model"
)

// eventsOf ends a recorder and returns the events that it wrote, without the last one.
func eventsOf(t *testing.T, recorder *history.Recorder, written *bytes.Buffer) []history.Event {
	t.Helper()
	assert.NilError(t, recorder.Close())
	reader, err := history.NewReader(written)
	assert.NilError(t, err)
	var events []history.Event
	for {
		e, err := reader.Next()
		if err == io.EOF {
			assert.Equal(t, events[len(events)-1].Kind, history.KindClosed)
			return events[:len(events)-1]
		}
		assert.NilError(t, err)
		events = append(events, e)
	}
}

// A stand-in that leaves out an event, or writes it in another order than it happened, makes a checker pass or report what did not
// happen: an end before the expiry of a lease must precede it, and only new completions are listed and acknowledged.
func TestWorkersRecordWhatTheyObserve(t *testing.T) {
	now := time.Duration(0)
	var written bytes.Buffer
	recorder := history.NewRecorder(&written, func() time.Duration { return now }, "test")
	each := model.Resources{CPUMilli: 1000, MemoryMiB: 100}
	workers := NewWorkers(func() time.Duration { return now }, func(task string) TaskBehavior {
		if task == "a.0.0.0" {
			return TaskBehavior{Resources: each, Duration: time.Second}
		}
		return TaskBehavior{Resources: each, Duration: time.Hour}
	})
	workers.SetHistory(recorder)
	workers.Add(backend.WorkerInfo{ID: "w", Service: "s", StartedMS: 5, Capacity: each.Times(4)})
	ref := backend.WorkerRef{ID: "w"}
	start := func(task string) {
		ctx := WithSender(t.Context(), Sender{Instance: "i1", Late: task == "b.0.0.0"})
		_, err := workers.Start(ctx, backend.StartCommand{
			Command: backend.Command{Worker: ref, Task: task, Run: 1, FencingToken: 7}, Payload: "p", LeaseDeadlineMS: 3000,
		})
		assert.NilError(t, err)
	}
	poll := func(acknowledged int64) {
		_, err := workers.Poll(t.Context(), backend.PollRequest{
			Worker: ref, FencingToken: 7, LeaseDeadlineMS: (now + 3*time.Second).Milliseconds(), AcknowledgedCompletion: acknowledged,
		})
		assert.NilError(t, err)
	}
	start("a.0.0.0")
	start("a.0.0.0")
	start("b.0.0.0")
	now = 5 * time.Second
	poll(0)
	poll(1)
	poll(2)
	poll(2)
	workers.SetCapacity("w", each, 0)
	workers.Crash(Crash{Downtime: time.Second}, "w")

	task := func(job string) history.Task { return history.Task{Job: job} }
	worker := func(change history.Change, capacity model.Resources, service string) history.Event {
		return history.Event{Kind: history.KindWorker, Worker: &history.Worker{Worker: "w", Boot: 5, Change: change, Service: service, Capacity: HistoryResources(capacity)}}
	}
	want := []history.Event{
		worker(history.ChangeBoot, each.Times(4), "s"),
		{Kind: history.KindStart, Start: &history.Start{Task: task("a"), Run: 1, Worker: "w", Boot: 5, Instance: "i1", Epoch: 7, Payload: "p"}},
		{Kind: history.KindStart, Start: &history.Start{Task: task("b"), Run: 1, Worker: "w", Boot: 5, Instance: "i1", Epoch: 7, Payload: "p", Late: true}},
		{Kind: history.KindEnd, End: &history.End{Task: task("a"), Run: 1, Worker: "w", Boot: 5, Number: 1, Result: history.ResultDone}},
		worker(history.ChangeLeaseExpired, model.Resources{}, ""),
		{Kind: history.KindEnd, End: &history.End{Task: task("b"), Run: 1, Worker: "w", Boot: 5, Number: 2, Result: history.ResultExpired}},
		{Kind: history.KindListing, Listing: &history.Listing{Worker: "w", Boot: 5, UpTo: 2}},
		{Kind: history.KindAcknowledgement, Acknowledgement: &history.Acknowledgement{Worker: "w", Boot: 5, UpTo: 1}},
		{Kind: history.KindAcknowledgement, Acknowledgement: &history.Acknowledgement{Worker: "w", Boot: 5, UpTo: 2}},
		worker(history.ChangeCapacity, each, "s"),
		worker(history.ChangeCrash, model.Resources{}, ""),
	}
	got := eventsOf(t, recorder, &written)
	for i := range got {
		assert.Equal(t, got[i].Observer, "w")
		got[i].Observer, got[i].AtUS = "", 0
	}
	assert.DeepEqual(t, got, want)
}

// A fault that is recorded for longer than it lasts excuses what it did not cause; one that is not recorded excuses nothing.
func TestTablesRecordTheirFaults(t *testing.T) {
	now := time.Duration(0)
	var written bytes.Buffer
	recorder := history.NewRecorder(&written, func() time.Duration { return now }, "test")
	tables := NewTables()
	tables.SetHistory(recorder)
	tables.SetFault(func(write bool) Fault {
		if write {
			return FaultRefused
		}
		return FaultNone
	})
	get := func() {
		_, err := tables.Get(t.Context(), backend.RowKey{Table: "t"})
		assert.NilError(t, err)
	}
	commit := func() error {
		_, err := tables.Commit(t.Context(), backend.Txn{})
		return err
	}
	get()
	now = time.Second
	assert.ErrorContains(t, commit(), "refuses")
	assert.ErrorContains(t, commit(), "refuses")
	now = 2 * time.Second
	tables.SetFault(nil)
	assert.NilError(t, commit())

	events := eventsOf(t, recorder, &written)
	fault := func(change history.Change) *history.Fault {
		return &history.Fault{ID: "store-call-1", Change: change, Kind: history.FaultDown, Target: history.TargetStore}
	}
	assert.DeepEqual(t, events, []history.Event{
		{AtUS: 1_000_000, Kind: history.KindFault, Observer: "stand-in", Fault: fault(history.ChangeBegin)},
		{AtUS: 2_000_000, Kind: history.KindFault, Observer: "stand-in", Fault: fault(history.ChangeEnd)},
	})
}
