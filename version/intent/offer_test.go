package intent

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
)

// TestOldSummaryCountsLess guards against offers that go to a rack whose owner has not been heard of for long, and against
// a fitting rack that is passed over because nothing changed there.
func TestOldSummaryCountsLess(t *testing.T) {
	size := func(cpu int64) model.Resources { return model.Resources{CPUMilli: cpu, MemoryMiB: 1000, Slots: 8} }
	old := &RackView{Free: size(16_000), Largest: size(16_000), Age: 3 * staleAge}
	fresh := &RackView{Free: size(8000), Largest: size(8000)}
	assert.Assert(t, fresh.score(size(1000)) > old.score(size(1000)))
	assert.Assert(t, old.score(size(10_000)) > fresh.score(size(10_000)))
}
