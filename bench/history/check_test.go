// Package history measures how long the check of a history takes.
package history

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/history/check"
)

const (
	// eventCount is the number of events of the history.
	eventCount = 100_000
	// workerCount is the number of workers, and tasksPerJob the number of tasks of a job.
	workerCount = 48
	tasksPerJob = 6
	// eventTime is the time between two events.
	eventTime = 500 * time.Microsecond
)

// recorded is a history under construction.
type recorded struct {
	recorder *history.Recorder
	now      time.Duration
	events   int
	ends     [workerCount]uint64
}

func (r *recorded) record(e history.Event) {
	r.now += eventTime
	r.events++
	r.recorder.Record(e)
}

func (r *recorded) call(op history.Operation, job string, a history.Answer) {
	a.Number = r.recorder.NextCall()
	r.record(history.Event{Kind: history.KindCall, Observer: "client", Call: &history.Call{Number: a.Number, Operation: op, Instance: "i1", Queue: "q", Job: job}})
	r.record(history.Event{Kind: history.KindAnswer, Observer: "client", Answer: &a})
}

// job records a job that is submitted, asked for, run and acknowledged.
func (r *recorded) job(id int) {
	name := fmt.Sprintf("%016x", id)
	r.record(history.Event{Kind: history.KindJob, Observer: "client", Job: &history.Job{ID: name, Queue: "q", Steps: []history.Step{
		{Count: tasksPerJob, Demand: history.Resources{CPUMilli: 1300, MemoryMB: 512}},
	}}})
	r.call(history.OperationSubmit, name, history.Answer{Verdict: history.VerdictAccepted})
	r.call(history.OperationState, name, history.Answer{Verdict: history.VerdictState, State: history.StateQueued})
	for i := range tasksPerJob {
		r.record(history.Event{Kind: history.KindStart, Observer: worker(id + i), Start: &history.Start{
			Task: history.Task{Job: name, Index: i}, Run: 1, Worker: worker(id + i), Instance: "i1", Epoch: 1,
		}})
	}
	r.call(history.OperationState, name, history.Answer{Verdict: history.VerdictState, State: history.StateRunning})
	for i := range tasksPerJob {
		w := (id + i) % workerCount
		r.ends[w]++
		r.record(history.Event{Kind: history.KindEnd, Observer: worker(w), End: &history.End{
			Task: history.Task{Job: name, Index: i}, Run: 1, Worker: worker(w), Number: r.ends[w], Result: history.ResultDone,
		}})
		r.record(history.Event{Kind: history.KindAcknowledgement, Observer: worker(w), Acknowledgement: &history.Acknowledgement{
			Worker: worker(w), Instance: "i1", UpTo: r.ends[w],
		}})
	}
	r.call(history.OperationState, name, history.Answer{Verdict: history.VerdictState, State: history.StateCompleted})
}

func worker(i int) string { return fmt.Sprintf("worker-%d", i%workerCount) }

// largeHistory returns a history of at least count events that keeps all sentences.
func largeHistory(tb testing.TB, count int) ([]byte, int) {
	var file bytes.Buffer
	r := &recorded{}
	r.recorder = history.NewRecorder(&file, func() time.Duration { return r.now }, "benchmark")
	r.record(history.Event{Kind: history.KindConfiguration, Configuration: &history.Configuration{
		Version: 1, Change: history.ChangeWritten, Queues: []history.Queue{{Name: "q", Service: "s", MaxAttempts: 4}},
	}})
	for i := range workerCount {
		r.record(history.Event{Kind: history.KindWorker, Worker: &history.Worker{
			Worker: worker(i), Change: history.ChangeBoot, Service: "s", Capacity: history.Resources{CPUMilli: 16_000, MemoryMB: 64_000},
		}})
	}
	for id := 0; r.events < count; id++ {
		r.job(id)
		if id%100 == 0 {
			// The queue of the recorder holds less than the history.
			time.Sleep(10 * time.Millisecond)
		}
	}
	assert.NilError(tb, r.recorder.Close())
	return file.Bytes(), r.events
}

// BenchmarkCheck checks a history of 100,000 events. The target is 1 s and 200 MB of memory at once.
func BenchmarkCheck(b *testing.B) {
	text, events := largeHistory(b, eventCount)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		r, err := check.File(bytes.NewReader(text))
		assert.NilError(b, err)
		assert.Equal(b, r.Incomplete, "")
		assert.Equal(b, r.Events, events)
		assert.Equal(b, len(r.BrokenSentences()), 0)
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(events), "events")
	// What the heap has obtained from the system bounds what the check held at any time.
	b.ReportMetric(float64(after.HeapSys-before.HeapSys)/1e6, "heap-MB")
}
