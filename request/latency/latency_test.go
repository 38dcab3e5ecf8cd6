package latency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a peak that a fast answer hides, and against one that outlives its window, which would delay the detection of an
// outage.
func TestPeak(t *testing.T) {
	var p Peak
	assert.Equal(t, p.Recent(0), time.Duration(0))
	p.Record(time.Second, 10*time.Second)
	p.Record(time.Millisecond, 11*time.Second)
	assert.Equal(t, p.Recent(12*time.Second), time.Second)
	p.Record(time.Millisecond, 14*time.Second)
	assert.Equal(t, p.Recent(14*time.Second), time.Millisecond)
	assert.Equal(t, p.Recent(18*time.Second), time.Duration(0))
}

// Guards against timeouts outside of their bounds.
func TestTimeout(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{
		0: time.Second, 100 * time.Millisecond: time.Second, time.Second: 3 * time.Second, time.Minute: 4 * time.Second,
	} {
		var p Peak
		p.Record(took, 0)
		assert.Equal(t, p.Timeout(0, 3, time.Second, 4*time.Second), want, "%s", took)
	}
}
