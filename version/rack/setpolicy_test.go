package rack

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
)

// TestSetPolicyAppliesToQueuedTeams guards against team weights that keep the value from the first offer of the team,
// and against a lease duration that changes while leases are granted.
func TestSetPolicyAppliesToQueuedTeams(t *testing.T) {
	f := newFleet(t, policyWithoutShortReserve(), eightCores())
	pair := func(i int) []model.Task {
		a, b := task(fmt.Sprintf("a/%d", i), model.ClassBatch, 1), task(fmt.Sprintf("b/%d", i), model.ClassBatch, 1)
		b.Team = "b"
		return []model.Task{a, b}
	}
	f.offer(pair(0)...)
	f.executeAll()
	p := policyWithoutShortReserve()
	p.TeamWeights, p.LeaseDuration = map[string]float64{"b": 3}, time.Hour
	f.core.SetPolicy(p)
	assert.Equal(t, f.core.policy.LeaseDuration, DefaultPolicy().LeaseDuration)
	var offers []model.Task
	for i := range 20 {
		offers = append(offers, pair(1+i)...)
	}
	f.offer(offers...)
	f.executeAll()
	count := map[string]int{}
	for _, r := range f.running["w0"] {
		count[r.Task.Team]++
	}
	assert.DeepEqual(t, count, map[string]int{"a": 2, "b": 6})
}
