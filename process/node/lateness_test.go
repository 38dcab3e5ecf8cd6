package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/version/cell"
)

// Guards against limits on others that count the time in which this process could not run, and against limits that never end because a
// process on time counts as late.
func TestLateness(t *testing.T) {
	now := cell.Instant(time.Hour)
	l := &lateness{now: func() cell.Instant { return now }}
	assert.Equal(t, l.lost(), time.Duration(0))
	advance := func(d time.Duration) {
		now += d
		l.observe()
	}
	advance(0)
	for range 100 {
		advance(latenessInterval + latenessTolerance)
	}
	assert.Equal(t, l.lost(), time.Duration(0))
	advance(latenessInterval + 300*time.Millisecond)
	assert.Equal(t, l.lost(), 300*time.Millisecond)
	// The next observation is overdue.
	now += latenessInterval + 200*time.Millisecond
	assert.Equal(t, l.lost(), 500*time.Millisecond)
	advance(100 * time.Millisecond)
	assert.Equal(t, l.lost(), 600*time.Millisecond)
}
