package recovery

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/request/verdict"
)

// TestPanicBecomesError guards against a panic that ends the process, and against NotRun for a call that may have run.
func TestPanicBecomesError(t *testing.T) {
	counted := map[string]int{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := NewRecorder(log, func(place string) { counted[place]++ })
	result, err := Call(r, "decode", func() (int, error) { panic("unexpected") })
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	assert.Equal(t, result, 0)
	result, err = Call(r, "decode", func() (int, error) { return 7, nil })
	assert.NilError(t, err)
	assert.Equal(t, result, 7)
	assert.DeepEqual(t, counted, map[string]int{"decode": 1})
}

// TestRepeatedPanicsAreLoggedRarely guards against a log that is filled by the stacks of one repeated panic, and against a
// panic that is not logged because another place panics.
func TestRepeatedPanicsAreLoggedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := logtest.NewNullLogger()
		r := NewRecorder(log, nil)
		for range 5 {
			r.Run("a", func() { panic("unexpected") })
		}
		r.Run("b", func() { panic("unexpected") })
		assert.Equal(t, len(hook.AllEntries()), 2)
		time.Sleep(logInterval)
		r.Run("a", func() { panic("again") })
		last := hook.LastEntry()
		assert.Equal(t, last.Data["panic"], "again")
		assert.Equal(t, last.Data["suppressed"], 4)
	})
}
