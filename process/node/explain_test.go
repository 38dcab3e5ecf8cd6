package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Guards against an explanation that submits the job, or that an instance gives which does not know the workers, and against errors
// that do not say what is wrong.
func TestExplainAnswersAtTheLeader(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		leader := c.nodes[c.leader()]
		spec := job.Spec{Steps: []job.Step{{Count: 2, TaskDemand: model.Resources{CPUMilli: 1000, MemoryMiB: 100}}}}
		placement, err := leader.Explain(testQueue, "", spec)
		assert.NilError(t, err)
		assert.Equal(t, placement.Steps[0].Startable, 2)
		assert.Assert(t, placement.Steps[0].NeedsAdvice)
		assert.Equal(t, len(c.tables.Rows(jobTable)), 0)

		_, err = c.follower().Explain(testQueue, "", spec)
		assert.Equal(t, verdict.From(err).Code, verdict.CodeWrongOwner)
		assert.ErrorContains(t, err, leader.opts.Instance)
		_, err = leader.Explain("none", "", spec)
		assert.ErrorContains(t, err, "there is no queue")
		_, err = leader.Explain(testQueue, "", job.Spec{})
		assert.ErrorContains(t, err, "expected 1 to")
	})
}
