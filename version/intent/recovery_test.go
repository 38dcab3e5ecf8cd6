package intent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

var testNow = time.Unix(1_000_000, 0)

// restoredCore returns a core of epoch 2 with one unplaced batch task of an earlier epoch.
func restoredCore(t *testing.T) (*Core, model.Task) {
	t.Helper()
	c := New(3, 2, DefaultPolicy())
	in := model.Intent{ID: "i3-a", State: model.IntentConfirmed, Spec: model.IntentSpec{Kind: model.KindBatch, Tasks: 1}}
	c.Restore(testNow, in, nil)
	return c, NewTask(in, 3, 0, 0, testNow)
}

func outcomeOf(task model.Task, sequence uint64, state model.OutcomeState) model.Outcome {
	token := model.StartToken{Partition: 3, Epoch: 1, Sequence: sequence}
	return model.Outcome{Task: task.ID, Token: token, State: state, Worker: "w1"}
}

// TestEarlyOutcomeIsNotLost guards against dropping an outcome that arrives before the racks have answered: once it is
// acknowledged the worker forgets it, and the task would run again.
func TestEarlyOutcomeIsNotLost(t *testing.T) {
	c, task := restoredCore(t)
	_, final, err := c.Ended(testNow, task, outcomeOf(task, 1, model.OutcomeFinished))
	assert.NilError(t, err)
	assert.Assert(t, final)
	effects, _ := c.AllRacksListed(testNow)
	assert.Equal(t, len(effects), 0)
}

// TestEarlierExpiryDoesNotRestartRunningTask guards against a second run: an earlier start expired, but a later one
// still runs in a rack that has not answered yet.
func TestEarlierExpiryDoesNotRestartRunningTask(t *testing.T) {
	c, task := restoredCore(t)
	_, _, err := c.Ended(testNow, task, outcomeOf(task, 1, model.OutcomeExpired))
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	_, granted := c.Claim(testNow, task.ID, "rack-a", 1)
	assert.Assert(t, !granted)
	c.RunningTaskListed(testNow, "rack-b", 1, task, model.StartToken{Partition: 3, Epoch: 1, Sequence: 2}, "w2")
	effects, _ := c.AllRacksListed(testNow)
	assert.Equal(t, len(effects), 0)
	_, granted = c.Claim(testNow, task.ID, "rack-a", 1)
	assert.Assert(t, !granted)
}

// TestUnknownCallOutcomeIsRecorded guards against losing the outcome of a call that an earlier intent owner started.
func TestUnknownCallOutcomeIsRecorded(t *testing.T) {
	c, _ := restoredCore(t)
	call := model.Task{ID: "i3-a/t-1-7", Intent: "i3-a", Kind: model.KindCall, Partition: 3}
	_, final, err := c.Ended(testNow, call, outcomeOf(call, 9, model.OutcomeFinished))
	assert.NilError(t, err)
	assert.Assert(t, final)
	_, final, err = c.Ended(testNow, call, outcomeOf(call, 9, model.OutcomeFinished))
	assert.NilError(t, err)
	assert.Assert(t, !final)
}
