package check

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/history"
)

// TestServiceTaskAway guards against a service task that is away too long and not reported because its absence ends between two looks or
// because it has failed before, and against one that is reported although it was disturbed, or had room, too short a time before.
func TestServiceTaskAway(t *testing.T) {
	const ended = 22_200
	broken := []string{nameService}
	// fault adds a fault without duration.
	fault := func(ms int64) func(*script) {
		return func(s *script) {
			s.fault(ms, "f", history.ChangeBegin, history.TargetWorker, "w9")
			s.fault(ms, "f", history.ChangeEnd, history.TargetWorker, "w9")
		}
	}
	// fill takes all free capacity until a time.
	fill := func(until int64) func(*script) {
		return func(s *script) {
			s.job(21_900, history.Job{ID: "x", Steps: []history.Step{{Count: 3, Demand: history.Resources{CPUMilli: 3500, MemoryMB: 3500}}}})
			for i, w := range []string{"w1", "w2", "w3"} {
				at := int64(21_950)
				if w == "w3" {
					at = ended + 1
				}
				s.start(at, history.Task{Job: "x", Index: i}.String(), 1, w)
				s.end(until, history.Task{Job: "x", Index: i}.String(), 1, w, 20, history.ResultDone)
				s.acknowledge(until+10, w, 20)
			}
		}
	}
	for name, c := range map[string]struct {
		failures uint64
		change   func(*script)
		back     int64
		want     []string
	}{
		"away for 8.9 s":                         {0, func(*script) {}, ended + 8900, nil},
		"away for 9.1 s":                         {0, func(*script) {}, ended + 9100, broken},
		"a fault 6.9 s before":                   {0, fault(ended + 5000), ended + 11_900, nil},
		"a fault 7.1 s before":                   {0, fault(ended + 5000), ended + 12_100, broken},
		"a fault 6.9 s before, and earlier ones": {0, func(s *script) { fault(ended + 200)(s); fault(ended + 8000)(s) }, ended + 14_900, nil},
		"room for 2.9 s":                         {0, fill(ended + 8000), ended + 10_900, nil},
		"room for 3.6 s":                         {0, fill(ended + 8000), ended + 11_600, broken},
		"away for 9.1 s after the failures that a queue allows": {2, func(*script) {}, ended + 9100, broken},
	} {
		t.Run(name, func(t *testing.T) {
			s := validScript()
			for run := uint64(1); run <= c.failures; run++ {
				s.end(int64(20_000+100*run), "watch.0.0.0", run, "w3", run, history.ResultFailed)
				s.start(int64(20_050+100*run), "watch.0.0.0", run+1, "w3")
			}
			s.end(ended, "watch.0.0.0", c.failures+1, "w3", c.failures+1, history.ResultFailed)
			c.change(s)
			s.start(c.back, "watch.0.0.0", 9, "w3")
			// Events that say nothing let time pass in short steps.
			for ms := int64(ended); ms < c.back; ms += 100 {
				s.state(ms, "late", history.StateCompleted)
			}
			r := checkText(t, s.text(t))
			assert.DeepEqual(t, r.BrokenSentences(), c.want)
		})
	}
}
