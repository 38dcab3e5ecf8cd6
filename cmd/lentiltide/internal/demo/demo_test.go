package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/examples"
	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/cell"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
)

// smallDeployment is a deployment whose demo finishes within seconds.
var smallDeployment = fstest.MapFS{
	"small/demo.json": {Data: []byte(`{"name":"small","region":"r","zones":["a","b"],"instances":2,"workers":4,"workers_per_rack":2,
		"capacity":{"cpu_milli":8000,"memory_mib":8192,"slots":8,"connections":60},"intents":["long.json","call.json"],
		"calls":{"intent":"call.json","phases":[{"name":"only","per_second":50,"for_ms":1000}]},"kill_instance_after_ms":400}`)},
	"small/long.json": {Data: []byte(`{"account":"a","team":"t","name":"long","kind":"batch","tasks":8,"each":{"cpu_milli":1000,"memory_mib":64},"run_time_ms":800}`)},
	"small/call.json": {Data: []byte(`{"account":"a","team":"u","name":"call","kind":"call","tasks":1,"each":{"cpu_milli":100,"memory_mib":64},"run_time_ms":5}`)},
}

// TestRunEndsWithSummary guards against a demo whose last line is not the summary or whose counts are wrong.
func TestRunEndsWithSummary(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, Run(context.Background(), Options{Out: &out, Files: smallDeployment}, "small"), "%s", &out)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var sum Summary
	dec := json.NewDecoder(strings.NewReader(lines[len(lines)-1]))
	dec.DisallowUnknownFields()
	assert.NilError(t, dec.Decode(&sum))
	assert.Equal(t, sum.Intents, 2)
	assert.Assert(t, sum.TasksFinished >= 8, "%+v", sum)
	assert.Assert(t, strings.Contains(out.String(), "killing instance"))
}

// TestRunWritesAHistory guards against a history in which a caller, a worker or the killed instance is missing, or in which the names
// of tasks are not those of the jobs that were submitted.
func TestRunWritesAHistory(t *testing.T) {
	var out, written bytes.Buffer
	recorder := history.NewRecorder(&written, history.SinceNow(), "test")
	assert.NilError(t, Run(context.Background(), Options{Out: &out, Files: smallDeployment, History: recorder}, "small"), "%s", &out)
	assert.NilError(t, recorder.Close())
	reader, err := history.NewReader(&written)
	assert.NilError(t, err)
	demanded, ended, counts := map[string]int{}, map[string]int{}, map[history.Kind]int{}
	for {
		event, err := reader.Next()
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		counts[event.Kind]++
		switch event.Kind {
		case history.KindJob:
			demanded[event.Job.ID] = event.Job.Steps[0].Count
		case history.KindStart:
			task := event.Start.Task
			assert.Assert(t, task.Index < demanded[task.Job], "%s", &event)
		case history.KindEnd:
			assert.Assert(t, event.End.Run > 0)
			ended[event.End.Task.Job]++
		}
	}
	for id, tasks := range demanded {
		// A call that was not answered may not have run.
		assert.Assert(t, ended[id] >= tasks || tasks == 1, "job %s: %d ends, want %d", id, ended[id], tasks)
	}
	// 50 calls, the confirmation of the batch and that of the calls.
	assert.Equal(t, counts[history.KindJob], 52)
	assert.Equal(t, counts[history.KindAnswer], counts[history.KindCall])
	assert.Equal(t, counts[history.KindWorker], 4)
	assert.Equal(t, counts[history.KindInstance], 3)
	assert.Equal(t, counts[history.KindFault], 2)
	assert.Equal(t, counts[history.KindClosed], 1)
	assert.Assert(t, counts[history.KindStart] >= 8+40, "%v", counts)
}

// TestFaultsAreCounted guards against a demo that passes although confirmed or answered work did not finish, a watcher does
// not run, or a call got a wrong answer.
func TestFaultsAreCounted(t *testing.T) {
	r := &deploymentRun{
		printer: &printer{out: io.Discard}, cell: &cell.Cell{Observer: standinworker.NewObserver(time.Now)},
		intents: []confirmedIntent{
			{id: "i1-a", spec: model.IntentSpec{Kind: model.KindBatch, Tasks: 2}},
			{id: "i1-w", spec: model.IntentSpec{Kind: model.KindWatcher, Tasks: 1}},
			{id: "i1-c", spec: model.IntentSpec{Kind: model.KindCall, Tasks: 1}},
		},
		answeredCalls: map[string]string{"call-1": "", "call-2": "done: call-9"},
	}
	r.reportResults()
	assert.Equal(t, r.lost, 6, "want two unfinished tasks, one stopped watcher, two unfinished calls and one wrong answer")
	assert.ErrorIs(t, printSummary(io.Discard, []*deploymentRun{r}), ErrFaults)
}

// TestExamplesLoad guards against example files that are not valid deployments and intents.
func TestExamplesLoad(t *testing.T) {
	for _, dir := range []string{"karutehas", "crease-union"} {
		d, err := loadDeployment(examples.Files, dir)
		assert.NilError(t, err)
		for name, spec := range d.specs {
			assert.NilError(t, spec.Check(), name)
		}
	}
}
