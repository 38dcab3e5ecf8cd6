package job

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against counts of callers whose sum overflows, so that a job of any size seems small.
func TestTasksDoNotOverflow(t *testing.T) {
	for name, c := range map[string]struct {
		counts []int
		want   int
	}{
		"small":                       {[]int{4, 20}, 24},
		"negative sum":                {[]int{math.MaxInt, math.MaxInt}, math.MaxInt},
		"sum wraps to a small number": {[]int{math.MaxInt, math.MaxInt, 5}, math.MaxInt},
		"sum wraps to zero":           {[]int{1 << 62, 1 << 62, 1 << 62, 1 << 62}, math.MaxInt},
		"negative counts":             {[]int{-5, 3, math.MinInt}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			var s Spec
			for _, n := range c.counts {
				s.Steps = append(s.Steps, Step{Count: n, LongRunning: true})
			}
			assert.Equal(t, s.Tasks(), c.want)
			assert.Equal(t, s.ServiceTasks(), c.want)
		})
	}
}

// Guards against times of occurrences that overflow, so that an occurrence seems due long before its time.
func TestDueTimesDoNotOverflow(t *testing.T) {
	s := Spec{Repetitions: math.MaxInt, StartAtMS: 1_000, IntervalMS: 10}
	assert.Equal(t, s.DueMS(0), int64(1_000))
	assert.Equal(t, s.DueMS(7), int64(1_070))
	assert.Equal(t, s.DueMS(math.MaxInt), int64(math.MaxInt64))
	s.IntervalMS = math.MaxInt64 / 2
	assert.Equal(t, s.DueMS(3), int64(math.MaxInt64))
	s.StartAtMS = math.MaxInt64
	assert.Equal(t, s.DueMS(0), int64(math.MaxInt64))
}
